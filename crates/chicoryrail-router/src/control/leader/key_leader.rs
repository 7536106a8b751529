//! Assigns the keys of keyed services to servers, and renews the key leases, while this host leads.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::keys::KeyAction;
use chicoryrail_ownership::keys::KeyHistory;
use chicoryrail_ownership::keys::KeyLeases;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_platform::KeyGrant;
use chicoryrail_runtime::ChangeSignal;
use chicoryrail_runtime::WorkPacer;
use monoio::time::timeout;

use crate::control::leader::delegates::Delegates;
use crate::control::leader::grant_limit::grants_in_flight_max;
use crate::control::leader::leader_term::LeaderTerm;
use crate::control::scheduling;
use crate::state::Router;
use crate::state::Target;

/// Time between two checks for due actions while a change of the assignment is pending.
const PENDING_CHECK_INTERVAL: Millis = Millis(10);

/// Time between two checks for due actions while no change is pending, and between two checks for new keyed services.
pub(super) const IDLE_CHECK_INTERVAL: Millis = Millis(50);

/// Time for which a server with keys has left grants unanswered before a host that reaches it should lead: more than one
/// grant, and less than the time after which its keys would go to others.
const UNANSWERED_TIME_MIN: Millis = Millis(400);

/// Rest after a step over all servers, as a multiple of the time that the step took: the leader also serves callers,
/// schedules and renews its own lease.
const PLANNING_REST: u64 = 8;
const ACTIONS_REST: u64 = 2;

/// Assigns the keys of one service for one term.
#[derive(Debug)]
pub(super) struct KeyLeader {
    pub(super) router: Rc<Router>,
    pub(super) leadership: Rc<LeaderTerm>,
    pub(super) term: u64,
    pub(super) leader_store_key: String,
    pub(super) service: ServiceName,
    pub(super) leases: RefCell<KeyLeases>,
    /// What plans have observed in this term; used for services whose callers tolerate waiting.
    pub(super) history: RefCell<KeyHistory>,
    /// Store revision of the record.
    pub(super) revision: Cell<u64>,
    /// When each server last confirmed a grant.
    pub(super) last_grants: RefCell<BTreeMap<Life, Millis>>,
    /// Fencing token of the record in the store.
    pub(super) stored_fence: Cell<u64>,
    /// When the assignment, or its list of former owners, was last changed; at first, when this leader took it over.
    pub(super) last_change_at: Cell<Millis>,
    /// When a plan last moved nothing.
    pub(super) unmoved_at: Cell<Millis>,
    /// Whether a write of the record is in progress; at most one runs at a time.
    pub(super) committing: Cell<bool>,
    /// Whether most servers with keys leave this host's grants unanswered.
    pub(super) doubts: Cell<bool>,
    /// Hosts that renew leases for this one.
    pub(super) delegates: RefCell<Delegates>,
    /// Number of grant calls in flight.
    pub(super) grants_in_flight: Cell<usize>,
    /// Notified when a call to the store or a server has ended.
    pub(super) call_ended: ChangeSignal,
}

impl KeyLeader {
    pub(super) async fn run(self: Rc<Self>) {
        let mut announced = None;
        let mut planning = WorkPacer::new(PLANNING_REST);
        let mut actions = WorkPacer::new(ACTIONS_REST);
        while self.leadership.term.get() == self.term {
            let seen = self.call_ended.version();
            let begun = self.router.now();
            let store_down = self.leadership.store_down_everywhere(&self.router);
            self.leases.borrow_mut().set_store_down(store_down);
            self.update_predecessor(begun);
            if planning.is_due(begun) {
                self.update_servers();
                self.request_step_down_if_unreachable();
                self.plan();
                self.delegate();
                planning.record(begun, self.router.now());
            }
            let planned = self.router.now();
            // Checked right before the calls are sent: a process that was suspended must not act on outdated state.
            if self.leadership.may_act(&self.router) {
                self.run_due_actions();
            }
            let changing = self.leases.borrow().has_pending_change();
            self.announce(&mut announced);
            if self.leases.borrow().is_deposed() {
                log::warn!(service:% = self.service, term = self.term; "fence_refused");
                self.leadership.term.set(0);
                return;
            }
            actions.record(planned, self.router.now());
            let rest = actions.rest(self.router.now());
            if !changing {
                let pause = rest.max(IDLE_CHECK_INTERVAL);
                self.router.process.clock.sleep(pause).await;
                continue;
            }
            self.router.process.clock.sleep(rest).await;
            // Each server is sent one grant at a time. When all ranges must be granted anew, as after a loss of power
            // on all hosts, a pause after each call would add up, so the end of a call wakes this loop at once.
            let _ = timeout(
                PENDING_CHECK_INTERVAL.to_duration(),
                self.call_ended.wait_past(seen),
            )
            .await;
        }
    }

    /// Lets the leases that an earlier leader may have renewed expire once it has certainly stopped.
    fn update_predecessor(&self, now: Millis) {
        let Some(at) = self.leadership.predecessor_stopped(now) else {
            return;
        };
        if self.leases.borrow_mut().predecessor_stopped(at) {
            log::info!(service:% = self.service, term = self.term, age_ms = now.since(at).0;
                "predecessor_stopped");
        }
    }

