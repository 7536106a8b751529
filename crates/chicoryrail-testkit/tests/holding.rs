//! The key leases of a server: which requests it may run.

use chicoryrail_core::Millis;
use chicoryrail_platform::KeyGrant;
use chicoryrail_testkit::LeasedKeys;
use chicoryrail_testkit::StaleFence;
use rstest::rstest;

fn grant(first: u16, last: u16, fence: u64) -> KeyGrant {
    KeyGrant {
        first,
        last,
        fence,
        lease: Millis(700),
        handover: None,
    }
}

/// Returns the leases of a server that was granted keys 100 to 199 under fence 5 at 1,000 ms, for 700 ms.
fn leased() -> LeasedKeys {
    let mut leased_keys = LeasedKeys::default();
    assert_eq!(
        leased_keys.grant(Millis(1_000), &grant(100, 199, 5)),
        Ok(())
    );
    leased_keys
}

#[rstest]
#[case::as_granted(1_600, 150, Some(5))]
#[case::first_key(1_600, 100, Some(5))]
#[case::past_the_last_key(1_600, 200, None)]
#[case::after_the_lease(1_700, 150, None)]
fn a_request_runs_only_while_its_key_is_leased(
    #[case] now: u64,
    #[case] key: u16,
    #[case] fence: Option<u64>,
) {
    let permit = leased().permit_run(Millis(now), key);
    assert_eq!(permit.map(|p| p.fence), fence);
}

#[test]
fn a_grant_with_an_older_fence_has_no_effect() {
    let mut leased_keys = leased();
    let old = grant(150, 299, 4);
    assert_eq!(leased_keys.grant(Millis(1_100), &old), Err(StaleFence));
    assert_eq!(leased_keys.permit_run(Millis(1_110), 250), None);
    assert!(leased_keys.permit_run(Millis(1_110), 150).is_some());
}

/// A release takes effect whatever its fence, and does not lower the highest fence seen.
#[test]
fn a_release_with_an_older_fence_frees_the_keys() {
    let mut leased_keys = leased();
    leased_keys.release(&grant(100, 149, 4));
    assert_eq!(leased_keys.permit_run(Millis(1_110), 120), None);
    let old = grant(100, 149, 4);
    assert_eq!(leased_keys.grant(Millis(1_200), &old), Err(StaleFence));
}

/// Guards against a released key being owned again: a renewal sent before the release arrives after it, with the older
/// fence, and must not grant the key.
#[test]
fn a_late_renewal_does_not_undo_a_release() {
    let mut leased_keys = leased();
    leased_keys.release(&grant(100, 149, 6));
    let late = grant(100, 199, 5);
    assert_eq!(leased_keys.grant(Millis(1_200), &late), Err(StaleFence));
    assert_eq!(leased_keys.permit_run(Millis(1_210), 120), None);
    assert!(leased_keys.permit_run(Millis(1_210), 150).is_some());
}

#[test]
fn a_renewal_in_time_keeps_the_lease() {
    let mut leased_keys = leased();
    let permit = leased_keys.permit_run(Millis(1_100), 150).unwrap();
    assert_eq!(
        leased_keys.grant(Millis(1_500), &grant(100, 199, 5)),
        Ok(())
    );
    assert!(leased_keys.may_take_effect(Millis(2_100), 150, permit));
}

/// Guards against a stale run: the server is paused during it, its lease expires, the key is granted to another server
/// and back, and the server resumes. The run began under the expired lease and must not take effect.
#[test]
fn a_run_does_not_take_effect_after_its_lease_expired() {
    let mut leased_keys = leased();
    let permit = leased_keys.permit_run(Millis(1_100), 150).unwrap();
    assert!(leased_keys.may_take_effect(Millis(1_200), 150, permit));
    assert!(!leased_keys.may_take_effect(Millis(1_700), 150, permit));
    assert_eq!(
        leased_keys.grant(Millis(5_000), &grant(100, 199, 7)),
        Ok(())
    );
    assert!(!leased_keys.may_take_effect(Millis(5_010), 150, permit));
}

#[test]
fn a_released_key_permits_no_new_run_and_lets_the_running_one_finish() {
    let mut leased_keys = leased();
    let permit = leased_keys.permit_run(Millis(1_100), 150).unwrap();
    let release = grant(100, 199, 6);
    leased_keys.release(&release);
    assert_eq!(leased_keys.permit_run(Millis(1_110), 150), None);
    assert!(leased_keys.may_take_effect(Millis(1_120), 150, permit));
    leased_keys.finish_release(&release);
    assert!(!leased_keys.may_take_effect(Millis(1_130), 150, permit));
}
