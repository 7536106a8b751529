//! Command line for operators, which works on the platform's store.
//!
//! It writes what operators decide (the configuration, which data centres are out of service) and shows what
//! hosts, servers and the leader have written. A change of the configuration is conditional: it fails, or is
//! retried on the new configuration, if somebody else changed it in between.
//!
//! # Example
//!
//! ```
//! let settings = chicoryctl::settings();
//! let parsed = settings.run_inner(&["--store", "127.0.0.1:7000", "dc", "out", "west"]).unwrap();
//! assert_eq!(parsed.store.unwrap().port(), 7000);
//! ```
//!
//! See [`Command`] for the commands and [`CtlError`] for the errors.

mod blocked;
mod change;
mod error;
mod key_span;
mod organisation;
mod organisation_settings;
mod run;
mod settings;
mod status;
mod traffic;
mod traffic_settings;
mod traffic_show;

pub use blocked::BlockedCommand;
pub use error::CtlError;
pub use key_span::KeySpan;
pub use organisation_settings::OrganisationCommand;
pub use run::execute;
pub use run::main;
pub use settings::Command;
pub use settings::Settings;
pub use settings::settings;
pub use traffic_settings::TrafficCommand;
