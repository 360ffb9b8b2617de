//! The limiter as a process: it reads HTTP/1.1 requests of clients, asks the policy, and forwards admitted requests to servers.
//! Each module has one concern; only [`event_loop`] accesses the policy's state.

#![warn(missing_docs)]

pub mod admin;
pub mod admission;
pub mod client;
pub mod config;
pub mod endpoints;
pub mod event_loop;
pub mod mesh;
pub mod messages;
pub mod net;
pub mod peers;
pub mod stall;
pub mod startup;
mod sync;
pub mod telemetry;
pub mod upstream;

pub use startup::reload_channels::ReloadChannels;

use client::{ClientListener, ListenerOrigin};
use config::GatewayConfig;
use event_loop::{Clock, EventLoop};
use mesh::MeshTasks;
use messages::{ActiveSettings, Queue};
use net::late_deadline::timeout_caught_up;
use stall::StallMonitor;
use startup::admin_status::GatewayStatus;
use startup::background_tasks::BackgroundTasks;
use startup::sockets::Sockets;
use std::future::Future;
use std::io;
use std::sync::Arc;
use telemetry::metrics::Metrics;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::error::Elapsed;
use upstream::UpstreamPool;

/// Runs one limiter until `stop` completes and the requests in flight have their responses. `reloads` provides configuration
/// changes in the meantime. Clients connect to `inherited` if the platform passes a listening socket on, else to the
/// configured address. Needs a tokio runtime with time and I/O; one thread is enough.
///
/// # Errors
///
/// A socket can't be bound, the mesh can't be joined, or the event loop has ended.
pub async fn run(
    mut config: GatewayConfig,
    inherited: Option<std::net::TcpListener>,
    metrics: Arc<Metrics>,
    reloads: ReloadChannels,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let clock = Clock::start();
    log_unknown_keys(&config);
    let sockets = Sockets::bind(&config, inherited).await?;
    let (queue, events) = mpsc::channel(config.limits.event_loop.queue_length);
    let (settings_sender, active_settings) = ActiveSettings::channel(&config.settings);
    let cached_endpoints = config.cached_endpoints.take();
    let cached_version = cached_endpoints.as_ref().map(|update| update.version);
    let stall_monitor = StallMonitor::new(metrics.clone());
    let event_loop = new_event_loop(&config, &sockets, clock, &queue, &metrics, &stall_monitor)
        .with_settings_sender(settings_sender);
    let mut event_loop = tokio::spawn(event_loop.run(cached_endpoints, events));

    let mut tasks = BackgroundTasks::default();
    let first_list = tasks.watch_endpoints(&config, reloads.discovery, cached_version, &queue);
    tasks.receive_peer_messages(&sockets.peer_socket, &queue);
    tasks.forward_settings(reloads.settings, &queue);
    sockets.log_address(&config);
    let limits = config.limits.clone();
    let first_list = timeout_caught_up(limits.endpoints.first_list_timeout, first_list);
    let client_listener = ClientListener::new(
        limits,
        active_settings,
        queue,
        metrics.clone(),
        stall_monitor,
    );
    share_ids(&config, &sockets, &client_listener);
    let mesh_tasks = join_mesh(&config, &client_listener).await?;
    let status = GatewayStatus {
        client_listener: client_listener.clone(),
        mesh: mesh_tasks.as_ref().map(|tasks| tasks.handle().clone()),
        metrics,
    };
    tasks.reload_mesh_keys(reloads.mesh, status.mesh.clone());
    tasks.serve_admin(&config, status).await?;

    let serving = serve_clients(client_listener, sockets, first_list, stop);
    let result = serve_while_event_loop_runs(serving, &mut event_loop).await;
    if let Some(tasks) = mesh_tasks {
        tasks.stop().await;
    }
    tasks.abort();
    event_loop.abort();
    result
}

fn new_event_loop(
    config: &GatewayConfig,
    sockets: &Sockets,
    clock: Clock,
    queue: &Queue,
    metrics: &Arc<Metrics>,
    stall_monitor: &Arc<StallMonitor>,
) -> EventLoop {
    let upstreams = UpstreamPool::new(
        config.limits.clone(),
        &config.settings,
        queue.clone(),
        metrics.clone(),
    );
    let limiter = config
        .settings
        .limiter(config.seed)
        .with_max_accounts(config.limits.event_loop.max_accounts);
    let peer_socket = sockets.peer_socket.clone();
    EventLoop::new(
        limiter,
        upstreams,
        peer_socket,
        clock,
        metrics.clone(),
        stall_monitor.clone(),
    )
}

/// Waits for the first endpoint list, up to a timeout, and then serves clients. Even the first request is then decided
/// by the agent's current list, as servers may have left since the cached one. Until then connections wait in the accept queue,
/// and `/healthcheck` returns 503.
async fn serve_clients<T>(
    client_listener: Arc<ClientListener>,
    sockets: Sockets,
    first_list: impl Future<Output = Result<T, Elapsed>>,
    stop: impl Future<Output = ()>,
) {
    if first_list.await.is_err() {
        log!(
            "discovery: no endpoint list received yet; starting with the cached list, if there is one"
        );
    }
    client_listener
        .serve(sockets.listener, sockets.origin, stop)
        .await;
}

fn log_unknown_keys(config: &GatewayConfig) {
    for key in &config.unknown_keys {
        log!("configuration: unknown key {key} has no effect; check its spelling");
    }
}

/// Shares the ids of requests with the other process of an upgrade. Upgrades are made only where the listening socket is
/// inherited.
fn share_ids(config: &GatewayConfig, sockets: &Sockets, client_listener: &ClientListener) {
    let Some(folder) = &config.shared_folder else {
        return;
    };
    if sockets.origin != ListenerOrigin::Inherited {
        return;
    }
    if let Err(error) = client_listener.share_ids(folder, config.listen) {
        log!(
            "clients: {error}; a request that is sent again during an upgrade may run twice; make {} writable",
            folder.display()
        );
    }
}

/// Joins the mesh of limiters, if the configuration has the section `mesh`.
async fn join_mesh(
    config: &GatewayConfig,
    client_listener: &Arc<ClientListener>,
) -> io::Result<Option<MeshTasks>> {
    let Some(section) = &config.mesh else {
        return Ok(None);
    };
    let client_listener = client_listener.clone();
    let is_serving = move || client_listener.is_serving();
    MeshTasks::start(section, config.name.clone(), config.seed, is_serving)
        .await
        .map(Some)
        .map_err(io::Error::other)
}

/// Runs `serving` to its end. Without an event loop, requests would be accepted but never decided: if it ends first, this
/// returns an error, so that the process exits and is restarted.
async fn serve_while_event_loop_runs(
    serving: impl Future<Output = ()>,
    event_loop: &mut JoinHandle<()>,
) -> io::Result<()> {
    tokio::select! {
        () = serving => Ok(()),
        end = event_loop => Err(io::Error::other(match end {
            Ok(()) => "the event loop has ended".to_owned(),
            Err(error) => format!("the event loop has ended: {error}"),
        })),
    }
}

#[cfg(test)]
mod tests;
