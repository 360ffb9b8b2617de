//! Servers that begin to drain while connections for attempts to them are being established.

use super::client_disconnects::{listener_with_full_backlog, wait_for_pending_connection};
use merlinreel_testkit::*;
use std::sync::mpsc::channel;

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
