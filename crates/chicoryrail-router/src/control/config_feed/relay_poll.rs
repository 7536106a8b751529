//! A poll of a relay, or of the leader, for updates.

use std::net::SocketAddr;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::HttpError;
use chicoryrail_runtime::ResponseTimeouts;
use http::Request;
use http::Response;
use http::header::ACCEPT_ENCODING;
use http::header::CONTENT_ENCODING;
use snafu::ResultExt;
use snafu::Snafu;

use crate::control::config_feed::config_arrival::RelayDelivery;
use crate::control::config_feed::follow::FEEDS;
use crate::control::config_feed::relay::POLL_MAX;
use crate::control::config_feed::relay::RELAY_PATH;
use crate::control::config_feed::reply_headers;
use crate::messages::CrashVersion;
use crate::messages::DecompressionError;
use crate::messages::ENCODING;
use crate::messages::FEED_COUNT;
use crate::messages::FollowerAnswer;
use crate::messages::FollowerPoll;
use crate::messages::KeyFence;
use crate::messages::RelayAnswer;
use crate::messages::RelayPoll;
use crate::messages::RelayReply;
use crate::messages::RelayRequest;
use crate::messages::decode;
use crate::messages::decompress;
use crate::messages::encode;
use crate::state::Router;

/// Time beyond the relay's longest wait after which it counts as lost, and longest pause within an arriving reply. A
/// busy host with a tenth of a core replies within it. If a watcher and then a relay are lost, both are detected soon
/// enough that every host knows of a draining server within 2 s.
const REPLY_SLACK: Millis = Millis(350);

/// Bytes of a reply that arrive in each [`REPLY_SLACK`]; a relay that sends less is left for another one.
const REPLY_PIECE_BYTES: usize = 1 << 10;

/// Size from which a reply is logged, with the time for which it occupied the link.
const LARGE_REPLY_BYTES: usize = 64 << 10;

/// A relay's reply.
pub(super) struct Polled {
    pub(super) answer: FollowerAnswer,
    pub(super) delivery: RelayDelivery,
    /// Digest of each feed of the relay; `None` if the relay does not tell.
    pub(super) digests: Option<[u64; FEED_COUNT]>,
}

/// Why a relay gave no reply.
#[derive(Debug, Snafu)]
pub(super) enum RelayError {
    /// The call failed.
    #[snafu(display("{source}"))]
    Call { source: HttpError },
    /// The reply can't be decompressed.
    #[snafu(display("reply can't be decompressed: {source}"))]
    Decompress { source: DecompressionError },
    /// The reply can't be decoded.
    #[snafu(display("reply can't be decoded: {source}"))]
    Decode { source: bincode::error::DecodeError },
}

/// Polls a host for updates. With `crashes`, the version of the known news of requests that end servers, the reply waits
/// for further changes and brings that news; without, it comes at once if there is any change.
///
/// # Errors
///
/// Returns an error if there is no reply in time, or if it can't be read.
pub(super) async fn poll(
    router: &Router,
    client: &HttpClient,
    addr: SocketAddr,
    crashes: Option<CrashVersion>,
) -> Result<Polled, RelayError> {
    let poll = FollowerPoll {
        poll: RelayPoll {
            request: poll_request(router),
            accepts_changes: true,
        },
        crashes,
    };
    let bytes = encode(&poll);
    let bytes = bytes.unwrap_or_else(|e| {
        log::error!(error:% = e; "relay_request_unwritable");
        Vec::new()
    });
    let request = Request::post(RELAY_PATH).header(ACCEPT_ENCODING, ENCODING);
    let request = request.body(Bytes::from(bytes));
    let request = request.expect("a fixed path and header are a valid request");
    let timeouts = ResponseTimeouts {
        first_piece: POLL_MAX + REPLY_SLACK,
        next_piece: REPLY_SLACK,
        piece_bytes: REPLY_PIECE_BYTES,
    };
    // A reply that is still arriving counts as one, so that a leaf host does not start to watch the store.
    let arrived = || router.source.last_relay_reply.set(router.now());
    let sent = router.now();
    let response = client.call_while_receiving(addr, request, timeouts, arrived);
    let response = response.await.context(CallSnafu)?;
    let delivery = RelayDelivery {
        relay: addr,
        sent,
        held: reply_headers::held(response.headers()).unwrap_or_default(),
        took: router.now().since(sent),
        bytes: response.body().len(),
        config_age: reply_headers::config_age(response.headers()),
    };
    log_large_reply(&delivery);
    Ok(Polled {
        answer: read_reply(&response)?,
        delivery,
        digests: reply_headers::digests(response.headers()),
    })
}

fn log_large_reply(delivery: &RelayDelivery) {
    if delivery.bytes >= LARGE_REPLY_BYTES {
        log::info!(relay:% = delivery.relay, bytes = delivery.bytes, held_ms = delivery.held.0,
            took_ms = delivery.took.0; "relay_reply_large");
    }
}

fn read_reply(response: &Response<Bytes>) -> Result<FollowerAnswer, RelayError> {
    let encoding = response.headers().get(CONTENT_ENCODING);
    if encoding.is_some_and(|e| e == ENCODING) {
        let message = decompress(response.body()).context(DecompressSnafu)?;
        return read_answer(&message).context(DecodeSnafu);
    }
    read_answer(response.body()).context(DecodeSnafu)
}

/// Decodes an answer, also one of an earlier version, which has no changes of key maps or no news of requests that end
/// servers.
fn read_answer(message: &[u8]) -> Result<FollowerAnswer, bincode::error::DecodeError> {
    if let Ok(answer) = decode::<FollowerAnswer>(message) {
        return Ok(answer);
    }
    let answer = decode::<RelayAnswer>(message).or_else(|_| {
        let reply = decode::<RelayReply>(message)?;
        Ok(RelayAnswer {
            reply,
            key_changes: Vec::new(),
        })
    })?;
    Ok(FollowerAnswer {
        answer,
        crashes: None,
    })
}

fn poll_request(router: &Router) -> RelayRequest {
    let view = router.store_view.borrow();
    let keyed = router.services().into_iter().filter(|s| s.is_keyed());
    let fences = keyed.map(|s| KeyFence {
        service: s.name.clone(),
        fence: s.keys.borrow().fence(),
    });
    RelayRequest {
        host: router.boot().host.clone(),
        leaf: !router.source.is_core_host.get(),
        store: router.store_up.get(),
        revisions: std::array::from_fn(|i| {
            let is_known = !router.source.diverged[i].get();
            view.read_revision(FEEDS[i]).filter(|_| is_known)
        }),
        fences: fences.collect(),
    }
}
