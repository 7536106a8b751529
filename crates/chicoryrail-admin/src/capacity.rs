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

/// Slots in use of each service, as far as it is known.
pub(crate) type InUse = BTreeMap<ServiceName, f64>;

/// Returns a plain warning for each service that the take-out would overload.
pub(crate) fn warnings(config: &Config, after: &Outs, in_use: &InUse) -> Vec<String> {
    let mut warnings = Vec::new();
    for service in config.services() {
        let now = capacity(service, &config.head.outs);
        let left = capacity(service, after);
        if left < now {
            let whole = capacity(service, &Outs::default());
            warnings.extend(warning(service, whole, left, in_use.get(&service.name)));
        }
    }
    warnings
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

fn warning(service: &Service, whole: f64, left: f64, used: Option<&f64>) -> Option<String> {
    let name = &service.name;
    if left <= 0.0 {
        return Some(format!("service {name} would have no server left"));
    }
    match used {
        Some(used) if *used > left * USE_LIMIT => Some(format!(
            "service {name}: {used:.1} of {whole:.1} slots are in use and {left:.1} would be left"
        )),
        None if left < whole * BLIND_LIMIT => Some(format!(
            "service {name}: {left:.1} of {whole:.1} slots would be left; the use is not known"
        )),
        _ => None,
    }
}
