//! Assigns and renews the keys of keyed services while this host leads.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::keys::KeyAction;
use chicoryrail_ownership::keys::KeyLeases;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::keys::KeyTiming;
use chicoryrail_ownership::store_key;
use chicoryrail_platform::KeyGrant;
use chicoryrail_platform::OWN_PREFIX;
use chicoryrail_platform::StoreError;
use chicoryrail_runtime::ChangeSignal;
use monoio::time::timeout;

use crate::control::config_feed::follow::store_call;
use crate::control::leader::leader_term::LeaderTerm;
use crate::control::scheduling;
use crate::state::Router;

/// Time between two checks for due actions, while assignments change and while they don't.
const BUSY_CHECK_INTERVAL: Millis = Millis(10);
const CALM_CHECK_INTERVAL: Millis = Millis(50);

/// Time after a store outage in which servers may still own keys by a grant from it: the TTL of such a grant (10 s)
/// and the time of a renewal in flight.
const OUTAGE_MEMORY: Millis = Millis(12_500);

/// Leader of one service's keys for one term.
pub(super) struct KeyLeader {
    pub(super) router: Rc<Router>,
    pub(super) leadership: Rc<LeaderTerm>,
    pub(super) term: u64,
    pub(super) leader_key: String,
    pub(super) service: ServiceName,
    pub(super) leases: RefCell<KeyLeases>,
    /// Store revision of the record.
    pub(super) revision: Cell<u64>,
    /// When each server last confirmed a grant.
    pub(super) last_grants: RefCell<BTreeMap<Life, Millis>>,
    /// Fencing token of the record in the store.
    pub(super) stored_fence: Cell<u64>,
    /// When the assignment was last changed; at first, when this leader took it over.
    pub(super) balanced_at: Cell<Millis>,
    pub(super) committing: Cell<bool>,
    /// Notified when a call to the store or a server has ended.
    pub(super) call_ended: ChangeSignal,
}

/// Starts a [`KeyLeader`] for each keyed service, until the term ends.
pub(crate) async fn lead_keys(
    router: Rc<Router>,
    leadership: Rc<LeaderTerm>,
    term: u64,
    leader_key: String,
) {
    let mut started: BTreeMap<ServiceName, ()> = BTreeMap::new();
    while leadership.term.get() == term {
        let keyed: Vec<_> = router.site().map_or_else(Vec::new, |site| {
            let keyed = site.services.iter().filter(|s| s.keyed);
            keyed.map(|s| s.name.clone()).collect()
        });
        for service in keyed {
            if started.contains_key(&service) {
                continue;
            }
            match take_over(&router, &leadership, term, &leader_key, &service).await {
                Ok(leader) => {
                    started.insert(service, ());
                    monoio::spawn(Rc::new(leader).run());
                }
                Err(e) => log::warn!(service:% = service, error:% = e; "keys_not_read"),
            }
        }
        router.process.clock.sleep(CALM_CHECK_INTERVAL).await;
    }
}

pub(super) fn record_key(service: &ServiceName) -> String {
    format!("{OWN_PREFIX}{}", store_key::record_key(service))
}

/// Reads the record of a service from the store and takes over its keys.
///
/// # Errors
///
/// Returns an error if the store does not reply or the record can't be parsed.
async fn take_over(
    router: &Rc<Router>,
    leadership: &Rc<LeaderTerm>,
    term: u64,
    leader_key: &str,
    service: &ServiceName,
) -> Result<KeyLeader, StoreError> {
    let item = store_call(
        router,
        "read_record",
        router.store.item(&record_key(service)),
    )
    .await?;
    let revision = item.as_ref().map_or(0, |i| i.revision);
    let record = match &item {
        None => KeyRecord::default(),
        Some(item) => serde_json::from_slice(&item.value).map_err(|e| StoreError::Refused {
            message: format!("{}: {e}", item.key),
        })?,
    };
    log::info!(service:% = service, term = term, fence = record.fence,
        spans = record.spans.len(), loose = record.loose.len(); "keys_taken_over");
    let now = router.now();
    let stored_fence = record.fence;
    let after_outage = router.store_was_down(now, OUTAGE_MEMORY);
    let timing = KeyTiming::default();
    let leases = KeyLeases::take_over(record, timing, now, rand::random(), after_outage);
    Ok(KeyLeader {
        router: Rc::clone(router),
        leadership: Rc::clone(leadership),
        term,
        leader_key: leader_key.to_owned(),
        service: service.clone(),
        leases: RefCell::new(leases),
        revision: Cell::new(revision),
        last_grants: RefCell::default(),
        stored_fence: Cell::new(stored_fence),
        balanced_at: Cell::new(now),
        committing: Cell::new(false),
        call_ended: ChangeSignal::default(),
    })
}

