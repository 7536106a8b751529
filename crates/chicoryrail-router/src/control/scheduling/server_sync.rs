//! Keeps the servers of a part's scheduler up to date.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_policy::Scheduler;
use chicoryrail_policy::ServerStatus;

use crate::messages::PartName;
use crate::state::Admission;
use crate::state::PartSync;
use crate::state::Router;
use crate::state::Service;
use crate::state::SyncRules;
use crate::state::Target;

/// Time between two looks at every server. It bounds how long a missed change lasts.
const FULL_SYNC_INTERVAL: Millis = Millis(1_000);

/// Updates a scheduler's servers to their current state. The state changes with entries in the store, with responses (a
/// server reports that it is warming up) and with time (a draining server's time ends), so each decision calls this.
///
/// Only servers that have changed, and those whose state changes with time, are looked at: there may be thousands.
pub(super) fn sync_servers(
    router: &Router,
    service: &Service,
    part: &PartName,
    scheduler: &mut Scheduler,
    now: Millis,
) {
    let mut syncs = router.schedulers.syncs.borrow_mut();
    let sync = syncs.entry(part.clone()).or_default();
    let rules = rules(router, service);
    let changes = service.changes.borrow();
    let is_due = now >= sync.full_at + FULL_SYNC_INTERVAL || scheduler.server_count() == 0;
    let changed = changes
        .since(sync.seen)
        .filter(|_| !is_due && sync.rules == rules);
    let update = Update {
        router,
        service,
        part,
        rules,
        now,
    };
    match changed {
        Some(changed) => {
            let timed = std::mem::take(&mut sync.timed);
            changed.for_each(|target| update.apply(scheduler, sync, target));
            for target in timed.values() {
                update.apply(scheduler, sync, target);
            }
        }
        None => update.apply_all(scheduler, sync),
    }
    sync.seen = changes.last();
    sync.rules = rules;
}

/// Returns what concerns all servers of the service.
fn rules(router: &Router, service: &Service) -> SyncRules {
    let any_ready = service.targets.borrow().values().any(|t| t.is_ready());
    SyncRules {
        ready_only: any_ready && !service.is_keyed(),
        warmup_rate_max: router.warmup_rate_max(&service.name),
        visible_share: router.visible_share(),
    }
}

/// One update of a scheduler's servers.
struct Update<'a> {
    router: &'a Router,
    service: &'a Service,
    part: &'a PartName,
    rules: SyncRules,
    now: Millis,
}

impl Update<'_> {
    fn apply_all(&self, scheduler: &mut Scheduler, sync: &mut PartSync) {
        sync.full_at = self.now;
        sync.timed.clear();
        let targets = self.service.targets.borrow();
        let mut count = 0;
        for target in targets.values().filter(|t| self.part.contains(&t.dc)) {
            count += 1;
            self.set(scheduler, sync, target);
        }
        // Every target of the part was added, so any further server of the scheduler no longer exists.
        if scheduler.server_count() > count {
            scheduler.retain_servers(|id| targets.values().any(|t| t.id == id));
        }
    }

    /// Applies the state of a server that has changed, or removes one that is gone.
    fn apply(&self, scheduler: &mut Scheduler, sync: &mut PartSync, target: &Rc<Target>) {
        if !self.part.contains(&target.dc) {
            return;
        }
        let current = self.service.target(&target.life);
        if current.is_some_and(|current| Rc::ptr_eq(&current, target)) {
            self.set(scheduler, sync, target);
        } else {
            scheduler.remove_server(target.id);
        }
    }

    fn set(&self, scheduler: &mut Scheduler, sync: &mut PartSync, target: &Rc<Target>) {
        let rate_limit = target.limit.get().rate(self.now);
        let changes_with_time =
            rate_limit.is_some() || matches!(target.admission.get(), Admission::Draining(_));
        if changes_with_time {
            sync.timed.insert(target.id, Rc::clone(target));
        }
        let accepts = if self.rules.ready_only {
            target.is_ready()
        } else {
            target.accepts_requests(self.now)
        };
        // A host that schedules for itself alone is one of any number.
        let is_withheld = rate_limit.is_some() && self.rules.visible_share == 0.0;
        let status = ServerStatus {
            slots: target.usable_slots(),
            accepting: accepts && !is_withheld,
            warmup_until: target.warmup_until.get(),
            warmup_rate_max: self.rules.warmup_rate_max,
            rate_limit: rate_limit.map(|rate| rate * self.rules.visible_share),
            dc_index: self.router.schedulers.dc_index(&target.dc),
            scheduled_here: target.scheduled_here.get().unwrap_or(false),
            scheduled_since: self.router.scheduled_since(target),
            taken_over_at: target.taken_over_at.get(),
        };
        scheduler.update_server(self.now, target.id, status);
    }
}
