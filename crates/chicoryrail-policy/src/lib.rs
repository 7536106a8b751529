//! The decisions of chicoryrail under load, pure: time and random numbers come in as arguments.
//!
//! A gate holds the slots of some servers of a service. In front of them stands one
//! [`ServerQueue`]: it admits, orders, sends and refuses. A [`Picker`] chooses between the gate's
//! own queue and the queues of other gates, a [`Hedge`] decides when a late lookup is tried a
//! second time, and a [`RetryBudget`] whether a request that did not run may be sent again.
//! [`SharedServers`] picks among servers that many hosts send to without asking each other, and a
//! [`Desk`] decides for all of them where they can ask it.
//! Nothing here opens a socket or reads a clock, so a test steps through any load in no time.
//!
//! # Example
//!
//! ```
//! use chicoryrail_core::Class;
//! use chicoryrail_core::Millis;
//! use chicoryrail_policy::Ask;
//! use chicoryrail_policy::Decision;
//! use chicoryrail_policy::Outcome;
//! use chicoryrail_policy::ServerId;
//! use chicoryrail_policy::ServerQueue;
//! use chicoryrail_policy::Ticket;
//!
//! let mut queue = ServerQueue::default();
//! queue.set_server(ServerId(0), 2);
//!
//! let now = Millis(10);
//! let ask = Ask::new(Ticket(1), Class::Interactive, now + Millis(1_000));
//! assert_eq!(queue.offer(now, ask), Decision::Send(ServerId(0)));
//! // ... the gate sends the request and gets the answer 3 ms later ...
//! queue.done(now + Millis(3), ServerId(0), Ticket(1), Outcome::Answered { us: 3_000 });
//! assert_eq!(queue.poll(now + Millis(3)), None);
//! ```
//!
//! Go on with [`Limits`] for the bounds of a queue, [`Health`] for slow servers, and [`Ramp`] for cold
//! ones.

mod action;
mod admission;
mod ask;
mod backlog;
mod batch_share;
mod decision;
mod desk;
mod estimate;
mod health;
mod hedge;
mod limits;
mod load;
mod outcome;
mod picker;
mod quantile;
mod ramp;
mod refusal;
mod retry_budget;
mod server;
mod server_queue;
mod servers;
mod service_times;
mod shared;

pub use action::Action;
pub use ask::Ask;
pub use ask::ServerId;
pub use ask::Ticket;
pub use decision::Decision;
pub use desk::Desk;
pub use desk::DeskAsk;
pub use desk::DeskEnd;
pub use desk::DeskPlace;
pub use desk::DeskVerdict;
pub use desk::SeatState;
pub use estimate::Estimate;
pub use health::Health;
pub use health::Verdict;
pub use hedge::Hedge;
pub use limits::Limits;
pub use load::Load;
pub use outcome::Outcome;
pub use picker::Choice;
pub use picker::PeerId;
pub use picker::Picker;
pub use quantile::Quantile;
pub use ramp::Ramp;
pub use refusal::Refusal;
pub use retry_budget::RetryBudget;
pub use server_queue::ServerQueue;
pub use shared::ColdPace;
pub use shared::Failure;
pub use shared::LoadReport;
pub use shared::RetryBound;
pub use shared::SharedRetries;
pub use shared::SharedServers;
pub use shared::WeightedTurn;
pub use shared::return_time;
