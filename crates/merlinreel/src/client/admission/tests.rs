use super::*;

#[test]
fn an_id_and_a_body_s_bytes_are_held_until_the_job_is_over() {
    let permits = AdmissionPermits {
        ids: Arc::default(),
        bodies: Arc::new(Semaphore::new(8)),
    };
    let id = HeaderValue::from_static("9b");
    let held = permits.open(&id, permits.body(6)).expect("free");
    assert!(permits.open(&id, None).is_none() && permits.body(3).is_none());
    assert!(
        permits
            .open(&HeaderValue::from_static("9c"), permits.body(2))
            .is_some()
    );
    drop(held);
    assert!(permits.open(&id, permits.body(8)).is_some());
}
#[test]
fn a_place_grows_by_what_is_left_and_is_given_back_whole() {
    let permits = AdmissionPermits {
        ids: Arc::default(),
        bodies: Arc::new(Semaphore::new(8)),
    };
    let mut place = permits.body(0).expect("free");
    assert!(
        permits.grow(&mut place, 5) && permits.grow(&mut place, 3) && permits.grow(&mut place, 0)
    );
    assert!(!permits.grow(&mut place, 1) && permits.body(1).is_none());
    assert_eq!(place.num_permits(), 8);
    drop(place);
    assert!(permits.body(8).is_some());
}
