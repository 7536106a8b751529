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

impl Route {
    /// Returns the part that `draw`, a number below the sum of the weights, falls on.
    ///
    /// # Example
    ///
    /// ```
    /// # use chicoryrail_core::{Millis, Part, Repeat, Route};
    /// # let part = |s: &str, weight| Part { service: s.into(), weight };
    /// # let route = Route { name: "r".into(), host: "h".into(), prefix: "/".into(), repeat: Repeat::Any,
    /// #     timeout: Millis(1), aim: Millis(1), rank: 0, attempts: 1,
    /// #     parts: vec![part("a", 90), part("b", 10)] };
    /// assert_eq!(route.part(89).service.as_str(), "a");
    /// assert_eq!(route.part(90).service.as_str(), "b");
    /// ```
    #[must_use]
    pub fn part(&self, draw: u32) -> &Part {
        let mut left = draw;
        for part in &self.parts {
            if left < part.weight {
                return part;
            }
            left -= part.weight;
        }
        &self.parts[self.parts.len() - 1]
    }

    /// Returns the sum of the weights.
    #[must_use]
    pub fn weights(&self) -> u32 {
        self.parts.iter().map(|p| p.weight).sum()
    }
}
