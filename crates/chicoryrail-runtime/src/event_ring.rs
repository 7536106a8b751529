//! The bounded ring in which a process keeps its events.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use chicoryrail_core::HostName;

use crate::Event;
use crate::EventKind;
use crate::Stamp;

/// Events kept by a process. At a hundred changes of state a second it holds a minute and a half;
/// a time line that follows reads every second.
const KEPT: usize = 8_192;

/// A bounded, shared ring of events; the oldest go first.
#[derive(Clone, Debug)]
pub struct EventRing {
    inner: Rc<RefCell<Inner>>,
}

#[derive(Debug)]
struct Inner {
    host: HostName,
    program: String,
    events: VecDeque<Event>,
    next: u64,
    last: Stamp,
}

impl EventRing {
    /// Builds an empty ring for a process.
    #[must_use]
    pub fn new(host: &HostName, program: &str) -> Self {
        let inner = Inner {
            host: host.clone(),
            program: program.to_owned(),
            events: VecDeque::with_capacity(256),
            next: 0,
            last: Stamp::default(),
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Records an event and writes it to the log.
    pub fn record(&self, kind: EventKind, subject: impl Into<String>, detail: impl Into<String>) {
        let subject = subject.into();
        let detail = detail.into();
        // A broken invariant must reach the log at its default level.
        let level = match kind {
            EventKind::Violation => log::Level::Error,
            _ => log::Level::Info,
        };
        log::log!(level, subject = subject.as_str(), detail = detail.as_str(); "{kind:?}");
        let mut inner = self.inner.borrow_mut();
        let stamp = inner.tick();
        let event = Event {
            stamp,
            seq: inner.next,
            host: inner.host.clone(),
            program: inner.program.clone(),
            kind,
            subject,
            detail,
        };
        inner.next += 1;
        if inner.events.len() == KEPT {
            inner.events.pop_front();
        }
        inner.events.push_back(event);
    }

    /// Returns a stamp for an outgoing message.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.inner.borrow_mut().tick()
    }

    /// Raises the clock above a stamp that came in.
    pub fn observe(&self, stamp: Stamp) {
        let mut inner = self.inner.borrow_mut();
        inner.last = inner.last.max(stamp);
    }

    /// Returns at most `most` events from number `from` on.
    #[must_use]
    pub fn since(&self, from: u64, most: usize) -> Vec<Event> {
        let inner = self.inner.borrow();
        inner
            .events
            .iter()
            .filter(|e| e.seq >= from)
            .take(most)
            .cloned()
            .collect()
    }
}

impl Inner {
    fn tick(&mut self) -> Stamp {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64);
        self.last = if wall > self.last.wall {
            Stamp { wall, count: 0 }
        } else {
            Stamp {
                wall: self.last.wall,
                count: self.last.count + 1,
            }
        };
        self.last
    }
}
