//! Selection of log lines.

use crate::LogLine;

/// Conditions on a log line; a line must meet all that are given.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Log keys and the value that each must have.
    pub values: Vec<(&'static str, String)>,
    /// Name of a server, to match all its starts, or `NAME@BORN`, to match one start.
    pub server: Option<String>,
}

impl Filter {
    /// Returns a filter that requires one value of a log key.
    #[must_use]
    pub fn of(key: &'static str, value: &str) -> Self {
        Self {
            values: vec![(key, value.to_owned())],
            server: None,
        }
    }

    /// Returns `true` if a line meets all conditions.
    #[must_use]
    pub fn matches(&self, line: &LogLine) -> bool {
        let has_value = |(key, value): &(&str, String)| line.value(key) == Some(value);
        let names_server = |server: &String| {
            let named = line.value("server").unwrap_or_default();
            // Log lines name a server together with its start time: `NAME@BORN`.
            named.split('@').next() == Some(server) || named == server
        };
        self.values.iter().all(has_value) && self.server.as_ref().is_none_or(names_server)
    }
}
