//! HTTP listeners for the load balancer, for metrics and for other hosts.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::SettingError;
use chicoryrail_runtime::bind_listener;
use chicoryrail_runtime::error_response;
use chicoryrail_runtime::serve_http;
use http::Request;
use monoio::task::JoinHandle;

use crate::control::KeyLeaders;
use crate::control::LeaderTerm;
use crate::control::PROBE_PATH;
use crate::control::RENEWALS_PATH;
use crate::control::serve_probe;
use crate::control::serve_relay;
use crate::control::serve_renewals;
use crate::route::is_forwarded;
use crate::route::serve_forwarded;
use crate::state::Router;

/// Largest head of a request from another host, in bytes.
const FORWARDED_HEAD_BYTES_MAX: usize = 64 << 10;

/// Maximum number of headers of a request from another host.
const FORWARDED_HEADERS_MAX: usize = 96;

/// Time after the last write for which another host may close its connection first, as it does when it learns of the end.
/// One that is cut off does not, and delays a stop by no more than this.
const PEER_LINGER_TIME: Millis = Millis(500);

/// Starts an HTTP listener for readiness and metrics.
pub(crate) fn serve_observability(
    router: &Rc<Router>,
    flag: &'static str,
    addr: SocketAddr,
    stop: &CancellationToken,
) -> Result<(), SettingError> {
    let listener = bind_listener(flag, addr)?;
    let router = Rc::clone(router);
    let respond = move |request: Request<Body>, _| {
        let found = router.process.handle_management(&request);
        let response = found.unwrap_or_else(|| error_response(404, "no such page"));
        async move { response }
    };
    monoio::spawn(serve_http(
        listener,
        HttpLimits::default(),
        stop.clone(),
        respond,
    ));
    Ok(())
}

/// Starts the HTTP listener for other hosts: those that use this one as relay, that renew leases for it, and whose
/// requests it passes on. The task ends when `stop` is cancelled and their connections have ended.
pub(crate) fn start_peer_listener(
    router: &Rc<Router>,
    (leadership, leaders): (&Rc<LeaderTerm>, &Rc<KeyLeaders>),
    addr: SocketAddr,
    stop: &CancellationToken,
) -> Result<JoinHandle<()>, SettingError> {
    let listener = bind_listener("relay", addr)?;
    let (router, leadership) = (Rc::clone(router), Rc::clone(leadership));
    let leaders = Rc::clone(leaders);
    let respond = move |request: Request<Body>, from| {
        let (router, leadership) = (Rc::clone(&router), Rc::clone(&leadership));
        let leaders = Rc::clone(&leaders);
        async move {
            if is_forwarded(&request) {
                return serve_forwarded(router, request, from).await;
            }
            if request.uri().path() == RENEWALS_PATH {
                return serve_renewals(router, leadership, leaders, request).await;
            }
            if request.uri().path() == PROBE_PATH {
                return serve_probe(router, request, from).await;
            }
            serve_relay(router, request).await
        }
    };
    // A forwarded request has the caller's headers and some more.
    let limits = HttpLimits {
        max_head_bytes: FORWARDED_HEAD_BYTES_MAX,
        max_headers: FORWARDED_HEADERS_MAX,
        linger_time: PEER_LINGER_TIME,
        ..HttpLimits::default()
    };
    let served = serve_http(listener, limits, stop.clone(), respond);
    Ok(monoio::spawn(served))
}
