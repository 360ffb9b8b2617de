//! A discovery agent that is replaced by a new process at the same address, which numbers its lists anew.

use merlinreel_testkit::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which the agent answers a watch.
const WATCH_TIME: Duration = Duration::from_millis(20);
/// A change counts as told this long after discovery had it.
const MAX_DELAY: Duration = Duration::from_secs(6);

/// Guards against taking a new discovery process for the old one: it knows of no change since a version that only the old one
/// had, so that its list would never be applied, and requests would go to servers that are gone.
#[test]
fn list_of_a_new_discovery_process_is_applied_although_its_versions_are_lower() {
    let old_server = ScriptedServer::start(|_| ok_response());
    let new_server = ScriptedServer::start(|_| ok_response());
    let old_list = [instance("s-1", old_server.address, "up")];
    let new_list = [instance("s-2", new_server.address, "up")];
    let is_new_process = Arc::new(AtomicBool::new(false));
    let new_process = is_new_process.clone();
    let agent = ScriptedServer::start(move |call| {
        let list = match (
            new_process.load(Ordering::SeqCst),
            call.start_line.contains("after="),
        ) {
            (false, _) => full_list(41, &old_list),
            (true, true) => list_changes(3, &[]),
            (true, false) => full_list(3, &new_list),
        };
        thread::sleep(WATCH_TIME);
        response("200 OK", "", &list.to_string())
    });
    let mut config = config(&[]);
    config["discovery"] = agent.address.to_string().into();
    let program = Program::start(&config);
    assert_eq!(program.client().request("look", 1, 1).status(), 200);
    old_server.next_request();
    is_new_process.store(true, Ordering::SeqCst);
    let started = Instant::now();
    let mut customer = 2;
    while new_server.requests.try_recv().is_err() {
        assert!(started.elapsed() < MAX_DELAY, "the old list stays in use");
        program.client().request("look", customer, 1);
        customer += 1;
    }
}
