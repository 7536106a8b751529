//! What one server held, reconstructed from its grants and releases and the ends of its processes.

use crate::HoldChange;
use crate::HoldKind;
use crate::checker::held_range::HeldRange;

/// The keys that a server held, built from changes in the order of their times.
#[derive(Debug)]
pub(super) struct ServerHolds<'a> {
    server: &'a str,
    /// Keys whose leases have not ended, ordered and without overlaps.
    held: Vec<HeldRange<'a>>,
    /// Holds that have ended.
    ended: Vec<HeldRange<'a>>,
}

impl<'a> ServerHolds<'a> {
    pub(super) const fn new(server: &'a str) -> Self {
        Self {
            server,
            held: Vec::new(),
            ended: Vec::new(),
        }
    }

    /// Applies a grant or a release; a refused grant has no effect.
    pub(super) fn apply(&mut self, change: &HoldChange) {
        self.drop_expired(change.time);
        match change.kind {
            HoldKind::Granted => self.grant(change),
            HoldKind::Released => {
                for released in self.take(change.first, change.last) {
                    self.ended.push(HeldRange {
                        until: released.until.min(change.time),
                        ..released
                    });
                }
            }
            HoldKind::Refused => {}
        }
    }

    /// Ends all holds at `time`, that of the end of the server's process.
    pub(super) fn end_process(&mut self, time: u64) {
        let ended = self.held.drain(..).map(|h| HeldRange {
            until: h.until.min(time),
            ..h
        });
        self.ended.extend(ended);
    }

    /// Returns all holds.
    pub(super) fn finish(mut self) -> Vec<HeldRange<'a>> {
        self.ended.append(&mut self.held);
        self.ended
    }

    /// Grants keys: those held are renewed, the others are held from now on.
    fn grant(&mut self, change: &HoldChange) {
        let until = change.time + change.length_ms * 1000;
        let new = HeldRange {
            server: self.server,
            first: change.first,
            last: change.last,
            from: change.time,
            until,
        };
        let mut rest = Some(new);
        for held in self.take(change.first, change.last) {
            let Some(open) = rest else {
                break;
            };
            let (_, [below, above]) = open.split(held.first, held.last);
            self.hold(below);
            self.hold(Some(HeldRange { until, ..held }));
            rest = above;
        }
        self.hold(rest);
        self.held.sort_by_key(|h| h.first);
    }

    /// Adds keys to those held, joined with the last ones added if they follow them and are held as long.
    fn hold(&mut self, range: Option<HeldRange<'a>>) {
        let Some(range) = range else {
            return;
        };
        match self.held.last_mut() {
            Some(last)
                if (last.from, last.until) == (range.from, range.until)
                    && u32::from(last.last) + 1 == u32::from(range.first) =>
            {
                last.last = range.last;
            }
            _ => self.held.push(range),
        }
    }

    /// Removes the keys from `first` to `last` from those held and returns them, ordered.
    fn take(&mut self, first: u16, last: u16) -> Vec<HeldRange<'a>> {
        let mut taken = Vec::new();
        for held in std::mem::take(&mut self.held) {
            let (inside, others) = held.split(first, last);
            taken.extend(inside);
            self.held.extend(others.into_iter().flatten());
        }
        taken
    }

    fn drop_expired(&mut self, now: u64) {
        let expired = self.held.extract_if(.., |h| h.until < now);
        self.ended.extend(expired);
    }
}
