//! Which requests a limit holds for.

use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

use chicoryrail_core::Route;
use serde::Deserialize;
use serde::Serialize;

/// Which requests of a service a limit holds for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Limited {
    /// Those of a route with this name, or of all routes of the kind with this name.
    Kind(String),
    /// Those of the caller at this address.
    Caller(IpAddr),
}

impl Limited {
    /// Returns `true` if the limit holds for a request on `route` of the caller at `caller`.
    #[must_use]
    pub fn matches(&self, route: &Route, caller: IpAddr) -> bool {
        match self {
            Self::Kind(kind) => route.name == *kind || route.kind.name() == kind,
            Self::Caller(address) => *address == caller,
        }
    }
}

impl FromStr for Limited {
    type Err = std::convert::Infallible;

    /// Reads an address as a caller, and any other text as a kind.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(text
            .parse()
            .map_or_else(|_| Self::Kind(text.to_owned()), Self::Caller))
    }
}

impl fmt::Display for Limited {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kind(kind) => f.write_str(kind),
            Self::Caller(address) => address.fmt(f),
        }
    }
}
