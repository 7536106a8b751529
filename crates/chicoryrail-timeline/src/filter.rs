//! Which lines are shown.

use crate::LogLine;

/// What a line must be about; conditions that are given must all hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Keys of the line with the values that they must have.
    pub values: Vec<(&'static str, String)>,
    /// A server, under any of its starts.
    pub server: Option<String>,
}

impl Filter {
    /// Returns a filter with one condition.
    #[must_use]
    pub fn of(key: &'static str, value: &str) -> Self {
        Self {
            values: vec![(key, value.to_owned())],
            server: None,
        }
    }

    /// Tells whether the line is shown.
    #[must_use]
    pub fn takes(&self, line: &LogLine) -> bool {
        let holds = |(key, value): &(&str, String)| line.value(key) == Some(value);
        let about = |server: &String| {
            let named = line.value("server").unwrap_or_default();
            // A line names a server with the time of its start: `NAME@BORN`.
            named.split('@').next() == Some(server) || named == server
        };
        self.values.iter().all(holds) && self.server.as_ref().is_none_or(about)
    }
}
