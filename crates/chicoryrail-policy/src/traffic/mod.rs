//! An operator's rules for traffic, and the requests that they admit.

mod limit_rule;
mod limited;
mod pin_rule;
mod server_rule;
mod share;
mod share_counter;
mod traffic_rule;

pub use limit_rule::LimitRule;
pub use limited::Limited;
pub use pin_rule::PinRule;
pub use pin_rule::RangeError;
pub use server_rule::ServerRule;
pub use share::Share;
pub use share::ShareError;
pub use share_counter::ShareCounter;
pub use traffic_rule::TrafficRule;
