//! Flags and environment variables.

use std::net::SocketAddr;
use std::str::FromStr;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use chicoryrail_runtime::HostSettings;
use chicoryrail_runtime::host_settings;
use chicoryrail_runtime::store_setting;

use crate::Operator;
use crate::Token;

/// Settings of the process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Host, data centre and host list.
    pub host: HostSettings,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address that the API listens on.
    pub listen: SocketAddr,
    /// Operators whose signatures count.
    pub operators: Vec<Operator>,
    /// Bearer tokens; none leaves the API open.
    pub tokens: Vec<Token>,
}

/// Parses the settings from flags and, where a flag is missing, environment variables.
#[must_use]
pub fn settings() -> OptionParser<Settings> {
    let host = host_settings();
    let store = store_setting();
    let listen = long("listen")
        .env("CHICORYRAIL_ADMIN_LISTEN")
        .help("IP address and port of the administration API, health, metrics and events")
        .argument::<SocketAddr>("ADDR");
    let operators = long("operator")
        .env("CHICORYRAIL_OPERATORS")
        .help(
            "Operator whose signature counts: role view or operate, team or * for every team, \
             ed25519 public key in base64; may be given several times, or several separated by \
             spaces",
        )
        .argument::<Several<Operator>>("NAME=ROLE:TEAM:PUBLICKEY")
        .many()
        .map(flat);
    let tokens = long("token")
        .env("CHICORYRAIL_TOKENS")
        .help(
            "Bearer token of at least 8 characters and whom it stands for; may be given several \
             times, or several separated by spaces; without any the API is open and the header \
             operator names the caller",
        )
        .argument::<Several<Token>>("TOKEN=ROLE:OPERATOR:TEAM")
        .many()
        .map(flat);
    construct!(Settings {
        host,
        store,
        listen,
        operators,
        tokens
    })
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("chicoryrail's administration API: bundles, sign-off, roll, take-out, status")
}

/// Values separated by spaces, so that one environment variable can hold several.
#[derive(Clone, Debug)]
struct Several<T>(Vec<T>);

impl<T: FromStr<Err = String>> FromStr for Several<T> {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.split_whitespace()
            .map(T::from_str)
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

fn flat<T>(lists: Vec<Several<T>>) -> Vec<T> {
    lists.into_iter().flat_map(|l| l.0).collect()
}
