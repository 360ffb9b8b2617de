mod reading;

use super::connection::{ClientConnection, Times, lock, who_gives_way};
use super::*;
use crate::messages::Event;
use crate::net::observed_stream::IoObserver;
use hyper::body::Bytes;
use merlinreel_settings::{Settings, SettingsTree};
use test_case::test_case;
use tokio::sync::mpsc;

/// A connection with so many requests behind it, idle for so many seconds, perhaps with part of one there.
fn client_connection(requests: usize, idle: f64, heard: Option<f64>) -> Arc<ClientConnection> {
    let (queue, _news) = mpsc::channel(1);
    let client_connection = ClientConnection::new(queue.try_reserve_owned().expect("a place"));
    client_connection
        .requests
        .store(requests, Ordering::Relaxed);
    let ago = |seconds: f64| Instant::now() - Duration::from_secs_f64(seconds);
    *lock(&client_connection.times) = Times {
        arrived: Instant::now(),
        body_due: None,
        idle: ago(idle),
        heard: heard.map(ago),
        held_up: None,
    };
    Arc::new(client_connection)
}

fn terms() -> Settings {
    SettingsTree::from_json(&serde_json::json!({}))
        .and_then(|paths| Settings::read(&paths))
        .expect("sound")
}

fn limits() -> Limits {
    Limits::new(1024, 192, &terms()).expect("room")
}

/// One class, whose clients wait for up to 9 s.
fn looking() -> Settings {
    let settings = serde_json::json!({"packages": [{"name": "team"}], "balancers": 1, "classes":
        [{"name": "look", "idempotency": "read_like", "hardLimitS": 9}]});
    SettingsTree::from_json(&settings)
        .and_then(|paths| Settings::read(&paths))
        .expect("sound")
}

const LOOK: &[u8] = b"GET /look?key=7 HTTP/1.1\r\nX-Txn: 9b\r\nX-Lane: look\r\nX-Plan: team\r\n\
    X-Remaining: 8000m\r\nX-Quota: units=1,spread=1,first=0\r\n\r\n";

/// A client that wrote something, and its connection as it was accepted.
fn came_with(text: &[u8]) -> std::io::Result<(std::net::TcpStream, TcpStream)> {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    let mut client = std::net::TcpStream::connect(listener.local_addr()?)?;
    client.write_all(text)?;
    let (stream, _) = listener.accept()?;
    stream.set_nonblocking(true)?;
    Ok((client, TcpStream::from_std(stream)?))
}

/// Asked to give way, with a first request that came in unseen: it has its answer.
#[tokio::test]
async fn what_came_in_unseen_is_answered() -> std::io::Result<()> {
    use std::io::Read;
    let (mut client, stream) = came_with(b"GET /up HTTP/1.1\r\n\r\n")?;
    let (queue, _news) = mpsc::channel(1);
    let asked = client_connection(0, 1.0, None);
    asked.evicted.store(true, Ordering::Relaxed);
    asked.close.notify_one();
    let door = ClientListener::new(
        limits(),
        watch::channel(Arc::new(ActiveSettings::first(terms()))).1,
        queue,
        Metrics::new(&[]),
    );
    door.opened.store(true, Ordering::Relaxed);
    door.serve(stream, asked).await;
    let mut answer = String::new();
    client.read_to_string(&mut answer)?;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    Ok(())
}

/// Held up since so many seconds, and tried again just now. Guards the places, and a stop, against a client that
/// never reads: each try that fails is not a new beginning.
#[test_case(5.0 => false ; "it may read on")]
#[test_case(11.0 => true ; "it has gone")]
fn a_reader_that_takes_nothing_gives_way(since: f64) -> bool {
    let one = client_connection(1, 20.0, None);
    lock(&one.times).held_up = Some(Instant::now() - Duration::from_secs_f64(since));
    one.held_up();
    one.rests(&limits())
}

