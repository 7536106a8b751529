//! How long a request may wait at a host that may be stopping.

use chicoryrail_core::Millis;
use chicoryrail_policy::RequestBounds;
use chicoryrail_policy::ResponseTime;
use chicoryrail_policy::StopTimes;
use rstest::rstest;

const DEADLINE: Millis = Millis(10_000);

/// Guards against a request that is still waiting, or sent, when its host has no time left for the response, and against
/// a stopping host that refuses what it could serve.
#[rstest]
#[case::no_stop(None, (100, 800), (9_995, 10_000, false))]
#[case::ends_before_the_deadline(Some((0, 5_000)), (100, 800), (4_200, 5_000, true))]
#[case::ends_after_the_deadline(Some((9_000, 20_000)), (100, 800), (9_995, 10_000, false))]
#[case::ends_within_the_response(Some((5_000, 10_300)), (100, 800), (9_500, 10_000, true))]
#[case::has_ended(Some((0, 500)), (100, 800), (250, 500, true))]
#[case::serves_for_half_of_its_time(Some((1_000, 6_000)), (100, 9_000), (3_500, 6_000, true))]
#[case::usual_response_takes_longer(Some((1_000, 6_000)), (3_000, 9_000), (3_000, 6_000, true))]
#[case::no_response_arrives(Some((1_000, 6_000)), (7_000, 9_000), (0, 6_000, true))]
#[case::responds_at_once(Some((0, 5_000)), (0, 0), (4_995, 5_000, true))]
#[case::no_time(Some((3_000, 3_000)), (0, 0), (2_995, 3_000, true))]
#[case::grace_period_below_the_margin(Some((3_000, 2_600)), (0, 0), (2_595, 2_600, true))]
fn a_request_ends_before_its_host(
    #[case] stop: Option<(u64, u64)>,
    #[case] (usual, longest): (u64, u64),
    #[case] (send_by, respond_by, by_process_end): (u64, u64, bool),
) {
    let stop = stop.map(|(begun, last_response)| StopTimes {
        begun: Millis(begun),
        last_response: Millis(last_response),
    });
    let response = ResponseTime {
        usual: Millis(usual),
        longest: Millis(longest),
    };
    let expected = RequestBounds {
        send_by: Millis(send_by),
        respond_by: Millis(respond_by),
        by_process_end,
    };
    let bounds = RequestBounds::new(DEADLINE);
    let bounds = stop.map_or(bounds, |stop| bounds.within(stop, response));
    assert_eq!(bounds, expected);
}
