//! Settings from the command line or the environment.

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use chicoryrail_policy::UploadReading;
use chicoryrail_runtime::setting_parser;

/// Default maximum of log lines per second: enough for all failures of a small host and a share of its other
/// requests. It bounds the cost of logging when many requests fail at once.
const LOG_LINES_DEFAULT: u32 = 150;

/// Default sampling of requests without anomalies: one in this many is logged.
const LOG_ORDINARY_DEFAULT: u32 = 20;

/// Settings of the process that are not in the platform's boot file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Port that serves metrics, on the host's own address; `None` for no metrics.
    pub metrics_port: Option<u16>,
    /// Maximum number of log lines per second; a separate line counts those left out.
    pub log_lines: u32,
    /// One in this many requests without anomalies is logged; 0 for none.
    pub log_ordinary: u32,
    /// How much of an upload is read before it takes a slot of a server.
    pub upload_reading: UploadReading,
    /// Whether to read the settings, print them and exit.
    pub check: bool,
}

/// Returns the parser of the command line and the environment.
#[must_use]
pub fn options() -> OptionParser<Options> {
    let metrics_port = setting_parser(
        "metrics-port",
        "CHICORYRAIL_METRICS_PORT",
        "PORT",
        "Port that serves metrics, on the host's own address",
    )
    .optional();
    let log_lines = setting_parser(
        "log-lines",
        "CHICORYRAIL_LOG_LINES",
        "N",
        "Maximum number of log lines per second (150)",
    )
    .fallback(LOG_LINES_DEFAULT);
    let log_ordinary = setting_parser(
        "log-ordinary",
        "CHICORYRAIL_LOG_ORDINARY",
        "N",
        "Log one in N requests without anomalies, 0 for none (20)",
    )
    .fallback(LOG_ORDINARY_DEFAULT);
    let upload_reading = setting_parser(
        "upload-reading",
        "CHICORYRAIL_UPLOAD_READING",
        "ORDER",
        "What of an upload is read before it takes a slot: whole, start or slot-first (whole)",
    )
    .fallback(UploadReading::default());
    let check = long("check")
        .help("Read the boot file, print the parsed settings and exit")
        .switch();
    construct!(Options {
        metrics_port,
        log_lines,
        log_ordinary,
        upload_reading,
        check
    })
    .to_options()
    .descr("Routes callers' requests on one host; the environment names the platform's boot file")
}
