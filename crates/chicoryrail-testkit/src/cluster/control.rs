//! Kills, pauses, stops and restarts single processes of a cluster.

use std::process::ExitStatus;

use chicoryrail_core::Millis;
use nix::sys::signal::Signal;

use crate::Cluster;
use crate::ClusterError;
use crate::LinkFault;
use crate::Member;
use crate::ServerEnd;
use crate::cluster::process::Process;
use crate::unix_micros;

impl Cluster {
    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, member: Member) {
        self.with_process(member, Process::kill);
        self.record_end(member);
        self.set_ports_open(member, false);
    }

    /// Pauses a process with SIGSTOP, as a debugger does: it keeps its state and does nothing.
    pub fn pause(&mut self, member: Member) {
        self.with_process(member, |p| p.signal(Signal::SIGSTOP));
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&mut self, member: Member) {
        self.with_process(member, |p| p.signal(Signal::SIGCONT));
    }

    /// Replaces the list of paths from a process that are cut, each line as in
    /// [`CUT_FILE_VARIABLE`](chicoryrail_runtime::CUT_FILE_VARIABLE). An empty list restores all paths.
    ///
    /// # Errors
    ///
    /// Returns an error if the list can't be written.
    pub fn set_cut_paths(&self, member: Member, lines: &str) -> Result<(), ClusterError> {
        match self.processes.get(&member) {
            Some(process) => process.set_cut_paths(lines),
            None => Ok(()),
        }
    }

    /// Sends SIGHUP, at which a router reads its boot file again.
    pub fn reload(&mut self, member: Member) {
        self.with_process(member, |p| p.signal(Signal::SIGHUP));
    }

    /// Sends SIGTERM and returns without waiting for the process to exit.
    pub fn request_stop(&mut self, member: Member) {
        self.with_process(member, |p| p.signal(Signal::SIGTERM));
    }

    /// Sends SIGTERM and waits for the process to exit; kills it after `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not exit in time, is not running or does not exist.
    pub fn stop(&mut self, member: Member, timeout: Millis) -> Result<ExitStatus, ClusterError> {
        let stopped = match self.processes.get_mut(&member) {
            Some(process) => process.stop(timeout),
            None => Err(unknown_member(member)),
        };
        self.record_end(member);
        self.set_ports_open(member, false);
        stopped
    }

    /// Starts a process that has exited, with the same settings; returns without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub fn restart(&mut self, member: Member) -> Result<(), ClusterError> {
        match self.processes.get_mut(&member) {
            Some(process) => process.start()?,
            None => return Err(unknown_member(member)),
        }
        self.set_ports_open(member, true);
        Ok(())
    }

    /// Returns `true` if a process exists, running or paused.
    pub fn is_running(&mut self, member: Member) -> bool {
        self.processes
            .get_mut(&member)
            .is_some_and(Process::is_running)
    }

    /// Returns the process ID; `None` if the process is not running.
    pub fn pid(&mut self, member: Member) -> Option<u32> {
        self.processes.get_mut(&member).and_then(Process::pid)
    }

    /// Checks that every process is still running.
    ///
    /// # Errors
    ///
    /// Returns the first process that is not running, with its exit status and the path of its log.
    pub fn ensure_running(&mut self) -> Result<(), ClusterError> {
        self.processes
            .values_mut()
            .try_for_each(Process::ensure_running)
    }

    /// Opens or closes the proxied ports of a process. The port of an exited process refuses connections, and so
    /// must the links to it.
    fn set_ports_open(&self, member: Member, open: bool) {
        let Some(links) = &self.links else {
            return;
        };
        for link in links.links_to(member) {
            link.set_fault(LinkFault {
                closed: !open,
                ..link.fault()
            });
        }
    }

    /// Records that a target's process has ended.
    fn record_end(&mut self, member: Member) {
        if let Member::Target(i) = member
            && let Some(target) = self.targets.get(i)
        {
            self.ended.push(ServerEnd {
                server: target.name.clone(),
                time: unix_micros(),
            });
        }
    }

    fn with_process(&mut self, member: Member, action: impl FnOnce(&mut Process)) {
        if let Some(process) = self.processes.get_mut(&member) {
            action(process);
        }
    }
}

fn unknown_member(member: Member) -> ClusterError {
    ClusterError::Call {
        operation: member.to_string(),
        message: "no such process in the cluster".to_owned(),
    }
}
