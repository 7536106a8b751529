//! Bounded log output that never blocks on its reader.

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

/// Most bytes buffered for a slow reader. Further lines are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Bytes of one write. A pipe that polls as writable accepts this many without blocking (`PIPE_BUF` on Linux).
const CHUNK_BYTES: usize = 4_096;

/// Share of the rate, in percent, that lines of single requests may use. The rest is reserved for view changes, of
/// which a host logs some tens in the busiest seconds.
const REQUEST_SHARE_PERCENT: u64 = 60;

/// Buffers log lines and writes them without blocking. Clones share the buffer.
///
/// A process that blocks on its log stops serving when the log's reader stalls. So lines are buffered in memory up
/// to a limit and written in chunks that a writable pipe accepts. Lines above the rate or the limit are dropped,
/// and a log line reports their number.
#[derive(Clone, Debug)]
pub struct LogSink {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    buffer: Vec<u8>,
    rate: u32,
    second_start: Instant,
    lines: u32,
    dropped: u64,
}

impl LogSink {
    /// Returns a sink that accepts at most `rate` lines per second.
    #[must_use]
    pub fn new(rate: u32) -> Self {
        let state = State {
            buffer: Vec::with_capacity(CHUNK_BYTES * 2),
            rate,
            second_start: Instant::now(),
            lines: 0,
            dropped: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Writes as much of the buffer to standard output as possible without blocking.
    pub fn flush(&self) {
        self.flush_to(&io::stdout());
    }

    /// Buffers one line, or drops it above the rate or the buffer's limit.
    ///
    /// Lines of single requests (`of_request`) may use only a share of the rate, so that thousands of failing
    /// requests don't displace the other lines.
    pub fn write_line(&self, line: &[u8], of_request: bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.start_second();
        let share_percent = if of_request {
            REQUEST_SHARE_PERCENT
        } else {
            100
        };
        let max_lines = u64::from(state.rate) * share_percent / 100;
        if u64::from(state.lines) >= max_lines
            || state.buffer.len() + line.len() > MAX_BUFFERED_BYTES
        {
            state.dropped += 1;
            return;
        }
        state.lines += 1;
        state.buffer.extend_from_slice(line);
    }

    /// Writes as much of the buffer to `out` as possible without blocking.
    ///
    /// It bypasses any userspace buffer of `out`, which would split the chunks, so that a partial write could block.
    pub fn flush_to(&self, out: &impl AsFd) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.start_second();
        let mut written = 0;
        while written < state.buffer.len() && is_writable(out) {
            let end = (written + CHUNK_BYTES).min(state.buffer.len());
            match write(out, &state.buffer[written..end]) {
                Ok(0) | Err(_) => break,
                Ok(n) => written += n,
            }
        }
        state.buffer.drain(..written);
    }
}

impl State {
    /// Starts a new second if the current one has ended, and buffers a line on the lines dropped before.
    fn start_second(&mut self) {
        if self.second_start.elapsed() < Duration::from_secs(1) {
            return;
        }
        self.second_start = Instant::now();
        self.lines = 0;
        if self.dropped > 0 && self.buffer.len() < MAX_BUFFERED_BYTES {
            let line = format!("log=left_out lines={}\n", self.dropped);
            self.buffer.extend_from_slice(line.as_bytes());
            self.dropped = 0;
        }
    }
}

fn is_writable(out: &impl AsFd) -> bool {
    let mut fds = [PollFd::new(out.as_fd(), PollFlags::POLLOUT)];
    let ready = poll(&mut fds, PollTimeout::ZERO);
    let flags = fds[0].revents().unwrap_or(PollFlags::empty());
    ready.is_ok_and(|n| n > 0) && flags.contains(PollFlags::POLLOUT)
}
