use super::*;
use test_case::test_case;

#[test_case(&[], 1, Some(64) => "sizes" ; "no size")]
#[test_case(&[0, 5], 1, Some(64) => "sizes" ; "a size of nothing")]
#[test_case(&[5, 5], 1, Some(64) => "sizes" ; "a size twice")]
#[test_case(&[5, 3], 1, Some(64) => "sizes" ; "not in order")]
#[test_case(&[5], 0, Some(64) => "runs" ; "no run")]
#[test_case(&[5], 1, Some(0) => "memory-mb" ; "no memory")]
fn invalid_request_is_rejected_by_option(
    sizes: &[u64],
    runs: u32,
    memory_mb: Option<u64>,
) -> &'static str {
    match MeasureRequest::new(sizes.to_vec(), 1, runs, memory_mb) {
        Err(ScaleError::Argument { option, .. }) => option,
        other => panic!("{other:?}"),
    }
}

#[test]
fn size_over_the_memory_bound_is_rejected_by_name() {
    let request = MeasureRequest::new(vec![1, 2], 1, 1, Some(100)).expect("sound");
    assert!(request.check_memory("2,300 limiters", 100).is_ok());
    let refused = request
        .check_memory("2,300 limiters", 101)
        .expect_err("too much")
        .to_string();
    assert!(
        refused.contains("2,300 limiters needs about 101 MB"),
        "{refused}"
    );
    assert!(
        MeasureRequest::new(vec![1], 1, 1, None)
            .expect("sound")
            .memory_mb
            > 0
    );
}
