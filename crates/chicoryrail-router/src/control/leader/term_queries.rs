//! Queries of the leader whether the other core hosts know of a later one, and their replies.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::term::TermReply;

use crate::control::leader::leader_term::LeaderTerm;
use crate::messages::Packet;
use crate::messages::TermAnswer;
use crate::messages::TermQuery;
use crate::state::Router;

/// Age of the last confirmed renewal of the store lease from which the other hosts are queried: a renewal is overdue. The
/// lease is trusted for twice as long.
const LEASE_AGE_MIN: Millis = Millis(400);

/// Time between two queries. Four of them are sent within the age up to which a reply counts, so three lost datagrams in
/// a row take no host's support from the leader.
const QUERY_INTERVAL: Millis = Millis(300);

/// Time between two checks whether queries are due.
const CHECK_INTERVAL: Millis = Millis(50);

/// Time between two queries at the start of a term. They announce the term: a predecessor that is isolated from the store
/// must lose its support soon, although datagrams are lost.
const ANNOUNCE_INTERVAL: Millis = Millis(40);

/// Number of queries at the start of a term.
const ANNOUNCEMENTS: u32 = 5;

/// Queries the other core hosts at the start of a term, until no earlier leader is supported, and while the store does not
/// confirm this host's lease.
pub(super) async fn query_hosts(router: Rc<Router>, leadership: Rc<LeaderTerm>, term: u64) {
    for _ in 0..ANNOUNCEMENTS {
        query_all(&router, &leadership, term).await;
        router.process.clock.sleep(ANNOUNCE_INTERVAL).await;
    }
    while leadership.term.get() == term {
        let now = router.now();
        let lease_age = leadership.mandate(&router).lease_age;
        if lease_age < LEASE_AGE_MIN && leadership.predecessor_stopped(now).is_some() {
            router.process.clock.sleep(CHECK_INTERVAL).await;
            continue;
        }
        query_all(&router, &leadership, term).await;
        router.process.clock.sleep(QUERY_INTERVAL).await;
    }
}

/// Queries the core hosts that this host knows, and the voters, which the store may no longer list.
async fn query_all(router: &Router, leadership: &LeaderTerm, term: u64) {
    let own = &router.boot().host;
    let voters = leadership.with_claim(|claim| claim.voter_addrs(own));
    let mut addrs = router.peers.borrow().addrs();
    addrs.extend(voters.unwrap_or_default());
    addrs.sort();
    addrs.dedup();
    let query = Packet::TermQuery(TermQuery {
        host: router.boot().host.clone(),
        term,
        sent_at: router.now(),
    });
    router.peer_socket.send_all(&query, &addrs).await;
}

/// Replies to a leader's query.
pub(crate) fn reply_to_query(router: &Router, query: &TermQuery, from: SocketAddr) {
    let mut peers = router.peers.borrow_mut();
    let known = peers.highest_term();
    if peers.observe_term(query.term, Some(&query.host)) {
        log::info!(term = query.term, from:% = query.host, known = known; "term_heard");
    }
    if !router.supporter.get().may_reply() {
        return;
    }
    let answer = Packet::TermAnswer(TermAnswer {
        host: router.boot().host.clone(),
        term: peers.highest_term(),
        asked_at: query.sent_at,
        store: router.store_up.get(),
    });
    router.peer_socket.send_detached(answer, from);
}

/// Records a host's reply to a query of this host.
pub(crate) fn apply_answer(router: &Router, leadership: &LeaderTerm, answer: &TermAnswer) {
    let now = router.now();
    let reply = TermReply {
        term: answer.term,
        asked_at: answer.asked_at,
        store_reachable: answer.store,
    };
    leadership.with_claim(|claim| claim.record_reply(now, &answer.host, reply));
    let mut peers = router.peers.borrow_mut();
    let known = peers.highest_term();
    if peers.observe_term(answer.term, None) {
        log::info!(term = answer.term, from:% = answer.host, known = known; "term_heard");
    }
}
