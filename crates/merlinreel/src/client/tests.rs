mod closing;
mod eviction;
mod reading;
mod response_heads;
mod shutdown;

use super::ClientListener;
use super::connection::{ClientConnection, ConnectionTimes};
use crate::config::limits::Limits;
use crate::messages::{ActiveSettings, Event};
use crate::stall::StallMonitor;
use crate::sync::lock;
use crate::telemetry::metrics::Metrics;
use hyper::body::Bytes;
use merlinreel_settings::{Settings, SettingsTree};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// A connection that has received `requests` requests, has been idle for `idle_s` seconds and, if `partial_s` is given, has
/// had a partial request for that many seconds.
fn client_connection(
    requests: usize,
    idle_s: f64,
    partial_s: Option<f64>,
) -> Arc<ClientConnection> {
    let (queue, _events) = mpsc::channel(1);
    let client_connection =
        ClientConnection::new(queue.try_reserve_owned().expect("queue capacity"));
    client_connection
        .requests
        .store(requests, Ordering::Relaxed);
    let ago = |seconds: f64| {
        Instant::now()
            .checked_sub(Duration::from_secs_f64(seconds))
            .unwrap()
    };
    *lock(&client_connection.times) = ConnectionTimes {
        head_arrived_at: Instant::now(),
        body_due: None,
        idle_since: ago(idle_s),
        partial_since: partial_s.map(ago),
        write_blocked_since: None,
        waits_for_server_since: None,
    };
    Arc::new(client_connection)
}

/// Settings without any class.
fn settings() -> Settings {
    SettingsTree::from_json(&serde_json::json!({}))
        .and_then(|paths| Settings::read(&paths))
        .expect("valid settings")
}

fn limits() -> Limits {
    Limits::new(1024, 192, &settings()).expect("enough descriptors and memory")
}

/// Settings with one class, `look`, whose deadline is 9 s.
fn settings_with_look_class() -> Settings {
    let settings = serde_json::json!({"packages": [{"name": "team"}], "balancers": 1, "classes":
        [{"name": "look", "idempotency": "read_like", "hardLimitS": 9}]});
    SettingsTree::from_json(&settings)
        .and_then(|paths| Settings::read(&paths))
        .expect("valid settings")
}

/// A request of the class `look`.
const LOOK_REQUEST: &[u8] =
    b"GET /look?key=7 HTTP/1.1\r\nX-Txn: 9b\r\nX-Lane: look\r\nX-Plan: team\r\n\
    X-Remaining: 8000m\r\nX-Quota: units=1,spread=1,first=0\r\n\r\n";

/// A readiness check that asks to close its connection.
const UP_REQUEST_WITH_CLOSE: &[u8] = b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n";

/// Connects a client that sends `text`. Returns the client's and the accepted side of the connection.
fn connect_client(text: &[u8]) -> std::io::Result<(std::net::TcpStream, TcpStream)> {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    let mut client = std::net::TcpStream::connect(listener.local_addr()?)?;
    client.write_all(text)?;
    let (stream, _) = listener.accept()?;
    stream.set_nonblocking(true)?;
    Ok((client, TcpStream::from_std(stream)?))
}

/// A listener that has not started, and the receiver of the events that it sends to the event loop.
fn new_listener(
    limits: Limits,
    settings: Settings,
) -> (Arc<ClientListener>, mpsc::Receiver<Event>) {
    let (queue, events) = mpsc::channel(64);
    let active_settings = watch::channel(Arc::new(ActiveSettings::initial(settings))).1;
    let metrics = Metrics::new(&[]);
    let stall_monitor = StallMonitor::new(metrics.clone());
    let client_listener =
        ClientListener::new(limits, active_settings, queue, metrics, stall_monitor);
    (client_listener, events)
}

/// A started listener that accepts requests of the class `look`, and the receiver of its events.
fn serving_listener(limits: Limits) -> (Arc<ClientListener>, mpsc::Receiver<Event>) {
    let (client_listener, events) = new_listener(limits, settings_with_look_class());
    client_listener.started.store(true, Ordering::Relaxed);
    (client_listener, events)
}

/// Spawns a task that serves an accepted connection, as the listener does.
fn spawn_serving(
    client_listener: &Arc<ClientListener>,
    stream: TcpStream,
) -> (Arc<ClientConnection>, tokio::task::JoinHandle<()>) {
    let client_connection = Arc::new(ClientConnection::new(
        client_listener
            .queue
            .clone()
            .try_reserve_owned()
            .expect("queue capacity"),
    ));
    let served = client_connection.clone();
    let client_listener = client_listener.clone();
    let task = tokio::spawn(async move { client_listener.serve_connection(stream, served).await });
    (client_connection, task)
}

/// Waits until a connection's flag is set.
async fn wait_until_set(flag: &AtomicBool) {
    let set = async {
        while !flag.load(Ordering::Relaxed) {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), set)
        .await
        .expect("flag set within 20 s");
}

async fn next_event(events: &mut mpsc::Receiver<Event>) -> Event {
    let next = tokio::time::timeout(Duration::from_secs(20), events.recv()).await;
    next.expect("event within 20 s")
        .expect("listener still running")
}
