//! Where log lines go: bounded, and never waiting for whoever reads them.

use std::io;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use nix::poll::PollFd;
use nix::poll::PollFlags;
use nix::poll::PollTimeout;
use nix::poll::poll;
use nix::unistd::write;

/// Bytes that wait for a slow reader; what comes on top is left out and counted.
const WAITING_MOST: usize = 256 << 10;

/// Bytes of one write. A pipe that says it can be written to takes this much without blocking
/// (`PIPE_BUF` on Linux).
const CHUNK: usize = 4_096;

/// Part of the rate, in percent, that lines of single requests may use. The rest is for changes of belief, of
/// which a host has some tens in the busiest seconds.
const REQUEST_PART: u64 = 60;

/// Collects log lines and writes them where that does not block.
///
/// A process that blocks on its log stops serving when the log's reader stalls. So lines are kept in
/// memory up to a bound and written in chunks that the pipe is known to take; lines above the rate or the
/// bound are left out, and a line says how many.
#[derive(Clone, Debug)]
pub struct LogSink {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    waiting: Vec<u8>,
    rate: u32,
    second: Instant,
    lines: u32,
    left_out: u64,
}

impl LogSink {
    /// Builds a sink that takes at most `rate` lines a second.
    #[must_use]
    pub fn new(rate: u32) -> Self {
        let state = State {
            waiting: Vec::with_capacity(CHUNK * 2),
            rate,
            second: Instant::now(),
            lines: 0,
            left_out: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Writes what standard output takes without blocking.
    pub fn flush(&self) {
        self.flush_to(&io::stdout());
    }

    /// Takes in one line, or leaves it out. Lines of single requests, of which a storm has thousands, leave
    /// a part of the rate to the others.
    pub fn line(&self, line: &[u8], of_request: bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.turn();
        let part = if of_request { REQUEST_PART } else { 100 };
        let most = u64::from(state.rate) * part / 100;
        if u64::from(state.lines) >= most || state.waiting.len() + line.len() > WAITING_MOST {
            state.left_out += 1;
            return;
        }
        state.lines += 1;
        state.waiting.extend_from_slice(line);
    }

    /// Writes what `out` takes without blocking, past any buffer of its own: that would split chunks, and
    /// a part could block.
    pub fn flush_to(&self, out: &impl AsFd) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.turn();
        let mut done = 0;
        while done < state.waiting.len() && takes_more(out) {
            let end = (done + CHUNK).min(state.waiting.len());
            match write(out, &state.waiting[done..end]) {
                Ok(0) | Err(_) => break,
                Ok(n) => done += n,
            }
        }
        state.waiting.drain(..done);
    }
}

impl State {
    /// Begins a new second, with a line on what the last one left out.
    fn turn(&mut self) {
        if self.second.elapsed() < Duration::from_secs(1) {
            return;
        }
        self.second = Instant::now();
        self.lines = 0;
        if self.left_out > 0 && self.waiting.len() < WAITING_MOST {
            let line = format!("log=left_out lines={}\n", self.left_out);
            self.waiting.extend_from_slice(line.as_bytes());
            self.left_out = 0;
        }
    }
}

fn takes_more(out: &impl AsFd) -> bool {
    let mut fds = [PollFd::new(out.as_fd(), PollFlags::POLLOUT)];
    let ready = poll(&mut fds, PollTimeout::ZERO);
    let flags = fds[0].revents().unwrap_or(PollFlags::empty());
    ready.is_ok_and(|n| n > 0) && flags.contains(PollFlags::POLLOUT)
}
