//! Distribution of the store's data: a host gets it from the store or from a relay, applies it, and relays it to
//! others.

mod config_arrival;
pub(super) mod follow;
mod follow_relay;
mod leader_keys;
mod relay;
mod relay_poll;
mod reply_headers;
pub(super) mod store_calls;
mod verify_config;

pub(crate) use follow::follow_feeds;
pub(crate) use follow_relay::follow_relay;
pub(crate) use leader_keys::follow_leader_keys;
pub(crate) use relay::serve_relay;
pub(crate) use store_calls::store_call;
pub(crate) use verify_config::verify_config;
