//! Flags and environment variables.

use std::net::SocketAddr;
use std::str::FromStr;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use chicoryrail_runtime::HostSettings;
use chicoryrail_runtime::SettingError;
use chicoryrail_runtime::host_settings;
use chicoryrail_runtime::setting;
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
    /// Bearer tokens as they were given; none leaves the API open.
    pub tokens: Vec<String>,
}

impl Settings {
    /// Reads the bearer tokens.
    ///
    /// # Errors
    ///
    /// Tells what is wrong with one, without the secret.
    pub fn tokens(&self) -> Result<Vec<Token>, SettingError> {
        let several: Result<Several<Token>, _> = self.tokens.join(" ").parse();
        several.map(|s| s.0).map_err(|reason| SettingError {
            flag: "token",
            value: "(not shown)".to_owned(),
            reason,
        })
    }
}

/// Parses the settings from flags and, where a flag is missing, environment variables.
#[must_use]
pub fn settings() -> OptionParser<Settings> {
    let host = host_settings();
    let store = store_setting();
    let listen = setting::<SocketAddr>(
        "listen",
        "CHICORYRAIL_ADMIN_LISTEN",
        "ADDR",
        "IP address and port of the administration API, health, metrics and events",
    );
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
    // Neither parsed nor read from the environment by the parser: its errors and its help would show
    // the secrets.
    let tokens = long("token")
        .help(
            "Bearer token of at least 8 characters and whom it stands for; may be given several \
             times, or several separated by spaces; without any the API is open and the header \
             operator names the caller [env:CHICORYRAIL_TOKENS]",
        )
        .argument::<String>("TOKEN=ROLE:OPERATOR:TEAM")
        .many()
        .map(|texts| match std::env::var("CHICORYRAIL_TOKENS") {
            Ok(text) if texts.is_empty() => vec![text],
            _ => texts,
        });
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
