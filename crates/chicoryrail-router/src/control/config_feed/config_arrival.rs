//! Records when and on which way a configuration arrived at this host.

use std::net::SocketAddr;

use chicoryrail_core::Millis;

use crate::state::Router;

/// The message with which a host received a configuration.
#[derive(Clone, Copy, Debug)]
pub(super) enum Arrival {
    /// A reply of the store.
    Store,
    /// A reply of a relay.
    Relay(RelayDelivery),
}

/// How a relay's reply was delivered.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayDelivery {
    pub(super) relay: SocketAddr,
    /// When the poll was sent.
    pub(super) sent: Millis,
    /// Time for which the poll waited at the relay; zero if the relay does not tell.
    pub(super) held: Millis,
    /// Time from the poll to the last byte of the reply.
    pub(super) took: Millis,
    /// Size of the reply as it was sent.
    pub(super) bytes: usize,
    /// Age of the relay's configuration when it wrote the reply; `None` if the relay does not tell.
    pub(super) config_age: Option<Millis>,
}

impl Arrival {
    /// Returns when a host that watches the store read the configuration of a message that arrived at `received`, by this
    /// host's clock. How long a poll was in transit is unknown, so that this is the earliest possible time.
    fn read_at(&self, received: Millis) -> Option<Millis> {
        match self {
            Self::Store => Some(received),
            Self::Relay(delivery) => {
                let written_at = delivery.sent + delivery.held;
                Some(Millis(written_at.0.saturating_sub(delivery.config_age?.0)))
            }
        }
    }
}

/// Applies a message with `apply`; if that brings a configuration into force, logs how it arrived.
pub(super) fn track_config(router: &Router, arrival: &Arrival, apply: impl FnOnce()) {
    let before = config_version(router);
    let received = router.now();
    apply();
    let version = config_version(router);
    if version == before {
        return;
    }
    let read_at = arrival.read_at(received);
    router.source.config_read_at.set(read_at);
    let now = router.now();
    let apply_ms = now.since(received).0;
    let age = read_at.map(|at| now.since(at));
    if let Some(age) = age {
        router.counters.config_delay.set(age.0 as i64);
    }
    let age_ms = age.map_or_else(|| "-".to_owned(), |age| age.0.to_string());
    match arrival {
        Arrival::Store => {
            log::info!(version = version, source = "store", apply_ms = apply_ms, age_ms = age_ms;
                "config_arrived");
        }
        Arrival::Relay(delivery) => {
            log::info!(version = version, source:% = delivery.relay, held_ms = delivery.held.0,
                took_ms = delivery.took.0, bytes = delivery.bytes, apply_ms = apply_ms,
                age_ms = age_ms; "config_arrived");
        }
    }
}

/// Returns the version of the configuration in force; 0 if there is none.
fn config_version(router: &Router) -> u64 {
    router.site().map_or(0, |site| site.version)
}
