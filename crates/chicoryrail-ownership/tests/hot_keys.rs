//! Placement of overloaded keys among servers of unequal speed.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_ownership::keys::KeyCandidate;
use chicoryrail_ownership::keys::KeyHistory;
use chicoryrail_ownership::keys::KeyLoad;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::keys::MoveReason;
use chicoryrail_ownership::keys::Moves;
use chicoryrail_ownership::keys::OwnedRange;
use chicoryrail_ownership::keys::Plan;
use chicoryrail_ownership::keys::PlanPolicy;
use chicoryrail_ownership::keys::split_key_space;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// Interval between two plans and two reports of requested keys.
const STEP_MS: u64 = 50;

/// Service time of a request at a usual server, in milliseconds.
const SERVICE_MS: u64 = 240;

/// A service of servers with 6 slots whose other keys have an even load, and one key that becomes busy.
struct Service {
    candidates: Vec<KeyCandidate>,
    record: KeyRecord,
    /// The key that becomes busy.
    key: u16,
    load: KeyLoad,
    history: KeyHistory,
    now: u64,
    changed_at: u64,
    /// Requests a second for all other keys.
    rate: f64,
    rng: Pcg64Mcg,
}

impl Service {
    fn new(slowness: &[f64]) -> Self {
        let candidates = slowness
            .iter()
            .enumerate()
            .map(|(i, slowness)| KeyCandidate {
                life: Life::new(ServerName::new(&format!("s{i:03}")), 1),
                weight: 6.0 / slowness,
            });
        let candidates: Vec<_> = candidates.collect();
        let mut load = KeyLoad::default();
        load.set_service_time(Millis(SERVICE_MS));
        let weight: f64 = candidates.iter().map(|c| c.weight).sum();
        let record = KeyRecord {
            fence: 1,
            spans: split_key_space(&candidates, &load),
            ..KeyRecord::default()
        };
        Self {
            candidates,
            record,
            key: 0,
            load,
            history: KeyHistory::default(),
            now: 0,
            changed_at: 0,
            rate: weight * 1_000.0 / SERVICE_MS as f64 * 0.5,
            rng: Pcg64Mcg::seed_from_u64(7),
        }
    }

    /// Runs until `until` with `busy_rate` requests a second for the key. Returns when the owner of the key changed.
    fn run(&mut self, until: u64, busy_rate: f64) -> Vec<u64> {
        let mut moved = Vec::new();
        while self.now < until {
            self.now += STEP_MS;
            let step = STEP_MS as f64 / 1_000.0;
            (0..(self.rate * step) as usize).for_each(|_| self.load.record(self.rng.random()));
            let busy = busy_rate * step;
            let extra = usize::from(self.rng.random_bool(busy.fract()));
            (0..busy as usize + extra).for_each(|_| self.load.record(self.key));
            if self
                .plan()
                .is_some_and(|(before, _)| before != *self.owner())
            {
                moved.push(self.now);
            }
        }
        moved
    }

    /// Plans once. Returns the former owner of the key and the reason if the assignment changes.
    fn plan(&mut self) -> Option<(Life, MoveReason)> {
        let now = Millis(self.now);
        self.load.decay(now);
        self.history
            .observe(now, &self.record, &self.candidates, &self.load);
        let moves = match self.now - self.changed_at {
            2_500.. => Moves::Balance,
            400.. => Moves::Urgent,
            _ => Moves::Required,
        };
        let policy = PlanPolicy::Steady(&self.history);
        let plan = Plan::compute(&self.record, &self.candidates, &self.load, moves, policy);
        let Plan::Change(spans, reason) = plan else {
            return None;
        };
        let moved = self.record.moved_ranges(&spans);
        self.history.adopt(self.candidates.len(), reason, &moved);
        self.changed_at = self.now;
        let before = self.owner().clone();
        self.record = self.record.next(spans, &[], 0);
        Some((before, reason))
    }

    fn owner(&self) -> &Life {
        self.record.owner(self.key).expect("all keys have an owner")
    }

    fn weight(&self, life: &Life) -> f64 {
        let all = self.candidates.iter();
        let found = all.filter(|c| c.life == *life).map(|c| c.weight);
        found.sum()
    }

    fn ranges(&self, life: &Life) -> Vec<&OwnedRange> {
        let spans = self.record.spans.iter();
        spans.filter(|s| s.owner == *life).collect()
    }
}

