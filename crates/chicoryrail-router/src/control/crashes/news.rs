//! Spreads what hosts learn of requests that end servers.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Fingerprint;
use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_policy::CrashRecord;
use chicoryrail_policy::Standing;
use rand::seq::IteratorRandom;

use crate::control::crashes::ServerCheck;
use crate::control::crashes::check_server;
use crate::control::crashes::recheck_server;
use crate::messages::CrashNews;
use crate::messages::Packet;
use crate::messages::RequestRecord;
use crate::state::Router;
use crate::state::Service;

/// Time between two rounds in which recent news is repeated, since a datagram may be lost.
const REPEAT_INTERVAL: Millis = Millis(400);

/// Time for which news is repeated.
const REPEAT_TIME: Millis = Millis(10_000);

/// Number of hosts to which news is repeated in each round.
const REPEAT_HOSTS: usize = 3;

/// Largest number of records in one datagram.
const RECORDS_PER_PACKET_MAX: usize = 64;

/// Records that a server ended under a request, and tells the other hosts.
pub(crate) fn record_end(
    router: &Rc<Router>,
    service: &Service,
    (request, head): (Fingerprint, u64),
    life: &Life,
) {
    let now = router.now();
    let is_new = {
        let mut table = router.crashes.table.borrow_mut();
        table.record_end(now, request, (&service.name, head), life)
    };
    if !is_new {
        return;
    }
    let news = CrashNews {
        is_new: true,
        ..router.crashes.news_of(request)
    };
    log_record(router, request, "own");
    notify(router);
    send_to_all(router, news);
}

/// Records that a request ran completely, and tells the other hosts if that dismissed evidence.
pub(crate) fn record_complete(router: &Rc<Router>, request: Fingerprint) {
    let now = router.now();
    let is_new = router
        .crashes
        .table
        .borrow_mut()
        .record_complete(now, request);
    if is_new {
        log_record(router, request, "own");
        notify(router);
        send_to_all(router, router.crashes.news_of(request));
    }
}

/// Applies the news of another host. A host that knows less is told; a server whose end was just reported is checked.
pub(crate) fn apply_news(router: &Rc<Router>, news: &CrashNews, from: Option<SocketAddr>) {
    let now = router.now();
    let source = from.map_or_else(|| "host".to_owned(), |addr| addr.ip().to_string());
    let mut learned = false;
    for life in &news.alive {
        learned |= router.crashes.table.borrow_mut().record_alive(now, life);
    }
    let mut unknown_there = Vec::new();
    for RequestRecord { request, record } in &news.records {
        if news.is_new {
            check_ends(router, *request, &record.service, &record.ends);
        }
        merge_record(router, *request, record, &source);
        let table = router.crashes.table.borrow();
        if let Some(own) = table.record(*request).filter(|own| record.lacks(own)) {
            unknown_there.push(RequestRecord {
                request: *request,
                record: own.clone(),
            });
        }
    }
    if learned {
        notify(router);
    }
    if let Some(from) = from.filter(|_| !unknown_there.is_empty()) {
        let alive = router.crashes.table.borrow().alive().cloned().collect();
        let reply = CrashNews {
            records: unknown_there,
            alive,
            is_new: false,
        };
        router
            .peer_socket
            .send_detached(Packet::Crashes(reply), from);
    }
}

/// Tells a host that is about to send a request what it may not know of requests that end servers: the news of other
/// hosts may have been lost, or still be under way.
pub(crate) fn inform_sender(router: &Rc<Router>, addr: SocketAddr) {
    let untold = router.crashes.take_untold(router.now(), addr, REPEAT_TIME);
    if let Some(mut news) = untold.filter(|news| !news.records.is_empty()) {
        news.records.truncate(RECORDS_PER_PACKET_MAX);
        router
            .peer_socket
            .send_detached(Packet::Crashes(news), addr);
    }
}

