//! Leader election: one host at a time owns the leader's key in the store, under a store lease.

use std::pin::pin;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::store_key::LEADER;
use chicoryrail_ownership::term::Campaign;
use chicoryrail_ownership::term::LeaderClaim;
use chicoryrail_ownership::term::TermRecord;
use chicoryrail_ownership::term::TermTiming;
use chicoryrail_platform::OWN_PREFIX;
use chicoryrail_platform::StoreError;
use chicoryrail_platform::Txn;
use futures_util::future::select;
use rand::Rng;

use crate::control::config_feed::follow::LIVE;
use crate::control::config_feed::store_calls::store_call;
use crate::control::leader::key_leaders::KeyLeaders;
use crate::control::leader::leader_term::LeaderTerm;
use crate::control::leader::take_over::lead_keys;
use crate::control::leader::term_queries::query_hosts;
use crate::control::leader::term_store::encode_term;
use crate::control::leader::term_store::read_term;
use crate::control::leader::term_store::term_store_key;
use crate::control::leader::voters::maintain_voters;
use crate::control::leader::voters::select_voters;
use crate::state::Router;

/// TTL of the store lease on the leader's key. A lost leader is replaced after it expires. It is shorter than the
/// key leases (2.5 s) by more than an election takes.
const ELECTION_LEASE: Millis = Millis(1_000);
const ELECTION_RENEWAL_INTERVAL: Millis = Millis(300);

/// Longest random delay before a campaign, so that usually only one host calls the store.
const CAMPAIGN_JITTER: Millis = Millis(60);

/// Campaign delay of a host while another one reaches more data centres, or more servers with keys. An election among the others is over by
/// then, and the key leases (2.5 s) outlast the delay.
const FEWER_REACHED_DELAY: Millis = Millis(250);

/// Campaign delay of a host that knows a much more powerful one.
const WEAKER_HOST_DELAY: Millis = Millis(150);

/// Campaign delay of a host that does not watch the store itself: it may learn of a new leader later than the
/// watchers do.
const NOT_WATCHING_DELAY: Millis = Millis(200);

/// Time for which a leader that stepped down does not campaign again.
const STEP_DOWN_PAUSE: Millis = Millis(1_000);

/// Time between two checks for a leader.
const LEADER_CHECK_INTERVAL: Millis = Millis(100);

/// Campaigns whenever there is no leader, and leads after each election that this host wins.
pub(crate) async fn run_election(
    router: Rc<Router>,
    leadership: Rc<LeaderTerm>,
    leaders: Rc<KeyLeaders>,
) {
    let core = pin!(router.source.wait_until_core());
    let stopped = pin!(router.process.stop.cancelled());
    select(core, stopped).await;
    loop {
        router.process.clock.sleep(LEADER_CHECK_INTERVAL).await;
        if router.process.stop.is_cancelled() {
            return;
        }
        let core = router.source.is_core_host.get();
        let may_campaign = core
            && router.store_view.borrow().read_revision(LIVE).is_some()
            && router.store_up.get();
        if !may_campaign || router.store_view.borrow().own(LEADER).is_some() {
            continue;
        }
        let mut wait = Millis(rand::rng().random_range(0..CAMPAIGN_JITTER.0));
        let reachable = router.reach.borrow().reachable_dcs(router.now());
        let reaches_less = router
            .peers
            .borrow()
            .any_reaches_more(router.now(), &reachable);
        if reaches_less {
            wait = wait + FEWER_REACHED_DELAY;
        }
        if router.has_stronger_peer() {
            wait = wait + WEAKER_HOST_DELAY;
        }
        if !router.source.watches() {
            wait = wait + NOT_WATCHING_DELAY;
        }
        router.process.clock.sleep(wait).await;
        // The process may have been told to stop during the wait.
        let stopping = router.process.stop.is_cancelled();
        if stopping || router.store_view.borrow().own(LEADER).is_some() {
            continue;
        }
        set_campaigning(&router, true);
        let outcome = campaign(&router).await;
        match outcome {
            Ok(Some(won)) => lead(&router, &leadership, &leaders, won).await,
            Ok(None) => {
                set_campaigning(&router, false);
                router.process.clock.sleep(LEADER_CHECK_INTERVAL).await;
            }
            Err(e) => {
                set_campaigning(&router, false);
                log::info!(error:% = e; "campaign_failed");
                router
                    .process
                    .clock
                    .sleep(LEADER_CHECK_INTERVAL.saturating_mul(3))
                    .await;
            }
        }
    }
}

fn leader_store_key() -> String {
    format!("{OWN_PREFIX}{LEADER}")
}

/// A campaign that this host has won.
struct Won {
    lease: u64,
    /// Revision of the record of the term.
    revision: u64,
    claim: LeaderClaim,
}

/// Sets whether this host withholds its replies to leaders' queries, since it may have been elected.
fn set_campaigning(router: &Router, campaigns: bool) {
    let mut supporter = router.supporter.get();
    match campaigns {
        true => supporter.begin_campaign(),
        false => supporter.end_campaign(),
    }
    router.supporter.set(supporter);
}

