//! A leader whose process is suspended and continues after another host has taken over.

mod support;

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::StoreFault;
use nix::sys::signal::Signal;
use support::RouterProcess;
use support::Server;
use support::World;
use support::wait_until;

const KEYS: [u16; 4] = [0, 21_845, 50_000, 65_535];

/// Number of datagrams that fill the receive buffer of a socket.
const BUFFER_DATAGRAMS: usize = 2_000;

async fn sleep(time: Millis) {
    monoio::time::sleep(time.to_duration()).await;
}

/// Returns the address for datagrams from other hosts.
fn peer_addr(router: &RouterProcess) -> SocketAddr {
    let log = router.log();
    let line = log.lines().find(|l| l.contains("log=present ")).unwrap();
    let addr = line.split(' ').find_map(|f| f.strip_prefix("addr="));
    addr.unwrap().parse().unwrap()
}

fn are_granted(servers: &[Rc<Server>]) -> bool {
    KEYS.iter().all(|key| servers.iter().any(|s| s.owns(*key)))
}

/// Guards against two leaders that grant keys: a suspended leader's socket keeps the datagrams that arrived first, and
/// drops later ones once its buffer is full. When it continues without the store, these heartbeats are no evidence that
/// no other host leads.
#[test]
fn heartbeats_from_before_a_suspension_do_not_let_a_leader_act() {
    block_on(async {
        let world = World::start("suspended").await;
        world.configure().await;
        let servers = [
            world.server("k-1", "kits").await,
            world.server("k-2", "kits").await,
        ];
        let first = world.router("a").await;
        wait_until("all keys are granted", async || are_granted(&servers)).await;
        let others = [world.router("b").await, world.router("c").await];
        wait_until("the others are core hosts", async || {
            others.iter().all(|o| o.log().contains("log=present "))
        })
        .await;
        sleep(Millis(1_000)).await;
        assert!(first.log().contains("log=leader_won"));

        first.signal(Signal::SIGSTOP);
        // Each of the others sends a heartbeat, and does not know of another leader yet.
        sleep(Millis(500)).await;
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        for _ in 0..BUFFER_DATAGRAMS {
            socket.send_to(&[u8::MAX], peer_addr(&first)).unwrap();
        }
        wait_until("another host leads", async || {
            let leads = |o: &RouterProcess| o.log().contains("log=keys_written ");
            others.iter().any(leads)
        })
        .await;
        sleep(Millis(1_500)).await;
        let down = StoreFault::Down {
            for_ms: 5_000,
            share: 1.0,
            polite: true,
            hosts: Vec::new(),
        };
        world.fault(&down).await;
        others.iter().for_each(|o| o.signal(Signal::SIGSTOP));
        first.signal(Signal::SIGCONT);
        sleep(Millis(1_500)).await;
        others.iter().for_each(|o| o.signal(Signal::SIGCONT));
        wait_until("the first host has noticed", async || {
            let log = first.log();
            log.contains("log=paused ") && log.contains("log=leader_lost ")
        })
        .await;
        let log = first.log();
        let sent = log.lines().filter(|l| l.contains("log=grant_fence_old "));
        assert_eq!(sent.collect::<Vec<_>>(), Vec::<&str>::new());
    });
}