    /// Applies a changed record, with the ranges that are not granted yet, on this host, and hands both to the
    /// heartbeats for the other hosts.
    fn announce(&self, announced: &mut Option<(u64, Vec<KeyRange>)>) {
        let leases = self.leases.borrow();
        let update = (leases.record().fence, leases.ungranted_keys());
        if announced.as_ref() == Some(&update) {
            return;
        }
        *announced = Some(update.clone());
        let (fence, ungranted) = update;
        log::info!(service:% = self.service, fence = fence, blocked = ungranted.len(),
            keys:? = ungranted.iter().map(|s| s.len()).sum::<u32>(); "keys_blocked");
        let service = self.router.service(&self.service);
        self.router
            .apply_key_record(&service, leases.record().clone());
        service
            .keys
            .borrow_mut()
            .apply_blocked(fence, ungranted.clone());
        scheduling::redirect_moved_keys(&self.router, &service);
        service.changed.notify();
        let mut updates = self.leadership.key_updates.borrow_mut();
        updates.insert(self.service.clone(), (leases.record().clone(), ungranted));
        drop(updates);
        self.leadership.changed.notify();
    }

    /// Updates the servers' addresses, and marks the server incarnations that a later one has replaced.
    fn update_servers(&self) {
        let now = self.router.now();
        let service = self.router.service(&self.service);
        let mut leases = self.leases.borrow_mut();
        for target in service.targets.borrow().values() {
            leases.set_server_addr(now, &target.life, target.addr);
        }
        for owner in leases.lease_owners() {
            let registered = self.router.registered_life(&self.service, &owner.name);
            let Some(later) = registered.filter(|life| life.supersedes(&owner)) else {
                continue;
            };
            if let Some(until) = leases.server_superseded(&owner) {
                log::info!(server:% = owner, by:% = later, service:% = self.service,
                    lease_left_ms = until.since(now).0; "server_superseded");
            }
        }
    }

    /// Requests that this host steps down if another host reaches servers that this one does not. During a store outage
    /// the leader stays, since no other host could take over.
    fn request_step_down_if_unreachable(&self) {
        if !self.router.store_up.get() {
            return;
        }
        let now = self.router.now();
        let service = self.router.service(&self.service);
        let targets = service.targets.borrow();
        let leases = self.leases.borrow();
        let owners = leases.record().spans.iter().map(|s| &s.owner);
        let owners = owners.filter_map(|life| {
            let target = targets.get(life)?;
            Some((&target.dc, leases.unanswered_since(life)))
        });
        if let Some(server) = self.server_out_of_reach(now, &targets, &leases) {
            log::warn!(service:% = self.service, term = self.term, server:% = server;
                "leader_makes_way");
            self.leadership.step_down_for_reach(now);
            return;
        }
        let reach = self.router.reach.borrow();
        let lost = reach.find_unreachable_dc(now, owners, &self.router.peers.borrow());
        if let Some(dc) = lost.filter(|_| !self.leadership.steps_down.get()) {
            log::warn!(service:% = self.service, term = self.term, dc:% = dc; "leader_makes_way");
            self.leadership.steps_down.set(true);
        }
    }

    /// Returns a server whose lease this host can't renew although other hosts reach it. Without another leader, keys
    /// would be taken from a sound server.
    fn server_out_of_reach(
        &self,
        now: Millis,
        targets: &HashMap<Life, Rc<Target>>,
        leases: &KeyLeases,
    ) -> Option<Life> {
        if !self.leadership.may_step_down_for_reach(now) {
            return None;
        }
        let is_unanswered = |life: &Life| {
            let since = leases.unanswered_since(life);
            since.is_some_and(|at| now.since(at) >= UNANSWERED_TIME_MIN)
        };
        let mut lost = targets.values().filter(|t| t.path.get().is_lost());
        let server = lost.find(|t| is_unanswered(&t.life))?;
        Some(server.life.clone())
    }

    /// Logs the leases of former owners that ran until their end, and the first server to which the keys go.
    fn log_expired(&self) {
        let mut leases = self.leases.borrow_mut();
        for owned in leases.take_expired() {
            let spans = &leases.record().spans;
            let next = spans
                .iter()
                .find(|s| s.span.intersect(owned.span).is_some());
            let next = next.map_or_else(|| "-".to_owned(), |s| s.owner.to_string());
            log::info!(server:% = owned.owner, service:% = self.service, term = self.term,
                fence = leases.record().fence, first = owned.span.first, last = owned.span.last,
                to = next; "hold_waited_out");
        }
    }

    /// Starts the calls that are due, to the store and to servers.
    fn run_due_actions(self: &Rc<Self>) {
        let now = self.router.now();
        let grants_max = grants_in_flight_max(&self.router);
        let actions = self.leases.borrow_mut().due_actions(now);
        self.log_expired();
        for action in actions {
            match action {
                KeyAction::Commit(record) => {
                    if !self.committing.replace(true) {
                        monoio::spawn(Rc::clone(self).commit(record));
                    }
                }
                // The grant stays due.
                KeyAction::Grant { .. } if self.grants_in_flight.get() >= grants_max => {}
                KeyAction::Grant {
                    life,
                    addr,
                    span,
                    fence,
                    handover,
                } => {
                    self.leases.borrow_mut().grant_sent(now, &life, span);
                    let duration = self.leases.borrow().lease_duration();
                    let grant = key_grant(span, fence, duration, handover);
                    self.grants_in_flight.set(self.grants_in_flight.get() + 1);
                    monoio::spawn(Rc::clone(self).grant(life, addr, grant));
                }
                KeyAction::Release {
                    life,
                    addr,
                    span,
                    fence,
                } => {
                    self.leases.borrow_mut().release_sent(&life, span);
                    let release = key_grant(span, fence, Millis::ZERO, None);
                    monoio::spawn(Rc::clone(self).release(life, addr, release));
                }
            }
        }
    }
}

/// Builds the content of a grant, or of a release, which has the same form.
fn key_grant(span: KeyRange, fence: u64, duration: Millis, handover: Option<String>) -> KeyGrant {
    KeyGrant {
        first: span.first,
        last: span.last,
        fence,
        lease: duration,
        handover,
    }
}
