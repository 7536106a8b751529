//! Ranges of keys that an operator keeps with a server.

use chicoryrail_core::ServerName;

use crate::keys::KeyCandidate;
use crate::keys::KeyRange;
use crate::keys::KeyRecord;
use crate::keys::MoveReason;
use crate::keys::OwnedRange;
use crate::keys::Plan;
use crate::keys::record::join_owned;

/// A range of keys that stays with a server while that server is a candidate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pin {
    /// Range of keys.
    pub span: KeyRange,
    /// The server, in whichever incarnation is a candidate.
    pub server: ServerName,
}

impl Pin {
    /// Applies pins to a plan for `record`. Of pins with common keys, the last one counts. A pin whose server is no
    /// candidate has no effect, so its keys are planned like all others.
    ///
    /// The plan itself knows nothing of pins, and may plan the same move of pinned keys each time; the result is then
    /// [`Plan::Keep`].
    #[must_use]
    pub fn apply(
        pins: &[Self],
        plan: Plan,
        record: &KeyRecord,
        candidates: &[KeyCandidate],
    ) -> Plan {
        let (mut spans, reason) = match plan {
            Plan::Keep => (record.spans.clone(), MoveReason::Pinned),
            Plan::Change(spans, reason) => (spans, reason),
        };
        for pin in pins {
            let Some(owner) = candidates.iter().find(|c| c.life.name == pin.server) else {
                continue;
            };
            let rest = spans.into_iter().flat_map(|owned| {
                let rest = owned.span.without(pin.span).into_iter();
                rest.map(move |span| OwnedRange::new(span, owned.owner.clone()))
            });
            let pinned = OwnedRange::new(pin.span, owner.life.clone());
            spans = rest.chain([pinned]).collect();
        }
        let spans = joined(spans);
        if spans == joined(record.spans.clone()) {
            return Plan::Keep;
        }
        Plan::Change(spans, reason)
    }
}

/// Sorts ranges by key and joins adjacent ones of the same owner.
fn joined(mut spans: Vec<OwnedRange>) -> Vec<OwnedRange> {
    spans.sort_by_key(|owned| owned.span.first);
    join_owned(spans)
}
