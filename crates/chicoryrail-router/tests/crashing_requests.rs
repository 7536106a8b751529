//! Requests that end each server that runs them, and requests beside servers that end of other causes.

mod support;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetOptions;
use futures_util::future::join;
use futures_util::future::join_all;
use futures_util::future::join3;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use nix::sys::signal::Signal;
use rstest::rstest;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use support::Cut;
use support::Mode;
use support::RouterProcess;
use support::Server;
use support::World;
use support::wait_until;

/// Largest number of servers that one request may end.
const ENDS_MAX: usize = 4;

/// Number of ends of servers after which a request is known to end them.
const ENDS_KNOWN: usize = 3;

/// Share of the other requests that are to be served.
const SERVED_SHARE_MIN: f64 = 0.95;

/// Time after the third end from which that share is to be served.
const SETTLE_TIME: Millis = Millis(1_000);

/// The same for requests with keys: a lost server's key lease has to expire before its keys get another owner.
const KEYS_SETTLE_TIME: Millis = Millis(4_000);

/// Time between two repeats of the request that ends servers.
const REPEAT_INTERVAL: Millis = Millis(350);

/// Time between two repeats of a caller that repeats at once and often.
const SHORT_INTERVAL: Millis = Millis(40);

/// Time between two requests of another caller.
const REQUEST_INTERVAL: Millis = Millis(25);

/// Time for which requests are sent.
const SEND_TIME: Millis = Millis(9_000);

/// Time after which a server that has ended is back as another incarnation.
const RESTART_TIME: Millis = Millis(2_000);

/// Service time of the servers.
const SERVICE_TIME: Millis = Millis(20);

/// Time for which the store stays down: longer than any test.
const OUTAGE: Millis = Millis(60_000);

/// Number of the callers' own paths.
const PATHS: usize = 10;

/// Difference between the keys of two of them.
const KEY_STEP: u16 = 6_553;

/// Servers of one service that are restarted after their end.
struct Servers {
    world: Rc<World>,
    service: &'static str,
    running: RefCell<Vec<Rc<Server>>>,
    /// Times of the ends, on the clock of the test.
    ends: RefCell<Vec<Millis>>,
    clock: Clock,
    restarts: Cell<bool>,
}

impl Servers {
    async fn start(world: &Rc<World>, service: &'static str, count: usize) -> Rc<Self> {
        let this = Rc::new(Self {
            world: Rc::clone(world),
            service,
            running: RefCell::default(),
            ends: RefCell::default(),
            clock: Clock::start(),
            restarts: Cell::new(true),
        });
        for i in 0..count {
            this.start_server(&format!("s-{i}")).await;
        }
        monoio::spawn(Rc::clone(&this).watch());
        this
    }

    async fn start_server(&self, name: &str) {
        let options = TargetOptions {
            service: self.service.into(),
            keyed: self.service == "kits",
            slots: 3,
            ..TargetOptions::new(name)
        };
        let server = self.world.server_with(options).await;
        server.set_work(SERVICE_TIME);
        self.running.borrow_mut().push(server);
    }

    /// Notes each end, and restarts the server under its name and at another address.
    async fn watch(self: Rc<Self>) {
        loop {
            monoio::time::sleep(Millis(5).to_duration()).await;
            let ended: Vec<_> = {
                let mut running = self.running.borrow_mut();
                running.extract_if(.., |s| s.has_crashed()).collect()
            };
            for server in ended {
                self.ends.borrow_mut().push(self.clock.now());
                let this = Rc::clone(&self);
                monoio::spawn(async move {
                    monoio::time::sleep(RESTART_TIME.to_duration()).await;
                    if this.restarts.get() {
                        this.start_server(&server.name).await;
                    }
                });
            }
        }
    }

    fn any(&self) -> Rc<Server> {
        Rc::clone(&self.running.borrow()[0])
    }

    fn ends(&self) -> usize {
        self.ends.borrow().len()
    }

