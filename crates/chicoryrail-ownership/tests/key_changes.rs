//! Changes of key assignments between hosts.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_ownership::keys::KeyCandidate;
use chicoryrail_ownership::keys::KeyLoad;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::keys::KeyView;
use chicoryrail_ownership::keys::OwnedRange;
use chicoryrail_ownership::keys::split_key_space;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// Servers of a service of the whole fleet.
const SERVERS: usize = 4_000;

fn life(i: usize) -> Life {
    Life::new(ServerName::new(&format!("i-{i:08x}")), 1)
}

/// Returns a record that gives each server a range.
fn first_record(servers: usize) -> KeyRecord {
    let candidates = (0..servers).map(|i| KeyCandidate {
        life: life(i),
        weight: 1.0,
    });
    let candidates: Vec<_> = candidates.collect();
    KeyRecord {
        fence: 1,
        spans: split_key_space(&candidates, &KeyLoad::default()),
        ..KeyRecord::default()
    }
}

/// Changes the owners of some ranges at random: moves them, splits them, or leaves them without an owner.
fn change(rng: &mut Pcg64Mcg, record: &KeyRecord, moves: usize) -> KeyRecord {
    let mut spans = record.spans.clone();
    for _ in 0..moves {
        let at = rng.random_range(0..spans.len());
        let owned = spans[at].clone();
        match rng.random_range(0..4) {
            0 if spans.len() > 1 => {
                spans.remove(at);
            }
            1 if owned.span.len() > 1 => {
                let middle = rng.random_range(owned.span.first..owned.span.last);
                spans[at].span.last = middle;
                let first = middle + 1;
                let last = owned.span.last;
                let owner = life(rng.random_range(0..SERVERS));
                spans.insert(at + 1, OwnedRange::new(KeyRange { first, last }, owner));
            }
            _ => spans[at].owner = life(rng.random_range(0..SERVERS)),
        }
    }
    KeyRecord {
        fence: record.fence + 1,
        spans,
        ..KeyRecord::default()
    }
}

/// Returns the owner of each key.
fn owners(view: &KeyView) -> Vec<Option<Life>> {
    (0..=u16::MAX)
        .map(|key| view.assigned_owner(key).cloned())
        .collect()
}

/// Guards against a host that receives changes instead of the whole assignment and then sends requests to other servers
/// than the host that has it whole.
#[rstest]
#[case::small(12, 1)]
#[case::medium(200, 20)]
#[case::large(2_000, 50)]
fn changes_give_the_same_owners_as_the_whole_record(#[case] servers: usize, #[case] moves: usize) {
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut leader, mut follower) = (KeyView::default(), KeyView::default());
        let mut record = first_record(servers);
        leader.apply_record(Millis(0), record.clone());
        follower.apply_record(Millis(0), record.clone());
        for step in 0..10 {
            record = change(&mut rng, &record, moves);
            leader.apply_record(Millis(step), record.clone());
            // The follower misses some steps.
            if rng.random_bool(0.5) {
                continue;
            }
            match leader.changes_since(follower.fence()) {
                Some(changes) => assert!(follower.apply_changes(Millis(step), &changes)),
                None => assert!(follower.apply_record(Millis(step), record.clone())),
            }
            assert_eq!(follower.fence(), record.fence);
            assert!(
                owners(&leader) == owners(&follower),
                "seed {seed}, step {step}"
            );
        }
    }
}

/// Guards against changes that are applied to another assignment than the one that they change.
#[test]
fn changes_of_another_record_are_refused() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let (mut leader, mut follower) = (KeyView::default(), KeyView::default());
    let first = first_record(100);
    let second = change(&mut rng, &first, 5);
    leader.apply_record(Millis(0), first);
    leader.apply_record(Millis(1), second.clone());
    let changes = leader.changes_since(1).unwrap();
    follower.apply_record(Millis(0), second);
    assert!(!follower.apply_changes(Millis(2), &changes));
    assert!(leader.changes_since(2).is_none());
    assert!(leader.changes_since(7).is_none());
}

/// Guards against a move of a few keys that sends every server's name to every host: the changes must not grow with the
/// number of servers.
#[rstest]
#[case(SERVERS)]
#[case(2 * SERVERS)]
fn a_move_of_few_keys_is_a_short_change(#[case] servers: usize) {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut view = KeyView::default();
    let mut record = first_record(servers);
    view.apply_record(Millis(0), record.clone());
    for step in 1..=5 {
        record = change(&mut rng, &record, 3);
        view.apply_record(Millis(step), record.clone());
    }
    let changes = view.changes_since(1).unwrap();
    assert!(changes.owned.len() + changes.unowned.len() <= 5 * 3 * 2);
}

/// Guards against a history that grows without a bound.
#[test]
fn old_changes_are_forgotten() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut view = KeyView::default();
    let mut record = first_record(100);
    view.apply_record(Millis(0), record.clone());
    for step in 1..=200 {
        record = change(&mut rng, &record, 2);
        view.apply_record(Millis(step), record.clone());
    }
    assert!(view.changes_since(2).is_none());
    assert!(view.changes_since(record.fence - 1).is_some());
}
