//! The bounded window of order ids.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use chicoryrail_core::Millis;

/// What became of an order; `A` is the kept answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome<A> {
    /// The server answered.
    Done(A),
    /// No server ran it; the id may be claimed again.
    NotRun,
    /// It may have run; it is never sent again.
    Unknown,
}

/// What a claim is answered with.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Claim<A> {
    /// The claimer may send.
    Send,
    /// Another claim is open.
    Running,
    /// The outcome is known.
    Closed(Outcome<A>),
    /// The id was used for another order.
    Reused,
    /// The window is full; nothing was claimed.
    Full,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry<A> {
    print: u64,
    token: u64,
    at: Millis,
    outcome: Option<Outcome<A>>,
}

/// Claims and outcomes of one part of the order ids.
///
/// Made for duplicates that follow one another within seconds, from callers that retry. An entry
/// lives for `length`. A flood of orders can't take the process's memory: past `most` entries new ids
/// are refused, since an id that was dropped early could run a second time. A holder that took over without the copy
/// answers unknown to ids that it does not know for `length`: any of them may have been sent before.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderWindow<A> {
    length: Millis,
    most: usize,
    blind: Millis,
    entries: BTreeMap<String, Entry<A>>,
    ages: VecDeque<(Millis, String)>,
}

impl<A: Clone> OrderWindow<A> {
    /// Builds an empty window.
    #[must_use]
    pub const fn new(length: Millis, most: usize) -> Self {
        Self {
            length,
            most,
            blind: Millis::ZERO,
            entries: BTreeMap::new(),
            ages: VecDeque::new(),
        }
    }

    /// Marks that claims made before `now` may be missing.
    #[must_use]
    pub fn blind_since(mut self, now: Millis) -> Self {
        self.blind = now + self.length;
        self
    }

    /// Returns how long claims may still be missing.
    #[must_use]
    pub const fn blind_left(&self, now: Millis) -> Millis {
        self.blind.since(now)
    }

    /// Takes in that claims may be missing for `left` more, as they are from the holder's window that
    /// this one is a copy of.
    ///
    /// A whole copy of a window that is itself not whole would else count as whole: the deputy that
    /// takes over would let an id be sent that an earlier holder had let be sent.
    pub fn blind_for(&mut self, now: Millis, left: Millis) {
        if left > Millis::ZERO {
            self.blind = self.blind.max(now + left);
        }
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether nothing is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Claims an id.
    pub fn claim(&mut self, now: Millis, order: &str, print: u64, token: u64) -> Claim<A> {
        self.expire(now);
        if let Some(entry) = self.entries.get(order) {
            return match &entry.outcome {
                _ if entry.print != print => Claim::Reused,
                Some(outcome) => Claim::Closed(outcome.clone()),
                None if entry.token == token => Claim::Send,
                None => Claim::Running,
            };
        }
        if now < self.blind {
            return Claim::Closed(Outcome::Unknown);
        }
        if self.entries.len() >= self.most {
            return Claim::Full;
        }
        let entry = Entry {
            print,
            token,
            at: now,
            outcome: None,
        };
        self.entries.insert(order.to_owned(), entry);
        self.ages.push_back((now, order.to_owned()));
        Claim::Send
    }

    /// Closes a claim; tells whether the window changed.
    ///
    /// Only the token that claimed may close, and a known outcome stays: a late report of another
    /// gate must not turn `done` into `not run`.
    pub fn close(&mut self, order: &str, token: u64, outcome: Outcome<A>) -> bool {
        let Some(entry) = self.entries.get_mut(order) else {
            return false;
        };
        if entry.token != token || entry.outcome.is_some() {
            return false;
        }
        match outcome {
            Outcome::NotRun => {
                self.entries.remove(order);
            }
            outcome => entry.outcome = Some(outcome),
        }
        true
    }

    /// Returns what is known of an id: `None` nothing, `Some(None)` an open claim.
    #[must_use]
    pub fn lookup(&self, now: Millis, order: &str) -> Option<Option<Outcome<A>>> {
        match self.entries.get(order) {
            Some(entry) => Some(entry.outcome.clone()),
            None if now < self.blind => Some(Some(Outcome::Unknown)),
            None => None,
        }
    }

    fn expire(&mut self, now: Millis) {
        while let Some((at, order)) = self.ages.front() {
            if now.since(*at) < self.length {
                return;
            }
            if self.entries.get(order).is_some_and(|e| e.at == *at) {
                self.entries.remove(order);
            }
            self.ages.pop_front();
        }
    }

    /// Iterates over the entries from the oldest on: order id, print, token, outcome.
    pub fn entries(&self) -> impl Iterator<Item = (&str, u64, u64, Option<&Outcome<A>>)> {
        self.ages.iter().filter_map(|(at, order)| {
            let entry = self.entries.get(order).filter(|e| e.at == *at)?;
            let outcome = entry.outcome.as_ref();
            Some((order.as_str(), entry.print, entry.token, outcome))
        })
    }

    /// Takes an entry over from a holder's copy; its age counts from now, which only keeps it longer.
    pub fn copied(
        &mut self,
        now: Millis,
        order: &str,
        print: u64,
        token: u64,
        outcome: Option<Outcome<A>>,
    ) {
        self.expire(now);
        if outcome
            .as_ref()
            .is_some_and(|o| matches!(o, Outcome::NotRun))
        {
            if self.entries.get(order).is_some_and(|e| e.token == token) {
                self.entries.remove(order);
            }
            return;
        }
        let known = self.entries.get(order).map(|e| e.at);
        let at = known.unwrap_or(now);
        if known.is_none() {
            self.ages.push_back((now, order.to_owned()));
        }
        let entry = Entry {
            print,
            token,
            at,
            outcome,
        };
        self.entries.insert(order.to_owned(), entry);
    }
}
