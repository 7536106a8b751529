//! The scheduler of a server stops while requests of other hosts wait in its queue.

mod support;

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetOptions;
use futures_util::future::join_all;
use monoio::task::JoinHandle;
use monoio::time::sleep;
use nix::sys::signal::Signal;
use serde_json::json;
use support::RouterProcess;
use support::Server;
use support::World;
use support::wait_until;

/// An upload that takes 900 ms.
const UPLOAD: &str = "/upload/x?work_us=900000";

/// Time budget of a caller.
const CALLER_TIME: Millis = Millis(9_000);

/// Number of uploads that each of the two remaining hosts gets.
const UPLOADS: usize = 4;

/// Number of trials, of which one without a delayed host is enough.
const TRIALS: usize = 5;

/// Time after the first uploads at which the scheduler is told to stop.
const STOP_AFTER: Millis = Millis(300);

/// Time after the stop in which other hosts learn of it.
const NOTICE_TIME: Millis = Millis(1_000);

/// Time for which the hosts exchange heartbeats before the server registers.
const SETTLE_TIME: Millis = Millis(1_500);

/// Starts three hosts and a server with one slot and no queue; returns the hosts, the scheduler first. All hosts know the
/// time that an upload takes.
async fn start(world: &World) -> (Rc<Server>, Vec<RouterProcess>) {
    let mut config = world.next_config();
    let paths = &mut config["virtual_hosts"][0]["paths"];
    paths.as_array_mut().unwrap().push(
        json!({"name": "upload", "prefix": "/upload/", "type": "upload", "timeout_ms": 10_000,
        "target_latency_ms": 3_300, "priority": 1, "attempts": 2, "service": "desk"}),
    );
    world.put("op/config", &config).await;
    // A host is ready only with servers.
    world.server("k-1", "kits").await;
    let mut hosts = Vec::new();
    for name in ["a", "b", "c"] {
        hosts.push(world.router(name).await);
    }
    // The hosts agree on the scheduler as soon as they know each other.
    sleep(SETTLE_TIME.to_duration()).await;
    let options = TargetOptions {
        service: "desk".into(),
        slots: 1,
        queue: 0,
        ..TargetOptions::new("d-1")
    };
    let server = world.server_with(options).await;
    for host in &hosts {
        wait_until("uploads are served", async || {
            let response = host.caller().call("POST", UPLOAD, None, 1_500).await;
            response.is_ok_and(|r| r.status() == 200)
        })
        .await;
    }
    wait_until("one host schedules", async || {
        hosts.iter().filter(|h| h.schedules("desk", 1)).count() == 1
    })
    .await;
    hosts.sort_by_key(|h| !h.schedules("desk", 1));
    (server, hosts)
}

fn send_uploads(host: &RouterProcess) -> Vec<JoinHandle<u16>> {
    let callers = (0..UPLOADS).map(|_| host.caller());
    let send = callers.map(|caller| {
        monoio::spawn(async move {
            let response = caller.call("POST", UPLOAD, None, CALLER_TIME.0).await;
            response.unwrap().status().into()
        })
    });
    send.collect()
}

/// Returns `true` if a host got no reply from one that is not stopping, as on a busy machine. It then acts as if that host
/// were lost, which uses more slots than there are.
fn was_delayed(hosts: &[RouterProcess]) -> bool {
    let stopping = format!("host=At({})", hosts[0].peer_addr);
    hosts[1..].iter().any(|host| {
        let log = host.log();
        let mut silent = log
            .lines()
            .filter(|l| l.starts_with("log=scheduler_silent "));
        silent.any(|l| !l.contains(&stopping))
    })
}

/// Stops the scheduler while uploads wait there. Returns the status of each upload, how many the server refused and how
/// many it ran at once, or `None` if a host was delayed.
async fn stop_scheduler() -> Option<(Vec<u16>, u64, u32)> {
    let world = World::start("scheduler-stop").await;
    let (server, hosts) = start(&world).await;
    let shed = server.ledger().shed;
    let waiting = send_uploads(&hosts[1]);
    sleep(STOP_AFTER.to_duration()).await;
    hosts[0].signal(Signal::SIGTERM);
    sleep(NOTICE_TIME.to_duration()).await;
    let later = send_uploads(&hosts[2]);
    let statuses = join_all(waiting.into_iter().chain(later)).await;
    let ledger = server.ledger();
    println!("{statuses:?}, {} refused by the server", ledger.shed - shed);
    (!was_delayed(&hosts)).then(|| (statuses, ledger.shed - shed, ledger.max_busy))
}

/// Guards against a queue that stays at a scheduler which stops: two hosts then assign the same slots until the process
/// exits. Load: four uploads of 900 ms wait there when it is told to stop, and four more arrive at another host soon after.
#[test]
fn the_queue_of_a_scheduler_that_stops_moves_to_another_host() {
    block_on(async {
        for _ in 0..TRIALS {
            let Some((statuses, shed, max_busy)) = stop_scheduler().await else {
                continue;
            };
            assert_eq!((shed, max_busy), (0, 1), "{statuses:?}");
            let is_expected = |status: &u16| [200, 503].contains(status);
            assert!(statuses.iter().all(is_expected), "{statuses:?}");
            return;
        }
        panic!("a host was delayed in each trial");
    });
}
