//! The operator's command line over the platform's store.
//!
//! It writes what operators decide (the configuration, data centres that are out) and shows what hosts,
//! servers and the leader have written. Every change is made under the condition that nobody else changed
//! the same in between.
//!
//! # Example
//!
//! ```
//! let settings = chicoryctl::settings();
//! let parsed = settings.run_inner(&["--store", "127.0.0.1:7000", "dc", "out", "west"]).unwrap();
//! assert_eq!(parsed.store.unwrap().port(), 7000);
//! ```
//!
//! Go on with [`Command`] for what it does, and [`CtlError`] for how it fails.

mod change;
mod error;
mod organisation;
mod organisation_settings;
mod run;
mod settings;
mod status;

pub use error::CtlError;
pub use organisation_settings::OrganisationCommand;
pub use run::execute;
pub use run::main;
pub use settings::Command;
pub use settings::Settings;
pub use settings::settings;
