//! Real administration processes over a store that loses answers or is down.

use std::collections::BTreeSet;
use std::io::Read as _;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use chicoryrail_core::Head;
use chicoryrail_core::Millis;
use chicoryrail_platform::kv::WireItem;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::ListServer;
use chicoryrail_testkit::Listener;
use chicoryrail_testkit::StoreFault;
use chicoryrail_testkit::StoreOptions;
use chicoryrail_testkit::StoreServer;
use chicoryrail_testkit::call_blocking;
use chicoryrail_testkit::free_port;
use ed25519_dalek::Signer as _;
use ed25519_dalek::SigningKey;
use http::Method;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

const LIMIT: Millis = Millis(60_000);

/// The stand-ins of store and host list, and two administration processes.
struct Platform {
    store: SocketAddr,
    stop: CancellationToken,
    admins: Vec<(SocketAddr, Child)>,
}

impl Drop for Platform {
    fn drop(&mut self) {
        for (_, child) in &mut self.admins {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.stop.cancel();
    }
}

fn key_of(name: &str) -> SigningKey {
    let mut seed = [7; 32];
    seed[..name.len()].copy_from_slice(name.as_bytes());
    SigningKey::from_bytes(&seed)
}

fn operators() -> String {
    let one = |(name, team): (&str, &str)| {
        let key = STANDARD.encode(key_of(name).verifying_key().as_bytes());
        format!("{name}=operate:{team}:{key}")
    };
    [("alice", "updraft"), ("carol", "tanduay"), ("olga", "*")]
        .map(one)
        .join(" ")
}

impl Platform {
    fn start() -> Self {
        let (tell, told) = mpsc::channel();
        let stop = CancellationToken::new();
        let told_to_stop = stop.clone();
        std::thread::spawn(move || {
            block_on(async {
                let any = SocketAddr::from(([127, 0, 0, 1], 0));
                let store = Listener::bind(any).unwrap();
                let list = Listener::bind(any).unwrap();
                tell.send((store.addr().unwrap(), list.addr().unwrap()))
                    .unwrap();
                let server = StoreServer::new(StoreOptions::default());
                monoio::spawn(server.serve(store, told_to_stop.clone()));
                ListServer::new(Millis::ZERO)
                    .serve(list, told_to_stop)
                    .await;
            });
        });
        let (store, list) = told.recv().unwrap();
        let admins = (0..2).map(|_| start_admin(store, list)).collect();
        Self {
            store,
            stop,
            admins,
        }
    }

    fn fault(&self, fault: &StoreFault) {
        let body = serde_json::to_string(fault).unwrap();
        let answer = call_blocking(&Method::PUT, self.store, "/testkit/fault", body, LIMIT);
        assert_eq!(answer.unwrap().0, 200);
    }

    fn head(&self) -> Head {
        let path = "/-/kv-key?key=config/head";
        let end = Instant::now() + LIMIT.duration();
        let body = loop {
            match call_blocking(&Method::GET, self.store, path, "", LIMIT) {
                Ok((_, body)) => break body,
                Err(e) => assert!(Instant::now() < end, "{e}"),
            }
        };
        let item: WireItem = serde_json::from_slice(&body).unwrap();
        let value = STANDARD.decode(item.value.unwrap()).unwrap();
        serde_json::from_slice(&value).unwrap()
    }

    /// Calls the API of a process; returns the status and the answer.
    fn post(&self, admin: usize, who: &str, path: &str, body: &str) -> (u16, Value) {
        post(self.admins[admin].0, who, path, body)
    }

