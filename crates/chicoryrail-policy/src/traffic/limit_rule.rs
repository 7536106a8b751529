//! A limit on requests.

use chicoryrail_core::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::traffic::Limited;
use crate::traffic::Share;

/// Admits only a share of a kind's or a caller's requests to a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitRule {
    /// The service.
    pub service: ServiceName,
    /// Which of its requests.
    pub limited: Limited,
    /// Share that is admitted.
    pub share: Share,
}
