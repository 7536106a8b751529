//! Slices: parts cover the space once.

use chicoryrail_core::KeyHash;
use chicoryrail_core::Slice;
use rstest::rstest;

#[rstest]
#[case(1)]
#[case(3)]
#[case(64)]
#[case(1_000)]
fn parts_follow_one_another_without_gap(#[case] n: u32) {
    let parts: Vec<Slice> = (0..n).map(|i| Slice::FULL.part(i, n)).collect();
    assert_eq!((parts[0].first, parts[n as usize - 1].last), (0, u64::MAX));
    for pair in parts.windows(2) {
        assert_eq!(pair[0].last + 1, pair[1].first);
    }
}

#[rstest]
#[case("kit-1")]
#[case("cask-77")]
fn a_key_lies_in_the_part_that_its_hash_names(#[case] key: &str) {
    let hash = KeyHash::of(key);
    assert!(Slice::FULL.part(hash.part(16), 16).contains(hash));
}

/// A key's section is found by [`KeyHash::part`], what the section holds by [`Slice::part`]. Where
/// the two differ at a border, a call is routed to a section whose slices don't hold its key, and
/// the key has no owner at all.
#[rstest]
fn each_position_beside_a_border_lies_in_its_own_part(#[values(3, 5, 7, 12, 1_000)] n: u32) {
    for i in 0..n {
        let part = Slice::FULL.part(i, n);
        let beside = [
            part.first.saturating_sub(1),
            part.first,
            part.first + 1,
            part.last - 1,
            part.last,
            part.last.saturating_add(1),
        ];
        for hash in beside.map(KeyHash) {
            assert!(
                Slice::FULL.part(hash.part(n), n).contains(hash),
                "{hash} of {n}"
            );
        }
        assert_eq!(
            (KeyHash(part.first).part(n), KeyHash(part.last).part(n)),
            (i, i)
        );
    }
}
