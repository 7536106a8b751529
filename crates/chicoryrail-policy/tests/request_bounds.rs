//! How long a request may wait at a host that may be stopping.

use chicoryrail_core::Millis;
use chicoryrail_policy::RequestBounds;
use rstest::rstest;

const DEADLINE: Millis = Millis(10_000);

/// Guards against a request that is still waiting, or sent, when its host has no time left for the response.
#[rstest]
#[case::no_stop(None, 800, (9_995, 10_000, false))]
#[case::ends_before_the_deadline(Some(5_000), 800, (4_200, 5_000, true))]
#[case::ends_after_the_deadline(Some(20_000), 800, (9_995, 10_000, false))]
#[case::ends_within_the_response(Some(10_300), 800, (9_500, 10_000, true))]
#[case::has_ended(Some(500), 800, (0, 500, true))]
#[case::responds_at_once(Some(5_000), 0, (4_995, 5_000, true))]
fn a_request_ends_before_its_host(
    #[case] process_end: Option<u64>,
    #[case] response_time: u64,
    #[case] (send_by, respond_by, by_process_end): (u64, u64, bool),
) {
    let end = process_end.map(Millis);
    let expected = RequestBounds {
        send_by: Millis(send_by),
        respond_by: Millis(respond_by),
        by_process_end,
    };
    let bounds = RequestBounds::new(DEADLINE, end, Millis(response_time));
    assert_eq!(bounds, expected);
}
