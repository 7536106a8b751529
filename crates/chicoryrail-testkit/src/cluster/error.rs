//! Errors of a test cluster.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// Errors of starting, controlling and reading a cluster.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClusterError {
    /// A program could not be started.
    #[snafu(display("cannot start {}: {source}", program.display()))]
    Spawn {
        /// Path of the program.
        program: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file could not be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// No free port was found.
    #[snafu(display("no free port: {source}"))]
    Port {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A setting is out of its range.
    #[snafu(display("{field} = {value}: must be {min} to {max}"))]
    Setting {
        /// Name of the setting.
        field: &'static str,
        /// Its value.
        value: u64,
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
    },
    /// An operation did not finish in time.
    #[snafu(display("{operation} took longer than {timeout_ms} ms"))]
    Timeout {
        /// The operation.
        operation: String,
        /// The timeout in milliseconds.
        timeout_ms: u64,
    },
    /// A process that should be running has exited or was not started.
    #[snafu(display("{name} is not running: {status}; log file: {}", log_path.display()))]
    Exited {
        /// Name of the process.
        name: String,
        /// Exit status, or "not started".
        status: String,
        /// Path of its log file.
        log_path: PathBuf,
    },
    /// A request or a command failed.
    #[snafu(display("{operation}: {message}"))]
    Call {
        /// The request or command.
        operation: String,
        /// Why it failed.
        message: String,
    },
}