    /// Returns when the third server ended.
    fn known_at(&self) -> Option<Millis> {
        self.ends.borrow().get(ENDS_KNOWN - 1).copied()
    }
}

/// Which request ends servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Read,
    Order,
    Keyed,
    /// A read that ends its server within a short response.
    ReadTruncated,
    /// A read that ends its server within a long response, whose start the caller has received by then.
    ReadStreamed,
}

impl Kind {
    const fn service(self) -> &'static str {
        match self {
            Self::Read | Self::Order | Self::ReadTruncated | Self::ReadStreamed => "desk",
            Self::Keyed => "kits",
        }
    }

    /// Returns the path of the request that ends servers.
    const fn crash_path(self) -> &'static str {
        match self {
            Self::Read | Self::Order | Self::Keyed => "x?crash=1&work_us=5000",
            Self::ReadTruncated => "x?crash_at=100&body=1000&work_us=5000",
            Self::ReadStreamed => "x?crash_at=150000&body=300000&work_us=5000",
        }
    }

    /// Sends a request of this kind; returns `true` if it was served.
    async fn send(self, host: &RouterProcess, path: &str, key: u16) -> bool {
        let caller = host.caller();
        let response = match self {
            Self::Read | Self::ReadTruncated | Self::ReadStreamed => {
                caller.get(&format!("/read/{path}")).await
            }
            Self::Order => caller.post(&format!("/order/{path}")).await,
            Self::Keyed => {
                let path = format!("/key/{path}");
                caller.call("GET", &path, Some(key), 1_500).await
            }
        };
        response.is_ok_and(|r| r.status() == 200)
    }
}

/// Sends a read from an address of its own, and waits until the response begins or the connection ends.
async fn read_from(from: Ipv4Addr, to: SocketAddr, path: &str) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from((from, 0)).into()).unwrap();
    socket.connect(&to.into()).unwrap();
    socket.set_nonblocking(true).unwrap();
    let mut stream = TcpStream::from_std(socket.into()).unwrap();
    let id = call_header::REQUEST_ID;
    let head = format!("GET /read/{path} HTTP/1.1\r\nhost: shop.example\r\n{id}: {from}\r\n\r\n");
    stream.write_all(head.into_bytes()).await.0.unwrap();
    let _ = stream.read(vec![0_u8; 1_024]).await;
}

/// What happens beside the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// Two hosts are replaced after the third end.
    HostsReplaced,
    /// All hosts are killed and started again after the third end.
    HostsKilled,
    /// One of the hosts is a leaf host.
    LeafHost,
    /// Each repeat comes from another address.
    AddressChanges,
    /// The store is down, and the servers that have ended stay down.
    StoreDown,
    /// One of the hosts has lost its paths to all servers; the servers that have ended stay down.
    PathsLost,
    /// The host that lets suspected requests run is killed when it has decided on the first one.
    GranterKilled,
}

impl Beside {
    /// Returns `true` if the servers that have ended stay down.
    const fn servers_stay_down(self) -> bool {
        matches!(self, Self::StoreDown | Self::PathsLost)
    }
}

/// A request of another caller.
#[derive(Clone, Copy, Debug)]
struct Other {
    sent_at: Millis,
    served: bool,
}

struct Deployment {
    servers: Rc<Servers>,
    hosts: RefCell<Vec<Rc<RouterProcess>>>,
    clock: Clock,
}

impl Deployment {
    async fn start(test: &str, service: &'static str, count: usize) -> Self {
        let world = Rc::new(World::start(test).await);
        world.configure().await;
        let servers = Servers::start(&world, service, count).await;
        let mut hosts = Vec::new();
        for name in ["a", "b", "c"] {
            hosts.push(Rc::new(world.router(name).await));
        }
        if service == "kits" {
            wait_until("all keys are served at each host", async || {
                let served = hosts.iter().map(|host| host.serves_all_keys());
                join_all(served).await.into_iter().all(|served| served)
            })
            .await;
        }
        Self {
            clock: servers.clock,
            servers,
            hosts: RefCell::new(hosts),
        }
    }

