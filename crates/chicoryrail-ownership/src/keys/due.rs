//! What a leases wants done next.

use std::collections::BTreeMap;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::KeyAction;
use crate::keys::KeyLeases;
use crate::keys::KeyRange;
use crate::keys::claim::Live;
use crate::keys::server_state::ServerState;

/// Age of the last sight of a server's registration up to which it is worth a probe.
const CONFIRMATION_AGE_MAX: Millis = Millis(1_000);

/// Releases that are under way at one server at a time; each has a connection of its own.
const RELEASES_PER_SERVER: usize = 4;

impl KeyLeases {
    /// Returns what is due now.
    pub fn due(&mut self, now: Millis) -> Vec<KeyAction> {
        if self.deposed {
            return Vec::new();
        }
        self.settle(now);
        if let Some(next) = &self.writing {
            // What is held is renewed meanwhile; nothing new is granted under a table that is about to
            // change. The write comes last: what is renewed now must be reckoned with when it is done.
            let mut duties = self.grants(now, false);
            duties.push(KeyAction::Commit(next.clone()));
            return duties;
        }
        let mut duties = self.grants(now, true);
        duties.extend(self.releases(now));
        duties.extend(self.probes(now));
        duties
    }

    /// Drops the claims that have run out or whose server's life has ended, and what owners no longer
    /// hold for want of a renewal.
    fn settle(&mut self, now: Millis) {
        let lapse = self.timing.hold - self.timing.renew;
        for state in self.servers.values_mut() {
            state.live.retain(|l| now < l.due + lapse);
        }
        let (servers, waited_out) = (&self.servers, &mut self.waited_out);
        self.claims.retain(|c| {
            let ended = servers.get(&c.owned.owner).is_none_or(|s| s.ended);
            if !ended && now >= c.until {
                waited_out.push(c.owned.clone());
            }
            !ended && now < c.until
        });
    }

    /// Returns the grants that are due, at most one for each server; without `fresh` only renewals.
    fn grants(&self, now: Millis, fresh: bool) -> Vec<KeyAction> {
        let servers = self.servers.iter();
        let grants = servers.filter_map(|(life, state)| self.grant(now, life, state, fresh));
        grants.collect()
    }

    /// Returns the next grant for a server: first what it holds and must renew, then what it is to hold
    /// and nobody else may hold any more.
    fn grant(
        &self,
        now: Millis,
        life: &Life,
        state: &ServerState,
        fresh: bool,
    ) -> Option<KeyAction> {
        if state.granting.is_some() || !state.is_there() || now < state.retry {
            return None;
        }
        let renewed = renewal(now, &state.live).map(|span| (span, None));
        let (span, handover) =
            renewed.or_else(|| fresh.then(|| self.fresh(life, state)).flatten())?;
        Some(KeyAction::Grant {
            life: life.clone(),
            addr: state.addr,
            span,
            fence: self.record.fence,
            handover,
        })
    }

    /// Returns keys that a server does not hold yet and that nobody else may hold. What was released
    /// with a token is granted by itself, so that the token goes along.
    fn fresh(&self, life: &Life, state: &ServerState) -> Option<(KeyRange, Option<String>)> {
        let missing = state.not_live();
        missing.first()?;
        let others = self.claims.iter().filter(|c| c.owned.owner != *life);
        let free = missing
            .without(others.map(|c| c.owned.span))
            .without(state.releasing.iter().copied());
        let mut passed = self.freed.iter().filter(|f| f.token.is_some());
        let passed = passed.find_map(|f| Some((free.meet(f.span)?, f.token.clone())));
        passed.or_else(|| free.first().map(|span| (span, None)))
    }

    /// Returns the releases that are due. They go out side by side, and beside the renewals of what their server
    /// keeps: each is answered when the work on its keys has ended, which may take most of a second.
    fn releases(&self, now: Millis) -> Vec<KeyAction> {
        let mut duties: Vec<KeyAction> = Vec::new();
        let mut asked: BTreeMap<&Life, usize> = BTreeMap::new();
        for claim in &self.claims {
            let (life, span) = (&claim.owned.owner, claim.owned.span);
            let Some(state) = self.servers.get(life) else {
                continue;
            };
            let under_way = state.releasing.iter().chain(&state.granting);
            let free = under_way.clone().all(|s| s.meet(span).is_none());
            let asked = asked.entry(life).or_insert(state.releasing.len());
            if free && *asked < RELEASES_PER_SERVER && state.is_there() && now >= claim.retry {
                *asked += 1;
                duties.push(KeyAction::Release {
                    life: life.clone(),
                    addr: state.addr,
                    span,
                    fence: self.record.fence,
                });
            }
        }
        duties
    }

    /// Returns the probes of lost servers that are due: a release of everything, which is never refused and
    /// takes nothing from one that holds nothing.
    fn probes(&self, now: Millis) -> Vec<KeyAction> {
        let named = self.named();
        let lost = self.servers.iter().filter(|(life, s)| {
            let there = now.since(s.seen) <= CONFIRMATION_AGE_MAX && s.addr.port() != 0;
            let idle = s.granting.is_none() && s.releasing.is_empty();
            there && idle && !s.ended && now >= s.retry && self.is_lost(now, life)
        });
        let lost = lost.filter(|(life, _)| !named.contains(life));
        let probe = |(life, state): (&Life, &ServerState)| KeyAction::Release {
            life: life.clone(),
            addr: state.addr,
            span: KeyRange::ALL,
            fence: self.record.fence,
        };
        lost.map(probe).collect()
    }
}

/// Returns the keys that a server must renew: with a piece that is due, all that adjoin it.
fn renewal(now: Millis, live: &[Live]) -> Option<KeyRange> {
    let mut live = live.to_vec();
    live.sort_by_key(|l| l.span);
    let mut run: Option<(KeyRange, bool)> = None;
    for piece in live {
        let (span, due) = (piece.span, now >= piece.due);
        run = match run {
            Some((whole, was)) if u32::from(whole.last) + 1 >= u32::from(span.first) => {
                let last = whole.last.max(span.last);
                Some((KeyRange { last, ..whole }, was || due))
            }
            Some((whole, true)) => return Some(whole),
            _ => Some((span, due)),
        };
    }
    run.filter(|(_, due)| *due).map(|(span, _)| span)
}