/// Tries to become the leader; returns `None` if another host leads.
async fn campaign(router: &Router) -> Result<Option<Won>, StoreError> {
    let sent_at = router.now();
    let stored = read_term(router).await?;
    let ttl = ELECTION_LEASE.max(router.boot().store.least_lease);
    let lease = store_call(router, "open_lease", router.store.open_lease(ttl)).await?;
    let host = router.boot().host.clone();
    let former_voters = stored.record.map(|record| record.voters);
    let voters = former_voters
        .clone()
        .unwrap_or_else(|| select_voters(router));
    let record = TermRecord {
        term: None,
        leader: host.clone(),
        voters: voters.clone(),
    };
    let txn = Txn::default()
        .expect(&leader_store_key(), 0)
        .expect(&term_store_key(), stored.revision)
        .put_leased(&leader_store_key(), host.as_str().as_bytes(), lease.id)
        .put(&term_store_key(), &encode_term(&record)?);
    match store_call(router, "campaign", router.store.commit(&txn)).await {
        Ok(term) => {
            let campaign = Campaign {
                host,
                term,
                sent_at,
                former_voters,
                voters,
            };
            let timing = TermTiming::with_lease(lease.ttl);
            Ok(Some(Won {
                lease: lease.id,
                revision: term,
                claim: LeaderClaim::new(campaign, timing, router.now()),
            }))
        }
        Err(StoreError::Conflict { .. }) => {
            end_lease(router, lease.id).await;
            Ok(None)
        }
        // The commit may have succeeded. The lease is left to expire, so there is no leader until then.
        Err(e) => Err(e),
    }
}

async fn end_lease(router: &Router, lease: u64) {
    // If the call fails, the lease expires by itself.
    let _ = store_call(router, "end_lease", router.store.end_lease(lease)).await;
}

/// Leads until the lease is lost, another leader has a higher term, this host steps down, or the process stops.
async fn lead(
    router: &Rc<Router>,
    leadership: &Rc<LeaderTerm>,
    leaders: &Rc<KeyLeaders>,
    won: Won,
) {
    let (term, lease) = (won.claim.term(), won.lease);
    log::info!(term = term, lease = lease, voters = won.claim.voters().len(); "leader_won");
    leadership.begin(won.claim);
    router.leading_term.set(term);
    router.counters.leading.set(1);
    let host = router.boot().host.clone();
    router.peers.borrow_mut().observe_term(term, Some(&host));
    set_campaigning(router, false);
    leadership.changed.notify();
    monoio::spawn(query_hosts(Rc::clone(router), Rc::clone(leadership), term));
    monoio::spawn(maintain_voters(
        Rc::clone(router),
        Rc::clone(leadership),
        term,
        leader_store_key(),
        won.revision,
    ));
    monoio::spawn(lead_keys(
        Rc::clone(router),
        Rc::clone(leadership),
        Rc::clone(leaders),
        term,
        leader_store_key(),
    ));
    let reason = hold_leadership(router, leadership, term, lease).await;
    leadership.end();
    leaders.clear();
    router.leading_term.set(0);
    router.counters.leading.set(0);
    log::info!(term = term, why = reason; "leader_lost");
    leadership.steps_down.set(false);
    let stepped_down = matches!(reason, "out_of_reach" | "stronger_host");
    if stepped_down || reason == "stop" {
        end_lease(router, lease).await;
    }
    if stepped_down {
        router.process.clock.sleep(STEP_DOWN_PAUSE).await;
    }
}

/// Renews the lease until the term ends; returns the reason that is logged.
async fn hold_leadership(
    router: &Router,
    leadership: &LeaderTerm,
    term: u64,
    lease: u64,
) -> &'static str {
    loop {
        let sent = router.now();
        let renewed = store_call(router, "keep_lease", router.store.renew_lease(lease)).await;
        match renewed {
            Ok(()) => {
                leadership.with_claim(|claim| claim.lease_confirmed(sent));
            }
            Err(StoreError::LeaseGone) => return "lease_gone",
            Err(_) => {}
        }
        let end = router.now() + ELECTION_RENEWAL_INTERVAL;
        while router.now() < end {
            // During a store outage no other host can take over, so this one renews the keys until the process ends.
            if router.process.stop.is_cancelled() && router.store_up.get() {
                return "stop";
            }
            if router.peers.borrow().highest_term() > term {
                return "successor";
            }
            if leadership.steps_down.get() {
                return "out_of_reach";
            }
            // The leader should be a host that can keep up: a slow one delays every request that it schedules.
            // During a store outage no other host could take over.
            if router.store_up.get() && router.has_stronger_peer() {
                return "stronger_host";
            }
            if leadership.term.get() != term {
                return "deposed";
            }
            router.process.clock.sleep(Millis(50)).await;
        }
    }
}
