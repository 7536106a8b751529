//! Reports this host's requests at servers whose scheduler changes to the new scheduler.

use std::rc::Rc;

use chicoryrail_ownership::SchedulerHost;

use crate::control::scheduling::packets::handle_packet;
use crate::messages::HeldReport;
use crate::messages::Packet;
use crate::state::Router;

/// Reports this host's requests at servers to their schedulers where these have changed. Only requests of routes that
/// tolerate waiting are reported.
pub(crate) fn report_requests(router: &Rc<Router>) {
    let changed = router
        .assignments
        .update_schedulers(router.now(), |assignment| {
            let service = router.service(&assignment.part.service);
            let target = service.target(&assignment.server)?;
            let part = service.part_of(&target.dc);
            Some((router.target_scheduler(&service, &target), part))
        });
    for (scheduler, part, server, requests) in changed {
        log::info!(server:% = server, service:% = part.service, requests = requests.len(),
            host:? = scheduler; "scheduler_changed");
        for report in HeldReport::split(&part, &server, &requests) {
            let packet = Packet::HeldRequests(report);
            match scheduler {
                SchedulerHost::Here => handle_packet(router, &packet, None),
                SchedulerHost::At(addr) => router.peer_socket.send_detached(packet, addr),
            }
        }
    }
}
