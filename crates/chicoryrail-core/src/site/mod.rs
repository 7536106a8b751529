//! The operator's configuration and the registered servers.
//!
//! The other crates use these types for decisions. The platform adapter alone decodes the platform's formats, with
//! their own names, into them.

mod api_key;
mod caller_limits;
mod file;
mod file_organisation;
mod life;
mod member;
mod organisation;
mod route;
mod service;
#[expect(clippy::module_inception, reason = "one type, one file")]
mod site;

pub use api_key::ApiKey;
pub use caller_limits::CallerLimits;
pub use file::LimitsSection;
pub use file::RouteSection;
pub use file::ServiceSection;
pub use file::ServiceWeight;
pub use file::SiteError;
pub use file::SiteFile;
pub use file_organisation::OrganisationSection;
pub use life::Life;
pub use member::Member;
pub use member::MemberState;
pub use organisation::Organisation;
pub use organisation::QuotaLimit;
pub use route::Idempotency;
pub use route::Route;
pub use route::RouteKind;
pub use route::WeightedService;
pub use service::ServiceSpec;
pub use site::Site;
