//! Passes on what the store and the leader say, from the few hosts that watch to all others.

use std::net::SocketAddr;
use std::rc::Rc;

use bincode::config::standard;
use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_ownership::HostState;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_platform::FeedNews;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::HttpError;
use chicoryrail_runtime::collect;
use chicoryrail_runtime::error_answer;
use chicoryrail_runtime::full;
use http::Request;
use http::Response;
use monoio::time::timeout;
use snafu::ResultExt;
use snafu::Snafu;

use crate::control::follow::FEEDS;
use crate::control::follow::take_changes;
use crate::control::follow::take_snapshot;
use crate::control::scheduling;
use crate::state::Router;
use crate::state::Source;
use crate::talk::CoreState;
use crate::talk::KeyFence;
use crate::talk::KeyMap;
use crate::talk::KeyRanges;
use crate::talk::RelayReply;
use crate::talk::RelayRequest;

/// Longest time for which a reply waits for news. A host that hears nothing for longer goes to another relay.
const WAIT: Millis = Millis(400);

/// Time beyond it after which a relay counts as lost: a busy host of a tenth of a core replies within it. A lost
/// watcher and then a lost relay are found in time for a server's leave to be known everywhere within 2 s.
const LATE: Millis = Millis(350);

/// Pause after a reply, in which more news comes together.
const PAUSE: Millis = Millis(60);

/// Time between two tries of a leaf host that watches the store because it found no relay.
const TRY_AGAIN: Millis = Millis(1_000);

/// Longest request of a host.
const REQUEST_MOST: usize = 64 << 10;

/// Path of a relay.
const PATH: &str = "/relay";

/// Why a relay gave no reply.
#[derive(Debug, Snafu)]
enum RelayError {
    /// The call failed.
    #[snafu(display("{source}"))]
    Call { source: HttpError },
    /// The reply can't be read.
    #[snafu(display("reply can't be read: {source}"))]
    Decode { source: bincode::error::DecodeError },
}

