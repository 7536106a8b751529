//! What this host believes, and the state that its tasks share.

mod asks;
mod believe;
mod counters;
mod hall;
pub(crate) mod router;
mod service;
mod target;
mod view;

pub(crate) use asks::Asks;
pub(crate) use counters::Counters;
pub(crate) use hall::Hall;
pub(crate) use hall::Origin;
pub(crate) use router::Router;
pub(crate) use service::Service;
pub(crate) use target::Intake;
pub(crate) use target::Target;
pub(crate) use target::drain_end;
pub(crate) use view::Belief;
pub(crate) use view::View;
