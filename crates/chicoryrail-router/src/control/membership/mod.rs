//! Membership of the core, and the choice of this host's source of store data. Changes only the source.

mod presence;
mod source;

pub(crate) use presence::register_core_host;
pub(crate) use source::select_source;
