//! Polls the leader for what this host renews, and sends the renewals.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::keys::DELEGATION_SERVERS_MIN;
use chicoryrail_ownership::keys::KeyTiming;
use chicoryrail_ownership::keys::Renewal;
use chicoryrail_platform::KeyGrant;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::HttpError;
use http::Request;
use snafu::ResultExt;
use snafu::Snafu;

use crate::control::leader::call_log::GRANT_LATE_MIN;
use crate::control::leader::grant_limit::grants_in_flight_max;
use crate::control::leader::key_calls::grant_outcome;
use crate::control::leader::renewal_orders::RENEWALS_PATH;
use crate::control::leader::renewals::Permit;
use crate::control::leader::renewals::RenewalResult;
use crate::control::leader::renewals::Renewals;
use crate::messages::RenewalPoll;
use crate::messages::RenewalReply;
use crate::messages::decode;
use crate::messages::encode;
use crate::state::Router;

/// Time between two polls of the leader.
const POLL_INTERVAL: Millis = Millis(150);

/// Time between two polls while there are results that the leader waits for, as after its election.
const NEWS_INTERVAL: Millis = Millis(40);

/// Timeout of a poll. A longer reply would come too late for the permit that it extends.
const POLL_TIMEOUT: Millis = Millis(300);

/// Pause while this host has nothing to renew.
const IDLE_INTERVAL: Millis = Millis(200);

/// Pause of the polls of a host that most servers do not answer: longer than the leader counts on it, so that other hosts
/// get its servers instead of the leader renewing each of them in turn.
const LOST_PATHS_PAUSE: Millis = Millis(3_000);

/// Time between two checks for due renewals.
const RENEWAL_CHECK_INTERVAL: Millis = Millis(20);

/// Why a poll of the leader failed.
#[derive(Debug, Snafu)]
enum PollError {
    /// The call failed, or the host does not lead.
    #[snafu(display("{source}"))]
    Call { source: HttpError },
    /// The host refused the poll.
    #[snafu(display("status {status}"))]
    Refused { status: u16 },
    /// The reply can't be decoded.
    #[snafu(display("reply can't be decoded: {source}"))]
    Decode { source: bincode::error::DecodeError },
}

/// Polls the leader for what this host renews, while it is a core host in front of many servers with keys.
pub(crate) async fn follow_renewal_orders(router: Rc<Router>, renewals: Rc<Renewals>) {
    let client = HttpClient::default();
    router.source.wait_until_core().await;
    loop {
        let Some(leader) = leader_to_poll(&router) else {
            router.process.clock.sleep(IDLE_INTERVAL).await;
            continue;
        };
        // The poll reports the failures, so that the leader renews the leases, and its reply starts anew.
        let fails_most = renewals.fails_most();
        let asked_at = router.now();
        match poll(&router, &renewals, &client, leader).await {
            Ok(reply) => renewals.apply(asked_at, reply),
            Err(e) => {
                log::info!(leader:% = leader, error:% = e; "renewal_poll_failed");
                router.process.clock.sleep(NEWS_INTERVAL).await;
            }
        }
        if fails_most {
            log::warn!(leader:% = leader, pause_ms = LOST_PATHS_PAUSE.0; "renewals_paused");
            router.process.clock.sleep(LOST_PATHS_PAUSE).await;
        }
        wait_for_news(&router, &renewals).await;
    }
}

/// Waits until the next poll: for less time if there are results, or another host leads.
async fn wait_for_news(router: &Router, renewals: &Renewals) {
    let begun = router.now();
    let term = router.peers.borrow().highest_term();
    while router.now().since(begun) < POLL_INTERVAL {
        router.process.clock.sleep(NEWS_INTERVAL).await;
        if renewals.has_news() || router.peers.borrow().highest_term() != term {
            return;
        }
    }
}

/// Returns the address of the leader if this host should renew leases for it.
fn leader_to_poll(router: &Router) -> Option<SocketAddr> {
    let is_large = |keyed: bool, servers: usize| keyed && servers >= DELEGATION_SERVERS_MIN;
    let services = router.services();
    let mut services = services.iter();
    let needed = services.any(|s| is_large(s.is_keyed(), s.targets.borrow().len()));
    let free = router.schedules() && router.leading_term.get() == 0;
    let leader = router.peers.borrow().leader_addr();
    leader.filter(|_| needed && free)
}

