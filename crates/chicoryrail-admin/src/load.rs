//! How busy each service is now, from the gates' metrics.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_platform::HostEntry;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::HttpClient;
use futures_util::future::join_all;
use http::Request;

use crate::capacity::InUse;

/// Time between the two readings of the counters. Long enough for a few hundred requests of a busy
/// service, short enough for an operator who waits.
const WINDOW: Millis = Millis(500);

/// Longest time a gate may take to show its metrics.
const CALL_LIMIT: Millis = Millis(400);

const REQUESTS: &str = "chicoryrail_gate_requests_total";

/// Counters of one gate at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Sample {
    /// Ended requests by service and class.
    requests: BTreeMap<(ServiceName, String), f64>,
    /// Seconds spent and requests counted, by class.
    spent: BTreeMap<String, (f64, f64)>,
}

/// Measures the mean number of requests that each service has in flight or queued, over all gates.
///
/// It is the rate of requests times their mean time (Little's law), so it needs no sampling of
/// gauges. `None` where fewer than half of the gates answered: a guess from few gates is worse than
/// the plain rule for a load that is not known.
pub(crate) async fn measure(clock: &Clock, hosts: &[HostEntry]) -> Option<InUse> {
    let client = HttpClient::default();
    let gates: Vec<SocketAddr> = hosts
        .iter()
        .filter_map(|h| h.observe.first().copied())
        .collect();
    let start = clock.now();
    let before = read(&client, &gates).await;
    clock.sleep(WINDOW).await;
    let after = read(&client, &gates).await;
    let seconds = clock.now().since(start).0 as f64 / 1_000.0;
    let pairs: Vec<_> = before.into_iter().zip(after).collect();
    let pairs: Vec<_> = pairs
        .iter()
        .filter_map(|(a, b)| a.as_ref().zip(b.as_ref()))
        .collect();
    if gates.is_empty() || pairs.len() * 2 < gates.len() {
        return None;
    }
    let scale = gates.len() as f64 / pairs.len() as f64;
    let mut all = InUse::new();
    for (before, after) in pairs {
        for (service, used) in busy(before, after, seconds) {
            *all.entry(service).or_default() += used * scale;
        }
    }
    Some(all)
}

/// Returns the mean number of requests under way between two samples of one gate.
fn busy(before: &Sample, after: &Sample, seconds: f64) -> InUse {
    let mut used = InUse::new();
    for (key, count) in &after.requests {
        let (service, class) = key;
        let ended = count - before.requests.get(key).unwrap_or(&0.0);
        let (sum, n) = after.spent.get(class).copied().unwrap_or_default();
        let (sum0, n0) = before.spent.get(class).copied().unwrap_or_default();
        // A gate that was restarted in between counts from 0 again: nothing is known of it.
        if ended < 0.0 || n <= n0 || sum < sum0 {
            continue;
        }
        let mean = (sum - sum0) / (n - n0);
        *used.entry(service.clone()).or_default() += ended / seconds * mean;
    }
    used
}

async fn read(client: &HttpClient, gates: &[SocketAddr]) -> Vec<Option<Sample>> {
    join_all(gates.iter().map(|addr| scrape(client, *addr))).await
}

async fn scrape(client: &HttpClient, addr: SocketAddr) -> Option<Sample> {
    let request = Request::get("/metrics").body(Bytes::new()).ok()?;
    let answer = client.call(addr, request, CALL_LIMIT).await.ok()?;
    let text = std::str::from_utf8(answer.body()).ok()?;
    answer.status().is_success().then(|| parse(text))
}

fn parse(text: &str) -> Sample {
    let mut sample = Sample::default();
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let Some((name, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let Ok(value) = value.parse::<f64>() else {
            continue;
        };
        if let Some(labels) = name.strip_prefix(REQUESTS) {
            let service = label(labels, "service");
            if let (Some(service), Some(class)) = (service, label(labels, "class")) {
                let key = (ServiceName::new(service), class.to_owned());
                *sample.requests.entry(key).or_default() += value;
            }
        } else if let Some(class) = class_of(name, "_seconds_sum") {
            sample.spent.entry(class).or_default().0 = value;
        } else if let Some(class) = class_of(name, "_seconds_count") {
            sample.spent.entry(class).or_default().1 = value;
        }
    }
    sample
}

fn class_of(name: &str, end: &str) -> Option<String> {
    let class = name.strip_prefix("chicoryrail_gate_")?.strip_suffix(end)?;
    Some(class.to_owned())
}

fn label<'a>(labels: &'a str, name: &str) -> Option<&'a str> {
    let start = labels.find(&format!("{name}=\""))? + name.len() + 2;
    labels[start..].split('"').next()
}
