//! Which requests a server may still receive after a notice in one of its responses.

use chicoryrail_core::Millis;
use chicoryrail_policy::SendPermit;
use chicoryrail_policy::ServerNotices;
use chicoryrail_policy::Withheld;
use rstest::rstest;

const DRAIN_TIME: Millis = Millis(2_000);

/// Guards against a drain notice that is renewed by each response, which would never end the drain time.
#[rstest]
#[case::before_the_notice(900, SendPermit::LastResort)]
#[case::within_the_drain_time(2_999, SendPermit::LastResort)]
#[case::at_its_end(3_000, SendPermit::Withheld(Withheld::Draining))]
#[case::long_after(600_000, SendPermit::Withheld(Withheld::Draining))]
fn drain_time_runs_from_the_first_notice(#[case] arrived: u64, #[case] expected: SendPermit) {
    let mut notices = ServerNotices::default();
    assert!(notices.record_drain(Millis(1_000)));
    assert!(!notices.record_drain(Millis(2_500)));
    assert_eq!(notices.permit(Millis(arrived), DRAIN_TIME), expected);
}

/// Guards against a server without notices that is spared.
#[test]
fn server_without_notices_gets_all_requests() {
    let notices = ServerNotices::default();
    assert!(!notices.is_draining());
    assert_eq!(notices.permit(Millis(5), DRAIN_TIME), SendPermit::Granted);
}
