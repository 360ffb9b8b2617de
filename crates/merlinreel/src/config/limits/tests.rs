use super::*;
use merlinreel_settings::SettingsTree;
use test_case::test_case;

/// UpstreamPool that a list may name, at the 220 bytes each that one takes where an agent indents its lists.
#[test_case(32 => true ; "a small machine, a thousand and more")]
#[test_case(192 => true ; "the usual, a hundred and sixty thousand")]
fn the_list_of_servers_has_room(memory_mb: u32) -> bool {
    let terms = SettingsTree::from_json(&serde_json::json!({}))
        .and_then(|paths| Settings::read(&paths))
        .expect("sound");
    let limits = Limits::new(256, memory_mb, &terms).expect("room");
    limits.endpoint_list_bytes >= 220 * if memory_mb < 192 { 1024 } else { 160_000 }
}

#[test_case(1024, 192 ; "as scored")]
#[test_case(64, 192 ; "few descriptors")]
#[test_case(65536, 40 ; "little memory")]
#[test_case(256, 32 ; "a small machine")]
fn all_descriptors_and_bytes_lie_within_what_is_given(sockets: u32, memory_mb: u32) {
    let terms = SettingsTree::from_json(&serde_json::json!({}))
        .and_then(|paths| Settings::read(&paths))
        .expect("sound");
    let limits = Limits::new(sockets, memory_mb, &terms).expect("room");
    let connections = limits.clients_most + limits.servers;
    assert!(limits.clients < limits.clients_most && limits.servers >= 12);
    assert!(connections + OWN <= sockets as usize);
    // Bodies and buffers of both sides at their fullest, what is held back and read ahead, and the program itself.
    let buffers = connections * 2 * limits.head
        + limits.clients_most * 2 * limits.head
        + limits.servers * limits.body
        + limits.bodies
        + limits.answers;
    assert!(buffers + (PROGRAM_MB << 20) <= (memory_mb as usize) << 20);
    assert!(limits.queue > 2 * connections);
    // Never less than it was, nor than thousands of servers; and it leaves the memory to what is read of it.
    assert!(
        limits.endpoint_list_bytes >= LEAST_LIST
            && limits.endpoint_list_bytes <= LEAST_LIST.max((memory_mb as usize) << 18)
    );
    // What a page or a font takes flows; of those that are held there is room for some dozens at their largest.
    assert!(limits.flowing >= 1 << 20 && limits.answers >= 32 * limits.body);
}
