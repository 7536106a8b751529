//! The leader among the hosts, as the store names it.

use std::net::SocketAddr;

use chicoryrail_core::Millis;
use chicoryrail_platform::OWN_PREFIX;
use http::Method;

use crate::Change;
use crate::call_blocking;

/// Store key of the leader's name, below the router's own prefix.
const LEADER_KEY: &str = "live/leader";

/// Timeout of the request to the store.
const CALL_TIMEOUT: Millis = Millis(500);

/// Returns the name of the host that leads; `None` if there is none or the store does not respond.
pub(crate) fn leader_name(store: SocketAddr) -> Option<String> {
    let path = format!("/testkit/history?prefix={OWN_PREFIX}{LEADER_KEY}");
    let (_, body) = call_blocking(&Method::GET, store, &path, "", CALL_TIMEOUT).ok()?;
    let changes: Vec<Change> = serde_json::from_slice(&body).ok()?;
    changes.last()?.value.clone()
}
