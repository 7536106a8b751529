//! Starts the runtime and handles the signals of a process.

use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::process::ExitCode;

use monoio::LegacyDriver;
use monoio::RuntimeBuilder;
use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use tokio_util::sync::CancellationToken;

/// Runs `main` to completion on this thread, on monoio's poll-based driver.
///
/// The driver is selected explicitly and the `iouring` feature is not compiled in, so that no process can
/// use io_uring, which the hosts forbid.
///
/// # Panics
///
/// Panics if the system can't create an epoll instance; nothing can run without one.
pub fn block_on<F: Future>(main: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("epoll instance can be created")
        .block_on(main)
}

/// Installs a logger that writes to standard error, filtered by `CHICORYRAIL_LOG` (default `warn`).
pub fn init_logs() {
    let env = env_logger::Env::new().filter_or("CHICORYRAIL_LOG", "warn");
    let _ = env_logger::Builder::from_env(env).try_init();
}

/// Cancels `stop` on SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the system's error if the signal handlers can't be installed.
pub fn stop_on_signal(stop: CancellationToken) -> io::Result<()> {
    let (reader, writer) = StdUnixStream::pair()?;
    signal_hook::low_level::pipe::register(SIGTERM, writer.try_clone()?)?;
    signal_hook::low_level::pipe::register(SIGINT, writer)?;
    reader.set_nonblocking(true)?;
    let mut reader = UnixStream::from_std(reader)?;
    monoio::spawn(async move {
        let _ = reader.read(vec![0_u8; 1]).await;
        stop.cancel();
    });
    Ok(())
}

/// Stream of requests to reload the settings, sent as SIGHUP.
#[derive(Debug)]
pub struct ReloadSignals {
    pipe: StdUnixStream,
}

impl ReloadSignals {
    /// Waits for the next request. Returns `false` if no more can follow.
    pub async fn next(&mut self) -> bool {
        let Ok(mut pipe) = self.pipe.try_clone().and_then(UnixStream::from_std) else {
            return false;
        };
        // Coalesces signals that arrived together: the reload happens after the last of them.
        let (read, _) = pipe.read(vec![0_u8; 64]).await;
        read.is_ok_and(|n| n > 0)
    }
}

/// Installs a handler for SIGHUP, whose default action ends the process. A signal that comes before the runtime starts is
/// kept until then.
///
/// # Errors
///
/// Returns the system's error if the signal handler can't be installed.
pub fn reload_signals() -> io::Result<ReloadSignals> {
    let (reader, writer) = StdUnixStream::pair()?;
    signal_hook::low_level::pipe::register(SIGHUP, writer)?;
    reader.set_nonblocking(true)?;
    Ok(ReloadSignals { pipe: reader })
}

/// Exit code after an invalid flag, environment variable or file.
pub(crate) const EXIT_BAD_SETTING: u8 = 2;

/// Prints the reason of a failed start to standard error and returns the exit code 2.
#[must_use]
pub fn exit_with_error(message: &str) -> ExitCode {
    eprintln!("error: {message}");
    ExitCode::from(EXIT_BAD_SETTING)
}
