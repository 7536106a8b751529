//! Errors of the commands.

use std::path::PathBuf;

use chicoryrail_core::DcName;
use chicoryrail_core::Fingerprint;
use chicoryrail_core::OrganisationName;
use chicoryrail_core::ServerName;
use chicoryrail_core::ServiceName;
use chicoryrail_core::SiteError;
use chicoryrail_platform::DecodeError;
use chicoryrail_platform::StoreError;
use snafu::Snafu;

/// An error that ends a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// A file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file doesn't parse as a configuration. The line's text is not shown: it may contain an API key.
    #[snafu(display("{}: line {line}: field {field}: {reason}", path.display()))]
    Syntax {
        /// The file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Path of the field; `.` if unknown.
        field: String,
        /// What is wrong with the field.
        reason: String,
    },
    /// A field of a configuration file has an invalid value.
    #[snafu(display("{}: {source}", path.display()))]
    Value {
        /// The file.
        path: PathBuf,
        /// Field, value and reason.
        source: SiteError,
    },
    /// A call to the store failed. If no reply arrived, the change may have been made.
    #[snafu(display("store: {source}"))]
    Store {
        /// Error of the call.
        source: StoreError,
    },
    /// An entry of the store can't be decoded.
    #[snafu(display("{source}"))]
    Entry {
        /// Key of the entry and reason.
        source: DecodeError,
    },
    /// A value can't be written as JSON.
    #[snafu(display("can't write JSON: {source}"))]
    Write {
        /// Error of the serializer.
        source: serde_json::Error,
    },
    /// A configuration can't be written as TOML.
    #[snafu(display("can't write the configuration as TOML: {source}"))]
    Show {
        /// Error of the serializer.
        source: toml::ser::Error,
    },
    /// The stored version is not the expected one.
    #[snafu(display("stored version is {found}, expected {expected}; nothing was changed"))]
    Version {
        /// Expected version.
        expected: u64,
        /// Stored version; 0 for none.
        found: u64,
    },
    /// The command changes or reads the stored configuration, but none is stored.
    #[snafu(display("no configuration is stored; put one first"))]
    NoConfig,
    /// The change would leave an invalid value in the configuration.
    #[snafu(display("{source}"))]
    Unusable {
        /// Field, value and reason.
        source: SiteError,
    },
    /// No request with this fingerprint is blocked.
    #[snafu(display("request {request} is not blocked"))]
    NotBlocked {
        /// Fingerprint that was given.
        request: Fingerprint,
    },
    /// A record of a blocked request in the store can't be decoded.
    #[snafu(display("entry {key}: not the record of a blocked request: {source}"))]
    Record {
        /// Key of the entry.
        key: String,
        /// Error of the decoder.
        source: serde_json::Error,
    },
    /// The configuration has no organisation of this name.
    #[snafu(display("organisation {name} does not exist"))]
    NoOrganisation {
        /// Name that was given.
        name: OrganisationName,
    },
    /// The configuration already has an organisation of this name.
    #[snafu(display("organisation {name} already exists"))]
    OrganisationExists {
        /// Name that was given.
        name: OrganisationName,
    },
    /// No key of the organisation matches the fingerprint, or several do.
    #[snafu(display(
        "{found} keys of organisation {name} match fingerprint {fingerprint}; one must match"
    ))]
    NoSuchKey {
        /// The organisation.
        name: OrganisationName,
        /// Fingerprint that was given, or a prefix of one.
        fingerprint: String,
        /// Number of keys that match.
        found: usize,
    },
    /// The operating system provides no random bytes for a new key.
    #[snafu(display("can't get random bytes for a new API key: {source}"))]
    NoRandom {
        /// Error of the operating system.
        source: rand::rand_core::OsError,
    },
    /// Without the data centre, a service would keep less than half of its slots.
    #[snafu(display(
        "without {dc}, service {service} has {remaining} of {total} slots left, less than half; \
         use --force to take it out anyway"
    ))]
    TooFewSlots {
        /// The data centre.
        dc: DcName,
        /// The service that would keep the smallest fraction of its slots.
        service: ServiceName,
        /// Slots outside the data centre.
        remaining: u32,
        /// Slots of all servers in service.
        total: u32,
    },
    /// The data centre name is unknown: no server is registered there.
    #[snafu(display("no server is registered in data centre {dc}"))]
    NoSuchDc {
        /// The data centre.
        dc: DcName,
    },
    /// The store has no key record of the service.
    #[snafu(display("service {service} has no key record; it is not keyed, or no host leads"))]
    NoRecord {
        /// The service.
        service: ServiceName,
    },
    /// The configuration has no service of this name.
    #[snafu(display("service {service} does not exist"))]
    NoService {
        /// Name that was given.
        service: ServiceName,
    },
    /// The service has no route of this name or kind.
    #[snafu(display(
        "kind {kind} is neither a caller's address nor the name or kind of a route to service \
         {service}"
    ))]
    NoKind {
        /// Kind that was given.
        kind: String,
        /// The service.
        service: ServiceName,
    },
    /// No server of this name is registered.
    #[snafu(display("server {server} is not registered"))]
    NoServer {
        /// Name that was given.
        server: ServerName,
    },
    /// The server serves another service.
    #[snafu(display("server {server} serves {found}, not service {service}"))]
    OtherService {
        /// The server.
        server: ServerName,
        /// Service that was given.
        service: ServiceName,
        /// Service of the server.
        found: ServiceName,
    },
    /// The service has no keys.
    #[snafu(display("service {service} has no keys"))]
    NotKeyed {
        /// The service.
        service: ServiceName,
    },
    /// A pin has keys in common with another one.
    #[snafu(display("rule {id} has keys in common with rule {other}; release that one first"))]
    PinOverlaps {
        /// Id of the new pin.
        id: String,
        /// Id of the pin in force.
        other: String,
    },
    /// There are as many rules as the store may have.
    #[snafu(display("there are already {max} rules; release one first"))]
    TooManyRules {
        /// Largest number of rules.
        max: usize,
    },
    /// No rule has this id.
    #[snafu(display("rule {id} does not exist"))]
    NoRule {
        /// Id that was given.
        id: String,
    },
    /// No host wrote the state of the service's traffic.
    #[snafu(display("no host reported the traffic of service {service}; does a host lead?"))]
    NoTraffic {
        /// The service.
        service: ServiceName,
    },
    /// The state of a service's traffic can't be decoded.
    #[snafu(display("entry {key}: not the state of a service's traffic: {source}"))]
    TrafficEntry {
        /// Key of the entry.
        key: String,
        /// Error of the decoder.
        source: serde_json::Error,
    },
}
