//! Handles a caller's request: parse it, choose a server, send, respond.

mod acquire;
mod admission;
mod attempt_refusal;
mod attempt_timeout;
mod attempts;
mod caller;
mod caller_request;
mod candidates;
mod choose;
mod destination;
mod direct;
mod forward;
mod forwarded;
mod in_flight;
mod queue_identity;
mod refusal;
mod request_identity;
mod request_stats;
mod response_body;
mod retry;
mod run;
mod send;
mod send_outcome;
mod server_exchange;
mod server_report;
mod serving_guard;
mod slot_guard;
mod slot_query;
mod suspicion;
mod traffic;
mod upload;
mod watched_body;

pub(crate) use caller::may_begin_early;
pub(crate) use caller::serve;
pub(crate) use forwarded::is_forwarded;
pub(crate) use forwarded::serve_forwarded;
