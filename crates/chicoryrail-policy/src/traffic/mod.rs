//! An operator's rules for traffic, the requests that they admit, and what an operator sees of the traffic.

mod limit_rule;
mod limited;
mod pin_rule;
mod server_rule;
mod share;
mod share_counter;
mod traffic_rule;
mod traffic_state;

pub use limit_rule::LimitRule;
pub use limited::Limited;
pub use pin_rule::PinRule;
pub use pin_rule::RangeError;
pub use server_rule::ServerRule;
pub use share::Share;
pub use share::ShareError;
pub use share_counter::ShareCounter;
pub use traffic_rule::TrafficRule;
pub use traffic_state::BusyKey;
pub use traffic_state::SlowServer;
pub use traffic_state::TrafficState;
