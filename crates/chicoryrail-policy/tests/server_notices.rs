//! Which requests a server may still receive after a notice in one of its responses.

use chicoryrail_core::Millis;
use chicoryrail_policy::SendPermit;
use chicoryrail_policy::ServerNotices;
use chicoryrail_policy::Withheld;
use rstest::rstest;

const DRAIN_TIME: Millis = Millis(2_000);

fn permit(notices: &ServerNotices, now: u64, arrived: u64) -> SendPermit {
    notices.permit(Millis(now), Millis(arrived), DRAIN_TIME)
}

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
    assert_eq!(permit(&notices, arrived, arrived), expected);
}

/// Guards against a server without notices that is spared.
#[test]
fn server_without_notices_gets_all_requests() {
    let notices = ServerNotices::default();
    assert!(!notices.is_draining());
    assert_eq!(permit(&notices, 5, 5), SendPermit::Granted);
}

/// Guards against a request that arrived within the drain time and is refused because it waited.
#[test]
fn drain_time_counts_to_the_arrival() {
    let mut notices = ServerNotices::default();
    notices.record_drain(Millis(1_000));
    assert_eq!(permit(&notices, 3_800, 2_999), SendPermit::LastResort);
}

/// Guards against a backoff time that is cut short by a later, shorter one, or that never ends.
#[rstest]
#[case::at_once(1_000, SendPermit::Withheld(Withheld::Backoff(Millis(3_000))))]
#[case::after_the_shorter_time(2_600, SendPermit::Withheld(Withheld::Backoff(Millis(1_400))))]
#[case::just_before_its_end(3_999, SendPermit::Withheld(Withheld::Backoff(Millis(1))))]
#[case::at_its_end(4_000, SendPermit::Granted)]
fn backoff_lasts_until_the_latest_end(#[case] now: u64, #[case] expected: SendPermit) {
    let mut notices = ServerNotices::default();
    notices.record_backoff(Millis(1_000), Millis(3_000));
    notices.record_backoff(Millis(2_000), Millis(500));
    assert_eq!(permit(&notices, now, 500), expected);
}

/// Guards against a host that gives a draining server its last requests although the server asked for none.
#[test]
fn backoff_also_binds_within_the_drain_time() {
    let mut notices = ServerNotices::default();
    notices.record_drain(Millis(1_000));
    notices.record_backoff(Millis(1_200), Millis(500));
    let withheld = SendPermit::Withheld(Withheld::Backoff(Millis(200)));
    assert_eq!(permit(&notices, 1_500, 1_500), withheld);
    assert_eq!(permit(&notices, 1_700, 1_700), SendPermit::LastResort);
}
