//! No work to servers that are out of service, and no more to cold ones than they bear.

use crate::Evidence;
use crate::Overrun;
use crate::Violation;

/// Time after which a server that was taken out gets no new work, in microseconds.
const OUT_AFTER: u64 = 3_000_000;

/// Time in which the system must notice that a server turned cold, where the server shows a new
/// instance id: a renewal of its session every 200 ms, twice, and the way to the gates.
const COLD_ANNOUNCED_MS: u64 = 600;

/// The same where the server shows nothing and only its latency tells.
const COLD_SILENT_MS: u64 = 2_000;

pub(crate) fn check(seen: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for out in &seen.outs {
        let late = out.from.saturating_add(OUT_AFTER);
        for run in &seen.runs {
            if run.start > late && run.start < out.until && out.servers.contains(&run.server) {
                found.push(Violation::WorkWhileOut {
                    server: run.server.clone(),
                    request: run.request.clone(),
                    after_ms: (run.start - out.from) / 1000,
                });
            }
        }
    }
    found.extend(
        seen.overruns
            .iter()
            .filter(|o| is_late(o))
            .map(|o| Violation::ColdOverrun {
                server: o.server.clone(),
                cold_ms: o.cold_ms,
                busy: o.busy,
                bears: o.bears,
            }),
    );
    found
}

fn is_late(overrun: &Overrun) -> bool {
    let limit = if overrun.announced {
        COLD_ANNOUNCED_MS
    } else {
        COLD_SILENT_MS
    };
    overrun.cold_ms > limit
}
