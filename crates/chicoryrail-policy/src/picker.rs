//! Which gate's queue a request of a free service goes to.

use std::collections::HashMap;

use chicoryrail_core::Millis;
use rand::Rng;

use crate::Load;

/// Age from which a hint says nothing: queues of some milliseconds have turned over many times.
const HORIZON: Millis = Millis(100);
/// Peers that are compared. With the whole fleet in view every gate would send to the same best
/// one; three at random come close to the best and spread the choice.
const TRIES: usize = 3;
/// Cost of a forward in microseconds: one turn through another gate within a region.
const HOP_US: u32 = 500;

/// Names another gate; the caller deals the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PeerId(pub u32);

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The gate's own queue.
    Own,
    /// Through another gate.
    Peer(PeerId),
}

#[derive(Clone, Copy, Debug)]
struct Hint {
    load: Load,
    at: Millis,
    sent: u32,
}

/// Chooses between the gate's own queue and those of other gates, for one free service.
///
/// Load: one gate's servers are busy or slow while another's are idle. Harm prevented: requests
/// wait in one queue beside free slots elsewhere. The gate's own queue is known exactly and goes
/// first while it has a free slot; the others are known by the [`Load`] that came with the last
/// forwarded answer, corrected by what was sent since.
#[derive(Clone, Debug, Default)]
pub struct Picker {
    hints: HashMap<PeerId, Hint>,
}

impl Picker {
    /// Takes in the load that came with a forwarded answer.
    pub fn heard(&mut self, now: Millis, peer: PeerId, load: Load) {
        let hint = Hint {
            load,
            at: now,
            sent: 0,
        };
        self.hints.insert(peer, hint);
    }

    /// Takes in that a request was sent through `peer`.
    pub fn sent(&mut self, peer: PeerId) {
        if let Some(h) = self.hints.get_mut(&peer) {
            h.sent += 1;
        }
    }

    /// Forgets a gate that left.
    pub fn forget(&mut self, peer: PeerId) {
        self.hints.remove(&peer);
    }

    /// Chooses where a request goes; `None` where there is nowhere.
    pub fn pick(
        &self,
        now: Millis,
        rng: &mut impl Rng,
        own: Option<Load>,
        peers: &[PeerId],
    ) -> Option<Choice> {
        if own.is_some_and(|l| l.free > 0 || l.probe) {
            return Some(Choice::Own);
        }
        let guess = own.map_or(1_000, |l| l.service_us);
        let best = sample(rng, peers)
            .map(|p| (self.cost(now, p, guess), Choice::Peer(p)))
            .min_by_key(|(cost, _)| *cost);
        match (own, best) {
            (Some(l), Some((cost, _))) if l.slots > 0 && l.wait_us <= cost => Some(Choice::Own),
            (_, Some((_, choice))) => Some(choice),
            (Some(_), None) => Some(Choice::Own),
            (None, None) => None,
        }
    }

    /// Chooses where a hedge goes: only to a place that is thought to have a free slot.
    pub fn pick_free(
        &self,
        now: Millis,
        rng: &mut impl Rng,
        own: Option<Load>,
        peers: &[PeerId],
        not: Choice,
    ) -> Option<Choice> {
        if own.is_some_and(|l| l.free > 0) {
            return Some(Choice::Own);
        }
        sample(rng, peers)
            .filter(|p| Choice::Peer(*p) != not && self.free(now, *p) > 0)
            .max_by_key(|p| self.free(now, *p))
            .map(Choice::Peer)
    }

    fn free(&self, now: Millis, peer: PeerId) -> u32 {
        match self.hints.get(&peer) {
            Some(h) if now.since(h.at) < HORIZON => h.load.free.saturating_sub(h.sent),
            _ => 0,
        }
    }

    fn cost(&self, now: Millis, peer: PeerId, guess: u32) -> u32 {
        match self.hints.get(&peer) {
            Some(h) if now.since(h.at) < HORIZON => {
                let beyond = h.sent.saturating_sub(h.load.free);
                let slots = h.load.slots.max(1);
                let blocked = if h.load.slots == 0 { 8 } else { 1 };
                HOP_US + (h.load.wait_us + beyond * h.load.service_us / slots) * blocked
            }
            _ => HOP_US + guess,
        }
    }
}

fn sample(rng: &mut impl Rng, peers: &[PeerId]) -> impl Iterator<Item = PeerId> {
    let n = peers.len();
    let start = rng.random_range(0..n.max(1));
    let picks: [usize; TRIES] = std::array::from_fn(|i| start + i);
    let some: Vec<PeerId> = picks.iter().take(n).map(|i| peers[i % n]).collect();
    some.into_iter()
}
