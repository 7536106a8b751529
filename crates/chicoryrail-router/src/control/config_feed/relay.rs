//! Passes on what the store and the leader say to the hosts that follow this one.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::HostState;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::collect;
use chicoryrail_runtime::error_answer;
use chicoryrail_runtime::full;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::ACCEPT_ENCODING;
use http::header::CONTENT_ENCODING;
use monoio::time::timeout;

use crate::state::Router;
use crate::talk::ConfigAge;
use crate::talk::CoreState;
use crate::talk::ENCODING;
use crate::talk::KeyMap;
use crate::talk::KeyRanges;
use crate::talk::RelayReply;
use crate::talk::RelayRequest;
use crate::talk::compress;
use crate::talk::decode;
use crate::talk::encode;

/// Longest time for which a reply waits for news. A host that hears nothing for longer goes to another relay.
pub(super) const POLL_MAX: Millis = Millis(400);

/// Longest request of a host.
const REQUEST_BYTES_MAX: usize = 64 << 10;

/// Path of a relay.
pub(super) const RELAY_PATH: &str = "/relay";

/// Replies to a host that follows this one, as soon as there is news for it.
pub(crate) async fn relay(router: Rc<Router>, request: Request<Body>) -> Response<Body> {
    if request.uri().path() != RELAY_PATH {
        return error_answer(404, "no such page");
    }
    let accepted = request.headers().get(ACCEPT_ENCODING);
    let compressed = accepted.is_some_and(|e| e == ENCODING);
    let Ok(body) = collect(request.into_body(), REQUEST_BYTES_MAX).await else {
        return error_answer(400, "the request was cut or is too long");
    };
    let Ok(asked) = decode::<RelayRequest>(&body) else {
        return error_answer(400, "the request can't be read");
    };
    if asked.leaf {
        let mut leaves = router.leaves.borrow_mut();
        leaves.insert(asked.host.clone(), router.now());
    }
    let received = router.now();
    let end = received + POLL_MAX;
    loop {
        let seen = router.news.count();
        let left = end.since(router.now());
        if left == Millis::ZERO || has_news(&router, &asked) {
            break;
        }
        let _ = timeout(left.duration(), router.news.after(seen)).await;
    }
    match encode(&reply(&router, &asked, received)) {
        Ok(bytes) if compressed => compressed_answer(bytes),
        Ok(bytes) => Response::new(full(bytes)),
        Err(e) => {
            log::error!(error:% = e; "relay_unwritable");
            error_answer(500, "the reply can't be written")
        }
    }
}

/// Returns a reply that takes as little of a slow link as it can.
fn compressed_answer(bytes: Vec<u8>) -> Response<Body> {
    let Some(short) = compress(&bytes) else {
        return Response::new(full(bytes));
    };
    let mut answer = Response::new(full(short));
    let encoding = HeaderValue::from_static(ENCODING);
    answer.headers_mut().insert(CONTENT_ENCODING, encoding);
    answer
}

/// Tells whether there is anything that a host must hear at once.
fn has_news(router: &Router, asked: &RelayRequest) -> bool {
    let logs = router.feed_logs.borrow();
    let mut feeds = logs.iter().zip(asked.revisions);
    asked.store != router.store_up.get()
        || feeds.any(|(log, after)| log.has_since(after))
        || router.services().iter().any(|s| {
            let fence = s.keys.borrow().fence();
            s.is_keyed() && fence > known_fence(asked, &s.name)
        })
}

fn known_fence(asked: &RelayRequest, service: &ServiceName) -> u64 {
    let known = asked.fences.iter().find(|f| f.service == *service);
    known.map_or(0, |f| f.fence)
}

fn reply(router: &Router, asked: &RelayRequest, received: Millis) -> RelayReply {
    let now = router.now();
    let logs = router.feed_logs.borrow();
    let news = std::array::from_fn(|i| logs[i].since(asked.revisions[i]));
    let peers = router.peers.borrow();
    RelayReply {
        news,
        keys: key_maps(router, asked),
        core: core_states(router),
        hosts: peers.sharing() as u32,
        term: peers.highest_term(),
        leader: peers.leader().cloned(),
        leader_ms: router.leader_age().map(|age| age.0),
        store: router.store_up.get(),
        back_ms: router.view.borrow().back().map(|at| now.since(at).0),
        config: config_age(router, now, received),
    }
}

fn config_age(router: &Router, now: Millis, received: Millis) -> Option<ConfigAge> {
    let age = router.organisations.freshness().age(now)?;
    Some(ConfigAge {
        age_ms: age.0,
        held_ms: now.since(received).0,
    })
}

fn key_maps(router: &Router, asked: &RelayRequest) -> Vec<KeyMap> {
    let mut maps = Vec::new();
    for service in router.services() {
        let keys = service.keys.borrow();
        let fence = keys.fence();
        if fence > known_fence(asked, &service.name) {
            let ranges = KeyRanges::pack(&keys.record_in_force().spans);
            let service = service.name.clone();
            maps.push(KeyMap {
                service,
                fence,
                ranges,
            });
        }
    }
    maps
}

/// Returns the core hosts that this one hears, itself included.
fn core_states(router: &Router) -> Vec<CoreState> {
    let peers = router.peers.borrow();
    let heard = peers.heard_lately(router.now());
    let others = heard.map(|(host, addr, said)| core_state(host, addr, said));
    let boot = router.boot();
    let own = core_state(&boot.host, router.talk_addr(), &router.host_state());
    others.chain([own]).collect()
}

fn core_state(host: &HostName, addr: SocketAddr, said: &HostState) -> CoreState {
    CoreState {
        host: host.clone(),
        addr,
        dc: said.dc.clone(),
        power: said.power,
        schedules: said.schedules,
        store: said.store,
        watches: said.watches,
    }
}
