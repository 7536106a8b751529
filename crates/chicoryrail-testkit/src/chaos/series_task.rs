//! A task of a series of faults, which runs beside others.

use crate::Member;
use crate::TargetFault;
use crate::chaos::context::RunContext;
use crate::chaos::pause::pause;
use crate::chaos::pause::pause_router;

/// What is done to one process in a round of a series.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SeriesTask {
    /// Kills a target and starts it again under the same name and address.
    Restart(Restart),
    /// Pauses a target and resumes it.
    PauseTarget { target: usize, for_ms: u64 },
    /// Pauses a target and then restarts it.
    PauseAndRestart { for_ms: u64, restart: Restart },
    /// Pauses a host and resumes it.
    PauseRouter { host: usize, for_ms: u64 },
    /// Makes a target accept and read nothing for a time.
    StallReads { target: usize, for_ms: u64 },
}

/// A restart of a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Restart {
    pub(crate) target: usize,
    /// Time from the kill to the start.
    pub(crate) down_ms: u64,
    /// Time from the start to the registration.
    pub(crate) register_delay_ms: u64,
}

impl SeriesTask {
    /// Runs the task to its end.
    ///
    /// # Errors
    ///
    /// Returns what failed.
    pub(crate) fn run(self, context: &RunContext) -> Result<(), String> {
        match self {
            Self::Restart(restart) => restart.run(context),
            Self::PauseTarget { target, for_ms } => pause(context, Member::Target(target), for_ms),
            Self::PauseAndRestart { for_ms, restart } => {
                context.cluster().pause(Member::Target(restart.target));
                context.sleep(for_ms);
                restart.run(context)
            }
            Self::PauseRouter { host, for_ms } => pause_router(context, host, for_ms),
            Self::StallReads { target, for_ms } => {
                let addr = context.cluster().targets()[target].addr;
                let fault = TargetFault::StallReads { for_ms };
                let sent = context.cluster().put_fault(addr, &fault);
                context.sleep(for_ms);
                sent.map_err(|e| e.to_string())
            }
        }
    }
}

impl Restart {
    fn run(self, context: &RunContext) -> Result<(), String> {
        let member = Member::Target(self.target);
        context.cluster().kill(member);
        context.sleep(self.down_ms);
        let delay = self.register_delay_ms.to_string();
        let further = ["--register-delay-ms".to_owned(), delay];
        let restarted = context.cluster().restart_with(member, &further);
        restarted.map_err(|e| e.to_string())
    }
}
