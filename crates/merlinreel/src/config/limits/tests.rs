use super::budget::{PROGRAM_MB, RESERVED_DESCRIPTORS};
use super::*;
use merlinreel_settings::SettingsTree;
use test_case::test_case;

/// The size limit must allow large endpoint lists. A server takes 220 bytes in an indented list.
#[test_case(32 => true ; "small machine and 1024 servers")]
#[test_case(192 => true ; "default memory and 160000 servers")]
fn size_limit_of_the_endpoint_list_allows_many_servers(memory_mb: u32) -> bool {
    let settings = SettingsTree::from_json(&serde_json::json!({}))
        .and_then(|paths| Settings::read(&paths))
        .expect("valid");
    let limits = Limits::new(256, memory_mb, &settings).expect("enough memory");
    limits.endpoints.max_list_bytes >= 220 * if memory_mb < 192 { 1024 } else { 160_000 }
}

#[test_case(1024, 192 ; "default")]
#[test_case(64, 192 ; "few descriptors")]
#[test_case(65536, 40 ; "little memory")]
#[test_case(256, 32 ; "small machine")]
fn descriptors_and_bytes_stay_within_the_configured_limits(sockets: u32, memory_mb: u32) {
    let settings = SettingsTree::from_json(&serde_json::json!({}))
        .and_then(|paths| Settings::read(&paths))
        .expect("valid");
    let limits = Limits::new(sockets, memory_mb, &settings).expect("enough memory");
    let connections = limits.client.max_connections + limits.upstream.max_connections;
    assert!(
        limits.client.max_served_connections < limits.client.max_connections
            && limits.upstream.max_connections >= 12
    );
    assert!(connections + RESERVED_DESCRIPTORS <= sockets as usize);
    // Largest heads and bodies of all connections, buffered bodies and responses, and the program itself.
    let buffers = connections * 2 * limits.max_head_bytes
        + limits.client.max_connections * 2 * limits.max_head_bytes
        + limits.upstream.max_connections * limits.max_body_bytes
        + limits.client.max_buffered_body_bytes
        + limits.upstream.max_buffered_response_bytes;
    assert!(buffers + (PROGRAM_MB << 20) <= (memory_mb as usize) << 20);
    assert!(limits.event_loop.queue_length > 2 * connections);
    // A list of thousands of servers is allowed. A longer one takes at most a quarter of the memory, which must also hold
    // the data decoded from the list.
    assert!(
        limits.endpoints.max_list_bytes >= MIN_LIST_BYTES
            && limits.endpoints.max_list_bytes <= MIN_LIST_BYTES.max((memory_mb as usize) << 18)
    );
    // A web page or a font fits into a streaming response, and 32 responses of the largest size can be buffered.
    assert!(
        limits.upstream.max_streaming_bytes >= 1 << 20
            && limits.upstream.max_buffered_response_bytes >= 32 * limits.max_body_bytes
    );
}
