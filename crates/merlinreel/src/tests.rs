use super::*;

#[tokio::test]
async fn the_end_of_the_driver_is_the_end_of_all() {
    let mut driving = tokio::spawn(async { panic!("a fault in a decision") });
    let error = attended(std::future::pending(), &mut driving)
        .await
        .expect_err("a fault");
    assert!(
        error.to_string().starts_with("the driver has ended"),
        "{error}"
    );
}
