use super::*;

#[tokio::test]
async fn end_of_the_event_loop_ends_the_limiter() {
    let mut event_loop = tokio::spawn(async { panic!("a fault in a decision") });
    let error = serve_while_event_loop_runs(std::future::pending(), &mut event_loop)
        .await
        .expect_err("a fault");
    assert!(
        error.to_string().starts_with("the event loop has ended"),
        "{error}"
    );
}
