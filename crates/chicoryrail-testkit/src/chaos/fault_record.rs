//! The record of an injected fault.

use serde::Deserialize;
use serde::Serialize;

use crate::Period;
use crate::chaos::fault::Fault;

/// An injected fault and its times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct FaultRecord {
    /// The fault.
    #[serde(flatten)]
    pub(crate) fault: Fault,
    /// Start in microseconds since 1970.
    pub(crate) from: u64,
    /// End in microseconds since 1970.
    pub(crate) until: u64,
    /// Error of the injection or removal; empty on success.
    pub(crate) note: String,
}

impl FaultRecord {
    /// Returns the period from the start to the end.
    pub(crate) const fn period(&self) -> Period {
        Period {
            from: self.from,
            until: self.until,
        }
    }
}
