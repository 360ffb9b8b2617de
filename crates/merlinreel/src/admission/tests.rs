use super::*;

#[test]
fn permit_holds_its_id_and_body_memory_until_it_is_dropped() {
    let permits = AdmissionPermits {
        ids: Arc::default(),
        body_bytes: Arc::new(Semaphore::new(8)),
    };
    let id = HeaderValue::from_static("9b");
    let permit = permits.admit(&id, permits.reserve_body(6)).expect("free");
    assert!(permits.admit(&id, None).is_none() && permits.reserve_body(3).is_none());
    assert!(
        permits
            .admit(&HeaderValue::from_static("9c"), permits.reserve_body(2))
            .is_some()
    );
    drop(permit);
    assert!(permits.admit(&id, permits.reserve_body(8)).is_some());
}

#[test]
fn reservation_extends_up_to_the_free_memory_and_releases_all_of_it() {
    let permits = AdmissionPermits {
        ids: Arc::default(),
        body_bytes: Arc::new(Semaphore::new(8)),
    };
    let mut reserved = permits.reserve_body(0).expect("free");
    assert!(
        permits.extend_body(&mut reserved, 5)
            && permits.extend_body(&mut reserved, 3)
            && permits.extend_body(&mut reserved, 0)
    );
    assert!(!permits.extend_body(&mut reserved, 1) && permits.reserve_body(1).is_none());
    assert_eq!(reserved.num_permits(), 8);
    drop(reserved);
    assert!(permits.reserve_body(8).is_some());
}
