//! A configuration and the lookups in it.

use std::sync::Arc;

use crate::CallerLimits;
use crate::Organisation;
use crate::OrganisationName;
use crate::Route;
use crate::RouteKind;
use crate::ServiceName;
use crate::ServiceSpec;

/// One version of the operator's configuration as a whole, called a site.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Version number. A configuration replaces only one with a lower version.
    pub version: u64,
    /// Limits on callers' connections and requests.
    pub limits: CallerLimits,
    /// Services that routes refer to by name.
    pub services: Vec<ServiceSpec>,
    routes: Vec<Arc<Route>>,
    has_uploads: bool,
    organisations: Option<Vec<Arc<Organisation>>>,
}

impl Site {
    /// Creates a configuration without organisations; the order of the routes does not matter.
    #[must_use]
    pub fn new(
        version: u64,
        limits: CallerLimits,
        services: Vec<ServiceSpec>,
        mut routes: Vec<Route>,
    ) -> Self {
        // Within a host, longer prefixes come first, so the first route that matches has the longest prefix.
        routes.sort_by(|a, b| {
            let length = b.prefix.len().cmp(&a.prefix.len());
            a.host.cmp(&b.host).then(length)
        });
        Self {
            version,
            limits,
            services,
            has_uploads: routes.iter().any(|r| r.kind == RouteKind::Upload),
            routes: routes.into_iter().map(Arc::new).collect(),
            organisations: None,
        }
    }

    /// Sets the organisations; `None` if requests need no API keys.
    #[must_use]
    pub fn with_organisations(mut self, organisations: Option<Vec<Organisation>>) -> Self {
        self.organisations = organisations.map(|all| all.into_iter().map(Arc::new).collect());
        self
    }

    /// Returns the organisations; `None` if requests need no API keys.
    #[must_use]
    pub fn organisations(&self) -> Option<&[Arc<Organisation>]> {
        self.organisations.as_deref()
    }

    /// Returns the organisation with this name.
    #[must_use]
    pub fn organisation(&self, name: &OrganisationName) -> Option<&Arc<Organisation>> {
        let mut all = self.organisations()?.iter();
        all.find(|o| o.name == *name)
    }

    /// Returns the routes, sorted by host, longest prefix first.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    /// Returns the route of a request: the one with its host and the longest matching path prefix.
    ///
    /// `host` must be in lower case.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let first = self.routes.partition_point(|r| *r.host < *host);
        self.routes[first..]
            .iter()
            .take_while(|r| r.host == host)
            .find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns `true` if there is a route for uploads.
    #[must_use]
    pub const fn has_uploads(&self) -> bool {
        self.has_uploads
    }

    /// Returns `true` if a route that leads to a service tolerates waiting.
    #[must_use]
    pub fn tolerates_waiting(&self, service: &ServiceName) -> bool {
        let leads_there = |r: &Route| r.services.iter().any(|s| s.service == *service);
        let mut routes = self.routes.iter();
        routes.any(|r| r.tolerates_waiting() && leads_there(r))
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.iter().find(|s| s.name == *name)
    }
}
