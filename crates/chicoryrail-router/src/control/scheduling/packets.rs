//! Hands packets that are addressed to this host as a scheduler to their handlers.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::control::scheduling::part_schedulers::withdraw_request;
use crate::control::scheduling::server_bytes::apply_byte_limit;
use crate::control::scheduling::slot_ends::handle_end;
use crate::control::scheduling::slot_queries::handle_query;
use crate::control::scheduling::takeover::apply_report;
use crate::messages::Packet;
use crate::state::Router;

/// Handles a packet that is addressed to this host as a scheduler; `from` is `None` if this host sent it itself.
///
/// A host does not check that it is the right scheduler for a query: hosts whose views of the others differ select
/// different schedulers for a moment, and any host that receives a query schedules the request.
pub(crate) fn handle_packet(router: &Rc<Router>, packet: &Packet, from: Option<SocketAddr>) {
    match packet {
        Packet::SlotQuery(query) => handle_query(router, query, from),
        Packet::SlotEnd(end) => handle_end(router, end, from),
        Packet::Leave { part, ticket } => withdraw_request(router, part, *ticket),
        Packet::Rooms(parts) => {
            for part in parts {
                router.schedulers.record_free_slots(router.now(), part);
            }
        }
        Packet::HeldRequests(report) => apply_report(router, report, from),
        Packet::ByteLimit(news) => apply_byte_limit(router, news),
        Packet::Heartbeat(_)
        | Packet::Paces(_)
        | Packet::KeyDemand(_)
        | Packet::SlotReply { .. }
        | Packet::QuotaReports(_)
        | Packet::QuotaGrants(_)
        | Packet::Crashes(_)
        | Packet::Traffic(_)
        | Packet::TermQuery(_)
        | Packet::TermAnswer(_) => {}
    }
}
