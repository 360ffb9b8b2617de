use super::*;

#[test]
fn an_id_and_a_body_s_bytes_are_held_until_the_job_is_over() {
    let claims = AdmissionPermits {
        ids: Arc::default(),
        bodies: Arc::new(Semaphore::new(8)),
    };
    let id = HeaderValue::from_static("9b");
    let held = claims.open(&id, claims.body(6)).expect("free");
    assert!(claims.open(&id, None).is_none() && claims.body(3).is_none());
    assert!(
        claims
            .open(&HeaderValue::from_static("9c"), claims.body(2))
            .is_some()
    );
    drop(held);
    assert!(claims.open(&id, claims.body(8)).is_some());
}
#[test]
fn a_place_grows_by_what_is_left_and_is_given_back_whole() {
    let claims = AdmissionPermits {
        ids: Arc::default(),
        bodies: Arc::new(Semaphore::new(8)),
    };
    let mut place = claims.body(0).expect("free");
    assert!(claims.grow(&mut place, 5) && claims.grow(&mut place, 3) && claims.grow(&mut place, 0));
    assert!(!claims.grow(&mut place, 1) && claims.body(1).is_none());
    assert_eq!(place.num_permits(), 8);
    drop(place);
    assert!(claims.body(8).is_some());
}
