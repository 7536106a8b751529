//! Every interleaving, to a bound, of two controllers that want one shard.
//!
//! The holder of epoch 1 may sleep, lose its witnesses and ask again; a newcomer takes epoch 2 and
//! the first one may come back with epoch 3. Compare-and-swaps land late or lose their answers,
//! witnesses answer at any time or never, restart and forget, controllers crash. A controller that
//! does nothing while time passes is one that is paused. Nothing may ever make two epochs valid at
//! once; and with any one safeguard switched off the search must find that it does.

use std::collections::HashSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use chicoryrail_core::Epoch;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ShardId;
use chicoryrail_ownership::Confirmation;
use chicoryrail_ownership::Holder;
use chicoryrail_ownership::Takeover;
use chicoryrail_ownership::Timing;
use chicoryrail_ownership::Vote;
use chicoryrail_ownership::Witness;
use rstest::rstest;

const WITNESSES: usize = 3;
/// States after which a search is too large for a test run.
const MOST: usize = 1_000_000;

/// The rule as the search wires it; each field off is one safeguard less.
#[derive(Clone, Copy)]
struct Rule {
    /// The newcomer waits out the old validity.
    wait: bool,
    /// The newcomer needs the promise of a majority.
    promise: bool,
    /// A witness is silent after its start: for the whole length, for the validity alone, or not.
    silence: Silence,
    /// Confirmations of restarted witnesses do not count for a lapsed holder.
    runs: bool,
    /// Lengths are cut and stretched by the drift of clocks.
    drift: bool,
}

#[derive(Clone, Copy)]
enum Silence {
    Whole,
    Validity,
    None,
}

const RULE: Rule = Rule {
    wait: true,
    promise: true,
    silence: Silence::Whole,
    runs: true,
    drift: true,
};

/// How far the search goes.
#[derive(Clone, Copy)]
struct Bound {
    time: u64,
    restarts: u8,
    crashes: u8,
    epochs: u64,
    /// Whether the clock of the first controller loses one tick in four.
    slow: bool,
    /// Whether answers to one question may come at different times.
    late: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, Default)]
struct Controller {
    holder: Option<Holder>,
    take: Option<(u64, Millis, Takeover)>,
    lost: Option<(u64, Millis)>,
    round: Option<(Millis, Answers)>,
}

type Answers = [Option<(u64, bool)>; WITNESSES];

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    stored: (u64, usize),
    controllers: [Controller; 2],
    witnesses: [(u64, Witness); WITNESSES],
    restarts: u8,
    crashes: u8,
}

struct Model {
    rule: Rule,
    bound: Bound,
    timing: Timing,
    names: Vec<HostName>,
    shard: ShardId,
}

impl Model {
    fn new(rule: Rule, bound: Bound) -> Self {
        let timing = Timing {
            validity: Millis(if bound.slow { 4 } else { 2 }),
            promise: Millis(1),
            drift: if bound.slow && rule.drift { 250 } else { 0 },
            grain: Millis(u64::from(bound.slow && rule.drift)),
            ..Timing::STANDARD
        };
        let names = (0..WITNESSES).map(|i| HostName::new(&format!("w{i}")));
        Self {
            rule,
            bound,
            timing,
            names: names.collect(),
            shard: ShardId::Orders { part: 0 },
        }
    }

    fn start(&self) -> State {
        let mut witnesses = [0; WITNESSES].map(|_| (0, self.witness(0)));
        // The first runs have been up for long.
        for (_, witness) in &mut witnesses {
            *witness = Witness::start(Millis(0), &self.timing_of(Silence::None));
        }
        let mut holder = Holder::new(
            Epoch(1),
            self.names.clone(),
            Millis(0),
            Millis(0),
            &self.timing,
        );
        let agreed: Vec<Confirmation> = self
            .names
            .iter()
            .map(|w| self.confirmation(w, 0, true))
            .collect();
        holder.confirmed(Millis(0), Millis(0), &agreed, &self.timing);
        let first = Controller {
            holder: Some(holder),
            ..Controller::default()
        };
        State {
            now: 0,
            stored: (1, 0),
            controllers: [first, Controller::default()],
            witnesses,
            restarts: self.bound.restarts,
            crashes: self.bound.crashes,
        }
    }

