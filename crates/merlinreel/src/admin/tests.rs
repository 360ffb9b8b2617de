use super::*;
use test_case::test_case;

struct FixedStatus(bool);

impl AdminStatus for FixedStatus {
    fn is_serving(&self) -> bool {
        self.0
    }
    fn stats(&self) -> String {
        "limiter.in_flight:0|g\n".to_owned()
    }
}

#[test_case("GET", "/healthcheck", true, 200 ; "serving")]
#[test_case("GET", "/healthcheck", false, 503 ; "shutting down")]
#[test_case("GET", "/stats", false, 200 ; "stats")]
#[test_case("POST", "/stats", true, 405 ; "unsupported method")]
#[test_case("GET", "/up", true, 404 ; "unknown path")]
fn call_has_its_response_status(method: &str, path: &str, is_serving: bool, status: u16) {
    let method = Method::from_bytes(method.as_bytes()).expect("a method");
    assert_eq!(
        respond(&method, path, &FixedStatus(is_serving))
            .status()
            .as_u16(),
        status
    );
}

#[test_case("/healthcheck", true, "HTTP/1.1 200 OK", "yes\n" ; "serving")]
#[test_case("/healthcheck", false, "HTTP/1.1 503 Service Unavailable", "no\n" ; "not serving")]
#[test_case("/stats", true, "HTTP/1.1 200 OK", "limiter.in_flight:0|g\n" ; "stats")]
#[test_case("/mesh", true, "HTTP/1.1 404 Not Found", "this limiter has no section mesh\n" ; "no mesh")]
#[test_case("/other", true, "HTTP/1.1 404 Not Found", "not here: /healthcheck, /stats, /mesh\n" ; "unknown path")]
#[tokio::test]
async fn response_over_a_socket_has_its_literal_text(
    path: &str,
    is_serving: bool,
    status_line: &str,
    body: &str,
) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let settings = merlinreel_settings::SettingsTree::from_json(&serde_json::json!({}))
        .and_then(|paths| merlinreel_settings::Settings::read(&paths))
        .expect("valid settings");
    let limits = Limits::new(1024, 192, &settings).expect("enough memory");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    let serving = tokio::spawn(serve(listener, limits, Arc::new(FixedStatus(is_serving))));
    let mut client = tokio::net::TcpStream::connect(address)
        .await
        .expect("connected");
    let call = format!("GET {path} HTTP/1.1\r\nHost: limiter\r\n\r\n");
    client.write_all(call.as_bytes()).await.expect("written");
    let mut text = String::new();
    client.read_to_string(&mut text).await.expect("read");
    serving.abort();
    let (head, date) = text.split_once("date: ").expect("a date");
    assert_eq!(
        head,
        format!(
            "{status_line}\r\nconnection: close\r\ncontent-length: {}\r\n",
            body.len()
        )
    );
    assert_eq!(date.split_once("\r\n\r\n").expect("a body").1, body);
}
