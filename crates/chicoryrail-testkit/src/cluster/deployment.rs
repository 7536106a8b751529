//! The two deployments of the specification, with their current sizes.

use std::fmt;
use std::str::FromStr;

use chicoryrail_core::CallerLimits;
use chicoryrail_core::Millis;
use chicoryrail_core::Route;
use chicoryrail_core::RouteKind;
use chicoryrail_core::ServiceSpec;
use chicoryrail_core::Site;
use chicoryrail_core::WeightedService;

use crate::LoadKind;
use crate::LoadService;

/// Number of keys that the load requests from each service.
const KEY_COUNT: u32 = 500;

/// Exponent of the Zipf distribution by which the load selects keys.
const ZIPF_EXPONENT: f64 = 0.8;

/// Requests a second that the configuration allows to a server during its warm-up.
const WARMUP_RATE: f64 = 5.0;

/// Requests that a target may receive in any second of its warm-up; more are an overrun. It is 1.5 times
/// `WARMUP_RATE` (`cold_over` in the boot file) plus 5 (`cold_slack`), rounded down.
const WARMUP_LIMIT: u32 = 12;

/// Timeout of a request.
const REQUEST_TIMEOUT: Millis = Millis(1_000);

/// Latency target of a request.
const LATENCY_TARGET: Millis = Millis(300);

/// Timeout of an order that tolerates long waits: longer than the grace period of a host.
pub(crate) const LONG_WAIT_TIMEOUT: Millis = Millis(10_000);

/// Latency target of an order that tolerates long waits.
const LONG_WAIT_LATENCY_TARGET: Millis = Millis(1_500);

/// A deployment of the specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Updraft Classroom Systems.
    Updraft,
    /// Tanduay Cask Works, Repair Division.
    Tanduay,
}

/// Size and load of a service of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServicePlan {
    /// Name of the service; its path is `/v1/{name}/`.
    pub name: &'static str,
    /// Whether each key is served only by the server that owns it.
    pub keyed: bool,
    /// Number of servers.
    pub servers: usize,
    /// Kind of the requests that the load sends.
    pub load_kind: LoadKind,
    /// Share of the load, relative to the other services.
    pub weight: u32,
}

const fn service_plan(
    name: &'static str,
    servers: usize,
    load_kind: LoadKind,
    weight: u32,
) -> ServicePlan {
    ServicePlan {
        name,
        keyed: false,
        servers,
        load_kind,
        weight,
    }
}

const fn keyed(mut plan: ServicePlan) -> ServicePlan {
    plan.keyed = true;
    plan
}

/// In the specification, lessons and flight logs share twelve servers. Here eight of them serve lessons and four
/// serve the nightly flight logs.
const UPDRAFT: &[ServicePlan] = &[
    keyed(service_plan("kits", 12, LoadKind::Lookup, 5)),
    service_plan("placement", 8, LoadKind::Order, 2),
    service_plan("lessons", 8, LoadKind::Lookup, 2),
    service_plan("flight-logs", 4, LoadKind::Report, 1),
];

const TANDUAY: &[ServicePlan] = &[
    keyed(service_plan("repair-status", 13, LoadKind::Lookup, 5)),
    service_plan("booking", 8, LoadKind::Order, 3),
    service_plan("cask-history", 12, LoadKind::Lookup, 2),
];

impl Deployment {
    /// Returns the name, as given on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Updraft => "updraft",
            Self::Tanduay => "tanduay",
        }
    }

    /// Returns the virtual host of the requests: the value of their `Host` header.
    #[must_use]
    pub const fn host(self) -> &'static str {
        match self {
            Self::Updraft => "updraft.example",
            Self::Tanduay => "tanduay.example",
        }
    }

    /// Returns the names of the data centres.
    #[must_use]
    pub const fn data_centres(self) -> &'static [&'static str] {
        match self {
            Self::Updraft => &["up-a", "up-b", "up-c", "up-d"],
            Self::Tanduay => &["td-a", "td-b", "td-c"],
        }
    }

    /// Returns the services.
    #[must_use]
    pub const fn services(self) -> &'static [ServicePlan] {
        match self {
            Self::Updraft => UPDRAFT,
            Self::Tanduay => TANDUAY,
        }
    }

    /// Returns the number of requests that a server runs concurrently.
    #[must_use]
    pub const fn slots(self) -> u32 {
        match self {
            Self::Updraft => 2,
            Self::Tanduay => 3,
        }
    }

    /// Returns the number of open connections that a server accepts.
    #[must_use]
    pub const fn connections(self) -> u32 {
        match self {
            Self::Updraft => 120,
            Self::Tanduay => 50,
        }
    }

    /// Returns the number of requests that a server may receive in any second of its warm-up, from all hosts together.
    #[must_use]
    pub const fn warmup_limit(self) -> u32 {
        WARMUP_LIMIT
    }

    /// Returns the load of the deployment, by service; its callers stay within their rate limits.
    #[must_use]
    pub fn load(self) -> Vec<LoadService> {
        let callers = self.callers_within_limits();
        let build = |s: &ServicePlan| LoadService {
            keyed: s.keyed,
            callers: callers.clone(),
            ..LoadService::new(self.host(), &s.path(), s.load_kind)
                .with_weight(f64::from(s.weight))
                .with_keys(KEY_COUNT, ZIPF_EXPONENT)
        };
        self.services().iter().map(build).collect()
    }

    /// Returns the first configuration, for servers that warm up for `warmup` after their start; with `uploads` the routes
    /// for orders are for uploads, with `long_waits` they tolerate long waits.
    #[must_use]
    pub fn site(self, warmup: Millis, uploads: bool, long_waits: bool) -> Site {
        let service = |s: &ServicePlan| ServiceSpec {
            name: s.name.into(),
            health_path: "/healthz".to_owned(),
            max_connections: self.connections(),
            warmup,
            warmup_rate_max: WARMUP_RATE,
            keyed: s.keyed,
        };
        let services = self.services().iter();
        Site::new(
            1,
            CallerLimits::default(),
            services.clone().map(service).collect(),
            services
                .map(|s| self.route(s, uploads, long_waits))
                .collect(),
        )
        .with_organisations(self.organisations())
    }

    fn route(self, plan: &ServicePlan, uploads: bool, long_waits: bool) -> Route {
        let (kind, attempts) = match plan.load_kind {
            LoadKind::Order if !uploads => (RouteKind::Order, 1),
            LoadKind::Order | LoadKind::Upload => (RouteKind::Upload, 1),
            LoadKind::Lookup | LoadKind::Report => (RouteKind::Read, 2),
        };
        let (timeout, latency_target) = if long_waits && plan.load_kind.runs_once() {
            (LONG_WAIT_TIMEOUT, LONG_WAIT_LATENCY_TARGET)
        } else {
            (REQUEST_TIMEOUT, LATENCY_TARGET)
        };
        Route {
            name: plan.name.to_owned(),
            host: self.host().to_owned(),
            prefix: plan.path(),
            kind,
            timeout,
            latency_target,
            priority: u8::from(plan.load_kind == LoadKind::Report),
            max_attempts: attempts,
            public: false,
            services: vec![WeightedService {
                service: plan.name.into(),
                weight: 1,
            }],
        }
    }
}

impl ServicePlan {
    /// Returns the path prefix of the service, `/v1/{name}/`.
    #[must_use]
    pub fn path(&self) -> String {
        format!("/v1/{}/", self.name)
    }
}

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "updraft" => Ok(Self::Updraft),
            "tanduay" => Ok(Self::Tanduay),
            _ => Err(format!("{text:?} is neither updraft nor tanduay")),
        }
    }
}
