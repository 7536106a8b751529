//! A service with so many servers that those of each data centre are scheduled separately.

mod support;

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetOptions;
use futures_util::future::join_all;
use support::Server;
use support::World;

/// Servers per data centre: enough for separate scheduling.
const SERVERS_PER_DC: usize = 14;

async fn start_servers(world: &World, dc: &str) -> Vec<Rc<Server>> {
    let mut servers = Vec::new();
    for i in 0..SERVERS_PER_DC {
        let options = TargetOptions {
            service: "desk".into(),
            dc: dc.into(),
            slots: 1,
            ..TargetOptions::new(&format!("{dc}-{i:02}"))
        };
        let server = world.server_with(options).await;
        server.set_work(Millis(300));
        servers.push(server);
    }
    servers
}

fn runs(servers: &[Rc<Server>]) -> usize {
    servers.iter().map(|s| s.executed()).sum()
}

/// Guards against requests that leave their callers' data centre although it has free slots, and against requests that
/// queue or are refused although the other data centre has free slots: requests of a burst beyond the slots of one data
/// centre run in the other one at once.
#[test]
fn a_burst_overflows_to_the_other_data_centre() {
    block_on(async {
        let world = World::start("divided").await;
        world.configure().await;
        let west = start_servers(&world, "west").await;
        let east = start_servers(&world, "east").await;
        let router = world.router("a").await;
        // The parts exchange their free slots at intervals.
        monoio::time::sleep(Millis(600).to_duration()).await;
        for _ in 0..4 {
            assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 200);
        }
        assert_eq!((runs(&west), runs(&east)), (4, 0));
        let callers: Vec<_> = (0..SERVERS_PER_DC + 4).map(|_| router.caller()).collect();
        let responses = join_all(callers.iter().map(|c| c.get("/read/1"))).await;
        assert!(responses.into_iter().all(|r| r.unwrap().status() == 200));
        assert_eq!((runs(&west), runs(&east)), (4 + SERVERS_PER_DC, 4));
    });
}
