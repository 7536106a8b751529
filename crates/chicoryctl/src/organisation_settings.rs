//! Flags of the commands on organisations.

use bpaf::Parser;
use bpaf::construct;
use bpaf::positional;
use chicoryrail_core::OrganisationName;
use chicoryrail_runtime::setting;

/// What to do with organisations.
#[derive(Clone, Debug, PartialEq)]
pub enum OrganisationCommand {
    /// Lists them, with the fingerprints of their keys.
    List,
    /// Adds one, without a key.
    Add {
        /// Requests a second over all hosts; 0 for no limit.
        rate: f64,
        /// Requests that may come at once beside the rate.
        burst: f64,
        /// Rank of its requests, in place of the routes'.
        rank: Option<u8>,
        /// Its name.
        name: OrganisationName,
    },
    /// Sets a limit.
    Limit {
        /// Requests a second over all hosts; 0 for no limit.
        rate: f64,
        /// Requests that may come at once beside the rate.
        burst: f64,
        /// The organisation.
        name: OrganisationName,
    },
    /// Creates a key and shows it once.
    NewKey {
        /// The organisation.
        name: OrganisationName,
    },
    /// Takes a key away.
    DropKey {
        /// The organisation.
        name: OrganisationName,
        /// The key's fingerprint, as the list shows it.
        fingerprint: String,
    },
}

/// Parses the commands on organisations.
pub(crate) fn organisation_commands() -> impl Parser<OrganisationCommand> {
    let list = bpaf::pure(OrganisationCommand::List)
        .to_options()
        .descr("Lists organisations, their limits and their keys' fingerprints")
        .command("list");
    construct!([list, add(), limit(), new_key(), drop_key()])
}

fn name() -> impl Parser<OrganisationName> {
    positional::<OrganisationName>("NAME").help("Name of the organisation")
}

fn rate() -> impl Parser<f64> {
    setting::<f64>(
        "rate",
        "CHICORYRAIL_RATE",
        "N",
        "Requests a second over all hosts; 0 for no limit",
    )
    .fallback(0.0)
}

fn burst() -> impl Parser<f64> {
    setting::<f64>(
        "burst",
        "CHICORYRAIL_BURST",
        "N",
        "Requests that may come at once beside the rate",
    )
    .fallback(0.0)
}

fn add() -> impl Parser<OrganisationCommand> {
    let rank = setting::<u8>(
        "rank",
        "CHICORYRAIL_RANK",
        "N",
        "Rank of its requests in place of the routes'; 0 goes first",
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
    .descr("Adds an organisation, without a key")
    .command("add")
}

fn limit() -> impl Parser<OrganisationCommand> {
    let (rate, burst, name) = (rate(), burst(), name());
    construct!(OrganisationCommand::Limit { rate, burst, name })
        .to_options()
        .descr("Sets how many requests of an organisation run")
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
    let fingerprint = positional::<String>("FINGERPRINT").help("Fingerprint that the list shows");
    construct!(OrganisationCommand::DropKey { name, fingerprint })
        .to_options()
        .descr("Takes an API key away")
        .command("drop-key")
}