    fn signed(&self, author: &str, text: &str) -> String {
        let (status, put) = self.post(0, author, "/v1/bundles", text);
        assert_eq!(status, 200, "{put}");
        let digest = put["digest"].as_str().unwrap().to_owned();
        let signature = key_of("olga").sign(digest.as_bytes());
        let body = json!({ "signature": STANDARD.encode(signature.to_bytes()) }).to_string();
        let path = format!("/v1/bundles/{digest}/signatures");
        assert_eq!(self.post(1, "olga", &path, &body).0, 200);
        digest
    }
}

fn start_admin(store: SocketAddr, list: SocketAddr) -> (SocketAddr, Child) {
    let listen = free_port().unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_chicoryrail-admin"))
        .args(["--host", "entry-1", "--data-centre", "a"])
        .args([
            "--store",
            &store.to_string(),
            "--host-list",
            &list.to_string(),
        ])
        .args(["--listen", &listen.to_string()])
        .env("CHICORYRAIL_OPERATORS", operators())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let end = Instant::now() + LIMIT.duration();
    while call_blocking(&Method::GET, listen, "/readyz", "", LIMIT).is_err() {
        assert!(Instant::now() < end, "the process does not answer");
        std::thread::sleep(Duration::from_millis(20));
    }
    (listen, child)
}

/// `call_blocking` sends no headers; the operator's name travels in one.
fn post(addr: SocketAddr, who: &str, path: &str, body: &str) -> (u16, Value) {
    use std::io::Write as _;
    let mut stream = std::net::TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(LIMIT.duration())).unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\noperator: {who}\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    (status, serde_json::from_str(body).unwrap())
}

fn bundle(team: &str, service: &str, port: u16, weight: u32) -> String {
    format!(
        "team = \"{team}\"\n[[data_centre]]\nname = \"a\"\n[[service]]\nname = \"{service}\"\n\
         path = \"/v1/{service}/\"\nkind = \"keyed\"\nclass = \"interactive\"\n\
         [[service.server]]\nname = \"{service}-1\"\ndata_centre = \"a\"\n\
         addr = \"127.0.0.1:{port}\"\nweight = {weight}\n"
    )
}

fn roll(digest: &str) -> String {
    json!({ "digest": digest }).to_string()
}

/// The store is down. Each call is refused with 3000 within seconds, and the API goes on when the
/// store is back.
#[test]
fn a_store_outage_is_told_and_ends() {
    let platform = Platform::start();
    let digest = platform.signed("alice", &bundle("updraft", "kits", 9000, 1));
    let down = StoreFault::Down {
        for_ms: 2_000,
        share: 1.0,
        polite: false,
        hosts: Vec::new(),
    };
    platform.fault(&down);
    let during = platform.post(0, "alice", "/v1/rolls", &roll(&digest));
    // The API is needed in an outage too: it tells operators what is in force.
    let status = |path| {
        let answer = call_blocking(&Method::GET, platform.admins[0].0, path, "", LIMIT);
        answer.unwrap().0
    };
    assert_eq!((status("/healthz"), status("/readyz")), (200, 200));
    let end = Instant::now() + LIMIT.duration();
    let after = loop {
        let after = platform.post(0, "alice", "/v1/rolls", &roll(&digest));
        if after.0 != 503 || Instant::now() > end {
            break after;
        }
        std::thread::sleep(Duration::from_millis(100));
    };
    assert_eq!((during.0, during.1["code"].as_u64()), (503, Some(3000)));
    assert_eq!((after.0, platform.head().version), (202, 1), "{}", after.1);
}

