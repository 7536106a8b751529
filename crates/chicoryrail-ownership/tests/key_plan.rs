//! Where the key line is cut, under skewed and changing load.

use std::collections::BTreeMap;

use chicoryrail_core::Life;
use chicoryrail_core::ServerName;
use chicoryrail_ownership::keys::Holder;
use chicoryrail_ownership::keys::KeyLoad;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::keys::Moves;
use chicoryrail_ownership::keys::OwnedRange;
use chicoryrail_ownership::keys::Plan;
use chicoryrail_ownership::keys::split_key_space;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn holders(n: usize) -> Vec<Holder> {
    let holder = |i| Holder {
        life: Life::new(ServerName::new(&format!("s{i:02}")), 1),
        weight: 1.0,
    };
    (0..n).map(holder).collect()
}

/// Load in which busy keys stand close to one another, as of a few hundred requests.
fn skewed(seed: u64) -> KeyLoad {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut load = KeyLoad::default();
    for _ in 0..600 {
        let draw: f64 = rng.random();
        load.seen((60_000.0 + 5_000.0 * draw.powi(2)) as u16);
        load.seen(rng.random());
    }
    load
}

fn record(spans: Vec<OwnedRange>) -> KeyRecord {
    KeyRecord {
        fence: 1,
        spans,
        ..KeyRecord::default()
    }
}

/// Returns the share of the busiest server, in fair shares.
fn busiest(spans: &[OwnedRange], load: &KeyLoad) -> f64 {
    let mut loads: BTreeMap<&Life, f64> = BTreeMap::new();
    for owned in spans {
        *loads.entry(&owned.owner).or_default() += load.of(owned.span);
    }
    let most = loads.values().copied().fold(0.0, f64::max);
    most * loads.len() as f64 / load.total()
}

fn covers_all(spans: &[OwnedRange]) -> bool {
    let joined = spans
        .windows(2)
        .all(|w| w[0].span.last + 1 == w[1].span.first);
    joined && spans[0].span.first == 0 && spans[spans.len() - 1].span.last == u16::MAX
}

/// Nothing is known of the load: every server gets the same part. With the load known, each gets the same
/// load.
#[test]
fn each_server_gets_its_part_of_the_load() {
    let even = split_key_space(&holders(12), &KeyLoad::default());
    assert!(covers_all(&even));
    assert!(even.iter().all(|s| (5_300..5_700).contains(&s.span.len())));
    let load = skewed(1);
    assert!(busiest(&even, &load) > 4.0);
    let cut = split_key_space(&holders(12), &load);
    assert!(covers_all(&cut));
    assert!(busiest(&cut, &load) < 1.3, "{}", busiest(&cut, &load));
}

/// A slow server, which does half the work, gets half the load.
#[test]
fn a_slow_server_gets_less() {
    let mut all = holders(4);
    all[1].weight = 0.5;
    let load = skewed(2);
    let cut = split_key_space(&all, &load);
    let share = load.of(cut[1].span) / load.total();
    assert!((0.10..0.19).contains(&share), "{share}");
}

/// Load: one key gets more than a server can bear, and beside it the line lies badly. The key stays where it
/// is busy; the others are cut anew all the same.
#[test]
fn one_unbearable_key_does_not_hide_the_rest() {
    let mut load = skewed(3);
    (0..900).for_each(|_| load.seen(9_000));
    let before = record(split_key_space(&holders(12), &KeyLoad::default()));
    let Plan::Change(cut) = Plan::of(&before, &holders(12), &load, Moves::Balance) else {
        panic!("kept");
    };
    let others = cut.iter().filter(|s| !s.span.has(9_000));
    let most = others.map(|s| load.of(s.span)).fold(0.0, f64::max);
    assert!(
        most < load.total() / 12.0 * 1.4,
        "{most} of {}",
        load.total()
    );
}

