//! The `traffic show` command: the traffic of a service over all hosts.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::store_key::traffic_state_key;
use chicoryrail_ownership::store_key::traffic_watch_key;
use chicoryrail_platform::Change;
use chicoryrail_platform::Item;
use chicoryrail_platform::KvStore;
use chicoryrail_platform::OWN_PREFIX;
use chicoryrail_platform::Txn;
use chicoryrail_policy::TrafficState;
use snafu::ResultExt;

use crate::CtlError;
use crate::error::StoreSnafu;
use crate::error::TrafficEntrySnafu;
use crate::error::WriteSnafu;

/// Time to live of the watch entry. Hosts stop to report this long after a command that was killed.
const WATCH_TTL: Millis = Millis(5_000);

/// Longest wait for the state. It ends before the watch entry does.
const WAIT_MAX: Millis = Millis(4_800);

/// Time of reports from which on all hosts are included: they read the watch entry within a second or so, and report
/// each second.
const WATCHED_MIN: Millis = Millis(1_500);

/// Watches a service's traffic for some seconds and returns it as text or JSON.
pub(crate) async fn show(
    store: &KvStore,
    service: &ServiceName,
    json: bool,
) -> Result<String, CtlError> {
    let lease = store.open_lease(WATCH_TTL).await.context(StoreSnafu)?;
    let watch = format!("{OWN_PREFIX}{}", traffic_watch_key(service));
    let txn = Txn::default().put_leased(&watch, b"{}", lease.id);
    let begun = store.commit(&txn).await.context(StoreSnafu)?;
    let state = await_state(store, service, begun).await;
    // Only spares the hosts some reports: the entry expires soon.
    let _ = store.end_lease(lease.id).await;
    let state = state?.ok_or_else(|| CtlError::NoTraffic {
        service: service.clone(),
    })?;
    if json {
        let text = serde_json::to_string_pretty(&state).context(WriteSnafu)?;
        return Ok(format!("{text}\n"));
    }
    Ok(render(service, &state))
}

/// Waits for a state written after the revision `begun` that includes all hosts. Returns the last one if time runs out,
/// and `None` if there was none.
async fn await_state(
    store: &KvStore,
    service: &ServiceName,
    begun: u64,
) -> Result<Option<TrafficState>, CtlError> {
    let key = format!("{OWN_PREFIX}{}", traffic_state_key(service));
    let (started, mut after, mut last) = (Instant::now(), begun, None);
    loop {
        let elapsed = Millis(started.elapsed().as_millis() as u64);
        let left = WAIT_MAX.since(elapsed);
        if left == Millis::ZERO {
            return Ok(last);
        }
        let changes = store.changes(&key, after, left).await;
        let changes = changes.context(StoreSnafu)?;
        after = changes.revision;
        let mut written = changes
            .changes
            .into_iter()
            .filter_map(|change| match change {
                Change::Put(item) if item.key == key => Some(item),
                Change::Put(_) | Change::Gone { .. } => None,
            });
        if let Some(item) = written.next_back() {
            let state = decode(&item)?;
            if Millis(state.watched_ms) >= WATCHED_MIN {
                return Ok(Some(state));
            }
            last = Some(state);
        }
    }
}

fn decode(item: &Item) -> Result<TrafficState, CtlError> {
    serde_json::from_slice(&item.value).context(TrafficEntrySnafu { key: &item.key })
}

fn render(service: &ServiceName, state: &TrafficState) -> String {
    let mut text = format!(
        "service          {service}, reports of {} hosts\n",
        state.hosts
    );
    let _ = writeln!(
        text,
        "demand           {:.1} requests a second",
        state.demand
    );
    let _ = writeln!(
        text,
        "slots            {}, {} busy, {} requests waiting",
        state.slots, state.busy, state.waiting
    );
    render_rates(&mut text, "refused, cause", &state.causes);
    render_rates(&mut text, "refused, kind", &state.kinds);
    let _ = writeln!(text, "\nbusiest keys     requests a second");
    for busy in &state.keys {
        let _ = writeln!(text, "{:<16} {:.1}", busy.key, busy.rate);
    }
    let _ = writeln!(text, "\nslowest servers  time relative to a usual one");
    for slow in &state.servers {
        let _ = writeln!(text, "{:<16} {:.2}", slow.server.as_str(), slow.slowness);
    }
    text
}

/// Appends one line with all rates, in requests a second.
fn render_rates(text: &mut String, title: &str, rates: &BTreeMap<String, f64>) {
    let rates = rates.iter().map(|(name, rate)| format!("{name} {rate:.1}"));
    let rates: Vec<_> = rates.collect();
    let rates = if rates.is_empty() {
        "none".to_owned()
    } else {
        rates.join(", ")
    };
    let _ = writeln!(text, "{title:<16} {rates}");
}
