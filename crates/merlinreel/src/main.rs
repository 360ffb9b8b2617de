//! The program: starts one limiter, reloads its configuration at SIGHUP and shuts it down at SIGTERM.

use merlinreel::config::{self, ConfigError, GatewayConfig};
use merlinreel::startup::inherited_listener::{InheritError, inherited_listener};
use merlinreel::startup::reload_channels::ReloadSenders;
use merlinreel::telemetry::log;
use merlinreel::telemetry::metrics::Metrics;
use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::Arc;
use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Why the limiter did not start, or ended without a shutdown.
#[derive(Debug, Error)]
enum StartError {
    #[error(transparent)]
    Inherit(#[from] InheritError),
    #[error("cannot install a signal handler: {0}")]
    Signals(std::io::Error),
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Ended(#[from] std::io::Error),
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn listen_for(kind: SignalKind) -> Result<Signal, StartError> {
    signal(kind).map_err(StartError::Signals)
}

/// Reloads the configuration at each SIGHUP.
async fn reload_on_signal(
    mut hangup: Signal,
    mut config: GatewayConfig,
    senders: ReloadSenders,
    metrics: Arc<Metrics>,
) {
    while hangup.recv().await.is_some() {
        let outcome = config::reload(&mut config, variable);
        metrics.count_reload(outcome);
        senders.publish(&config, outcome);
    }
}

async fn run(inherited: Option<TcpListener>) -> Result<(), StartError> {
    // The handlers are installed first, as a signal without a handler ends the program.
    let mut terminate = listen_for(SignalKind::terminate())?;
    let hangup = listen_for(SignalKind::hangup())?;
    let config = config::load(variable)?;
    let metrics = Metrics::new(&config.settings.sockets.classes);
    let (senders, reloads) = ReloadSenders::new(&config);
    tokio::spawn(reload_on_signal(
        hangup,
        config.clone(),
        senders,
        metrics.clone(),
    ));
    let stop = async move {
        terminate.recv().await;
    };
    Ok(merlinreel::run(config, inherited, metrics, reloads, stop).await?)
}

fn start() -> Result<(), StartError> {
    let inherited = inherited_listener()?;
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(run(inherited))
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::write(format_args!("{error}"));
            ExitCode::FAILURE
        }
    }
}
