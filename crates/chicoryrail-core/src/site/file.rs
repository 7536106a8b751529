//! The configuration file that operators write.

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::CallerLimits;
use crate::Idempotency;
use crate::Millis;
use crate::OrganisationSection;
use crate::Route;
use crate::RouteKind;
use crate::ServiceName;
use crate::ServiceSpec;
use crate::Site;
use crate::WeightedService;

/// An invalid value in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{field} = {value}: {reason}"))]
pub struct SiteError {
    /// Path of the field, such as `route.NAME.prefix`.
    pub field: String,
    /// Value as shown to the operator, empty if there is none; a placeholder replaces an API key.
    pub value: String,
    /// Rule that the value breaks.
    pub reason: &'static str,
}

/// A configuration file in TOML. Times are in milliseconds, sizes in bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteFile {
    /// Limits on callers' connections and requests.
    #[serde(default)]
    pub limits: LimitsSection,
    /// Services that routes refer to by name.
    #[serde(rename = "service")]
    pub services: Vec<ServiceSection>,
    /// Routes. A request is served by the route with its host and the longest matching path prefix.
    #[serde(rename = "route")]
    pub routes: Vec<RouteSection>,
    /// Organisations. If the list is present, each request needs an API key of one of them, except on public routes.
    #[serde(
        rename = "organisation",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub organisations: Option<Vec<OrganisationSection>>,
}

/// Section with limits on callers' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsSection {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Maximum time for a request head to arrive.
    pub head_ms: Millis,
    /// Time after which an idle connection may be closed.
    pub idle_ms: Millis,
}

/// Section that describes a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSection {
    /// Name, unique within the file.
    pub name: ServiceName,
    /// Whether each key has one server as its owner, which receives all requests for the key.
    #[serde(default)]
    pub keyed: bool,
    /// Path of the servers' health check; starts with a slash.
    pub health: String,
    /// Maximum number of connections to one server, from all hosts together; above 0.
    pub connections: u32,
    /// Length of a server's warm-up after its start; 0 if the servers need none.
    #[serde(default)]
    pub cold_ms: Millis,
    /// Maximum rate of requests to a server that warms up, in requests per second from all hosts together; above 0 if
    /// `cold_ms` is above 0.
    #[serde(default)]
    pub cold_rate: f64,
}

/// Section that describes a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSection {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host in callers' requests; upper and lower case are the same.
    pub host: String,
    /// Prefix of the path; starts and ends with a slash.
    pub prefix: String,
    /// Whether a request must run at most once. If false, requests are idempotent and may be retried after any failure.
    #[serde(default)]
    pub once: bool,
    /// Whether responses are large; must not be set together with `once`.
    #[serde(default)]
    pub download: bool,
    /// Whether request bodies are large; implies `once` and must not be set together with `download`.
    #[serde(default)]
    pub upload: bool,
    /// Maximum time for a request, including its wait for a server and all retries.
    pub timeout_ms: Millis,
    /// Latency target, at most `timeout_ms`; see [`Route::latency_target`].
    pub aim_ms: Millis,
    /// Priority when capacity is short: lower numbers are served first, and 0 is the highest priority.
    #[serde(default)]
    pub rank: u8,
    /// Maximum number of sends of one request that may have run it, including the first; see [`Route::max_attempts`].
    #[serde(default = "one")]
    pub attempts: u32,
    /// Whether requests are accepted without an API key; see [`Route::public`].
    #[serde(default)]
    pub public: bool,
    /// Services that receive the requests; at least one weight is above 0.
    pub services: Vec<WeightedServiceSection>,
}

/// Entry of a route's `services`: a service and its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedServiceSection {
    /// Name of the service.
    pub name: ServiceName,
    /// Share, relative to the weights of the route's other services.
    #[serde(default = "one")]
    pub weight: u32,
}

const fn one() -> u32 {
    1
}

