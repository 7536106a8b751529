//! Every interleaving, to a bound, of a roll, hosts and what an operator is told.
//!
//! A version is stored at some time; hosts take versions from the store or from one another,
//! are cut off, paused and restarted; their signs of life reach the operator or not. Once an
//! operator was told `accepted`, no host may act on an older version, and no host goes back.

use std::collections::HashSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_ownership::RollOut;
use chicoryrail_ownership::RollState;
use chicoryrail_ownership::Timing;
use rstest::rstest;

const HOSTS: usize = 3;

/// The rule as the search wires it.
#[derive(Clone, Copy)]
struct Rule {
    /// Confirmations of hosts that have a higher version in force do not count.
    tells: bool,
    /// A silent host counts only after its silence has outlived what it holds.
    outlives: bool,
    /// A restarted host asks enough others before it takes a version from them.
    sources: bool,
}

const RULE: Rule = Rule {
    tells: true,
    outlives: true,
    sources: true,
};

#[derive(Clone, PartialEq, Eq, Hash, Default)]
struct Host {
    run: u64,
    version: u64,
    /// Until when it may act, by its last confirmation.
    until: u64,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    /// Version stored.
    stored: u64,
    hosts: [Host; HOSTS],
    roll: RollOut,
    accepted: bool,
    restarts: u8,
}

struct Model {
    rule: Rule,
    time: u64,
    timing: Timing,
    names: Vec<HostName>,
}

impl Model {
    fn new(rule: Rule, time: u64) -> Self {
        let timing = Timing {
            validity: Millis(1),
            route: Millis(0),
            session: Millis(0),
            drift: 0,
            grain: Millis(0),
            ..Timing::STANDARD
        };
        Self {
            rule,
            time,
            timing,
            names: (0..HOSTS)
                .map(|i| HostName::new(&format!("h{i}")))
                .collect(),
        }
    }

    fn start(&self) -> State {
        let host = Host {
            run: 0,
            version: 1,
            until: 1,
        };
        State {
            now: 0,
            stored: 1,
            hosts: [(); HOSTS].map(|()| host.clone()),
            roll: RollOut::new(2, Millis(0), &self.names),
            accepted: false,
            restarts: 1,
        }
    }

    /// Tells whether the host would work on its version now.
    fn acts(&self, state: &State, h: usize) -> bool {
        let host = &state.hosts[h];
        host.version > 0 && state.now < host.until
    }

    fn broken(&self, state: &State) -> bool {
        let old = |h: usize| self.acts(state, h) && state.hosts[h].version < 2;
        state.accepted && (0..HOSTS).any(old)
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut all = Vec::new();
        let mut push = |change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            all.push(next);
        };
        if state.now < self.time {
            push(&|s| {
                s.now += 1;
                // What has run out is the same whenever it did.
                for host in &mut s.hosts {
                    host.until = if host.until > s.now { host.until } else { 0 };
                }
            });
        }
        if state.stored < 2 {
            push(&|s| s.stored = 2);
        }
        for h in 0..HOSTS {
            self.host(state, h, &mut push);
        }
        let state_now = state.roll.state(Millis(state.now), &self.timing);
        let told = if self.rule.outlives {
            state_now == RollState::Accepted
        } else {
            // Without the wait: whoever has answered has it, a majority at least.
            let with = state.hosts.iter().filter(|h| h.version >= 2).count();
            with * 2 > HOSTS
        };
        if told && !state.accepted && state.stored >= 2 {
            push(&|s| s.accepted = true);
        }
        all
    }

    fn host(&self, state: &State, h: usize, push: &mut impl FnMut(&dyn Fn(&mut State))) {
        let host = &state.hosts[h];
        if state.stored > host.version {
            push(&|s| take(&mut s.hosts[h], state.stored));
        }
        let with = state.hosts.iter().filter(|o| o.version > 0).count();
        let enough = host.version > 0 || with >= RollOut::sources(HOSTS) || !self.rule.sources;
        for other in &state.hosts {
            if other.version > host.version && enough {
                let version = if host.version == 0 && self.rule.sources {
                    state.hosts.iter().map(|o| o.version).max().unwrap_or(0)
                } else {
                    other.version
                };
                push(&|s| take(&mut s.hosts[h], version));
            }
        }
        // A confirmation by a majority: itself and one other.
        for other in (0..HOSTS).filter(|o| *o != h) {
            if host.version == 0 || state.hosts[other].version == 0 {
                continue;
            }
            let higher = state.hosts[other].version > host.version;
            if !(higher && self.rule.tells) {
                push(&|s| s.hosts[h].until = s.now + 1);
            }
        }
        // A sign of life that comes late carries a lower version at a later time, which keeps a host
        // from being counted for longer; so the timely ones are the dangerous ones.
        if host.version > 0 {
            push(&|s| {
                s.roll.heard(
                    Millis(s.now),
                    &self.names[h],
                    s.hosts[h].run,
                    s.hosts[h].version,
                );
            });
        }
        if state.restarts > 0 {
            push(&|s| {
                s.restarts -= 1;
                s.hosts[h] = Host {
                    run: s.hosts[h].run + 1,
                    ..Host::default()
                };
            });
        }
    }

    fn search(&self) -> (usize, bool) {
        let mut seen = HashSet::new();
        let mut queue = vec![self.start()];
        seen.insert(hash(&queue[0]));
        while let Some(state) = queue.pop() {
            if self.broken(&state) {
                return (seen.len(), false);
            }
            for next in self.next(&state) {
                assert!(seen.len() < 2_000_000, "more than 2,000,000 states");
                if seen.insert(hash(&next)) {
                    queue.push(next);
                }
            }
        }
        (seen.len(), true)
    }
}

/// A host takes a version only where it is higher than its own.
fn take(host: &mut Host, version: u64) {
    assert!(version > host.version, "a host went back");
    host.version = version;
}

fn hash(state: &State) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

#[test]
fn accepted_is_never_told_too_early() {
    let start = std::time::Instant::now();
    let (states, held) = Model::new(RULE, 3).search();
    println!("{states} states in {:?}", start.elapsed());
    assert!(held, "an older version acted on after `accepted`");
}

#[rstest]
#[case::tells(Rule { tells: false, ..RULE })]
#[case::outlives(Rule { outlives: false, ..RULE })]
#[case::sources(Rule { sources: false, ..RULE })]
fn each_safeguard_is_needed(#[case] rule: Rule) {
    let (states, held) = Model::new(rule, 3).search();
    println!("broken after {states} states");
    assert!(
        !held,
        "the search does not see that the safeguard is missing"
    );
}

/// The loser learns that it lost. Two operators read the same head and roll; one write takes effect,
/// the other finds another version than it read.
#[rstest]
#[case::swap(true, 1)]
#[case::blind_write(false, 2)]
fn one_of_two_racing_rolls_wins(#[case] swaps: bool, #[case] expected: usize) {
    let orders = [[0, 1, 0, 1], [0, 0, 1, 1], [0, 1, 1, 0]];
    let winners = orders.map(|order| {
        let (mut stored, mut read, mut won) = (1, [None; 2], 0);
        for operator in order {
            let Some(expect) = read[operator] else {
                read[operator] = Some(stored);
                continue;
            };
            if stored == expect || !swaps {
                stored = expect + 1;
                won += usize::from(stored == 2);
            }
        }
        won
    });
    assert_eq!(winners.into_iter().max(), Some(expected));
}
