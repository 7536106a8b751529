//! The leader's keeping of one service's keys.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::Duty;
use crate::keys::GrantEnd;
use crate::keys::KeyRecord;
use crate::keys::KeySpan;
use crate::keys::KeyTiming;
use crate::keys::OwnedSpan;
use crate::keys::ReleaseEnd;
use crate::keys::server_state::ServerState;

/// Keys that a former owner may still hold.
#[derive(Clone, Debug)]
struct Claim {
    owned: OwnedSpan,
    /// When the hold has surely run out.
    until: Millis,
    /// When a release may be tried (again).
    retry: Millis,
}

/// Keys that were released, with the token for the next holder.
#[derive(Clone, Debug)]
struct Freed {
    span: KeySpan,
    token: Option<String>,
}

/// Keeps the keys of one service, in one term of leadership.
///
/// Safety rests on three things. The record is in the store before a grant under it is sent. A key is
/// granted to another server only after its former holder answered a release, its hold has surely run
/// out, or its life has ended. And a new leader first writes the old table under a higher fence and
/// grants it again, so that an older leader's renewals are refused; for a server that it can't reach it
/// waits as long as the older leader may have gone on.
#[derive(Debug)]
pub struct Keeper {
    timing: KeyTiming,
    record: KeyRecord,
    servers: BTreeMap<Life, ServerState>,
    claims: Vec<Claim>,
    freed: Vec<Freed>,
    writing: Option<KeyRecord>,
    /// Pieces whose hold was confirmed under the record's fence.
    live: Vec<OwnedSpan>,
    deposed: bool,
}

impl Keeper {
    /// Takes over from the record that lies in the store, at `now`.
    ///
    /// The first duty is to write it again under a higher fence. Whoever is named in it may hold its keys
    /// as long as an earlier leader may have renewed them.
    #[must_use]
    pub fn take_over(record: KeyRecord, timing: KeyTiming, now: Millis, attempt: u64) -> Self {
        let until = now + timing.stale_leader + timing.longest_hold();
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
            live: Vec::new(),
            deposed: false,
            record,
        };
        let named = this.record.spans.iter().chain(&this.record.loose);
        let named: Vec<Life> = named.map(|s| s.owner.clone()).collect();
        for life in named {
            let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
            let state = this.servers.entry(life).or_insert_with(|| new_state(unknown, now));
            state.held_until = until;
            state.stray_until = until;
        }
        this
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

    /// Tells whether a change of the record is under way, or former holders have not been cleared yet.
    #[must_use]
    pub fn is_changing(&self) -> bool {
        self.writing.is_some() || !self.claims.is_empty()
    }

    /// Returns the keys that are meant for somebody but not granted yet.
    #[must_use]
    pub fn blocked(&self) -> Vec<KeySpan> {
        let mut blocked = Vec::new();
        for owned in &self.record.spans {
            let mut left = vec![owned.span];
            for piece in self.live.iter().filter(|l| l.owner == owned.owner) {
                left = left.iter().flat_map(|s| s.without(piece.span)).collect();
            }
            blocked.extend(left);
        }
        blocked
    }

    /// Takes in where a server answers.
    pub fn server_at(&mut self, now: Millis, life: &Life, addr: SocketAddr) {
        let state = self.servers.entry(life.clone());
        state.or_insert_with(|| new_state(addr, now)).addr = addr;
    }

    /// Takes in that a server's life has ended, so that it holds nothing.
    pub fn ended(&mut self, life: &Life) {
        if let Some(state) = self.servers.get_mut(life) {
            state.ended = true;
        }
        self.live.retain(|l| l.owner != *life);
    }

    /// Plans other owners; to be called while nothing is changing.
    pub fn change(&mut self, spans: Vec<OwnedSpan>, attempt: u64) {
        let loose = self.claims.iter().map(|c| c.owned.clone()).collect();
        self.writing = Some(self.record.next(spans, loose, attempt));
    }