/// An answer of more than the kernel holds, to a client that takes far longer for it than a connection may be
/// without a second request: it gets all. Guards against closing the connection under the last bytes.
#[tokio::test]
async fn a_slow_reader_gets_the_whole_of_its_answer() -> std::io::Result<()> {
    use std::io::Read;
    const LENGTH: usize = 24 << 20;
    let (mut client, stream) = came_with(LOOK)?;
    let (queue, mut news) = mpsc::channel(9);
    let limits = Limits {
        client_whole: Duration::from_millis(40),
        ..limits()
    };
    let door = ClientListener::new(
        limits,
        watch::channel(Arc::new(ActiveSettings::first(looking()))).1,
        queue,
        Metrics::new(&[]),
    );
    let one = client_connection(0, 0.0, None);
    tokio::spawn(async move {
        door.serve(stream, one).await;
    });
    let Some(Event::Request(arrival)) = news.recv().await else {
        panic!("no job")
    };
    let body = Bytes::from(vec![b'x'; LENGTH]);
    let delivery = crate::messages::UpstreamResponse {
        headers: Default::default(),
        body,
        flow: None,
    };
    arrival
        .answer
        .send(crate::messages::ClientResponse::Success(delivery))
        .expect("a client that waits");
    let read = tokio::task::spawn_blocking(move || {
        std::thread::sleep(Duration::from_millis(400));
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).map(|_| answer.len())
    });
    assert!(read.await.expect("read")? > LENGTH);
    Ok(())
}

#[test_case(7, 9 => Vec::<usize>::new() ; "nobody where there is room")]
#[test_case(6, 9 => vec![3] ; "who never asked first")]
#[test_case(3, 9 => vec![3, 1, 2] ; "then who asked once, the longest idle first")]
#[test_case(2, 6 => vec![3, 1, 2, 0] ; "who comes back where all places are taken")]
fn who_leaves_for_others(kept: usize, places: usize) -> Vec<usize> {
    let limits = Limits {
        clients_kept: kept,
        clients_most: places,
        client_unended: Duration::from_secs(9),
        ..limits()
    };
    let mut client_connections = vec![
        client_connection(9, 5.0, None),
        client_connection(1, 4.0, None),
        client_connection(1, 3.0, None),
        client_connection(0, 1.0, None),
    ];
    // With its first request under way, and with one in hand.
    client_connections.extend([
        client_connection(0, 0.2, Some(0.2)),
        client_connection(9, 4.0, None),
    ]);
    client_connections[5].busy.store(true, Ordering::Relaxed);
    let chosen = who_gives_way(client_connections.iter(), &limits);
    let place = |one: &ClientConnection| {
        client_connections
            .iter()
            .position(|client_connection| std::ptr::eq(client_connection.as_ref(), one))
    };
    chosen.into_iter().filter_map(place).collect()
}

