//! Why a command did not succeed.

use std::path::PathBuf;

use chicoryrail_core::DcName;
use chicoryrail_core::OrganisationName;
use chicoryrail_core::ServiceName;
use chicoryrail_core::SiteError;
use chicoryrail_platform::DecodeError;
use chicoryrail_platform::StoreError;
use snafu::Snafu;

/// Why a command did not succeed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// A file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// A file is no configuration. The line itself is not shown: it may hold an API key.
    #[snafu(display("{}: line {line}: field {field}: {reason}", path.display()))]
    Syntax {
        /// The file.
        path: PathBuf,
        /// Line, from 1.
        line: usize,
        /// Path of the field, `.` where it is not known.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A field of a configuration holds an unusable value.
    #[snafu(display("{}: {source}", path.display()))]
    Value {
        /// The file.
        path: PathBuf,
        /// Field, value and what is wrong.
        source: SiteError,
    },
    /// The store did not do what it was asked. The change may have been made where there was no answer.
    #[snafu(display("store: {source}"))]
    Store {
        /// What is known.
        source: StoreError,
    },
    /// An entry of the store can't be read.
    #[snafu(display("{source}"))]
    Entry {
        /// Which, and why.
        source: DecodeError,
    },
    /// A value can't be written.
    #[snafu(display("{source}"))]
    Write {
        /// Why.
        source: serde_json::Error,
    },
    /// A configuration can't be shown as a file.
    #[snafu(display("{source}"))]
    Show {
        /// Why.
        source: toml::ser::Error,
    },
    /// Another version is there than the one expected.
    #[snafu(display("version {found} is there, not {expected}; nothing was changed"))]
    Version {
        /// Version expected.
        expected: u64,
        /// Version found; 0 for none.
        found: u64,
    },
    /// No configuration is stored that could be changed.
    #[snafu(display("no configuration is stored; put one first"))]
    NoConfig,
    /// A changed configuration would hold an unusable value.
    #[snafu(display("{source}"))]
    Unusable {
        /// Field, value and what is wrong.
        source: SiteError,
    },
    /// The configuration names no such organisation.
    #[snafu(display("no organisation is called {name}"))]
    NoOrganisation {
        /// Name that was given.
        name: OrganisationName,
    },
    /// The configuration names the organisation already.
    #[snafu(display("an organisation is called {name} already"))]
    OrganisationExists {
        /// Name that was given.
        name: OrganisationName,
    },
    /// The organisation holds no key with the fingerprint, or several.
    #[snafu(display("{found} keys of {name} have the fingerprint {fingerprint}, not one"))]
    NoSuchKey {
        /// The organisation.
        name: OrganisationName,
        /// Fingerprint that was given.
        fingerprint: String,
        /// Keys that have it.
        found: usize,
    },
    /// The system has no random bytes for a key.
    #[snafu(display("no random bytes for a key: {source}"))]
    NoRandom {
        /// What the system says.
        source: rand::rand_core::OsError,
    },
    /// Taking the data centre out would leave too little.
    #[snafu(display(
        "without {dc}, service {service} has {left} of {all} slots left, less than half; --force goes on"
    ))]
    TooSmall {
        /// The data centre.
        dc: DcName,
        /// The service that would suffer most.
        service: ServiceName,
        /// Slots outside of the data centre.
        left: u32,
        /// Slots of all servers that take work.
        all: u32,
    },
    /// No server stands in the data centre.
    #[snafu(display("no server is registered in data centre {dc}"))]
    NoSuchDc {
        /// The data centre.
        dc: DcName,
    },
    /// Nothing is stored of the service's keys.
    #[snafu(display("service {service} has no key record; it has no keys, or nobody leads"))]
    NoRecord {
        /// The service.
        service: ServiceName,
    },
}