    /// Returns what is due now.
    pub fn due(&mut self, now: Millis) -> Vec<Duty> {
        if self.deposed {
            return Vec::new();
        }
        self.settle(now);
        if let Some(next) = &self.writing {
            let mut duties = vec![Duty::Commit(next.clone())];
            // Before a leader has written its own fence, it may not renew either: somebody else may
            // have moved the keys since.
            if self.live.is_empty() {
                return duties;
            }
            duties.extend(self.renewals(now));
            return duties;
        }
        let mut duties = self.renewals(now);
        duties.extend(self.releases(now));
        duties
    }

    /// Takes in that the record was written.
    pub fn committed(&mut self, now: Millis) {
        let Some(next) = self.writing.take() else {
            return;
        };
        for owned in &next.loose {
            let known = self.claims.iter().any(|c| c.owned == *owned);
            let state = self.servers.get(&owned.owner);
            if !known {
                self.claims.push(Claim {
                    owned: owned.clone(),
                    until: state.map_or(now, |s| s.held_until),
                    retry: now,
                });
            }
        }
        // Only what stays with its owner remains live.
        let kept = self.live.iter().filter_map(|l| {
            let span = next.span_of(&l.owner)?.meet(l.span)?;
            Some(OwnedSpan::new(span, l.owner.clone()))
        });
        self.live = kept.collect();
        for state in self.servers.values_mut() {
            state.due = now;
        }
        self.freed.clear();
        self.record = next;
    }

    /// Takes in that the record was not written and will not be.
    pub fn not_committed(&mut self) {
        if !self.live.is_empty() || self.record.fence > 0 {
            self.writing = None;
        }
    }

    /// Takes in that a grant is on its way: from now on it may take effect.
    pub fn granting(&mut self, now: Millis, life: &Life) {
        let longest = self.timing.grant_limit + self.timing.longest_hold();
        if let Some(state) = self.servers.get_mut(life) {
            state.busy = true;
            state.held_until = state.held_until.max(now + longest);
        }
    }

    /// Takes in how a grant ended.
    pub fn granted(&mut self, now: Millis, life: &Life, span: KeySpan, fence: u64, end: GrantEnd) {
        let hold = self.timing.longest_hold();
        let renew = self.timing.renew;
        let current = fence == self.record.fence && self.writing.is_none()
            || fence == self.record.fence;
        let Some(state) = self.servers.get_mut(life) else {
            return;
        };
        state.busy = false;
        match end {
            GrantEnd::Held => {
                state.confirmed = fence;
                state.due = now + renew;
                // A server that took this fence refuses any older grant, so what an earlier leader or
                // a lost answer left behind no longer counts.
                state.held_until = now + hold;
                if current {
                    self.live.retain(|l| l.owner != *life || l.span.meet(span).is_none());
                    let held = self.record.span_of(life).and_then(|s| s.meet(span));
                    if let Some(held) = held {
                        self.live.push(OwnedSpan::new(held, life.clone()));
                    }
                }
            }
            GrantEnd::FenceOld => self.deposed = true,
            GrantEnd::OtherServer => self.ended(&life.clone()),
            GrantEnd::Silent => {
                state.held_until = state.held_until.max(now + hold);
                state.stray_until = now + hold;
                state.due = now + Millis(renew.0 / 4);
            }
        }
    }

    /// Takes in that a release is on its way.
    pub fn releasing(&mut self, life: &Life) {
        if let Some(state) = self.servers.get_mut(life) {
            state.busy = true;
        }
    }

    /// Takes in how a release ended.
    pub fn released(&mut self, now: Millis, life: &Life, span: KeySpan, end: ReleaseEnd) {
        let Some(state) = self.servers.get_mut(life) else {
            return;
        };
        state.busy = false;
        let stray = state.stray_until;
        match end {
            ReleaseEnd::Free(token) if stray <= now => {
                self.claims
                    .retain(|c| c.owned.owner != *life || c.owned.span != span);
                self.freed.push(Freed { span, token });
            }
            // An earlier grant whose answer was lost may still take effect.
            ReleaseEnd::Free(_) => self.retry(life, stray),
            ReleaseEnd::OtherServer => self.ended(&life.clone()),
            ReleaseEnd::Silent => self.retry(life, now + Millis(self.timing.renew.0 / 4)),
        }
    }

    fn retry(&mut self, life: &Life, at: Millis) {
        let claims = self.claims.iter_mut();
        for claim in claims.filter(|c| c.owned.owner == *life) {
            claim.retry = at;
        }
    }

