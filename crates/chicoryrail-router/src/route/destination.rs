//! Finds the route and the service of a request by the configuration.

use std::sync::Arc;

use chicoryrail_core::Millis;
use chicoryrail_core::Route;
use chicoryrail_core::ServiceSpec;
use chicoryrail_core::Site;
use http::header::HOST;
use http::request::Parts;

use crate::state::Router;

/// Where a request goes by the configuration.
pub(super) struct Destination<'a> {
    pub(super) site: &'a Site,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceSpec,
}

/// Returns the route that matches a request's host and path.
pub(super) fn find_route(site: &Site, head: &Parts) -> Option<Arc<Route>> {
    let authority = head.headers.get(HOST).and_then(|h| h.to_str().ok());
    let authority = authority.or_else(|| head.uri.host())?;
    let host = authority
        .rsplit_once(':')
        .map_or(authority, |(host, _)| host);
    let route = site.route(&host.to_ascii_lowercase(), head.uri.path());
    route.cloned()
}

/// Selects one of the route's services by weighted round robin. The configuration decoder accepts only routes whose
/// services are configured, so the default at the end is never used.
pub(super) fn pick_service(router: &Router, site: &Site, route: &Route) -> ServiceSpec {
    let index = if route.services.len() > 1 {
        let weights: Vec<u32> = route.services.iter().map(|p| p.weight).collect();
        router.next_weighted(&route.name, &weights)
    } else {
        0
    };
    let name = &route.services[index].service;
    let spec = site.service(name).cloned();
    spec.unwrap_or_else(|| ServiceSpec {
        name: name.clone(),
        health_path: String::new(),
        max_connections: u32::MAX,
        warmup: Millis::ZERO,
        warmup_rate_max: 0.0,
        keyed: false,
    })
}
