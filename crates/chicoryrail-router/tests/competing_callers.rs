//! Callers that are refused in a load peak and return when they are told to.

mod support;

use chicoryrail_core::Millis;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use futures_util::future::join_all;
use http::header::RETRY_AFTER;
use support::RouterProcess;
use support::World;
use support::wait_until;

/// Time that a caller has in all.
const CALLER_TIME: Millis = Millis(6_000);

/// Number of callers that come at once.
const CALLERS: usize = 30;

/// Service time; the server's two slots need 4.5 s for all callers.
const WORK: Millis = Millis(300);

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, Default)]
struct Ending {
    served: bool,
    returns: u32,
    /// Longest time to return as a fraction of the time that was left.
    longest: f64,
}

/// Sends a request and returns when told to, twice at most, each time to the next router.
async fn call_and_return(routers: &[RouterProcess], number: usize, keyed: bool) -> Ending {
    let clock = Clock::start();
    let mut ending = Ending::default();
    loop {
        let left = CALLER_TIME.since(clock.now());
        let router = &routers[(number + ending.returns as usize) % routers.len()];
        let (path, key) = match keyed {
            true => (format!("/key/{number}"), Some(7)),
            false => (format!("/read/{number}"), None),
        };
        let response = router.caller().call("GET", &path, key, left.0).await;
        let response = response.unwrap();
        ending.served = response.status() == 200;
        let after = response.headers().get(RETRY_AFTER);
        let after = after.and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        let Some(after) = after.filter(|_| !ending.served && ending.returns < 2) else {
            return ending;
        };
        let after = Millis((after * 1_000.0) as u64);
        let left = CALLER_TIME.since(clock.now());
        ending.longest = ending.longest.max(after.0 as f64 / left.0 as f64);
        ending.returns += 1;
        monoio::time::sleep(after.to_duration()).await;
    }
}

/// Guards against a scheduler's place that doesn't reach the caller, or a caller that is not recognised when it returns to
/// another host. A burst of 30 callers with 6 s at a server that needs 4.5 s for them, with a route timeout of 1.5 s: at
/// least four fifths are served, and no caller is told a time that it would not keep to.
#[test]
fn a_burst_is_served_by_returns_at_other_hosts() {
    block_on(async {
        for keyed in [false, true] {
            let service = if keyed { "kits" } else { "desk" };
            let world = World::start("callers-return").await;
            world.configure().await;
            let server = world.server("s-0", service).await;
            let routers = [world.router("h-0").await, world.router("h-1").await];
            for router in &routers {
                wait_until("requests are served", async || {
                    let caller = router.caller();
                    let response = match keyed {
                        true => caller.key(7).await,
                        false => caller.get("/read/x").await,
                    };
                    response.is_ok_and(|r| r.status() == 200)
                })
                .await;
            }
            server.set_work(WORK);
            let callers = (0..CALLERS).map(|n| call_and_return(&routers, n, keyed));
            let endings = join_all(callers).await;
            let served = endings.iter().filter(|e| e.served).count();
            println!("{service}: {served} served, {endings:?}");
            assert!(served * 5 >= CALLERS * 4, "{service} {endings:?}");
            assert!(endings.iter().any(|e| e.returns > 0), "{endings:?}");
            // A third, and the time that the response took.
            assert!(endings.iter().all(|e| e.longest < 0.36), "{endings:?}");
            let is_honoured = |l: &str| l.contains("log=returns") && !l.contains("honoured=0 ");
            let honoured = |log: String| log.lines().any(is_honoured);
            wait_until("returns are logged", async || {
                routers.iter().any(|r| honoured(r.log()))
            })
            .await;
        }
    });
}
