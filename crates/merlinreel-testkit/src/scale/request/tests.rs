use super::*;
use test_case::test_case;

#[test_case(&[], 1, Some(64) => "sizes" ; "no sizes")]
#[test_case(&[0, 5], 1, Some(64) => "sizes" ; "size 0")]
#[test_case(&[5, 5], 1, Some(64) => "sizes" ; "duplicate size")]
#[test_case(&[5, 3], 1, Some(64) => "sizes" ; "sizes not in ascending order")]
#[test_case(&[5], 0, Some(64) => "runs" ; "no runs")]
#[test_case(&[5], 1, Some(0) => "memory-mb" ; "memory limit 0")]
fn invalid_request_is_rejected_with_its_option(
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
fn size_over_the_memory_limit_is_rejected_with_its_description() {
    let request = MeasureRequest::new(vec![1, 2], 1, 1, Some(100)).expect("valid");
    assert!(request.check_memory("2,300 limiters", 100).is_ok());
    let error = request
        .check_memory("2,300 limiters", 101)
        .expect_err("over the limit")
        .to_string();
    assert!(
        error.contains("2,300 limiters needs about 101 MB"),
        "{error}"
    );
    assert!(
        MeasureRequest::new(vec![1], 1, 1, None)
            .expect("valid")
            .memory_mb
            > 0
    );
}
