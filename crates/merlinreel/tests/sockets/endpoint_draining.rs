//! Servers that begin to drain while attempts at them are being connected.

use super::client_disconnects::{server_with_a_full_queue, wait_for_connecting};
use merlinreel_testkit::*;
use std::sync::mpsc::channel;

/// The connection of an attempt is still being established as its server begins to drain: the attempt moves to another server,
/// and nothing is written to this one, however long after the drain grace its connection is established.
#[test]
fn unstarted_attempt_leaves_a_draining_server() {
    let (listener, _place) = server_with_a_full_queue();
    let draining = listener.local_addr().expect("bound");
    let other = ScriptedServer::start(|_| ok_response());
    let (lists, queue) = channel();
    let discovery = discovery(queue);
    let mut config = config(&[instance("s-1", draining, "up")]);
    config["discovery"] = discovery.address.to_string().into();
    config["settings"]["policyLimits"]["connectTimeoutS"] = 20.into();
    let program = Program::start(&config);
    let mut client = program.client();
    client.send(&request("pay", 1, 1, "4000m"));
    wait_for_connecting(draining, None);
    let changes = [
        instance("s-1", draining, "draining"),
        instance("s-2", other.address, "up"),
    ];
    lists
        .send(list_changes(2, &changes).to_string())
        .expect("sent");
    assert_eq!(client.receive().map(|answer| answer.status()), Some(200));
    assert_eq!(other.requests.try_iter().count(), 1);
}
