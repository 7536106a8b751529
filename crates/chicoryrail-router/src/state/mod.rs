//! The state that the tasks of this host share: its view of the store, services, servers and metrics.

mod apply;
mod counters;
mod former_notices;
mod forwarders;
mod newer_keys;
mod organisations;
mod paths;
mod pending_queries;
mod quota_shares;
pub(crate) mod router;
mod schedulers;
mod service;
mod source;
mod target;
mod view;

pub(crate) use counters::Counters;
pub(crate) use forwarders::Forwarder;
pub(crate) use forwarders::Forwarders;
pub(crate) use newer_keys::NewerKeys;
pub(crate) use organisations::Organisations;
pub(crate) use paths::ServerReach;
pub(crate) use paths::check_path;
pub(crate) use pending_queries::PendingQueries;
pub(crate) use quota_shares::QuotaShares;
pub(crate) use quota_shares::TokenOutcome;
pub(crate) use router::Router;
pub(crate) use schedulers::QueryOrigin;
pub(crate) use schedulers::Schedulers;
pub(crate) use service::Service;
pub(crate) use source::Source;
pub(crate) use source::SourceState;
pub(crate) use target::Admission;
pub(crate) use target::Target;
pub(crate) use target::drain_end;
pub(crate) use view::View;
pub(crate) use view::ViewChange;
