//! The commands against a store, except for `organisation`.

mod support;

use chicoryctl::Command;
use chicoryctl::CtlError;
use chicoryctl::Settings;
use chicoryctl::execute;
use chicoryctl::settings;
use chicoryrail_core::Life;
use chicoryrail_core::Member;
use chicoryrail_core::MemberState;
use chicoryrail_core::Millis;
use chicoryrail_platform::Subject;
use chicoryrail_platform::Txn;
use chicoryrail_platform::write_member;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::LinkFault;
use chicoryrail_testkit::ProxyNet;
use rstest::rstest;
use support::Operator;
use support::SITE;
use support::file;

impl Operator {
    async fn write(&self, subject: &Subject, value: &[u8]) {
        let txn = Txn::default().put(&subject.key().unwrap(), value);
        self.store.commit(&txn).await.unwrap();
    }

    async fn register_server(&self, name: &str, dc: &str, slots: u32) {
        let member = Member {
            life: Life::new(name.into(), 7),
            service: "kits".into(),
            addr: "127.0.0.1:1".parse().unwrap(),
            dc: dc.into(),
            slots,
            state: MemberState::Ready,
            warmup_left: Millis::ZERO,
        };
        let value = write_member(&member).unwrap();
        self.write(&Subject::Server(name.into()), &value).await;
    }
}

/// Guards against a timeout while a large configuration is written over a slow link, after which the operator doesn't
/// know whether it was stored.
#[test]
fn a_large_configuration_is_stored_over_a_slow_link() {
    block_on(async {
        let mut net = ProxyNet::start(1);
        let operator = Operator::start();
        let link = net.link_any_port("slow", operator.store.addr()).unwrap();
        link.set_fault(LinkFault {
            drip: Some(250_000),
            ..LinkFault::default()
        });
        let route = |i: usize| {
            format!(
                "[[route]]\nname = \"more-{i}\"\nhost = \"shop.example\"\nprefix = \"/more-{i}/\"\n\
                 timeout_ms = 800\naim_ms = 300\nservices = [{{ name = \"kits\" }}]\n"
            )
        };
        let routes: String = (0..2_000).map(route).collect();
        let put = Settings {
            store: Some(link.addr()),
            json: false,
            command: Command::Put {
                file: file("put-large", &format!("{SITE}{routes}")),
                expect: None,
            },
        };
        assert_eq!(execute(&put).await.unwrap(), "version 1 is stored\n");
    });
}

#[test]
fn a_configuration_is_stored_as_the_next_version_and_shown() {
    block_on(async {
        let operator = Operator::start();
        let put = |expect| Command::Put {
            file: file("put", SITE),
            expect,
        };
        let first = operator.run(put(None)).await.unwrap();
        assert_eq!(first, "version 1 is stored\n");
        let second = operator.run(put(Some(1))).await.unwrap();
        assert_eq!(second, "version 2 is stored\n");
        let shown = operator.run(Command::Show).await.unwrap();
        assert!(shown.starts_with("# version 2\n"), "{shown}");
        assert!(shown.contains("prefix = \"/\""), "{shown}");
    });
}

/// Two operators change the same version. The second gets an error that names the stored version, and changes nothing.
#[test]
fn a_change_of_an_older_version_fails() {
    block_on(async {
        let operator = Operator::start();
        let put = |expect| Command::Put {
            file: file("race", SITE),
            expect,
        };
        operator.run(put(Some(0))).await.unwrap();
        let conflict = operator.run(put(Some(0))).await.unwrap_err();
        let text = "stored version is 1, expected 0; nothing was changed";
        assert_eq!(conflict.to_string(), text);
    });
}

/// Guards against taking out a data centre with most of the slots by mistake; `--force` takes it out all the same.
#[test]
fn a_data_centre_is_taken_out_and_brought_back() {
    block_on(async {
        let operator = Operator::start();
        operator.register_server("i-1", "west", 4).await;
        operator.register_server("i-2", "east", 2).await;
        let out = |dc: &str, force| Command::Out {
            dc: dc.into(),
            force,
        };
        let error = operator
            .run(out("west", false))
            .await
            .unwrap_err()
            .to_string();
        assert!(error.contains("2 of 6 slots left"), "{error}");
        let unknown = operator.run(out("north", false)).await.unwrap_err();
        assert!(matches!(unknown, CtlError::NoSuchDc { .. }));
        assert_eq!(
            operator.run(out("west", true)).await.unwrap(),
            "west is out of service\n"
        );
        let again = operator.run(out("west", true)).await.unwrap();
        assert_eq!(again, "west is already out of service\n");
        let status = operator.run(Command::Status).await.unwrap();
        assert!(status.contains("out of service west"), "{status}");
        let back = || Command::In { dc: "west".into() };
        assert_eq!(
            operator.run(back()).await.unwrap(),
            "west is back in service\n"
        );
        assert_eq!(
            operator.run(back()).await.unwrap(),
            "west is not out of service\n"
        );
    });
}

