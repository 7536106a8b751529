//! Hears from another host what the store and the leader say.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_ownership::HostState;
use chicoryrail_platform::FeedNews;
use chicoryrail_runtime::AnswerWait;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::HttpError;
use http::Request;
use http::Response;
use http::header::ACCEPT_ENCODING;
use http::header::CONTENT_ENCODING;
use monoio::time::timeout;
use snafu::ResultExt;
use snafu::Snafu;

use crate::control::config_feed::follow::FEEDS;
use crate::control::config_feed::follow::take_changes;
use crate::control::config_feed::follow::take_snapshot;
use crate::control::config_feed::relay::POLL_MAX;
use crate::control::config_feed::relay::RELAY_PATH;
use crate::control::scheduling;
use crate::state::Router;
use crate::state::Source;
use crate::talk::ConfigAge;
use crate::talk::DecompressionError;
use crate::talk::ENCODING;
use crate::talk::KeyFence;
use crate::talk::RelayReply;
use crate::talk::RelayRequest;
use crate::talk::decode;
use crate::talk::decompress;
use crate::talk::encode;

/// Time beyond the wait of a reply after which a relay counts as lost: a busy host of a tenth of a core replies within
/// it, and a long reply goes on arriving within it. A lost watcher and then a lost relay are found in time for a server's
/// leave to be known everywhere within 2 s.
const REPLY_SLACK: Millis = Millis(350);

/// Pause after a reply, in which more news comes together, or after a failure.
const POLL_PAUSE: Millis = Millis(60);

/// Size of a reply from which on it is logged: it tells how long the link was taken.
const LARGE_REPLY_BYTES: usize = 64 << 10;

/// Time between two tries of a leaf host that watches the store because it found no relay.
const RELAY_RETRY_INTERVAL: Millis = Millis(1_000);

/// Why a relay gave no reply.
#[derive(Debug, Snafu)]
enum RelayError {
    /// The call failed.
    #[snafu(display("{source}"))]
    Call { source: HttpError },
    /// The reply can't be decompressed.
    #[snafu(display("reply can't be decompressed: {source}"))]
    Decompress { source: DecompressionError },
    /// The reply can't be read.
    #[snafu(display("reply can't be read: {source}"))]
    Decode { source: bincode::error::DecodeError },
}

/// Hears from another host what the store says, whenever this one does not watch it itself.
pub(crate) async fn follow_relay(router: Rc<Router>) {
    let client = HttpClient::default();
    loop {
        let seen = router.source.changed.count();
        let relay = match router.source.source.get() {
            Source::Relay(addr) => Some(addr),
            Source::Store if !router.source.core.get() => {
                router.process.clock.sleep(RELAY_RETRY_INTERVAL).await;
                let boot = router.boot();
                let peers = router.peers.borrow();
                peers.core_for(router.now(), &boot.host, &boot.dc)
            }
            Source::Store | Source::Unknown => None,
        };
        let Some(addr) = relay else {
            let _ = timeout(
                RELAY_RETRY_INTERVAL.duration(),
                router.source.changed.after(seen),
            )
            .await;
            continue;
        };
        let sent = router.now();
        match ask(&router, &client, addr).await {
            Ok(reply) => {
                router.source.replied.set(router.now());
                let config = reply.config;
                take(&router, reply);
                if let Some(age) = config {
                    take_config_age(&router, sent, age);
                }
            }
            Err(e) => {
                log::info!(relay:% = addr, error:% = e; "relay_failed");
                router.peers.borrow_mut().relay_failed(router.now(), addr);
            }
        }
        // After a failure, the task that chooses the source looks for another relay meanwhile.
        router.process.clock.sleep(POLL_PAUSE).await;
    }
}

async fn ask(
    router: &Router,
    client: &HttpClient,
    addr: SocketAddr,
) -> Result<RelayReply, RelayError> {
    let bytes = encode(&request(router));
    let bytes = bytes.unwrap_or_else(|e| {
        log::error!(error:% = e; "relay_request_unwritable");
        Vec::new()
    });
    let request = Request::post(RELAY_PATH).header(ACCEPT_ENCODING, ENCODING);
    let request = request.body(Bytes::from(bytes));
    let request = request.expect("a fixed path and header are a valid request");
    let wait = AnswerWait {
        first: POLL_MAX + REPLY_SLACK,
        further: REPLY_SLACK,
    };
    // A relay whose reply is arriving has replied: a leaf host must not turn to the store for it.
    let arrived = || router.source.replied.set(router.now());
    let sent = router.now();
    let answer = client.call_while_arriving(addr, request, wait, arrived);
    let answer = answer.await.context(CallSnafu)?;
    log_large(addr, &answer, router.now().since(sent));
    read_reply(&answer)
}

fn log_large(relay: SocketAddr, answer: &Response<Bytes>, took: Millis) {
    let bytes = answer.body().len();
    if bytes >= LARGE_REPLY_BYTES {
        log::info!(relay:% = relay, bytes = bytes, took_ms = took.0; "relay_reply_large");
    }
}

fn read_reply(answer: &Response<Bytes>) -> Result<RelayReply, RelayError> {
    let encoding = answer.headers().get(CONTENT_ENCODING);
    if encoding.is_some_and(|e| e == ENCODING) {
        let message = decompress(answer.body()).context(DecompressSnafu)?;
        return decode(&message).context(DecodeSnafu);
    }
    decode(answer.body()).context(DecodeSnafu)
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
        router.key_record(&service, map.ranges.to_record(map.fence));
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

/// Takes in how old the relay's configuration may be, now that this host knows what the relay knows. The time for which
/// the reply was on its way is not known, so it counts from the latest moment that is certain.
fn take_config_age(router: &Router, sent: Millis, age: ConfigAge) {
    let written = sent + Millis(age.held_ms);
    let current = written.0.checked_sub(age.age_ms);
    if let Some(at) = current {
        router.organisations.prove_current(Millis(at));
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
