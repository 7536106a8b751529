//! The state of a server by which a scheduler assigns requests to it.

use chicoryrail_core::Millis;

/// State of a server that a scheduler needs to assign requests to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerStatus {
    /// Maximum number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub accepting: bool,
    /// End of its warm-up; in the past for a warm server.
    pub warmup_until: Millis,
    /// Requests per second that this host, and those that it sees, may send it during its warm-up: their share of what it
    /// can process from all hosts together.
    pub warmup_rate_max: f64,
    /// Requests per second that this host, and those that it sees, may send it: their share of what it accepts from all
    /// hosts together; `None` without a limit.
    pub rate_limit: Option<f64>,
    /// Index of its data centre.
    pub dc_index: u32,
    /// Whether this host schedules the server. Another host may schedule it too while hosts disagree about which hosts
    /// are alive.
    pub scheduled_here: bool,
    /// When this host began to schedule the server for other hosts.
    pub scheduled_since: Millis,
    /// When this host began to schedule the server in place of another one, if hosts then report their requests there.
    pub taken_over_at: Option<Millis>,
}

impl ServerStatus {
    /// Returns a warm server without a rate limit that this host schedules.
    #[must_use]
    pub const fn warm(slots: u32) -> Self {
        Self {
            slots,
            accepting: true,
            warmup_until: Millis::ZERO,
            warmup_rate_max: 0.0,
            rate_limit: None,
            dc_index: 0,
            scheduled_here: true,
            scheduled_since: Millis::ZERO,
            taken_over_at: None,
        }
    }
}
