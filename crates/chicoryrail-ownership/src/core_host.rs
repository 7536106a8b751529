//! How a core host is listed in the store, and who becomes one.

use std::net::SocketAddr;

/// Most core hosts. Each exchanges heartbeats with each other one; more would cost more than they carry.
const CORE_HOSTS_MAX: usize = 24;

/// Strength of all core hosts together, in thousandths of a core, from which weak hosts stay leaf hosts: scheduling
/// takes about 0.2 ms of a core a request in all.
const CORE_POWER_ENOUGH: u32 = 1_500;

/// Strength, in thousandths of a core, from which a host is not weak.
const STRONG_POWER_MIN: u32 = 100;

/// A core host as the store lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreHost {
    /// Address of its talk with the others.
    pub addr: SocketAddr,
    /// Thousandths of a core that it has to lead and schedule with.
    pub power: u32,
}

impl CoreHost {
    /// Writes the value of its key.
    #[must_use]
    pub fn to_value(self) -> String {
        format!("{} {}", self.addr, self.power)
    }

    /// Reads the value of a key; `None` where it names no address. A value without a strength counts as weak.
    #[must_use]
    pub fn from_value(value: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(value).ok()?;
        let mut words = text.split(' ');
        let addr = words.next()?.parse().ok()?;
        let power = words.next().and_then(|w| w.parse().ok()).unwrap_or(0);
        Some(Self { addr, power })
    }
}

/// Tells whether a host is strong enough to be a core host whoever else is.
#[must_use]
pub const fn is_strong(power: u32) -> bool {
    power >= STRONG_POWER_MIN
}

/// Tells whether a host with `power` should become a core host beside those that are listed.
///
/// Load: hundreds of hosts, most of them small and on slow links. Were all to exchange heartbeats, watch the store
/// and schedule, each would spend most of its share on the others. A few strong ones do it for all; weak ones join
/// them only where the strong don't suffice.
#[must_use]
pub fn joins_core(power: u32, listed: impl Iterator<Item = CoreHost>) -> bool {
    let (count, sum) = listed.fold((0, 0), |(n, sum), host| (n + 1, sum + host.power));
    count < CORE_HOSTS_MAX && (is_strong(power) || sum < CORE_POWER_ENOUGH)
}
