//! How a server of a free service is chosen.

use std::str::FromStr;

use snafu::Snafu;

/// How a server of a free service is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// By the gate's own observation: one queue for all servers that the gate holds, other gates by
    /// the load that they tell, late lookups tried a second time.
    Policy,
    /// One server after the other; a baseline for measurements.
    RoundRobin,
    /// The server with the fewest requests of this gate in flight; a baseline for measurements.
    LeastRequests,
}

/// A name that is no placement.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{name} is not policy, round-robin or least-requests"))]
pub struct PlacementError {
    name: String,
}

impl FromStr for Placement {
    type Err = PlacementError;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "policy" => Ok(Self::Policy),
            "round-robin" => Ok(Self::RoundRobin),
            "least-requests" => Ok(Self::LeastRequests),
            _ => Err(PlacementError {
                name: name.to_owned(),
            }),
        }
    }
}
