//! One place that decides over all hosts which request goes to which server of a service.
//!
//! Hosts that send without asking each other see only a tenth of what a server gets: requests queue at
//! some servers beside free slots at others, and no host knows who should go first. A [`Scheduler`] is asked
//! before each send and told of each end, so it knows every slot exactly, keeps one queue, and keeps the
//! bounds that hold over all hosts. Where it can't be reached, hosts fall back to
//! [`SharedServers`](crate::SharedServers).

mod load_view;
mod part_rooms;
mod rate_bucket;
#[expect(clippy::module_inception, reason = "one type, one file")]
mod scheduler;
mod server_slots;
mod slot_request;

pub use part_rooms::PartRooms;
pub use scheduler::Scheduler;
pub use server_slots::SlotState;
pub use slot_request::Decision;
pub use slot_request::Placement;
pub use slot_request::SlotRelease;
pub use slot_request::SlotRequest;
