//! A service with so many servers that each data centre's are scheduled by themselves.

mod support;

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetOptions;
use futures_util::future::join_all;
use support::Server;
use support::World;

/// Servers of each data centre; enough for a division.
const EACH: usize = 14;

async fn servers(world: &World, dc: &str) -> Vec<Rc<Server>> {
    let mut servers = Vec::new();
    for i in 0..EACH {
        let options = TargetOptions {
            service: "desk".into(),
            dc: dc.into(),
            slots: 1,
            ..TargetOptions::new(&format!("{dc}-{i:02}"))
        };
        let server = world.server_with(options).await;
        server.takes(Millis(300));
        servers.push(server);
    }
    servers
}

fn runs(servers: &[Rc<Server>]) -> usize {
    servers.iter().map(|s| s.runs()).sum()
}

/// Callers of one data centre ask for little: they are served there, and nothing crosses to the other one. Then more
/// of them come at once than it has slots: those beyond it are served in the other one, in the time of their work,
/// instead of waiting for a second turn or being refused.
#[test]
fn a_burst_overflows_to_the_other_data_centre() {
    block_on(async {
        let world = World::start("divided").await;
        world.configure().await;
        let west = servers(&world, "west").await;
        let east = servers(&world, "east").await;
        let router = world.router("a").await;
        // The free slots of the other data centre are told at intervals.
        monoio::time::sleep(Millis(600).duration()).await;
        for _ in 0..4 {
            assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 200);
        }
        assert_eq!((runs(&west), runs(&east)), (4, 0));
        let callers: Vec<_> = (0..EACH + 4).map(|_| router.caller()).collect();
        let answers = join_all(callers.iter().map(|c| c.get("/read/1"))).await;
        assert!(answers.into_iter().all(|a| a.unwrap().status() == 200));
        assert_eq!((runs(&west), runs(&east)), (4 + EACH, 4));
    });
}
