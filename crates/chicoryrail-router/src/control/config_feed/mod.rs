//! How this host hears what the store says, from the store or from a relay. Changes what is believed, and passes it on.

pub(super) mod follow;
mod follow_relay;
mod prove_config;
mod relay;

pub(crate) use follow::follow_all;
pub(crate) use follow_relay::follow_relay;
pub(crate) use prove_config::prove_config;
pub(crate) use relay::relay;
