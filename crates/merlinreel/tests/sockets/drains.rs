//! UpstreamPool that begin to drain while attempts to them are on their way.

use super::gone_clients::{server_with_a_full_queue, wait_for_connecting};
use merlinreel_testkit::*;
use std::sync::mpsc::channel;

/// The connection of an attempt is still coming up as its server begins to drain: the attempt goes elsewhere, and nothing is
/// written there, however long after the grace its connection comes up.
#[test]
fn an_attempt_that_has_not_begun_leaves_a_server_that_drains() {
    let (listener, _place) = server_with_a_full_queue();
    let late = listener.local_addr().expect("bound");
    let other = ScriptedServer::start(|_| ok_response());
    let (tell, told) = channel();
    let discovery = discovery(told);
    let mut config = config(&[instance("s-1", late, "up")]);
    config["discovery"] = discovery.address.to_string().into();
    config["settings"]["policyLimits"]["connectTimeoutS"] = 20.into();
    let program = Program::start(&config);
    let mut client = program.client();
    client.send(&request("pay", 1, 1, "4000m"));
    wait_for_connecting(late, None);
    let changes = [
        instance("s-1", late, "draining"),
        instance("s-2", other.address, "up"),
    ];
    tell.send(list_changes(2, &changes).to_string())
        .expect("told");
    assert_eq!(client.receive().map(|answer| answer.status()), Some(200));
    assert_eq!(other.requests.try_iter().count(), 1);
}
