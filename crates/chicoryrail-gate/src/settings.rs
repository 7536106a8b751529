//! Flags and environment variables.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use chicoryrail_core::Millis;
use chicoryrail_runtime::HostSettings;
use chicoryrail_runtime::host_settings;
use chicoryrail_runtime::setting;

use crate::Placement;

/// Bounds on callers and on waiting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub head: usize,
    /// Most headers of a request.
    pub headers: usize,
    /// Time in which a head must arrive.
    pub head_time: Millis,
    /// Time in which the first part of a body must arrive.
    pub body_time: Millis,
    /// Connections of callers open at a time.
    pub connections: u32,
    /// Longest time a request is held while its owner is unknown or moves.
    pub hold: Millis,
    /// Time between a stop signal and the end of new work, in which the balancer takes note.
    pub balancer_wait: Millis,
    /// Longest time a leaving gate waits until other gates hold its servers.
    pub handover: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 << 10,
            headers: 64,
            head_time: Millis(15_000),
            body_time: Millis(5_000),
            connections: 4_000,
            hold: Millis(1_500),
            balancer_wait: Millis(500),
            handover: Millis(3_000),
        }
    }
}

/// Everything the process learns at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Host, data centre and platform.
    pub host: HostSettings,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for peers.
    pub inner: SocketAddr,
    /// Listener for health, metrics and events.
    pub observe: SocketAddr,
    /// Bounds.
    pub limits: Limits,
    /// How a server of a free service is chosen.
    pub placement: Placement,
}

/// Parses the settings of a gate.
#[must_use]
pub fn settings() -> OptionParser<Settings> {
    let host = host_settings();
    let callers = address("callers", "CHICORYRAIL_CALLERS", "Listener for callers");
    let inner = address("inner", "CHICORYRAIL_GATE_INNER", "Listener for peers");
    let observe = address(
        "observe",
        "CHICORYRAIL_GATE_OBSERVE",
        "Listener for health, metrics and events",
    );
    let limits = limits();
    let placement = setting(
        "placement",
        "CHICORYRAIL_PLACEMENT",
        "NAME",
        "How a server of a free service is chosen: policy, round-robin or least-requests",
    )
    .fallback(Placement::Policy);
    construct!(Settings {
        host,
        callers,
        inner,
        observe,
        limits,
        placement,
    })
    .to_options()
    .descr("Admits, queues, routes and retries callers' requests")
    .version(env!("CARGO_PKG_VERSION"))
}

fn limits() -> impl Parser<Limits> {
    let d = Limits::default();
    let head = number(
        "head-bytes",
        "CHICORYRAIL_HEAD_BYTES",
        "Largest head of a request in bytes (default 16384)",
        d.head,
    )
    .guard(
        |n| (8_192..=1 << 20).contains(n),
        "--head-bytes must be 8192 to 1048576",
    );
    let headers = number(
        "headers",
        "CHICORYRAIL_HEADERS",
        "Most headers of a request (default 64)",
        d.headers,
    )
    .guard(|n| (8..=1_000).contains(n), "--headers must be 8 to 1000");
    let head_time = millis(
        "head-ms",
        "CHICORYRAIL_HEAD_MS",
        "Time in which a head must arrive, and a connection may idle (default 15000)",
        d.head_time,
    );
    let body_time = millis(
        "body-ms",
        "CHICORYRAIL_BODY_MS",
        "Time in which the first 16 KiB of a body must arrive (default 5000)",
        d.body_time,
    );
    let connections = number(
        "connections",
        "CHICORYRAIL_CONNECTIONS",
        "Connections of callers open at a time (default 4000)",
        d.connections,
    )
    .guard(
        |n| (1..=1_000_000).contains(n),
        "--connections must be 1 to 1000000",
    );
    let hold = millis(
        "hold-ms",
        "CHICORYRAIL_HOLD_MS",
        "Longest time a request is held while its owner moves (default 1500)",
        d.hold,
    );
    let balancer_wait = millis(
        "balancer-wait-ms",
        "CHICORYRAIL_BALANCER_WAIT_MS",
        "Time between a stop signal and the end of new work (default 500)",
        d.balancer_wait,
    );
    let handover = millis(
        "handover-ms",
        "CHICORYRAIL_HANDOVER_MS",
        "Longest wait at a stop until other gates hold this one's servers (default 3000)",
        d.handover,
    );
    construct!(Limits {
        head,
        headers,
        head_time,
        body_time,
        connections,
        hold,
        balancer_wait,
        handover,
    })
}

fn address(flag: &'static str, env: &'static str, help: &'static str) -> impl Parser<SocketAddr> {
    setting(flag, env, "ADDR", help)
}

fn number<T>(
    flag: &'static str,
    env: &'static str,
    help: &'static str,
    default: T,
) -> impl Parser<T>
where
    T: FromStr + Clone + 'static,
    T::Err: Display,
{
    setting(flag, env, "N", help).fallback(default)
}

fn millis(
    flag: &'static str,
    env: &'static str,
    help: &'static str,
    default: Millis,
) -> impl Parser<Millis> {
    number(flag, env, help, default.0)
        .guard(|n| *n <= 600_000, "must be at most 600000 milliseconds")
        .map(Millis)
}
