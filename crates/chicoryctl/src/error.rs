//! Why a command did not succeed.

use std::path::PathBuf;

use chicoryrail_core::DcName;
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
    /// A file is no configuration.
    #[snafu(display("{}: {}", path.display(), source.to_string().trim_end()))]
    Syntax {
        /// The file.
        path: PathBuf,
        /// Line, field and what is wrong.
        source: toml::de::Error,
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