impl Default for LimitsSection {
    fn default() -> Self {
        Self::from_limits(&CallerLimits::default())
    }
}

impl LimitsSection {
    const fn from_limits(limits: &CallerLimits) -> Self {
        Self {
            head_bytes: limits.max_head,
            body_bytes: limits.max_body,
            head_ms: limits.head_timeout,
            idle_ms: limits.idle_timeout,
        }
    }
}

impl SiteFile {
    /// Returns the file that describes a configuration; the version is not part of it.
    #[must_use]
    pub fn from_site(site: &Site) -> Self {
        let service = |s: &ServiceSpec| ServiceSection {
            name: s.name.clone(),
            keyed: s.keyed,
            health: s.health_path.clone(),
            connections: s.max_connections,
            cold_ms: s.warmup,
            cold_rate: s.warmup_rate_max,
        };
        Self {
            limits: LimitsSection::from_limits(&site.limits),
            services: site.services.iter().map(service).collect(),
            routes: site
                .routes()
                .iter()
                .map(|r| RouteSection::from_route(r))
                .collect(),
            organisations: site.organisations().map(|all| {
                all.iter()
                    .map(|o| OrganisationSection::from_organisation(o))
                    .collect()
            }),
        }
    }

    /// Checks the file and builds the configuration with this version.
    ///
    /// # Errors
    ///
    /// Returns the first field with an invalid value.
    pub fn build(&self, version: u64) -> Result<Site, SiteError> {
        for (i, service) in self.services.iter().enumerate() {
            service.check()?;
            let mut earlier = self.services[..i].iter();
            if earlier.any(|s| s.name == service.name) {
                let field = format!("service.{}.name", service.name);
                return Err(invalid_field(field, &service.name, "is used twice"));
            }
        }
        for (i, route) in self.routes.iter().enumerate() {
            route.check(&self.services)?;
            let is_duplicate = |r: &&RouteSection| r.host == route.host && r.prefix == route.prefix;
            if let Some(other) = self.routes[..i].iter().find(is_duplicate) {
                let field = format!("route.{}.prefix", route.name);
                let value = format!("{} of route {}", route.prefix, other.name);
                return Err(invalid_field(
                    field,
                    &value,
                    "is used twice for the same host",
                ));
            }
        }
        let organisations = self.organisations.as_deref();
        for (i, organisation) in organisations.unwrap_or_default().iter().enumerate() {
            organisation.check(&organisations.unwrap_or_default()[..i])?;
        }
        let limits = CallerLimits {
            max_head: self.limits.head_bytes,
            max_body: self.limits.body_bytes,
            head_timeout: self.limits.head_ms,
            idle_timeout: self.limits.idle_ms,
        };
        let services = self.services.iter().map(ServiceSection::build);
        let routes = self.routes.iter().map(RouteSection::build);
        let site = Site::new(version, limits, services.collect(), routes.collect());
        let organisations =
            organisations.map(|all| all.iter().map(OrganisationSection::build).collect());
        Ok(site.with_organisations(organisations))
    }
}

impl ServiceSection {
    fn check(&self) -> Result<(), SiteError> {
        let field = |name: &str| format!("service.{}.{name}", self.name);
        if !self.name.is_valid() {
            let reason = "must be 1 to 64 characters of a-z 0-9 - _ .";
            return Err(invalid_field(field("name"), &self.name, reason));
        }
        if !self.health.starts_with('/') {
            return Err(invalid_field(
                field("health"),
                &self.health,
                "must start with a slash",
            ));
        }
        if self.connections == 0 {
            return Err(invalid_field(field("connections"), &0, "must be above 0"));
        }
        if !(self.cold_rate.is_finite() && self.cold_rate >= 0.0) {
            return Err(invalid_field(
                field("cold_rate"),
                &self.cold_rate,
                "must be 0 or more",
            ));
        }
        if self.cold_ms > Millis::ZERO && self.cold_rate == 0.0 {
            let reason = "must be above 0 if cold_ms is above 0";
            return Err(invalid_field(field("cold_rate"), &self.cold_rate, reason));
        }
        Ok(())
    }

