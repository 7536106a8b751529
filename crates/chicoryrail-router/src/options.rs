//! What can be set on the command line or in the environment.

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use chicoryrail_runtime::setting;

/// Log lines a second that pass by default: all failures of a small host and a share of its other requests, and a
/// storm costs no more than this.
const LINES: u32 = 150;

/// One in this many ordinary decisions is logged by default.
const ORDINARY: u32 = 20;

/// Settings of the process beside those that the platform's boot file gives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Port on which metrics are shown, on the host's own address.
    pub metrics_port: Option<u16>,
    /// Most log lines a second; what is left out is counted in a line of its own.
    pub log_lines: u32,
    /// One in this many requests that went as usual is logged; 0 for none.
    pub log_ordinary: u32,
    /// Whether to read the settings, print them and end.
    pub check: bool,
}

/// Parses the command line.
#[must_use]
pub fn options() -> OptionParser<Options> {
    let metrics_port = setting(
        "metrics-port",
        "CHICORYRAIL_METRICS_PORT",
        "PORT",
        "Port on which metrics are shown, on the host's own address",
    )
    .optional();
    let log_lines = setting(
        "log-lines",
        "CHICORYRAIL_LOG_LINES",
        "N",
        "Most log lines a second (150)",
    )
    .fallback(LINES);
    let log_ordinary = setting(
        "log-ordinary",
        "CHICORYRAIL_LOG_ORDINARY",
        "N",
        "Log one in N requests that went as usual, 0 for none (20)",
    )
    .fallback(ORDINARY);
    let check = long("check")
        .help("Read the boot file, print what was understood and end")
        .switch();
    construct!(Options {
        metrics_port,
        log_lines,
        log_ordinary,
        check
    })
    .to_options()
    .descr("Routes callers' requests on one host; the environment names the platform's boot file")
}
