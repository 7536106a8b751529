//! The requests that callers send.

use bytes::Bytes;
use chicoryrail_core::ApiKey;
use chicoryrail_core::Millis;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

/// Bytes of the note in an order's body.
const ORDER_NOTE_BYTES: usize = 200;

/// Lengths of long orders' bodies in bytes: around the part that a host keeps for a retry, and above it.
const LONG_ORDER_BYTES: [usize; 4] = [16 << 10, (16 << 10) + 1, 40_000, 90_000];

/// One in this many orders is long. Every second of these, and of the uploads, is sent in chunks.
const LONG_ORDER_INTERVAL: u64 = 4;

/// Longest body of an upload in bytes.
const UPLOAD_BYTES_MAX: usize = 120_000;

/// One in this many callers of uploads sends and reads slowly.
const SLOW_CALLER_INTERVAL: u32 = 4;

/// Pause of a slow caller between two pieces. The longest upload takes 300 ms, so that it ends within its deadline.
const SLOW_CALLER_PAUSE: Millis = Millis(20);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadKind {
    /// `GET` whose caller waits for the response.
    Lookup,
    /// `POST` that must run at most once.
    Order,
    /// `POST` with a large body that must run at most once; some callers send it, and read the response, slowly.
    Upload,
    /// `GET` of a report that may be slow; the latency percentiles leave it out.
    Report,
}

impl LoadKind {
    /// Returns `true` if the requests must run at most once.
    #[must_use]
    pub const fn runs_once(self) -> bool {
        matches!(self, Self::Order | Self::Upload)
    }
}

/// Load on one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadService {
    /// Value of the `Host` header.
    pub host: String,
    /// Path prefix of the service.
    pub path: String,
    /// Kind of the requests.
    pub kind: LoadKind,
    /// Weight of the service: its fraction of all requests relative to the other services.
    pub weight: f64,
    /// Whether requests carry a key that determines the server.
    pub keyed: bool,
    /// Number of keys.
    pub keys: u32,
    /// Exponent of the Zipf distribution of keys; 0 for uniform.
    pub skew: f64,
    /// Bytes of a response body after its first line.
    pub body: u64,
    /// API keys of which each request carries one, chosen uniformly at random; empty if requests need none.
    pub callers: Vec<LoadCaller>,
    /// Deadline of each request, whose caller returns after a refusal; if `None`, that of the run, and callers don't
    /// return.
    pub deadline: Option<Millis>,
}

/// An API key and the organisation that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCaller {
    /// The API key.
    pub key: ApiKey,
    /// Organisation of the key; `None` for an invalid key.
    pub organisation: Option<String>,
}

impl LoadService {
    /// Returns load of weight 1, uniform over 1,000 keys.
    #[must_use]
    pub fn new(host: &str, path: &str, kind: LoadKind) -> Self {
        Self {
            host: host.to_owned(),
            keyed: false,
            path: path.to_owned(),
            kind,
            weight: 1.0,
            keys: 1_000,
            skew: 0.0,
            body: 200,
            callers: Vec::new(),
            deadline: None,
        }
    }

    /// Sets the weight of the service.
    #[must_use]
    pub fn with_weight(mut self, weight: f64) -> Self {
        self.weight = weight;
        self
    }

    /// Sets the number of keys and the exponent of their Zipf distribution.
    #[must_use]
    pub fn with_keys(mut self, keys: u32, skew: f64) -> Self {
        self.keys = keys;
        self.skew = skew;
        self
    }

    /// Sets the bytes of a response body after its first line.
    #[must_use]
    pub fn with_body_bytes(mut self, bytes: u64) -> Self {
        self.body = bytes;
        self
    }
}

/// A request to send and the response to expect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlannedRequest {
    pub(crate) kind: LoadKind,
    /// Value of the `Host` header.
    pub(crate) host: String,
    pub(crate) path: String,
    pub(crate) key: Option<u16>,
    pub(crate) id: String,
    /// Bytes of the response body after its first line.
    pub(crate) response_bytes: u64,
    pub(crate) body: Bytes,
    /// Whether the body is sent in chunks, and not with its length stated.
    pub(crate) is_chunked: bool,
    /// Pause between two pieces of the body or of the response; zero for a caller that is not slow.
    pub(crate) pause: Millis,
    /// API key that the request carries; `None` if it needs none.
    pub(crate) caller: Option<LoadCaller>,
    /// Deadline of the request; that of the run if `None`.
    pub(crate) deadline: Option<Millis>,
}

