//! Many rings, one order.

use std::collections::BTreeMap;

use chicoryrail_runtime::Event;
use chicoryrail_runtime::Stamp;

use crate::Line;

/// Place of an event in the one order: by stamp, then by what makes the order total.
type Place = (Stamp, String, String, u64);

/// Events of many processes that wait to be printed in one order.
///
/// While the tool follows, an event may still be on its way when a later one of another process is
/// at hand. So events are held back for a while; one that comes later still is printed at once and
/// marked, since the order can't be mended any more.
#[derive(Clone, Debug, Default)]
pub struct Merge {
    waiting: BTreeMap<Place, Event>,
    printed: Option<Place>,
}

impl Merge {
    /// Adds events in any order.
    pub fn add(&mut self, events: impl IntoIterator<Item = Event>) {
        self.waiting
            .extend(events.into_iter().map(|e| (place(&e), e)));
    }

    /// Takes the events out that are not newer than `wall`, in order.
    pub fn take_until(&mut self, wall: u64) -> Vec<Line> {
        let end = Stamp {
            wall: wall.saturating_add(1),
            count: 0,
        };
        let newer = self
            .waiting
            .split_off(&(end, String::new(), String::new(), 0));
        let ready = std::mem::replace(&mut self.waiting, newer);
        let mut lines = Vec::with_capacity(ready.len());
        for (place, event) in ready {
            if self.printed.as_ref().is_some_and(|last| place < *last) {
                lines.push(Line::Late(event));
            } else {
                lines.push(Line::Event(event));
                self.printed = Some(place);
            }
        }
        lines
    }

    /// Takes all events out, in order.
    pub fn take_all(&mut self) -> Vec<Line> {
        self.take_until(u64::MAX)
    }
}

fn place(e: &Event) -> Place {
    (e.stamp, e.host.to_string(), e.program.clone(), e.seq)
}
