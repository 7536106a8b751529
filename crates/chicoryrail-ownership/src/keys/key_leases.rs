//! The leader's leases of one service's keys.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::GrantEnd;
use crate::keys::KeyRange;
use crate::keys::KeyRecord;
use crate::keys::KeyTiming;
use crate::keys::OwnedRange;
use crate::keys::ReleaseEnd;
use crate::keys::claim::Claim;
use crate::keys::claim::Freed;
use crate::keys::record::by_owner;
use crate::keys::server_state::ServerState;

/// Where a server is of which only the record tells.
const UNKNOWN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Keeps the keys of one service, in one term of leadership.
///
/// Safety rests on three things. The record is in the store before a grant under it is sent. A key is
/// granted to another server only after its former holder answered a release, its hold has surely run
/// out, or its life has ended. And a new leader first writes the old table under a higher fence and
/// grants it again, so that an older leader's renewals are refused; for a server that it can't reach it
/// waits as long as the older leader may have gone on.
#[derive(Debug)]
pub struct KeyLeases {
    pub(super) timing: KeyTiming,
    pub(super) record: KeyRecord,
    pub(super) servers: BTreeMap<Life, ServerState>,
    pub(super) claims: Vec<Claim>,
    pub(super) freed: Vec<Freed>,
    pub(super) writing: Option<KeyRecord>,
    /// Claims that ended because their time was over, not yet told.
    pub(super) waited_out: Vec<OwnedRange>,
    pub(super) deposed: bool,
    /// How long grants last that go out now.
    hold: Millis,
}

impl KeyLeases {
    /// Takes over from the record that lies in the store, at `now`.
    ///
    /// The first duty is to write it again under a higher fence. Whoever is named in it may hold its keys
    /// as long as an earlier leader may have renewed them.
    ///
    /// `away` tells whether the store was away lately, so that an earlier leader may have granted for the
    /// time of an outage.
    #[must_use]
    pub fn take_over(
        record: KeyRecord,
        timing: KeyTiming,
        now: Millis,
        attempt: u64,
        away: bool,
    ) -> Self {
        let hold = if away {
            timing.outage_hold
        } else {
            timing.hold
        };
        let until = now + timing.stale_leader + KeyTiming::longest(hold);
        let claims = record.loose.iter().map(|owned| Claim {
            owned: owned.clone(),
            until,
            retry: now,
        });
        let claims = claims.collect();
        let mut next = record.clone();
        next.fence += 1;
        next.attempt = attempt;
        let mut this = Self {
            timing,
            servers: BTreeMap::new(),
            claims,
            freed: Vec::new(),
            writing: Some(next),
            waited_out: Vec::new(),
            deposed: false,
            hold: timing.hold,
            record,
        };
        let named = this.record.spans.iter().chain(&this.record.loose);
        let named: Vec<Life> = named.map(|s| s.owner.clone()).collect();
        for life in named {
            let state = this
                .servers
                .entry(life)
                .or_insert_with(|| ServerState::new(UNKNOWN, now));
            state.held_until = until;
            if away {
                state.long_until = until;
            }
        }
        this
    }

    /// Takes in whether every host says that the store is away; grants last accordingly from now on.
    pub fn store_away(&mut self, away: bool) {
        let timing = &self.timing;
        self.hold = if away {
            timing.outage_hold
        } else {
            timing.hold
        };
    }

    /// Returns how long grants last that go out now.
    #[must_use]
    pub const fn hold(&self) -> Millis {
        self.hold
    }

    /// Returns the record in force; grants go out under its fence.
    #[must_use]
    pub const fn record(&self) -> &KeyRecord {
        &self.record
    }

    /// Tells whether a server has seen a higher fence, so that there is another leader.
    #[must_use]
    pub const fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Tells whether a change of the record is under way, former holders have not been cleared yet, or keys are not
    /// granted.
    #[must_use]
    pub fn is_changing(&self) -> bool {
        let granted = |s: &ServerState| s.not_live().first().is_none();
        self.writing.is_some() || !self.claims.is_empty() || !self.servers.values().all(granted)
    }

    /// Tells whether the record still names former holders that hold nothing any more.
    #[must_use]
    pub fn is_untidy(&self) -> bool {
        self.record.loose.len() > self.claims.len()
    }

    /// Tells whether a write of the record is due or under way.
    #[must_use]
    pub const fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    /// Returns the servers that are meant to hold keys, or may hold some.
    #[must_use]
    pub fn named(&self) -> Vec<Life> {
        let owners = self.record.spans.iter().map(|s| s.owner.clone());
        let former = self.claims.iter().map(|c| c.owned.owner.clone());
        owners.chain(former).collect()
    }

    /// Tells whether a server has not answered for so long that others should hold its keys.
    #[must_use]
    pub fn is_lost(&self, now: Millis, life: &Life) -> bool {
        let Some(since) = self.servers.get(life).and_then(|s| s.silent) else {
            return false;
        };
        now.since(since) >= Millis(self.timing.hold.0 / 2)
    }

    /// Returns the keys that former holders have kept until the end of their hold, each once.
    pub fn take_waited_out(&mut self) -> Vec<OwnedRange> {
        std::mem::take(&mut self.waited_out)
    }

    /// Returns since when a server has not answered grants.
    #[must_use]
    pub fn silent_since(&self, life: &Life) -> Option<Millis> {
        self.servers.get(life)?.silent
    }

