//! What a client sends behind a request, in pieces or in chunks.

use super::*;
use test_case::test_case;

/// Bytes that may come behind a request in hand.
const AHEAD: usize = 8192;

/// What a client sends behind its request is its next one, and is served in its turn; of a flood nothing is.
#[test_case(0 => 2 ; "the next request")]
#[test_case(100_000 => 2 ; "with noise behind it, which is kept until it is its turn")]
#[test_case(600_000 => 1 ; "with a flood behind it")]
#[tokio::test]
async fn requests_behind_another(noise: usize) -> usize {
    use std::io::{Read, Write};
    let (mut client, stream) = came_with(LOOK).expect("a client");
    let (door, mut news) = open_door(limits());
    let (client_connection, serving) = served(&door, stream);
    let Event::Request(first) = next(&mut news).await else {
        panic!("no job")
    };
    let writing = tokio::task::spawn_blocking(move || {
        let second = String::from_utf8_lossy(LOOK).replace("9b", "9c");
        client
            .write_all(second.as_bytes())
            .and_then(|()| client.write_all(&vec![b'x'; noise]))
            .expect("taken");
        client
    });
    let client = writing.await.expect("written");
    // All of it was taken by the kernel; that it was seen to be too much shows in the connection's own mark.
    let flood = noise > limits().client_ahead;
    if flood {
        marked(&client_connection.flooded).await;
    }
    first
        .answer
        .send(crate::messages::ClientResponse::Failed)
        .expect("a client that waits");
    let jobs = if flood {
        1
    } else {
        let Event::Request(second) = next(&mut news).await else {
            panic!("no second job")
        };
        second
            .answer
            .send(crate::messages::ClientResponse::Failed)
            .expect("a client that waits");
        2
    };
    client
        .shutdown(std::net::Shutdown::Write)
        .expect("its side ends");
    let answers = tokio::task::spawn_blocking(move || {
        let mut all = String::new();
        (&client)
            .read_to_string(&mut all)
            .map(|_| all.matches("HTTP/1.1 502").count())
    });
    assert_eq!(answers.await.expect("read").expect("no reset"), jobs);
    serving.await.expect("served");
    assert!(news.try_recv().is_err());
    jobs
}

/// Two requests in one piece: the HTTP library gets one head a read, with what is known of that head, and what is held
/// back counts as unread until then. Guards against a Content-Length that is taken for another request's, and against a
/// close over a request that has left the kernel already.
#[tokio::test]
async fn the_library_reads_one_head_at_a_time() -> std::io::Result<()> {
    use tokio::io::AsyncReadExt;
    const FIRST: &[u8] = b"POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\n";
    const SECOND: &[u8] = b"bodyPOST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const THIRD: &[u8] = b"0\r\n\r\n";
    let (_client, stream) = came_with(&[FIRST, SECOND, THIRD].concat())?;
    let client_connection = client_connection(2, 0.0, None);
    let mut line = ClientStream::new(
        stream,
        client_connection.clone(),
        &limits(),
        AdmissionPermits::new(&limits()),
    );
    let mut into = [0; 8192];
    for (section, content_length) in [(FIRST, true), (SECOND, false), (THIRD, false)] {
        assert!(line.waits());
        lock(&client_connection.times).heard = None;
        let length = line.read(&mut into).await?;
        assert_eq!(into[..length], *section);
        assert_eq!(client_connection.observed().content_length, content_length);
        assert!(
            lock(&client_connection.times).heard.is_some(),
            "what was held back is heard as it is read"
        );
    }
    assert!(!line.waits());
    Ok(())
}

/// What the library had room for is no flood, however short its reads are; as much again may come behind a request.
#[test_case(8192, AHEAD => false ; "as much as may come")]
#[test_case(8192, AHEAD + 1 => true ; "a byte more")]
#[test_case(100, AHEAD => false ; "less in the library's read")]
#[test_case(100, AHEAD + 1 => true ; "less in the library's read and a byte more")]
#[tokio::test]
async fn what_is_held_back_is_no_flood(first: usize, behind: usize) -> bool {
    use std::io::Write;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (mut client, stream) =
        came_with(&[b"\r\n", vec![b'x'; first - 2].as_slice()].concat()).expect("a client");
    let client_connection = client_connection(2, 0.0, None);
    let limits = Limits {
        client_ahead: AHEAD,
        ..limits()
    };
    let mut line = ClientStream::new(
        stream,
        client_connection.clone(),
        &limits,
        AdmissionPermits::new(&limits),
    );
    let length = line.read(&mut [0; 8192]).await.expect("read");
    assert_eq!(length, 2);
    client_connection.busy.store(true, Ordering::Relaxed);
    client.write_all(&vec![b'x'; behind]).expect("taken");
    drop(client);
    // Each turn looks ahead, until the client's end is seen.
    while line.flush().await.is_ok() {
        tokio::task::yield_now().await;
    }
    client_connection.flooded.load(Ordering::Relaxed)
}