impl KeyLeader {
    async fn run(self: Rc<Self>) {
        let mut announced = None;
        while self.leadership.term.get() == self.term {
            let ended = self.call_ended.version();
            let outage = self.router.store_down_everywhere(self.router.now());
            self.leases.borrow_mut().set_store_down(outage);
            self.update_servers();
            self.check_reachability();
            self.plan();
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
            if !changing {
                self.router.process.clock.sleep(CALM_CHECK_INTERVAL).await;
                continue;
            }
            // The end of a call wakes this loop at once: after a loss of power on all hosts, each range waits for the
            // call for the range before it, and a pause after each call would add up.
            let _ = timeout(
                BUSY_CHECK_INTERVAL.to_duration(),
                self.call_ended.wait_past(ended),
            )
            .await;
        }
    }

    /// Applies a changed record and its ungranted ranges on this host, and schedules their announcement to the others.
    fn announce(&self, announced: &mut Option<(u64, Vec<KeyRange>)>) {
        let leases = self.leases.borrow();
        let update = (leases.record().fence, leases.ungranted_keys());
        if announced.as_ref() == Some(&update) {
            return;
        }
        *announced = Some(update.clone());
        let (fence, blocked) = update;
        log::info!(service:% = self.service, fence = fence, blocked = blocked.len(),
            keys:? = blocked.iter().map(|s| s.len()).sum::<u32>(); "keys_blocked");
        let service = self.router.service(&self.service);
        self.router
            .apply_key_record(&service, leases.record().clone());
        service
            .keys
            .borrow_mut()
            .apply_blocked(fence, blocked.clone());
        scheduling::redirect_moved_keys(&self.router, &service);
        service.changed.notify();
        let mut updates = self.leadership.key_updates.borrow_mut();
        updates.insert(self.service.clone(), (leases.record().clone(), blocked));
        drop(updates);
        self.leadership.changed.notify();
    }

    /// Updates the servers' addresses, and ends the key leases of server starts that a later start replaced.
    fn update_servers(&self) {
        let now = self.router.now();
        let mut leases = self.leases.borrow_mut();
        let view = self.router.view.borrow();
        let owners: Vec<Life> = leases.lease_owners();
        for entry in view.servers().filter(|e| e.member.service == self.service) {
            let life = &entry.member.life;
            leases.set_server_addr(now, life, entry.member.addr);
            for old in owners.iter().filter(|old| life.supersedes(old)) {
                leases.server_ended(old);
            }
        }
    }

    /// Steps down if another host reaches servers that this one does not. During a store outage the leader stays,
    /// since no other host could take over.
    fn check_reachability(&self) {
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
        let reach = self.router.reach.borrow();
        let lost = reach.find_unreachable_dc(now, owners, &self.router.peers.borrow());
        if let Some(dc) = lost.filter(|_| !self.leadership.steps_down.get()) {
            log::warn!(service:% = self.service, term = self.term, dc:% = dc; "leader_makes_way");
            self.leadership.steps_down.set(true);
        }
    }

    /// Starts the calls that are due, to the store and to servers.
    fn run_due_actions(self: &Rc<Self>) {
        let now = self.router.now();
        let actions = self.leases.borrow_mut().due_actions(now);
        for owned in self.leases.borrow_mut().take_expired() {
            log::info!(server:% = owned.owner, service:% = self.service,
                first = owned.span.first, last = owned.span.last; "hold_waited_out");
        }
        for action in actions {
            match action {
                KeyAction::Commit(record) => {
                    if !self.committing.replace(true) {
                        monoio::spawn(Rc::clone(self).commit(record));
                    }
                }
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
                    monoio::spawn(Rc::clone(self).grant(life, addr, grant));
                }
                KeyAction::Release {
                    life,
                    addr,
                    span,
                    fence,
                } => {
                    self.leases.borrow_mut().release_sent(&life, span);
                    let grant = key_grant(span, fence, Millis::ZERO, None);
                    monoio::spawn(Rc::clone(self).release(life, addr, grant));
                }
            }
        }
    }
}

fn key_grant(span: KeyRange, fence: u64, duration: Millis, handover: Option<String>) -> KeyGrant {
    KeyGrant {
        first: span.first,
        last: span.last,
        fence,
        lease: duration,
        handover,
    }
}
