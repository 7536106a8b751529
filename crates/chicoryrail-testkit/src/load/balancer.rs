//! The platform's balancer before the hosts.

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

/// Wait between two health checks of a host.
const CHECK: Millis = Millis(200);

/// Longest time a health check may take.
const CHECK_LIMIT: Millis = Millis(200);

/// Chooses hosts whose last health check passed.
///
/// A host without an address to check counts as healthy.
#[derive(Clone, Debug)]
pub(crate) struct Balancer {
    hosts: Rc<Vec<Checked>>,
}

#[derive(Debug)]
struct Checked {
    callers: SocketAddr,
    healthy: Cell<bool>,
}

impl Balancer {
    /// Starts the checks; they end with the runtime.
    pub(crate) fn start(hosts: &[LoadHost]) -> Self {
        let checked = hosts.iter().map(|h| Checked {
            callers: h.callers,
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

    /// Returns the hosts in the order in which a request tries them: healthy ones first.
    pub(crate) fn order(&self, rng: &mut Pcg64Mcg) -> Vec<SocketAddr> {
        let n = self.hosts.len();
        let start = rng.random_range(0..n.max(1));
        let turned = || (0..n).map(move |i| &self.hosts[(start + i) % n]);
        let healthy = turned().filter(|h| h.healthy.get());
        let rest = turned().filter(|g| !g.healthy.get());
        healthy.chain(rest).map(|h| h.callers).collect()
    }

    async fn check(self, i: usize, addr: SocketAddr) {
        let client = HttpClient::default();
        loop {
            let request = Request::get("/-/readyz")
                .body(Bytes::new())
                .expect("a constant request is valid");
            let answer = client.call(addr, request, CHECK_LIMIT).await;
            let healthy = answer.is_ok_and(|a| a.status() == 200);
            self.hosts[i].healthy.set(healthy);
            monoio::time::sleep(CHECK.duration()).await;
        }
    }
}