    /// Drops the claims that have run out or whose server's life has ended.
    fn settle(&mut self, now: Millis) {
        let servers = &self.servers;
        self.claims.retain(|c| {
            let ended = servers.get(&c.owned.owner).is_none_or(|s| s.ended);
            !ended && now < c.until
        });
    }

    /// Returns the grants that are due. A piece that was released goes out first, with its token; after
    /// that the whole part of the span that nobody else may hold is renewed in one call.
    fn renewals(&self, now: Millis) -> Vec<Duty> {
        let mut duties = Vec::new();
        for owned in &self.record.spans {
            let Some(state) = self.servers.get(&owned.owner) else {
                continue;
            };
            if state.busy || state.ended || state.addr.port() == 0 {
                continue;
            }
            if let Some(span) = self.next_piece(now, owned, state) {
                let token = |f: &Freed| f.span.meet(span) == Some(span);
                let live = self.live.iter().any(|l| l.span.meet(span).is_some());
                let freed = self.freed.iter().find(|f| !live && token(f));
                duties.push(Duty::Grant {
                    life: owned.owner.clone(),
                    addr: state.addr,
                    span,
                    fence: self.record.fence,
                    handover: freed.and_then(|f| f.token.clone()),
                });
            }
        }
        duties
    }

    /// Returns the keys that a server is to be granted next.
    fn next_piece(&self, now: Millis, owned: &OwnedSpan, state: &ServerState) -> Option<KeySpan> {
        let mut free = vec![owned.span];
        let others = self.claims.iter().filter(|c| c.owned.owner != owned.owner);
        for claim in others {
            free = free.iter().flat_map(|s| s.without(claim.owned.span)).collect();
        }
        let is_live = |s: &KeySpan| {
            let mut left = vec![*s];
            for piece in self.live.iter().filter(|l| l.owner == owned.owner) {
                left = left.iter().flat_map(|s| s.without(piece.span)).collect();
            }
            left.is_empty()
        };
        let fresh = free.iter().find(|s| !is_live(s));
        if let Some(span) = fresh {
            // What was released with a token is granted by itself, so that the token goes along.
            let live = self.live.iter().filter(|l| l.owner == owned.owner);
            let left = live.fold(vec![*span], |left, piece| {
                left.iter().flat_map(|s| s.without(piece.span)).collect()
            });
            let tokens = self.freed.iter().filter(|f| f.token.is_some());
            let piece = tokens.filter_map(|f| left.iter().find_map(|s| s.meet(f.span))).next();
            let waits = state.confirmed == self.record.fence && now < state.due && piece.is_none();
            let retry = state.confirmed != self.record.fence && now < state.due;
            if !retry && !waits {
                return piece.or(Some(*span));
            }
            return piece.filter(|_| !retry).or_else(|| left.first().copied().filter(|_| !retry));
        }
        (now >= state.due).then(|| free.iter().max_by_key(|s| s.len()).copied())?
    }

    /// Returns the releases that are due: after the former holder has got what it keeps, under the new
    /// fence, so that a release that takes long does not cost it that.
    fn releases(&self, now: Millis) -> Vec<Duty> {
        let mut duties: Vec<Duty> = Vec::new();
        let mut asked: Vec<&Life> = Vec::new();
        for claim in &self.claims {
            let life = &claim.owned.owner;
            let Some(state) = self.servers.get(life) else {
                continue;
            };
            let keeps = self.record.span_of(life).is_some();
            let renewed = !keeps || state.confirmed == self.record.fence;
            let idle = !state.busy && !asked.contains(&life) && state.addr.port() != 0;
            if idle && renewed && now >= claim.retry {
                asked.push(life);
                duties.push(Duty::Release {
                    life: life.clone(),
                    addr: state.addr,
                    span: claim.owned.span,
                    fence: self.record.fence,
                });
            }
        }
        duties
    }
}

fn new_state(addr: SocketAddr, now: Millis) -> ServerState {
    ServerState {
        addr,
        held_until: Millis::ZERO,
        stray_until: Millis::ZERO,
        due: now,
        busy: false,
        confirmed: 0,
        ended: false,
    }
}
