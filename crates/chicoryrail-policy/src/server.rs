//! One server's slots as its gate sees them.

use chicoryrail_core::Class;
use chicoryrail_core::Millis;

use crate::Health;
use crate::Ramp;
use crate::ServerId;
use crate::Ticket;

/// A request in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flight {
    pub(crate) ticket: Ticket,
    pub(crate) class: Class,
    pub(crate) sent: Millis,
}

/// One server's slots as its gate sees them.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) slots: u32,
    pub(crate) leaving: bool,
    pub(crate) ramp: Ramp,
    pub(crate) health: Health,
    pub(crate) instance: u64,
    flight: Vec<Flight>,
}

impl Server {
    pub(crate) fn new(id: ServerId, slots: u32) -> Self {
        Self {
            id,
            slots,
            leaving: false,
            ramp: Ramp::warm(),
            health: Health::default(),
            instance: 0,
            flight: Vec::new(),
        }
    }

    pub(crate) fn start(&mut self, now: Millis, ticket: Ticket, class: Class) {
        if self.health.is_suspect() {
            self.health.probed(now);
        }
        self.flight.push(Flight {
            ticket,
            class,
            sent: now,
        });
    }

    pub(crate) fn end(&mut self, ticket: Ticket) -> Option<Flight> {
        let i = self.flight.iter().position(|f| f.ticket == ticket)?;
        Some(self.flight.swap_remove(i))
    }

    /// Looks at the ages of the requests in flight; `usual_us` gives a class's service time.
    pub(crate) fn observe(&mut self, now: Millis, usual_us: impl Fn(Class) -> f64) {
        for f in &self.flight {
            self.health
                .oldest(now, now.since(f.sent), usual_us(f.class));
        }
    }

    /// Tells whether its answers show what is usual: neither suspected nor on a ramp.
    pub(crate) const fn is_sound(&self) -> bool {
        !self.health.is_suspect() && self.limit() == self.slots
    }

    pub(crate) const fn limit(&self) -> u32 {
        self.ramp.limit(self.slots)
    }

    pub(crate) const fn in_flight(&self) -> u32 {
        self.flight.len() as u32
    }

    pub(crate) const fn free(&self) -> u32 {
        if self.leaving {
            return 0;
        }
        self.limit().saturating_sub(self.in_flight())
    }

    /// Tells whether it is suspected, rested and idle, so that one lookup may show how it is.
    pub(crate) fn wants_probe(&self, now: Millis) -> bool {
        let rested = self.health.is_suspect() && self.health.may_probe(now);
        rested && self.in_flight() == 0 && self.free() > 0
    }

    /// Tells whether a batch request may start.
    ///
    /// Load: reports of 200 ms beside lookups of 1 ms. Harm prevented: reports hold every slot and
    /// a lookup waits out a whole report. Batch therefore leaves one slot alone, always. A server
    /// that has a single slot even when warm would then never do any batch; there, and only there,
    /// the guaranteed share (`due`) may use it.
    pub(crate) fn takes_batch(&self, due: bool) -> bool {
        let held = self.flight.iter().filter(|f| f.class == Class::Batch);
        let held = held.count() as u32;
        self.free() > 0 && (held + 1 < self.limit() || (due && self.slots == 1 && held == 0))
    }
}
