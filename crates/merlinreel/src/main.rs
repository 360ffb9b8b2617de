//! One limiter, as its configuration says.

use merlinreel::config;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

async fn run() -> Result<(), String> {
    let of = |kind| signal(kind).map_err(|error| error.to_string());
    // Before all else: a signal that nobody listens for ends the program.
    let (mut asked, mut again) = (of(SignalKind::terminate())?, of(SignalKind::hangup())?);
    let station = config::read(|name| std::env::var(name).ok())?;
    let (turn, discovery) = watch::channel(station.discovery);
    let mut present = station.clone();
    tokio::spawn(async move {
        while again.recv().await.is_some() {
            config::reread(&mut present, |name| std::env::var(name).ok());
            turn.send_replace(present.discovery);
        }
    });
    let stop = async move {
        asked.recv().await;
    };
    merlinreel::run(station, discovery, stop).await.map_err(|error| error.to_string())
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.map_err(|error| error.to_string()).and_then(|runtime| runtime.block_on(run())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("merlinreel: {what}");
            ExitCode::FAILURE
        }
    }
}