    fn confirmation(&self, witness: &HostName, run: u64, agrees: bool) -> Confirmation {
        Confirmation {
            witness: witness.clone(),
            instance: if self.rule.runs { run } else { 0 },
            agrees,
        }
    }

    fn timing_of(&self, silence: Silence) -> Timing {
        let mut timing = self.timing;
        match silence {
            Silence::Whole => {}
            Silence::Validity => timing.promise = Millis(0),
            Silence::None => {
                (timing.promise, timing.validity, timing.grain) = (Millis(0), Millis(0), Millis(0));
            }
        }
        timing
    }

    fn witness(&self, now: u64) -> Witness {
        Witness::start(Millis(now), &self.timing_of(self.rule.silence))
    }

    fn clock(&self, c: usize, now: u64) -> Millis {
        let slow = self.bound.slow && c == 0;
        Millis(if slow { now - now / 4 } else { now })
    }

    fn broken(&self, state: &State) -> bool {
        let acts = |c: usize| {
            let holder = state.controllers[c].holder.as_ref();
            holder.is_some_and(|h| h.may_act(self.clock(c, state.now)))
        };
        acts(0) && acts(1)
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut all = Vec::new();
        if state.now < self.bound.time {
            let mut next = state.clone();
            next.now += 1;
            for (c, own) in next.controllers.iter_mut().enumerate() {
                let now = self.clock(c, next.now);
                // Answers to a question so old give no validity any more.
                let old = |r: &(Millis, _)| now.since(r.0) >= self.timing.validity;
                if own.round.as_ref().is_some_and(old) {
                    own.round = None;
                }
            }
            all.push(next);
        }
        for c in 0..2 {
            self.controller(state, c, &mut all);
        }
        for w in 0..2 {
            if state.restarts > 0 {
                let mut next = state.clone();
                next.restarts -= 1;
                next.witnesses[w] = (state.witnesses[w].0 + 1, self.witness(state.now));
                all.push(next);
            }
        }
        all
    }

