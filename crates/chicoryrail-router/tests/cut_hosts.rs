//! Hosts that have lost their paths to servers, which the store and the other hosts still reach.

mod support;

use std::collections::BTreeSet;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use futures_util::future::join;
use futures_util::future::join_all;
use http::StatusCode;
use rstest::rstest;
use support::Cut;
use support::RouterProcess;
use support::Server;
use support::World;
use support::wait_until;

/// Share of first attempts that are to be served in time while some hosts are cut off and no server is lost.
const SERVED_SHARE_MIN: f64 = 0.9;

/// `target_latency_ms` of all routes.
const LATENCY_TARGET: Millis = Millis(300);

/// Time after a cut from which that share is to be served.
const SETTLE_TIME: Millis = Millis(1_000);

/// Time for which requests are counted.
const COUNTED_TIME: Millis = Millis(2_000);

/// Time from a cut until the key leases of a leader that is cut off would have expired, with a margin.
const LEASES_EXPIRED: Millis = Millis(4_000);

/// Time for which the store is down: longer than a cut and the time after it.
const OUTAGE: Millis = Millis(11_000);

/// Pause of a caller between two requests: all callers of a test use half of the servers.
const REQUEST_PAUSE: Millis = Millis(30);

/// Service time of the servers.
const SERVICE_TIME: Millis = Millis(10);

/// Service time of requests whose callers leave.
const LONG_WORK: Millis = Millis(1_000);

/// Servers and hosts of a test; the first host is the one that is cut off.
struct Deployment {
    world: World,
    desks: Vec<Rc<Server>>,
    kits: Vec<Rc<Server>>,
    hosts: Vec<RouterProcess>,
}

impl Deployment {
    async fn start(test: &str) -> Self {
        let world = World::start(test).await;
        world.configure().await;
        let (mut desks, mut kits, mut hosts) = (Vec::new(), Vec::new(), Vec::new());
        for i in 0..4 {
            desks.push(world.server(&format!("d-{i}"), "desk").await);
            kits.push(world.server(&format!("k-{i}"), "kits").await);
        }
        for server in desks.iter().chain(&kits) {
            server.set_work(SERVICE_TIME);
        }
        for name in ["a", "b", "c"] {
            hosts.push(world.router(name).await);
        }
        wait_until("all keys are served at each host", async || {
            let served = hosts.iter().map(|host| host.serves_all_keys());
            join_all(served).await.into_iter().all(|served| served)
        })
        .await;
        Self {
            world,
            desks,
            kits,
            hosts,
        }
    }

    fn servers(&self) -> Vec<Rc<Server>> {
        self.desks.iter().chain(&self.kits).cloned().collect()
    }

    /// Makes requests to the servers without keys take [`LONG_WORK`].
    fn slow_down_desks(&self) {
        // The factor of the service time multiplies with the one set at the start.
        let work = Millis(LONG_WORK.0 / SERVICE_TIME.0);
        self.desks.iter().for_each(|server| server.set_work(work));
    }

    /// Returns the ids of all requests that servers ran.
    fn executed_ids(&self) -> Vec<String> {
        let servers = self.servers();
        servers.iter().flat_map(|s| s.executed_ids()).collect()
    }
}

/// First attempts of a host's callers, and those that were served in time.
#[derive(Clone, Copy, Debug, Default)]
struct Attempts {
    sent: usize,
    served: usize,
}

impl Attempts {
    fn served_share(self) -> f64 {
        self.served as f64 / self.sent as f64
    }
}

/// Sends reads, orders and requests with keys to a host one after the other; returns those sent later than `from`.
async fn send_mix(host: &RouterProcess, from: Millis, until: Millis) -> Attempts {
    let (clock, caller) = (Clock::start(), host.caller());
    let mut counts = Attempts::default();
    let mut round = 0_u16;
    while clock.now() < until {
        let sent_at = clock.now();
        let counted = sent_at >= from;
        round += 1;
        let response = match round % 3 {
            0 => caller.get("/read/x").await,
            1 => caller.post("/order/x").await,
            _ => caller.key(round.wrapping_mul(9_973)).await,
        };
        let in_time = clock.now().since(sent_at) <= LATENCY_TARGET;
        let served = in_time && response.is_ok_and(|r| r.status() == 200);
        counts.sent += usize::from(counted);
        counts.served += usize::from(counted && served);
        monoio::time::sleep(REQUEST_PAUSE.to_duration()).await;
    }
    counts
}

