//! Registration of core hosts, and the choice of this host's source of store data. Of the shared state, this module
//! changes only the source.

mod presence;
mod source;

pub(crate) use presence::register_core_host;
pub(crate) use source::select_source;
