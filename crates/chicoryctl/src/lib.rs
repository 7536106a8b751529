//! The operator's command line over the administration API.
//!
//! Exit codes: 0 done, 1 refused or failed with a numbered result, 2 bad usage or setting.
//!
//! # Example
//!
//! ```
//! let bars = chicoryctl::table(&["HOST", "VERSION"], &[vec!["entry-1".into(), "7".into()]]);
//! assert_eq!(bars, "HOST     VERSION\nentry-1  7\n");
//! ```

mod client;
mod commands;
mod error;
mod key_file;
mod run;
mod settings;
mod table;
mod views;

pub use client::Client;
pub use commands::execute;
pub use error::CtlError;
pub use key_file::KeyFile;
pub use run::main;
pub use settings::Command;
pub use settings::Settings;
pub use settings::Way;
pub use settings::settings;
pub use table::table;