/// Guards against an entry of another writer that ends the command, is added up beyond the type of a sum, or controls the
/// operator's terminal.
#[test]
fn status_shows_odd_entries_as_unreadable() {
    block_on(async {
        let operator = Operator::start();
        let file = file("odd-status", SITE);
        operator
            .run(Command::Put { file, expect: None })
            .await
            .unwrap();
        for name in ["i-1", "i-2"] {
            operator.register_server(name, "west", u32::MAX).await;
        }
        let nested = "[".repeat(20_000);
        let entries = ["\0", &nested, "{\"service\":\"\u{1b}[2J\"}"];
        for (i, entry) in entries.iter().enumerate() {
            let name = format!("odd-\u{1b}[31m{i}");
            let subject = Subject::Server(name.as_str().into());
            operator.write(&subject, entry.as_bytes()).await;
        }
        let status = operator.run(Command::Status).await.unwrap();
        assert_eq!(
            status.matches("can't be read: servers/").count(),
            5,
            "{status}"
        );
        assert!(
            !status.contains(|c: char| c.is_control() && c != '\n'),
            "{status:?}"
        );
    });
}

#[test]
fn status_and_owner_show_what_is_stored() {
    block_on(async {
        let operator = Operator::start();
        let file = file("status", SITE);
        operator
            .run(Command::Put { file, expect: None })
            .await
            .unwrap();
        operator.register_server("i-1", "west", 4).await;
        let own = |key: &str| Subject::Own(key.to_owned());
        operator.write(&own("live/leader"), b"host-3").await;
        operator
            .write(&own("live/hosts/host-3"), b"10.0.0.3:900")
            .await;
        let record = br#"{"fence": 9, "attempt": 1, "loose": [], "spans": [
            {"span": {"first": 0, "last": 99}, "owner": {"name": "i-1", "born": 7}}]}"#;
        operator.write(&own("keys/kits"), record).await;
        operator.write(&Subject::Server("i-2".into()), b"{}").await;
        let status = operator.run(Command::Status).await.unwrap();
        for expected in [
            "version 1",
            "host-3, term",
            "10.0.0.3:900",
            "can't be read: servers/i-2",
        ] {
            assert!(status.contains(expected), "{expected} in {status}");
        }
        let owner = |service: &str, key| Command::Owner {
            service: service.into(),
            key,
        };
        let owned = operator.run(owner("kits", 99)).await.unwrap();
        assert_eq!(owned, "i-1@7, fence 9\n");
        let unowned = operator.run(owner("kits", 100)).await.unwrap();
        assert_eq!(unowned, "no owner, fence 9\n");
        let none = operator.run(owner("desk", 1)).await.unwrap_err();
        assert!(matches!(none, CtlError::NoRecord { .. }));
    });
}

/// The error of `check` names the field and, for an invalid value, the value.
#[rstest]
#[case::value("prefix = \"/\"", "prefix = \"x\"", "route.lookup.prefix = x: ")]
#[case::field("keyed", "keyd", "unknown field `keyd`")]
fn an_invalid_file_is_an_error(#[case] good: &str, #[case] bad: &str, #[case] message: &str) {
    let file = file(&format!("bad-{}", bad.len()), &SITE.replace(good, bad));
    let check = Settings {
        store: None,
        json: false,
        command: Command::Check { file },
    };
    let text = block_on(execute(&check)).unwrap_err().to_string();
    assert!(text.contains(message), "{text}");
}

#[rstest]
#[case::no_store(&["status"], "--store ADDR")]
#[case::bad_store(&["--store", "here", "status"], "--store = here")]
#[case::bad_key(&["--store", "127.0.0.1:1", "owner", "kits", "70000"], "70000")]
fn bad_usage_names_the_flag(#[case] args: &[&str], #[case] message: &str) {
    let failure = settings().run_inner(args).unwrap_err();
    let text = failure.unwrap_stderr();
    assert!(text.contains(message), "{text}");
}
