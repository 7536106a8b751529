//! Key distribution of a large installation while key ranges become busy.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::KeyCandidate;
use chicoryrail_ownership::keys::KeyLoad;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::keys::Moves;
use chicoryrail_ownership::keys::Plan;
use chicoryrail_ownership::keys::PlanPolicy;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

/// Time in which a server of weight 1 processes one request, in seconds.
const REQUEST_TIME_S: f64 = 0.2;

/// Interval between two plans of the leader, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 50;

/// A service under load, with a leader that plans its key ranges.
struct Service {
    candidates: Vec<KeyCandidate>,
    load: KeyLoad,
    record: KeyRecord,
    /// Requests per second.
    rate: f64,
    /// Fraction of the requests that go to the busy keys, and the range of these keys.
    busy: (f64, std::ops::Range<u16>),
    /// Time of the last plan that changed the assignment.
    changed_at: Millis,
    /// Number of plans that changed the assignment.
    plans: usize,
    rng: Pcg64,
}

impl Service {
    /// Builds a service whose load is half of its servers' capacity.
    fn new(servers: usize, seed: u64) -> Self {
        Self::with_utilisation(servers, 0.5, seed)
    }

    /// Builds a service whose load is this fraction of its servers' capacity.
    fn with_utilisation(servers: usize, utilisation: f64, seed: u64) -> Self {
        let candidates = (0..servers).map(|i| KeyCandidate {
            life: Life {
                name: format!("s{i:03}").as_str().into(),
                born: 1,
            },
            weight: 2.0 / [0.7, 0.7, 1.6][i % 3],
        });
        let candidates: Vec<KeyCandidate> = candidates.collect();
        let weight: f64 = candidates.iter().map(|c| c.weight).sum();
        let mut load = KeyLoad::default();
        load.set_service_time(Millis((REQUEST_TIME_S * 1_000.0) as u64));
        Self {
            candidates,
            load,
            record: KeyRecord::default(),
            rate: weight / REQUEST_TIME_S * utilisation,
            busy: (0.0, 0..1),
            changed_at: Millis::ZERO,
            plans: 0,
            rng: Pcg64::seed_from_u64(seed),
        }
    }

    /// Simulates requests and plans between two points in time, in milliseconds.
    fn run(&mut self, from: u64, to: u64) {
        for at in (from..to).step_by(PLAN_INTERVAL_MS as usize) {
            let now = Millis(at);
            let requests = self.rate * PLAN_INTERVAL_MS as f64 / 1_000.0;
            for _ in 0..requests as usize {
                let key = if self.rng.random_bool(self.busy.0) {
                    self.rng.random_range(self.busy.1.clone())
                } else {
                    self.rng.random()
                };
                self.load.record(key);
            }
            self.load.decay(now);
            let moves = match now.since(self.changed_at).0 {
                2_500.. => Moves::Balance,
                400.. => Moves::Urgent,
                _ => Moves::Required,
            };
            if let Plan::Change(spans, _) = Plan::compute(
                &self.record,
                &self.candidates,
                &self.load,
                moves,
                PlanPolicy::Immediate,
            ) {
                self.changed_at = now;
                self.plans += 1;
                self.record = self.record.next(spans, &[], 0);
            }
        }
    }

    /// Returns the fraction of the requests that exceed their server's capacity.
    fn unserved(&self) -> f64 {
        let busy_rate = self.busy.0 * self.rate / self.busy.1.len() as f64;
        let even_rate = (1.0 - self.busy.0) * self.rate / 65_536.0;
        let over = self.candidates.iter().map(|candidate| {
            let owned = self.record.spans.iter();
            let owned = owned.filter(|s| s.owner == candidate.life).map(|s| s.span);
            let offered: f64 = owned
                .map(|s| {
                    let first = s.first.max(self.busy.1.start);
                    let after = (u32::from(s.last) + 1).min(u32::from(self.busy.1.end));
                    let busy_keys = after.saturating_sub(u32::from(first));
                    f64::from(s.len()) * even_rate + f64::from(busy_keys) * busy_rate
                })
                .sum();
            (offered - candidate.weight / REQUEST_TIME_S).max(0.0)
        });
        over.sum::<f64>() / self.rate
    }
}

/// Two fifths of all requests suddenly go to 100 to 600 adjacent keys. Guards against overload of the
/// owning servers, whose callers would be refused: the keys are spread over enough servers within two
/// seconds, in small and in large installations.
#[rstest]
#[case::small(25, 200)]
#[case::large(239, 200)]
#[case::few_keys(239, 100)]
#[case::larger(600, 600)]
fn busy_keys_are_spread_within_two_seconds(#[case] servers: usize, #[case] keys: u16) {
    for seed in 0..5 {
        let mut service = Service::new(servers, seed);
        service.run(0, 5_000);
        let calm = service.unserved();
        service.busy = (0.4, 20_000..20_000 + keys);
        let mut unserved = Vec::new();
        for second in 5..9 {
            service.run(second * 1_000, (second + 1) * 1_000);
            unserved.push((service.unserved() * 1_000.0).round() / 1_000.0);
        }
        println!(
            "{servers} servers, {keys} keys: calm {calm:.3}, then {unserved:?}, {} ranges",
            service.record.spans.len()
        );
        assert!(unserved[1] < 0.05, "{servers} servers: {unserved:?}");
    }
}

/// Guards against moves that follow chance: where each of thousands of servers gets a request now and then, some always
/// have several times the mean load. Such moves would never end, and each makes every host take over a new assignment.
#[rstest]
#[case::whole_fleet(4_000)]
#[case::twice_as_large(8_000)]
fn keys_of_idle_servers_stay(#[case] servers: usize) {
    let mut service = Service::with_utilisation(servers, 0.03, 1);
    service.run(0, 15_000);
    assert_eq!(service.plans, 1);
}

/// Guards against a busy range that stays with its owner because the other servers are idle.
#[test]
fn busy_keys_of_an_idle_fleet_are_spread() {
    let mut service = Service::with_utilisation(1_000, 0.03, 1);
    service.run(0, 3_000);
    service.busy = (0.4, 20_000..20_200);
    service.run(3_000, 6_000);
    let unserved = service.unserved();
    assert!(unserved < 0.05, "{unserved}");
}
