//! What a server holds and how long.

use chicoryrail_core::Millis;
use chicoryrail_platform::KeyGrant;

/// Number of keys.
const KEYS: usize = 1 << 16;

/// A lower fence than one that was seen on a key of the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceOld;

/// What the server knows of one key.
#[derive(Clone, Copy, Debug, Default)]
struct KeyState {
    /// Highest fence seen.
    seen: u64,
    /// End of the hold.
    until: Millis,
    /// Number of the hold; one that was renewed in time keeps it.
    hold: u64,
}

/// The keys of a server, on its own clock.
///
/// A request runs only while its key is held. A key is held from the arrival of a grant until its length
/// has passed or the key is released; a grant with a fence below the highest seen on one of its keys does
/// nothing.
#[derive(Clone, Debug)]
pub struct Holding {
    keys: Vec<KeyState>,
    holds: u64,
    /// Ranges given up, whose running requests may still end.
    draining: Vec<(u16, u16)>,
}

/// Leave to run, checked again when the run takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Fence under which the key is held.
    pub fence: u64,
    hold: u64,
}

impl Default for Holding {
    fn default() -> Self {
        Self {
            keys: vec![KeyState::default(); KEYS],
            holds: 0,
            draining: Vec::new(),
        }
    }
}

impl Holding {
    /// Takes or renews keys.
    ///
    /// # Errors
    ///
    /// Returns an error where a higher fence was seen on one of them.
    pub fn grant(&mut self, now: Millis, grant: &KeyGrant) -> Result<(), FenceOld> {
        self.pass(grant)?;
        self.holds += 1;
        for key in &mut self.keys[range(grant)] {
            if now >= key.until {
                key.hold = self.holds;
            }
            key.seen = grant.fence;
            key.until = now + grant.hold;
        }
        Ok(())
    }

    /// Gives keys up, under whatever fence; the caller waits for the requests that run on them and then
    /// calls [`Self::released`].
    pub fn release(&mut self, grant: &KeyGrant) {
        for key in &mut self.keys[range(grant)] {
            key.seen = key.seen.max(grant.fence);
            key.until = Millis::ZERO;
        }
        self.draining.push((grant.first, grant.last));
    }

    /// Notes that no request runs on released keys any more.
    pub fn released(&mut self, grant: &KeyGrant) {
        let gone = (grant.first, grant.last);
        self.draining.retain(|d| *d != gone);
    }

    /// Returns leave to run where the key is held at `now`.
    #[must_use]
    pub fn may_run(&self, now: Millis, key: u16) -> Option<Permit> {
        let state = self.keys[usize::from(key)];
        (now < state.until).then_some(Permit {
            fence: state.seen,
            hold: state.hold,
        })
    }

    /// Tells whether a run may take effect: the server may have been paused within it, and the key may
    /// have gone to another server and come back since.
    #[must_use]
    pub fn may_finish(&self, now: Millis, key: u16, permit: Permit) -> bool {
        let state = self.keys[usize::from(key)];
        let drains = self.draining.iter().any(|(a, b)| (*a..=*b).contains(&key));
        state.hold == permit.hold && (now < state.until || drains)
    }

    fn pass(&self, grant: &KeyGrant) -> Result<(), FenceOld> {
        let older = |key: &KeyState| key.seen > grant.fence;
        if self.keys[range(grant)].iter().any(older) {
            return Err(FenceOld);
        }
        Ok(())
    }
}

fn range(grant: &KeyGrant) -> std::ops::RangeInclusive<usize> {
    usize::from(grant.first)..=usize::from(grant.last)
}
