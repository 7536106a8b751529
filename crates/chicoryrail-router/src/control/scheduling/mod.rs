//! Which request goes to which server, for the parts of services that this host schedules. Changes the schedulers alone.

mod overflow;
mod part_schedulers;
mod requests;
mod tokens;
mod upkeep;

pub(crate) use overflow::free_slots;
pub(crate) use requests::handle_packet;
pub(crate) use requests::keys_moved;
pub(crate) use upkeep::paces;
pub(crate) use upkeep::tend;
