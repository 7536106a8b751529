//! Values that every chicoryrail package shares.
//!
//! The crate holds no input or output: a time value, names, the key hash, slices of the hash
//! space, the configuration model with its validation, and the numbered result codes. The
//! decisions built on them live in `chicoryrail-policy`, the messages in `chicoryrail-wire`.
//!
//! # Example
//!
//! ```
//! use chicoryrail_core::KeyHash;
//! use chicoryrail_core::Slice;
//!
//! let all = Slice::FULL;
//! assert!(all.contains(KeyHash::of("kit-17")));
//! ```
//!
//! Go on with [`Bundle`] for the configuration, [`KeyHash`] and [`Slice`] for the key space, and
//! [`ResultCode`] for what callers see.

mod bundle;
mod bundle_clash;
mod bundle_error;
mod config;
mod digest;
mod epoch;
mod key_hash;
mod millis;
mod names;
mod percent;
mod result_code;
mod shard;
mod site;
mod slice;

pub use bundle::Bundle;
pub use bundle::Class;
pub use bundle::DataCentre;
pub use bundle::HotKey;
pub use bundle::KeyRange;
pub use bundle::Kind;
pub use bundle::Server;
pub use bundle::Service;
pub use bundle_clash::Clash;
pub use bundle_error::BundleError;
pub use config::Config;
pub use config::Head;
pub use config::Outs;
pub use digest::Digest;
pub use epoch::Epoch;
pub use epoch::Fence;
pub use key_hash::KeyHash;
pub use millis::Millis;
pub use names::DcName;
pub use names::HostName;
pub use names::OperatorName;
pub use names::ServerName;
pub use names::ServiceName;
pub use names::TeamName;
pub use percent::percent_decode;
pub use percent::percent_encode;
pub use result_code::ResultCode;
pub use shard::ShardId;
pub use site::CallerLimits;
pub use site::Life;
pub use site::LimitsPart;
pub use site::Member;
pub use site::MemberState;
pub use site::Part;
pub use site::Repeat;
pub use site::Route;
pub use site::RoutePart;
pub use site::ServicePart;
pub use site::ServiceSpec;
pub use site::Site;
pub use site::SiteError;
pub use site::SiteFile;
pub use site::WeightPart;
pub use slice::Slice;
