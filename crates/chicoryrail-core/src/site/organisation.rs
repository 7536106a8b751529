//! Organisations, the customers whose requests carry API keys.

use crate::ApiKey;
use crate::OrganisationName;

/// Rate limit on an organisation's requests, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may arrive at once in addition to the rate.
    pub burst: f64,
}

/// A customer that is identified by API keys and may have a rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name, sent to servers in a request header.
    pub name: OrganisationName,
    /// API keys that identify it; empty if all were removed.
    pub api_keys: Vec<ApiKey>,
    /// Rate limit on its requests; `None` if they are not limited.
    pub limit: Option<QuotaLimit>,
    /// Priority of its requests in place of the route's, 0 first; `None` for the route's.
    pub priority: Option<u8>,
}
