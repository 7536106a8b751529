//! Which gate's queue a request of a free service goes to.

use std::collections::HashMap;

use chicoryrail_core::Millis;
use rand::Rng;

use crate::Load;

/// Age from which a hint says nothing: queues of some milliseconds have turned over many times.
const HORIZON: Millis = Millis(100);
/// Peers that are compared, in a row from a random one on.
///
/// Ten are all peers of today's users; where there are more, the bound keeps the cost of a choice
/// and spreads the choices of many gates over the fleet.
const TRIES: usize = 10;
/// Peers that a hedge looks at: it is rare, and is lost where no free slot is found.
const HEDGE_TRIES: usize = 16;
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
/// forwarded request or answer, corrected by what was sent since. Requests carry it too: a gate whose
/// servers turned slow forwards what it gets, and so tells the others at once.
#[derive(Clone, Debug, Default)]
pub struct Picker {
    hints: HashMap<PeerId, Hint>,
}

impl Picker {
    /// Takes in the load that came with a request or an answer from `peer`.
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
        let best = sample(rng, peers, TRIES)
            .map(|p| (self.cost(now, p, guess), Choice::Peer(p)))
            .min_by_key(|(cost, _)| *cost);
        match (own, best) {
            (Some(l), Some((cost, _))) if l.slots > 0 && l.wait_us <= cost => Some(Choice::Own),
            (_, Some((_, choice))) => Some(choice),
            (Some(_), None) => Some(Choice::Own),
            (None, None) => None,
        }
    }

    /// Chooses where a hedge goes: to a place that is thought to have a free slot, or to one that
    /// nothing is known of; the gate there sends it only if a slot is free.
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
        sample(rng, peers, HEDGE_TRIES)
            .filter(|p| Choice::Peer(*p) != not)
            .map(|p| (self.free(now, p), p))
            .filter(|(free, _)| *free != Some(0))
            .max_by_key(|(free, _)| *free)
            .map(|(_, p)| Choice::Peer(p))
    }

    fn free(&self, now: Millis, peer: PeerId) -> Option<u32> {
        match self.hints.get(&peer) {
            Some(h) if now.since(h.at) < HORIZON => Some(h.load.free.saturating_sub(h.sent)),
            _ => None,
        }
    }

    fn cost(&self, now: Millis, peer: PeerId, guess: u32) -> u32 {
        match self.hints.get(&peer) {
            Some(h) if now.since(h.at) < HORIZON => {
                let slots = h.load.slots.max(1);
                let beyond = (h.sent + 1).saturating_sub(h.load.free.max(1));
                let blocked = if h.load.slots == 0 { 8 } else { 1 };
                HOP_US + (h.load.wait_us + beyond * h.load.service_us / slots) * blocked
            }
            _ => HOP_US + guess,
        }
    }
}

/// Takes up to `most` peers in a row from a random one on.
fn sample(rng: &mut impl Rng, peers: &[PeerId], most: usize) -> impl Iterator<Item = PeerId> {
    let n = peers.len();
    let start = rng.random_range(0..n.max(1));
    (start..start + most.min(n)).map(move |i| peers[i % n])
}
