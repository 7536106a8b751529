//! Parsing of the log lines that routers write to their standard output.

use std::fmt;

/// A structured log line: `log=KIND t=SECONDS key=value ...`.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Wall-clock time in seconds since the Unix epoch.
    pub time: f64,
    /// Text of the line from `log=` on.
    pub text: String,
}

impl LogLine {
    /// Parses a line; ignores a prefix that a log collector put before `log=`. Returns `None` for other output.
    ///
    /// # Example
    ///
    /// ```
    /// use chicoryrail_timeline::LogLine;
    ///
    /// let line = LogLine::parse("host-1 | log=stop t=12.5 level=info serving=0").unwrap();
    /// assert_eq!(line.time, 12.5);
    /// assert_eq!(line.value("serving"), Some("0"));
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let text = text[text.find("log=")?..].trim_end();
        let line = Self {
            time: 0.0,
            text: text.to_owned(),
        };
        let time = line.value("t")?.parse().ok()?;
        Some(Self { time, ..line })
    }

    /// Returns the value of a key, up to the first space.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<&str> {
        let mut fields = self.text.split_whitespace();
        fields.find_map(|f| f.strip_prefix(key)?.strip_prefix('='))
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
