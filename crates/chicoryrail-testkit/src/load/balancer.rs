//! The platform's load balancer in front of the hosts.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::HttpClient;
use http::Request;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::LoadHost;

/// Interval between two health checks of a host.
const CHECK_INTERVAL: Millis = Millis(200);

/// Timeout of a health check.
const CHECK_TIMEOUT: Millis = Millis(200);

/// Balances requests over the hosts whose last health check passed.
///
/// A host without a readiness address always counts as healthy.
#[derive(Clone, Debug)]
pub(crate) struct Balancer {
    hosts: Rc<Vec<CheckedHost>>,
}

#[derive(Debug)]
struct CheckedHost {
    addr: SocketAddr,
    healthy: Cell<bool>,
}

impl Balancer {
    /// Starts the health checks; they end with the runtime.
    pub(crate) fn start(hosts: &[LoadHost]) -> Self {
        let checked = hosts.iter().map(|h| CheckedHost {
            addr: h.addr,
            healthy: Cell::new(true),
        });
        let this = Self {
            hosts: Rc::new(checked.collect()),
        };
        for (i, host) in hosts.iter().enumerate() {
            if let Some(addr) = host.readiness {
                monoio::spawn(this.clone().check(i, addr));
            }
        }
        this
    }

    /// Returns all hosts in the order in which a request tries them: first those that are healthy or to which callers
    /// are connected, each group from a random start.
    pub(crate) fn host_order(
        &self,
        rng: &mut Pcg64Mcg,
        is_connected: impl Fn(SocketAddr) -> bool,
    ) -> Vec<SocketAddr> {
        let n = self.hosts.len();
        let start = rng.random_range(0..n.max(1));
        let rotated = || (0..n).map(move |i| &self.hosts[(start + i) % n]);
        let is_first = |h: &&CheckedHost| h.healthy.get() || is_connected(h.addr);
        let (mut first, last): (Vec<_>, Vec<_>) = rotated().partition(is_first);
        first.extend(last);
        first.into_iter().map(|h| h.addr).collect()
    }

    async fn check(self, i: usize, addr: SocketAddr) {
        let client = HttpClient::default();
        loop {
            let request = Request::get("/-/readyz")
                .body(Bytes::new())
                .expect("a constant request is valid");
            let response = client.call(addr, request, CHECK_TIMEOUT).await;
            let healthy = response.is_ok_and(|r| r.status() == 200);
            self.hosts[i].healthy.set(healthy);
            monoio::time::sleep(CHECK_INTERVAL.to_duration()).await;
        }
    }
}
