//! A server that checks fences.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::KeyRange;

/// Keys that are looked at; one in each of so many equal parts.
pub(crate) const LOOKS: usize = 64;

/// A server's memory of one key.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Held {
    pub(crate) fence: u64,
    pub(crate) until: u64,
}

#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) life: Life,
    pub(crate) up: bool,
    pub(crate) leaving: bool,
    /// Whether leaders can reach it.
    pub(crate) reachable: bool,
    pub(crate) keys: Vec<Held>,
}

#[derive(Clone, Debug)]
pub(crate) enum What {
    Grant {
        span: KeyRange,
        fence: u64,
        hold: Millis,
    },
    Release {
        span: KeyRange,
        fence: u64,
    },
}

/// Returns the key of a part.
pub(crate) fn look(i: usize) -> u16 {
    (i * 65_536 / LOOKS) as u16
}

/// Carries a call out at a server; tells whether it was refused.
pub(crate) fn apply(server: &mut Server, what: &What, arrived: u64) -> bool {
    let (span, fence) = match what {
        What::Grant { span, fence, .. } | What::Release { span, fence } => (*span, *fence),
    };
    let of_span = |i: &usize| span.has(look(*i));
    let looks: Vec<_> = (0..LOOKS).filter(of_span).collect();
    let What::Grant { hold, .. } = what else {
        // A release is never refused, and its fence holds against grants that are older.
        for i in looks {
            server.keys[i].until = 0;
            server.keys[i].fence = server.keys[i].fence.max(fence);
        }
        return false;
    };
    let until = arrived + hold.0 * 102 / 100;
    if looks.iter().any(|i| server.keys[*i].fence > fence) {
        return true;
    }
    for i in looks {
        server.keys[i].fence = fence;
        server.keys[i].until = until;
    }
    false
}