async fn poll(
    router: &Router,
    renewals: &Renewals,
    client: &HttpClient,
    leader: SocketAddr,
) -> Result<RenewalReply, PollError> {
    let boot = router.boot();
    let poll = RenewalPoll {
        host: boot.host.clone(),
        dc: boot.dc.clone(),
        power: router.power(),
        reports: renewals.take_reports(router.now()),
    };
    let bytes = encode(&poll).unwrap_or_else(|e| {
        log::error!(error:% = e; "renewal_poll_unwritable");
        Vec::new()
    });
    let request = Request::post(RENEWALS_PATH).body(Bytes::from(bytes));
    let request = request.expect("a fixed path is a valid request");
    let response = client.call(leader, request, POLL_TIMEOUT).await;
    let response = response.context(CallSnafu)?;
    let status = response.status();
    if !status.is_success() {
        return RefusedSnafu {
            status: status.as_u16(),
        }
        .fail();
    }
    decode(response.body()).context(DecodeSnafu)
}

/// Sends the renewals that are due.
pub(crate) async fn run_renewals(router: Rc<Router>, renewals: Rc<Renewals>) {
    loop {
        let (seen, now) = (renewals.replied.version(), router.now());
        if !renewals.is_permitted(now) {
            renewals.replied.wait_past(seen).await;
            continue;
        }
        renewals.drop_before(router.peers.borrow().highest_term());
        let max = grants_in_flight_max(&router);
        for (service, renewal) in renewals.take_due(now, max) {
            let (router, renewals) = (Rc::clone(&router), Rc::clone(&renewals));
            monoio::spawn(async move {
                let result = grant(&router, &renewals, &service, &renewal).await;
                renewals.record(&service, &renewal, result);
            });
        }
        router.process.clock.sleep(RENEWAL_CHECK_INTERVAL).await;
    }
}

async fn grant(
    router: &Router,
    renewals: &Renewals,
    service: &ServiceName,
    renewal: &Renewal,
) -> RenewalResult {
    // This task may run some time after it was spawned, and the process may have been suspended meanwhile.
    let sent_at = router.now();
    let permit = renewals.permit(sent_at, service, renewal);
    if !permit.holds {
        log_renewal(service, renewal, permit, Millis::ZERO, "not_sent", "-");
        return RenewalResult::NotSent;
    }
    let grant = KeyGrant {
        first: renewal.span.first,
        last: renewal.span.last,
        fence: renewal.fence,
        lease: renewal.lease,
        handover: None,
    };
    let life = &renewal.life;
    let timeout = KeyTiming::default().grant_timeout;
    let result = router
        .control
        .grant(renewal.addr, &life.name, permit.term, &grant, timeout)
        .await;
    let (outcome, name) = grant_outcome(&result);
    let calls = &router.counters.key_calls;
    calls.with_label_values(&["renewal", name]).inc();
    let took = router.now().since(sent_at);
    match &result {
        Ok(_) if took < GRANT_LATE_MIN => {}
        Ok(_) => log_renewal(service, renewal, permit, took, "late", "-"),
        Err(e) => log_renewal(service, renewal, permit, took, name, &e.to_string()),
    }
    match result {
        Ok(reply) if reply.draining => {
            let service = router.service(service);
            if let Some(target) = service.target(life) {
                service.record_drain(router.now(), &target, "renewal");
            }
            RenewalResult::Draining
        }
        _ => RenewalResult::Ended(outcome),
    }
}

/// Logs a renewal that the server did not confirm in time.
fn log_renewal(
    service: &ServiceName,
    renewal: &Renewal,
    permit: Permit,
    took: Millis,
    name: &str,
    error: &str,
) {
    log::info!(server:% = renewal.life, service:% = service, addr:% = renewal.addr,
        term = permit.term, fence = renewal.fence, first = renewal.span.first,
        last = renewal.span.last, lease_ms = renewal.lease.0, took_ms = took.0,
        permit_age_ms = permit.age.0, error = error; "renewal_{name}");
}
