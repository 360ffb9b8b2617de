use super::*;
use test_case::test_case;

pub const VALID: &str = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f","peers":["127.0.0.1:1"],
    "limits":{"memory_mb":64,"sockets":256},"settings":{"classes":[{"name":"look","idempotency":"read_like",
    "promiseS":0.5,"hardLimitS":1.5}],"packages":[{"name":"basic","unitsPerS":4.0,"mostAtOnce":8.0}],
    "balancers":1,"policyLimits":{"peers":true}}}"#;

fn error_text(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "{from}");
    parse(&VALID.replace(from, to), |_| None)
        .expect_err("this is not valid")
        .to_string()
}

#[test]
fn valid_file_is_read() {
    let config = parse(VALID, |_| None).expect("valid");
    assert_eq!(
        (config.seed, config.name.as_str(), config.peers.len()),
        (0x8c1f, "merlinreel", 1)
    );
    assert!(config.unknown_keys.is_empty());
}

#[test]
fn unknown_keys_are_named() {
    let text = VALID.replace("\"memory_mb\"", "\"memory\"").replace(
        "\"peers\":[\"127.0.0.1:1\"]",
        "\"known\":\
        {\"generation\":1,\"odd\":1},\"peer\":[],\"peers_all\":\"127.0.0.1:1\"",
    );
    let config = parse(&text, |_| None).expect("valid");
    assert_eq!(config.unknown_keys, ["peer", "limits.memory"]);
}

/// The number of peer addresses must equal the settings' number of limiters, which also sets the mesh's capacity.
#[test_case(1 ; "one limiter")]
#[test_case(2300 ; "large fleet")]
fn number_of_limiters_is_taken_from_the_settings(limiters: u16) {
    let mut file: serde_json::Value = serde_json::from_str(VALID).expect("valid");
    let address = |i: u16| format!("127.0.{}.{}:9000", i >> 8, i & 0xff);
    file["settings"]["balancers"] = limiters.into();
    file["peers"] = (0..limiters).map(address).collect();
    file["peer_listen"] = address(0).into();
    file["mesh"] = serde_json::json!({"listen": "127.0.0.1:1", "keys": []});
    let config = parse(&file.to_string(), |_| None).expect("valid");
    assert_eq!(config.peers.len(), usize::from(limiters));
    assert_eq!(
        config.mesh.map(|mesh| mesh.limiters),
        Some(usize::from(limiters))
    );
}

#[test]
fn environment_is_the_fallback_for_missing_keys() {
    let text = VALID.replace(r#""listen":"127.0.0.1:0","#, "");
    let variable = |name: &str| (name == "PROXY_LISTEN").then(|| "127.0.0.2:80".to_owned());
    assert_eq!(
        parse(&text, variable).expect("valid").listen,
        SocketAddr::from(([127, 0, 0, 2], 80))
    );
}

#[test_case(r#""listen":"127.0.0.1:0","#, "", "listen: missing, and PROXY_LISTEN is not set" ; "missing address")]
#[test_case(r#""127.0.0.1:0""#, r#""here""#, "listen: invalid socket address syntax" ; "invalid address")]
#[test_case("256", r#""many""#, "limits.sockets: invalid type: string" ; "not a number")]
#[test_case("256", "20", "limits.sockets: 20 descriptors are too few" ; "too few descriptors")]
#[test_case("64", "1", "limits.memory_mb: 1 MiB is too little" ; "too little memory")]
#[test_case("8c1f", "xyz", "seed: expected up to 16 hexadecimal digits, found 'xyz'" ; "invalid seed")]
#[test_case("\"look\"", "null", "setting classes.0.name: missing or used twice" ; "missing name")]
#[test_case("4.0", "-4.0", "setting packages.0.unitsPerS: '-4.0' is not a number of 0 or more" ; "invalid setting")]
#[test_case("\"balancers\":1", "\"balancers\":1,\"familyInfo\":{\"hasCounter\":true}",
    "setting familyInfo.hasCounter: the protocol of a counter service is not supported" ; "counter service")]
#[test_case("\"seed\"", "\"peer_listen\":\"127.0.0.1:1\",\"peers\":[],\"x\"", "duplicate field" ; "duplicate key")]
#[test_case(r#""peers":["127.0.0.1:1"]"#, r#""peers":[],"peer_listen":"127.0.0.1:1""#,
    "peers: found 0 addresses, expected 1 as in setting balancers" ; "wrong number of peers")]
#[test_case("\"settings\"", "\"setting\"", "settings: section is missing" ; "misspelt key")]
#[test_case("{\"peers\":true}", "{\"peers\":true,\"sendCap\":0}",
    "setting policyLimits.sendCap: '0' is not a positive number" ; "no attempts allowed")]
fn invalid_key_is_named(from: &str, to: &str, expected: &str) {
    let error = error_text(from, to);
    assert!(error.contains(expected), "{error}");
}
