//! One place that decides over all hosts which request goes to which server of a service.
//!
//! Hosts that send without asking each other see only a tenth of what a server gets: requests queue at
//! some servers beside free slots at others, and no host knows who should go first. A [`Desk`] is asked
//! before each send and told of each end, so it knows every slot exactly, keeps one queue, and keeps the
//! bounds that hold over all hosts. Where it can't be reached, hosts fall back to
//! [`SharedServers`](crate::SharedServers).

mod ask;
#[expect(clippy::module_inception, reason = "one type, one file")]
mod desk;
mod outlook;
mod seat;

pub use ask::DeskAsk;
pub use ask::DeskEnd;
pub use ask::DeskPlace;
pub use ask::DeskVerdict;
pub use desk::Desk;
pub use seat::SeatState;
