//! The administration API: bundles, sign-off, roll, take-out and return, status.
//!
//! Every entry host runs one; none is special. What lasts is in the platform's store, so any of
//! them may be asked, and two that are asked at once are ordered by the store's compare-and-swap.
//!
//! # Example
//!
//! ```
//! use chicoryrail_admin::Operator;
//!
//! let text = "alice=operate:updraft:11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=";
//! let operator: Operator = text.parse().unwrap();
//! assert_eq!(operator.name.as_str(), "alice");
//! ```
//!
//! Go on with [`settings`] for what can be set, [`handle`] for the calls, and [`Records`] for what lasts.

mod access;
mod admin;
mod api;
mod audit;
mod bundles;
mod capacity;
mod endpoints;
mod error;
mod fleet;
mod load;
mod moves;
mod owner;
mod query;
mod records;
mod roll;
mod rolls;
mod run;
mod settings;

pub use access::Access;
pub use access::Caller;
pub use access::Operator;
pub use access::Role;
pub use access::Scope;
pub use access::Token;
pub use admin::Admin;
pub use api::BundleList;
pub use api::BundleView;
pub use api::Change;
pub use api::DiffView;
pub use api::FieldChange;
pub use api::HostView;
pub use api::Missing;
pub use api::MoveBody;
pub use api::OwnerView;
pub use api::PendingView;
pub use api::ProgramView;
pub use api::RollBody;
pub use api::SignBody;
pub use api::Source;
pub use api::StatusView;
pub use audit::AuditRecord;
pub use endpoints::MAX_BODY;
pub use endpoints::handle;
pub use error::ApiError;
pub use moves::Place;
pub use records::Records;
pub use records::StoredBundle;
pub use records::StoredSign;
pub use run::main;
pub use run::serve;
pub use settings::Settings;
pub use settings::settings;
