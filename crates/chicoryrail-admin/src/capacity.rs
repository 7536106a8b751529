//! Whether the rest can bear what a take-out leaves to it.

use std::collections::BTreeMap;

use chicoryrail_core::Config;
use chicoryrail_core::Outs;
use chicoryrail_core::Service;
use chicoryrail_core::ServiceName;

/// Share of the remaining slots that may be in use after a take-out. Queues grow without bound as
/// use nears the whole; the last fifth is what bursts and a straggler need.
const USE_LIMIT: f64 = 0.8;

/// Share of the whole capacity that must remain where the use is not known. Services are sized to
/// bear the loss of one data centre; more than half is not a planned case. It is counted against the
/// whole and not against what is in service now: else several take-outs, each of half the rest, would
/// leave next to nothing.
const BLIND_LIMIT: f64 = 0.5;

/// Requests in flight or queued of each service, as far as it is known.
pub(crate) type InUse = BTreeMap<ServiceName, f64>;

/// What a take-out means for the services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Verdict {
    /// Why the rest can't bear it; the operator must force it.
    pub(crate) refusals: Vec<String>,
    /// What the operator should know.
    pub(crate) notes: Vec<String>,
}

/// Judges a take-out; `in_use` is `None` where the load is not known.
pub(crate) fn judge(config: &Config, after: &Outs, in_use: Option<&InUse>) -> Verdict {
    let mut verdict = Verdict::default();
    for service in config.services() {
        let left = capacity(service, after);
        if left < capacity(service, &config.head.outs) {
            let used = in_use.map(|all| all.get(&service.name).copied().unwrap_or_default());
            judge_service(service, left, used, &mut verdict);
        }
    }
    verdict
}

fn judge_service(service: &Service, left: f64, used: Option<f64>, verdict: &mut Verdict) {
    let name = &service.name;
    let whole = capacity(service, &Outs::default());
    let short = left < whole * BLIND_LIMIT;
    match used {
        _ if left <= 0.0 => {
            let text = format!("service {name} would have no server left");
            verdict.refusals.push(text);
        }
        Some(used) if used > left * USE_LIMIT => {
            let text = format!(
                "service {name}: {used:.1} slots are in use and {left:.1} of {whole:.1} would be left"
            );
            verdict.refusals.push(text);
        }
        Some(used) if short => {
            let text = format!(
                "service {name}: {left:.1} of {whole:.1} slots are left; {used:.1} were in use"
            );
            verdict.notes.push(text);
        }
        None if short => {
            let text = format!(
                "service {name}: {left:.1} of {whole:.1} slots would be left; the use is not known"
            );
            verdict.refusals.push(text);
        }
        _ => {}
    }
}

/// Returns the slots of the servers that are in service, each times its weight.
fn capacity(service: &Service, outs: &Outs) -> f64 {
    let slots = f64::from(service.slots);
    let up = service
        .servers
        .iter()
        .filter(|s| !outs.servers.contains(&s.name) && !outs.data_centres.contains(&s.data_centre));
    up.map(|s| s.weight * slots).sum()
}
