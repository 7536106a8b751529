//! Runs of suspected requests: one host for each service lets them run.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Fingerprint;
use chicoryrail_core::Millis;
use chicoryrail_ownership::SchedulerHost;
use chicoryrail_policy::ProbeRequest;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::collect_body;
use chicoryrail_runtime::error_response;
use chicoryrail_runtime::full_body;
use http::Request;
use http::Response;
use http::StatusCode;

use crate::control::crashes::apply_news;
use crate::messages::PartName;
use crate::messages::ProbeCall;
use crate::messages::ProbeQuery;
use crate::messages::ProbeReply;
use crate::messages::decode;
use crate::messages::encode;
use crate::state::Router;
use crate::state::Service;

/// HTTP path of the calls.
pub(crate) const PROBE_PATH: &str = "/probe";

/// Timeout of a call.
const CALL_TIMEOUT: Millis = Millis(150);

/// Largest body of a call.
const CALL_BYTES_MAX: usize = 64 << 10;

/// A granted run of a suspected request; it ends when this is dropped.
pub(crate) struct Probe {
    router: Rc<Router>,
    granter: SchedulerHost,
    ticket: u64,
    request: Fingerprint,
}

/// Asks the host that grants the runs of a service's suspected requests. Returns `None` if the request may not run now, or
/// if that host does not answer: then nobody knows what else runs.
pub(crate) async fn begin_probe(
    router: &Rc<Router>,
    service: &Service,
    request: Fingerprint,
    left: Millis,
) -> Option<Probe> {
    let granter = router.part_scheduler(&PartName::unpartitioned(&service.name));
    let ticket = router.crashes.next_ticket(router.process.instance_id);
    let query = ProbeQuery {
        ticket,
        service: service.name.clone(),
        request,
        left: left.0,
        news: router.crashes.news_of(request),
    };
    let granted = match granter {
        SchedulerHost::Here => grant(router, &query),
        SchedulerHost::At(addr) => ask(router, addr, query).await,
    };
    granted.then(|| Probe {
        router: Rc::clone(router),
        granter,
        ticket,
        request,
    })
}

/// Replies to a host that asks for a run or reports its end.
pub(crate) async fn serve_probe(
    router: Rc<Router>,
    request: Request<Body>,
    from: SocketAddr,
) -> Response<Body> {
    let body = collect_body(request.into_body(), CALL_BYTES_MAX).await;
    let call = body.ok().and_then(|body| decode::<ProbeCall>(&body).ok());
    let Some(call) = call else {
        log::warn!(from:% = from; "probe_unreadable");
        return error_response(400, "the call can't be read");
    };
    let reply = match call {
        ProbeCall::Begin(query) => {
            apply_news(&router, &query.news, None);
            ProbeReply {
                granted: grant(&router, &query),
                news: router.crashes.news_of(query.request),
            }
        }
        ProbeCall::End { ticket, news } => {
            apply_news(&router, &news, None);
            end(&router, ticket);
            ProbeReply {
                granted: false,
                news: Default::default(),
            }
        }
    };
    match encode(&reply) {
        Ok(bytes) => Response::new(full_body(bytes)),
        Err(e) => {
            log::error!(error:% = e; "probe_unwritable");
            error_response(500, "the reply can't be written")
        }
    }
}

fn grant(router: &Router, query: &ProbeQuery) -> bool {
    let now = router.now();
    let standing = router.crashes.table.borrow().standing(query.request);
    let servers = router.service(&query.service).ready_count();
    let probe = ProbeRequest {
        ticket: query.ticket,
        service: &query.service,
        request: query.request,
        deadline: now + Millis(query.left),
    };
    let mut probes = router.crashes.probes.borrow_mut();
    let granted = probes.begin(now, standing, probe, servers);
    log::info!(fingerprint:% = query.request, service:% = query.service, standing:? = standing,
        servers = servers, granted = granted; "probe");
    granted
}

fn end(router: &Router, ticket: u64) {
    router.crashes.probes.borrow_mut().end(ticket);
    router.crashes.changed.notify();
}

async fn ask(router: &Rc<Router>, addr: SocketAddr, query: ProbeQuery) -> bool {
    let request = query.request;
    let response = match call(router, addr, ProbeCall::Begin(query)).await {
        Some(response) => response,
        None => return false,
    };
    // A host of an earlier version grants no runs, and would suspend every request beside a lost server.
    if response.status() == StatusCode::NOT_FOUND {
        return true;
    }
    let Ok(reply) = decode::<ProbeReply>(response.body()) else {
        log::warn!(host:% = addr, fingerprint:% = request; "probe_reply_unreadable");
        return false;
    };
    apply_news(router, &reply.news, None);
    reply.granted
}

async fn call(router: &Router, addr: SocketAddr, call: ProbeCall) -> Option<Response<Bytes>> {
    let bytes = encode(&call);
    let bytes = bytes.map_err(|e| log::error!(error:% = e; "probe_unwritable"));
    let request = Request::post(PROBE_PATH).body(Bytes::from(bytes.ok()?));
    let request = request.expect("a fixed path is a valid request");
    let response = router
        .crashes
        .client
        .call(addr, request, CALL_TIMEOUT)
        .await;
    let response = response.map_err(|e| log::info!(host:% = addr, error:% = e; "probe_silent"));
    response.ok()
}

impl Drop for Probe {
    fn drop(&mut self) {
        let addr = match self.granter {
            SchedulerHost::Here => return end(&self.router, self.ticket),
            SchedulerHost::At(addr) => addr,
        };
        let (router, ticket) = (Rc::clone(&self.router), self.ticket);
        let news = router.crashes.news_of(self.request);
        monoio::spawn(async move { call(&router, addr, ProbeCall::End { ticket, news }).await });
    }
}