    /// Returns the hosts in turn.
    fn host(&self, turn: usize) -> Rc<RouterProcess> {
        let hosts = self.hosts.borrow();
        Rc::clone(&hosts[turn % hosts.len()])
    }

    /// Repeats the request that ends servers at each host in turn.
    async fn repeat(&self, kind: Kind, beside: Beside, interval: Millis, until: Millis) {
        let (mut tasks, mut turn) = (Vec::new(), 0);
        while self.clock.now() < until {
            let host = self.host(turn);
            turn += 1;
            if beside == Beside::AddressChanges {
                let from = Ipv4Addr::new(127, 0, 0, turn as u8 + 1);
                tasks.push(monoio::spawn(async move {
                    read_from(from, host.callers, kind.crash_path()).await;
                }));
                monoio::time::sleep(interval.to_duration()).await;
                continue;
            }
            tasks.push(monoio::spawn(async move {
                kind.send(&host, kind.crash_path(), 14_273).await;
            }));
            monoio::time::sleep(interval.to_duration()).await;
        }
        join_all(tasks).await;
    }

    /// Sends requests of other callers to each host in turn.
    async fn send_others(&self, until: Millis, popular: bool) -> Vec<Other> {
        let mut tasks = Vec::new();
        let mut turn = 0_usize;
        while self.clock.now() < until {
            let host = self.host(turn);
            let path = if popular { 0 } else { turn % PATHS };
            turn += 1;
            let (clock, service) = (self.clock, self.servers.service);
            tasks.push(monoio::spawn(async move {
                let sent_at = clock.now();
                let kind = if service == "kits" {
                    Kind::Keyed
                } else {
                    Kind::Read
                };
                let key = KEY_STEP * path as u16;
                let served = kind.send(&host, &format!("other-{path}"), key).await;
                Other { sent_at, served }
            }));
            monoio::time::sleep(REQUEST_INTERVAL.to_duration()).await;
        }
        join_all(tasks).await
    }

    /// Returns the fingerprints of the requests that any running host has blocked.
    fn blocked(&self) -> BTreeSet<String> {
        let logs: Vec<_> = self.hosts.borrow().iter().map(|host| host.log()).collect();
        let lines = logs.iter().flat_map(|log| log.lines());
        let blocks = lines.filter(|line| line.starts_with("log=request_blocked "));
        let named = blocks.filter_map(|line| line.split("fingerprint=").nth(1));
        named
            .filter_map(|rest| rest.split(' ').next())
            .map(str::to_owned)
            .collect()
    }

    /// Kills the host that lets suspected requests run, once it has decided on one.
    async fn kill_granter(&self, beside: Beside) {
        if beside != Beside::GranterKilled {
            return;
        }
        let grants = |host: &Rc<RouterProcess>| host.log().contains("log=probe ");
        wait_until("a host decides on a suspected request", async || {
            self.hosts.borrow().iter().any(grants)
        })
        .await;
        let mut hosts = self.hosts.borrow_mut();
        let at = hosts.iter().position(grants).unwrap();
        hosts.remove(at).signal(Signal::SIGKILL);
    }

    /// Replaces hosts some time after the third end: two one after the other, or all at once.
    async fn replace_hosts(&self, beside: Beside) {
        if !matches!(beside, Beside::HostsReplaced | Beside::HostsKilled) {
            return;
        }
        wait_until("the third server has ended", async || {
            self.servers.known_at().is_some()
        })
        .await;
        monoio::time::sleep(SETTLE_TIME.to_duration()).await;
        if beside == Beside::HostsKilled {
            let killed = std::mem::take(&mut *self.hosts.borrow_mut());
            killed.iter().for_each(|host| host.signal(Signal::SIGKILL));
            let started = ["d", "e", "f"].map(|name| Rc::new(self.servers.world.spawn(name)));
            self.hosts.borrow_mut().extend(started);
            return;
        }
        for name in ["d", "e"] {
            let new = self.servers.world.router(name).await;
            let mut hosts = self.hosts.borrow_mut();
            hosts.remove(0);
            hosts.push(Rc::new(new));
        }
    }
}