    fn controller(&self, state: &State, c: usize, all: &mut Vec<State>) {
        let now = self.clock(c, state.now);
        let own = &state.controllers[c];
        let mut push = |change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            all.push(next);
        };
        let acts = own.holder.as_ref().is_some_and(|h| h.may_act(now));
        // A write that lands later than it was sent gives no more than one that is sent later; one
        // that lands after its sender gave up is one whose sender crashes before the answer.
        if own.lost.is_none() && !acts && state.stored.0 < self.bound.epochs {
            push(&|s| {
                s.stored.0 += 1;
                s.stored.1 = c;
                s.controllers[c].lost = Some((s.stored.0, now));
            });
        }
        // The answer, or the reading back of one that was lost, comes at any later time.
        if let Some((epoch, asked)) = own.lost {
            push(&|s| {
                let own = &mut s.controllers[c];
                own.lost = None;
                if s.stored == (epoch, c) {
                    own.take = Some((epoch, asked, Takeover::new(self.names.clone())));
                    own.holder = None;
                    own.round = None;
                }
            });
        }
        if let Some((_, _, takeover)) = &own.take {
            let missing: Vec<&HostName> = takeover.missing(now, &self.timing).collect();
            for w in (0..WITNESSES).filter(|w| missing.contains(&&self.names[*w])) {
                push(&|s| self.promise(s, c, w));
            }
        }
        if let Some(holder) = &own.holder {
            if state.stored == (holder.epoch().0, c) {
                push(&|s| {
                    let holder = s.controllers[c].holder.as_mut().unwrap();
                    holder.stored(now, &self.timing);
                });
            }
            // Answers only add to what a holder may do, so of the sets that a partition lets through
            // the largest ones tell all: everybody, or everybody but one.
            if own.round.as_ref().is_none_or(|r| r.0 < now) {
                for cut in 0..=WITNESSES {
                    push(&|s| {
                        s.controllers[c].round = Some((now, [None; WITNESSES]));
                        for w in (0..WITNESSES).filter(|w| *w != cut) {
                            self.confirm(s, c, w);
                        }
                        if !self.bound.late {
                            s.controllers[c].round = Some((now, [None; WITNESSES]));
                        }
                    });
                }
            }
            if self.bound.late && own.round.is_some() {
                for w in 0..WITNESSES {
                    push(&|s| self.confirm(s, c, w));
                }
            }
        }
        if state.crashes > 0 && *own != Controller::default() {
            push(&|s| {
                s.crashes -= 1;
                s.controllers[c] = Controller::default();
            });
        }
    }

    fn confirm(&self, state: &mut State, c: usize, w: usize) {
        let now = self.clock(c, state.now);
        let (run, witness) = &state.witnesses[w];
        let own = &mut state.controllers[c];
        let holder = own.holder.as_mut().unwrap();
        let agrees = witness.confirm(Millis(state.now), &self.shard, holder.epoch());
        let (asked, answers) = own.round.as_mut().unwrap();
        if !agrees {
            return;
        }
        answers[w] = Some((*run, agrees));
        let answers: Vec<Confirmation> = answers
            .iter()
            .zip(&self.names)
            .filter_map(|(a, n)| a.map(|(run, agrees)| self.confirmation(n, run, agrees)))
            .collect();
        holder.confirmed(now, *asked, &answers, &self.timing);
    }

    fn promise(&self, state: &mut State, c: usize, w: usize) {
        let now = self.clock(c, state.now);
        let (epoch, asked, mut takeover) = state.controllers[c].take.clone().unwrap();
        let witness = &mut state.witnesses[w].1;
        if witness.promise(Millis(state.now), &self.shard, Epoch(epoch)) == Vote::Promised {
            takeover.promised(&self.names[w], now);
        }
        let mut from = takeover.acts_from(now, |_| false, &self.timing);
        if !self.rule.promise {
            from = Some(now + self.timing.others(self.timing.validity));
        }
        if !self.rule.wait {
            from = from.map(|_| now);
        }
        let own = &mut state.controllers[c];
        own.take = Some((epoch, asked, takeover));
        if let Some(from) = from {
            let names = self.names.clone();
            own.holder = Some(Holder::new(Epoch(epoch), names, asked, from, &self.timing));
            own.take = None;
        }
    }

    /// Visits every state once; returns how many there were, and whether the invariant held.
    fn search(&self) -> (usize, bool) {
        let mut seen = HashSet::new();
        let mut queue = vec![self.start()];
        seen.insert(hash(&queue[0]));
        while let Some(state) = queue.pop() {
            if self.broken(&state) {
                return (seen.len(), false);
            }
            for next in self.next(&state) {
                assert!(seen.len() < MOST, "more than {MOST} states");
                if seen.insert(hash(&next)) {
                    queue.push(next);
                }
            }
        }
        (seen.len(), true)
    }
}

fn hash(state: &State) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

#[rstest]
#[case::restarts(Bound { time: 5, restarts: 2, crashes: 0, epochs: 2, slow: false, late: false })]
#[case::late_answers(Bound { time: 4, restarts: 1, crashes: 0, epochs: 2, slow: false, late: true })]
#[case::crashes(Bound { time: 4, restarts: 0, crashes: 1, epochs: 3, slow: false, late: false })]
#[case::slow_clock(Bound { time: 9, restarts: 0, crashes: 0, epochs: 2, slow: true, late: false })]
fn two_epochs_are_never_valid_at_once(#[case] bound: Bound) {
    let start = std::time::Instant::now();
    let (states, held) = Model::new(RULE, bound).search();
    println!("{states} states in {:?}", start.elapsed());
    assert!(held, "two epochs valid at once");
}

#[rstest]
#[case::wait(Rule { wait: false, ..RULE }, false)]
#[case::promise(Rule { promise: false, ..RULE }, false)]
#[case::no_silence(Rule { silence: Silence::None, ..RULE }, false)]
#[case::short_silence(Rule { silence: Silence::Validity, ..RULE }, false)]
#[case::runs(Rule { runs: false, ..RULE }, false)]
#[case::drift(Rule { drift: false, ..RULE }, true)]
fn each_safeguard_is_needed(#[case] rule: Rule, #[case] slow: bool) {
    let bound = Bound {
        time: if slow { 9 } else { 6 },
        restarts: if slow { 0 } else { 2 },
        crashes: 0,
        epochs: 2,
        slow,
        late: false,
    };
    let (states, held) = Model::new(rule, bound).search();
    println!("broken after {states} states");
    assert!(
        !held,
        "the search does not see that the safeguard is missing"
    );
}
