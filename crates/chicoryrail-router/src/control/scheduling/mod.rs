//! Assignment of requests to servers, for the parts of services that this host schedules.
//!
//! A part is a scheduling partition: the servers of a service, all or those of one data centre, that one host
//! schedules. Only this module changes the schedulers.

mod decisions;
mod maintenance;
mod moved_keys;
mod overflow;
mod packets;
mod part_schedulers;
mod request_reports;
mod server_bytes;
mod server_sync;
mod slot_ends;
mod slot_queries;
mod takeover;
mod tokens;

pub(crate) use maintenance::run_schedulers;
pub(crate) use maintenance::slowness_reports;
pub(crate) use moved_keys::redirect_moved_keys;
pub(crate) use overflow::free_slots;
pub(crate) use packets::handle_packet;
pub(crate) use request_reports::report_requests;