fn served_share(others: &[Other], from: Millis) -> f64 {
    let counted = || others.iter().filter(|o| o.sent_at >= from);
    let served = counted().filter(|o| o.served).count();
    served as f64 / counted().count().max(1) as f64
}

/// Guards against a request that ends one server after the other, as often as it comes and at whatever host.
#[rstest]
#[case::read(Kind::Read, Beside::Nothing, REPEAT_INTERVAL)]
#[case::order(Kind::Order, Beside::Nothing, REPEAT_INTERVAL)]
#[case::hosts_replaced(Kind::Read, Beside::HostsReplaced, REPEAT_INTERVAL)]
#[case::store_down(Kind::Read, Beside::StoreDown, REPEAT_INTERVAL)]
#[case::keyed(Kind::Keyed, Beside::Nothing, REPEAT_INTERVAL)]
#[case::hosts_killed(Kind::Read, Beside::HostsKilled, REPEAT_INTERVAL)]
#[case::address_changes(Kind::Read, Beside::AddressChanges, REPEAT_INTERVAL)]
#[case::leaf_host(Kind::Read, Beside::LeafHost, REPEAT_INTERVAL)]
#[case::often(Kind::Read, Beside::Nothing, SHORT_INTERVAL)]
#[case::truncated(Kind::ReadTruncated, Beside::Nothing, REPEAT_INTERVAL)]
#[case::streamed(Kind::ReadStreamed, Beside::Nothing, REPEAT_INTERVAL)]
#[case::paths_lost(Kind::Read, Beside::PathsLost, REPEAT_INTERVAL)]
#[case::granter_killed(Kind::Read, Beside::GranterKilled, REPEAT_INTERVAL)]
#[case::granter_killed_often(Kind::Read, Beside::GranterKilled, SHORT_INTERVAL)]
fn a_request_that_ends_servers_reaches_few(
    #[case] kind: Kind,
    #[case] beside: Beside,
    #[case] interval: Millis,
) {
    block_on(async {
        let count = if beside.servers_stay_down() { 10 } else { 6 };
        let deployment = Deployment::start("crashing", kind.service(), count).await;
        let servers = &deployment.servers;
        servers.restarts.set(!beside.servers_stay_down());
        if beside == Beside::StoreDown {
            servers.world.stop_store(OUTAGE).await;
        }
        if beside == Beside::PathsLost {
            let running = servers.running.borrow();
            deployment.host(0).cut_from(&running, Cut::Refused);
        }
        if beside == Beside::LeafHost {
            let leaf = servers.world.low_power_router("leaf").await;
            deployment.hosts.borrow_mut().push(Rc::new(leaf));
        }
        let until = deployment.clock.now() + SEND_TIME;
        let repeated = deployment.repeat(kind, beside, interval, until);
        let others = deployment.send_others(until, false);
        let replaced = deployment.replace_hosts(beside);
        let killed = deployment.kill_granter(beside);
        let (others, _) = join(others, join3(repeated, replaced, killed)).await;
        let known_at = servers.known_at();
        let settle_time = if kind == Kind::Keyed {
            KEYS_SETTLE_TIME
        } else {
            SETTLE_TIME
        };
        let from = known_at.map_or(Millis::ZERO, |at| at + settle_time);
        let (ends, share) = (servers.ends(), served_share(&others, from));
        println!("{kind:?} {beside:?} {interval:?}: {ends} ends, {share:.3} of the others served");
        assert!(
            ends <= ENDS_MAX && share >= SERVED_SHARE_MIN,
            "{ends} servers ended, {share:.3} of the others were served"
        );
        let blocked = deployment.blocked();
        assert_eq!(blocked.len(), 1, "{blocked:?}");
    });
}

