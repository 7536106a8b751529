//! Distribution of the store's data: a host gets it from the store or from a relay, applies it, and relays it to
//! others.

pub(super) mod follow;
mod follow_relay;
mod prove_config;
mod relay;

pub(crate) use follow::follow_all;
pub(crate) use follow_relay::follow_relay;
pub(crate) use prove_config::prove_config;
pub(crate) use relay::relay;
