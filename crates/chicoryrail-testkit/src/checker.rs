//! What must hold over what callers, targets and the store saw.

mod answers;
mod assigned;
mod availability;
mod evidence;
mod find;
mod orders;
mod organisations;
mod owners;
mod placement;
mod stored;
mod violation;

pub use availability::Availability;
pub use evidence::Evidence;
pub use evidence::HostTime;
pub use evidence::OutPeriod;
pub use evidence::QuotaWindow;
pub use violation::Violation;