/// Connections that wait on the socket as it is let go of, their requests with them, are taken and answered. Guards
/// them against the socket's end, at which the kernel resets all that was never accepted.
#[tokio::test]
async fn what_waits_on_the_socket_is_taken_before_it_goes() -> std::io::Result<()> {
    use std::io::{Read, Write};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let mut clients = Vec::new();
    for _ in 0..20 {
        let mut client = std::net::TcpStream::connect(listener.local_addr()?)?;
        client.write_all(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")?;
        clients.push(client);
    }
    let (queue, _news) = mpsc::channel(64);
    let door = ClientListener::new(
        limits(),
        watch::channel(Arc::new(ActiveSettings::first(terms()))).1,
        queue,
        Metrics::new(&[]),
    );
    door.take_waiting(listener, &Arc::new(tokio::sync::Semaphore::new(64)))
        .await?;
    while !lock(&door.client_connections).is_empty() {
        sleep(Duration::from_millis(1)).await;
    }
    for mut client in clients {
        let mut answer = String::new();
        client.read_to_string(&mut answer)?;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    Ok(())
}

/// So many requests behind it, idle for so many seconds, with part of one there or in hand; early or late in a stop.
#[test_case(2, 0.15, None, false, false => true ; "it rested")]
#[test_case(2, 0.05, None, false, false => false ; "just used")]
#[test_case(2, 0.05, None, false, true => true ; "just used, but it is late")]
#[test_case(0, 0.3, None, false, true => false ; "its first request may come")]
#[test_case(0, 0.5, None, false, false => true ; "its first one never came")]
#[test_case(2, 5.0, Some(1.0), false, true => false ; "half a request")]
#[test_case(2, 5.0, None, true, true => false ; "in hand")]
fn a_stop_closes_between_requests(
    requests: usize,
    idle: f64,
    heard: Option<f64>,
    busy: bool,
    late: bool,
) -> bool {
    let one = client_connection(requests, idle, heard);
    one.busy.store(busy, Ordering::Relaxed);
    one.may_go(&limits(), late)
}

/// A job taken after the signal ends before the process may be killed, whatever time its client has left: the
/// longest deadline, counted as 3 s at most, and 0.7 s after the signal. Guards it against being in hand then.
#[tokio::test]
async fn a_job_that_comes_late_ends_before_the_kill() -> std::io::Result<()> {
    let limits = Limits::new(1024, 192, &looking()).expect("room");
    let end = crate::config::limits::stop_end(&looking().classes);
    assert_eq!(end, Duration::from_millis(3300));
    let (_client, stream) = came_with(LOOK)?;
    let (queue, mut news) = mpsc::channel(9);
    let tuned = watch::channel(Arc::new(ActiveSettings::first(looking()))).1;
    let door = ClientListener::new(limits.clone(), tuned, queue, Metrics::new(&[]));
    let asked = *door.asked.get_or_init(Instant::now);
    tokio::spawn(async move { door.serve(stream, client_connection(0, 0.0, None)).await });
    let Some(Event::Request(arrival)) = news.recv().await else {
        panic!("no job")
    };
    assert_eq!(arrival.until, asked + end);
    Ok(())
}

/// A door that takes jobs of one class, with the news that the driver would get.
fn open_door(limits: Limits) -> (Arc<ClientListener>, mpsc::Receiver<Event>) {
    let (queue, news) = mpsc::channel(9);
    let tuned = watch::channel(Arc::new(ActiveSettings::first(looking()))).1;
    let door = ClientListener::new(limits, tuned, queue, Metrics::new(&[]));
    door.opened.store(true, Ordering::Relaxed);
    (door, news)
}

/// A connection served as the door serves each, and the client's news with a place of its own.
fn served(
    door: &Arc<ClientListener>,
    stream: TcpStream,
) -> (Arc<ClientConnection>, tokio::task::JoinHandle<()>) {
    let client_connection = Arc::new(ClientConnection::new(
        door.queue.clone().try_reserve_owned().expect("a place"),
    ));
    let (door, one) = (door.clone(), client_connection.clone());
    (
        client_connection,
        tokio::spawn(async move { door.serve(stream, one).await }),
    )
}

/// Waits for a connection's mark of how far it has come.
async fn marked(mark: &AtomicBool) {
    let set = async {
        while !mark.load(Ordering::Relaxed) {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), set)
        .await
        .expect("in time");
}

async fn next(news: &mut mpsc::Receiver<Event>) -> Event {
    let next = tokio::time::timeout(Duration::from_secs(20), news.recv()).await;
    next.expect("in time").expect("a door")
}

/// A client that goes while its job waits, with something sent behind the request: the driver hears of it. Guards
/// servers against jobs that nobody waits for, as the HTTP library reads no more once there is anything behind one.
#[test_case(0 ; "nothing behind it")]
#[test_case(3 ; "half a line")]
#[test_case(9_000 ; "more than a head")]
#[test_case(300_000 ; "a flood")]
#[tokio::test]
async fn a_client_that_goes_is_seen(behind: usize) -> std::io::Result<()> {
    use std::io::Write;
    let (mut client, stream) = came_with(LOOK)?;
    let (door, mut news) = open_door(limits());
    let _served = served(&door, stream);
    let Event::Request(arrival) = next(&mut news).await else {
        panic!("no job")
    };
    let goes = tokio::task::spawn_blocking(move || client.write_all(&vec![b'x'; behind]));
    let Event::ClientDisconnected(ticket) = next(&mut news).await else {
        panic!("it has not left")
    };
    assert_eq!(ticket, arrival.ticket);
    goes.await.expect("written")
}

/// A connection closed over what its client still sends: the client gets the whole of its answer and then an orderly
/// end, no reset. What comes after the limiter's side has ended is of no request, and never sent on.
#[tokio::test]
async fn a_close_over_bytes_on_their_way_is_no_reset() -> std::io::Result<()> {
    use std::io::{Read, Write};
    let (mut client, stream) = came_with(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")?;
    let (door, mut news) = open_door(limits());
    let (client_connection, serving) = served(&door, stream);
    marked(&client_connection.closing).await;
    let answer = tokio::task::spawn_blocking(move || {
        client.write_all(LOOK)?;
        let mut answer = String::new();
        client.read_to_string(&mut answer)?;
        // Its end is orderly to the last: what is sent now would meet a reset, had there been one.
        client.write_all(LOOK)?;
        Ok::<_, std::io::Error>(answer)
    });
    assert!(answer.await.expect("read")?.starts_with("HTTP/1.1 200"));
    serving.await.expect("served");
    assert!(news.try_recv().is_err());
    Ok(())
}

/// What crosses the end of the limiter's side is not read: a request in it was read by nobody, and its client may send it
/// again. The close is over as soon as the client ends its side, whatever lies unread.
#[tokio::test]
async fn nothing_is_read_after_the_limiter_s_side_has_ended() -> std::io::Result<()> {
    use std::io::{Read, Write};
    let (mut client, stream) = came_with(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")?;
    let stream = stream.into_std()?;
    let kernel = stream.try_clone()?;
    let limits = Limits {
        client_lingers: Duration::from_secs(3600),
        ..limits()
    };
    let (door, mut news) = open_door(limits);
    let (client_connection, serving) = served(&door, TcpStream::from_std(stream)?);
    marked(&client_connection.closing).await;
    let crossing = tokio::task::spawn_blocking(move || {
        client.read_to_string(&mut String::new())?;
        client.write_all(LOOK)?;
        // Time enough for a reader that reads.
        std::thread::sleep(Duration::from_millis(100));
        Ok::<_, std::io::Error>(client)
    });
    let client = crossing.await.expect("written")?;
    assert_eq!(kernel.peek(&mut [0; 1024])?, LOOK.len());
    drop(client);
    tokio::time::timeout(Duration::from_secs(20), serving)
        .await
        .expect("over")
        .expect("served");
    assert!(news.try_recv().is_err());
    Ok(())
}

/// A client that rests until it is ended, and then goes on resting: its place is given to another at once, and the close
/// is over in its time.
#[test_case(true ; "another needs the place")]
#[test_case(false ; "nobody does")]
#[tokio::test]
async fn a_client_that_never_ends_its_side_holds_nothing_up(needed: bool) -> std::io::Result<()> {
    let (_client, stream) = came_with(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")?;
    let lingers = Duration::from_secs(if needed { 3600 } else { 0 });
    let (door, _news) = open_door(Limits {
        client_lingers: lingers,
        ..limits()
    });
    let (client_connection, serving) = served(&door, stream);
    if needed {
        marked(&client_connection.closing).await;
        client_connection.evict();
    }
    tokio::time::timeout(Duration::from_secs(20), serving)
        .await
        .expect("closed")
        .expect("served");
    Ok(())
}

/// The call by which the platform asks whether jobs are taken is over once it is answered. Guards a stop against
/// waiting 2.2 s for the rest of a request that never began.
#[tokio::test]
async fn a_call_of_up_leaves_the_connection_at_rest() -> std::io::Result<()> {
    use std::io::Read;
    let (mut client, stream) = came_with(b"GET /up HTTP/1.1\r\n\r\n")?;
    let (door, _news) = open_door(limits());
    let (client_connection, _serving) = served(&door, stream);
    let read = tokio::task::spawn_blocking(move || client.read(&mut [0; 64]).map(|_| client));
    let _client = read.await.expect("read")?;
    assert!(lock(&client_connection.times).heard.is_none());
    Ok(())
}