/// The kernel ends a read before bytes that are there already, as at an urgent mark, and the poller tells of nothing more:
/// the rest is read all the same, and the request served.
#[tokio::test]
async fn a_read_that_stops_short_holds_nothing_up() -> std::io::Result<()> {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    let mut client = std::net::TcpStream::connect(listener.local_addr()?)?;
    let (begin, rest) = LOOK.split_at(30);
    client.write_all(begin)?;
    socket2::SockRef::from(&client).send_out_of_band(b"!")?;
    client.write_all(rest)?;
    let (stream, _) = listener.accept()?;
    stream.set_nonblocking(true)?;
    // All of it is there before the first read.
    while stream.peek(&mut [0; 64])? < begin.len() {
        tokio::task::yield_now().await;
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let limits = Limits {
        client_whole: Duration::from_secs(3600),
        ..limits()
    };
    let (door, mut news) = open_door(limits);
    let _served = served(&door, TcpStream::from_std(stream)?);
    let Event::Request(arrival) = next(&mut news).await else {
        panic!("no job")
    };
    assert_eq!(arrival.parcel.uri.path(), "/look");
    Ok(())
}

/// A class whose requests have a body.
fn paying() -> Settings {
    let settings = serde_json::json!({"packages": [{"name": "team"}], "balancers": 1, "classes":
        [{"name": "pay", "idempotency": "non_idempotent", "hardLimitS": 9}]});
    SettingsTree::from_json(&settings)
        .and_then(|paths| Settings::read(&paths))
        .expect("sound")
}

/// A chunked body, its length untold, takes its place in the memory piece by piece, and gives it back where it is
/// refused. Guards the memory against many bodies at once that come in chunks.
#[tokio::test]
async fn a_chunked_body_claims_memory_as_it_comes() -> std::io::Result<()> {
    use std::io::Read;
    const HEAD: &str = "POST /pay?key=7 HTTP/1.1\r\nX-Txn: 9b\r\nX-Lane: pay\r\nX-Plan: team\r\n\
        X-Remaining: 8000m\r\nX-Quota: units=1,spread=1,first=0\r\nTransfer-Encoding: chunked\r\n\r\n";
    let (queue, mut news) = mpsc::channel(9);
    let tuned = watch::channel(Arc::new(ActiveSettings::first(paying()))).1;
    let door = ClientListener::new(
        Limits {
            bodies: 8,
            ..limits()
        },
        tuned,
        queue,
        Metrics::new(&[]),
    );
    let (mut client, stream) =
        came_with(format!("{HEAD}6\r\na body\r\n3\r\nabc\r\n0\r\n\r\n").as_bytes())?;
    client.set_read_timeout(Some(Duration::from_secs(20)))?;
    let _refused = served(&door, stream);
    let read = tokio::task::spawn_blocking(move || {
        let mut answer = String::new();
        client.read_to_string(&mut answer).map(|_| answer)
    });
    let answer = read.await.expect("read")?;
    assert!(
        answer.starts_with("HTTP/1.1 503") && answer.ends_with("too much in hand\n"),
        "{answer}"
    );
    let (_client, stream) =
        came_with(format!("{HEAD}6\r\na body\r\n2\r\nab\r\n0\r\n\r\n").as_bytes())?;
    let _taken = served(&door, stream);
    let Event::Request(arrival) = next(&mut news).await else {
        panic!("no job")
    };
    assert_eq!(arrival.parcel.body, "a bodyab");
    assert!(
        door.claims.body(1).is_none(),
        "all of it is held while the job is open"
    );
    drop(arrival);
    Ok(())
}
