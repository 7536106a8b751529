//! Paths of this host to the servers.

use std::ptr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_policy::PathChoice;
use chicoryrail_policy::ServerPath;

use crate::state::Router;
use crate::state::Service;
use crate::state::Target;

/// Number of lost paths to servers of a service from which the others are doubted too.
const DOUBT_PATHS_MIN: u32 = 2;

/// Age up to which a failure can make a host doubt its paths. It exceeds the time for which a failure counts.
const FAILURE_AGE_MAX: Millis = Millis(2_000);

impl Service {
    /// Returns how to send a request to a server now.
    pub(crate) fn choose_path(&self, now: Millis, target: &Target) -> PathChoice {
        let others_lost = self.lost_paths.get() >= DOUBT_PATHS_MIN;
        target.path.get().choose(now, others_lost)
    }

    /// Returns `true` if this host lately failed to reach more servers of the service than it reached: its own paths have
    /// then failed rather than the servers.
    pub(crate) fn doubts_paths(&self, now: Millis) -> bool {
        // Without a failure the servers, of which there may be thousands, need not be looked at.
        let failed_at = self.path_failed_at.get();
        let has_failed = failed_at.is_some_and(|at| now.since(at) <= FAILURE_AGE_MAX);
        if !has_failed && !self.has_lost_paths() {
            return false;
        }
        let targets = self.targets.borrow();
        let paths = || targets.values().map(|t| t.path.get());
        let failed = paths().filter(|p| p.failed_lately(now)).count();
        let reached = paths().filter(|p| p.reached_lately(now)).count();
        failed >= DOUBT_PATHS_MIN as usize && failed > reached
    }

    /// Returns `true` if other hosts reach a server that this one does not.
    pub(crate) fn has_lost_paths(&self) -> bool {
        self.lost_paths.get() > 0
    }

    /// Records a response or a new connection of a server.
    pub(crate) fn record_contact(&self, now: Millis, target: &Target) {
        self.update_path(target, |path| path.record_contact(now));
    }

    /// Records that no connection to a server could be opened.
    pub(crate) fn record_no_connection(&self, now: Millis, target: &Target) {
        self.path_failed_at.set(Some(now));
        self.update_path(target, |path| path.record_failure(now));
    }

    /// Records that another host reached a server.
    pub(crate) fn record_forwarded(&self, target: &Target) {
        self.update_path(target, |path| {
            path.record_forwarded();
        });
    }

    /// Records that other hosts could not reach a server either.
    pub(crate) fn record_server_failure(&self, now: Millis, target: &Target) {
        self.path_failed_at.set(Some(now));
        self.update_path(target, |path| path.record_server_failure(now));
    }

    /// Updates a path, counts the lost ones and logs each loss and recovery.
    fn update_path(&self, target: &Target, update: impl FnOnce(&mut ServerPath)) {
        let mut path = target.path.get();
        let was_lost = path.is_lost();
        update(&mut path);
        target.path.set(path);
        if path.is_lost() == was_lost {
            return;
        }
        let current = self.target(&target.life);
        if !current.is_some_and(|current| ptr::eq(&raw const *current, target)) {
            return;
        }
        let before = self.lost_paths.get();
        let lost = if was_lost { before - 1 } else { before + 1 };
        self.lost_paths.set(lost);
        let event = if was_lost { "path_back" } else { "path_lost" };
        log::info!(server:% = target.life, service:% = self.name, dc:% = target.dc,
            lost = lost; "{event}");
    }
}

/// Checks whether the path to a server is back by opening a connection, unless it was checked a moment ago.
pub(crate) fn check_path(router: &Rc<Router>, service: &Rc<Service>, target: &Rc<Target>) {
    let mut path = target.path.get();
    let is_due = path.begin_check(router.now());
    target.path.set(path);
    if !is_due {
        return;
    }
    let (router, service, target) = (Rc::clone(router), Rc::clone(service), Rc::clone(target));
    monoio::spawn(async move {
        match target.pool.open_idle(target.addr).await {
            Ok(()) => {
                service.record_contact(router.now(), &target);
                router.server_reach.record_way();
            }
            Err(e) => log::debug!(server:% = target.life, error:% = e; "path_check_failed"),
        }
    });
}
