//! A team's configuration bundle: services, data centres and keys.

use std::net::SocketAddr;

use bincode::Decode;
use bincode::Encode;
use serde::Deserialize;
use serde::Serialize;

use crate::BundleError;
use crate::DcName;
use crate::Millis;
use crate::ServerName;
use crate::ServiceName;
use crate::Slice;
use crate::TeamName;

/// Whether each key has one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Each key has at most one owner among the servers.
    Keyed,
    /// Any server may answer.
    Free,
}

/// How a request is treated under load.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A lookup somebody waits for; idempotent.
    Interactive,
    /// An order or work order; runs at most once.
    Order,
    /// A report that may lag; idempotent, shed first.
    Batch,
}

/// A data centre that a bundle's servers stand in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Name of the data centre.
    pub name: DcName,
}

/// A server (target) of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name of the server, unique over all services.
    pub name: ServerName,
    /// Data centre that it stands in.
    pub data_centre: DcName,
    /// Address of its HTTP listener.
    pub addr: SocketAddr,
    /// Share of work relative to the others; 1 where not given.
    #[serde(default = "one")]
    pub weight: f64,
}

/// A key that gets a slice of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct HotKey {
    /// Text of the key.
    pub key: String,
}

/// A range of the hash space that is kept within one data centre where possible.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct KeyRange {
    /// First position, 1 to 16 hexadecimal characters.
    pub first: String,
    /// Last position, 1 to 16 hexadecimal characters.
    pub last: String,
    /// Preferred data centre.
    pub data_centre: DcName,
}

impl KeyRange {
    /// Returns the range as a slice; `None` where a bound is no hexadecimal number or they are
    /// the wrong way round.
    #[must_use]
    pub fn slice(&self) -> Option<Slice> {
        let position = |text: &str| {
            // The parser alone would take a sign.
            let hex = text.bytes().all(|b| b.is_ascii_hexdigit());
            hex.then(|| u64::from_str_radix(text, 16).ok()).flatten()
        };
        let first = position(&self.first)?;
        let last = position(&self.last)?;
        (first <= last).then_some(Slice { first, last })
    }
}

/// A service and the servers behind it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service, unique over all teams.
    pub name: ServiceName,
    /// Path prefix that callers use, for example `/v1/kits/`; for a keyed service the key is the
    /// path segment after it.
    pub path: String,
    /// Whether keys have owners.
    pub kind: Kind,
    /// Class of `GET` and `HEAD` requests; `POST`, `PUT`, `PATCH` and `DELETE` are orders.
    pub class: Class,
    /// Longest time a request may take, in milliseconds; a caller may ask for less.
    #[serde(default = "default_deadline")]
    pub deadline_ms: Millis,
    /// Whether servers check the fence of a grant and of each request.
    #[serde(default)]
    pub fenced: bool,
    /// Requests that a server works on at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Connections that a server accepts from all gates together.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Number of sections that the service is controlled in.
    #[serde(default = "one_part")]
    pub parts: u32,
    /// Number of slices a keyed service starts with, over all sections.
    #[serde(default = "default_slices")]
    pub slices: u32,
    /// Largest body of a request in bytes.
    #[serde(default = "default_body")]
    pub max_body: u64,
    /// The servers.
    #[serde(rename = "server", default)]
    pub servers: Vec<Server>,
    /// Keys with slices of their own.
    #[serde(rename = "hot_key", default)]
    pub hot_keys: Vec<HotKey>,
    /// Ranges bound to data centres.
    #[serde(rename = "key_range", default)]
    pub key_ranges: Vec<KeyRange>,
}

impl Service {
    /// Iterates over the servers dealt to section `part`, in the order of the bundle.
    pub fn section(&self, part: u32) -> impl Iterator<Item = &Server> {
        let parts = self.parts.max(1) as usize;
        self.servers
            .iter()
            .enumerate()
            .filter(move |(i, _)| i % parts == part as usize)
            .map(|(_, s)| s)
    }
}

/// A team's versioned configuration, written in TOML and addressed by its digest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Team that owns the services.
    pub team: TeamName,
    /// Number of parts of the order id space; the highest of all bundles counts.
    #[serde(default = "default_order_parts")]
    pub order_parts: u32,
    /// Data centres that the servers stand in.
    #[serde(rename = "data_centre", default)]
    pub data_centres: Vec<DataCentre>,
    /// The services.
    #[serde(rename = "service", default)]
    pub services: Vec<Service>,
}

impl Bundle {
    /// Largest text of a bundle in bytes, below the store's limit of a megabyte a value.
    pub const MAX_TEXT: usize = 768 * 1024;

    /// Reads and validates a bundle's text.
    ///
    /// # Errors
    ///
    /// Returns the first problem found, with the field and the value that cause it.
    pub fn parse(text: &str) -> Result<Self, BundleError> {
        if text.len() > Self::MAX_TEXT {
            return Err(BundleError::invalid(
                "bundle",
                text.len(),
                "is longer than 786432 bytes",
            ));
        }
        let bundle: Self = toml::from_str(text).map_err(|e| BundleError::Syntax {
            message: e.to_string().trim_end().to_owned(),
        })?;
        bundle.validate()?;
        Ok(bundle)
    }

    /// Checks every field and the relations between them.
    ///
    /// # Errors
    ///
    /// Returns the first problem found, with the field and the value that cause it.
    pub fn validate(&self) -> Result<(), BundleError> {
        crate::bundle_error::validate(self)
    }
}

const fn one() -> f64 {
    1.0
}

const fn one_part() -> u32 {
    1
}

const fn default_deadline() -> Millis {
    Millis(1_000)
}

const fn default_slots() -> u32 {
    2
}

const fn default_connections() -> u32 {
    120
}

const fn default_slices() -> u32 {
    64
}

const fn default_body() -> u64 {
    1 << 20
}

const fn default_order_parts() -> u32 {
    4
}
