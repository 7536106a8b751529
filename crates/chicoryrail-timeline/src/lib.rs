//! Merges the logs of all routers into one timeline.
//!
//! Routers write structured log lines to their standard output. The tool merges the lines of any number of
//! files by time. It prints the lines that match a filter, such as those of one request, server or key, or
//! summarises where and why requests were lost.
//!
//! # Example
//!
//! ```
//! use chicoryrail_timeline::Filter;
//! use chicoryrail_timeline::merge;
//!
//! let log = "log=send_broken t=2.5 host=a request=r1\nlog=stop t=3.0 host=a";
//! let lines = merge([log], &Filter::of("request", "r1"));
//! assert_eq!(lines.len(), 1);
//! ```

mod filter;
mod log_line;
mod losses;
mod merge;
mod run;
mod settings;

pub use filter::Filter;
pub use log_line::LogLine;
pub use losses::Losses;
pub use losses::Moment;
pub use losses::Reason;
pub use merge::merge;
pub use run::main;
pub use settings::Settings;
pub use settings::Task;
pub use settings::settings;
