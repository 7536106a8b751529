//! Scheduler that decides for all hosts which request goes to which server of a service.
//!
//! Hosts that send without coordination each see only a tenth of a server's requests. Requests then queue at some
//! servers while others have free slots, and no host knows which request should go first. A [`Scheduler`] receives a
//! query before each send and a report after it, so it knows every slot exactly, keeps a single queue and enforces the
//! limits that hold over all hosts. Hosts that can't reach it fall back to [`LocalBalancer`](crate::LocalBalancer).

mod adoption;
mod booked_place;
mod break_load;
mod byte_limit;
mod caller_events;
mod end_evidence;
mod fair_share;
mod held_request;
mod late_queue;
mod learned_limit;
mod load_view;
mod rate_bucket;
mod remote_free_slots;
mod requests_in_flight;
mod return_calendar;
#[expect(clippy::module_inception, reason = "one type, one file")]
mod scheduler;
mod server_slots;
mod server_status;
mod slot_request;
mod standing_queues;
mod takeover;
mod utilisation;
mod waiting_request;
mod warmup_rate;
mod work_ahead;
mod work_rate;

pub use caller_events::CallerEvents;
pub use end_evidence::EndEvidence;
pub use held_request::HeldRequest;
pub use remote_free_slots::RemoteFreeSlots;
pub use scheduler::Scheduler;
pub use server_status::ServerStatus;
pub use slot_request::Decision;
pub use slot_request::Placement;
pub use slot_request::SlotRelease;
pub use slot_request::SlotRequest;
