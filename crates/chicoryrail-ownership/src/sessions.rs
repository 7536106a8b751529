//! Sessions of servers, with the upper bound of each one's validity.

use std::net::SocketAddr;

use chicoryrail_core::DcName;
use chicoryrail_core::Fence;
use chicoryrail_core::Millis;
use chicoryrail_core::Server;
use chicoryrail_core::Slice;

use crate::Timing;

/// Whether a server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Health {
    /// No answer yet.
    New,
    /// It answers.
    Up,
    /// It has been silent for a while.
    Suspect,
    /// It has been silent until its session ran out.
    Lost,
}

/// What a server answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    /// The server's own time.
    pub now: Millis,
    /// Random number of its run.
    pub instance: u64,
    /// Highest fence that it had seen.
    pub fence: Fence,
    /// Slices that it holds, sorted.
    pub slices: Vec<Slice>,
}

/// The session of one server with the shard's controller.
///
/// The server counts validity from a time of its own clock that it gave in an earlier answer. That
/// moment lies before the answer's receipt here, so receipt plus validity plus margin is an upper
/// bound, whatever happens to renewals on their way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Session {
    dc: DcName,
    addr: SocketAddr,
    asof: Millis,
    seen: Millis,
    heard: Option<Millis>,
    bound: Millis,
    instance: u64,
    held: Vec<Slice>,
    fence: Fence,
    floor: Fence,
    due: Millis,
    calling: bool,
}

impl Session {
    /// Starts without any knowledge; `until` bounds what an earlier holder may have granted.
    #[must_use]
    pub fn new(server: &Server, until: Millis) -> Self {
        Self {
            dc: server.data_centre.clone(),
            addr: server.addr,
            asof: Millis::ZERO,
            seen: Millis::ZERO,
            heard: None,
            bound: until,
            instance: 0,
            held: Vec::new(),
            fence: Fence::default(),
            floor: Fence::default(),
            due: Millis::ZERO,
            calling: false,
        }
    }

    /// Returns the server's data centre.
    #[must_use]
    pub const fn dc(&self) -> &DcName {
        &self.dc
    }

    /// Returns the server's address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the server's state.
    #[must_use]
    pub fn health(&self, now: Millis, timing: &Timing) -> Health {
        match self.heard {
            None if now < self.bound => Health::New,
            None => Health::Lost,
            Some(heard) if now.since(heard) < timing.suspect => Health::Up,
            Some(_) if now < self.bound => Health::Suspect,
            Some(_) => Health::Lost,
        }
    }

    /// Returns the random number of the server's run; 0 where it never answered.
    #[must_use]
    pub const fn instance(&self) -> u64 {
        self.instance
    }

    /// Returns the slices that the server said it holds.
    #[must_use]
    pub fn held(&self) -> &[Slice] {
        &self.held
    }

    /// Returns the time by which the server's session has run out unless it is renewed.
    #[must_use]
    pub const fn bound(&self) -> Millis {
        self.bound
    }

    /// Tells whether a call is due.
    #[must_use]
    pub fn is_due(&self, now: Millis) -> bool {
        !self.calling && now >= self.due
    }

    /// Tells whether everything that the server said it holds lies in `owned`, sorted or not.
    ///
    /// A renewal makes all that a server holds valid. One that thawed still holds what it has lost,
    /// so without this check a renewal would bring it back beside the new owner.
    #[must_use]
    pub fn holds_within(&self, owned: &[Slice]) -> bool {
        let owned = merged(owned.to_vec());
        self.held.iter().all(|slice| covers(&owned, *slice))
    }

    /// Takes in that somebody else may have renewed the session until `until`.
    pub fn inherit(&mut self, until: Millis) {
        self.bound = self.bound.max(until);
    }

    /// Starts the server's silence anew after a pause of this process.
    pub fn wake(&mut self, now: Millis) {
        self.heard = self.heard.map(|_| now);
        self.due = Millis::ZERO;
    }

    /// Takes in that a slice was taken from the server at `fence`.
    ///
    /// A frozen server has old calls queued: the answer to one shows what it held before it ran the
    /// next, perhaps an old grant. Once it has seen this fence it refuses all of those; until its
    /// answer says so no call gives it validity.
    pub fn set_floor(&mut self, fence: Fence) {
        self.floor = self.floor.max(fence);
    }

    /// Makes the next call due at once.
    pub const fn hurry(&mut self) {
        self.due = Millis::ZERO;
    }

    /// Marks a call as sent; returns the server's time to count from, or `None` where the server
    /// has to be asked for it first.
    ///
    /// `renew` says whether the call gives validity.
    pub fn asked(&mut self, now: Millis, renew: bool, timing: &Timing) -> Option<Millis> {
        self.calling = true;
        self.due = now + timing.renewal;
        let fresh = self.heard.is_some() && now.since(self.seen) < timing.session;
        let fresh = fresh && self.fence >= self.floor;
        if !(renew && fresh) {
            return None;
        }
        self.bound = self.bound.max(self.seen + timing.others(timing.session));
        Some(self.asof)
    }

    /// Takes in an answer; tells whether the server is another run than before.
    pub fn answered(&mut self, now: Millis, answer: Answer) -> bool {
        self.calling = false;
        let changed = self.instance != 0 && self.instance != answer.instance;
        if self.heard.is_none() || changed {
            self.due = Millis::ZERO;
        }
        self.asof = answer.now;
        self.seen = now;
        self.heard = Some(now);
        self.instance = answer.instance;
        self.held = answer.slices;
        self.fence = answer.fence;
        changed
    }

    /// Takes in that a call had no answer.
    pub const fn silent(&mut self) {
        self.calling = false;
    }
}

/// Sorts slices and joins neighbours, so that two writings of one set compare equal.
pub(crate) fn merged(mut slices: Vec<Slice>) -> Vec<Slice> {
    slices.sort_unstable();
    let mut all: Vec<Slice> = Vec::with_capacity(slices.len());
    for slice in slices {
        match all.last_mut() {
            Some(last) if last.last.checked_add(1) == Some(slice.first) => last.last = slice.last,
            _ => all.push(slice),
        }
    }
    all
}

/// Tells whether a sorted, joined set covers a slice.
pub(crate) fn covers(set: &[Slice], slice: Slice) -> bool {
    set.iter()
        .any(|s| s.first <= slice.first && slice.last <= s.last)
}
