//! Flags, environment variables and commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::positional;
use chicoryrail_core::DcName;
use chicoryrail_core::ServiceName;
use chicoryrail_runtime::setting_parser;
use chicoryrail_runtime::switch_parser;

use crate::BlockedCommand;
use crate::OrganisationCommand;
use crate::TrafficCommand;
use crate::blocked::blocked_commands;
use crate::organisation_settings::organisation_commands;
use crate::traffic_settings::traffic_commands;

/// Settings of a run of `chicoryctl`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Address of the store; not needed for `check`.
    pub store: Option<SocketAddr>,
    /// Whether output is JSON.
    pub json: bool,
    /// The command to run.
    pub command: Command,
}

/// A command.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Checks a configuration file.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Stores a configuration file as the next version.
    Put {
        /// The file.
        file: PathBuf,
        /// Version that must be stored before, 0 for none; any if `None`.
        expect: Option<u64>,
    },
    /// Prints the stored configuration in the form of a configuration file.
    Show,
    /// Takes a data centre out of service: its servers get no new requests and lose their keys.
    Out {
        /// The data centre.
        dc: DcName,
        /// Whether to go ahead even if a service keeps less than half of its slots.
        force: bool,
    },
    /// Brings a data centre back into service.
    In {
        /// The data centre.
        dc: DcName,
    },
    /// Shows or changes organisations.
    Organisation(OrganisationCommand),
    /// Shows or changes the requests that are refused because they end servers.
    Blocked(BlockedCommand),
    /// Shows or changes the rules that limit requests or servers, or keep keys with a server.
    Traffic(TrafficCommand),
    /// Shows the configuration version, leader, hosts, services, organisations and data centres out of service.
    Status,
    /// Shows which server owns a key.
    Owner {
        /// The keyed service.
        service: ServiceName,
        /// The key.
        key: u16,
    },
}

/// Parses flags, environment variables and the command.
#[must_use]
pub fn settings() -> OptionParser<Settings> {
    let store = setting_parser::<SocketAddr>(
        "store",
        "CHICORYRAIL_STORE",
        "ADDR",
        "IP address and port of the platform's store",
    )
    .optional();
    let json = switch_parser("json", "CHICORYRAIL_JSON", "Prints output as JSON");
    let command = command();
    construct!(Settings {
        store,
        json,
        command
    })
    .guard(
        |s| matches!(s.command, Command::Check { .. }) || s.store.is_some(),
        "--store ADDR (CHICORYRAIL_STORE) must name the platform's store",
    )
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Command line for operators of chicoryrail")
    .footer("Exit codes: 0 done, 1 refused or no reply from the store, 2 bad usage or setting")
}

fn command() -> impl Parser<Command> {
    let file = file();
    let check = construct!(Command::Check { file })
        .to_options()
        .descr("Checks a configuration file")
        .command("check");
    let config = config_commands();
    let dc = dc_commands();
    let status = bpaf::pure(Command::Status)
        .to_options()
        .descr("Shows leader, hosts, services, organisations and data centres out of service")
        .command("status");
    let service = positional::<ServiceName>("SERVICE").help("Name of a keyed service");
    let key = positional::<u16>("KEY").help("Key, 0 to 65535");
    let owner = construct!(Command::Owner { service, key })
        .to_options()
        .descr("Shows which server owns a key")
        .command("owner");
    let organisation = organisation_commands().map(Command::Organisation);
    let organisation = organisation
        .to_options()
        .descr("Shows or changes organisations: list, add, limit, new-key, drop-key")
        .command("organisation");
    let blocked = blocked_commands().map(Command::Blocked);
    let blocked = blocked
        .to_options()
        .descr("Shows or changes requests refused because they end servers: list, add, dismiss")
        .command("blocked");
    let traffic = traffic_commands().map(Command::Traffic);
    let traffic = traffic
        .to_options()
        .descr("Shows traffic, and shows or changes rules for it: show, limit, server, pin, list, release")
        .command("traffic");
    construct!([
        check,
        config,
        dc,
        organisation,
        blocked,
        traffic,
        status,
        owner
    ])
}

fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("Configuration file")
}

fn config_commands() -> impl Parser<Command> {
    let expect = setting_parser::<u64>(
        "expect",
        "CHICORYRAIL_EXPECT",
        "N",
        "Fails unless this version is stored; 0 for none",
    )
    .optional();
    let file = file();
    let put = construct!(Command::Put { expect, file })
        .to_options()
        .descr("Checks a configuration file and stores it as the next version")
        .command("put");
    let show = bpaf::pure(Command::Show)
        .to_options()
        .descr("Prints the stored configuration in the form of a configuration file")
        .command("show");
    construct!([put, show])
        .to_options()
        .descr("Stores or shows the configuration: put, show")
        .command("config")
}

fn dc_commands() -> impl Parser<Command> {
    let force = switch_parser(
        "force",
        "CHICORYRAIL_FORCE",
        "Goes ahead even if a service keeps less than half of its slots",
    );
    let dc = positional::<DcName>("NAME");
    let out = construct!(Command::Out { force, dc })
        .to_options()
        .descr("Takes a data centre out of service: its servers get no new requests")
        .command("out");
    let dc = positional::<DcName>("NAME");
    let back = construct!(Command::In { dc })
        .to_options()
        .descr("Brings a data centre back into service")
        .command("in");
    construct!([out, back])
        .to_options()
        .descr("Takes a data centre out of service or brings it back: out, in")
        .command("dc")
}
