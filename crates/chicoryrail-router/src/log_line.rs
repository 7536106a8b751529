//! Format of log lines.
//!
//! `log=KIND t=SECONDS level=LEVEL host=NAME key=value ...`; values with spaces or unprintable characters are quoted and
//! escaped. `docs/OPERATIONS.md` describes the keys.

use std::fmt::Write as _;
use std::io;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use chicoryrail_core::HostName;
use chicoryrail_runtime::LogSink;
use log::kv;

/// Installs the logger, which writes all log lines of the process to `sink`. The environment variable `CHICORYRAIL_LOG`
/// sets the level, by default `info`.
pub(crate) fn init(host: &HostName, sink: &LogSink) {
    let env = env_logger::Env::new().filter_or("CHICORYRAIL_LOG", "info");
    let (host, sink) = (host.clone(), sink.clone());
    let started = env_logger::Builder::from_env(env)
        .format(move |_, record| {
            let of_request = record.key_values().get(kv::Key::from("request")).is_some();
            sink.write_line(format_line(&host, record).as_bytes(), of_request);
            Ok(())
        })
        .target(env_logger::Target::Pipe(Box::new(io::sink())))
        .try_init();
    if started.is_err() {
        log::warn!("another logger is already installed");
    }
}

/// Formats a record as a log line.
fn format_line(host: &HostName, record: &log::Record<'_>) -> String {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    let time = time.map_or(0.0, |d| d.as_secs_f64());
    let mut text = format!(
        "log={} t={time:.3} level={} host={host}",
        record.args(),
        record.level().as_str().to_ascii_lowercase()
    );
    let mut pairs = PairWriter(&mut text);
    // Writing to a `String` is infallible.
    let _ = record.key_values().visit(&mut pairs);
    text.push('\n');
    text
}

/// Appends the key-value pairs of a record to a line.
struct PairWriter<'a>(&'a mut String);

impl<'kvs> kv::VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = value.to_string();
        // Texts of callers, servers and other writers must neither end a line nor control a terminal.
        let is_plain = !value.is_empty()
            && !value.contains([' ', '"'])
            && value.escape_debug().eq(value.chars());
        let _ = if is_plain {
            write!(self.0, " {key}={value}")
        } else {
            write!(self.0, " {key}={value:?}")
        };
        Ok(())
    }
}
