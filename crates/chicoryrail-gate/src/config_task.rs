//! Follows the configuration.

use std::rc::Rc;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_wire::ConfigRequest;
use chicoryrail_wire::Peer;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;

use crate::gate::Gate;

/// Time that a controller may hold the call. The next call goes to another controller, so that one
/// that is cut off from the store delays news by no more than this.
const WAIT: Millis = Millis(1_000);

/// Time for the answer beyond the wait.
const CALL_LIMIT: Millis = Millis(500);

/// Rest after a failed call or while no controller is known.
const PAUSE: Millis = Millis(50);

/// Asks one controller after the other for a newer configuration, the own host's first.
pub(crate) async fn follow(gate: Rc<Gate>) {
    let mut last: Option<HostName> = None;
    loop {
        let next = next(&gate, last.as_ref());
        let Some((host, peer)) = next else {
            gate.process.clock.sleep(PAUSE).await;
            continue;
        };
        let wait = if gate.version() == 0 {
            Millis::ZERO
        } else {
            WAIT
        };
        let answered = ask(&gate, &peer, wait).await;
        last = Some(host);
        if !answered || gate.version() == 0 {
            gate.process.clock.sleep(PAUSE).await;
        }
    }
}

/// Asks a controller and applies what it gives; returns whether it answered.
pub(crate) async fn ask(gate: &Gate, peer: &Peer, wait: Millis) -> bool {
    let request = Request::Config(ConfigRequest {
        host: gate.settings.host.host.clone(),
        known: gate.version(),
        wait,
    });
    match peer.call(&request, wait + CALL_LIMIT).await {
        Ok(Reply::Config(reply)) => {
            if let Some(config) = reply.config {
                gate.apply_config(config);
            }
            true
        }
        _ => false,
    }
}

/// Returns the controller after `last` in the order of names; the own host's at first.
fn next(gate: &Gate, last: Option<&HostName>) -> Option<(HostName, Peer)> {
    let controllers = gate.controllers.borrow();
    let mut hosts: Vec<_> = controllers.keys().collect();
    hosts.sort();
    let host = match last {
        None => hosts
            .iter()
            .find(|h| ***h == gate.settings.host.host)
            .or(hosts.first()),
        Some(last) => hosts.iter().find(|h| **h > last).or(hosts.first()),
    };
    let host = *host?;
    controllers.get(host).map(|p| (host.clone(), p.clone()))
}
