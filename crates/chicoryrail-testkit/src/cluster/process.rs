//! A child process with a log file.

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
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use snafu::ResultExt;

use crate::ClusterError;
use crate::cluster::error::FileSnafu;
use crate::cluster::error::SpawnSnafu;

/// A program that can be started, signalled and started again with the same arguments.
///
/// The child stays in the process group of its parent, so that Ctrl-C reaches both; dropping it
/// kills and reaps it.
#[derive(Debug)]
pub(crate) struct Process {
    name: String,
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    level: String,
    boot: Option<PathBuf>,
    child: Option<Child>,
}

impl Process {
    pub(crate) fn new(name: &str, program: PathBuf, args: Vec<String>, dir: &Path) -> Self {
        Self {
            name: name.to_owned(),
            program,
            args,
            log: dir.join(format!("{name}.log")),
            level: "info".to_owned(),
            boot: None,
            child: None,
        }
    }

    #[must_use]
    pub(crate) fn with_level(mut self, level: &str) -> Self {
        level.clone_into(&mut self.level);
        self
    }

    /// Names the boot file, which the platform does by an environment variable.
    #[must_use]
    pub(crate) fn with_boot(mut self, boot: Option<&Path>) -> Self {
        self.boot = boot.map(Path::to_owned);
        self
    }

    /// Starts the program where it does not run; its output goes to the end of the log.
    pub(crate) fn start(&mut self) -> Result<(), ClusterError> {
        if self.is_running() {
            return Ok(());
        }
        let open = || {
            let file = OpenOptions::new().create(true).append(true).open(&self.log);
            file.context(FileSnafu { path: &self.log })
        };
        let (out, err) = (open()?, open()?);
        let mut command = Command::new(&self.program);
        if let Some(boot) = &self.boot {
            command.env(BOOT_VARIABLE, boot);
        }
        let child = command
            .args(&self.args)
            .env("CHICORYRAIL_LOG", &self.level)
            .env("RUST_BACKTRACE", "1")
            .env("CHICORYRAIL_ABORT_ON_VIOLATION", "1")
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .context(SpawnSnafu {
                program: &self.program,
            })?;
        self.child = Some(child);
        Ok(())
    }

    /// Tells whether the process runs or is stopped; reaps it where it has ended.
    pub(crate) fn is_running(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// Returns the system's id of the process while it runs.
    pub(crate) fn pid(&mut self) -> Option<u32> {
        if self.is_running() {
            return self.child.as_ref().map(Child::id);
        }
        None
    }

    /// Fails where the process has ended.
    pub(crate) fn check(&mut self) -> Result<(), ClusterError> {
        if self.is_running() {
            return Ok(());
        }
        let status = self
            .child
            .as_mut()
            .and_then(|c| c.try_wait().ok().flatten());
        Err(ClusterError::Ended {
            name: self.name.clone(),
            status: status.map_or_else(|| "not started".to_owned(), |s| s.to_string()),
            log: self.log.clone(),
        })
    }

    /// Sends a signal; one to an ended process is ignored.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if self.is_running()
            && let Some(child) = &self.child
        {
            // The child is not reaped, so its id can't belong to another process.
            let _ = kill(Pid::from_raw(child.id().cast_signed()), signal);
        }
    }

    /// Kills the process at once and reaps it.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to stop and waits until it has; kills it after `limit`.
    pub(crate) fn stop(&mut self, limit: Millis) -> Result<ExitStatus, ClusterError> {
        self.signal(Signal::SIGTERM);
        let until = Instant::now() + limit.duration();
        while Instant::now() < until {
            if let Some(child) = &mut self.child
                && let Ok(Some(status)) = child.try_wait()
            {
                self.child = None;
                return Ok(status);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.kill();
        Err(ClusterError::Late {
            what: format!("stop of {}", self.name),
            limit_ms: limit.0,
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL ends a stopped process too.
        self.kill();
    }
}
