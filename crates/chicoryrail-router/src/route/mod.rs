//! The way of a request: read, choose a server, send, answer.

mod answer;
mod attempts;
mod call;
mod caller;
mod choose;
mod desk;
mod flight;
mod refusal;
mod send;

pub(crate) use caller::may_begin_early;
pub(crate) use caller::serve;
