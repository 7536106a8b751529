//! What callers ask for.

use chicoryrail_core::ApiKey;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

/// Bytes of an order's body.
const ORDER_BODY: usize = 200;

/// What a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadKind {
    /// `GET` that somebody waits for.
    Lookup,
    /// `POST` that must run at most once.
    Order,
    /// `GET` of a report that may lag.
    Report,
}

/// Load on one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadService {
    /// Host that callers name.
    pub host: String,
    /// Path prefix of the service.
    pub path: String,
    /// What its requests are.
    pub kind: LoadKind,
    /// Share of all requests, relative to the other services.
    pub weight: f64,
    /// Whether requests carry a key that picks the server.
    pub keyed: bool,
    /// Number of keys.
    pub keys: u32,
    /// Exponent of the Zipf distribution of keys; 0 for uniform.
    pub skew: f64,
    /// Bytes of an answer's body after its first line.
    pub body: u64,
    /// API keys of which each request carries one, drawn evenly; none where requests need no key.
    pub callers: Vec<LoadCaller>,
}

/// An API key, and whether it is to open anything.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCaller {
    /// The key.
    pub key: ApiKey,
    /// Organisation that holds it; `None` for a key that opens nothing.
    pub organisation: Option<String>,
}

impl LoadService {
    /// Returns uniform load of weight 1 on a thousand keys.
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
        }
    }

    /// Sets the share of all requests.
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

    /// Sets the bytes of an answer's body.
    #[must_use]
    pub fn with_body(mut self, bytes: u64) -> Self {
        self.body = bytes;
        self
    }
}

/// A request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ask {
    pub(crate) kind: LoadKind,
    pub(crate) host: String,
    pub(crate) path: String,
    pub(crate) key: Option<u16>,
    pub(crate) request: String,
    pub(crate) length: u64,
    pub(crate) body: String,
    pub(crate) caller: Option<LoadCaller>,
}

/// Draws requests from a seed.
#[derive(Debug)]
pub(crate) struct Mix {
    services: Vec<LoadService>,
    /// Running sums of the weights of keys, per service; empty for uniform.
    keys: Vec<Vec<f64>>,
    prefix: String,
    count: u64,
}

impl Mix {
    /// Builds the mix; `prefix` makes its ids unique over runs.
    pub(crate) fn new(services: &[LoadService], prefix: &str) -> Self {
        Self {
            services: services.to_vec(),
            keys: services.iter().map(sums).collect(),
            prefix: prefix.to_owned(),
            count: 0,
        }
    }

    /// Draws the next request.
    pub(crate) fn next(&mut self, rng: &mut Pcg64Mcg) -> Ask {
        self.count += 1;
        let request = format!("{}-{}", self.prefix, self.count);
        let at = self.service(rng);
        let number = self.key(at, rng);
        let service = &self.services[at];
        let order = service.kind == LoadKind::Order;
        Ask {
            kind: service.kind,
            host: service.host.clone(),
            path: format!("{}key-{number:05}", service.path),
            key: service.keyed.then(|| spread(number)),
            body: if order { body(&request) } else { String::new() },
            request,
            length: service.body,
            caller: service.callers.choose(rng).cloned(),
        }
    }

    fn service(&self, rng: &mut Pcg64Mcg) -> usize {
        let all: f64 = self.services.iter().map(|s| s.weight).sum();
        let mut left = rng.random_range(0.0..all.max(f64::MIN_POSITIVE));
        for (i, service) in self.services.iter().enumerate() {
            left -= service.weight;
            if left < 0.0 {
                return i;
            }
        }
        self.services.len() - 1
    }

    fn key(&self, at: usize, rng: &mut Pcg64Mcg) -> u32 {
        let sums = &self.keys[at];
        match sums.last() {
            Some(all) => {
                let drawn = rng.random_range(0.0..*all);
                sums.partition_point(|s| *s <= drawn) as u32
            }
            None => rng.random_range(0..self.services[at].keys.max(1)),
        }
    }
}

/// Spreads numbered keys over all keys there are: by the golden ratio, so that neighbours lie far apart.
const fn spread(number: u32) -> u16 {
    (number.wrapping_mul(40_503) & 0xffff) as u16
}

fn sums(service: &LoadService) -> Vec<f64> {
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

fn body(request: &str) -> String {
    format!(
        "{{\"order\":\"{request}\",\"note\":\"{}\"}}",
        "x".repeat(ORDER_BODY)
    )
}
