//! Tests of the response to the load balancer's readiness probe.

use chicoryrail_runtime::Process;
use rstest::rstest;

#[rstest]
#[case::not_ready_yet(false, false, 503)]
#[case::ready(true, false, 200)]
#[case::stopping_while_ready(true, true, 503)]
#[case::stopping_before_ready(false, true, 503)]
fn readiness_follows_state_and_stop(
    #[case] ready: bool,
    #[case] stops: bool,
    #[case] expected: u16,
) {
    let process = Process::new();
    process.set_ready(ready);
    if stops {
        process.stop.cancel();
    }
    let request = http::Request::get("/-/readyz").body(()).unwrap();
    assert_eq!(
        process.handle_management(&request).unwrap().status(),
        expected
    );
    let other = http::Request::get("/other").body(()).unwrap();
    assert!(process.handle_management(&other).is_none());
}
