//! Finding the organisation of an API key, and how long a host may do so by its own configuration.

use std::sync::Arc;

use chicoryrail_core::ApiKey;
use chicoryrail_core::Millis;
use chicoryrail_core::Organisation;
use chicoryrail_policy::ApiKeyIndex;
use chicoryrail_policy::Freshness;
use rstest::rstest;

fn organisation(name: &str, keys: &[&str]) -> Arc<Organisation> {
    Arc::new(Organisation {
        name: name.into(),
        api_keys: keys.iter().map(|k| ApiKey::new(k)).collect(),
        limit: None,
        priority: None,
    })
}

#[test]
fn a_key_is_found_by_its_whole_text_only() {
    let all = [
        organisation("school", &["one", "two"]),
        organisation("shop", &["three"]),
    ];
    let index = ApiKeyIndex::new([7; 16], &all);
    let find = |key: &str| {
        index
            .find(key.as_bytes())
            .map(|o| o.name.as_str().to_owned())
    };
    assert_eq!(find("two").as_deref(), Some("school"));
    assert_eq!(find("three").as_deref(), Some("shop"));
    for unknown in ["", "on", "ones", "ONE", "one "] {
        assert_eq!(find(unknown), None, "{unknown:?}");
    }
}

#[rstest]
#[case::at_once(1_000, true)]
#[case::within(5_800, true)]
#[case::clock_drift(5_890, false)]
#[case::beyond(6_000, false)]
fn keys_are_accepted_within_the_bound_of_the_last_verification(
    #[case] now: u64,
    #[case] is_fresh: bool,
) {
    let mut freshness = Freshness::default();
    assert!(!freshness.is_fresh(Millis(now), Millis(5_000)));
    freshness.mark_current(Millis(1_000));
    // A delayed reply to an earlier call does not replace a later verification.
    freshness.mark_current(Millis(400));
    assert_eq!(freshness.is_fresh(Millis(now), Millis(5_000)), is_fresh);
}
