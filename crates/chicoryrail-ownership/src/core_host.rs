//! Core hosts, which exchange heartbeats, schedule requests and may lead: their entries in the store, and the
//! rule by which a host joins them.

use std::net::SocketAddr;

/// Maximum number of core hosts. Every pair of them exchanges heartbeats, so more would cost more than they
/// contribute.
const CORE_HOSTS_MAX: usize = 24;

/// Total power of the core hosts, in thousandths of a CPU, at which no more weak hosts join them; the others stay
/// leaf hosts, which follow a core host. Scheduling a request costs about 0.2 ms of CPU time in total, so this
/// power schedules about 7,500 requests per second.
const CORE_POWER_TARGET: u32 = 1_500;

/// Minimum power of a strong host, in thousandths of a CPU. A host with less is weak.
const STRONG_POWER_MIN: u32 = 100;

/// Core host as listed in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreHost {
    /// Address for messages from other hosts.
    pub addr: SocketAddr,
    /// CPU capacity for leading and scheduling, in thousandths of a CPU.
    pub power: u32,
}

impl CoreHost {
    /// Formats the host's value in the store.
    #[must_use]
    pub fn to_value(self) -> String {
        format!("{} {}", self.addr, self.power)
    }

    /// Parses a value from the store; `None` if it has no valid address. A missing or invalid power counts as 0;
    /// values written by older versions have none.
    #[must_use]
    pub fn from_value(value: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(value).ok()?;
        let mut fields = text.split(' ');
        let addr = fields.next()?.parse().ok()?;
        let power = fields
            .next()
            .and_then(|field| field.parse().ok())
            .unwrap_or(0);
        Some(Self { addr, power })
    }
}

/// Returns `true` if a host with `power`, in thousandths of a CPU, is strong: it should be a core host however
/// much power the others have, unless there are `CORE_HOSTS_MAX` core hosts already.
#[must_use]
pub const fn is_strong(power: u32) -> bool {
    power >= STRONG_POWER_MIN
}

/// Returns `true` if a host with `power`, in thousandths of a CPU, should become a core host in addition to
/// `listed`.
///
/// Installations have hundreds of hosts, most of them small and on slow links. If all of them exchanged
/// heartbeats, watched the store and scheduled, each would spend most of its capacity on coordination with the
/// others. So a few strong hosts schedule and watch the store on behalf of the others, and weak ones join only if
/// the strong ones have too little power in total.
#[must_use]
pub fn should_join_core(power: u32, listed: impl Iterator<Item = CoreHost>) -> bool {
    let (count, sum) = listed.fold((0, 0), |(n, sum), host| (n + 1, sum + host.power));
    count < CORE_HOSTS_MAX && (is_strong(power) || sum < CORE_POWER_TARGET)
}
