//! The servers of a desk.

use std::collections::BTreeMap;

use chicoryrail_core::Millis;

use crate::ServerId;
use crate::desk::DeskAsk;
use crate::desk::DeskPlace;
use crate::desk::seat::Seat;

/// Cost of a server in another data centre, as a part of the work: traffic between data centres is paid for.
/// Small against the differences between servers, so that it decides only between those alike.
const FAR: f64 = 0.1;

/// The servers of a desk.
#[derive(Clone, Debug, Default)]
pub(crate) struct Board {
    pub(crate) seats: BTreeMap<ServerId, Seat>,
}

impl Board {
    /// Returns the server that a request should go to now, if any, where `ahead` microseconds of work wait
    /// before it.
    ///
    /// A slow server is left free where waiting for a faster one ends sooner. That is so for the first in
    /// the queue at most: were it asked without those ahead, all would wait for the one fast server.
    pub(crate) fn seat_for(
        &self,
        now: Millis,
        ask: &DeskAsk,
        place: DeskPlace,
        ahead: f64,
    ) -> Option<ServerId> {
        match place {
            DeskPlace::Any => {}
            DeskPlace::Moving => return None,
            DeskPlace::Owner(owner) => {
                let seat = self.seats.get(&owner)?;
                return seat.has_slot(now).then_some(owner);
            }
        }
        let open = self
            .seats
            .iter()
            .filter(|(id, s)| s.state.open && !ask.not.contains(id));
        // Those ahead wait for the busy ones, too.
        let busy = open.clone().map(|(_, s)| s).filter(|s| !s.has_slot(now));
        let behind = ahead / pace(now, busy);
        let mut best: Option<(f64, ServerId)> = None;
        let mut wait = f64::INFINITY;
        for (id, seat) in open {
            let cost = cost(now, ask, seat);
            if seat.has_slot(now) {
                if best.is_none_or(|(c, _)| cost < c) {
                    best = Some((cost, *id));
                }
            } else if now >= seat.state.cold_until {
                wait = wait.min(seat.free_in(now) + cost);
            }
        }
        let (cost, id) = best?;
        (cost <= wait + behind).then_some(id)
    }

    /// Estimates when a request would be answered if `ahead` microseconds of work went before it; `None`
    /// where no server can take it.
    pub(crate) fn answer_in(
        &self,
        now: Millis,
        ask: &DeskAsk,
        place: DeskPlace,
        ahead: f64,
    ) -> Option<f64> {
        let fits = |id: &ServerId| match place {
            DeskPlace::Any => !ask.not.contains(id),
            DeskPlace::Owner(owner) => owner == *id,
            // Whoever holds the key next is about as fast as any.
            DeskPlace::Moving => true,
        };
        let open = self.seats.iter().filter(|(id, s)| s.state.open && fits(id));
        let open: Vec<&Seat> = open.map(|(_, s)| s).collect();
        if open.is_empty() {
            return None;
        }
        let first = open
            .iter()
            .map(|s| s.free_in(now) + ask.work_us * s.slowness(now));
        Some(first.fold(f64::INFINITY, f64::min) + ahead / pace(now, open.iter().copied()))
    }
}

/// Returns the work that servers do in the time in which one usual slot does one.
fn pace<'a>(now: Millis, seats: impl Iterator<Item = &'a Seat>) -> f64 {
    let all = seats.map(|s| f64::from(s.state.slots) / s.slowness(now));
    all.sum::<f64>().max(0.01)
}

/// Estimates the time to a good answer at a free server, in microseconds.
fn cost(now: Millis, ask: &DeskAsk, seat: &Seat) -> f64 {
    let good = (1.0 - seat.fails(now)).max(0.05);
    // Of two servers alike, the emptier one: some slow down as they fill.
    let filled = seat.busy() as f64 / f64::from(seat.state.slots.max(1)) * 0.05;
    let far = if seat.state.near == ask.near {
        0.0
    } else {
        FAR
    };
    ask.work_us * seat.slowness(now) * (1.0 + filled + far) / (good * good)
}
