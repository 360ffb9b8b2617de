//! One limiter, as its configuration says.

use merlinreel::config;
use merlinreel::telemetry::metrics::ReloadOutcome;
use std::os::unix::process::CommandExt;
use std::process::{Command, ExitCode};
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Why the limiter did not start, or ended by itself.
#[derive(Debug, Error)]
enum StartError {
    #[error(
        "PROXY_LISTEN_FD: '{0}' is no descriptor; it takes the number of the socket handed down"
    )]
    NoDescriptor(String),
    #[error("PROXY_LISTEN_FD: the program could not take it over: {0}")]
    TakeOver(std::io::Error),
    #[error("PROXY_LISTEN_FD: not a listening TCP socket: {0}")]
    NotListening(std::io::Error),
    #[error(
        "PROXY_LISTEN_FD: no socket there; it must be open in this process before the program starts"
    )]
    NoSocket,
    #[error("signals can't be heard: {0}")]
    Signals(std::io::Error),
    #[error(transparent)]
    GatewayConfig(#[from] config::ConfigError),
    #[error(transparent)]
    Ended(#[from] std::io::Error),
}

/// The clients' listening socket, where the platform hands one down: as `$PROXY_LISTEN_FD` on days of upgrades,
/// or in systemd's form. The first is put into the second by this process's replacing its own image once (the
/// same process, no child), as the `listenfd` crate reads only that; guards against binding an address that the
/// platform holds, which ends the limiter at start.
fn inherited() -> Result<Option<std::net::TcpListener>, StartError> {
    let variable = |name| std::env::var(name).ok();
    if let Some(descriptor) = variable("PROXY_LISTEN_FD") {
        let number: u32 = descriptor
            .parse()
            .map_err(|_| StartError::NoDescriptor(descriptor.clone()))?;
        let own = std::process::id().to_string();
        let told = variable("LISTEN_FDS_FIRST_FD") == Some(number.to_string())
            && variable("LISTEN_FDS").as_deref() == Some("1")
            && variable("LISTEN_PID") == Some(own.clone());
        if !told {
            let program = std::env::current_exe().map_err(StartError::TakeOver)?;
            let error = Command::new(program)
                .args(std::env::args_os().skip(1))
                .env("LISTEN_FDS", "1")
                .env("LISTEN_FDS_FIRST_FD", number.to_string())
                .env("LISTEN_PID", own)
                .exec();
            return Err(StartError::TakeOver(error));
        }
    }
    let mut handed = listenfd::ListenFd::from_env();
    if handed.len() == 0 {
        return Ok(None);
    }
    let listener = handed
        .take_tcp_listener(0)
        .map_err(StartError::NotListening)?
        .ok_or(StartError::NoSocket)?;
    listener
        .set_nonblocking(true)
        .map_err(StartError::NotListening)?;
    Ok(Some(listener))
}

/// Whether it was another. Guards the watch of the server list and the settings in force against a file read again that
/// says what the one before did, or was turned down.
fn replaced<T: Clone + PartialEq>(present: &mut T, new: &T) -> bool {
    let other = present != new;
    if other {
        present.clone_from(new);
    }
    other
}

async fn run(handed: Option<std::net::TcpListener>) -> Result<(), StartError> {
    let of = |kind| signal(kind).map_err(StartError::Signals);
    // Before all else: a signal that nobody listens for ends the program.
    let (mut asked, mut again) = (of(SignalKind::terminate())?, of(SignalKind::hangup())?);
    let station = config::read(|name| std::env::var(name).ok())?;
    let (turn, discovery) = watch::channel(station.discovery);
    let mut present = station.clone();
    let metrics = merlinreel::telemetry::metrics::Metrics::new(&station.settings.sockets.classes);
    let counted = metrics.clone();
    let (tune, settings) = watch::channel(station.settings.clone());
    let (mesh_changed, mesh) = watch::channel(station.mesh.clone());
    tokio::spawn(async move {
        while again.recv().await.is_some() {
            let taken = config::reread(&mut present, |name| std::env::var(name).ok());
            counted.count_reload(if taken {
                ReloadOutcome::Applied
            } else {
                ReloadOutcome::Failed
            });
            turn.send_if_modified(|at| replaced(at, &present.discovery));
            tune.send_if_modified(|settings| replaced(settings, &present.settings));
            if taken {
                // The files may hold other keys under the same names.
                mesh_changed.send_replace(present.mesh.clone());
            }
        }
    });
    let stop = async move {
        asked.recv().await;
    };
    let turns = merlinreel::ReloadChannels {
        settings,
        discovery,
        mesh,
    };
    Ok(merlinreel::run(station, handed, metrics, turns, stop).await?)
}

fn begin() -> Result<(), StartError> {
    let handed = inherited()?;
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(run(handed))
}

fn main() -> ExitCode {
    match begin() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            merlinreel::telemetry::log::write(format_args!("{error}"));
            ExitCode::FAILURE
        }
    }
}