/// Two of twelve servers leave in the same moment under skewed load. Their neighbours do not get twice their
/// part until the next round: the line is cut anew at once.
#[test]
fn the_spans_of_lost_servers_are_dealt_to_all() {
    let load = skewed(4);
    let before = record(split_key_space(&holders(12), &load));
    let left: Vec<_> = holders(12)
        .into_iter()
        .filter(|h| !h.life.name.as_str().ends_with("10"))
        .collect();
    let left: Vec<_> = left
        .into_iter()
        .filter(|h| !h.life.name.as_str().ends_with("09"))
        .collect();
    let Plan::Change(cut) = Plan::of(&before, &left, &load, Moves::Needed) else {
        panic!("kept");
    };
    assert!(covers_all(&cut));
    assert!(busiest(&cut, &load) < 1.45, "{}", busiest(&cut, &load));
}

/// The load is as even as chance allows: nothing moves, however often it is looked at.
#[test]
fn an_even_load_moves_nothing() {
    let before = record(split_key_space(&holders(12), &skewed(5)));
    for seed in 5..25 {
        let plan = Plan::of(&before, &holders(12), &skewed(seed), Moves::Balance);
        assert_eq!(plan, Plan::Keep, "seed {seed}");
    }
}

/// A server joins while nothing is known of the load: it gets half of one span, and nobody else moves.
#[test]
fn a_newcomer_takes_from_one_server_only() {
    let before = record(split_key_space(&holders(4), &KeyLoad::default()));
    let Plan::Change(spans) = Plan::of(&before, &holders(5), &KeyLoad::default(), Moves::Needed)
    else {
        panic!("kept");
    };
    assert!(covers_all(&spans));
    let same = spans.iter().filter(|s| before.spans.contains(s)).count();
    assert_eq!(same, 3);
    let new = spans
        .iter()
        .find(|s| s.owner.name.as_str() == "s04")
        .unwrap();
    assert!(new.span.len() > 7_000);
    let all: u32 = spans.iter().map(|s| s.span.len()).sum();
    assert_eq!(all, KeyRange::ALL.len());
}

/// Returns the keys that change hands between two cuts.
fn moved(before: &[OwnedRange], after: &[OwnedRange]) -> u32 {
    let same = |new: &OwnedRange| {
        let old = before.iter().filter(|old| old.owner == new.owner);
        let kept = old.filter_map(|old| old.span.intersect(new.span));
        kept.map(KeyRange::len).sum::<u32>()
    };
    KeyRange::ALL.len() - after.iter().map(same).sum::<u32>()
}

/// Load: eighty servers, of which one span grows busy beside the others, then a tenth of the servers leaves, or
/// a tenth more come. Cut anew, most keys would change hands, and the requests for them wait all at the same
/// time; only what the servers can't bear moves.
#[rstest]
#[case::a_busy_span(80, 200, 0.15)]
#[case::servers_leave(72, 0, 0.25)]
#[case::servers_come(88, 0, 0.25)]
fn in_a_long_line_little_moves(#[case] servers: usize, #[case] busy: u32, #[case] most: f64) {
    let mut load = even(6);
    let before = split_key_space(&holders(80), &load);
    let middle = before[40].span;
    for i in 0..busy {
        load.seen(middle.first + (i % middle.len()) as u16);
    }
    let mut all = holders(88);
    if servers < 80 {
        all = (0..80)
            .filter(|i| i % 10 != 3)
            .map(|i| all[i].clone())
            .collect();
    }
    all.truncate(servers);
    let Plan::Change(cut) = Plan::of(&record(before.clone()), &all, &load, Moves::Balance) else {
        panic!("kept");
    };
    assert!(covers_all(&cut));
    let share = f64::from(moved(&before, &cut)) / f64::from(KeyRange::ALL.len());
    assert!(share < most, "{share} of all keys move");
    assert!(busiest(&cut, &load) < 1.3, "{}", busiest(&cut, &load));
}

/// Load that is the same everywhere, but for chance.
fn even(seed: u64) -> KeyLoad {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut load = KeyLoad::default();
    (0..8_000).for_each(|_| load.seen(rng.random()));
    load
}
