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

/// Time between two probes of a lost server. Keys given to one that still does not answer are unserved until
/// they are taken away again, so it must answer before it gets any.
const PROBE_EVERY: Millis = Millis(1_500);

/// Age of the last sight of a server's registration up to which it is worth a probe.
const SEEN_LATELY: Millis = Millis(1_000);

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

/// Keys whose hold their owner has confirmed.
#[derive(Clone, Debug)]
struct Live {
    owned: OwnedSpan,
    /// When they are to be renewed.
    due: Millis,
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
    live: Vec<Live>,
    deposed: bool,
    /// How long grants last that go out now.
    hold: Millis,
}

impl Keeper {
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
            live: Vec::new(),
            deposed: false,
            hold: timing.hold,
            record,
        };
        let named = this.record.spans.iter().chain(&this.record.loose);
        let named: Vec<Life> = named.map(|s| s.owner.clone()).collect();
        for life in named {
            let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
            let state = this
                .servers
                .entry(life)
                .or_insert_with(|| new_state(unknown, now));
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

    /// Tells whether a change of the record is under way, or former holders have not been cleared yet.
    #[must_use]
    pub fn is_changing(&self) -> bool {
        self.writing.is_some() || !self.claims.is_empty()
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

    /// Returns the keys that are meant for somebody but not granted yet.
    #[must_use]
    pub fn blocked(&self) -> Vec<KeySpan> {
        let spans = self.record.spans.iter();
        spans.flat_map(|owned| self.not_live(owned)).collect()
    }

    fn not_live(&self, owned: &OwnedSpan) -> Vec<KeySpan> {
        let live = self.live.iter().filter(|l| l.owned.owner == owned.owner);
        live.fold(vec![owned.span], |left, l| without(&left, l.owned.span))
    }

    /// Takes in where a server answers.
    pub fn server_at(&mut self, now: Millis, life: &Life, addr: SocketAddr) {
        let state = self.servers.entry(life.clone());
        let state = state.or_insert_with(|| new_state(addr, now));
        state.addr = addr;
        state.seen = now;
    }

    /// Takes in that a server's life has ended, so that it holds nothing.
    pub fn ended(&mut self, life: &Life) {
        if let Some(state) = self.servers.get_mut(life) {
            state.ended = true;
        }
        self.live.retain(|l| l.owned.owner != *life);
    }

    /// Plans other owners; to be called while nothing is changing.
    pub fn change(&mut self, spans: Vec<OwnedSpan>, attempt: u64) {
        let loose: Vec<_> = self.claims.iter().map(|c| c.owned.clone()).collect();
        self.writing = Some(self.record.next(spans, &loose, attempt));
    }

    /// Returns what is due now.
    pub fn due(&mut self, now: Millis) -> Vec<Duty> {
        if self.deposed {
            return Vec::new();
        }
        self.settle(now);
        if let Some(next) = &self.writing {
            // What is held is renewed meanwhile; nothing new is granted under a table that is about to
            // change. The write comes last: what is renewed now must be reckoned with when it is done.
            let mut duties = self.grants(now, false);
            duties.push(Duty::Commit(next.clone()));
            return duties;
        }
        let mut duties = self.grants(now, true);
        duties.extend(self.releases(now));
        duties.extend(self.probes(now));
        duties
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
        // Only what stays with its owner remains live, and is renewed under the new fence at once.
        let kept = self.live.iter().filter_map(|l| {
            let span = next.span_of(&l.owned.owner)?.meet(l.owned.span)?;
            Some(Live {
                owned: OwnedSpan::new(span, l.owned.owner.clone()),
                due: now,
            })
        });
        self.live = kept.collect();
        self.freed.clear();
        self.record = next;
    }

    /// Takes in that a grant is on its way: from now on it may take effect.
    pub fn granting(&mut self, now: Millis, life: &Life) {
        let longest = self.timing.grant_limit + KeyTiming::longest(self.hold);
        if let Some(state) = self.servers.get_mut(life) {
            state.busy = true;
            state.hold = self.hold;
            if self.hold > self.timing.hold {
                state.long_until = state.long_until.max(now + longest);
            }
            state.held_until = state.held_until.max(now + longest);
        }
    }

    /// Takes in how a grant ended.
    pub fn granted(&mut self, now: Millis, life: &Life, span: KeySpan, fence: u64, end: GrantEnd) {
        let again = now + Millis(self.timing.renew.0 / 4);
        let Some(state) = self.servers.get_mut(life) else {
            return;
        };
        state.busy = false;
        let hold = KeyTiming::longest(state.hold);
        match end {
            GrantEnd::Held => {
                // A server that took this fence refuses any older grant, so what an earlier leader or
                // a lost answer left behind no longer counts.
                state.held_until = state.long_until.max(now + hold);
                state.confirmed = fence;
                state.silent = None;
                if fence == self.record.fence {
                    self.holds(now, life, span);
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

    /// Notes that a server holds the keys of its span that were granted.
    fn holds(&mut self, now: Millis, life: &Life, span: KeySpan) {
        let Some(span) = self.record.span_of(life).and_then(|s| s.meet(span)) else {
            return;
        };
        let covered = |l: &Live| l.owned.owner == *life && l.owned.span.without(span).is_empty();
        self.live.retain(|l| !covered(l));
        self.live.push(Live {
            owned: OwnedSpan::new(span, life.clone()),
            due: now + self.timing.renew,
        });
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
        if matches!(end, ReleaseEnd::Free(_)) {
            state.silent = None;
        }
        match end {
            // The release bore a higher fence than every grant of these keys to this server, also one whose
            // answer was lost: such a grant is refused when it takes effect.
            ReleaseEnd::Free(token) => {
                self.claims
                    .retain(|c| c.owned.owner != *life || c.owned.span != span);
                self.freed.push(Freed { span, token });
            }
            ReleaseEnd::OtherServer => self.ended(&life.clone()),
            ReleaseEnd::Silent => {
                state.retry = now + PROBE_EVERY;
                self.retry(life, now + Millis(self.timing.renew.0 / 4));
            }
        }
    }

    fn retry(&mut self, life: &Life, at: Millis) {
        let claims = self.claims.iter_mut();
        for claim in claims.filter(|c| c.owned.owner == *life) {
            claim.retry = at;
        }
    }

    /// Drops the claims that have run out or whose server's life has ended, and what owners no longer
    /// hold for want of a renewal.
    fn settle(&mut self, now: Millis) {
        let lapse = self.timing.hold - self.timing.renew;
        self.live.retain(|l| now < l.due + lapse);
        let servers = &self.servers;
        self.claims.retain(|c| {
            let ended = servers.get(&c.owned.owner).is_none_or(|s| s.ended);
            !ended && now < c.until
        });
    }

    /// Returns the grants that are due, at most one for each server; without `fresh` only renewals.
    fn grants(&self, now: Millis, fresh: bool) -> Vec<Duty> {
        let spans = self.record.spans.iter();
        spans
            .filter_map(|owned| self.grant(now, owned, fresh))
            .collect()
    }

    /// Returns the next grant for a server: first what it holds and must renew, then what it is to hold
    /// and nobody else may hold any more.
    fn grant(&self, now: Millis, owned: &OwnedSpan, fresh: bool) -> Option<Duty> {
        let state = self.servers.get(&owned.owner)?;
        if state.busy || state.ended || state.addr.port() == 0 || now < state.retry {
            return None;
        }
        let renewed = self.renewal(now, &owned.owner).map(|span| (span, None));
        let (span, handover) = renewed.or_else(|| self.fresh(owned).filter(|_| fresh))?;
        Some(Duty::Grant {
            life: owned.owner.clone(),
            addr: state.addr,
            span,
            fence: self.record.fence,
            handover,
        })
    }

    /// Returns the keys that a server must renew: with a piece that is due, all that adjoin it.
    fn renewal(&self, now: Millis, life: &Life) -> Option<KeySpan> {
        let mut live: Vec<_> = self
            .live
            .iter()
            .filter(|l| l.owned.owner == *life)
            .collect();
        live.sort_by_key(|l| l.owned.span);
        let mut run: Option<(KeySpan, bool)> = None;
        for piece in live {
            let (span, due) = (piece.owned.span, now >= piece.due);
            run = match run {
                Some((whole, was)) if u32::from(whole.last) + 1 >= u32::from(span.first) => {
                    let last = whole.last.max(span.last);
                    Some((KeySpan { last, ..whole }, was || due))
                }
                Some((whole, true)) => return Some(whole),
                _ => Some((span, due)),
            };
        }
        run.filter(|(_, due)| *due).map(|(span, _)| span)
    }

    /// Returns keys that a server does not hold yet and that nobody else may hold. What was released
    /// with a token is granted by itself, so that the token goes along.
    fn fresh(&self, owned: &OwnedSpan) -> Option<(KeySpan, Option<String>)> {
        let others = self.claims.iter().filter(|c| c.owned.owner != owned.owner);
        let free = others.fold(self.not_live(owned), |left, c| without(&left, c.owned.span));
        let passed = self
            .freed
            .iter()
            .filter(|f| f.token.is_some())
            .find_map(|f| {
                let span = free.iter().find_map(|s| s.meet(f.span))?;
                Some((span, f.token.clone()))
            });
        passed.or_else(|| free.first().map(|span| (*span, None)))
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

    /// Returns the probes of lost servers that are due: a release of everything, which is never refused and
    /// takes nothing from one that holds nothing.
    fn probes(&self, now: Millis) -> Vec<Duty> {
        let named = self.named();
        let lost = self.servers.iter().filter(|(life, s)| {
            let there = now.since(s.seen) <= SEEN_LATELY && s.addr.port() != 0;
            there && !s.busy && !s.ended && now >= s.retry && self.is_lost(now, life)
        });
        let lost = lost.filter(|(life, _)| !named.contains(life));
        let probe = |(life, state): (&Life, &ServerState)| Duty::Release {
            life: life.clone(),
            addr: state.addr,
            span: KeySpan::ALL,
            fence: self.record.fence,
        };
        lost.map(probe).collect()
    }
}

/// Returns what `cut` leaves of the spans.
fn without(spans: &[KeySpan], cut: KeySpan) -> Vec<KeySpan> {
    spans.iter().flat_map(|s| s.without(cut)).collect()
}

fn new_state(addr: SocketAddr, now: Millis) -> ServerState {
    ServerState {
        addr,
        held_until: Millis::ZERO,
        hold: Millis::ZERO,
        long_until: Millis::ZERO,
        retry: now,
        seen: now,
        busy: false,
        confirmed: 0,
        silent: None,
        ended: false,
    }
}
