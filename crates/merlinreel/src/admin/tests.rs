use super::*;
use test_case::test_case;

struct Told(bool);

impl AdminStatus for Told {
    fn is_serving(&self) -> bool {
        self.0
    }
    fn stats(&self) -> String {
        "limiter.in_flight:0|g\n".to_owned()
    }
}

#[test_case("GET", "/healthcheck", true, 200 ; "serves")]
#[test_case("GET", "/healthcheck", false, 503 ; "stops")]
#[test_case("GET", "/stats", false, 200 ; "figures")]
#[test_case("POST", "/stats", true, 405 ; "another method")]
#[test_case("GET", "/up", true, 404 ; "another path")]
fn each_call_has_its_answer(method: &str, path: &str, is_serving: bool, status: u16) {
    let method = Method::from_bytes(method.as_bytes()).expect("a method");
    assert_eq!(
        answer(&method, path, &Told(is_serving)).status().as_u16(),
        status
    );
}
