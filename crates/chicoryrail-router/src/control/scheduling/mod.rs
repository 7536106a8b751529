//! Assignment of requests to servers, for the parts of services that this host schedules.
//!
//! A part is a scheduling partition: the servers of a service, all or those of one data centre, that one host
//! schedules. Only this module changes the schedulers.

mod maintenance;
mod overflow;
mod part_schedulers;
mod requests;
mod server_bytes;
mod server_sync;
mod takeover;
mod tokens;

pub(crate) use maintenance::run_schedulers;
pub(crate) use maintenance::slowness_reports;
pub(crate) use overflow::free_slots;
pub(crate) use requests::handle_packet;
pub(crate) use requests::redirect_moved_keys;
pub(crate) use takeover::report_requests;
