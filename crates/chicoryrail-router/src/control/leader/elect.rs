//! Which host leads.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::store_key::LEADER;
use chicoryrail_platform::OWN_PREFIX;
use chicoryrail_platform::StoreError;
use chicoryrail_platform::Txn;
use rand::Rng;

use crate::control::config_feed::follow::LIVE;
use crate::control::config_feed::follow::call;
use crate::control::leader::keep_keys;
use crate::control::leader::leader_term::LeaderTerm;
use crate::state::Router;

/// Lease of the leader's key. A leader that is lost is replaced after it; shorter than the hold of keys
/// by more than an election takes.
const ELECTION_LEASE: Millis = Millis(1_000);
const ELECTION_RENEWAL_INTERVAL: Millis = Millis(300);

/// Time over which hosts spread their attempts to lead, so that mostly one of them calls.
const CAMPAIGN_JITTER: Millis = Millis(60);

/// Time for which a host lets those go first that reach more data centres: an election among them is over by
/// then, and the hold of keys (2.5 s) bears it.
const FEWER_REACHED_DELAY: Millis = Millis(250);

/// Time for which a host lets much stronger ones go first.
const WEAKER_HOST_DELAY: Millis = Millis(150);

/// Time for which a host lets those go first that watch the store themselves: it may hear of a new leader later.
const NOT_WATCHING_DELAY: Millis = Millis(200);

/// Time for which a leader that made way does not try again.
const RESIGNED_PAUSE: Millis = Millis(1_000);

/// Pause between two looks whether there is a leader.
const LEADER_CHECK_INTERVAL: Millis = Millis(100);

/// Leads whenever nobody else does.
pub(crate) async fn elect(router: Rc<Router>, leadership: Rc<LeaderTerm>) {
    loop {
        router.process.clock.sleep(LEADER_CHECK_INTERVAL).await;
        if router.process.stop.is_cancelled() {
            return;
        }
        let core = router.source.core.get();
        let known = core && router.view.borrow().heard(LIVE).is_some() && router.store_up.get();
        if !known || router.view.borrow().own(LEADER).is_some() {
            continue;
        }
        let mut wait = Millis(rand::rng().random_range(0..CAMPAIGN_JITTER.0));
        let reaches = router.reach.borrow().lately(router.now());
        if router.peers.borrow().reach_more(router.now(), &reaches) {
            wait = wait + FEWER_REACHED_DELAY;
        }
        if router.knows_stronger() {
            wait = wait + WEAKER_HOST_DELAY;
        }
        if !router.source.watches() {
            wait = wait + NOT_WATCHING_DELAY;
        }
        router.process.clock.sleep(wait).await;
        if router.view.borrow().own(LEADER).is_some() {
            continue;
        }
        match campaign(&router).await {
            Ok(Some((term, lease, ttl))) => lead(&router, &leadership, term, lease, ttl).await,
            Ok(None) => router.process.clock.sleep(LEADER_CHECK_INTERVAL).await,
            Err(e) => {
                log::info!(error:% = e; "campaign_failed");
                router
                    .process
                    .clock
                    .sleep(LEADER_CHECK_INTERVAL.times(3))
                    .await;
            }
        }
    }
}

fn key() -> String {
    format!("{OWN_PREFIX}{LEADER}")
}

/// Tries to become the leader; returns the term, the lease and its length.
async fn campaign(router: &Router) -> Result<Option<(u64, u64, Millis)>, StoreError> {
    let ttl = ELECTION_LEASE.max(router.boot().store.least_lease);
    let lease = call(router, "open_lease", router.store.open_lease(ttl)).await?;
    let name = router.boot().host.clone();
    let txn =
        Txn::default()
            .expect(&key(), 0)
            .put_leased(&key(), name.as_str().as_bytes(), lease.id);
    match call(router, "campaign", router.store.commit(&txn)).await {
        Ok(term) => Ok(Some((term, lease.id, lease.ttl))),
        Err(StoreError::Conflict { .. }) => {
            end(router, lease.id).await;
            Ok(None)
        }
        // It may have been done: the lease is left to run out, so nobody leads until then.
        Err(e) => Err(e),
    }
}

async fn end(router: &Router, lease: u64) {
    // One that can't be ended runs out by itself.
    let _ = call(router, "end_lease", router.store.end_lease(lease)).await;
}

/// Leads until the lease is lost, another leader is heard of, or the process is to stop.
async fn lead(
    router: &Rc<Router>,
    leadership: &Rc<LeaderTerm>,
    term: u64,
    lease: u64,
    ttl: Millis,
) {
    log::info!(term = term, lease = lease; "leader_won");
    leadership.term.set(term);
    leadership.ttl.set(ttl);
    leadership.confirmed.set(router.now());
    router.leads.set(term);
    router.counters.leading.set(1);
    let host = router.boot().host.clone();
    router.peers.borrow_mut().term(term, Some(&host));
    leadership.news.notify();
    monoio::spawn(keep_keys::keep(
        Rc::clone(router),
        Rc::clone(leadership),
        term,
        key(),
    ));
    let why = hold(router, leadership, term, lease).await;
    leadership.term.set(0);
    leadership.updates.borrow_mut().clear();
    router.leads.set(0);
    router.counters.leading.set(0);
    log::info!(term = term, why = why; "leader_lost");
    leadership.resigns.set(false);
    let resigned = matches!(why, "out_of_reach" | "stronger_host");
    if resigned || why == "stop" {
        end(router, lease).await;
    }
    if resigned {
        router.process.clock.sleep(RESIGNED_PAUSE).await;
    }
}

async fn hold(router: &Router, leadership: &LeaderTerm, term: u64, lease: u64) -> &'static str {
    loop {
        let sent = router.now();
        let kept = call(router, "keep_lease", router.store.keep_lease(lease)).await;
        match kept {
            Ok(()) => leadership.confirmed.set(sent),
            Err(StoreError::LeaseGone) => return "lease_gone",
            Err(_) => {}
        }
        let end = router.now() + ELECTION_RENEWAL_INTERVAL;
        while router.now() < end {
            // While the store is away nobody can take over: the keys are kept to the end.
            if router.process.stop.is_cancelled() && router.store_up.get() {
                return "stop";
            }
            if router.peers.borrow().highest_term() > term {
                return "successor";
            }
            if leadership.resigns.get() {
                return "out_of_reach";
            }
            // A scheduler on a host that can't keep up is late for every request; nobody could take over while
            // the store is away.
            if router.store_up.get() && router.knows_stronger() {
                return "stronger_host";
            }
            if leadership.term.get() != term {
                return "deposed";
            }
            router.process.clock.sleep(Millis(50)).await;
        }
    }
}
