//! The `traffic` commands against a store.

mod support;

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use chicoryctl::Command;
use chicoryctl::CtlError;
use chicoryctl::settings;
use chicoryrail_core::Life;
use chicoryrail_core::Member;
use chicoryrail_core::MemberState;
use chicoryrail_core::Millis;
use chicoryrail_platform::Txn;
use chicoryrail_platform::write_member;
use chicoryrail_policy::BusyKey;
use chicoryrail_policy::SlowServer;
use chicoryrail_policy::TrafficState;
use chicoryrail_runtime::block_on;
use rstest::rstest;
use support::Operator;
use support::SITE;
use support::file;

/// Key of the entry that exists while the service `kits` is watched.
const WATCH: &str = "chicoryrail/live/traffic/watch/kits";

const LIMIT: &[&str] = &["limit", "read", "--service", "kits", "--share", "0.25"];
const CALLER: &[&str] = &["limit", "10.0.0.7", "--service", "kits", "--share", "0"];
const SERVER: &[&str] = &["server", "k-1", "--share", "0.5"];
const PIN: &[&str] = &["pin", "0-4095", "--server", "k-1", "--service", "kits"];

/// Returns an operator of a configuration with two services, each with a server.
async fn operator() -> Operator {
    // The cases of a test run concurrently in one process and need separate files.
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let test = format!("traffic-{}", COUNT.fetch_add(1, Ordering::Relaxed));
    let operator = Operator::start();
    let desk = "[[service]]\nname = \"desk\"\nhealth = \"/h\"\nconnections = 9\n";
    let path = file(&test, &format!("{SITE}\n{desk}"));
    let put = Command::Put {
        file: path,
        expect: None,
    };
    operator.run(put).await.unwrap();
    for (name, service) in [("k-1", "kits"), ("d-1", "desk")] {
        let member = Member {
            life: Life::new(name.into(), 7),
            service: service.into(),
            addr: "127.0.0.1:1".parse().unwrap(),
            dc: "west".into(),
            slots: 4,
            state: MemberState::Ready,
            warmup_left: Millis::ZERO,
        };
        let value = write_member(&member).unwrap();
        let txn = Txn::default().put(&format!("servers/{name}"), &value);
        operator.store.commit(&txn).await.unwrap();
    }
    operator
}

fn parse(words: &[&str]) -> Result<Command, String> {
    let all = [&["--store", "127.0.0.1:7000", "traffic"], words].concat();
    let parsed = settings().run_inner(all.as_slice());
    parsed.map(|s| s.command).map_err(bpaf_text)
}

fn bpaf_text(failure: bpaf::ParseFailure) -> String {
    failure.unwrap_stderr()
}

async fn run(operator: &Operator, words: &[&str]) -> Result<String, CtlError> {
    operator.run(parse(words).unwrap()).await
}

/// Guards against a rule that is not listed, is listed twice after it was set again, or can't be released.
#[rstest]
#[case::kind(LIMIT, "limit.kits.read", "service kits: admits 0.25 of read")]
#[case::caller(CALLER, "limit.kits.10.0.0.7", "service kits: admits 0 of 10.0.0.7")]
#[case::server(SERVER, "server.k-1", "server k-1: 0.5 of its slots and key weight")]
#[case::pin(PIN, "pin.kits.0-4095", "service kits: keys 0-4095 stay with k-1")]
fn a_rule_is_set_listed_and_released(
    #[case] words: &[&str],
    #[case] id: &str,
    #[case] effect: &str,
) {
    block_on(async {
        let operator = operator().await;
        for _ in 0..2 {
            let set = run(&operator, words).await.unwrap();
            assert_eq!(set, format!("rule {id} is set: {effect}\n"));
        }
        let listed = run(&operator, &["list"]).await.unwrap();
        assert_eq!(listed, format!("{id:<32}  {effect}\n"));
        run(&operator, &["release", id]).await.unwrap();
        assert_eq!(run(&operator, &["list"]).await.unwrap(), "");
        let error = run(&operator, &["release", id]).await.unwrap_err();
        assert_eq!(error.to_string(), format!("rule {id} does not exist"));
    });
}

/// Guards against a rule that names something unknown and so has no effect, and against an error without the value.
#[rstest]
#[case::service(&["limit", "read", "--service", "kit", "--share", "1"], "service kit does not exist")]
#[case::kind(&["limit", "orders", "--service", "kits", "--share", "1"], "kind orders")]
#[case::kind_elsewhere(&["limit", "read", "--service", "desk", "--share", "1"], "kind read")]
#[case::server(&["server", "k-9", "--share", "1"], "server k-9 is not registered")]
#[case::pin_service(&["pin", "0-1", "--server", "k-1", "--service", "kit"], "service kit does not")]
#[case::pin_keyless(&["pin", "0-1", "--server", "d-1", "--service", "desk"], "service desk has no keys")]
#[case::pin_server(&["pin", "0-1", "--server", "k-9", "--service", "kits"], "server k-9")]
#[case::pin_other(&["pin", "0-1", "--server", "d-1", "--service", "kits"], "server d-1 serves desk")]
#[case::pin_overlap(&["pin", "4095-5000", "--server", "k-1", "--service", "kits"], "pin.kits.0-4095")]
fn a_rule_for_something_unknown_is_refused(#[case] words: &[&str], #[case] named: &str) {
    block_on(async {
        let operator = operator().await;
        run(&operator, PIN).await.unwrap();
        let before = run(&operator, &["list"]).await.unwrap();
        let error = run(&operator, words).await.unwrap_err().to_string();
        assert!(error.contains(named), "{error}");
        assert_eq!(run(&operator, &["list"]).await.unwrap(), before);
    });
}