/// Replies to a host that follows this one, as soon as there is news for it.
pub(crate) async fn relay(router: Rc<Router>, request: Request<Body>) -> Response<Body> {
    if request.uri().path() != PATH {
        return error_answer(404, "no such page");
    }
    let Ok(body) = collect(request.into_body(), REQUEST_MOST).await else {
        return error_answer(400, "the request was cut or is too long");
    };
    let Ok((asked, _)) = bincode::decode_from_slice::<RelayRequest, _>(&body, standard()) else {
        return error_answer(400, "the request can't be read");
    };
    if asked.leaf {
        let mut leaves = router.leaves.borrow_mut();
        leaves.insert(asked.host.clone(), router.now());
    }
    let end = router.now() + WAIT;
    loop {
        let seen = router.news.count();
        let left = end.since(router.now());
        if left == Millis::ZERO || has_news(&router, &asked) {
            break;
        }
        let _ = timeout(left.duration(), router.news.after(seen)).await;
    }
    match bincode::encode_to_vec(reply(&router, &asked), standard()) {
        Ok(bytes) => Response::new(full(bytes)),
        Err(e) => {
            log::error!(error:% = e; "relay_unwritable");
            error_answer(500, "the reply can't be written")
        }
    }
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

fn known_fence(asked: &RelayRequest, service: &chicoryrail_core::ServiceName) -> u64 {
    let known = asked.fences.iter().find(|f| f.service == *service);
    known.map_or(0, |f| f.fence)
}

fn reply(router: &Router, asked: &RelayRequest) -> RelayReply {
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
    }
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

fn core_state(host: &chicoryrail_core::HostName, addr: SocketAddr, said: &HostState) -> CoreState {
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

/// Hears from another host what the store says, whenever this one does not watch it itself.
pub(crate) async fn follow_relay(router: Rc<Router>) {
    let client = HttpClient::default();
    loop {
        let seen = router.source.changed.count();
        let relay = match router.source.source.get() {
            Source::Relay(addr) => Some(addr),
            Source::Store if !router.source.core.get() => {
                router.process.clock.sleep(TRY_AGAIN).await;
                let boot = router.boot();
                let peers = router.peers.borrow();
                peers.core_for(router.now(), &boot.host, &boot.dc)
            }
            Source::Store | Source::Unknown => None,
        };
        let Some(addr) = relay else {
            let _ = timeout(TRY_AGAIN.duration(), router.source.changed.after(seen)).await;
            continue;
        };
        match ask(&router, &client, addr).await {
            Ok(reply) => {
                router.source.replied.set(router.now());
                take(&router, reply);
                router.process.clock.sleep(PAUSE).await;
            }
            Err(e) => {
                log::info!(relay:% = addr, error:% = e; "relay_failed");
                router.peers.borrow_mut().relay_failed(router.now(), addr);
                // The choice of the source is looked at by its own task.
                router.process.clock.sleep(PAUSE).await;
            }
        }
    }
}

async fn ask(
    router: &Router,
    client: &HttpClient,
    addr: SocketAddr,
) -> Result<RelayReply, RelayError> {
    let bytes = bincode::encode_to_vec(request(router), standard());
    let bytes = bytes.unwrap_or_else(|e| {
        log::error!(error:% = e; "relay_request_unwritable");
        Vec::new()
    });
    let request = Request::post(PATH).body(Bytes::from(bytes));
    let request = request.expect("a fixed path is a valid request");
    let answer = client.call(addr, request, WAIT + LATE).await;
    let answer = answer.context(CallSnafu)?;
    let decoded = bincode::decode_from_slice(answer.body(), standard());
    let (reply, _) = decoded.context(DecodeSnafu)?;
    Ok(reply)
}

fn request(router: &Router) -> RelayRequest {
    let view = router.view.borrow();
    let keyed = router.services().into_iter().filter(|s| s.is_keyed());
    let fences = keyed.map(|s| KeyFence {
        service: s.name.clone(),
        fence: s.keys.borrow().fence(),
    });
    RelayRequest {
        host: router.boot().host.clone(),
        leaf: !router.source.core.get(),
        store: router.store_up.get(),
        revisions: FEEDS.map(|feed| view.heard(feed)),
        fences: fences.collect(),
    }
}

/// Takes in what a relay replied.
fn take(router: &Rc<Router>, reply: RelayReply) {
    let now = router.now();
    take_store(router, reply.store, reply.back_ms.map(Millis));
    if !router.source.core.get() {
        take_core(router, &reply);
    }
    for (feed, news) in FEEDS.into_iter().zip(reply.news) {
        match news {
            Some(FeedNews::Whole(all)) => take_snapshot(router, feed, &all),
            Some(FeedNews::Changes(changes)) => {
                take_changes(router, feed, &changes);
            }
            None => {}
        }
    }
    for map in reply.keys {
        let service = router.service(&map.service);
        let record = KeyRecord {
            fence: map.fence,
            spans: map.ranges.unpack(),
            ..KeyRecord::default()
        };
        router.key_record(&service, record);
        scheduling::keys_moved(router, &service);
    }
    let mut peers = router.peers.borrow_mut();
    peers.count(reply.hosts as usize);
    if peers.term(reply.term, reply.leader.as_ref()) {
        log::info!(term = reply.term; "term_relayed");
    }
    if let Some(age) = reply.leader_ms {
        peers.heard_leader(Millis(now.0.saturating_sub(age)));
    }
}

/// Takes in what a relay says of the store. A leaf host makes no calls by which it would see for itself.
fn take_store(router: &Router, up: bool, back: Option<Millis>) {
    let now = router.now();
    if let Some(age) = back {
        let at = Millis(now.0.saturating_sub(age.0));
        router.view.borrow_mut().store_back(at);
    }
    if !router.source.core.get() && router.store_up.get() != up {
        router.store_up.set(up);
        if !up {
            router.store_lost.set(Some(now));
        }
        log::info!(up = up; "store_relayed");
    }
}

/// Takes in the core hosts that a relay hears.
fn take_core(router: &Router, reply: &RelayReply) {
    let now = router.now();
    let mut peers = router.peers.borrow_mut();
    for core in &reply.core {
        let said = HostState {
            store: core.store,
            power: core.power,
            schedules: core.schedules,
            dc: core.dc.clone(),
            watches: core.watches,
            ..HostState::default()
        };
        peers.heard(now, &core.host, core.addr, said);
    }
}
