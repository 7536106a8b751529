//! Flags, environment variables and commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use chicoryrail_core::Digest;
use chicoryrail_core::Millis;
use chicoryrail_runtime::setting;
use chicoryrail_runtime::switch_setting;

/// Settings of a run of `chicoryctl`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Bearer token.
    pub token: Option<String>,
    /// Operator's name, for an API without tokens.
    pub operator: Option<String>,
    /// Whether answers are printed as JSON.
    pub json: bool,
    /// What to do.
    pub command: Command,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Draws a key.
    KeyNew {
        /// New file for the private key.
        file: PathBuf,
    },
    /// Uploads a bundle.
    BundlePut {
        /// File with the bundle's TOML.
        file: PathBuf,
    },
    /// Signs off a bundle.
    BundleSign {
        /// The bundle.
        digest: Digest,
        /// File with the signer's private key.
        key: PathBuf,
    },
    /// Brings a bundle into force.
    BundleRoll {
        /// The bundle.
        digest: Digest,
        /// Version that must be in force before.
        expect: Option<u64>,
        /// How the roll is followed.
        wait: Wait,
    },
    /// Lists bundles.
    BundleList,
    /// Prints a bundle's text.
    BundleShow {
        /// The bundle.
        digest: Digest,
    },
    /// Compares two bundles.
    BundleDiff {
        /// The older bundle.
        before: Digest,
        /// The newer bundle.
        after: Digest,
    },
    /// Takes a place out or brings it back.
    Move {
        /// Kind of place, as it stands in paths of the API.
        kind: &'static str,
        /// Which way.
        way: Way,
        /// Name of the place.
        name: String,
        /// Goes on where the rest could not bear the load.
        force: bool,
        /// How the move is followed.
        wait: Wait,
    },
    /// Shows versions, outs and hosts.
    Status,
    /// Shows who owns a key.
    Owner {
        /// The service.
        service: String,
        /// The key.
        key: String,
    },
    /// Shows who keeps a version from being in force everywhere.
    Pending {
        /// The version; the newest where none is given.
        version: Option<u64>,
    },
}

/// Whether a command waits until its change is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// Whether it waits.
    pub wait: bool,
    /// Longest time it waits.
    pub limit: Millis,
}

/// Out of service or back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Bpaf)]
pub enum Way {
    /// Takes it out of service: it gets no new work
    #[bpaf(command)]
    Out,
    /// Brings it back into service, on a ramp
    #[bpaf(command)]
    In,
}

/// Parses flags, environment variables and the command.
#[must_use]
pub fn settings() -> OptionParser<Settings> {
    let admin = setting::<SocketAddr>(
        "admin",
        "CHICORYRAIL_ADMIN",
        "ADDR",
        "IP address and port of the administration API of any host",
    )
    .fallback(SocketAddr::from(([127, 0, 0, 1], 0)));
    // Not read from the environment by the parser: its help would show the secret.
    let token = long("token")
        .help("Bearer token [env:CHICORYRAIL_TOKEN]")
        .argument::<String>("TOKEN")
        .optional()
        .map(|token| token.or_else(|| std::env::var("CHICORYRAIL_TOKEN").ok()));
    let operator = long("operator")
        .env("CHICORYRAIL_OPERATOR")
        .help("Name of the operator, where the API has no tokens")
        .argument::<String>("NAME")
        .optional();
    let json = switch_setting("json", "CHICORYRAIL_JSON", "Prints answers as JSON");
    let command = command();
    construct!(Settings {
        admin,
        token,
        operator,
        json,
        command
    })
    .guard(
        |s| matches!(s.command, Command::KeyNew { .. }) || s.admin.port() != 0,
        "--admin ADDR (CHICORYRAIL_ADMIN) must name the administration API with a port above 0",
    )
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("chicoryrail's operators' command line")
    .footer("Exit codes: 0 done, 1 refused with a result code, 2 bad usage or setting")
}