/// Generates the requests of a run at random.
#[derive(Debug)]
pub(crate) struct Mix {
    services: Vec<LoadService>,
    /// Cumulative Zipf weights of the keys, per service; empty for a uniform distribution.
    key_weights: Vec<Vec<f64>>,
    prefix: String,
    count: u64,
}

impl Mix {
    /// Creates a generator; `prefix` makes the request ids unique across runs.
    pub(crate) fn new(services: &[LoadService], prefix: &str) -> Self {
        Self {
            services: services.to_vec(),
            key_weights: services.iter().map(cumulative_weights).collect(),
            prefix: prefix.to_owned(),
            count: 0,
        }
    }

    /// Returns the next request.
    pub(crate) fn next(&mut self, rng: &mut Pcg64Mcg) -> PlannedRequest {
        self.count += 1;
        let id = format!("{}-{}", self.prefix, self.count);
        let index = self.pick_service(rng);
        let number = self.pick_key(index, rng);
        let service = &self.services[index];
        let mut pause = Millis::ZERO;
        let is_long = self.count.is_multiple_of(LONG_ORDER_INTERVAL);
        let body = match service.kind {
            LoadKind::Order if is_long => {
                let bytes = LONG_ORDER_BYTES[number as usize % LONG_ORDER_BYTES.len()];
                numbered_body(&id, bytes).into()
            }
            LoadKind::Order => order_body(&id).into(),
            LoadKind::Upload => {
                if rng.random_ratio(1, SLOW_CALLER_INTERVAL) {
                    pause = SLOW_CALLER_PAUSE;
                }
                numbered_body(&id, rng.random_range(1..=UPLOAD_BYTES_MAX)).into()
            }
            LoadKind::Lookup | LoadKind::Report => Bytes::new(),
        };
        PlannedRequest {
            kind: service.kind,
            host: service.host.clone(),
            path: format!("{}key-{number:05}", service.path),
            key: service.keyed.then(|| spread_key(number)),
            body,
            is_chunked: match service.kind {
                LoadKind::Order => self.count.is_multiple_of(2 * LONG_ORDER_INTERVAL),
                LoadKind::Upload => self.count.is_multiple_of(2),
                LoadKind::Lookup | LoadKind::Report => false,
            },
            pause,
            id,
            response_bytes: service.body,
            caller: service.callers.choose(rng).cloned(),
            deadline: service.deadline,
        }
    }

    fn pick_service(&self, rng: &mut Pcg64Mcg) -> usize {
        let total: f64 = self.services.iter().map(|s| s.weight).sum();
        let mut remaining = rng.random_range(0.0..total.max(f64::MIN_POSITIVE));
        for (i, service) in self.services.iter().enumerate() {
            remaining -= service.weight;
            if remaining < 0.0 {
                return i;
            }
        }
        self.services.len() - 1
    }

    fn pick_key(&self, service: usize, rng: &mut Pcg64Mcg) -> u32 {
        let weights = &self.key_weights[service];
        match weights.last() {
            Some(total) => {
                let sample = rng.random_range(0.0..*total);
                weights.partition_point(|w| *w <= sample) as u32
            }
            None => rng.random_range(0..self.services[service].keys.max(1)),
        }
    }
}

/// Spreads key numbers over the whole key space by multiplicative hashing with the golden ratio, so that
/// successive numbers lie far apart.
const fn spread_key(number: u32) -> u16 {
    (number.wrapping_mul(40_503) & 0xffff) as u16
}

fn cumulative_weights(service: &LoadService) -> Vec<f64> {
    if service.skew <= 0.0 {
        return Vec::new();
    }
    let mut sum = 0.0;
    (1..=service.keys.max(1))
        .map(|rank| {
            sum += f64::from(rank).powf(-service.skew);
            sum
        })
        .collect()
}

/// Returns a body of which no two parts are alike.
fn numbered_body(id: &str, bytes: usize) -> Vec<u8> {
    let parts = (0_usize..).map(|i| format!("{id}:{i};"));
    let mut body = Vec::with_capacity(bytes + 64);
    for part in parts {
        if body.len() >= bytes {
            break;
        }
        body.extend_from_slice(part.as_bytes());
    }
    body.truncate(bytes);
    body
}

fn order_body(id: &str) -> String {
    format!(
        "{{\"order\":\"{id}\",\"note\":\"{}\"}}",
        "x".repeat(ORDER_NOTE_BYTES)
    )
}
