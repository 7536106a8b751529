//! Servers with keys that send the responses to grants and releases twice.

mod support;

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Instant;

use chicoryrail_core::Member;
use chicoryrail_core::MemberState;
use chicoryrail_core::Millis;
use chicoryrail_platform::KeyCall;
use chicoryrail_platform::KeyGrant;
use chicoryrail_runtime::block_on;
use support::RawRequest;
use support::World;
use support::ready_member;
use support::serve_raw;
use support::wait_until;

/// Time for which a server works on released keys.
const WORK: Millis = Millis(400);

/// Time at rest in which calls and connections are counted.
const REST: Millis = Millis(4_000);

#[derive(Default)]
struct Ledger {
    /// Calls of each connection that carried any.
    calls: HashMap<usize, usize>,
    /// Grants, with the time of their arrival.
    grants: Vec<(KeyGrant, Instant)>,
    /// Releases, with the time at which the work on the keys had ended; `None` before that.
    releases: Vec<(KeyGrant, Option<Instant>)>,
}

impl Ledger {
    /// Returns the number of connections that carried calls, and that of the calls.
    fn counts(&self) -> (usize, usize) {
        (self.calls.len(), self.calls.values().sum())
    }
}

/// A server that sends the response to each key call a second time when the next call arrives on the connection.
#[derive(Clone, Default)]
struct Server {
    sends_copies: bool,
    ledger: Arc<Mutex<Ledger>>,
}

impl Server {
    fn start(sends_copies: bool) -> (Self, SocketAddr) {
        let server = Self {
            sends_copies,
            ..Self::default()
        };
        let serving = server.clone();
        let addr = serve_raw(move |number, stream| serving.serve(number, stream));
        (server, addr)
    }

    fn serve(&self, number: usize, mut stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        let mut late = None;
        while let Some(request) = RawRequest::read(&mut reader) {
            let Some(Ok(call)) = KeyCall::read(&request.path, &request.body) else {
                return;
            };
            *self.ledger.lock().unwrap().calls.entry(number).or_default() += 1;
            if let Some(copy) = late.take() {
                let _ = stream.write_all(copy);
            }
            self.run(call);
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
            late = self.sends_copies.then_some(response);
            let _ = stream.write_all(response);
        }
    }

    fn run(&self, call: KeyCall) {
        match call {
            KeyCall::Grant(grant) => {
                let mut ledger = self.ledger.lock().unwrap();
                ledger.grants.push((grant, Instant::now()));
            }
            KeyCall::Release(release) => {
                let at = {
                    let mut ledger = self.ledger.lock().unwrap();
                    ledger.releases.push((release, None));
                    ledger.releases.len() - 1
                };
                thread::sleep(WORK.to_duration());
                let mut ledger = self.ledger.lock().unwrap();
                ledger.releases[at].1 = Some(Instant::now());
            }
        }
    }
}

/// Guards against keys that are granted while their former owner works on them: a copy of the response to a grant is taken
/// for the response to the release that follows on the connection.
#[test]
fn keys_move_when_their_release_is_answered() {
    block_on(async {
        let world = World::start("duplicate-releases").await;
        world.configure().await;
        let (former, former_addr) = Server::start(true);
        let member = ready_member("k-1", "kits", former_addr);
        world.put_members(std::slice::from_ref(&member)).await;
        let _router = world.router("a").await;
        wait_until("the leases are renewed", async || {
            former.ledger.lock().unwrap().grants.len() > 8
        })
        .await;
        let (next, next_addr) = Server::start(false);
        let draining = Member {
            state: MemberState::Draining,
            ..member
        };
        world
            .put_members(&[ready_member("k-2", "kits", next_addr), draining])
            .await;
        wait_until("the keys have moved", async || {
            !next.ledger.lock().unwrap().grants.is_empty()
        })
        .await;
        // The releases that are still running end.
        monoio::time::sleep(Millis(WORK.0 * 3).to_duration()).await;
        let (former, next) = (former.ledger.lock().unwrap(), next.ledger.lock().unwrap());
        assert!(!former.releases.is_empty());
        for (release, ended) in &former.releases {
            let overlaps = |g: &KeyGrant| g.first <= release.last && release.first <= g.last;
            let granted = next.grants.iter().find(|(grant, _)| overlaps(grant));
            let early = granted.zip(*ended).filter(|((_, at), ended)| at < ended);
            // A leader that gets no response to a release waits until the lease has ended.
            let leases = former.grants.iter().filter(|(g, _)| overlaps(g));
            let leased_until = leases.map(|(g, at)| *at + g.lease.to_duration()).max();
            let early = early.filter(|((_, at), _)| leased_until.is_none_or(|end| *at < end));
            assert!(early.is_none(), "{release:?} {granted:?} {ended:?}");
        }
    });
}

/// Guards against new connections for the renewals of a service at rest. A server whose connections are all in use would
/// reset them, and its keys would lapse.
#[test]
fn a_service_at_rest_gets_no_new_connections() {
    block_on(async {
        let world = World::start("keys-at-rest").await;
        world.configure().await;
        let (server, addr) = Server::start(false);
        world
            .put_members(&[ready_member("k-1", "kits", addr)])
            .await;
        let _router = world.router("a").await;
        wait_until("the leases are renewed", async || {
            server.ledger.lock().unwrap().grants.len() > 8
        })
        .await;
        let before = server.ledger.lock().unwrap().counts();
        monoio::time::sleep(REST.to_duration()).await;
        let after = server.ledger.lock().unwrap().counts();
        println!("connections and calls: {before:?}, after {REST:?}: {after:?}");
        assert!(after.1 > before.1);
        assert_eq!(after.0, before.0);
    });
}