/// Sends requests with several callers at once.
async fn send_mixes(host: &RouterProcess, callers: usize, until: Millis) -> Attempts {
    let runs = (0..callers).map(|_| send_mix(host, SETTLE_TIME, until));
    let counts = join_all(runs).await;
    Attempts {
        sent: counts.iter().map(|c| c.sent).sum(),
        served: counts.iter().map(|c| c.served).sum(),
    }
}

/// Guards against callers of a host without a path to any server being refused while other hosts reach all of them.
#[rstest]
#[case(Cut::Refused)]
#[case(Cut::Silent)]
#[case(Cut::NewRefused)]
fn a_host_cut_from_all_servers_serves_its_callers(#[case] form: Cut) {
    block_on(async {
        let deployment = Deployment::start("cut-all").await;
        let host = &deployment.hosts[0];
        host.cut_from(&deployment.servers(), form);
        let attempts = send_mix(host, SETTLE_TIME, SETTLE_TIME + COUNTED_TIME).await;
        assert!(
            attempts.served_share() >= SERVED_SHARE_MIN,
            "{attempts:?}, {form:?}"
        );
        let ids = deployment.executed_ids();
        let unique: BTreeSet<_> = ids.iter().collect();
        assert_eq!(ids.len(), unique.len(), "a request ran twice");
        drop(deployment.world);
    });
}

/// Guards against sound servers being taken from hosts in touch because a host that is cut off can't reach them.
#[rstest]
#[case(Cut::Refused)]
#[case(Cut::Silent)]
#[case(Cut::NewRefused)]
fn a_cut_host_takes_no_servers_from_the_others(#[case] form: Cut) {
    block_on(async {
        let deployment = Deployment::start("cut-one").await;
        let (cut, other) = (&deployment.hosts[0], &deployment.hosts[1]);
        cut.cut_from(&deployment.servers(), form);
        let until = SETTLE_TIME + COUNTED_TIME;
        let (_, attempts) = join(send_mixes(cut, 24, until), send_mixes(other, 3, until)).await;
        assert!(
            attempts.served_share() >= SERVED_SHARE_MIN,
            "{attempts:?}, {form:?}"
        );
        drop(deployment.world);
    });
}

/// Guards against a leader that can't reach servers with keys letting their leases lapse and moving their keys.
#[rstest]
#[case(Cut::Refused)]
#[case(Cut::Silent)]
#[case(Cut::NewRefused)]
fn a_cut_leader_takes_no_keys_from_sound_servers(#[case] form: Cut) {
    block_on(async {
        let deployment = Deployment::start("cut-leader").await;
        let hosts = &deployment.hosts;
        let leader = hosts.iter().find(|h| h.log().contains("log=leader_won"));
        let leader = leader.expect("a host leads");
        let owned = |server: &Rc<Server>| (0..=u16::MAX).step_by(64).find(|k| server.owns(*k));
        let keys: Vec<_> = deployment.kits.iter().map(owned).collect();
        leader.cut_from(&deployment.kits[1..], form);
        let runs = hosts
            .iter()
            .map(|h| send_mix(h, SETTLE_TIME, LEASES_EXPIRED));
        for attempts in join_all(runs).await {
            assert!(
                attempts.served_share() >= SERVED_SHARE_MIN,
                "{attempts:?}, {form:?}"
            );
        }
        for (server, key) in deployment.kits.iter().zip(keys) {
            let key = key.expect("each server owns a key");
            assert!(server.owns(key), "{} lost {key}, {form:?}", server.name);
        }
    });
}

/// Guards against a leader that, cut from servers in a store outage, withholds their keys or begins to move them: the move
/// can't be recorded until the outage ends, and the servers are sound.
#[rstest]
#[case::one_server(1)]
#[case::all_servers(4)]
fn a_leader_cut_in_an_outage_keeps_keys_with_their_servers(#[case] cut_servers: usize) {
    block_on(async {
        let deployment = Deployment::start("cut-outage").await;
        let hosts = &deployment.hosts;
        let leader = hosts.iter().find(|h| h.log().contains("log=leader_won"));
        let leader = leader.expect("a host leads");
        let owned = |server: &Rc<Server>| (0..=u16::MAX).step_by(64).find(|k| server.owns(*k));
        let keys: Vec<_> = deployment.kits.iter().map(owned).collect();
        deployment.world.stop_store(OUTAGE).await;
        wait_until("all hosts know of the outage", async || {
            hosts.iter().all(|h| h.log().contains("log=store_lost"))
        })
        .await;
        monoio::time::sleep(SETTLE_TIME.to_duration()).await;
        leader.cut_from(&deployment.kits[..cut_servers], Cut::Refused);
        let runs = || {
            hosts
                .iter()
                .map(|h| send_mix(h, SETTLE_TIME, LEASES_EXPIRED))
        };
        let in_cut = join_all(runs()).await;
        leader.heal();
        let after_cut = join_all(runs()).await;
        for attempts in in_cut.into_iter().chain(after_cut) {
            assert!(attempts.served_share() >= SERVED_SHARE_MIN, "{attempts:?}");
        }
        let log = leader.log();
        assert!(!log.contains("log=keys_write_unsettled"), "{log}");
        wait_until("the store is back", async || {
            leader.log().contains("log=store_back")
        })
        .await;
        monoio::time::sleep(SETTLE_TIME.to_duration()).await;
        for (server, key) in deployment.kits.iter().zip(keys) {
            let key = key.expect("each server owns a key");
            assert!(server.owns(key), "{} lost {key}", server.name);
        }
    });
}