    fn build(&self) -> ServiceSpec {
        ServiceSpec {
            name: self.name.clone(),
            health_path: self.health.clone(),
            max_connections: self.connections,
            warmup: self.cold_ms,
            warmup_rate_max: self.cold_rate,
            keyed: self.keyed,
        }
    }
}

impl RouteSection {
    fn from_route(route: &Route) -> Self {
        let section = |s: &WeightedService| WeightedServiceSection {
            name: s.service.clone(),
            weight: s.weight,
        };
        Self {
            name: route.name.clone(),
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            once: route.kind.idempotency() == Idempotency::AtMostOnce,
            download: route.kind == RouteKind::Download,
            upload: route.kind == RouteKind::Upload,
            timeout_ms: route.timeout,
            aim_ms: route.latency_target,
            rank: route.priority,
            attempts: route.max_attempts,
            public: route.public,
            services: route.services.iter().map(section).collect(),
        }
    }

    fn check(&self, services: &[ServiceSection]) -> Result<(), SiteError> {
        let field = |name: &str| format!("route.{}.{name}", self.name);
        if self.host.is_empty() {
            return Err(invalid_field(field("host"), &"", "must not be empty"));
        }
        if !(self.prefix.starts_with('/') && self.prefix.ends_with('/')) {
            let reason = "must start and end with a slash";
            return Err(invalid_field(field("prefix"), &self.prefix, reason));
        }
        if self.timeout_ms == Millis::ZERO {
            return Err(invalid_field(field("timeout_ms"), &0, "must be above 0"));
        }
        if self.aim_ms > self.timeout_ms {
            let reason = "must not be above timeout_ms";
            return Err(invalid_field(field("aim_ms"), &self.aim_ms.0, reason));
        }
        if self.once && self.download {
            let reason = "must not be true together with once";
            return Err(invalid_field(field("download"), &true, reason));
        }
        if self.upload && self.download {
            let reason = "must not be true together with download";
            return Err(invalid_field(field("upload"), &true, reason));
        }
        if self.attempts == 0 {
            return Err(invalid_field(field("attempts"), &0, "must be above 0"));
        }
        let is_unknown = |w: &&WeightedServiceSection| !services.iter().any(|s| s.name == w.name);
        if let Some(unknown) = self.services.iter().find(is_unknown) {
            return Err(invalid_field(
                field("services"),
                &unknown.name,
                "is not a service of this file",
            ));
        }
        if self.services.iter().all(|w| w.weight == 0) {
            return Err(invalid_field(
                field("services"),
                &"",
                "must include a weight above 0",
            ));
        }
        Ok(())
    }

    const fn kind(&self) -> RouteKind {
        match (self.once, self.download, self.upload) {
            (_, _, true) => RouteKind::Upload,
            (true, _, false) => RouteKind::Order,
            (false, true, false) => RouteKind::Download,
            (false, false, false) => RouteKind::Read,
        }
    }

    fn build(&self) -> Route {
        let weighted_service = |w: &WeightedServiceSection| WeightedService {
            service: w.name.clone(),
            weight: w.weight,
        };
        Route {
            name: self.name.clone(),
            host: self.host.to_ascii_lowercase(),
            prefix: self.prefix.clone(),
            kind: self.kind(),
            timeout: self.timeout_ms,
            latency_target: self.aim_ms,
            priority: self.rank,
            max_attempts: self.attempts,
            public: self.public,
            services: self.services.iter().map(weighted_service).collect(),
        }
    }
}

pub(super) fn invalid_field(
    field: String,
    value: &dyn std::fmt::Display,
    reason: &'static str,
) -> SiteError {
    SiteError {
        field,
        value: value.to_string(),
        reason,
    }
}
