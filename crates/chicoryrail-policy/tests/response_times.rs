//! Time after which a host takes a request for unanswered.

use chicoryrail_core::Millis;
use chicoryrail_policy::ResponseTimes;
use rstest::rstest;

const LATENCY_TARGET: Millis = Millis(600);

fn observed(times_ms: impl Iterator<Item = u64>) -> ResponseTimes {
    let mut times = ResponseTimes::default();
    times_ms.for_each(|ms| times.record(ms as f64 * 1_000.0));
    times
}

/// Guards against requests that are taken for unanswered by chance: a limit needs 200 observations, lies above 999 of
/// 1,000 response times, and is at least twice the latency target. Loads: a host's first 199 and 200 requests, calm
/// servers, and servers of which one in a hundred responses or one in five thousand takes 3 s.
#[rstest]
#[case::too_few(199, u64::MAX, None)]
#[case::calm(200, u64::MAX, Some((1_200, 1_200)))]
#[case::a_slow_server(5_000, 100, Some((3_000, 3_200)))]
#[case::a_single_slow_response(5_000, 5_000, Some((1_200, 1_200)))]
fn the_limit_follows_the_slowest_of_a_thousand(
    #[case] observations: u64,
    #[case] slow_every: u64,
    #[case] expected: Option<(u64, u64)>,
) {
    let time = |i: u64| {
        if i.is_multiple_of(slow_every) {
            3_000
        } else {
            100 + i % 300
        }
    };
    let times = observed((1..=observations).map(time));
    let limit = times.unanswered_after(LATENCY_TARGET);
    match expected {
        None => assert_eq!(limit, None),
        Some((min, max)) => {
            let limit = limit.unwrap();
            assert!(
                limit >= Millis(min) && limit <= Millis(max),
                "{limit:?} is not within {min} to {max} ms"
            );
        }
    }
}

/// Guards against a limit that stays high after servers recover. Load: 2,000 responses of 4 s during an overload, then
/// 10,000 of 200 ms.
#[test]
fn the_limit_forgets_an_overload() {
    let overload = std::iter::repeat_n(4_000, 2_000);
    let mut times = observed(overload);
    assert!(times.unanswered_after(LATENCY_TARGET).unwrap() >= Millis(4_000));
    (0..10_000).for_each(|_| times.record(200_000.0));
    assert_eq!(times.unanswered_after(LATENCY_TARGET), Some(Millis(1_200)));
}

/// Guards against a lost or misplaced observation of any length, from less than a millisecond to an hour.
#[test]
fn a_limit_is_never_below_the_observed_times() {
    for ms in (0..3_000).chain((3_000..262_000).step_by(611)) {
        let times = observed(std::iter::repeat_n(ms, 200));
        let limit = times.unanswered_after(Millis::ZERO).unwrap();
        assert!(limit > Millis(ms), "{ms}: {limit:?}");
        assert!(limit.0 <= ms + ms / 16 + 1, "{ms}: {limit:?}");
    }
    let times = observed(std::iter::repeat_n(3_600_000, 200));
    assert!(times.unanswered_after(Millis::ZERO).unwrap() >= Millis(262_000));
}
