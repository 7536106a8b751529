//! A run from arguments to exit code.

use std::io;
use std::io::Write as _;
use std::process::ExitCode;

use bpaf::Args;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_platform::HostEntry;
use chicoryrail_platform::HostList;
use chicoryrail_platform::HttpHostList;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::exit_with;
use chicoryrail_runtime::stop_on_signal;
use futures_util::future::join_all;

use crate::Line;
use crate::Merge;
use crate::News;
use crate::Settings;
use crate::Source;
use crate::merge_logs;
use crate::settings;
use crate::settings::now;

/// How long events are held back while the tool follows, beyond the start of the round. It covers
/// the difference of well-kept wall clocks; what comes later is marked late.
const HELD: u64 = 250;

/// Runs the tool; the entry point of the binary.
#[must_use]
pub fn main() -> ExitCode {
    let settings = match settings().run_inner(Args::current_args()) {
        Ok(settings) => settings,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    if settings.logs.is_empty() {
        block_on(run(settings))
    } else {
        print_logs(&settings)
    }
}

/// Prints the lines of the log files, in one order of time.
fn print_logs(settings: &Settings) -> ExitCode {
    let mut texts = Vec::new();
    for path in &settings.logs {
        match std::fs::read(path) {
            Ok(bytes) => texts.push(String::from_utf8_lossy(&bytes).into_owned()),
            Err(e) => {
                let text = format!("--log = {}: {e}", path.display());
                return exit_with(ResultCode::SettingInvalid, &text);
            }
        }
    }
    let request = settings.filter.request.as_deref();
    let lines = merge_logs(texts.iter().map(String::as_str), request);
    let mut out = io::stdout().lock();
    for line in &lines {
        if writeln!(out, "{line}").is_err() {
            // The reader of the output has closed it: it wants no more.
            break;
        }
    }
    ExitCode::SUCCESS
}

async fn run(settings: Settings) -> ExitCode {
    let stop = CancellationToken::new();
    if let Err(e) = stop_on_signal(stop.clone()) {
        return exit_with(ResultCode::Internal, &format!("signals: {e}"));
    }
    let clock = Clock::start();
    let mut reader = Reader::new(settings);
    loop {
        let start = now();
        reader.round().await;
        let follow = reader.settings.follow;
        let lines = if follow && !stop.is_cancelled() {
            reader.merge.take_until(start.saturating_sub(HELD))
        } else {
            reader.merge.take_all()
        };
        if reader.print(&lines).is_err() {
            // The reader of the output has closed it: it wants no more.
            return ExitCode::SUCCESS;
        }
        if !follow || stop.is_cancelled() {
            return reader.end();
        }
        rest(&clock, reader.settings.interval, &stop).await;
    }
}

/// Rests in short steps, so that an interrupt ends a long rest.
async fn rest(clock: &Clock, length: Millis, stop: &CancellationToken) {
    let end = clock.now() + length;
    while clock.now() < end && !stop.is_cancelled() {
        clock.sleep(end.since(clock.now()).min(Millis(50))).await;
    }
}

struct Reader {
    settings: Settings,
    list: Option<HttpHostList>,
    client: HttpClient,
    sources: Vec<Source>,
    merge: Merge,
}

impl Reader {
    fn new(settings: Settings) -> Self {
        let client = HttpClient::default();
        let sources = settings.processes.iter();
        Self {
            list: settings.list.map(HttpHostList::new),
            sources: sources.map(|a| Source::new(*a, client.clone())).collect(),
            client,
            settings,
            merge: Merge::default(),
        }
    }

    /// Reads the list and then what is new in every ring.
    async fn round(&mut self) {
        if let Some(list) = &self.list {
            let hosts = list.hosts().await.unwrap_or_default();
            self.add_hosts(&hosts);
        }
        let news = join_all(self.sources.iter_mut().map(Source::read)).await;
        for News { events, notes } in news {
            let events = events.into_iter().filter(|e| self.settings.filter.takes(e));
            self.merge.add(events);
            // What is missing is told at once: it has no place in the order.
            let _ = self.print(&notes);
        }
    }

    /// Adds the processes of hosts that are new. Those of hosts that went stay: their last events
    /// may still be read.
    fn add_hosts(&mut self, hosts: &[HostEntry]) {
        let filter = &self.settings.filter;
        let wanted = hosts.iter().filter(|h| filter.takes_host(&h.name));
        for addr in wanted.flat_map(|h| &h.observe) {
            if self.sources.iter().all(|s| s.addr() != *addr) {
                self.sources.push(Source::new(*addr, self.client.clone()));
            }
        }
    }

    fn print(&self, lines: &[Line]) -> io::Result<()> {
        let mut out = io::stdout().lock();
        for line in lines {
            if self.settings.json {
                writeln!(out, "{}", line.json())?;
            } else {
                writeln!(out, "{line}")?;
            }
        }
        out.flush()
    }

    /// Ends with an error where not one process answered.
    fn end(&self) -> ExitCode {
        if self.sources.iter().any(|s| !s.is_silent()) {
            return ExitCode::SUCCESS;
        }
        let list = self
            .settings
            .list
            .map_or_else(String::new, |a| format!("--host-list = {a}: "));
        let text = format!("{list}no process answered");
        exit_with(ResultCode::SettingInvalid, &text)
    }
}
