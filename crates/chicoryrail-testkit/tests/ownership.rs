//! What a fenced server runs.

use chicoryrail_core::Epoch;
use chicoryrail_core::Fence;
use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use chicoryrail_core::Slice;
use chicoryrail_platform::GrantBody;
use chicoryrail_platform::ReleaseBody;
use chicoryrail_platform::SessionBody;
use chicoryrail_testkit::Ownership;
use chicoryrail_testkit::Refusal;
use rstest::rstest;

const KEY: KeyHash = KeyHash(150);
const LOW: Slice = Slice {
    first: 100,
    last: 199,
};
const HIGH: Slice = Slice {
    first: 200,
    last: 299,
};

fn fence(epoch: u64, version: u64) -> Fence {
    Fence {
        epoch: Epoch(epoch),
        version,
    }
}

fn grant(fence: Fence, asof: u64, slices: &[Slice]) -> GrantBody {
    GrantBody {
        fence,
        asof: Millis(asof),
        valid: Millis(700),
        slices: slices.to_vec(),
    }
}

fn session(fence: Fence, asof: u64) -> SessionBody {
    SessionBody {
        fence,
        asof: Millis(asof),
        valid: Millis(700),
    }
}

/// A server that was granted the low slice at 1,000 under fence 2.5.
fn held() -> Ownership {
    let mut ownership = Ownership::default();
    let body = grant(fence(2, 5), 1_000, &[LOW]);
    assert_eq!(ownership.grant(Millis(1_010), &body), Ok(()));
    ownership
}

#[rstest]
#[case::as_granted(1_600, 150, Some(fence(2, 5)), Ok(()))]
#[case::newer_table(1_600, 150, Some(fence(3, 9)), Ok(()))]
#[case::older_version(1_600, 150, Some(fence(2, 4)), Err(Refusal::FenceOld))]
#[case::older_epoch(1_600, 150, Some(fence(1, 9)), Err(Refusal::FenceOld))]
#[case::no_fence(1_600, 150, None, Err(Refusal::NoFence))]
#[case::other_key(1_600, 250, Some(fence(2, 5)), Err(Refusal::NotHeld))]
#[case::session_over(1_700, 150, Some(fence(2, 5)), Err(Refusal::NoSession))]
fn a_request_runs_only_under_its_owner(
    #[case] now: u64,
    #[case] key: u64,
    #[case] sent: Option<Fence>,
    #[case] expected: Result<(), Refusal>,
) {
    let result = held().may_run(Millis(now), KeyHash(key), sent);
    assert_eq!(result.map(|_| ()), expected);
}

#[test]
fn a_call_with_an_older_fence_is_refused() {
    let mut ownership = held();
    let old = session(fence(2, 4), 1_100);
    assert_eq!(ownership.session(Millis(1_110), &old), Err(fence(2, 5)));
    let old = grant(fence(1, 9), 1_100, &[HIGH]);
    assert_eq!(ownership.grant(Millis(1_110), &old), Err(fence(2, 5)));
    assert_eq!(ownership.slices(), [LOW]);
}

#[rstest]
#[case::first_call_gives_none(0)]
#[case::time_of_another_run(90_000)]
fn a_session_counts_only_from_a_time_the_server_gave(#[case] asof: u64) {
    let mut ownership = held();
    let body = session(fence(2, 5), asof);
    assert_eq!(ownership.session(Millis(1_600), &body), Ok(()));
    let result = ownership.may_run(Millis(1_750), KEY, Some(fence(2, 5)));
    assert_eq!(result, Err(Refusal::NoSession));
}

/// A slice goes away and comes back. A gate that still holds the routes from before sends a request
/// under them; another server may have owned the key between, so it must not run.
#[test]
fn a_route_from_before_the_slice_came_back_is_old() {
    let mut ownership = held();
    let gone = grant(fence(2, 6), 1_100, &[HIGH]);
    assert_eq!(ownership.grant(Millis(1_110), &gone), Ok(()));
    let back = grant(fence(2, 7), 1_200, &[LOW, HIGH]);
    assert_eq!(ownership.grant(Millis(1_210), &back), Ok(()));
    let now = Millis(1_300);
    let stale = ownership.may_run(now, KEY, Some(fence(2, 5)));
    assert_eq!(stale, Err(Refusal::FenceOld));
    // The high slice stayed, so its older routes are still good.
    let kept = ownership.may_run(now, KeyHash(250), Some(fence(2, 6)));
    assert_eq!(kept.map(|p| p.since), Ok(fence(2, 6)));
}

/// A server is paused within a run. Its session runs out, its key goes to another server and comes
/// back; then the server wakes. The run began under the older ownership and must not take effect.
#[test]
fn a_run_does_not_take_effect_after_its_session_ran_out() {
    let mut ownership = held();
    let permit = ownership
        .may_run(Millis(1_100), KEY, Some(fence(2, 5)))
        .unwrap();
    assert!(ownership.may_finish(Millis(1_200), KEY, permit));
    assert!(!ownership.may_finish(Millis(1_700), KEY, permit));
    let renewed = session(fence(2, 5), 5_000);
    assert_eq!(ownership.session(Millis(5_010), &renewed), Ok(()));
    assert!(!ownership.may_finish(Millis(5_020), KEY, permit));
}

#[test]
fn a_released_slice_takes_no_new_run_and_lets_the_running_one_end() {
    let mut ownership = held();
    let sent = Some(fence(2, 5));
    let permit = ownership.may_run(Millis(1_100), KEY, sent).unwrap();
    let body = ReleaseBody {
        fence: fence(2, 6),
        slices: vec![LOW],
    };
    assert_eq!(ownership.release(&body), Ok(()));
    let fresh = ownership.may_run(Millis(1_110), KEY, sent);
    assert_eq!(fresh, Err(Refusal::NotHeld));
    assert!(ownership.may_finish(Millis(1_120), KEY, permit));
    ownership.released(&[LOW]);
    assert!(!ownership.may_finish(Millis(1_130), KEY, permit));
}
