//! Types shared by all chicoryrail crates: time, names, percent-encoding, servers, and the configuration with its
//! file format and validation.
//!
//! The crate does no input or output. The decisions based on these types are made in `chicoryrail-policy` and
//! `chicoryrail-ownership`.
//!
//! # Example
//!
//! ```
//! use chicoryrail_core::SiteFile;
//!
//! let text = r#"
//! [[service]]
//! name = "kits"
//! health = "/healthz"
//! connections = 120
//!
//! [[route]]
//! name = "lookup"
//! host = "shop.example"
//! prefix = "/kits/"
//! timeout_ms = 800
//! aim_ms = 300
//! services = [{ name = "kits" }]
//! "#;
//! let site = toml::from_str::<SiteFile>(text).unwrap().build(1).unwrap();
//! assert_eq!(site.route("shop.example", "/kits/7").unwrap().name, "lookup");
//! ```
//!
//! The main types are [`Site`], a whole configuration, [`Member`] and [`Life`] for servers, and [`Millis`] for time.

mod fingerprint;
mod millis;
mod names;
mod percent;
mod site;

pub use fingerprint::Fingerprint;
pub use fingerprint::FingerprintError;
pub use millis::Millis;
pub use names::DcName;
pub use names::HostName;
pub use names::OrganisationName;
pub use names::ServerName;
pub use names::ServiceName;
pub use percent::percent_decode;
pub use percent::percent_encode;
pub use site::ApiKey;
pub use site::CallerLimits;
pub use site::Idempotency;
pub use site::Life;
pub use site::LimitsSection;
pub use site::Member;
pub use site::MemberState;
pub use site::Organisation;
pub use site::OrganisationSection;
pub use site::QuotaLimit;
pub use site::Route;
pub use site::RouteKind;
pub use site::RouteSection;
pub use site::ServiceSection;
pub use site::ServiceSpec;
pub use site::Site;
pub use site::SiteError;
pub use site::SiteFile;
pub use site::WeightedService;
pub use site::WeightedServiceSection;
