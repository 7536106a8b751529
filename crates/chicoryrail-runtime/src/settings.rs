//! Settings that every process of a host has.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;

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

/// Parses one setting from its flag or, where that is missing, its environment variable.
///
/// An unusable value is reported with the flag and the value, which the command line library does
/// not do by itself.
#[must_use]
pub fn setting<T>(
    flag: &'static str,
    env: &'static str,
    kind: &'static str,
    help: &'static str,
) -> impl Parser<T>
where
    T: FromStr + 'static,
    T::Err: Display,
{
    long(flag)
        .env(env)
        .help(help)
        .argument::<String>(kind)
        .parse(move |text| {
            text.parse()
                .map_err(|e: T::Err| format!("--{flag} = {text}: {e}"))
        })
}

/// Parses a switch that stands as a flag, or is `1` or `true` in the environment variable.
///
/// The command line library alone takes any value of the variable for yes, `0` and `false` too.
#[must_use]
pub fn switch_setting(
    flag: &'static str,
    env: &'static str,
    help: &'static str,
) -> impl Parser<bool> {
    let text = format!("{help} [env:{env}=1]");
    long(flag)
        .help(text.as_str())
        .switch()
        .map(move |on| on || std::env::var(env).is_ok_and(|v| v == "1" || v == "true"))
}

/// Parses the settings from flags and, where a flag is missing, environment variables.
pub fn host_settings() -> impl Parser<HostSettings> {
    let host = setting(
        "host",
        "CHICORYRAIL_HOST",
        "NAME",
        "Name of this host, as the platform's host list has it",
    )
    .guard(
        HostName::is_valid,
        "--host must be 1 to 64 characters of a-z 0-9 - _ .",
    );
    let dc = setting(
        "data-centre",
        "CHICORYRAIL_DATA_CENTRE",
        "NAME",
        "Data centre that this host stands in",
    )
    .guard(
        DcName::is_valid,
        "--data-centre must be 1 to 64 characters of a-z 0-9 - _ .",
    );
    let list = setting(
        "host-list",
        "CHICORYRAIL_HOST_LIST",
        "ADDR",
        "IP address and port of the platform's list of hosts",
    );
    construct!(HostSettings { host, dc, list })
}

/// Parses the address of the platform's store, for the processes that call it.
#[must_use]
pub fn store_setting() -> impl Parser<SocketAddr> {
    setting(
        "store",
        "CHICORYRAIL_STORE",
        "ADDR",
        "IP address and port of the platform's key-value service",
    )
}