/// Guards against hosts that take the end of most servers of a service for lost paths of their own, and refuse what the
/// servers left could serve.
#[test]
fn hosts_serve_with_the_few_servers_left() {
    block_on(async {
        let mut deployment = Deployment::start("few-left").await;
        for i in 4..8 {
            let server = deployment.world.server(&format!("d-{i}"), "desk").await;
            server.set_work(SERVICE_TIME);
            deployment.desks.push(server);
        }
        let hosts = &deployment.hosts;
        let warm = hosts.iter().map(|h| send_mixes(h, 6, COUNTED_TIME));
        join_all(warm).await;
        deployment.desks[3..]
            .iter()
            .for_each(|server| server.crash());
        let until = SETTLE_TIME + COUNTED_TIME;
        let runs = hosts.iter().map(|h| send_mixes(h, 6, until));
        for attempts in join_all(runs).await {
            assert!(attempts.served_share() >= SERVED_SHARE_MIN, "{attempts:?}");
        }
        for host in hosts {
            let log = host.log();
            assert!(!log.contains("cause=no_path"), "{}", host.name);
        }
    });
}

/// Starts a deployment whose first host has lost its paths to all servers and knows it.
async fn start_cut(test: &str) -> Deployment {
    let deployment = Deployment::start(test).await;
    let host = &deployment.hosts[0];
    host.cut_from(&deployment.servers(), Cut::Refused);
    send_mix(host, Millis::ZERO, SETTLE_TIME).await;
    deployment
}

/// Guards against a read that a server goes on with although its caller, behind two hosts, has left.
#[test]
fn a_read_ends_behind_another_host_when_its_caller_leaves() {
    block_on(async {
        let deployment = start_cut("cut-left-read").await;
        deployment.slow_down_desks();
        let caller = deployment.hosts[0].caller();
        caller.cancel_after("/read/x", Millis(200)).await;
        monoio::time::sleep(LONG_WORK.to_duration() * 2).await;
        let executed = deployment.executed_ids();
        assert!(!executed.iter().any(|id| id.ends_with("-left")));
    });
}

/// Guards against an order that is cut off at its server because its caller, behind two hosts, has left.
#[test]
fn an_order_is_completed_behind_another_host_when_its_caller_leaves() {
    block_on(async {
        let deployment = start_cut("cut-left-order").await;
        deployment.slow_down_desks();
        let caller = deployment.hosts[0].caller();
        caller.cancel_after("/order/x", Millis(200)).await;
        wait_until("a server completes the order", async || {
            let executed = deployment.executed_ids();
            executed.iter().any(|id| id.ends_with("-left"))
        })
        .await;
    });
}

/// Guards against a long response that is truncated on its way through another host, and against a request whose way
/// can't be found in the logs.
#[test]
fn a_download_passes_whole_through_another_host() {
    const PATH: &str = "/manual/x?body=540000";
    block_on(async {
        let deployment = start_cut("cut-download").await;
        let direct = deployment.hosts[1].caller().get(PATH).await.unwrap();
        let response = deployment.hosts[0].caller().get(PATH).await.unwrap();
        assert_eq!(
            (direct.status(), response.status()),
            (StatusCode::OK, StatusCode::OK)
        );
        assert_eq!(response.body().len(), direct.body().len());
        let id = response.headers()["chicoryrail-request-id"].clone();
        let line = format!("request={}", id.to_str().unwrap());
        let is_passing = |host: &RouterProcess| {
            let log = host.log();
            let mut lines = log.lines();
            lines.any(|l| l.contains("log=forwarded_answered") && l.contains(&line))
        };
        wait_until("another host logs the request", async || {
            deployment.hosts[1..].iter().any(is_passing)
        })
        .await;
    });
}
