//! Membership of the core, and the choice of this host's source of store data. Changes only the source.

mod presence;
mod source;

pub(crate) use presence::be_present;
pub(crate) use source::choose_source;
