//! A child process that writes its output to a log file.

use std::fs::OpenOptions;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_platform::BOOT_VARIABLE;
use chicoryrail_runtime::CUT_FILE_VARIABLE;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use snafu::ResultExt;

use crate::ClusterError;
use crate::cluster::error::FileSnafu;
use crate::cluster::error::SpawnSnafu;
use crate::cluster::ports::spawn_process;

/// A program with its arguments; it can be started, signalled and restarted.
///
/// The child stays in the process group of its parent, so that Ctrl-C reaches both. Dropping the value
/// kills and reaps the child.
#[derive(Debug)]
pub(crate) struct Process {
    name: String,
    program: PathBuf,
    args: Vec<String>,
    log_path: PathBuf,
    log_level: String,
    boot_file: Option<PathBuf>,
    child: Option<Child>,
}

impl Process {
    pub(crate) fn new(name: &str, program: PathBuf, args: Vec<String>, dir: &Path) -> Self {
        Self {
            name: name.to_owned(),
            program,
            args,
            log_path: dir.join(format!("{name}.log")),
            log_level: "info".to_owned(),
            boot_file: None,
            child: None,
        }
    }

    #[must_use]
    pub(crate) fn with_log_level(mut self, log_level: &str) -> Self {
        log_level.clone_into(&mut self.log_level);
        self
    }

    /// Sets the boot file; the platform passes its path in an environment variable.
    #[must_use]
    pub(crate) fn with_boot_file(mut self, boot_file: Option<&Path>) -> Self {
        self.boot_file = boot_file.map(Path::to_owned);
        self
    }

    /// Starts the program unless it is already running; its output is appended to the log file.
    pub(crate) fn start(&mut self) -> Result<(), ClusterError> {
        self.start_with(&[])
    }

    /// Starts the program like [`Self::start`], with further arguments for this start only.
    pub(crate) fn start_with(&mut self, further: &[String]) -> Result<(), ClusterError> {
        if self.is_running() {
            return Ok(());
        }
        let open = || {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(&self.log_path);
            file.context(FileSnafu {
                path: &self.log_path,
            })
        };
        let (out, err) = (open()?, open()?);
        let mut command = Command::new(&self.program);
        if let Some(boot_file) = &self.boot_file {
            command.env(BOOT_VARIABLE, boot_file);
        }
        command
            .args(&self.args)
            .args(further)
            .env("CHICORYRAIL_LOG", &self.log_level)
            .env("RUST_BACKTRACE", "1")
            .env("CHICORYRAIL_ABORT_ON_VIOLATION", "1")
            .env(CUT_FILE_VARIABLE, self.log_path.with_extension("cut"))
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err);
        let child = spawn_process(&mut command).context(SpawnSnafu {
            program: &self.program,
        })?;
        self.child = Some(child);
        Ok(())
    }

    /// Replaces the list of cut paths from the process; an empty list restores all paths.
    pub(crate) fn set_cut_paths(&self, lines: &str) -> Result<(), ClusterError> {
        let path = self.log_path.with_extension("cut");
        let new = self.log_path.with_extension("cut-new");
        std::fs::write(&new, lines).context(FileSnafu { path: &new })?;
        // The process never reads a file that is written in part.
        std::fs::rename(&new, &path).context(FileSnafu { path: &path })
    }

    /// Returns `true` if the process exists, running or paused; reaps it if it has exited.
    pub(crate) fn is_running(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// Returns the process ID while the process is running.
    pub(crate) fn pid(&mut self) -> Option<u32> {
        if self.is_running() {
            return self.child.as_ref().map(Child::id);
        }
        None
    }

    /// Returns an error if the process has exited or was not started.
    pub(crate) fn ensure_running(&mut self) -> Result<(), ClusterError> {
        if self.is_running() {
            return Ok(());
        }
        let status = self
            .child
            .as_mut()
            .and_then(|c| c.try_wait().ok().flatten());
        Err(ClusterError::Exited {
            name: self.name.clone(),
            status: status.map_or_else(|| "not started".to_owned(), |s| s.to_string()),
            log_path: self.log_path.clone(),
        })
    }

    /// Sends a signal; does nothing if the process has exited.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if self.is_running()
            && let Some(child) = &self.child
        {
            // The child is not reaped yet, so its process ID can't have been reused.
            let _ = kill(Pid::from_raw(child.id().cast_signed()), signal);
        }
    }

    /// Kills the process with SIGKILL and reaps it.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM and waits for the process to exit; kills it after `timeout` and returns an error.
    pub(crate) fn stop(&mut self, timeout: Millis) -> Result<ExitStatus, ClusterError> {
        self.signal(Signal::SIGTERM);
        let deadline = Instant::now() + timeout.to_duration();
        while Instant::now() < deadline {
            if let Some(child) = &mut self.child
                && let Ok(Some(status)) = child.try_wait()
            {
                self.child = None;
                return Ok(status);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.kill();
        Err(ClusterError::Timeout {
            operation: format!("stop of {}", self.name),
            timeout_ms: timeout.0,
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also ends a paused process.
        self.kill();
    }
}
