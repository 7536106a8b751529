//! Cost of a slice table against its size.

use std::hint::black_box;
use std::time::Instant;

use chicoryrail_core::Fence;
use chicoryrail_core::KeyHash;
use chicoryrail_core::ServiceName;
use chicoryrail_core::ShardId;
use chicoryrail_core::Slice;
use chicoryrail_wire::RouteEntry;
use chicoryrail_wire::RouteTable;
use chicoryrail_wire::SliceState;
use chicoryrail_wire::decode;
use chicoryrail_wire::encode;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::Line;
use crate::Usage;

/// Look-ups timed at each size.
const LOOK_UPS: u32 = 200_000;

/// Measures look-up time, size on the wire and memory of tables of `sizes` slices.
///
/// The positions looked up are random, so the processor's caches help as little as they would with
/// callers' keys.
#[must_use]
pub fn table_costs(sizes: &[u32], seed: u64) -> Vec<Line> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut look_up = Vec::new();
    let mut wire = Vec::new();
    let mut memory = Vec::new();
    let mut read = Vec::new();
    for &n in sizes {
        let before = Usage::now();
        let table = table(n);
        let size = f64::from(n);
        memory.push((size, Usage::now().memory_since(before).max(0.0)));
        let start = Instant::now();
        for _ in 0..LOOK_UPS {
            black_box(table.entry(KeyHash(rng.random())));
        }
        look_up.push((
            f64::from(n).log2(),
            start.elapsed().as_secs_f64() * 1e9 / f64::from(LOOK_UPS),
        ));
        let bytes = encode(&table).expect("a table can be encoded");
        wire.push((size, bytes.len() as f64));
        let start = Instant::now();
        // Above about 260,000 slices a table is longer than one message may be; a service of more is
        // controlled in several sections.
        if black_box(decode::<RouteTable>(&bytes)).is_ok() {
            read.push((size, start.elapsed().as_secs_f64() * 1e6));
        }
    }
    vec![
        Line::new("table.look_up", "ns per doubling of slices", &look_up),
        Line::new("table.memory", "bytes per slice", &memory),
        Line::new("table.wire", "bytes per slice", &wire),
        Line::new("table.read", "us per slice", &read),
    ]
}

fn table(n: u32) -> RouteTable {
    let entries = (0..n)
        .map(|i| RouteEntry {
            slice: Slice::FULL.part(i, n),
            owner: i % 12,
            state: SliceState::Settled,
        })
        .collect();
    let shard = ShardId::Service {
        service: ServiceName::new("kits"),
        part: 0,
    };
    RouteTable {
        shard,
        fence: Fence::default(),
        servers: Vec::new(),
        entries,
    }
}
