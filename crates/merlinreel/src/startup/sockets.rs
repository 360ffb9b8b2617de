//! Binds the sockets for clients, peers and the admin endpoint.

use crate::client::ListenerOrigin;
use crate::config::GatewayConfig;
use crate::log;
use crate::net::backoff::Backoff;
use crate::net::system_errors::is_local_error;
use crate::peers::{PeerSocket, PortSharing};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};

/// The sockets for clients and peers.
pub struct Sockets {
    /// The listening socket for clients.
    pub listener: TcpListener,
    /// Whether the listening socket was bound or inherited.
    pub origin: ListenerOrigin,
    /// The socket for peer messages; `None` if this limiter exchanges none.
    pub peer_socket: Option<PeerSocket>,
}

impl Sockets {
    /// Binds the configured addresses. If the platform passes a listening socket on, `inherited` replaces the one for
    /// clients.
    ///
    /// # Errors
    ///
    /// A socket can't be bound. The error's text begins with the key of its address.
    pub async fn bind(
        config: &GatewayConfig,
        inherited: Option<std::net::TcpListener>,
    ) -> io::Result<Sockets> {
        let origin = if inherited.is_some() {
            ListenerOrigin::Inherited
        } else {
            ListenerOrigin::Bound
        };
        let peer_socket = bind_peers(config, origin).await?;
        let listener = match inherited {
            Some(listener) => TcpListener::from_std(listener)
                .map_err(|error| with_address("PROXY_LISTEN_FD", config.listen, error))?,
            None => bind_clients(config).await?,
        };
        Ok(Sockets {
            listener,
            origin,
            peer_socket,
        })
    }

    /// Logs the address at which clients connect.
    pub fn log_address(&self, config: &GatewayConfig) {
        let address = self
            .listener
            .local_addr()
            .map_or_else(|_| config.listen.to_string(), |address| address.to_string());
        let origin = match self.origin {
            ListenerOrigin::Inherited => " (inherited socket)",
            ListenerOrigin::Bound => "",
        };
        log!(
            "clients: limiter {} accepts connections at {address}{origin}",
            config.name
        );
    }
}

async fn bind_peers(
    config: &GatewayConfig,
    origin: ListenerOrigin,
) -> io::Result<Option<PeerSocket>> {
    let Some(address) = config
        .peer_listen
        .filter(|_| config.settings.fleet.peer_messages)
    else {
        return Ok(None);
    };
    let sharing = match origin {
        ListenerOrigin::Inherited => PortSharing::Shared,
        ListenerOrigin::Bound => PortSharing::Exclusive,
    };
    bind_with_retry(config.limits.listener.bind_timeout, async || {
        PeerSocket::open(address, &config.peers, sharing).await
    })
    .await
    .map(Some)
    .map_err(|error| with_address("peer_listen", address, error))
}

async fn bind_clients(config: &GatewayConfig) -> io::Result<TcpListener> {
    let limits = &config.limits.listener;
    bind_with_retry(limits.bind_timeout, async || {
        listen(config.listen, limits.backlog)
    })
    .await
    .map_err(|error| with_address("listen", config.listen, error))
}

/// Binds the admin endpoint.
///
/// # Errors
///
/// The address can't be bound.
pub async fn bind_admin(address: SocketAddr, bind_timeout: Duration) -> io::Result<TcpListener> {
    bind_with_retry(bind_timeout, async || TcpListener::bind(address).await)
        .await
        .map_err(|error| with_address("ops", address, error))
}

/// Binds a socket. For the time `within`, retries errors of this machine that may be temporary, such as an address that the
/// previous process still uses.
async fn bind_with_retry<T>(
    within: Duration,
    bind: impl AsyncFn() -> io::Result<T>,
) -> io::Result<T> {
    let started = Instant::now();
    let mut backoff = Backoff::default();
    loop {
        match bind().await {
            Err(error) if is_local_error(&error) && started.elapsed() < within => {
                backoff.pause().await;
            }
            result => return result,
        }
    }
}

/// Listens at an address that a previous process may just have released, with an accept queue of `backlog` connections.
fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

fn with_address(key: &str, address: SocketAddr, error: io::Error) -> io::Error {
    io::Error::new(
        error.kind(),
        format!("{key}: cannot listen at {address}: {error}"),
    )
}
