//! Positions of keys: the same for every way of writing the same key.

use chicoryrail_core::KeyHash;
use chicoryrail_core::percent_decode;
use chicoryrail_core::percent_encode;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::Config;
use rstest::rstest;

#[rstest]
#[case("kit-1", "kit-1")]
#[case("kit%2D1", "kit-1")]
#[case("kit%2d1", "kit-1")]
#[case("%6b%69%74-1", "kit-1")]
#[case("a%2Fb", "a/b")]
#[case("a+b", "a+b")]
fn one_key_has_one_position(#[case] segment: &str, #[case] key: &str) {
    assert_eq!(KeyHash::of_segment(segment), Some(KeyHash::of(key)));
}

#[rstest]
#[case("%")]
#[case("kit%2")]
#[case("%zz")]
#[case("%+1")]
fn a_broken_escape_has_no_position(#[case] segment: &str) {
    assert_eq!(KeyHash::of_segment(segment), None);
}

proptest! {
    #![proptest_config(Config { cases: 256, failure_persistence: None, ..Config::default() })]

    #[test]
    fn keys_survive_encoding(key in any::<String>()) {
        let encoded = percent_encode(&key);
        assert!(encoded.is_ascii());
        assert_eq!(percent_decode(&encoded), Some(key.clone().into_bytes()));
        assert_eq!(KeyHash::of_segment(&encoded), Some(KeyHash::of(&key)));
    }

    #[test]
    fn arbitrary_segments_are_no_panic(segment in any::<String>()) {
        let _ = KeyHash::of_segment(&segment);
    }
}
