//! Tokens, roles and the audit trail.

mod bench;

use bench::Bench;
use bench::MemoryStore;
use bench::bundle;
use chicoryrail_runtime::block_on;
use rstest::rstest;

fn guarded() -> Bench {
    let tokens = [
        "s3cret-of-alice==operate:alice:updraft",
        "s3cret-of-vera=view:vera:updraft",
    ];
    let tokens = tokens.iter().map(|t| t.parse().unwrap()).collect();
    Bench::over(MemoryStore::default(), tokens)
}

#[rstest]
#[case::none(&[], (401, 2010), (401, 2010))]
#[case::unknown(&[("authorization", "Bearer s3cret-of-alicf=")], (401, 2010), (401, 2010))]
#[case::cut(&[("authorization", "Bearer s3cret-of")], (401, 2010), (401, 2010))]
#[case::no_bearer(&[("authorization", "s3cret-of-vera")], (401, 2010), (401, 2010))]
#[case::name_only(&[("operator", "alice")], (401, 2010), (401, 2010))]
#[case::view(&[("authorization", "Bearer s3cret-of-vera")], (200, 0), (403, 2009))]
#[case::operate(&[("authorization", "Bearer s3cret-of-alice=")], (200, 0), (200, 0))]
fn a_token_gives_its_role(
    #[case] headers: &[(&str, &str)],
    #[case] read: (u16, u16),
    #[case] write: (u16, u16),
) {
    block_on(async {
        let bench = guarded();
        let text = bundle("updraft", "kits", 1, 9000);
        let list = bench.send("GET", "/v1/bundles", headers, "").await;
        let put = bench.send("POST", "/v1/bundles", headers, text).await;
        assert_eq!((list.result(), put.result()), (read, write));
    });
}

#[test]
fn health_and_metrics_need_no_token() {
    block_on(async {
        let bench = guarded();
        for path in ["/healthz", "/metrics", "/events"] {
            assert_eq!(bench.get(path).await.status, 200, "{path}");
        }
    });
}

#[rstest]
#[case("s3cr3t=view:vera:updraft")]
#[case("long-enough-1=admin:vera:updraft")]
#[case("long-enough-1=view:vera")]
#[case("long-enough-1=view:Vera:updraft")]
#[case("long-enough-1")]
fn a_bad_token_setting_does_not_repeat_the_secret(#[case] text: &str) {
    let error = text.parse::<chicoryrail_admin::Token>().unwrap_err();
    assert!(!error.contains(text.split('=').next().unwrap()), "{error}");
}

#[test]
fn each_change_leaves_who_what_when_and_result() {
    block_on(async {
        let bench = Bench::start();
        let digest = bench
            .rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        bench.post("carol", "/v1/servers/kits-0/out", "").await;
        let trail: Vec<_> = bench
            .store
            .audit()
            .iter()
            .map(|r| {
                let text = |field: &str| r[field].as_str().unwrap().to_owned();
                assert!(r["when_ms"].as_u64().unwrap() > 1_700_000_000_000);
                let code = r["code"].as_u64().unwrap();
                [text("who"), text("what"), text("subject"), code.to_string()].join(" ")
            })
            .collect();
        let expected = [
            format!("alice bundle-put {digest} 0"),
            format!("bob bundle-sign {digest} 0"),
            format!("alice roll {digest} 0"),
            "carol server-out kits-0 2009".to_owned(),
        ];
        assert_eq!(trail, expected);
    });
}

/// The store takes the roll but not the audit record. The change stands; the caller is told that the
/// trail has a gap, and the gap is counted.
#[test]
fn a_failed_audit_record_is_reported() {
    block_on(async {
        let bench = Bench::start();
        let digest = bench
            .signed("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        bench.store.refuse("audit/");
        let roll = bench.roll("alice", &digest).await;
        assert_eq!((roll.code, roll.audit.as_deref()), (2007, Some("failed")));
        assert_eq!(bench.store.head().version, 1);
    });
}

#[test]
fn a_store_outage_is_told_with_its_code() {
    block_on(async {
        let bench = Bench::start();
        let digest = bench
            .signed("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        bench.store.down(true);
        for answer in [
            bench.roll("alice", &digest).await,
            bench.get("/v1/bundles").await,
            bench.get("/v1/status").await,
        ] {
            assert_eq!(answer.result(), (503, 3000), "{answer:?}");
        }
    });
}
