//! The scheduler of a server is lost while the server has requests.

mod support;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetOptions;
use futures_util::future::join;
use futures_util::future::join_all;
use support::World;
use support::wait_until;

const KEY: u16 = 7;

/// Path of a request that takes 700 ms.
const LONG_REQUEST: &str = "/key/x?work_us=700000";

/// Time after the loss at which both are still running.
const SAMPLED_AFTER: Millis = Millis(450);

/// Guards against a new scheduler that fills the slots of a server which are taken already. Load: a server with two slots
/// and no queue runs two requests of 700 ms for one host when its scheduler is killed. Then both remaining hosts get
/// three more requests for it, of which the server may refuse none as beyond its queue while the two run.
#[test]
fn a_server_gets_no_more_than_its_slots_after_its_scheduler_is_lost() {
    block_on(async {
        let world = World::start("scheduler-loss").await;
        world.configure().await;
        let server = world
            .server_with(TargetOptions {
                service: "kits".into(),
                keyed: true,
                queue: 0,
                ..TargetOptions::new("k-1")
            })
            .await;
        let mut routers = vec![
            world.router("a").await,
            world.router("b").await,
            world.router("c").await,
        ];
        wait_until("the key is granted", async || server.owns(KEY)).await;
        wait_until("one host schedules", async || {
            let _ = routers[0].caller().key(KEY).await;
            routers.iter().filter(|r| r.schedules("kits", 2)).count() == 1
        })
        .await;
        let at = routers.iter().position(|r| r.schedules("kits", 2)).unwrap();
        let scheduler = routers.remove(at);
        let callers = [routers[0].caller(), routers[0].caller()];
        let long = callers.map(|caller| {
            monoio::spawn(async move { caller.call("GET", LONG_REQUEST, Some(KEY), 1_500).await })
        });
        wait_until("both slots are taken", async || {
            server.ledger().max_busy == 2
        })
        .await;
        drop(scheduler);
        let callers: Vec<_> = (0..6).map(|i| routers[i % 2].caller()).collect();
        let later = join_all(callers.iter().map(|c| c.key(KEY)));
        let sampled = async {
            monoio::time::sleep(SAMPLED_AFTER.to_duration()).await;
            server.ledger()
        };
        let (later, ledger) = join(later, sampled).await;
        for response in join_all(long).await {
            assert_eq!(response.unwrap().status(), 200);
        }
        let statuses: Vec<u16> = later
            .into_iter()
            .map(|r| r.unwrap().status().into())
            .collect();
        println!("{statuses:?}, {} refused by the server", ledger.shed);
        assert_eq!((ledger.shed, ledger.max_busy), (0, 2), "{statuses:?}");
        assert!(
            statuses.iter().all(|s| [200, 503].contains(s)),
            "{statuses:?}"
        );
        wait_until("the new scheduler knows of the requests", async || {
            routers
                .iter()
                .any(|r| r.log().contains("log=requests_adopted"))
        })
        .await;
    });
}
