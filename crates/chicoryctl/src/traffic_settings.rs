//! Flags of the `traffic` commands.

use bpaf::Parser;
use bpaf::construct;
use bpaf::positional;
use chicoryrail_core::ServerName;
use chicoryrail_core::ServiceName;
use chicoryrail_policy::Limited;
use chicoryrail_policy::Share;
use chicoryrail_runtime::setting_parser;

use crate::KeySpan;

/// A `traffic` command.
#[derive(Clone, Debug, PartialEq)]
pub enum TrafficCommand {
    /// Shows demand, slots, refusals, busy keys and slow servers of a service, over all hosts.
    Show {
        /// The service.
        service: ServiceName,
    },
    /// Admits only a share of a kind's or a caller's requests.
    Limit {
        /// Share that is admitted.
        share: Share,
        /// Service of the requests.
        service: ServiceName,
        /// Which requests.
        limited: Limited,
    },
    /// Gives a server only a share of its slots and key weight.
    Server {
        /// The share.
        share: Share,
        /// The server.
        server: ServerName,
    },
    /// Keeps a range of keys with a server.
    Pin {
        /// The server.
        server: ServerName,
        /// The keyed service.
        service: ServiceName,
        /// The keys.
        span: KeySpan,
    },
    /// Lists the rules in force.
    List,
    /// Ends a rule.
    Release {
        /// The rule's id, as `list` shows it.
        id: String,
    },
}

/// Parses the `traffic` commands.
pub(crate) fn traffic_commands() -> impl Parser<TrafficCommand> {
    let list = bpaf::pure(TrafficCommand::List)
        .to_options()
        .descr("Lists the rules in force")
        .command("list");
    let id = positional::<String>("ID").help("Id of the rule, as list shows it");
    let release = construct!(TrafficCommand::Release { id })
        .to_options()
        .descr("Ends a rule")
        .command("release");
    let service = positional::<ServiceName>("SERVICE").help("Name of the service");
    let show = construct!(TrafficCommand::Show { service })
        .to_options()
        .descr(
            "Watches a service for some seconds: demand, slots, refusals, busy keys, slow servers",
        )
        .command("show");
    construct!([show, limit(), server(), pin(), list, release])
}

fn limit() -> impl Parser<TrafficCommand> {
    let share = share("Share of the requests that is admitted, 0 to 1");
    let service = service();
    let limited = positional::<Limited>("KIND|CALLER")
        .help("A route's name, a kind of route such as read or order, or a caller's IP address");
    construct!(TrafficCommand::Limit {
        share,
        service,
        limited
    })
    .to_options()
    .descr("Admits only a share of a kind's or a caller's requests; the others get 429")
    .command("limit")
}

fn server() -> impl Parser<TrafficCommand> {
    let share = share("Share of the server's slots and key weight, 0 to 1; 0 takes it out of use");
    let server = positional::<ServerName>("NAME").help("Name of the server");
    construct!(TrafficCommand::Server { share, server })
        .to_options()
        .descr("Gives a server only a share of its slots and key weight")
        .command("server")
}

fn pin() -> impl Parser<TrafficCommand> {
    let server = setting_parser::<ServerName>(
        "server",
        "CHICORYRAIL_SERVER",
        "NAME",
        "Server that keeps the keys",
    );
    let service = service();
    let span = positional::<String>("FIRST-LAST")
        .help("First and last key, 0 to 65535")
        .parse(|text| text.parse::<KeySpan>());
    construct!(TrafficCommand::Pin {
        server,
        service,
        span
    })
    .to_options()
    .descr("Keeps a range of keys with a server")
    .command("pin")
}

fn share(help: &'static str) -> impl Parser<Share> {
    setting_parser::<Share>("share", "CHICORYRAIL_SHARE", "F", help)
}

fn service() -> impl Parser<ServiceName> {
    setting_parser::<ServiceName>("service", "CHICORYRAIL_SERVICE", "NAME", "The service")
}
