//! Names of hosts, data centres, organisations, servers and services.

use std::fmt;
use std::sync::Arc;

use bincode::Decode;
use bincode::Encode;
use serde::Deserialize;
use serde::Serialize;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
        )]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from `text`. Clones are cheap: they share the text.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns `true` if the name has 1 to 64 characters, all of `a-z 0-9 - _ .`.
            #[must_use]
            pub fn is_valid(&self) -> bool {
                let is_allowed =
                    |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
                (1..=64).contains(&self.0.len()) && self.0.bytes().all(is_allowed)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::convert::Infallible;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Ok(Self::new(text))
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// Name of a data centre.
    DcName
);
name!(
    /// Name of an entry host, on which a router runs.
    HostName
);
name!(
    /// Name of an organisation, which owns API keys.
    OrganisationName
);
name!(
    /// Name of a server (target), unique within the platform.
    ServerName
);
name!(
    /// Name of a service.
    ServiceName
);
