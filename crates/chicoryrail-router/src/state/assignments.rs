//! Requests of this host at servers, for the servers' schedulers.

use std::cell::RefCell;
use std::collections::HashMap;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::SchedulerHost;

use crate::messages::HeldRequest;
use crate::messages::PartName;

/// A request of this host at a server.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    pub(crate) part: PartName,
    pub(crate) server: Life,
    /// Schedulers that count the request; the last one schedules for the server now, as far as this host knows.
    pub(crate) schedulers: Vec<SchedulerHost>,
    pub(crate) deadline: Millis,
    /// Expected service time at an average server, in microseconds.
    pub(crate) work_us: u64,
    /// Declared length of the body.
    pub(crate) body_bytes: u64,
}

impl Assignment {
    /// Returns the request in the form in which a new scheduler learns of it.
    pub(crate) fn held(&self, now: Millis, ticket: u64) -> HeldRequest {
        HeldRequest {
            ticket,
            left: self.deadline.since(now).0,
            work_us: self.work_us,
            body_bytes: self.body_bytes,
        }
    }
}

/// The requests of this host at servers whose routes tolerate waiting, by ticket.
#[derive(Debug, Default)]
pub(crate) struct Assignments {
    by_ticket: RefCell<HashMap<u64, Assignment>>,
}

impl Assignments {
    /// Adds a request that is assigned to a server.
    pub(crate) fn add(&self, ticket: u64, assignment: Assignment) {
        self.by_ticket.borrow_mut().insert(ticket, assignment);
    }

    /// Removes and returns a request that has ended at its server; `None` if it was never added.
    pub(crate) fn remove(&self, ticket: u64) -> Option<Assignment> {
        self.by_ticket.borrow_mut().remove(&ticket)
    }

    /// Records the scheduler of each server as `scheduler_of` returns it, with the name of the part. Returns the requests
    /// at servers whose scheduler has changed, for the new scheduler, in groups for one server.
    pub(crate) fn update_schedulers(
        &self,
        now: Millis,
        scheduler_of: impl Fn(&Assignment) -> Option<(SchedulerHost, PartName)>,
    ) -> Vec<(SchedulerHost, PartName, Life, Vec<HeldRequest>)> {
        let mut changed: Vec<(SchedulerHost, PartName, Life, Vec<HeldRequest>)> = Vec::new();
        for (ticket, assignment) in self.by_ticket.borrow_mut().iter_mut() {
            let Some((scheduler, part)) = scheduler_of(assignment) else {
                continue;
            };
            if assignment.schedulers.last() == Some(&scheduler) {
                continue;
            }
            assignment.schedulers.retain(|s| *s != scheduler);
            assignment.schedulers.push(scheduler);
            assignment.part = part.clone();
            let held = assignment.held(now, *ticket);
            let group = changed
                .iter_mut()
                .find(|(s, _, server, _)| (*s, server) == (scheduler, &assignment.server));
            match group {
                Some((.., requests)) => requests.push(held),
                None => changed.push((scheduler, part, assignment.server.clone(), vec![held])),
            }
        }
        changed
    }
}