    /// Returns the keys that are meant for somebody but not granted yet.
    #[must_use]
    pub fn blocked(&self) -> Vec<KeyRange> {
        let servers = self.servers.values();
        servers.flat_map(|s| s.not_live().into_spans()).collect()
    }

    /// Takes in where a server answers.
    pub fn server_at(&mut self, now: Millis, life: &Life, addr: SocketAddr) {
        let state = self.servers.entry(life.clone());
        let state = state.or_insert_with(|| ServerState::new(addr, now));
        state.addr = addr;
        state.seen = now;
    }

    /// Takes in that a server's life has ended, so that it holds nothing.
    pub fn ended(&mut self, life: &Life) {
        if let Some(state) = self.servers.get_mut(life) {
            state.ended = true;
            state.live.clear();
        }
    }

    /// Plans other owners; to be called while nothing is changing.
    pub fn change(&mut self, spans: Vec<OwnedRange>, attempt: u64) {
        let loose: Vec<_> = self.claims.iter().map(|c| c.owned.clone()).collect();
        self.writing = Some(self.record.next(spans, &loose, attempt));
    }

    /// Takes in that the record was written.
    pub fn committed(&mut self, now: Millis) {
        let Some(next) = self.writing.take() else {
            return;
        };
        // A server may have got keys back since they were loose, and holds them as long as its last grant
        // says; so each claim is reckoned anew.
        let before = std::mem::take(&mut self.claims);
        let claims = next.loose.iter().map(|owned| {
            let same = |c: &&Claim| {
                c.owned.owner == owned.owner && c.owned.span.meet(owned.span).is_some()
            };
            let earlier = before.iter().filter(same).map(|c| c.until).max();
            let held = self.servers.get(&owned.owner).map(|s| s.held_until);
            Claim {
                owned: owned.clone(),
                until: held.max(earlier).unwrap_or(now),
                retry: now,
            }
        });
        self.claims = claims.collect();
        let mut meant = by_owner(&next.spans);
        for (life, state) in &mut self.servers {
            state.meant(meant.remove(life).unwrap_or_default());
        }
        for (life, spans) in meant {
            let mut state = ServerState::new(UNKNOWN, now);
            state.meant(spans);
            self.servers.insert(life.clone(), state);
        }
        self.freed.clear();
        self.record = next;
    }

    /// Takes in that a grant is on its way: from now on it may take effect.
    pub fn granting(&mut self, now: Millis, life: &Life, span: KeyRange) {
        let longest = self.timing.grant_limit + KeyTiming::longest(self.hold);
        if let Some(state) = self.servers.get_mut(life) {
            state.granting = Some(span);
            state.hold = self.hold;
            if self.hold > self.timing.hold {
                state.long_until = state.long_until.max(now + longest);
            }
            state.held_until = state.held_until.max(now + longest);
        }
    }

    /// Takes in how a grant ended.
    pub fn granted(&mut self, now: Millis, life: &Life, span: KeyRange, fence: u64, end: GrantEnd) {
        let again = now + Millis(self.timing.renew.0 / 4);
        let Some(state) = self.servers.get_mut(life) else {
            return;
        };
        state.granting = None;
        let hold = KeyTiming::longest(state.hold);
        match end {
            GrantEnd::Held => {
                // A server that took this fence refuses any older grant, so what an earlier leader or
                // a lost answer left behind no longer counts.
                state.held_until = state.long_until.max(now + hold);
                state.silent = None;
                if fence == self.record.fence {
                    state.holds(now + self.timing.renew, span);
                }
            }
            GrantEnd::FenceOld => self.deposed = true,
            GrantEnd::OtherServer => self.ended(&life.clone()),
            GrantEnd::Silent => {
                state.held_until = state.held_until.max(now + hold);
                state.retry = again;
                state.silent.get_or_insert(now);
            }
        }
    }

    /// Takes in that a release is on its way.
    pub fn releasing(&mut self, life: &Life, span: KeyRange) {
        if let Some(state) = self.servers.get_mut(life) {
            state.releasing.push(span);
        }
    }

    /// Takes in how a release ended.
    pub fn released(&mut self, now: Millis, life: &Life, span: KeyRange, end: ReleaseEnd) {
        let Some(state) = self.servers.get_mut(life) else {
            return;
        };
        if let Some(at) = state.releasing.iter().position(|s| *s == span) {
            state.releasing.swap_remove(at);
        }
        if matches!(end, ReleaseEnd::Free(_)) {
            state.silent = None;
        }
        match end {
            // The release bore a higher fence than every grant of these keys to this server, also one whose
            // answer was lost: such a grant is refused when it takes effect.
            ReleaseEnd::Free(token) => {
                let freed =
                    |c: &Claim| c.owned.owner == *life && c.owned.span.without(span).is_empty();
                self.claims.retain(|c| !freed(c));
                self.freed.push(Freed { span, token });
            }
            ReleaseEnd::OtherServer => self.ended(&life.clone()),
            ReleaseEnd::Silent => {
                // A server that keeps keys must be renewed at once; one without may wait.
                if state.spans.is_empty() {
                    state.retry = now + self.timing.probe;
                }
                self.retry(life, span, now + Millis(self.timing.renew.0 / 4));
            }
        }
    }

    fn retry(&mut self, life: &Life, span: KeyRange, at: Millis) {
        let claims = self.claims.iter_mut();
        let same = |c: &&mut Claim| c.owned.owner == *life && c.owned.span.meet(span).is_some();
        for claim in claims.filter(same) {
            claim.retry = at;
        }
    }
}
