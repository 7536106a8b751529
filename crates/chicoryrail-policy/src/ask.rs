//! A request as the decisions see it.

use chicoryrail_core::Class;
use chicoryrail_core::Millis;

/// Names a request within one gate; the gate counts them up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Names a server within one [`ServerQueue`](crate::ServerQueue); the gate deals the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The request.
    pub ticket: Ticket,
    /// How it is treated under load.
    pub class: Class,
    /// Point on the gate's clock after which the caller no longer waits.
    pub deadline: Millis,
    /// Key hash of a keyed service's request, 0 for a free one.
    pub key: u64,
}

impl Ask {
    /// Asks for a slot until `deadline`, a point on the clock that the queue is called with.
    #[must_use]
    pub const fn new(ticket: Ticket, class: Class, deadline: Millis) -> Self {
        Self {
            ticket,
            class,
            deadline,
            key: 0,
        }
    }

    /// Names the key, so that one hot key can't fill the queue in front of its server.
    #[must_use]
    pub const fn key(mut self, hash: u64) -> Self {
        self.key = hash;
        self
    }
}