/// Sixteen servers of pace 0.5 to 1.5; the key that becomes busy is in the middle of a range of one of this pace.
fn uneven_service(owner_slowness: f64) -> Service {
    let mut service = Service::new(&[1.0, 1.5, 0.5, 1.0].repeat(4));
    service.run(5_000, 0.0);
    let has_pace = |s: &&OwnedRange| service.weight(&s.owner) == 6.0 / owner_slowness;
    let ranges = service.record.spans.iter().filter(has_pace);
    let range = ranges.max_by_key(|s| s.span.len()).unwrap().span;
    assert!(range.len() > 2);
    service.key = range.first + (range.len() / 2) as u16;
    service
}

/// Load: skew, one key with three times the load that its slow owner bears. Guards against a key that stays with a
/// slow server while a fast one would serve three times as many of its requests, and against a move that comes too
/// late for a rush of 4 s: the key moves once, within a second, and has the fast server for itself.
#[rstest]
#[case::slow_owner(1.5)]
#[case::usual_owner(1.0)]
fn an_overloaded_key_moves_to_the_fastest_server(#[case] slowness: f64) {
    let mut service = uneven_service(slowness);
    let capacity = service.weight(service.owner()) * 1_000.0 / SERVICE_MS as f64;
    let moved = service.run(10_000, capacity * 3.0);
    println!("moved at {moved:?}");
    assert_eq!(moved.len(), 1, "{moved:?}");
    assert!((5_300..6_000).contains(&moved[0]), "{moved:?}");
    let owner = service.owner().clone();
    assert!(service.weight(&owner) >= 12.0);
    let ranges = service.ranges(&owner);
    assert_eq!(ranges.len(), 1, "{ranges:?}");
    assert_eq!(ranges[0].span.len(), 1);
}

/// Load: skew, one overloaded key at a server than which no other is 1.3 times as fast. Guards against a move that
/// costs a hand-over and brings nothing: the key stays, and the other keys of its server leave.
#[test]
fn an_overloaded_key_stays_with_a_fast_server() {
    let mut service = uneven_service(0.5);
    let moved = service.run(10_000, 200.0);
    assert!(moved.is_empty(), "{moved:?}");
    let ranges = service.ranges(service.owner());
    assert_eq!(ranges.len(), 1, "{ranges:?}");
    assert_eq!(ranges[0].span.len(), 1);
}

/// Load: bursts, a key that is busy for 4 s, calm for 2 s, busy again. Guards against a key that goes back and forth:
/// it stays while it is calm for less than 3 s. Once the rush is over, the fast server takes other keys again.
#[test]
fn a_hot_key_stays_during_a_short_calm_and_its_server_is_filled_later() {
    let mut service = uneven_service(1.5);
    assert_eq!(service.run(9_000, 80.0).len(), 1);
    assert!(service.run(11_000, 1.0).is_empty());
    assert!(service.run(15_000, 80.0).is_empty());
    let owner = service.owner().clone();
    assert_eq!(service.ranges(&owner)[0].span.len(), 1);
    service.run(25_000, 1.0);
    let load: f64 = service
        .ranges(&owner)
        .iter()
        .map(|s| service.load.range_load(s.span))
        .sum();
    let weight: f64 = service.candidates.iter().map(|c| c.weight).sum();
    let fair = service.load.total() * service.weight(&owner) / weight;
    assert!(load > fair * 0.5, "{load} of {fair}");
}

/// Load: steady, a key at 0.4 of what its owner bears. Guards against moves of keys that no server needs to be
/// reserved for.
#[test]
fn a_key_within_its_servers_capacity_stays() {
    let mut service = uneven_service(1.0);
    let moved = service.run(30_000, 10.0);
    assert!(moved.is_empty(), "{moved:?}");
}

/// Load: skew, the owner of an overloaded key is lost. Guards against a key that moves twice, first to any server and
/// then to a fast one.
#[test]
fn the_key_of_a_lost_server_goes_to_a_fast_one_at_once() {
    let mut service = uneven_service(1.0);
    service.run(8_000, 80.0);
    let lost = service.owner().clone();
    service.candidates.retain(|c| c.life != lost);
    let moved = service.run(10_000, 80.0);
    assert_eq!(moved.len(), 1, "{moved:?}");
    assert!(service.weight(service.owner()) >= 12.0);
}
