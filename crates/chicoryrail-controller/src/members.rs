//! Heartbeats with the hosts of the list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_platform::HostEntry;
use chicoryrail_platform::HostList;
use chicoryrail_platform::HttpHostList;
use chicoryrail_platform::ListedState;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;

use crate::Controller;

/// Time between two readings of the list, which itself lags by more.
const LIST_EVERY: Millis = Millis(500);
/// Time between two heartbeats.
const BEAT_EVERY: Millis = Millis(100);
/// Longest time a heartbeat may take; below the silence that makes a process suspect.
const BEAT_LIMIT: Millis = Millis(250);

/// Reads the list and keeps one heartbeat task for each process on it.
pub(crate) async fn follow_list(controller: Rc<Controller>) {
    let list = HttpHostList::new(controller.settings.host.list);
    let mut tasks: BTreeMap<SocketAddr, CancellationToken> = BTreeMap::new();
    loop {
        if let Some(hosts) = list.hosts().await {
            take_list(&controller, hosts);
            let wanted = addresses(&controller);
            tasks.retain(|addr, token| {
                let keep = wanted.contains_key(addr);
                if !keep {
                    token.cancel();
                }
                keep
            });
            for (addr, _) in wanted {
                tasks.entry(addr).or_insert_with(|| {
                    let token = CancellationToken::new();
                    monoio::spawn(beat(Rc::clone(&controller), addr, token.clone()));
                    token
                });
            }
        }
        controller.process.clock.sleep(LIST_EVERY).await;
    }
}

fn take_list(controller: &Controller, hosts: Vec<HostEntry>) {
    let now = controller.now();
    let named = |e: &HostEntry| (e.name.clone(), e.state == ListedState::Leaving);
    let mut gates = controller.gates.borrow_mut();
    gates.listed(now, hosts.iter().map(named));
    let mut controllers = controller.controllers.borrow_mut();
    controllers.listed(now, hosts.iter().map(named));
    let hosts = hosts.into_iter().map(|h| (h.name.clone(), h));
    *controller.hosts.borrow_mut() = hosts.collect();
}

fn addresses(controller: &Controller) -> BTreeMap<SocketAddr, HostName> {
    let hosts = controller.hosts.borrow();
    let mut all = BTreeMap::new();
    for host in hosts.values() {
        all.insert(host.gate, host.name.clone());
        if host.name != *controller.own() {
            all.insert(host.controller, host.name.clone());
        }
    }
    all
}

/// Exchanges heartbeats with one process.
async fn beat(controller: Rc<Controller>, addr: SocketAddr, token: CancellationToken) {
    while !token.is_cancelled() {
        let peer = controller.peer(addr);
        let request = Request::Heartbeat(controller.heartbeat());
        if let Ok(Reply::Heartbeat(reply)) = peer.call(&request, BEAT_LIMIT).await {
            controller.heard(&reply.own);
        }
        controller.process.clock.sleep(BEAT_EVERY).await;
    }
    controller.peers.borrow_mut().remove(&addr);
}
