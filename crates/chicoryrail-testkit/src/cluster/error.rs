//! Why a cluster does not do what it should.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// Why a cluster does not do what it should.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClusterError {
    /// A program could not be started.
    #[snafu(display("start {}: {source}", program.display()))]
    Spawn {
        /// The program.
        program: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A file could not be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// No free port was found.
    #[snafu(display("no free port: {source}"))]
    Port {
        /// What the system says.
        source: io::Error,
    },
    /// Something did not happen in time.
    #[snafu(display("{what} took longer than {limit_ms} ms"))]
    Late {
        /// What did not happen.
        what: String,
        /// The limit in milliseconds.
        limit_ms: u64,
    },
    /// A process ended that should run.
    #[snafu(display("{name} ended: {status}; its log is {}", log.display()))]
    Ended {
        /// Name of the process.
        name: String,
        /// How it ended.
        status: String,
        /// Its log.
        log: PathBuf,
    },
    /// A call failed.
    #[snafu(display("{what}: {message}"))]
    Call {
        /// What was called.
        what: String,
        /// What came back.
        message: String,
    },
}
