//! What a server owns and how long.

use chicoryrail_core::Fence;
use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use chicoryrail_core::Slice;
use chicoryrail_platform::GrantBody;
use chicoryrail_platform::ReleaseBody;
use chicoryrail_platform::SessionBody;

/// Why a server does not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The key lies in no slice that the server holds.
    NotHeld,
    /// The session has run out.
    NoSession,
    /// The request carries no fence.
    NoFence,
    /// The request was routed before the server came to hold the key.
    FenceOld,
}

/// The ownership of a fenced server, on its own clock.
///
/// A request runs only while the session is valid, for a key that is held, and with a fence that is
/// not below the one under which the server came to hold the key. So a request that was routed for
/// an older owner never runs, not even where the older owner is this same server. A fence above the
/// grant's is no reason to refuse: the newer table names this server as well, and nobody else can
/// hold the key while the session is valid.
#[derive(Clone, Debug, Default)]
pub struct Ownership {
    seen: Fence,
    valid: Millis,
    slices: Vec<Slice>,
    /// Pieces of the slices, each with the fence under which it came to be held without a gap.
    pieces: Vec<(Slice, Fence)>,
    /// Slices given up, whose running requests may still end.
    draining: Vec<Slice>,
    /// Times that a session ran out.
    lapses: u64,
}

/// Leave to run, checked again when the run takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Fence under which the key came to be held.
    pub since: Fence,
    lapses: u64,
}

impl Ownership {
    /// Returns the highest fence seen.
    #[must_use]
    pub const fn seen(&self) -> Fence {
        self.seen
    }

    /// Returns the slices held, as the last grant named them.
    #[must_use]
    pub fn slices(&self) -> &[Slice] {
        &self.slices
    }

    /// Renews the session.
    ///
    /// # Errors
    ///
    /// Returns the fence seen where the call's is older.
    pub fn session(&mut self, now: Millis, body: &SessionBody) -> Result<(), Fence> {
        self.pass(body.fence)?;
        self.extend(now, body.asof, body.valid);
        Ok(())
    }

    /// Replaces the slices.
    ///
    /// # Errors
    ///
    /// Returns the fence seen where the call's is older.
    pub fn grant(&mut self, now: Millis, body: &GrantBody) -> Result<(), Fence> {
        self.pass(body.fence)?;
        self.extend(now, body.asof, body.valid);
        let mut pieces = Vec::new();
        for slice in &body.slices {
            let kept = self.pieces.iter().filter(|(p, _)| p.overlaps(*slice));
            let mut next = Some(slice.first);
            for (piece, since) in kept {
                let first = piece.first.max(slice.first);
                let last = piece.last.min(slice.last);
                if let Some(start) = next.filter(|n| *n < first) {
                    let gap = Slice {
                        first: start,
                        last: first - 1,
                    };
                    pieces.push((gap, body.fence));
                }
                pieces.push((Slice { first, last }, *since));
                next = last.checked_add(1);
            }
            if let Some(start) = next.filter(|n| *n <= slice.last) {
                let gap = Slice {
                    first: start,
                    last: slice.last,
                };
                pieces.push((gap, body.fence));
            }
        }
        pieces.sort_by_key(|(p, _)| p.first);
        self.pieces = pieces;
        self.slices.clone_from(&body.slices);
        Ok(())
    }

    /// Gives slices up; the caller waits for the requests in flight on them.
    ///
    /// # Errors
    ///
    /// Returns the fence seen where the call's is older.
    pub fn release(&mut self, body: &ReleaseBody) -> Result<(), Fence> {
        self.pass(body.fence)?;
        self.draining.extend(&body.slices);
        self.slices = without(&self.slices, &body.slices, |s| *s, |_, s| s);
        self.pieces = without(&self.pieces, &body.slices, |p| p.0, |p, s| (s, p.1));
        Ok(())
    }

    /// Tells whether a request for `key` that carries `fence` may run at `now`.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub fn may_run(
        &self,
        now: Millis,
        key: KeyHash,
        fence: Option<Fence>,
    ) -> Result<Permit, Refusal> {
        let held = self.pieces.iter().find(|(p, _)| p.contains(key));
        let (_, since) = held.ok_or(Refusal::NotHeld)?;
        if now >= self.valid {
            return Err(Refusal::NoSession);
        }
        let fence = fence.ok_or(Refusal::NoFence)?;
        if fence < *since {
            return Err(Refusal::FenceOld);
        }
        Ok(Permit {
            since: *since,
            lapses: self.lapses,
        })
    }

    /// Tells whether a run may take effect: the server may have been paused within it, and the key
    /// may have gone to another server and come back since.
    #[must_use]
    pub fn may_finish(&self, now: Millis, key: KeyHash, permit: Permit) -> bool {
        let held = |(p, since): &(Slice, Fence)| p.contains(key) && *since == permit.since;
        now < self.valid
            && self.lapses == permit.lapses
            && (self.pieces.iter().any(held) || self.draining.iter().any(|s| s.contains(key)))
    }

    /// Notes that no request runs on the slices any more.
    pub fn released(&mut self, slices: &[Slice]) {
        self.draining.retain(|s| !slices.contains(s));
    }

    fn pass(&mut self, fence: Fence) -> Result<(), Fence> {
        if fence < self.seen {
            return Err(self.seen);
        }
        self.seen = fence;
        Ok(())
    }

    /// Counts validity from a time that this server gave itself. A time that lies ahead comes from
    /// another run, whose clock it was read from; it gives nothing.
    fn extend(&mut self, now: Millis, asof: Millis, valid: Millis) {
        if asof > Millis::ZERO && asof <= now {
            if now >= self.valid {
                self.lapses += 1;
            }
            self.valid = self.valid.max(asof + valid);
        }
    }
}

/// Cuts `gone` out of the ranges of `all`.
fn without<T: Clone>(
    all: &[T],
    gone: &[Slice],
    range: impl Fn(&T) -> Slice,
    with: impl Fn(&T, Slice) -> T,
) -> Vec<T> {
    let mut left = all.to_vec();
    for cut in gone {
        left = left
            .iter()
            .flat_map(|item| {
                let s = range(item);
                if !s.overlaps(*cut) {
                    return vec![item.clone()];
                }
                let before = (s.first < cut.first).then(|| Slice {
                    first: s.first,
                    last: cut.first - 1,
                });
                let after = (s.last > cut.last).then(|| Slice {
                    first: cut.last + 1,
                    last: s.last,
                });
                before
                    .into_iter()
                    .chain(after)
                    .map(|s| with(item, s))
                    .collect()
            })
            .collect();
    }
    left
}
