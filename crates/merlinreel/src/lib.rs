//! The limiter on sockets: clients' HTTP/1.1 in front of the decision module, servers behind it. Each file
//! has one job; `driver` is the only one that knows the module.

pub mod admin;
pub mod client;
pub mod config;
pub mod endpoints;
pub mod event_loop;
pub mod mesh;
pub mod messages;
pub mod net;
pub mod peers;
pub mod telemetry;
pub mod upstream;

use net::backoff::Backoff;
use net::system_errors::is_of_this_machine;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Guards against a limiter that takes jobs and decides nothing: where the driver ends first, all does, to be
/// started again.
async fn attended(
    client_listener: impl Future<Output = ()>,
    driving: &mut JoinHandle<()>,
) -> io::Result<()> {
    tokio::select! {
        () = client_listener => Ok(()),
        end = driving => Err(io::Error::other(match end {
            Ok(()) => "the driver has ended".to_owned(),
            Err(error) => format!("the driver has ended: {error}"),
        })),
    }
}

/// Binds a socket, again and again for a while where this machine can't just then. Guards a start against a fault that
/// is over in a moment, as an address that the process before still holds.
async fn bound<T>(within: Duration, bind: impl AsyncFn() -> io::Result<T>) -> io::Result<T> {
    let (begun, mut backoff) = (Instant::now(), Backoff::default());
    loop {
        match bind().await {
            Err(error) if is_of_this_machine(&error) && begun.elapsed() < within => {
                backoff.pause().await
            }
            result => return result,
        }
    }
}