/// Guards against bad values that reach the store, or are refused without their name.
#[rstest]
#[case::above(&["limit", "read", "--service", "kits", "--share", "1.01"], "--share = 1.01")]
#[case::below(&["server", "k-1", "--share=-0.5"], "--share = -0.5")]
#[case::word(&["server", "k-1", "--share", "half"], "share half is not a number from 0 to 1")]
#[case::no_share(&["server", "k-1"], "--share")]
#[case::order(&["pin", "9-5", "--server", "k-1", "--service", "kits"], "range 9-5")]
#[case::key(&["pin", "0-65536", "--server", "k-1", "--service", "kits"], "key 65536")]
#[case::one_key(&["pin", "7", "--server", "k-1", "--service", "kits"], "range 7")]
fn bad_input_is_refused_with_its_value(#[case] words: &[&str], #[case] named: &str) {
    let error = parse(words).unwrap_err();
    assert!(error.contains(named), "{error}");
}

/// Guards against an entry written by other tools that can't be read and hides the others.
#[test]
fn an_unreadable_rule_is_listed_with_its_reason() {
    block_on(async {
        let operator = operator().await;
        run(&operator, SERVER).await.unwrap();
        let bad = br#"{"type":"server","server":"k-1","share":7}"#;
        let txn = Txn::default().put("chicoryrail/live/traffic/rule/mine", bad);
        operator.store.commit(&txn).await.unwrap();
        let listed = run(&operator, &["list"]).await.unwrap();
        assert!(
            listed.contains("share 7 is not a number from 0 to 1"),
            "{listed}"
        );
        assert!(listed.contains("server.k-1"), "{listed}");
        run(&operator, &["release", "mine"]).await.unwrap();
    });
}

/// Guards against a state of an earlier watch, or of the first second, that is shown as the current one, and against a
/// watch entry that stays.
#[test]
fn traffic_is_shown_once_all_hosts_report() {
    block_on(async {
        let operator = operator().await;
        let state = |watched_ms: u64, hosts: usize| TrafficState {
            watched_ms,
            hosts,
            demand: 12.25,
            slots: 8,
            busy: 3,
            waiting: 1,
            causes: [("full".to_owned(), 2.0)].into(),
            keys: vec![BusyKey { key: 7, rate: 5.5 }],
            servers: vec![SlowServer {
                server: "k-1".into(),
                slowness: 1.5,
            }],
            ..TrafficState::default()
        };
        let store = operator.store.clone();
        let write = async move |state: &TrafficState| {
            let value = serde_json::to_vec(state).unwrap();
            let txn = Txn::default().put("chicoryrail/traffic/state/kits", &value);
            store.commit(&txn).await.unwrap();
        };
        write(&state(9_000, 1)).await;
        let store = operator.store.clone();
        monoio::spawn(async move {
            while store.item(WATCH).await.unwrap().is_none() {
                monoio::time::sleep(Millis(10).to_duration()).await;
            }
            write(&state(0, 2)).await;
            monoio::time::sleep(Millis(50).to_duration()).await;
            write(&state(2_000, 3)).await;
        });
        let shown = run(&operator, &["show", "kits"]).await.unwrap();
        for line in [
            "service          kits, reports of 3 hosts",
            "demand           12.2 requests a second",
            "slots            8, 3 busy, 1 requests waiting",
            "refused, cause   full 2.0",
            "refused, kind    none",
            "7                5.5",
            "k-1              1.50",
        ] {
            assert!(shown.lines().any(|l| l == line), "{line}: {shown}");
        }
        assert!(operator.store.item(WATCH).await.unwrap().is_none());
    });
}

/// Guards against a flag for JSON that is understood only before the command.
#[rstest]
#[case(&["traffic", "show", "kits"], false)]
#[case(&["traffic", "show", "kits", "--json"], true)]
#[case(&["--json", "traffic", "show", "kits"], true)]
fn the_flag_for_json_may_follow_the_command(#[case] words: &[&str], #[case] expected: bool) {
    let all = [&["--store", "127.0.0.1:7000"], words].concat();
    let parsed = settings().run_inner(all.as_slice()).unwrap();
    assert_eq!(parsed.json, expected);
}

/// Guards against a command that hangs, or shows nothing without a word, while no host leads.
#[test]
fn traffic_without_hosts_is_an_error() {
    block_on(async {
        let operator = operator().await;
        let error = run(&operator, &["show", "kits"]).await.unwrap_err();
        assert!(error.to_string().contains("service kits"), "{error}");
        let error = run(&operator, &["show", "kit"]).await.unwrap_err();
        assert_eq!(error.to_string(), "service kit does not exist");
    });
}
