//! One ordered time line of the events of all processes.
//!
//! Each process keeps a bounded ring of typed events and serves it at `/events`. The tool reads the
//! rings of all processes, merges them by stamp, and says where events are missing.
//!
//! # Example
//!
//! ```
//! use chicoryrail_timeline::Filter;
//!
//! let filter = Filter {
//!     host: Some("entry-1".into()),
//!     ..Filter::default()
//! };
//! assert!(filter.takes_host(&"entry-1".into()));
//! ```

mod filter;
mod line;
mod log_file;
mod merge;
mod run;
mod settings;
mod source;

pub use filter::Filter;
pub use line::Gap;
pub use line::Line;
pub use line::Silence;
pub use line::date;
pub use log_file::LogLine;
pub use log_file::merge_logs;
pub use merge::Merge;
pub use run::main;
pub use settings::Settings;
pub use settings::settings;
pub use source::News;
pub use source::Source;
