//! The key leases of a server: which keys it may serve, and until when.

use chicoryrail_core::Millis;
use chicoryrail_platform::KeyGrant;

/// Number of keys of a service.
const KEYS: usize = 1 << 16;

/// The error of a grant whose fencing token is lower than one already seen on one of its keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StaleFence;

/// The fence and the lease of one key.
#[derive(Clone, Copy, Debug, Default)]
struct KeyState {
    /// Highest fencing token seen.
    highest_fence: u64,
    /// End of the lease; 0 if the key was never leased or was released.
    expires_at: Millis,
    /// Id of the lease; a lease that is renewed before its end keeps its id.
    lease: u64,
}

/// The key leases of a server, timed by the server's own clock.
///
/// A request runs only while the server owns its key: from the arrival of a grant until the lease's length has
/// passed or the key is released. A grant whose fence is below the highest seen on one of its keys has no effect.
#[derive(Clone, Debug)]
pub struct LeasedKeys {
    keys: Vec<KeyState>,
    last_lease: u64,
    /// Released ranges, first and last key, whose running requests may still finish.
    draining: Vec<(u16, u16)>,
}

/// Permission to run a request on a key; it is validated again before the run takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Fencing token of the key's lease.
    pub fence: u64,
    lease: u64,
}

impl Default for LeasedKeys {
    fn default() -> Self {
        Self {
            keys: vec![KeyState::default(); KEYS],
            last_lease: 0,
            draining: Vec::new(),
        }
    }
}

impl LeasedKeys {
    /// Grants leases on keys or renews them.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if a higher fence was seen on one of the keys.
    pub fn grant(&mut self, now: Millis, grant: &KeyGrant) -> Result<(), StaleFence> {
        self.check_fence(grant)?;
        self.last_lease += 1;
        for key in &mut self.keys[key_range(grant)] {
            if now >= key.expires_at {
                key.lease = self.last_lease;
            }
            key.highest_fence = grant.fence;
            key.expires_at = now + grant.lease;
        }
        Ok(())
    }

    /// Releases keys, whatever the fence of the call: no new request runs on them. The caller waits for the running
    /// requests to finish and then calls [`Self::finish_release`].
    pub fn release(&mut self, grant: &KeyGrant) {
        for key in &mut self.keys[key_range(grant)] {
            key.highest_fence = key.highest_fence.max(grant.fence);
            key.expires_at = Millis::ZERO;
        }
        self.draining.push((grant.first, grant.last));
    }

    /// Records that no request runs on the released keys any more.
    pub fn finish_release(&mut self, grant: &KeyGrant) {
        let released = (grant.first, grant.last);
        self.draining.retain(|d| *d != released);
    }

    /// Returns permission to run a request if the server owns the key at `now`.
    #[must_use]
    pub fn permit_run(&self, now: Millis, key: u16) -> Option<Permit> {
        let state = self.keys[usize::from(key)];
        (now < state.expires_at).then_some(Permit {
            fence: state.highest_fence,
            lease: state.lease,
        })
    }

    /// Returns `true` if a run may still take effect. The server may have been paused during the run, and the key may
    /// have been granted to another server and granted back since; then the lease has another id.
    #[must_use]
    pub fn may_take_effect(&self, now: Millis, key: u16, permit: Permit) -> bool {
        let state = self.keys[usize::from(key)];
        let is_draining = self.draining.iter().any(|(a, b)| (*a..=*b).contains(&key));
        state.lease == permit.lease && (now < state.expires_at || is_draining)
    }

    fn check_fence(&self, grant: &KeyGrant) -> Result<(), StaleFence> {
        let has_newer_fence = |key: &KeyState| key.highest_fence > grant.fence;
        if self.keys[key_range(grant)].iter().any(has_newer_fence) {
            return Err(StaleFence);
        }
        Ok(())
    }
}

fn key_range(grant: &KeyGrant) -> std::ops::RangeInclusive<usize> {
    usize::from(grant.first)..=usize::from(grant.last)
}
