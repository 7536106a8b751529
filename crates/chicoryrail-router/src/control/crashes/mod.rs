//! Containment of requests that end the servers that run them, over all hosts.

mod news;
mod probes;
mod server_check;
mod stored_blocks;

pub(crate) use news::apply_news;
pub(crate) use news::inform_sender;
pub(crate) use news::record_complete;
pub(crate) use news::record_end;
pub(crate) use news::spread_news;
pub(crate) use probes::PROBE_PATH;
pub(crate) use probes::Probe;
pub(crate) use probes::begin_probe;
pub(crate) use probes::serve_probe;
pub(crate) use server_check::ServerCheck;
pub(crate) use server_check::check_server;
pub(crate) use server_check::recheck_server;
pub(crate) use stored_blocks::apply_block;
pub(crate) use stored_blocks::read_record;