/// Two operators of two teams roll again and again at two processes, while the store loses three of
/// ten answers. What callers were told and what the store holds must agree: no version is promised
/// to two callers, every promised version exists, and every version that nobody was promised is one
/// whose caller was told that the outcome is not known.
#[test]
fn racing_rolls_under_lost_answers_are_told_truly() {
    let platform = Platform::start();
    let sides = [
        ("alice", "updraft", "kits", 9000),
        ("carol", "tanduay", "casks", 9100),
    ];
    let digests = sides.map(|(who, team, service, port)| {
        [1, 2].map(|w| platform.signed(who, &bundle(team, service, port, w)))
    });
    platform.fault(&StoreFault::LoseAnswers {
        for_ms: 60_000,
        share: 0.3,
    });
    let threads: Vec<_> = sides
        .into_iter()
        .zip(digests)
        .zip([0, 1])
        .map(|(((who, ..), digests), admin)| {
            let addr = platform.admins[admin].0;
            std::thread::spawn(move || {
                let rolls = (0..15).map(|i| post(addr, who, "/v1/rolls", &roll(&digests[i % 2])));
                rolls.collect::<Vec<_>>()
            })
        })
        .collect();
    let answers: Vec<_> = threads
        .into_iter()
        .flat_map(|t| t.join().unwrap())
        .collect();
    let (mut told, mut unknown, mut conflicts) = (BTreeSet::new(), 0, 0);
    for (status, answer) in &answers {
        match (status, answer["code"].as_u64()) {
            (202, _) if answer["unchanged"] == true => {}
            (202, _) => assert!(told.insert(answer["version"].as_u64().unwrap()), "{answer}"),
            (503, Some(3000)) => unknown += 1,
            (409, Some(2006)) => conflicts += 1,
            _ => panic!("{status} {answer}"),
        }
    }
    let head = platform.head();
    let untold = (1..=head.version).filter(|v| !told.contains(v)).count();
    println!(
        "told {told:?} unknown {unknown} conflicts {conflicts} head {}",
        head.version
    );
    assert!(told.last().is_none_or(|last| *last <= head.version));
    assert!(
        untold <= unknown,
        "versions untold {untold}, unknown {unknown}"
    );
    assert!(!told.is_empty());
}

#[test]
fn a_stop_signal_ends_the_process_with_0() {
    let mut platform = Platform::start();
    let (_, child) = &mut platform.admins[0];
    let pid = Pid::from_raw(i32::try_from(child.id()).unwrap());
    nix::sys::signal::kill(pid, Signal::SIGTERM).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

/// A second process is given the address of the first by mistake. It must not take a part of the
/// first one's calls.
#[test]
fn an_address_in_use_is_refused() {
    let platform = Platform::start();
    let listen = platform.admins[0].0.to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_chicoryrail-admin"))
        .args([
            "--host",
            "entry-1",
            "--data-centre",
            "a",
            "--listen",
            &listen,
        ])
        .args(["--store", "127.0.0.1:1", "--host-list", "127.0.0.1:1"])
        .output()
        .unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    let expected = format!("error 4000: --listen = {listen}: ");
    assert_eq!(output.status.code(), Some(2));
    assert!(text.starts_with(&expected), "{text}");
}

#[rstest]
#[case::port(&["--listen", "127.0.0.1:99999"], "--listen = 127.0.0.1:99999")]
#[case::host(&["--host", "Entry 1"], "--host")]
#[case::store(&["--store", "nowhere"], "--store = nowhere")]
#[case::operator(&["--operator", "alice=root:updraft:AAAA"], "role \"root\"")]
#[case::key(&["--operator", "alice=operate:updraft:AAAA"], "32 bytes")]
#[case::token(&["--token", "topsecret=operate:alice"], "--token = (not shown)")]
#[case::unknown(&["--listen-on", "127.0.0.1:1"], "--listen-on")]
fn a_bad_setting_is_named_and_ends_with_2(#[case] args: &[&str], #[case] expected: &str) {
    let given = |flag: &str| args.contains(&flag);
    let usual = [
        ("--host", "entry-1"),
        ("--data-centre", "a"),
        ("--store", "127.0.0.1:1"),
        ("--host-list", "127.0.0.1:1"),
        ("--listen", "127.0.0.1:0"),
    ];
    let usual = usual.iter().filter(|(flag, _)| !given(flag));
    let output = Command::new(env!("CARGO_BIN_EXE_chicoryrail-admin"))
        .args(usual.flat_map(|(flag, value)| [*flag, *value]))
        .args(args)
        .output()
        .unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains(expected), "{text}");
    assert!(!text.contains("topsecret"), "{text}");
}
