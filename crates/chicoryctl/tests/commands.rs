//! The command line as operators meet it: real processes, exit codes, tables and JSON.

use std::fs;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt as _;
use std::path::PathBuf;
use std::process::Command;
use std::rc::Rc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::mpsc;

use chicoryrail_admin::Access;
use chicoryrail_admin::Admin;
use chicoryrail_core::Millis;
use chicoryrail_platform::KvStore;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::Process;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::ListServer;
use chicoryrail_testkit::Listener;
use chicoryrail_testkit::StoreOptions;
use chicoryrail_testkit::StoreServer;
use monoio::net::TcpListener;
use rstest::rstest;
use serde_json::Value;

/// A store, a host list and an administration API on a thread of their own, until the test ends.
struct Platform {
    admin: SocketAddr,
    stop: CancellationToken,
    dir: PathBuf,
    keys: Vec<String>,
}

/// What a run of the program gave.
#[derive(Debug)]
struct Run {
    exit: i32,
    out: String,
    err: String,
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop.cancel();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Platform {
    fn start() -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("chicoryctl-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).unwrap();
        let mut platform = Self {
            admin: SocketAddr::from(([127, 0, 0, 1], 1)),
            stop: CancellationToken::new(),
            dir,
            keys: Vec::new(),
        };
        let mut operators = Vec::new();
        for name in ["alice", "bob"] {
            let file = platform.path(&format!("{name}.key"));
            let public = platform.run(&["key", "new", &file]).out;
            operators.push(format!("{name}=operate:updraft:{}", public.trim()));
            platform.keys.push(file);
        }
        let (tell, told) = mpsc::channel();
        let stop = platform.stop.clone();
        std::thread::spawn(move || block_on(serve(operators, stop, tell)));
        platform.admin = told.recv().unwrap();
        platform
    }

    fn path(&self, name: &str) -> String {
        self.dir.join(name).to_str().unwrap().to_owned()
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        fs::write(&path, text).unwrap();
        path
    }

    fn run(&self, args: &[&str]) -> Run {
        self.run_with(&[("CHICORYRAIL_ADMIN", &self.admin.to_string())], args)
    }

    fn run_with(&self, env: &[(&str, &str)], args: &[&str]) -> Run {
        let output = Command::new(env!("CARGO_BIN_EXE_chicoryctl"))
            .args(args)
            .env_clear()
            .envs(env.iter().copied())
            .output()
            .unwrap();
        Run {
            exit: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }

    /// Puts and signs the bundle, and returns its digest.
    fn signed(&self) -> String {
        let file = self.file("bundle.toml", BUNDLE);
        let put = self.run(&["--operator", "alice", "bundle", "put", &file]);
        let digest = put.out.trim().to_owned();
        let key = ["--key", &self.keys[1]];
        let sign =
            self.run(&[&["--operator", "bob", "bundle", "sign", &digest], &key[..]].concat());
        assert_eq!(
            (put.exit, sign.exit, sign.out.as_str()),
            (0, 0, "signed off by bob\n")
        );
        digest
    }
}

async fn serve(operators: Vec<String>, stop: CancellationToken, tell: mpsc::Sender<SocketAddr>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = Listener::bind(any).unwrap();
    let store_addr = store.addr().unwrap();
    monoio::spawn(StoreServer::new(StoreOptions::default()).serve(store, stop.clone()));
    let list = Listener::bind(any).unwrap();
    let list_addr = list.addr().unwrap();
    monoio::spawn(ListServer::new(Millis::ZERO).serve(list, stop.clone()));
    let process = Process::new(&"entry-1".into(), "chicoryrail-admin");
    let inner = process.stop.clone();
    let operators = operators.iter().map(|o| o.parse().unwrap()).collect();
    let access = Access::new(operators, Vec::new());
    let admin = Admin::new(
        process,
        KvStore::new(store_addr),
        access,
        "entry-1".into(),
        list_addr,
    );
    let listener = TcpListener::bind(any).unwrap();
    tell.send(listener.local_addr().unwrap()).unwrap();
    monoio::spawn(chicoryrail_admin::serve(listener, Rc::new(admin)));
    stop.cancelled().await;
    inner.cancel();
}

const BUNDLE: &str = r#"
team = "updraft"
[[data_centre]]
name = "a"
[[service]]
name = "kits"
path = "/v1/kits/"
kind = "keyed"
class = "interactive"
[[service.server]]
name = "kits-1"
data_centre = "a"
addr = "127.0.0.1:9001"
"#;

#[test]
fn a_bundle_goes_from_file_to_force() {
    let platform = Platform::start();
    let digest = platform.signed();
    let roll = platform.run(&["--operator", "alice", "bundle", "roll", &digest]);
    assert_eq!(
        (roll.exit, roll.out.lines().next()),
        (0, Some("version 1 pending"))
    );
    let list = platform.run(&["bundle", "list"]);
    let row = format!("{digest}  updraft  alice   bob     1         1        yes");
    assert_eq!(list.out.lines().last(), Some(row.as_str()));
    let status = platform.run(&["status"]);
    let expected = format!("version 1\nteam updraft: bundle {digest}\n");
    assert!(status.out.starts_with(&expected), "{status:?}");
    let show = platform.run(&["bundle", "show", &digest]);
    assert_eq!(show.out, BUNDLE);
}

#[test]
fn json_is_one_line_that_holds_everything() {
    let platform = Platform::start();
    let digest = platform.signed();
    let roll = platform.run(&["--operator", "alice", "--json", "bundle", "roll", &digest]);
    let value: Value = serde_json::from_str(&roll.out).unwrap();
    assert_eq!(
        (roll.out.lines().count(), &value["version"]),
        (1, &Value::from(1))
    );
    let refused = platform.run(&["--json", "--operator", "bob", "dc", "out", "z"]);
    let value: Value = serde_json::from_str(&refused.err).unwrap();
    assert_eq!((refused.exit, &value["code"]), (1, &Value::from(2011)));
}

#[rstest]
#[case::unsigned(&["--operator", "alice", "bundle", "roll", "{digest}"], 1, "error 2003: ")]
#[case::no_operator(&["bundle", "roll", "{digest}"], 1, "error 1000: header operator")]
#[case::unknown(&["bundle", "diff", "{digest}", "{zeros}"], 1, "error 2002: digest = 00")]
#[case::not_a_bundle(&["--operator", "alice", "bundle", "put", "{key}"], 1, "error 2000: ")]
#[case::no_file(&["--operator", "alice", "bundle", "put", "{dir}/none"], 2, "error 4000: file ")]
#[case::no_key(&["bundle", "sign", "{digest}", "--key", "{bundle}"], 2, "error 4000: file ")]
#[case::no_digest(&["bundle", "roll", "abc"], 2, "Error: couldn't parse `abc`")]
#[case::no_command(&[], 2, "Error: ")]
#[case::bad_address(&["--admin", "nowhere", "status"], 2, "Error: ")]
#[case::no_answer(&["--admin", "127.0.0.1:1", "status"], 1, "error 1200: ")]
fn a_failure_has_its_exit_code(#[case] args: &[&str], #[case] exit: i32, #[case] err: &str) {
    let platform = Platform::start();
    let file = platform.file("bundle.toml", BUNDLE);
    let put = platform.run(&["--operator", "alice", "bundle", "put", &file]);
    let zeros = "0".repeat(64);
    let args: Vec<String> = args
        .iter()
        .map(|arg| {
            arg.replace("{digest}", put.out.trim())
                .replace("{zeros}", &zeros)
                .replace("{key}", &platform.keys[0])
                .replace("{bundle}", &file)
                .replace("{dir}", platform.dir.to_str().unwrap())
        })
        .collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let run = platform.run(&args);
    assert_eq!((run.exit, run.out.as_str()), (exit, ""), "{run:?}");
    assert!(run.err.starts_with(err), "{run:?}");
}

/// No host is on the list, so nobody can have the version in force. The command prints that it is
/// pending, gives up after its limit, and says that the change is stored.
#[test]
fn a_wait_ends_at_its_limit() {
    let platform = Platform::start();
    let digest = platform.signed();
    let args = [
        "--operator",
        "alice",
        "bundle",
        "roll",
        &digest,
        "--wait",
        "--wait-ms",
        "300",
    ];
    let roll = platform.run(&args);
    assert_eq!((roll.exit, roll.out.as_str()), (1, ""));
    assert!(roll.err.starts_with("version 1 pending\n"), "{roll:?}");
    assert!(
        roll.err.contains("error 2007: version 1 is stored"),
        "{roll:?}"
    );
}

#[test]
fn a_key_file_is_private_and_never_overwritten() {
    let platform = Platform::start();
    let before = fs::read(&platform.keys[0]).unwrap();
    let again = platform.run(&["key", "new", &platform.keys[0]]);
    let mode = fs::metadata(&platform.keys[0])
        .unwrap()
        .permissions()
        .mode();
    assert_eq!((again.exit, mode & 0o777), (2, 0o600));
    assert_eq!(fs::read(&platform.keys[0]).unwrap(), before);
}

#[test]
fn variables_stand_for_flags_and_help_shows_no_secret() {
    let platform = Platform::start();
    let digest = platform.signed();
    let admin = platform.admin.to_string();
    let env = [
        ("CHICORYRAIL_ADMIN", admin.as_str()),
        ("CHICORYRAIL_OPERATOR", "alice"),
        ("CHICORYRAIL_JSON", "1"),
        ("CHICORYRAIL_FORCE", "1"),
        ("CHICORYRAIL_TOKEN", "s3cret-token"),
    ];
    let roll = platform.run_with(&env, &["bundle", "roll", &digest]);
    let out = platform.run_with(&env, &["dc", "out", "a"]);
    let value: Value = serde_json::from_str(&out.out).unwrap();
    let warning = "service kits would have no server left";
    assert_eq!(
        (roll.exit, &value["warnings"][0]),
        (0, &Value::from(warning))
    );
    let help = platform.run_with(&env, &["--help"]);
    assert_eq!((help.exit, help.out.contains("s3cret")), (0, false));
}
