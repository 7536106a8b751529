//! How the keys of a large installation are spread while ranges of keys grow busy.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::Holder;
use chicoryrail_ownership::keys::KeyLoad;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::keys::Moves;
use chicoryrail_ownership::keys::Plan;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

/// Time in which a usual server does one request, in seconds.
const WORK: f64 = 0.2;

/// Time between two looks of the leader.
const LOOK: u64 = 50;

/// A service under load, and a leader that plans for it.
struct Service {
    holders: Vec<Holder>,
    load: KeyLoad,
    record: KeyRecord,
    /// Requests a second.
    rate: f64,
    /// Part of the requests that go to the busy keys, and these.
    busy: (f64, std::ops::Range<u16>),
    balanced: Millis,
    /// Plans so far.
    plans: usize,
    rng: Pcg64,
}

impl Service {
    /// Builds a service whose servers do half of what they can.
    fn new(servers: usize, seed: u64) -> Self {
        let holders = (0..servers).map(|i| Holder {
            life: Life {
                name: format!("s{i:03}").as_str().into(),
                born: 1,
            },
            weight: 2.0 / [0.7, 0.7, 1.6][i % 3],
        });
        let holders: Vec<Holder> = holders.collect();
        let weight: f64 = holders.iter().map(|h| h.weight).sum();
        Self {
            holders,
            load: KeyLoad::default(),
            record: KeyRecord::default(),
            rate: weight / WORK * 0.5,
            busy: (0.0, 0..1),
            balanced: Millis::ZERO,
            plans: 0,
            rng: Pcg64::seed_from_u64(seed),
        }
    }

    /// Lets callers ask from one moment to another.
    fn run(&mut self, from: u64, to: u64) {
        for at in (from..to).step_by(LOOK as usize) {
            let now = Millis(at);
            let requests = self.rate * LOOK as f64 / 1_000.0;
            for _ in 0..requests as usize {
                let key = if self.rng.random_bool(self.busy.0) {
                    self.rng.random_range(self.busy.1.clone())
                } else {
                    self.rng.random()
                };
                self.load.seen(key);
            }
            self.load.age(now);
            let moves = match now.since(self.balanced).0 {
                2_500.. => Moves::Balance,
                400.. => Moves::Urgent,
                _ => Moves::Needed,
            };
            if let Plan::Change(spans) = Plan::of(&self.record, &self.holders, &self.load, moves) {
                self.balanced = now;
                self.plans += 1;
                self.record = self.record.next(spans, &[], 0);
            }
        }
    }

    /// Returns the part of the requests that come to servers beyond what these can do.
    fn unserved(&self) -> f64 {
        let busy = self.busy.0 * self.rate / self.busy.1.len() as f64;
        let even = (1.0 - self.busy.0) * self.rate / 65_536.0;
        let over = self.holders.iter().map(|holder| {
            let own = self.record.spans.iter();
            let own = own.filter(|s| s.owner == holder.life).map(|s| s.span);
            let asked: f64 = own
                .map(|s| {
                    let first = s.first.max(self.busy.1.start);
                    let after = (u32::from(s.last) + 1).min(u32::from(self.busy.1.end));
                    let hot = after.saturating_sub(u32::from(first));
                    f64::from(s.len()) * even + f64::from(hot) * busy
                })
                .sum();
            (asked - holder.weight / WORK).max(0.0)
        });
        over.sum::<f64>() / self.rate
    }
}

/// Two fifths of all requests go to 200 keys that lie side by side, from one moment on. Callers of keys that one
/// server holds beyond what it can do are refused, so the keys are spread over as many servers as it takes, within
/// two seconds at a small service as at one with hundreds of servers.
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
