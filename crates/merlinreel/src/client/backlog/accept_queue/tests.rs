use super::*;
use test_case::test_case;

const TABLE: &str = "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode\n\
    0: 0100007F:238C 00000000:0000 0A 00000000:0000001C 00:00000000 00000000     0        0 1 1\n\
    1: 0100007F:238D 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 2 1\n\
    2: 0100007F:238E 0100007F:238C 01 00000000:00000005 00:00000000 00000000     0        0 3 1\n";

#[test_case("0100007F:238C" => Some(28) ; "some wait")]
#[test_case("0100007F:238D" => Some(0) ; "none waits")]
#[test_case("0100007F:238E" => None ; "a connection")]
#[test_case("0100007F:2390" => None ; "not there")]
fn number_that_waits_is_found_in_the_table(address: &str) -> Option<u64> {
    find_waiting(TABLE.as_bytes(), address)
}

#[test]
fn connections_that_wait_are_counted() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    assert_eq!(queue_length(address), Some(0));
    let clients: Vec<_> = (0..3)
        .map(|_| std::net::TcpStream::connect(address).expect("connected"))
        .collect();
    assert_eq!(queue_length(address), Some(clients.len() as u64));
}
