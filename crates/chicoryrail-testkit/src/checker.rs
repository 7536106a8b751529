//! Checks the router's guarantees against the records of callers, targets and the store.

mod abandoned;
mod availability;
mod bodies;
mod cut_hosts;
mod evidence;
mod exclusivity;
mod find;
mod grant_fences;
mod held_range;
mod holds;
mod notices;
mod orders;
mod organisations;
mod responses;
mod server_holds;
mod server_limits;
mod stored_owners;
mod versions;
mod violation;

pub use availability::Availability;
pub use evidence::Evidence;
pub use evidence::HostTime;
pub use evidence::OutPeriod;
pub use evidence::Period;
pub use evidence::QuotaWindow;
pub use evidence::ServerEnd;
pub use violation::Violation;
