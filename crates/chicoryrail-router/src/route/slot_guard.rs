//! Holds a server's slot until the request has ended there.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use chicoryrail_core::Life;
use chicoryrail_ownership::SchedulerHost;
use chicoryrail_policy::AdvertisedRate;
use chicoryrail_policy::Failure;
use chicoryrail_policy::LoadReport;

use crate::control::scheduling;
use crate::messages::Packet;
use crate::messages::PartName;
use crate::messages::SaidRate;
use crate::messages::SlotEnd;
use crate::messages::SlotEndKind;
use crate::route::caller_request::CallerRequest;
use crate::state::Assignment;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;

/// Sends a packet to the scheduler, or handles it directly if this host is the scheduler.
pub(super) fn send_to_scheduler(router: &Rc<Router>, scheduler: SchedulerHost, packet: Packet) {
    match scheduler {
        SchedulerHost::Here => scheduling::handle_packet(router, &packet, None),
        SchedulerHost::At(addr) => router.peer_socket.send_detached(packet, addr),
    }
}

/// Holds a slot of a server, assigned by the scheduler or, if the scheduler is unavailable, taken by this host. When
/// the guard is dropped, the request has ended at the server, and the scheduler is sent a report of how it ended.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    router: Rc<Router>,
    part: PartName,
    scheduler: SchedulerHost,
    server: Life,
    ticket: u64,
    elapsed_us: Cell<Option<u64>>,
    kind: Cell<SlotEndKind>,
    report: RefCell<Option<LoadReport>>,
    rate: Cell<Option<AdvertisedRate>>,
    forwarded: Cell<bool>,
    overdue: Cell<bool>,
    released: Cell<bool>,
}

impl SlotGuard {
    pub(super) fn new(
        router: &Rc<Router>,
        part: &PartName,
        scheduler: SchedulerHost,
        ticket: u64,
        server: &Life,
    ) -> Self {
        Self {
            router: Rc::clone(router),
            part: part.clone(),
            scheduler,
            server: server.clone(),
            ticket,
            elapsed_us: Cell::new(None),
            kind: Cell::new(SlotEndKind::Plain),
            report: RefCell::default(),
            rate: Cell::new(None),
            forwarded: Cell::new(false),
            overdue: Cell::new(false),
            released: Cell::new(false),
        }
    }

    /// Takes a slot without the scheduler. The report of the end carries ticket 0, which belongs to no query, so the
    /// scheduler only updates its estimates of the server. If the route tolerates waiting, the request has a ticket of its
    /// own, and the scheduler learns of it.
    pub(crate) fn without_scheduler(
        router: &Rc<Router>,
        service: &Service,
        target: &Target,
        call: &CallerRequest,
    ) -> Self {
        let part = service.part_of(&target.dc);
        let scheduler = router.target_scheduler(service, target);
        if !call.route.tolerates_waiting() {
            return Self::new(router, &part, scheduler, 0, &target.life);
        }
        let ticket = router
            .pending_queries
            .new_ticket(router.process.instance_id);
        let slot = Self::new(router, &part, scheduler, ticket, &target.life);
        slot.keep_for_schedulers(call, Vec::new());
        scheduling::report_requests(router);
        slot
    }

    /// Keeps what a new scheduler of the server must know of the request, if its route tolerates waiting. `schedulers`
    /// know of it.
    pub(super) fn keep_for_schedulers(&self, call: &CallerRequest, schedulers: Vec<SchedulerHost>) {
        if !call.route.tolerates_waiting() {
            return;
        }
        let work = self
            .router
            .route_stats
            .expected_work_us(&call.route.name, call.route.latency_target);
        let assignment = Assignment {
            part: self.part.clone(),
            server: self.server.clone(),
            schedulers,
            deadline: call.bounds(&self.router).respond_by,
            work_us: work as u64,
            body_bytes: call.body_bytes(),
        };
        self.router.assignments.add(self.ticket, assignment);
    }

    /// Records the load that the server reported.
    pub(crate) fn record_load(&self, report: LoadReport) {
        *self.report.borrow_mut() = Some(report);
    }

    /// Records the rate limit that the server advertised.
    pub(crate) fn record_rate(&self, advertised: AdvertisedRate) {
        self.rate.set(Some(advertised));
    }

    /// Records that another host passes the request on.
    pub(super) fn record_forwarded(&self) {
        self.forwarded.set(true);
    }

    /// Returns `true` if another host passes the request on, so that its end says nothing of this host's path.
    pub(super) fn is_forwarded(&self) -> bool {
        self.forwarded.get()
    }

    /// Records how the request ended at the server, and its duration in microseconds.
    pub(crate) fn record_end(&self, elapsed_us: f64, failure: Option<Failure>) {
        self.elapsed_us.set(Some(elapsed_us as u64));
        self.kind.set(match failure {
            None => SlotEndKind::Plain,
            Some(Failure::Full) => SlotEndKind::Full,
            Some(Failure::Broken) => SlotEndKind::Broken,
            Some(Failure::Error) => SlotEndKind::Error,
            Some(Failure::Silent) => SlotEndKind::Silent,
            Some(Failure::Unanswered) => SlotEndKind::Unanswered,
            Some(Failure::Ended) => SlotEndKind::Ended,
        });
    }

    /// Records that the request got no response within the usual time.
    pub(super) fn record_overdue(&self) {
        self.overdue.set(true);
    }

    /// Returns `true` if the request got no response within the usual time, which has been counted against the server.
    pub(super) fn is_overdue(&self) -> bool {
        self.overdue.get()
    }

    /// Releases the slot once, and reports the recorded end to the scheduler.
    pub(super) fn release(&self) {
        if self.released.replace(true) {
            return;
        }
        let report = self
            .report
            .borrow()
            .map(|r| (r.running, r.waiting, r.slots, r.slowdown_percent));
        let end = SlotEnd {
            part: self.part.clone(),
            ticket: self.ticket,
            server: self.server.clone(),
            us: self.elapsed_us.get(),
            kind: self.kind.get(),
            report,
            rate: self.rate.get().map(SaidRate::from),
        };
        let Some(assignment) = self.router.assignments.remove(self.ticket) else {
            send_to_scheduler(&self.router, self.scheduler, Packet::SlotEnd(end));
            return;
        };
        // The server was no longer known when its request was to be reported.
        if assignment.schedulers.is_empty() {
            send_to_scheduler(&self.router, self.scheduler, Packet::SlotEnd(end));
            return;
        }
        // Each scheduler that counts the request must free its slot.
        for scheduler in assignment.schedulers {
            let end = SlotEnd {
                part: assignment.part.clone(),
                ..end.clone()
            };
            send_to_scheduler(&self.router, scheduler, Packet::SlotEnd(end));
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.release();
    }
}
