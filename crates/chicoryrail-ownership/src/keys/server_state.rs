//! What the leader knows of one server.

use std::net::SocketAddr;

use chicoryrail_core::Millis;

use crate::keys::KeyRange;
use crate::keys::claim::Live;
use crate::keys::range_set::RangeSet;

/// What the leader knows of one start of a server.
#[derive(Clone, Debug)]
pub(crate) struct ServerState {
    pub(crate) addr: SocketAddr,
    /// Until when the server may hold keys that anybody granted it.
    pub(crate) held_until: Millis,
    /// How long the grant lasts that was sent last; an outage may begin or end while it is under way.
    pub(crate) hold: Millis,
    /// Until when a grant for the time of an outage may be held. A shorter one that came after it need not
    /// end it: the longer may take effect later, or the server keeps the later end of the two.
    pub(crate) long_until: Millis,
    /// When the server may be called again after a call without an answer.
    pub(crate) retry: Millis,
    /// When its registration was last seen.
    pub(crate) seen: Millis,
    /// Keys of the grant that is under way; there is one at a time.
    pub(crate) granting: Option<KeyRange>,
    /// Keys of the releases that are under way. A grant and a release of the same key are never under way
    /// together: on different connections one may overtake the other.
    pub(crate) releasing: Vec<KeyRange>,
    /// Keys that it is meant to hold.
    pub(crate) spans: Vec<KeyRange>,
    /// Keys that it holds.
    pub(crate) live: Vec<Live>,
    /// Since when it has not answered a grant.
    pub(crate) silent: Option<Millis>,
    /// Whether the server's life is known to have ended.
    pub(crate) ended: bool,
}

impl ServerState {
    /// Builds the state of a server of which nothing is known but where it is.
    pub(crate) const fn new(addr: SocketAddr, now: Millis) -> Self {
        Self {
            addr,
            held_until: Millis::ZERO,
            hold: Millis::ZERO,
            long_until: Millis::ZERO,
            retry: now,
            seen: now,
            granting: None,
            releasing: Vec::new(),
            spans: Vec::new(),
            live: Vec::new(),
            silent: None,
            ended: false,
        }
    }

    /// Tells whether a server may be called, as far as it is known where it is.
    pub(crate) fn is_there(&self) -> bool {
        !self.ended && self.addr.port() != 0
    }

    /// Returns the keys that it is meant to hold and does not yet.
    pub(crate) fn not_live(&self) -> RangeSet {
        let live = self.live.iter().map(|l| l.span);
        RangeSet::new(self.spans.clone()).without(live)
    }

    /// Takes in what it is meant to hold from now on; of what it holds, only that remains.
    pub(crate) fn meant(&mut self, spans: Vec<KeyRange>) {
        let kept = self.live.iter().flat_map(|live| {
            let meet = spans.iter().filter_map(|s| s.meet(live.span));
            meet.map(|span| Live { span, ..*live })
        });
        self.live = kept.collect();
        self.spans = spans;
    }

    /// Notes that it holds keys that were granted, as far as it is meant to.
    pub(crate) fn holds(&mut self, due: Millis, span: KeyRange) {
        let covered = |l: &Live| l.span.without(span).is_empty();
        self.live.retain(|l| !covered(l));
        let meant = self.spans.iter().filter_map(|s| s.meet(span));
        self.live.extend(meant.map(|span| Live { span, due }));
    }
}
