//! The platform's balancer before the gates.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::HttpClient;
use http::Request;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::LoadGate;

/// Wait between two health checks of a gate.
const CHECK: Millis = Millis(200);

/// Longest time a health check may take.
const CHECK_LIMIT: Millis = Millis(200);

/// Chooses gates whose last health check passed.
///
/// A gate without an address to check counts as healthy.
#[derive(Clone, Debug)]
pub(crate) struct Balancer {
    gates: Rc<Vec<Checked>>,
}

#[derive(Debug)]
struct Checked {
    callers: SocketAddr,
    healthy: Cell<bool>,
}

impl Balancer {
    /// Starts the checks; they end with the runtime.
    pub(crate) fn start(gates: &[LoadGate]) -> Self {
        let checked = gates.iter().map(|g| Checked {
            callers: g.callers,
            healthy: Cell::new(true),
        });
        let this = Self {
            gates: Rc::new(checked.collect()),
        };
        for (i, gate) in gates.iter().enumerate() {
            if let Some(addr) = gate.observe {
                monoio::spawn(this.clone().check(i, addr));
            }
        }
        this
    }

    /// Returns the gates in the order in which a request tries them: healthy ones first.
    pub(crate) fn order(&self, rng: &mut Pcg64Mcg) -> Vec<SocketAddr> {
        let n = self.gates.len();
        let start = rng.random_range(0..n.max(1));
        let turned = || (0..n).map(move |i| &self.gates[(start + i) % n]);
        let healthy = turned().filter(|g| g.healthy.get());
        let rest = turned().filter(|g| !g.healthy.get());
        healthy.chain(rest).map(|g| g.callers).collect()
    }

    async fn check(self, i: usize, addr: SocketAddr) {
        let client = HttpClient::default();
        loop {
            let request = Request::get("/readyz")
                .body(Bytes::new())
                .expect("a constant request is valid");
            let answer = client.call(addr, request, CHECK_LIMIT).await;
            let healthy = answer.is_ok_and(|a| a.status() == 200);
            self.gates[i].healthy.set(healthy);
            monoio::time::sleep(CHECK.duration()).await;
        }
    }
}
