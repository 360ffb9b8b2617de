//! A client that sends requests at full speed on one connection, each of another customer.

use merlinreel_testkit::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Memory limit of the process under test.
const MEMORY_MB: u32 = 32;
/// How long the client sends.
const FLOOD_TIME: Duration = Duration::from_secs(6);
/// Number of requests that are written at once.
const PIPELINED: u32 = 50;
/// A request beside the flood is answered within this time.
const MAX_LATENCY: Duration = Duration::from_millis(500);

/// Sends requests of ever new customers, on a new connection where one is closed, and reads what is sent back.
fn flood(address: std::net::SocketAddr, class: &str, remaining: &str) {
    let started = Instant::now();
    let mut customer = 1000;
    while started.elapsed() < FLOOD_TIME {
        let mut stream = TcpStream::connect(address).expect("a connection");
        let mut reader = stream.try_clone().expect("a second handle");
        let reading =
            thread::spawn(
                move || while reader.read(&mut [0; 4096]).is_ok_and(|count| count > 0) {},
            );
        let mut is_open = true;
        while is_open && !reading.is_finished() && started.elapsed() < FLOOD_TIME {
            let requests: String = (customer..customer + PIPELINED)
                .map(|customer| request(class, customer, 1, remaining))
                .collect();
            customer += PIPELINED;
            is_open = stream.write_all(requests.as_bytes()).is_ok();
        }
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// Guards against memory that grows with the number of customers (the operators' picture b): the limiter stays under its
/// limit, and others are served.
#[test_case("pay", "1m" ; "without time for an attempt")]
#[test_case("pay", "3000m" ; "single use")]
#[test_case("look", "1500m" ; "idempotent")]
fn requests_of_ever_new_customers_stay_within_the_memory_limit(class: &str, remaining: &str) {
    let server = ScriptedServer::start(|_| ok_response());
    let mut config = config(&[instance("s-1", server.address, "up")]);
    config["limits"]["memory_mb"] = MEMORY_MB.into();
    let program = Program::start(&config);
    // The customer of the requests beside the flood has an account before the table of accounts is full.
    assert_eq!(program.client().request("look", 7, 1).status(), 200);
    let address = program.address;
    let (class, remaining) = (class.to_owned(), remaining.to_owned());
    let flooding = thread::spawn(move || flood(address, &class, &remaining));
    let mut answered = 0;
    while !flooding.is_finished() {
        let sent = Instant::now();
        let status = program.client().request("look", 7, 1).status();
        assert!(matches!(status, 200 | 429), "{status}");
        assert!(sent.elapsed() < MAX_LATENCY, "{:?}", sent.elapsed());
        answered += 1;
        thread::sleep(Duration::from_millis(200));
    }
    flooding.join().expect("a client that does not panic");
    assert!(answered > 0);
    let peak_kb = program.peak_memory_kb();
    assert!(peak_kb < u64::from(MEMORY_MB) << 10, "{peak_kb} KiB");
}