/// Merges another host's record of a request; `source` is who brought it.
pub(super) fn merge_record(
    router: &Router,
    request: Fingerprint,
    record: &CrashRecord,
    source: &str,
) {
    let now = router.now();
    if router
        .crashes
        .table
        .borrow_mut()
        .merge(now, request, record)
    {
        log_record(router, request, source);
        notify(router);
    }
}

/// Repeats recent news to some hosts at intervals, and drops evidence that has lapsed.
pub(crate) async fn spread_news(router: Rc<Router>) {
    loop {
        router.process.clock.sleep(REPEAT_INTERVAL).await;
        let now = router.now();
        router.crashes.table.borrow_mut().expire(now);
        let Some(mut news) = router.crashes.recent_news(now, REPEAT_TIME) else {
            continue;
        };
        news.records.truncate(RECORDS_PER_PACKET_MAX);
        let addrs = router.peers.borrow().addrs();
        let addrs = addrs
            .into_iter()
            .choose_multiple(&mut rand::rng(), REPEAT_HOSTS);
        router
            .peer_socket
            .send_all(&Packet::Crashes(news), &addrs)
            .await;
    }
}

/// Checks whether this host reaches servers whose end another host has reported: that host may have lost its path.
fn check_ends(router: &Rc<Router>, request: Fingerprint, service: &ServiceName, ends: &[Life]) {
    let known: Vec<Life> = {
        let table = router.crashes.table.borrow();
        let record = table.record(request);
        record.map_or_else(Vec::new, |record| record.ends.clone())
    };
    let service = router.service(service);
    // The address of a server that ended earlier may belong to another one by now.
    let newest = ends.last().filter(|life| !known.contains(life));
    if let Some(target) = newest.and_then(|life| service.target(life)) {
        let router = Rc::clone(router);
        monoio::spawn(async move {
            let mut check = check_server(&target).await;
            if check == ServerCheck::Accepted {
                check = recheck_server(&target).await;
            }
            log::info!(server:% = target.life, check = check.name(); "server_end_checked");
            if check == ServerCheck::Accepted {
                record_alive(&router, &target.life);
            }
        });
    }
}

/// Records that a server whose end was reported is alive, and tells the other hosts.
fn record_alive(router: &Rc<Router>, life: &Life) {
    let now = router.now();
    if router.crashes.table.borrow_mut().record_alive(now, life) {
        notify(router);
        let news = CrashNews {
            alive: vec![life.clone()],
            ..CrashNews::default()
        };
        send_to_all(router, news);
    }
}

/// Updates the metrics, and wakes those who wait for a change.
fn notify(router: &Router) {
    let table = router.crashes.table.borrow();
    let (mut suspected, mut blocked) = (0, 0);
    for (_, record) in table.records() {
        match record.standing() {
            Standing::Clear => {}
            Standing::Suspect(_) => suspected += 1,
            Standing::Blocked => blocked += 1,
        }
    }
    drop(table);
    router.counters.suspected.set(suspected);
    router.counters.blocked.set(blocked);
    router.crashes.changed.notify();
    router.feed_changed.notify();
}

fn send_to_all(router: &Rc<Router>, news: CrashNews) {
    let addrs = router.peers.borrow().addrs();
    let router = Rc::clone(router);
    monoio::spawn(async move {
        router
            .peer_socket
            .send_all(&Packet::Crashes(news), &addrs)
            .await;
    });
}

/// Logs what is known of a request after a change; `source` is who brought it.
fn log_record(router: &Router, request: Fingerprint, source: &str) {
    let table = router.crashes.table.borrow();
    let Some(record) = table.record(request) else {
        return;
    };
    let ends: Vec<String> = record.ends.iter().map(ToString::to_string).collect();
    let event = match record.standing() {
        Standing::Clear => "suspicion_dismissed",
        Standing::Suspect(_) => "request_suspected",
        Standing::Blocked => "request_blocked",
    };
    log::info!(fingerprint:% = request, head = record.head, service:% = record.service, epoch = record.epoch,
        ended = ends.join(","), by_hand = record.by_hand, source = source; "{event}");
}
