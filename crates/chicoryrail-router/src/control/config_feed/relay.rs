//! The relay: replies to hosts that get the store's data and the leader's key assignments from this host.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::HostState;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::collect_body;
use chicoryrail_runtime::error_response;
use chicoryrail_runtime::full_body;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::ACCEPT_ENCODING;
use http::header::CONTENT_ENCODING;
use monoio::time::timeout;

use crate::control::config_feed::reply_headers;
use crate::messages::ConfigAge;
use crate::messages::CoreState;
use crate::messages::CrashUpdate;
use crate::messages::CrashVersion;
use crate::messages::ENCODING;
use crate::messages::FollowerAnswer;
use crate::messages::FollowerPoll;
use crate::messages::KeyMap;
use crate::messages::KeyMapChanges;
use crate::messages::KeyRanges;
use crate::messages::RelayAnswer;
use crate::messages::RelayPoll;
use crate::messages::RelayReply;
use crate::messages::RelayRequest;
use crate::messages::compress;
use crate::messages::decode;
use crate::messages::encode;
use crate::state::Router;

/// Longest time for which a reply waits for changes. A host without a reply for longer selects another relay.
pub(super) const POLL_MAX: Millis = Millis(460);

/// Time for which changes wait after a poll has arrived, so that the reply carries several. News of requests that end
/// servers does not wait.
pub(super) const BATCH_TIME: Millis = Millis(60);

/// Largest request body of a following host.
const REQUEST_BYTES_MAX: usize = 64 << 10;

/// HTTP path of the relay.
pub(super) const RELAY_PATH: &str = "/relay";

/// Replies to a host that follows this one when there are changes for it, or after [`POLL_MAX`].
pub(crate) async fn serve_relay(router: Rc<Router>, request: Request<Body>) -> Response<Body> {
    if request.uri().path() != RELAY_PATH {
        return error_response(404, "no such page");
    }
    let accepted = request.headers().get(ACCEPT_ENCODING);
    let compressed = accepted.is_some_and(|e| e == ENCODING);
    let Ok(body) = collect_body(request.into_body(), REQUEST_BYTES_MAX).await else {
        return error_response(400, "the request was cut or is too long");
    };
    let Some(follower) = read_poll(&body) else {
        return error_response(400, "the request can't be read");
    };
    let known_crashes = follower.crashes;
    let RelayPoll {
        request: poll,
        accepts_changes,
    } = follower.poll;
    if poll.leaf {
        let mut requests = router.leaf_requests.borrow_mut();
        requests.insert(poll.host.clone(), router.now());
    }
    let received = router.now();
    wait_for_updates(&router, &poll, known_crashes, received).await;
    let key_changes = if accepts_changes {
        key_changes(&router, &poll)
    } else {
        Vec::new()
    };
    let answer = RelayAnswer {
        reply: reply(&router, &poll, received, &key_changes),
        key_changes,
    };
    let answer = FollowerAnswer {
        answer,
        crashes: crash_update(&router, known_crashes),
    };
    let mut response = match encode(&answer) {
        Ok(bytes) if compressed => compressed_response(bytes),
        Ok(bytes) => Response::new(full_body(bytes)),
        Err(e) => {
            log::error!(error:% = e; "relay_unwritable");
            return error_response(500, "the reply can't be written");
        }
    };
    reply_headers::set(&router, received, response.headers_mut());
    response
}

/// Waits until there are updates for a host whose poll arrived at `received`, for [`POLL_MAX`] at most.
async fn wait_for_updates(
    router: &Router,
    poll: &RelayRequest,
    known_crashes: Option<CrashVersion>,
    received: Millis,
) {
    // A host that starts has nothing yet, and is not ready until it has. One that does not ask for news of requests that
    // end servers polls the leader for key maps that it lacks, or is of an earlier version and pauses between polls itself.
    let is_urgent = poll.revisions.contains(&None) || known_crashes.is_none();
    let batch_end = if is_urgent {
        received
    } else {
        received + BATCH_TIME
    };
    let end = received + POLL_MAX;
    loop {
        let seen = router.feed_changed.version();
        let now = router.now();
        let is_batching = now < batch_end;
        let has_crashes = crash_update(router, known_crashes).is_some();
        if now >= end || has_crashes || (!is_batching && has_changes(router, poll)) {
            return;
        }
        let wait_end = if is_batching { batch_end } else { end };
        let changed = router.feed_changed.wait_past(seen);
        let _ = timeout(wait_end.since(now).to_duration(), changed).await;
    }
}

/// Decodes a poll, also one of an earlier version.
fn read_poll(body: &[u8]) -> Option<FollowerPoll> {
    if let Ok(poll) = decode::<FollowerPoll>(body) {
        return Some(poll);
    }
    let poll = decode::<RelayPoll>(body).ok();
    let poll = poll.or_else(|| {
        let request = decode::<RelayRequest>(body).ok()?;
        Some(RelayPoll {
            request,
            accepts_changes: false,
        })
    });
    Some(FollowerPoll {
        poll: poll?,
        crashes: None,
    })
}

