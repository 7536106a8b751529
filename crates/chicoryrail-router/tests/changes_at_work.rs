//! Changes that arrive while a server is at work on a request: the response must reach the caller.

mod support;

use std::cell::Cell;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetFault;
use monoio::time::sleep;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;
use support::RouterProcess;
use support::Server;
use support::World;
use support::wait_until;

const KEY: u16 = 7;

/// Time after which a request is at work at its server.
const AT_WORK: Millis = Millis(150);

/// A request that takes 1.1 s.
#[derive(Clone, Copy, Debug)]
enum Request {
    Order,
    KeyRead,
}

impl Request {
    /// Returns the method, the path and the key.
    const fn line(self) -> (&'static str, &'static str, Option<u16>) {
        match self {
            Self::Order => ("POST", "/order/x?work_us=1100000", None),
            Self::KeyRead => ("GET", "/key/x?work_us=1100000", Some(KEY)),
        }
    }
}

/// A change that affects a request at work.
#[derive(Clone, Copy, Debug)]
enum Change {
    RouteRemoved,
    RouteRedirected,
    ServerLeaves,
    ServerSaysDraining,
    EntryRemoved,
    DcTakenOut,
    BootFile,
}

impl Change {
    /// Makes the change and waits until the router knows of it.
    async fn make(self, world: &World, router: &RouterProcess, server: &Server) {
        let mut config = world.next_config();
        let paths = config.pointer_mut("/virtual_hosts/0/paths").unwrap();
        let logged = match self {
            Self::RouteRemoved => {
                *paths = json!([paths[2].clone()]);
                world.put("op/config", &config).await;
                "from=3 version=6"
            }
            Self::RouteRedirected => {
                for path in paths.as_array_mut().unwrap() {
                    let to_kits = path["service"] == "desk";
                    path["service"] = json!(if to_kits { "kits" } else { "desk" });
                }
                world.put("op/config", &config).await;
                "from=3 version=6"
            }
            Self::ServerLeaves => {
                server.fault(TargetFault::Leave);
                "state=Draining"
            }
            Self::ServerSaysDraining => {
                server.fault(TargetFault::SayDraining);
                "log=server_draining"
            }
            Self::EntryRemoved => {
                world.remove(&format!("servers/{}", server.name)).await;
                "log=server_entry_gone"
            }
            Self::DcTakenOut => {
                world.put("op/evacuate/west", &json!({})).await;
                "log=dc_out"
            }
            Self::BootFile => {
                router.edit_boot("memory_mb = 300", "memory_mb = 100");
                router.edit_boot("drain_timeout_ms = 2000", "drain_timeout_ms = 10");
                router.signal(Signal::SIGHUP);
                "changed=true"
            }
        };
        let caller = router.caller();
        wait_until("the change is in force", async || {
            // A draining server says so in its responses.
            if matches!(self, Self::ServerSaysDraining) {
                let _ = caller.get("/read/x").await;
                let _ = caller.key(KEY).await;
            }
            router.log().contains(logged)
        })
        .await;
    }
}

/// Guards against a change of the configuration, of the server's state or of the settings that ends a request at work.
#[rstest]
fn a_change_interrupts_no_request(
    #[values(Request::Order, Request::KeyRead)] request: Request,
    #[values(
        Change::RouteRemoved,
        Change::RouteRedirected,
        Change::ServerLeaves,
        Change::ServerSaysDraining,
        Change::EntryRemoved,
        Change::DcTakenOut,
        Change::BootFile
    )]
    change: Change,
) {
    block_on(async {
        let world = World::start("change").await;
        world.configure().await;
        let desk = world.server("d-1", "desk").await;
        let kits = world.server("k-1", "kits").await;
        let router = world.router("a").await;
        wait_until("keys are served", async || router.serves_all_keys().await).await;
        let caller = router.caller();
        let (method, path, key) = request.line();
        let ended = Rc::new(Cell::new(false));
        let is_ended = Rc::clone(&ended);
        let running = monoio::spawn(async move {
            let response = caller.call(method, path, key, 1_500).await;
            is_ended.set(true);
            response
        });
        sleep(AT_WORK.to_duration()).await;
        let server = if key.is_some() { &kits } else { &desk };
        change.make(&world, &router, server).await;
        // The keys move here if the change takes them from the other server.
        let _next = world.server("k-2", "kits").await;
        assert!(!ended.get(), "the change came after the request");
        let response = running.await.unwrap();
        assert_eq!(response.status(), 200, "{response:?} {}", router.log());
    });
}