fn command() -> impl Parser<Command> {
    let key = key_command();
    let bundle = bundle_commands();
    let dc = place(
        "dc",
        "data-centres",
        "Takes a data centre out or brings it back",
    );
    let host = place("host", "hosts", "Takes an entry host out or brings it back");
    let server = place("server", "servers", "Takes a server out or brings it back");
    let status = bpaf::pure(Command::Status)
        .to_options()
        .descr("Shows the version in force, what is out, and all hosts")
        .command("status");
    let service = positional::<String>("SERVICE").help("Name of a keyed service");
    let key_text = positional::<String>("KEY").help("Key, as callers write it");
    let owner = construct!(Command::Owner { service, key(key_text) })
        .to_options()
        .descr("Shows which server owns a key")
        .command("owner");
    let version = long("version")
        .env("CHICORYRAIL_VERSION")
        .help("Version to ask about; the newest where none is given")
        .argument::<u64>("N")
        .optional();
    let pending = construct!(Command::Pending { version })
        .to_options()
        .descr("Shows which hosts don't have a version in force yet")
        .command("pending");
    construct!([key, bundle, dc, host, server, status, owner, pending])
}

fn key_command() -> impl Parser<Command> {
    let file = positional::<PathBuf>("FILE").help("New file for the private key");
    construct!(Command::KeyNew { file })
        .to_options()
        .descr("Draws a key, writes the private part to FILE and prints the public part")
        .command("new")
        .to_options()
        .descr("Operators' signing keys")
        .command("key")
}

fn bundle_commands() -> impl Parser<Command> {
    let file = positional::<PathBuf>("FILE").help("File with the bundle's TOML");
    let put = construct!(Command::BundlePut { file })
        .to_options()
        .descr("Validates and uploads a bundle, and prints its digest")
        .command("put");
    let key = long("key")
        .env("CHICORYRAIL_KEY")
        .help("File with the signer's private key")
        .argument::<PathBuf>("FILE");
    let sign_digest = digest("DIGEST");
    let sign = construct!(Command::BundleSign { key, digest(sign_digest) })
        .to_options()
        .descr("Signs off a bundle that another operator put")
        .command("sign");
    let expect = long("expect")
        .env("CHICORYRAIL_EXPECT")
        .help("Refuses the roll unless this version is in force")
        .argument::<u64>("N")
        .optional();
    let wait = wait();
    let roll_digest = digest("DIGEST");
    let roll = construct!(Command::BundleRoll { expect, wait, digest(roll_digest) })
        .to_options()
        .descr("Brings a signed-off bundle into force for its team")
        .command("roll");
    let list = bpaf::pure(Command::BundleList)
        .to_options()
        .descr("Lists all bundles")
        .command("list");
    let show_digest = digest("DIGEST");
    let show = construct!(Command::BundleShow { digest(show_digest) })
        .to_options()
        .descr("Prints a bundle's text")
        .command("show");
    let before = digest("BEFORE");
    let after = digest("AFTER");
    let diff = construct!(Command::BundleDiff { before, after })
        .to_options()
        .descr("Compares two bundles field by field")
        .command("diff");
    construct!([put, sign, roll, list, show, diff])
        .to_options()
        .descr("Bundles: put, sign off, roll, list, show, compare")
        .command("bundle")
}

fn place(name: &'static str, kind: &'static str, text: &'static str) -> impl Parser<Command> {
    let direction = |way: Way, command: &'static str, text: &'static str| {
        let force = switch_setting(
            "force",
            "CHICORYRAIL_FORCE",
            "Goes on where the rest could not bear it",
        );
        let wait = wait();
        let name = positional::<String>("NAME");
        construct!(force, wait, name)
            .map(move |(force, wait, name)| Command::Move {
                kind,
                way,
                name,
                force,
                wait,
            })
            .to_options()
            .descr(text)
            .command(command)
    };
    let out = direction(
        Way::Out,
        "out",
        "Out of service: no new work, nothing is cut",
    );
    let back = direction(Way::In, "in", "Back into service, on a ramp");
    construct!([out, back])
        .to_options()
        .descr(text)
        .command(name)
}

fn wait() -> impl Parser<Wait> {
    let wait = switch_setting(
        "wait",
        "CHICORYRAIL_WAIT",
        "Prints the hosts that are missing until the change is in force everywhere",
    );
    let limit = long("wait-ms")
        .env("CHICORYRAIL_WAIT_MS")
        .help("Longest wait in milliseconds")
        .argument::<u64>("N")
        .fallback(60_000)
        .display_fallback()
        .map(Millis);
    construct!(Wait { wait, limit })
}

fn digest(name: &'static str) -> impl Parser<Digest> {
    positional::<String>(name)
        .help("Digest of a bundle, 64 hexadecimal characters")
        .parse(|text| {
            Digest::parse(&text)
                .ok_or_else(|| format!("{text:?} is not 64 lower-case hexadecimal characters"))
        })
}
