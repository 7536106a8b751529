//! The two deployments of the brief, in their sizes of today.

use std::fmt;
use std::str::FromStr;

use chicoryrail_core::CallerLimits;
use chicoryrail_core::Millis;
use chicoryrail_core::Part;
use chicoryrail_core::Route;
use chicoryrail_core::RouteKind;
use chicoryrail_core::ServiceSpec;
use chicoryrail_core::Site;

use crate::LoadKind;
use crate::LoadService;

/// Keys that the load asks for in each service.
const KEYS: u32 = 500;

/// Exponent of the load's Zipf distribution of keys.
const SKEW: f64 = 0.8;

/// Requests a second that a cold server bears, as the configuration says.
const COLD_RATE: f64 = 5.0;

/// What a cold server really bears in a second: 1.5 times that and 5 more, as the boot file says.
const COLD_BEARS: u32 = 12;

/// Longest time for a request, and the latency that is aimed at.
const TIMEOUT: Millis = Millis(1_000);
const AIM: Millis = Millis(300);

/// A deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Updraft Classroom Systems.
    Updraft,
    /// Tanduay Cask Works, Repair Division.
    Tanduay,
}

/// A service of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceShape {
    /// Name of the service; its path is `/v1/{name}/`.
    pub name: &'static str,
    /// Whether each key is served by the one server that holds it.
    pub keyed: bool,
    /// Number of servers.
    pub servers: usize,
    /// What the load sends.
    pub load: LoadKind,
    /// Share of the load.
    pub weight: u32,
}

const fn shape(name: &'static str, servers: usize, load: LoadKind, weight: u32) -> ServiceShape {
    ServiceShape {
        name,
        keyed: false,
        servers,
        load,
        weight,
    }
}

const fn keyed(mut shape: ServiceShape) -> ServiceShape {
    shape.keyed = true;
    shape
}

/// Lessons and flight logs share twelve servers in the brief; eight of them serve lessons here and four
/// the nightly logs.
const UPDRAFT: &[ServiceShape] = &[
    keyed(shape("kits", 12, LoadKind::Lookup, 5)),
    shape("placement", 8, LoadKind::Order, 2),
    shape("lessons", 8, LoadKind::Lookup, 2),
    shape("flight-logs", 4, LoadKind::Report, 1),
];

const TANDUAY: &[ServiceShape] = &[
    keyed(shape("repair-status", 13, LoadKind::Lookup, 5)),
    shape("booking", 8, LoadKind::Order, 3),
    shape("cask-history", 12, LoadKind::Lookup, 2),
];

impl Deployment {
    /// Returns the name.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Updraft => "updraft",
            Self::Tanduay => "tanduay",
        }
    }

    /// Returns the host that callers name.
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
    pub const fn services(self) -> &'static [ServiceShape] {
        match self {
            Self::Updraft => UPDRAFT,
            Self::Tanduay => TANDUAY,
        }
    }

    /// Returns the slots of a server.
    #[must_use]
    pub const fn slots(self) -> u32 {
        match self {
            Self::Updraft => 2,
            Self::Tanduay => 3,
        }
    }

    /// Returns the connections that a server accepts.
    #[must_use]
    pub const fn connections(self) -> u32 {
        match self {
            Self::Updraft => 120,
            Self::Tanduay => 50,
        }
    }

    /// Returns the requests that a cold server bears in any second, from all hosts together.
    #[must_use]
    pub const fn cold_bears(self) -> u32 {
        COLD_BEARS
    }

    /// Returns the mixed load of the deployment.
    #[must_use]
    pub fn load(self) -> Vec<LoadService> {
        let callers = self.usual_callers();
        let build = |s: &ServiceShape| LoadService {
            keyed: s.keyed,
            callers: callers.clone(),
            ..LoadService::new(self.host(), &s.path(), s.load)
                .with_weight(f64::from(s.weight))
                .with_keys(KEYS, SKEW)
        };
        self.services().iter().map(build).collect()
    }

    /// Returns the first configuration, for servers that stay cold for `cold` after their start.
    #[must_use]
    pub fn site(self, cold: Millis) -> Site {
        let service = |s: &ServiceShape| ServiceSpec {
            name: s.name.into(),
            health: "/healthz".to_owned(),
            connections: self.connections(),
            cold,
            cold_rate: COLD_RATE,
            keyed: s.keyed,
        };
        let services = self.services().iter();
        Site::new(
            1,
            CallerLimits::default(),
            services.clone().map(service).collect(),
            services.map(|s| self.route(s)).collect(),
        )
        .with_organisations(self.organisations())
    }

    fn route(self, shape: &ServiceShape) -> Route {
        let (kind, attempts) = match shape.load {
            LoadKind::Order => (RouteKind::Order, 1),
            LoadKind::Lookup | LoadKind::Report => (RouteKind::Read, 2),
        };
        Route {
            name: shape.name.to_owned(),
            host: self.host().to_owned(),
            prefix: shape.path(),
            kind,
            timeout: TIMEOUT,
            aim: AIM,
            rank: u8::from(shape.load == LoadKind::Report),
            attempts,
            public: false,
            parts: vec![Part {
                service: shape.name.into(),
                weight: 1,
            }],
        }
    }
}

impl ServiceShape {
    /// Returns the path prefix.
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
