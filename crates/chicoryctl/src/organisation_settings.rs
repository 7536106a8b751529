//! Flags of the `organisation` commands.

use bpaf::Parser;
use bpaf::construct;
use bpaf::positional;
use chicoryrail_core::OrganisationName;
use chicoryrail_runtime::setting_parser;

/// An `organisation` command.
#[derive(Clone, Debug, PartialEq)]
pub enum OrganisationCommand {
    /// Lists organisations, their limits and the fingerprints of their API keys.
    List,
    /// Adds an organisation without an API key.
    Add {
        /// Requests per second over all hosts; 0 for no limit.
        rate: f64,
        /// Requests allowed at once above the rate.
        burst: f64,
        /// Priority of its requests in place of the routes' priorities; 0 is the highest.
        rank: Option<u8>,
        /// Name of the new organisation.
        name: OrganisationName,
    },
    /// Sets an organisation's rate limit.
    Limit {
        /// Requests per second over all hosts; 0 for no limit.
        rate: f64,
        /// Requests allowed at once above the rate.
        burst: f64,
        /// The organisation.
        name: OrganisationName,
    },
    /// Creates an API key and shows it this once.
    NewKey {
        /// The organisation.
        name: OrganisationName,
    },
    /// Removes an API key.
    DropKey {
        /// The organisation.
        name: OrganisationName,
        /// The key's fingerprint as `list` shows it, or a prefix of it.
        fingerprint: String,
    },
}

/// Parses the `organisation` commands.
pub(crate) fn organisation_commands() -> impl Parser<OrganisationCommand> {
    let list = bpaf::pure(OrganisationCommand::List)
        .to_options()
        .descr("Lists organisations, their limits and the fingerprints of their API keys")
        .command("list");
    construct!([list, add(), limit(), new_key(), drop_key()])
}

fn name() -> impl Parser<OrganisationName> {
    positional::<OrganisationName>("NAME").help("Name of the organisation")
}

fn rate() -> impl Parser<f64> {
    setting_parser::<f64>(
        "rate",
        "CHICORYRAIL_RATE",
        "N",
        "Requests per second over all hosts; 0 for no limit",
    )
    .fallback(0.0)
}

fn burst() -> impl Parser<f64> {
    setting_parser::<f64>(
        "burst",
        "CHICORYRAIL_BURST",
        "N",
        "Requests allowed at once above the rate",
    )
    .fallback(0.0)
}

fn add() -> impl Parser<OrganisationCommand> {
    let rank = setting_parser::<u8>(
        "rank",
        "CHICORYRAIL_RANK",
        "N",
        "Priority of its requests in place of the routes' priorities; 0 is the highest",
    )
    .optional();
    let (rate, burst, name) = (rate(), burst(), name());
    construct!(OrganisationCommand::Add {
        rate,
        burst,
        rank,
        name
    })
    .to_options()
    .descr("Adds an organisation without an API key")
    .command("add")
}

fn limit() -> impl Parser<OrganisationCommand> {
    let (rate, burst, name) = (rate(), burst(), name());
    construct!(OrganisationCommand::Limit { rate, burst, name })
        .to_options()
        .descr("Sets an organisation's rate limit")
        .command("limit")
}

fn new_key() -> impl Parser<OrganisationCommand> {
    let name = name();
    construct!(OrganisationCommand::NewKey { name })
        .to_options()
        .descr("Creates an API key and shows it this once")
        .command("new-key")
}

fn drop_key() -> impl Parser<OrganisationCommand> {
    let name = name();
    let fingerprint = positional::<String>("FINGERPRINT")
        .help("Fingerprint of the key as `list` shows it, or a prefix of it");
    construct!(OrganisationCommand::DropKey { name, fingerprint })
        .to_options()
        .descr("Removes an API key")
        .command("drop-key")
}
