//! Delegates the renewal of key leases to other hosts, and replies to their polls.

use std::collections::HashMap;
use std::rc::Rc;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::DELEGATION_SERVERS_MIN;
use chicoryrail_ownership::keys::GrantOutcome;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::collect_body;
use chicoryrail_runtime::error_response;
use chicoryrail_runtime::full_body;
use http::Request;
use http::Response;

use crate::control::leader::key_leader::KeyLeader;
use crate::control::leader::key_leaders::KeyLeaders;
use crate::control::leader::leader_term::LeaderTerm;
use crate::messages::GrantFailure;
use crate::messages::OrderContent;
use crate::messages::OrderedServer;
use crate::messages::RenewalPoll;
use crate::messages::RenewalReply;
use crate::messages::RenewalReport;
use crate::messages::ServiceOrder;
use crate::messages::decode;
use crate::messages::encode;
use crate::state::Router;

/// HTTP path of the polls of hosts that renew leases.
pub(crate) const RENEWALS_PATH: &str = "/renewals";

/// Largest body of a poll.
const POLL_BYTES_MAX: usize = 1 << 20;

impl KeyLeader {
    /// Distributes the servers over the hosts that renew leases.
    pub(super) fn delegate(&self) {
        let now = self.router.now();
        let mut delegates = self.delegates.borrow_mut();
        let mut leases = self.leases.borrow_mut();
        delegates.expire(now);
        let is_large = leases.planned_ranges() >= DELEGATION_SERVERS_MIN;
        if !is_large && delegates.by_server.is_empty() {
            return;
        }
        if std::mem::take(&mut delegates.hosts_changed) {
            log::info!(service:% = self.service, hosts = delegates.hosts.len(); "delegates");
            delegates.by_server.clear();
        }
        let service = self.router.service(&self.service);
        let targets = service.targets.borrow();
        let mut by_server = HashMap::with_capacity(targets.len());
        for target in targets.values().filter(|_| is_large) {
            let life = &target.life;
            let known = delegates.by_server.get(life).cloned();
            let host = known.or_else(|| delegates.host_for(&target.dc, life).cloned());
            let delegated = host.is_some() && leases.is_delegable(life);
            let was_delegated = leases.set_delegated(life, delegated);
            if delegated && !was_delegated {
                self.router.control.close_idle(target.addr);
            }
            if let Some(host) = host {
                by_server.insert(life.clone(), host);
            }
        }
        for life in delegates.by_server.keys() {
            if !by_server.contains_key(life) {
                leases.set_delegated(life, false);
            }
        }
        delegates.by_server = by_server;
    }

    /// Applies a host's report and returns what it renews from now on.
    fn handle_report(&self, poll: &RenewalPoll) -> ServiceOrder {
        let now = self.router.now();
        let report = poll.reports.iter().find(|r| r.service == self.service);
        if let Some(report) = report.filter(|r| r.term == self.term) {
            self.apply_report(now, report);
        }
        let mut delegates = self.delegates.borrow_mut();
        let servers = delegates.by_server.iter();
        let mut lives: Vec<Life> = servers
            .filter(|(_, host)| **host == poll.host)
            .map(|(life, _)| life.clone())
            .collect();
        lives.sort();
        let content = self.order_content(now, &lives);
        let delegate = delegates.record_poll(now, poll);
        if delegate.sent.as_ref() != Some(&content) {
            delegate.version += 1;
            delegate.sent = Some(content.clone());
        }
        let has_version =
            report.is_some_and(|r| r.term == self.term && r.version == delegate.version);
        ServiceOrder {
            service: self.service.clone(),
            version: delegate.version,
            order: (!has_version).then_some(content),
        }
    }

    fn order_content(&self, now: Millis, lives: &[Life]) -> OrderContent {
        let mut leases = self.leases.borrow_mut();
        let tasks = leases.permit_renewals(now, lives).into_iter();
        let servers = tasks.map(|task| OrderedServer {
            server: task.life,
            addr: task.addr,
            spans: task.spans.iter().map(|s| (s.first, s.last)).collect(),
        });
        OrderContent {
            servers: servers.collect(),
            fence: leases.record().fence,
            lease_ms: leases.lease_duration().0,
        }
    }

    fn apply_report(&self, now: Millis, report: &RenewalReport) {
        let mut leases = self.leases.borrow_mut();
        for grant in &report.confirmed {
            let span = KeyRange {
                first: grant.first,
                last: grant.last,
            };
            let age = Millis(grant.age_ms);
            leases.delegate_confirmed(now, &grant.server, span, grant.fence, age);
        }
        for failed in &report.failed {
            let outcome = match failed.failure {
                GrantFailure::NoResponse => GrantOutcome::NoResponse,
                GrantFailure::StaleFence => GrantOutcome::StaleFence,
                GrantFailure::OtherServer => GrantOutcome::OtherServer,
            };
            if outcome == GrantOutcome::OtherServer {
                self.log_server_ended(&leases, &failed.server, "other_server", "delegate");
            }
            leases.delegate_failed(now, &failed.server, failed.fence, outcome);
        }
        drop(leases);
        for life in &report.draining {
            self.record_drain(now, life);
        }
        self.call_ended.notify();
    }
}

/// Replies to a host that renews leases for this one: extends its permits, and tells what it renews.
pub(crate) async fn serve_renewals(
    router: Rc<Router>,
    leadership: Rc<LeaderTerm>,
    leaders: Rc<KeyLeaders>,
    request: Request<Body>,
) -> Response<Body> {
    let Ok(body) = collect_body(request.into_body(), POLL_BYTES_MAX).await else {
        return error_response(400, "the request was cut or is too long");
    };
    let Ok(poll) = decode::<RenewalPoll>(&body) else {
        return error_response(400, "the request can't be read");
    };
    // Checked right before the permits are extended: a process that was suspended must not act on outdated state.
    if !leadership.may_act(&router) {
        return error_response(409, "this host does not lead");
    }
    let term = leadership.term.get();
    let leaders = leaders.of_term(term);
    let orders = leaders.iter().map(|leader| leader.handle_report(&poll));
    let reply = RenewalReply {
        term,
        orders: orders.collect(),
    };
    match encode(&reply) {
        Ok(bytes) => Response::new(full_body(bytes)),
        Err(e) => {
            log::error!(error:% = e; "renewals_unwritable");
            error_response(500, "the reply can't be written")
        }
    }
}
