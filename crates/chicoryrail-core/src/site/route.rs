//! One route of a configuration.

use crate::Millis;
use crate::ServiceName;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Repeat {
    /// Idempotent: may be sent to another server after any failure.
    Any,
    /// At most once: may be sent again only where it certainly has not run.
    Once,
}

/// A service that takes a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Service.
    pub service: ServiceName,
    /// Its share, relative to the weights of the other parts.
    pub weight: u32,
}

/// Where requests with one host and path prefix go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub repeat: Repeat,
    /// Longest time for which a request is kept waiting.
    pub timeout: Millis,
    /// Latency within which an answer is worth most to the caller.
    pub aim: Millis,
    /// Rank when there is not room for all; 0 goes first.
    pub rank: u8,
    /// Most servers that one request may be sent to, the first included.
    pub attempts: u32,
    /// Services with their weights; at least one.
    pub parts: Vec<Part>,
}
