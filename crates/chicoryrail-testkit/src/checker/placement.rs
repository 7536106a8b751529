//! No work to servers that are out of service or leave, and no more to cold and limited ones than they bear.

use crate::Evidence;
use crate::Violation;

/// Time in which the system must notice that a server turned cold, in milliseconds: the entry, the watch of
/// each host, and the second over which a server's requests are counted.
const COLD_NOTICED_MS: u64 = 2_000;

pub(super) fn check(seen: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for out in &seen.outs {
        for run in &seen.runs {
            if run.start > out.from && run.start < out.until && out.servers.contains(&run.server) {
                found.push(Violation::WorkWhileOut {
                    server: run.server.clone(),
                    request: run.request.clone(),
                    after_ms: (run.start - out.from) / 1000,
                });
            }
        }
    }
    let late = seen.overruns.iter().filter(|o| o.cold_ms > COLD_NOTICED_MS);
    found.extend(late.map(|o| Violation::ColdOverrun {
        server: o.server.clone(),
        cold_ms: o.cold_ms,
        arrived: o.arrived,
        bears: o.bears,
    }));
    found.extend(seen.limit_overruns.iter().map(|o| Violation::LimitOverrun {
        server: o.server.clone(),
        limited_ms: o.limited_ms,
        arrived: o.arrived,
        allowed: o.allowed,
    }));
    found
}
