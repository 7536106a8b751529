//! Settings that every process of a host has.

use std::net::SocketAddr;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use chicoryrail_core::ResultCode;
use snafu::Snafu;

/// A flag or environment variable with an unusable value.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("--{flag} = {value}: {reason} (result {})", ResultCode::SettingInvalid.number()))]
pub struct SettingError {
    /// Flag without its dashes.
    pub flag: &'static str,
    /// Value found.
    pub value: String,
    /// What is wrong with it.
    pub reason: String,
}

/// What each process learns of its host and of the platform from its settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSettings {
    /// Name of the host.
    pub host: HostName,
    /// Data centre of the host.
    pub dc: DcName,
    /// Address of the platform's host list.
    pub list: SocketAddr,
}

/// Parses the settings from flags and, where a flag is missing, environment variables.
pub fn host_settings() -> impl Parser<HostSettings> {
    let host = long("host")
        .env("CHICORYRAIL_HOST")
        .help("Name of this host, as the platform's host list has it")
        .argument::<HostName>("NAME")
        .guard(
            HostName::is_valid,
            "must be 1 to 64 characters of a-z 0-9 - _ .",
        );
    let dc = long("data-centre")
        .env("CHICORYRAIL_DATA_CENTRE")
        .help("Data centre that this host stands in")
        .argument::<DcName>("NAME")
        .guard(
            DcName::is_valid,
            "must be 1 to 64 characters of a-z 0-9 - _ .",
        );
    let list = long("host-list")
        .env("CHICORYRAIL_HOST_LIST")
        .help("IP address and port of the platform's list of hosts")
        .argument::<SocketAddr>("ADDR");
    construct!(HostSettings { host, dc, list })
}

/// Parses the address of the platform's store, for the processes that call it.
#[must_use]
pub fn store_setting() -> impl Parser<SocketAddr> {
    long("store")
        .env("CHICORYRAIL_STORE")
        .help("IP address and port of the platform's key-value service")
        .argument::<SocketAddr>("ADDR")
}
