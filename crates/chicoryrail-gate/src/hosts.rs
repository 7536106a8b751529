//! Follows the platform's list of hosts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_platform::HostList;
use chicoryrail_platform::HttpHostList;
use chicoryrail_wire::Peer;

use crate::gate::Gate;
use crate::route_task;

/// Time between two readings. The list lags by more than that anyway.
const READ_EVERY: Millis = Millis(1_000);

/// Reads the list, and starts a task for each controller that is new in it.
pub(crate) async fn follow(gate: Rc<Gate>) {
    let list = HttpHostList::new(gate.settings.host.list);
    loop {
        if let Some(hosts) = list.hosts().await {
            let own = &gate.settings.host.host;
            let gates = hosts
                .iter()
                .filter(|h| h.name != *own)
                .map(|h| (h.name.clone(), h.gate));
            let _ = update(&mut gate.gates.borrow_mut(), gates);
            let controllers = hosts.iter().map(|h| (h.name.clone(), h.controller));
            let new = update(&mut gate.controllers.borrow_mut(), controllers);
            for (host, peer) in new {
                monoio::spawn(route_task::follow(Rc::clone(&gate), host, peer));
            }
        }
        gate.process.clock.sleep(READ_EVERY).await;
    }
}

/// Brings `known` in line with the list and returns what is new in it. A peer that stays keeps its
/// connection.
fn update(
    known: &mut HashMap<HostName, Peer>,
    listed: impl Iterator<Item = (HostName, SocketAddr)>,
) -> Vec<(HostName, Peer)> {
    let listed: HashMap<_, _> = listed.collect();
    known.retain(|host, peer| listed.get(host) == Some(&peer.addr()));
    let mut new = Vec::new();
    for (host, addr) in listed {
        if !known.contains_key(&host) {
            let peer = Peer::new(addr);
            known.insert(host.clone(), peer.clone());
            new.push((host, peer));
        }
    }
    new
}
