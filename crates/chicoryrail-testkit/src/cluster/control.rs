//! Killing, pausing, stopping and starting single processes.

use std::process::ExitStatus;

use chicoryrail_core::Millis;
use nix::sys::signal::Signal;

use crate::Cluster;
use crate::ClusterError;
use crate::LinkFault;
use crate::Member;
use crate::cluster::process::Process;

impl Cluster {
    /// Kills a process at once.
    pub fn kill(&mut self, member: Member) {
        self.with(member, Process::kill);
        self.open_ports(member, false);
    }

    /// Stops a process as a debugger does: it keeps its state and does nothing.
    pub fn pause(&mut self, member: Member) {
        self.with(member, |p| p.signal(Signal::SIGSTOP));
    }

    /// Lets a paused process go on.
    pub fn thaw(&mut self, member: Member) {
        self.with(member, |p| p.signal(Signal::SIGCONT));
    }

    /// Asks a process to stop and returns at once.
    pub fn ask_to_stop(&mut self, member: Member) {
        self.with(member, |p| p.signal(Signal::SIGTERM));
    }

    /// Asks a process to stop and waits until it has; kills it after `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error where it did not stop in time.
    pub fn stop(&mut self, member: Member, limit: Millis) -> Result<ExitStatus, ClusterError> {
        let stopped = match self.processes.get_mut(&member) {
            Some(process) => process.stop(limit),
            None => Err(unknown(member)),
        };
        self.open_ports(member, false);
        stopped
    }

    /// Starts a process that has ended, with the same settings; returns at once.
    ///
    /// # Errors
    ///
    /// Returns why it could not be started.
    pub fn restart(&mut self, member: Member) -> Result<(), ClusterError> {
        match self.processes.get_mut(&member) {
            Some(process) => process.start()?,
            None => return Err(unknown(member)),
        }
        self.open_ports(member, true);
        Ok(())
    }

    /// Tells whether a process runs.
    pub fn is_running(&mut self, member: Member) -> bool {
        self.processes
            .get_mut(&member)
            .is_some_and(Process::is_running)
    }

    /// Returns the system's id of a process that runs.
    pub fn pid(&mut self, member: Member) -> Option<u32> {
        self.processes.get_mut(&member).and_then(Process::pid)
    }

    /// Returns the first process that has ended although nobody killed or stopped it.
    ///
    /// # Errors
    ///
    /// Returns which process ended, how, and where its log is.
    pub fn check(&mut self) -> Result<(), ClusterError> {
        self.processes.values_mut().try_for_each(Process::check)
    }

    /// Closes the ports of a process that has ended on the links to it, as its own port is closed,
    /// or opens them again.
    fn open_ports(&self, member: Member, open: bool) {
        let Some(links) = &self.links else {
            return;
        };
        for link in links.to(member) {
            link.set(LinkFault {
                closed: !open,
                ..link.fault()
            });
        }
    }

    fn with(&mut self, member: Member, act: impl FnOnce(&mut Process)) {
        if let Some(process) = self.processes.get_mut(&member) {
            act(process);
        }
    }
}

fn unknown(member: Member) -> ClusterError {
    ClusterError::Call {
        what: member.to_string(),
        message: "the cluster has no such process".to_owned(),
    }
}
