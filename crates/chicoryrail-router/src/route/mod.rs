//! The way of a request: read, choose a server, send, answer.

mod admission;
mod answer;
mod attempts;
mod call;
mod caller;
mod choose;
mod flight;
mod held_slot;
mod refusal;
mod send;
mod slot;

pub(crate) use caller::may_begin_early;
pub(crate) use caller::serve;
