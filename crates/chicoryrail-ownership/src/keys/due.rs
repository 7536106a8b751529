//! What a keeper wants done next.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::Duty;
use crate::keys::Keeper;
use crate::keys::KeySpan;
use crate::keys::OwnedSpan;
use crate::keys::server_state::ServerState;

/// Age of the last sight of a server's registration up to which it is worth a probe.
const SEEN_LATELY: Millis = Millis(1_000);

impl Keeper {
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

    /// Drops the claims that have run out or whose server's life has ended, and what owners no longer
    /// hold for want of a renewal.
    fn settle(&mut self, now: Millis) {
        let lapse = self.timing.hold - self.timing.renew;
        self.live.retain(|l| now < l.due + lapse);
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
        let free = self.not_live(owned).without(others.map(|c| c.owned.span));
        let mut passed = self.freed.iter().filter(|f| f.token.is_some());
        let passed = passed.find_map(|f| Some((free.meet(f.span)?, f.token.clone())));
        passed.or_else(|| free.first().map(|span| (span, None)))
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
