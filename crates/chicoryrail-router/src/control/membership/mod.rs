//! Which hosts form the core, and from whom this host hears what the store says. Changes the source, and nothing else.

mod presence;
mod source;

pub(crate) use presence::be_present;
pub(crate) use source::choose_source;