/// Returns the news of requests that end servers if the host has another version of it.
fn crash_update(router: &Router, known: Option<CrashVersion>) -> Option<CrashUpdate> {
    let version = CrashVersion {
        instance: router.process.instance_id,
        number: router.crashes.table.borrow().version(),
    };
    let known = known?;
    let since = if known.instance == version.instance {
        known.number
    } else {
        0
    };
    (known != version).then(|| CrashUpdate {
        version,
        news: router.crashes.news_since(since),
    })
}

/// Returns a compressed reply, which takes less of a slow link; a short message stays uncompressed.
fn compressed_response(bytes: Vec<u8>) -> Response<Body> {
    let Some(compressed) = compress(&bytes) else {
        return Response::new(full_body(bytes));
    };
    let mut response = Response::new(full_body(compressed));
    let encoding = HeaderValue::from_static(ENCODING);
    response.headers_mut().insert(CONTENT_ENCODING, encoding);
    response
}

/// Returns `true` if the store's state, a feed or a service's key assignment differs from what the host knows.
fn has_changes(router: &Router, poll: &RelayRequest) -> bool {
    let logs = router.feed_logs.borrow();
    let mut feeds = logs.iter().zip(poll.revisions);
    poll.store != router.store_up.get()
        || feeds.any(|(log, after)| log.has_since(after))
        || router.services().iter().any(|s| {
            let fence = s.keys.borrow().fence();
            s.is_keyed() && fence > known_fence(poll, &s.name)
        })
}

fn known_fence(poll: &RelayRequest, service: &ServiceName) -> u64 {
    let known = poll.fences.iter().find(|f| f.service == *service);
    known.map_or(0, |f| f.fence)
}

/// Builds the reply from the state of this moment; `received` is when the request arrived. Services in `key_changes` are
/// left out of the key maps.
fn reply(
    router: &Router,
    poll: &RelayRequest,
    received: Millis,
    key_changes: &[KeyMapChanges],
) -> RelayReply {
    let now = router.now();
    let logs = router.feed_logs.borrow();
    let news = std::array::from_fn(|i| {
        let is_sound = !router.source.diverged[i].get();
        logs[i].since(poll.revisions[i]).filter(|_| is_sound)
    });
    let recovered_at = router.store_view.borrow().recovered_at();
    let peers = router.peers.borrow();
    RelayReply {
        news,
        keys: key_maps(router, poll, key_changes),
        core: core_states(router),
        hosts: peers.sharing_hosts() as u32,
        term: peers.highest_term(),
        leader: peers.leader().cloned(),
        leader_ms: router.leader_age().map(|age| age.0),
        store: router.store_up.get(),
        back_ms: recovered_at.map(|at| now.since(at).0),
        config: config_age(router, now, received),
    }
}

/// Returns the configuration's age now, and how long the request has waited here.
fn config_age(router: &Router, now: Millis, received: Millis) -> Option<ConfigAge> {
    let age = router.organisations.freshness().age(now)?;
    Some(ConfigAge {
        age_ms: age.0,
        held_ms: now.since(received).0,
    })
}

/// Returns the changes of key maps for a host that has a map from which they are known.
fn key_changes(router: &Router, poll: &RelayRequest) -> Vec<KeyMapChanges> {
    let changes = router.services().into_iter().filter_map(|service| {
        let known = known_fence(poll, &service.name);
        let keys = service.keys.borrow();
        let changes = keys.changes_since(known).filter(|_| known > 0)?;
        Some(KeyMapChanges::pack(&service.name, &changes))
    });
    changes.collect()
}

/// Returns the key maps that are newer than the host's and not in `key_changes`.
fn key_maps(router: &Router, poll: &RelayRequest, key_changes: &[KeyMapChanges]) -> Vec<KeyMap> {
    let mut maps = Vec::new();
    for service in router.services() {
        let keys = service.keys.borrow();
        let fence = keys.fence();
        let is_changed = key_changes.iter().any(|c| c.service == service.name);
        if fence > known_fence(poll, &service.name) && !is_changed {
            let ranges = KeyRanges::pack(&keys.current_record().spans);
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

/// Returns the core hosts from which this one received a heartbeat recently, and itself.
fn core_states(router: &Router) -> Vec<CoreState> {
    let peers = router.peers.borrow();
    let recent = peers.recent_peers(router.now());
    let others = recent.map(|(host, addr, state)| core_state(host, addr, state));
    let boot = router.boot();
    let own = core_state(&boot.host, router.peer_addr(), &router.host_state());
    others.chain([own]).collect()
}

fn core_state(host: &HostName, addr: SocketAddr, state: &HostState) -> CoreState {
    CoreState {
        host: host.clone(),
        addr,
        dc: state.dc.clone(),
        power: state.power,
        schedules: state.schedules,
        store: state.store_reachable,
        watches: state.watches,
    }
}
