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

/// Maximum number of bytes buffered for a slow reader. Further lines are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Maximum number of bytes of one write. A pipe that polls as writable accepts this many without blocking (`PIPE_BUF`
/// on Linux).
const CHUNK_BYTES: usize = 4_096;

/// Lines about individual requests are dropped once all lines of a second have used this percentage of the rate. The
/// rest is left to other lines, such as changes of the leader, the configuration or the servers, of which a host logs
/// some tens in the busiest seconds.
const REQUEST_LINES_PERCENT: u64 = 60;

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
    max_lines_per_second: u32,
    second_start: Instant,
    /// Number of lines of any kind that were buffered since `second_start`.
    lines_this_second: u32,
    dropped: u64,
}

impl LogSink {
    /// Returns a sink that accepts at most `rate` lines per second.
    #[must_use]
    pub fn new(rate: u32) -> Self {
        let state = State {
            buffer: Vec::with_capacity(CHUNK_BYTES * 2),
            max_lines_per_second: rate,
            second_start: Instant::now(),
            lines_this_second: 0,
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

    /// Buffers one line, or drops it if the rate or the buffer's limit is exceeded.
    ///
    /// Lines about individual requests (`of_request`) are dropped earlier, when all lines of the second have used only
    /// a part of the rate, so that thousands of failing requests don't displace the other lines.
    pub fn write_line(&self, line: &[u8], of_request: bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.start_new_second_if_due();
        let limit_percent = if of_request {
            REQUEST_LINES_PERCENT
        } else {
            100
        };
        let max_lines = u64::from(state.max_lines_per_second) * limit_percent / 100;
        if u64::from(state.lines_this_second) >= max_lines
            || state.buffer.len() + line.len() > MAX_BUFFERED_BYTES
        {
            state.dropped += 1;
            return;
        }
        state.lines_this_second += 1;
        state.buffer.extend_from_slice(line);
    }

    /// Writes as much of the buffer to `out` as possible without blocking.
    ///
    /// Writes to the file descriptor directly: a userspace buffer would split the chunks, and a write of more than the
    /// pipe accepts could then block. After a failed write, the rest stays buffered until the next flush.
    pub fn flush_to(&self, out: &impl AsFd) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.start_new_second_if_due();
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
    /// Starts a new second if the current one has ended, and buffers a line that reports how many lines were dropped.
    fn start_new_second_if_due(&mut self) {
        if self.second_start.elapsed() < Duration::from_secs(1) {
            return;
        }
        self.second_start = Instant::now();
        self.lines_this_second = 0;
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