/// What befalls the servers of a request that many callers repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// They are killed one after the other.
    Killed,
    /// One host loses its paths to them, one after the other, and connections are refused there.
    PathsRefused,
    /// They lose responses, all of them for some time.
    ResponsesLost,
}

/// Guards against refusing a request for good that was only under way when servers ended or failed of other causes.
#[rstest]
#[case::killed(Trouble::Killed)]
#[case::paths_refused(Trouble::PathsRefused)]
#[case::responses_lost(Trouble::ResponsesLost)]
fn a_request_beside_other_failures_is_served_afterwards(#[case] trouble: Trouble) {
    block_on(async {
        let deployment = Deployment::start("beside", "desk", 6).await;
        let servers = &deployment.servers;
        let begun = deployment.clock.now();
        let until = begun + Millis(6_000);
        let others = deployment.send_others(until, true);
        let trouble = async {
            for i in 0..4 {
                monoio::time::sleep(Millis(500).to_duration()).await;
                match trouble {
                    Trouble::Killed => servers.any().crash(),
                    Trouble::PathsRefused => {
                        let cut = servers.running.borrow()[..=i].to_vec();
                        deployment.host(0).cut_from(&cut, Cut::Refused);
                    }
                    Trouble::ResponsesLost => {
                        let lossy = Rc::clone(&servers.running.borrow()[i]);
                        lossy.set_mode(Mode::LoseResponse);
                    }
                }
            }
            if trouble == Trouble::PathsRefused {
                deployment.host(0).heal();
            }
        };
        let (others, ()) = join(others, trouble).await;
        let share = served_share(&others, begun + Millis(4_500));
        assert!(share >= SERVED_SHARE_MIN, "{share:.3} were served");
        let blocked = deployment.blocked();
        assert!(blocked.is_empty(), "{blocked:?}");
    });
}

/// Returns the value of a field in the first log line of this kind.
fn field(log: &str, kind: &str, name: &str) -> Option<String> {
    let line = log
        .lines()
        .find(|line| line.starts_with(&format!("log={kind} ")))?;
    let value = line.split(&format!(" {name}=")).nth(1)?;
    value.split(' ').next().map(str::to_owned)
}

/// Guards against an operator's block or dismissal that does not reach every host.
#[test]
fn an_operator_blocks_and_dismisses() {
    block_on(async {
        let deployment = Deployment::start("by-hand", "desk", 2).await;
        let servers = &deployment.servers;
        let host = deployment.host(0);
        let path = "slow?work_us=15000";
        let (lost, ()) = join(Kind::Order.send(&host, path, 0), async {
            monoio::time::sleep(Millis(150).to_duration()).await;
            let running = servers.running.borrow().clone();
            running.iter().for_each(|server| server.crash());
        })
        .await;
        assert!(!lost);
        wait_until("the host has logged the end of the server", async || {
            host.log().contains("log=connection_broken ")
        })
        .await;
        let log = host.log();
        let request = field(&log, "connection_broken", "fingerprint").unwrap();
        let head = field(&log, "connection_broken", "head").unwrap();
        let key = format!("live/crashes/{request}");
        let record = |epoch: u32, by_hand: bool| {
            format!(
                r#"{{"service":"desk","head":{head},"epoch":{epoch},"ends":[],"by_hand":{by_hand}}}"#
            )
        };
        wait_until("a server is back", async || {
            Kind::Read.send(&host, "x", 0).await
        })
        .await;
        for (record, served) in [(record(5, true), false), (record(6, false), true)] {
            servers.world.put_own(&key, &record).await;
            for turn in 0..3 {
                let host = deployment.host(turn);
                wait_until("the host follows the operator", async || {
                    Kind::Order.send(&host, path, 0).await == served
                })
                .await;
            }
        }
        let caller = host.caller();
        servers.world.put_own(&key, &record(7, true)).await;
        wait_until(
            "the request is refused with a time to stay away",
            async || {
                let response = caller.post(&format!("/order/{path}")).await.unwrap();
                response.status() == 503 && response.headers()["retry-after"] == "600.000"
            },
        )
        .await;
    });
}
