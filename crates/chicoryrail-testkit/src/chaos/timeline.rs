//! The events of all processes, saved when a promise was broken.

use std::fs;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;

use chicoryrail_core::Millis;
use chicoryrail_runtime::Event;
use http::Method;

use crate::Cluster;
use crate::call_blocking;

/// Most pages of events read from a process.
const PAGES: u64 = 10;

/// Writes the events of the processes that run, in the order of their stamps, a line of JSON each.
pub(crate) fn save(cluster: &Cluster) -> io::Result<()> {
    let addrs = cluster
        .hosts()
        .iter()
        .flat_map(|h| [h.gate_observe, h.controller_observe, h.admin]);
    let mut events: Vec<Event> = addrs.flat_map(events).collect();
    events.sort_by(|a, b| (a.stamp, &a.program, a.seq).cmp(&(b.stamp, &b.program, b.seq)));
    let mut file = io::BufWriter::new(fs::File::create(cluster.dir().join("timeline.jsonl"))?);
    for event in events {
        serde_json::to_writer(&mut file, &event)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}

fn events(addr: SocketAddr) -> Vec<Event> {
    let mut all = Vec::new();
    for _ in 0..PAGES {
        let from = all.last().map_or(0, |e: &Event| e.seq + 1);
        let path = format!("/events?from={from}");
        let answer = call_blocking(&Method::GET, addr, &path, "", Millis(1_000));
        let page: Vec<Event> = match answer {
            Ok((200, body)) => serde_json::from_slice(&body).unwrap_or_default(),
            _ => Vec::new(),
        };
        if page.is_empty() {
            break;
        }
        all.extend(page);
    }
    all
}

/// Counts the lines in the programs' logs that tell of a broken invariant.
pub(crate) fn own_violations(dir: &Path) -> u64 {
    let files = fs::read_dir(dir).into_iter().flatten().flatten();
    let logs = files.filter(|f| f.path().extension().is_some_and(|e| e == "log"));
    logs.filter_map(|f| fs::read_to_string(f.path()).ok())
        .map(|text| text.lines().filter(|l| l.contains("Violation")).count() as u64)
        .sum()
}