/// Listens at an address that a process before may have left just now, with so many connections waiting at most.
fn listen_at(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// What the operators' door tells.
struct Told {
    client_listener: Arc<client::ClientListener>,
    mesh: Option<merlinreel_mesh::shell::Mesh>,
    metrics: Arc<telemetry::metrics::Metrics>,
}

impl admin::AdminStatus for Told {
    fn is_serving(&self) -> bool {
        self.client_listener.is_serving()
    }
    fn stats(&self) -> String {
        self.metrics.text(self.client_listener.in_flight())
    }
    fn mesh(&self) -> Option<String> {
        self.mesh.as_ref().map(|mesh| mesh::told(mesh).to_string())
    }
}

/// What may turn while a limiter runs, with the values at its start.
#[derive(Debug)]
pub struct ReloadChannels {
    pub settings: watch::Receiver<merlinreel_settings::Settings>,
    /// Where the server list is watched.
    pub discovery: watch::Receiver<SocketAddr>,
    /// The mesh's keys are read again at each word of it.
    pub ground: watch::Receiver<Option<mesh::Ground>>,
}

/// Runs one limiter until `stop` ends and what it then holds is answered; `turns` tell what
/// the operators change meanwhile. Clients come through `handed` where the platform holds their socket, else
/// through `listen`. Needs a runtime of tokio's with time and I/O; one thread is enough.
pub async fn run(
    station: config::GatewayConfig,
    handed: Option<std::net::TcpListener>,
    metrics: Arc<telemetry::metrics::Metrics>,
    turns: ReloadChannels,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let clock = event_loop::Clock::start();
    let ReloadChannels {
        settings: mut tunes,
        discovery,
        ground: mut grounds,
    } = turns;
    let config::GatewayConfig {
        name,
        listen,
        ops,
        peer_listen,
        peers,
        seed,
        limits,
        settings,
        cached_endpoints,
        unknown_keys,
        mesh: ground,
        ..
    } = station;
    unknown_keys
        .iter()
        .for_each(|key| log!("configuration: key {key} is not known and has no effect"));
    let named = |what: &str, at, error: io::Error| {
        io::Error::new(error.kind(), format!("{what}: {at}: {error}"))
    };
    let (queue, events) = mpsc::channel(limits.event_loop.queue_length);
    let inherited = handed.is_some();
    let peer_sender = match peer_listen.filter(|_| settings.fleet.peer_messages) {
        Some(at) => {
            let peer_sender = bound(limits.listener.bind_timeout, async || {
                let sharing = if inherited {
                    peers::PortSharing::Shared
                } else {
                    peers::PortSharing::Exclusive
                };
                peers::PeerSender::open(at, &peers, sharing).await
            })
            .await;
            Some(peer_sender.map_err(|error| named("peer_listen", at, error))?)
        }
        None => None,
    };
    let listener = match handed {
        Some(handed) => TcpListener::from_std(handed)
            .map_err(|error| named("PROXY_LISTEN_FD", listen, error))?,
        None => bound(limits.listener.bind_timeout, async || {
            listen_at(listen, limits.listener.backlog)
        })
        .await
        .map_err(|error| named("listen", listen, error))?,
    };
    let version = cached_endpoints.as_ref().map(|update| update.version);
    let servers =
        upstream::UpstreamPool::new(limits.clone(), &settings, queue.clone(), metrics.clone());
    let (tune, active_settings) =
        watch::channel(Arc::new(messages::ActiveSettings::first(settings.clone())));
    let event_loop = event_loop::EventLoop::new(
        settings.limiter(seed),
        servers,
        peer_sender.clone(),
        clock,
        metrics.clone(),
    )
    .with_settings_sender(tune);
    let mut driving = tokio::spawn(event_loop.run(cached_endpoints, events));
    let (told, first) = oneshot::channel();
    let watching = endpoints::watch(discovery, version, limits.clone(), queue.clone(), told);
    let mut others = vec![tokio::spawn(watching)];
    others.extend(peer_sender.map(|peer_sender| tokio::spawn(peer_sender.receive(queue.clone()))));
    let retuning = queue.clone();
    others.push(tokio::spawn(async move {
        while tunes.changed().await.is_ok() {
            let settings = tunes.borrow_and_update().clone();
            if retuning
                .send(messages::Event::Reconfigure(Box::new(settings)))
                .await
                .is_err()
            {
                return;
            }
        }
    }));
    let at = listener
        .local_addr()
        .map_or_else(|_| listen.to_string(), |at| at.to_string());
    log!(
        "{name} takes jobs at {at}{}",
        if inherited {
            ", on the socket handed down"
        } else {
            ""
        }
    );
    let client_listener =
        client::ClientListener::new(limits.clone(), active_settings, queue, metrics.clone());
    let first = timeout(limits.endpoints.first_list_timeout, first);
    let taking = match &ground {
        Some(ground) => {
            let serving = client_listener.clone();
            let taking =
                mesh::Taking::begin(ground, name, seed, move || serving.is_serving()).await;
            Some(taking.map_err(io::Error::other)?)
        }
        None => None,
    };
    if let Some(mesh) = taking.as_ref().map(|taking| taking.mesh.clone()) {
        others.push(tokio::spawn(async move {
            while grounds.changed().await.is_ok() {
                let Some(ground) = grounds.borrow_and_update().clone() else {
                    continue;
                };
                match ground.keys() {
                    Ok(keys) => mesh.rekey(keys),
                    Err(error) => log!("{error}; the keys before stand"),
                }
            }
        }));
    }
    let told = taking.as_ref().map(|taking| taking.mesh.clone());
    if let Some(at) = ops {
        let listener = bound(limits.listener.bind_timeout, async || {
            TcpListener::bind(at).await
        })
        .await
        .map_err(|error| named("ops", at, error))?;
        others.push(tokio::spawn(admin::attend(
            listener,
            limits,
            Arc::new(Told {
                client_listener: client_listener.clone(),
                mesh: told,
                metrics,
            }),
        )));
    }
    let client_listener = async {
        // What the agent holds counts as told from the first moment on: guards against attempts to servers that left
        // since `known` was written. Clients wait on the socket meanwhile, `/healthcheck` says no.
        if first.await.is_err() {
            log!("discovery: no word from discovery; starting with the list as last held");
        }
        client_listener.attend(listener, inherited, stop).await
    };
    let ended = attended(client_listener, &mut driving).await;
    if let Some(taking) = taking {
        taking.end().await;
    }
    others
        .iter()
        .chain([&driving])
        .for_each(|task| task.abort());
    ended
}

#[cfg(test)]
mod tests;
