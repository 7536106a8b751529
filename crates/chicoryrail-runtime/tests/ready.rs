//! What every process answers of its health and readiness.

use chicoryrail_runtime::Process;
use rstest::rstest;

#[rstest]
#[case::not_ready_yet(false, false, (200, 503))]
#[case::ready(true, false, (200, 200))]
#[case::stopping_while_ready(true, true, (200, 503))]
#[case::stopping_before_ready(false, true, (200, 503))]
fn health_and_readiness(#[case] ready: bool, #[case] stops: bool, #[case] expected: (u16, u16)) {
    let process = Process::new(&"h1".into(), "test");
    process.set_ready(ready);
    if stops {
        process.stop.cancel();
    }
    let status = |path| {
        let request = http::Request::get(path).body(()).unwrap();
        process.observe(&request).unwrap().status().as_u16()
    };
    assert_eq!((status("/healthz"), status("/readyz")), expected);
}
