//! Servers that begin to drain while connections for attempts to them are being established.

use super::client_disconnects::{listener_with_full_backlog, wait_for_pending_connection};
use merlinreel_testkit::*;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

/// An attempt whose connection is still being established when its server begins to drain moves to another server.
/// Otherwise it could be sent to the draining server long after the drain grace period, whenever its connection is
/// established.
#[test]
fn unstarted_attempt_leaves_a_draining_server() {
    let (listener, _backlog_holder) = listener_with_full_backlog();
    let draining = listener.local_addr().expect("a local address");
    let other = ScriptedServer::start(|_| ok_response());
    let (list_sender, lists) = channel();
    let discovery = discovery(lists);
    let mut config = config(&[instance("s-1", draining, "up")]);
    config["discovery"] = discovery.address.to_string().into();
    config["settings"]["policyLimits"]["connectTimeoutS"] = 20.into();
    let program = Program::start(&config);
    let mut client = program.client();
    client.send(&request("pay", 1, 1, "4000m"));
    wait_for_pending_connection(draining, None);
    let changes = [
        instance("s-1", draining, "draining"),
        instance("s-2", other.address, "up"),
    ];
    list_sender
        .send(list_changes(2, &changes).to_string())
        .expect("sent");
    assert_eq!(
        client.receive().map(|response| response.status()),
        Some(200)
    );
    assert_eq!(other.requests.try_iter().count(), 1);
}

/// Guards against work for a draining server under another one's name: a known server that moves to the address of one that is
/// gone, but still listed, gets nothing after it drains.
#[test]
fn server_that_moved_to_a_listed_address_gets_nothing_after_it_drains() {
    /// The time after the list's change until which requests may still arrive, here 1 s, with a margin.
    const DRAIN_GRACE: Duration = Duration::from_millis(1200);
    /// Time in which requests that are sent on reach their server.
    const SEND_TIME: Duration = Duration::from_millis(300);
    let server = ScriptedServer::start(|_| ok_response());
    let (list_sender, lists) = channel();
    let discovery = discovery(lists);
    let known = [
        instance("s-1", server.address, "up"),
        instance("s-2", free_address(), "up"),
    ];
    let mut config = config(&known);
    config["discovery"] = discovery.address.to_string().into();
    let program = Program::start(&config);
    for (version, state) in [(2, "up"), (3, "draining")] {
        let change = [instance("s-2", server.address, state)];
        let list = list_changes(version, &change).to_string();
        list_sender.send(list).expect("sent");
    }
    thread::sleep(DRAIN_GRACE);
    server.requests.try_iter().for_each(drop);
    let mut clients: Vec<Client> = (0..20).map(|_| program.client()).collect();
    for (customer, client) in (1..).zip(&mut clients) {
        client.send(&request("look", customer, 1, "4000m"));
    }
    thread::sleep(SEND_TIME);
    assert_eq!(server.requests.try_iter().count(), 0);
}
