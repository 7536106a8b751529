//! The one gate of each server.

use chicoryrail_core::DcName;
use chicoryrail_core::Fence;
use chicoryrail_core::HostName;
use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;

use super::Section;

/// The live gates with their data centres.
pub(super) type Live = [(HostName, DcName)];

/// Which gate holds a server's slots and connections.
///
/// Two gates at a time would exceed both; so the old gate has to know that it lost the server, or
/// its routes have to run out, before the next one is named.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GateSeat {
    /// The gate in force.
    pub gate: Option<HostName>,
    leaving: Option<(HostName, Option<Fence>)>,
    /// Whether the last gate is known to have let the server go, so that none has it.
    clear: bool,
}

impl Section {
    /// Goes on with the gate of a server as the last epoch's deputy has it in its copy; for the
    /// deputy of that epoch only.
    ///
    /// Without it every server is without a gate until the last holder's routes have run out, and
    /// every take-over is an outage of some 700 ms. The copy may be old, but the gate in it is the
    /// only one that can have the server: the last holder named no other before this deputy
    /// acknowledged a table without it.
    pub fn resume_seat(&mut self, server: &ServerName, gate: &HostName) {
        if self.sessions.contains_key(server) {
            let seat = self.seats.entry(server.clone()).or_default();
            seat.gate = Some(gate.clone());
        }
    }

    /// Gives every server its gate: by rendezvous among the live gates of its data centre, else
    /// among all.
    pub(super) fn seat(&mut self, now: Millis, live: &Live) {
        let names: Vec<_> = self.sessions.keys().cloned().collect();
        self.seats.retain(|n, _| self.sessions.contains_key(n));
        for name in names {
            let at = KeyHash::of(name.as_str());
            let dc = self.servers.get(&name).map(|s| &s.data_centre);
            let near = live.iter().filter(|(_, d)| Some(d) == dc);
            let best = near
                .max_by_key(|(h, _)| at.weight(h.as_str()))
                .or_else(|| live.iter().max_by_key(|(h, _)| at.weight(h.as_str())));
            let best = best.map(|(h, _)| h.clone());
            let seat = self.seats.entry(name).or_default();
            if let Some((old, fence)) = &seat.leaving {
                let free = fence.is_some_and(|f| {
                    // Before the inherited routes have run out only the gate's own word counts: this
                    // holder may not have heard from it at all.
                    let over = now >= self.inherited && self.gates.knows(now, old, f);
                    let over = over || self.gates.has_acknowledged(old, f);
                    over && self.deputy.is_none_or(|known| known >= f)
                });
                if free {
                    seat.leaving = None;
                    seat.clear = true;
                }
            }
            match &seat.gate {
                // Without any live gate the last one stays: it may be alive beyond a partition.
                Some(gate) if best.is_some() && best.as_ref() != Some(gate) => {
                    seat.leaving = Some((gate.clone(), None));
                    seat.gate = None;
                }
                // A holder that does not know who has the server waits until the last holder's
                // routes have run out. One whose gate let the server go does not: a gate that is
                // restarted right after its controller left its servers without a gate for 700 ms.
                None if seat.leaving.is_none() && (seat.clear || now >= self.inherited) => {
                    seat.gate = best;
                    seat.clear = false;
                }
                _ => {}
            }
        }
    }

    /// Names the table that first shows gates without their servers.
    pub(super) fn mark_seats(&mut self) {
        for seat in self.seats.values_mut() {
            if let Some((_, fence @ None)) = &mut seat.leaving {
                *fence = Some(self.fence);
            }
        }
    }
}
