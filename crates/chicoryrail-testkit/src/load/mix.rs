//! What callers ask for.

use std::collections::VecDeque;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

/// Orders that a duplicate is drawn from.
const RECENT: usize = 64;

/// Bytes of an order's body.
const ORDER_BODY: usize = 200;

/// What a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadKind {
    /// `GET` that somebody waits for.
    Lookup,
    /// `POST` with an order id.
    Order,
    /// `GET` of a report that may lag.
    Report,
}

/// Load on one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadService {
    /// Path prefix of the service.
    pub path: String,
    /// What its requests are.
    pub kind: LoadKind,
    /// Share of all requests, relative to the other services.
    pub weight: f64,
    /// Number of keys.
    pub keys: u32,
    /// Exponent of the Zipf distribution of keys; 0 for uniform.
    pub skew: f64,
    /// Bytes of an answer's body after its first line.
    pub body: u64,
}

impl LoadService {
    /// Returns uniform load of weight 1 on a thousand keys.
    #[must_use]
    pub fn new(path: &str, kind: LoadKind) -> Self {
        Self {
            path: path.to_owned(),
            kind,
            weight: 1.0,
            keys: 1_000,
            skew: 0.0,
            body: 200,
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
    pub(crate) path: String,
    pub(crate) key: String,
    pub(crate) request: String,
    pub(crate) order: Option<String>,
    pub(crate) duplicate: bool,
    pub(crate) length: u64,
    pub(crate) body: String,
}

/// Draws requests from a seed.
#[derive(Debug)]
pub(crate) struct Mix {
    services: Vec<LoadService>,
    /// Running sums of the weights of keys, per service; empty for uniform.
    keys: Vec<Vec<f64>>,
    duplicates: f64,
    recent: VecDeque<Ask>,
    prefix: String,
    count: u64,
}

impl Mix {
    /// Builds the mix; `prefix` makes its ids unique over runs.
    pub(crate) fn new(services: &[LoadService], duplicates: f64, prefix: &str) -> Self {
        Self {
            services: services.to_vec(),
            keys: services.iter().map(sums).collect(),
            duplicates,
            recent: VecDeque::new(),
            prefix: prefix.to_owned(),
            count: 0,
        }
    }

    /// Draws the next request.
    pub(crate) fn next(&mut self, rng: &mut Pcg64Mcg) -> Ask {
        self.count += 1;
        let request = format!("{}-{}", self.prefix, self.count);
        let at = self.service(rng);
        if self.services[at].kind == LoadKind::Order
            && !self.recent.is_empty()
            && rng.random_bool(self.duplicates)
        {
            let first = &self.recent[rng.random_range(0..self.recent.len())];
            return Ask {
                request,
                duplicate: true,
                ..first.clone()
            };
        }
        let key = self.key(at, rng);
        let service = &self.services[at];
        let order = (service.kind == LoadKind::Order).then(|| format!("order-{request}"));
        let ask = Ask {
            kind: service.kind,
            path: format!("{}{key}", service.path),
            key,
            body: order.as_ref().map_or_else(String::new, |id| body(id)),
            request,
            order,
            duplicate: false,
            length: service.body,
        };
        if ask.order.is_some() {
            self.recent.push_back(ask.clone());
            if self.recent.len() > RECENT {
                self.recent.pop_front();
            }
        }
        ask
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

    fn key(&self, at: usize, rng: &mut Pcg64Mcg) -> String {
        let sums = &self.keys[at];
        let number = match sums.last() {
            Some(all) => {
                let drawn = rng.random_range(0.0..*all);
                sums.partition_point(|s| *s <= drawn)
            }
            None => rng.random_range(0..self.services[at].keys.max(1)) as usize,
        };
        format!("key-{number:05}")
    }
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

fn body(order: &str) -> String {
    format!(
        "{{\"order\":\"{order}\",\"note\":\"{}\"}}",
        "x".repeat(ORDER_BODY)
    )
}
