//! A slot of a server while a request holds it.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use chicoryrail_core::Life;
use chicoryrail_ownership::SchedulerHost;
use chicoryrail_policy::Failure;
use chicoryrail_policy::LoadReport;
use chicoryrail_policy::RateNotice;

use crate::control::scheduling;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;
use crate::talk::Packet;
use crate::talk::PartName;
use crate::talk::SaidRate;
use crate::talk::SlotEnd;
use crate::talk::SlotEndKind;

/// Brings a packet to the host that schedules.
pub(super) fn to_scheduler(router: &Rc<Router>, scheduler: SchedulerHost, packet: Packet) {
    match scheduler {
        SchedulerHost::Here => scheduling::handle_packet(router, &packet, None),
        SchedulerHost::At(addr) => router.talk.post(packet, addr),
    }
}

/// A slot of a server that the scheduler gave, or that was taken without it. Dropped when the request has ended
/// at the server, it tells the scheduler how.
#[derive(Debug)]
pub(crate) struct Slot {
    router: Rc<Router>,
    part: PartName,
    scheduler: SchedulerHost,
    server: Life,
    ticket: u64,
    us: Cell<Option<u64>>,
    kind: Cell<SlotEndKind>,
    report: RefCell<Option<LoadReport>>,
    rate: Cell<Option<RateNotice>>,
}

impl Slot {
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
            us: Cell::new(None),
            kind: Cell::new(SlotEndKind::Plain),
            report: RefCell::default(),
            rate: Cell::new(None),
        }
    }

    /// Takes a slot without the scheduler, which only hears of the end.
    pub(crate) fn without(router: &Rc<Router>, service: &Service, target: &Target) -> Self {
        let part = service.part_in(&target.dc);
        let scheduler = router.target_scheduler(service, target);
        Self::new(router, &part, scheduler, 0, &target.life)
    }

    /// Notes what the server said of its load.
    pub(crate) fn heard(&self, report: LoadReport) {
        *self.report.borrow_mut() = Some(report);
    }

    /// Notes what the server said of the rate that it takes.
    pub(crate) fn heard_rate(&self, notice: RateNotice) {
        self.rate.set(Some(notice));
    }

    /// Notes how the send ended.
    pub(crate) fn note(&self, us: f64, failure: Option<Failure>) {
        self.us.set(Some(us as u64));
        self.kind.set(match failure {
            None => SlotEndKind::Plain,
            Some(Failure::Full) => SlotEndKind::Full,
            Some(Failure::Broken) => SlotEndKind::Broken,
            Some(Failure::Error) => SlotEndKind::Error,
            Some(Failure::Silent) => SlotEndKind::Silent,
        });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let report = self
            .report
            .borrow()
            .map(|r| (r.running, r.waiting, r.slots, r.pace));
        let end = SlotEnd {
            part: self.part.clone(),
            ticket: self.ticket,
            server: self.server.clone(),
            us: self.us.get(),
            kind: self.kind.get(),
            report,
            rate: self.rate.get().map(SaidRate::from),
        };
        to_scheduler(&self.router, self.scheduler, Packet::SlotEnd(end));
    }
}
