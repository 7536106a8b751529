//! Start and stop of a process.

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

/// Runs `main` on this thread on monoio's poll-based driver.
///
/// The driver is named here and the `iouring` feature is not compiled in, so that no process can
/// fall to io_uring, which the hosts forbid.
///
/// # Panics
///
/// Panics where the system gives no epoll instance; nothing can run then.
pub fn block_on<F: Future>(main: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the system gives an epoll instance")
        .block_on(main)
}

/// Sends the log to standard error, at the level of `CHICORYRAIL_LOG` (default `warn`).
pub fn init_logs() {
    let env = env_logger::Env::new().filter_or("CHICORYRAIL_LOG", "warn");
    let _ = env_logger::Builder::from_env(env).try_init();
}

/// Cancels `stop` at SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the system's error where the signals can't be caught.
pub fn stop_on_signal(stop: CancellationToken) -> io::Result<()> {
    let (ours, theirs) = StdUnixStream::pair()?;
    signal_hook::low_level::pipe::register(SIGTERM, theirs.try_clone()?)?;
    signal_hook::low_level::pipe::register(SIGINT, theirs)?;
    ours.set_nonblocking(true)?;
    let mut ours = UnixStream::from_std(ours)?;
    monoio::spawn(async move {
        let _ = ours.read(vec![0_u8; 1]).await;
        stop.cancel();
    });
    Ok(())
}

/// Requests to read the settings again: SIGHUP.
#[derive(Debug)]
pub struct ReloadSignals {
    pipe: UnixStream,
}

impl ReloadSignals {
    /// Waits for the next request; tells whether there may be more.
    pub async fn next(&mut self) -> bool {
        // Several signals in a row are one request: the file is read after the last of them.
        let (read, _) = self.pipe.read(vec![0_u8; 64]).await;
        read.is_ok_and(|n| n > 0)
    }
}

/// Catches SIGHUP, which would end the process.
///
/// # Errors
///
/// Returns the system's error where the signal can't be caught.
pub fn reload_signals() -> io::Result<ReloadSignals> {
    let (ours, theirs) = StdUnixStream::pair()?;
    signal_hook::low_level::pipe::register(SIGHUP, theirs)?;
    ours.set_nonblocking(true)?;
    let pipe = UnixStream::from_std(ours)?;
    Ok(ReloadSignals { pipe })
}

/// Exit code of a process that got a bad flag, environment variable or file.
pub(crate) const BAD_SETTING: u8 = 2;

/// Prints why a process can't start and returns the exit code for it.
#[must_use]
pub fn exit_with(message: &str) -> ExitCode {
    eprintln!("error: {message}");
    ExitCode::from(BAD_SETTING)
}
