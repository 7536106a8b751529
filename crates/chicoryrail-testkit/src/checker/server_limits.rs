//! Checks that servers out of service get no requests, and that servers warming up or with an advertised limit
//! get no more requests than they can handle.

use crate::Evidence;
use crate::Violation;

/// Delay allowed after the start of a server's warm-up before overruns count, in milliseconds. It covers the write of
/// the server's entry, its delivery to each host by the watch, and the one-second window in which requests are counted.
const WARMUP_REACTION_MS: u64 = 2_000;

pub(super) fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for period in &evidence.outs {
        for run in &evidence.runs {
            if run.start > period.from
                && run.start < period.until
                && period.servers.contains(&run.server)
            {
                found.push(Violation::WorkWhileOut {
                    server: run.server.clone(),
                    request: run.request.clone(),
                    after_ms: (run.start - period.from) / 1000,
                });
            }
        }
    }
    let overruns = evidence
        .overruns
        .iter()
        .filter(|o| o.cold_ms > WARMUP_REACTION_MS);
    found.extend(overruns.map(|o| Violation::ColdOverrun {
        server: o.server.clone(),
        cold_ms: o.cold_ms,
        arrived: o.arrived,
        bears: o.bears,
    }));
    // No delay applies here: a target itself counts arrivals only after hosts had time to apply its limit.
    found.extend(
        evidence
            .limit_overruns
            .iter()
            .map(|o| Violation::LimitOverrun {
                server: o.server.clone(),
                limited_ms: o.limited_ms,
                arrived: o.arrived,
                allowed: o.allowed,
            }),
    );
    found
}
