//! Containment of requests that end the servers that run them, over all hosts.

mod news;
mod server_check;
mod trials;
mod verdicts;

pub(crate) use news::apply_news;
pub(crate) use news::record_complete;
pub(crate) use news::record_end;
pub(crate) use news::spread_news;
pub(crate) use server_check::ServerCheck;
pub(crate) use server_check::check_server;
pub(crate) use server_check::recheck_server;
pub(crate) use trials::TRIAL_PATH;
pub(crate) use trials::Trial;
pub(crate) use trials::begin_trial;
pub(crate) use trials::serve_trial;
pub(crate) use verdicts::apply_verdict;
pub(crate) use verdicts::read_record;
