//! Runs of suspected requests, one at a time.

use chicoryrail_core::Fingerprint;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;

use crate::Standing;

/// Number of servers for each probe that a service has at a time. Few probes then share a server with the request that
/// ends it.
const SERVERS_PER_PROBE: usize = 4;

/// A suspected request that is about to be sent to a server.
#[derive(Clone, Copy, Debug)]
pub struct ProbeRequest<'a> {
    /// Number that identifies this run.
    pub ticket: u64,
    /// Service of the request.
    pub service: &'a ServiceName,
    /// The request.
    pub request: Fingerprint,
    /// When the run will have ended.
    pub deadline: Millis,
}

/// Probes of one or several services: runs of requests under which servers have ended.
///
/// A suspect that runs at many hosts at a time would end as many servers before the first end is known, and a request that
/// ran beside the one that ended a server would run beside it again. So no request has two probes at a time, and one
/// under which two servers ended has the service's only probe.
#[derive(Debug, Default)]
pub struct ProbeLimiter {
    running: Vec<Probe>,
}

#[derive(Debug)]
struct Probe {
    ticket: u64,
    service: ServiceName,
    request: Fingerprint,
    is_alone: bool,
    deadline: Millis,
}

impl ProbeLimiter {
    /// Returns `true` if the request may run now, and counts its run until [`Self::end`] or its deadline. `servers` is the
    /// number of servers that may serve it.
    pub fn begin(
        &mut self,
        now: Millis,
        standing: Standing,
        probe: ProbeRequest<'_>,
        servers: usize,
    ) -> bool {
        let is_alone = match standing {
            Standing::Clear => return true,
            Standing::Blocked => return false,
            Standing::Suspect(ends) => ends > 1,
        };
        self.running.retain(|running| now < running.deadline);
        let of_service = || self.running.iter().filter(|r| r.service == *probe.service);
        let is_free = if is_alone {
            of_service().next().is_none()
        } else {
            let max = (servers / SERVERS_PER_PROBE).max(1);
            of_service().count() < max
                && of_service().all(|r| !r.is_alone && r.request != probe.request)
        };
        if is_free {
            self.running.push(Probe {
                ticket: probe.ticket,
                service: probe.service.clone(),
                request: probe.request,
                is_alone,
                deadline: probe.deadline,
            });
        }
        is_free
    }

    /// Ends a run.
    pub fn end(&mut self, ticket: u64) {
        self.running.retain(|running| running.ticket != ticket);
    }
}
