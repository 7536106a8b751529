//! The keys that an operator sees as the busiest ones.

use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::KeyLoad;

/// Guards against a key that is left out at either end of the key space, and against rates that are not those of the
/// requests: 40, 20 and 10 requests a second for ten seconds.
#[test]
fn the_busiest_keys_come_first_with_their_rates() {
    let mut load = KeyLoad::default();
    for step in 0..100 {
        load.decay(Millis(step * 100));
        for (key, requests) in [(0, 1), (65_535, 4), (7, 2)] {
            (0..requests).for_each(|_| load.record(key));
        }
    }
    load.decay(Millis(10_000));
    let busiest = load.busiest_keys(2);
    let keys: Vec<u16> = busiest.iter().map(|(key, _)| *key).collect();
    assert_eq!(keys, [65_535, 7]);
    for ((_, rate), expected) in busiest.iter().zip([40.0, 20.0]) {
        assert!((rate / expected - 1.0).abs() < 0.15, "{rate} {expected}");
    }
    assert_eq!(load.busiest_keys(10).len(), 3);
    assert!(KeyLoad::default().busiest_keys(10).is_empty());
}
