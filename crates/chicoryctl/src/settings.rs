//! Flags, environment variables and commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::positional;
use chicoryrail_core::DcName;
use chicoryrail_core::ServiceName;
use chicoryrail_runtime::setting;
use chicoryrail_runtime::switch_setting;

use crate::OrganisationCommand;
use crate::organisation_settings::organisation_commands;

/// Settings of a run of `chicoryctl`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Address of the store; `check` needs none.
    pub store: Option<SocketAddr>,
    /// Whether answers are printed as JSON.
    pub json: bool,
    /// What to do.
    pub command: Command,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Checks a configuration file.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Puts a configuration as the next version.
    Put {
        /// The file.
        file: PathBuf,
        /// Version that must be there before; any where `None`.
        expect: Option<u64>,
    },
    /// Prints the configuration as a file.
    Show,
    /// Takes a data centre out: its servers get nothing.
    Out {
        /// The data centre.
        dc: DcName,
        /// Whether it goes on where the rest is too small.
        force: bool,
    },
    /// Brings a data centre back.
    In {
        /// The data centre.
        dc: DcName,
    },
    /// Shows or changes organisations.
    Organisation(OrganisationCommand),
    /// Shows hosts, leader, services, servers and what is out.
    Status,
    /// Shows which server holds a key.
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
    let store = setting::<SocketAddr>(
        "store",
        "CHICORYRAIL_STORE",
        "ADDR",
        "IP address and port of the platform's store",
    )
    .optional();
    let json = switch_setting("json", "CHICORYRAIL_JSON", "Prints answers as JSON");
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
    .descr("chicoryrail's operators' command line")
    .footer("Exit codes: 0 done, 1 refused or no answer, 2 bad usage or setting")
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
        .descr("Shows hosts, leader, services, servers and what is out")
        .command("status");
    let service = positional::<ServiceName>("SERVICE").help("Name of a keyed service");
    let key = positional::<u16>("KEY").help("Key, 0 to 65535");
    let owner = construct!(Command::Owner { service, key })
        .to_options()
        .descr("Shows which server holds a key")
        .command("owner");
    let organisation = organisation_commands().map(Command::Organisation);
    let organisation = organisation
        .to_options()
        .descr("Organisations: list, add, limit, new-key, drop-key")
        .command("organisation");
    construct!([check, config, dc, organisation, status, owner])
}

fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("Configuration file")
}

fn config_commands() -> impl Parser<Command> {
    let expect = setting::<u64>(
        "expect",
        "CHICORYRAIL_EXPECT",
        "N",
        "Refuses the change unless this version is there",
    )
    .optional();
    let file = file();
    let put = construct!(Command::Put { expect, file })
        .to_options()
        .descr("Checks a configuration file and puts it as the next version")
        .command("put");
    let show = bpaf::pure(Command::Show)
        .to_options()
        .descr("Prints the configuration that is there as a file")
        .command("show");
    construct!([put, show])
        .to_options()
        .descr("The configuration: put, show")
        .command("config")
}

fn dc_commands() -> impl Parser<Command> {
    let force = switch_setting(
        "force",
        "CHICORYRAIL_FORCE",
        "Goes on where the rest is too small",
    );
    let dc = positional::<DcName>("NAME");
    let out = construct!(Command::Out { force, dc })
        .to_options()
        .descr("Takes a data centre out: its servers get nothing new")
        .command("out");
    let dc = positional::<DcName>("NAME");
    let back = construct!(Command::In { dc })
        .to_options()
        .descr("Brings a data centre back")
        .command("in");
    construct!([out, back])
        .to_options()
        .descr("Takes a data centre out or brings it back")
        .command("dc")
}
