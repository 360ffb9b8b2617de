//! One limiter, as its configuration says.

use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

async fn run() -> Result<(), String> {
    let station = merlinreel::config::read(|name| std::env::var(name).ok())?;
    let mut asked = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let stop = async move {
        asked.recv().await;
    };
    merlinreel::run(station, stop).await.map_err(|error| error.to_string())
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
