//! Sign-off: who may bring a bundle into force, and what is refused.

mod bench;

use bench::Bench;
use bench::bundle;
use chicoryrail_runtime::block_on;
use rstest::rstest;

#[test]
fn a_bundle_signed_by_a_second_operator_is_rolled() {
    block_on(async {
        let bench = Bench::start();
        let digest = bench
            .rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        let head = bench.store.head();
        let bundles: Vec<_> = head
            .bundles
            .iter()
            .map(|(t, d)| (t.as_str(), d.as_str()))
            .collect();
        assert_eq!(
            (head.version, bundles),
            (1, vec![("updraft", digest.as_str())])
        );
    });
}

#[test]
fn an_unsigned_bundle_is_not_rolled() {
    block_on(async {
        let bench = Bench::start();
        let text = bundle("updraft", "kits", 3, 9000);
        let put = bench.post("alice", "/v1/bundles", text).await;
        let roll = bench
            .roll("alice", put.body["digest"].as_str().unwrap())
            .await;
        assert_eq!(
            (roll.result(), bench.store.head().version),
            ((409, 2003), 0)
        );
    });
}

#[rstest]
#[case::author("alice", "alice", (403, 2005))]
#[case::key_of_another("bob", "alice", (403, 2004))]
#[case::unknown_operator("mallory", "mallory", (403, 2004))]
#[case::other_team("carol", "carol", (403, 2009))]
#[case::view_only("vera", "vera", (403, 2009))]
fn a_wrong_sign_off_is_refused(
    #[case] signer: &str,
    #[case] key: &str,
    #[case] expected: (u16, u16),
) {
    block_on(async {
        let bench = Bench::start();
        let text = bundle("updraft", "kits", 3, 9000);
        let put = bench.post("alice", "/v1/bundles", text).await;
        let digest = put.body["digest"].as_str().unwrap();
        let before = bench.store.content();
        let sign = bench.sign(signer, key, digest).await;
        let roll = bench.roll("alice", digest).await;
        assert_eq!((sign.result(), roll.result()), (expected, (409, 2003)));
        assert_eq!(bench.store.content(), before);
    });
}

/// The author can't hand authorship to a colleague by letting the colleague put the same text.
#[test]
fn the_first_author_stays_the_author() {
    block_on(async {
        let bench = Bench::start();
        let text = bundle("updraft", "kits", 3, 9000);
        bench.post("alice", "/v1/bundles", text.clone()).await;
        let again = bench.post("bob", "/v1/bundles", text).await;
        let digest = again.body["digest"].as_str().unwrap();
        let sign = bench.sign("alice", "alice", digest).await;
        assert_eq!(
            (again.body["author"].as_str(), sign.code),
            (Some("alice"), 2005)
        );
    });
}

/// Somebody with access to the store writes a sign-off of his own. The roll checks it again with the
/// keys of the settings, so the caller sees 2004 and nothing comes into force.
#[test]
fn a_forged_record_in_the_store_does_not_count() {
    block_on(async {
        use chicoryrail_platform::Store as _;
        let bench = Bench::start();
        let text = bundle("updraft", "kits", 3, 9000);
        let put = bench.post("alice", "/v1/bundles", text).await;
        let digest = put.body["digest"].as_str().unwrap();
        let forged = r#"{"signer":"bob","signature":"AAAA"}"#;
        let key = format!("config/sign/{digest}");
        bench.store.swap(&key, 0, forged).await.unwrap();
        let roll = bench.roll("alice", digest).await;
        assert_eq!(
            (roll.result(), bench.store.head().version),
            ((403, 2004), 0)
        );
    });
}

#[rstest]
#[case::service(&bundle("tanduay", "kits", 1, 9100), "service.name = kits: belongs to team updraft")]
#[case::path(
    &bundle("tanduay", "casks", 1, 9100).replace("/v1/casks/", "/v1/kits/new/"),
    "service.path = /v1/kits/new/: belongs to team updraft"
)]
#[case::server(
    &bundle("tanduay", "casks", 1, 9100).replace("casks-0", "kits-0"),
    "server.name = kits-0: belongs to team updraft"
)]
#[case::address(
    &bundle("tanduay", "casks", 1, 9000),
    "server.addr = 127.0.0.1:9000: belongs to team updraft"
)]
fn a_bundle_may_not_hold_what_another_team_has(#[case] text: &str, #[case] expected: &str) {
    block_on(async {
        let bench = Bench::start();
        bench
            .rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        let before = bench.store.content();
        let put = bench.post("carol", "/v1/bundles", text.to_owned()).await;
        assert_eq!((put.result(), put.error()), ((403, 2009), expected));
        assert_eq!(bench.store.content(), before);
    });
}

/// Two teams put bundles that clash before either is in force: both puts pass. The first is rolled;
/// the second team's roll is checked against it and refused.
#[test]
fn a_clash_that_arose_after_the_put_is_found_at_the_roll() {
    block_on(async {
        let bench = Bench::start();
        let ours = bench
            .signed("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        let theirs = bench
            .signed("carol", "olga", &bundle("tanduay", "kits", 1, 9100))
            .await;
        let first = bench.roll("alice", &ours).await;
        let second = bench.roll("carol", &theirs).await;
        assert_eq!((first.code, second.code), (2007, 2009));
    });
}

#[rstest]
#[case::other_team("carol", (403, 2009))]
#[case::view_only("vera", (403, 2009))]
fn others_may_neither_put_nor_roll(#[case] who: &str, #[case] expected: (u16, u16)) {
    block_on(async {
        let bench = Bench::start();
        let text = bundle("updraft", "kits", 3, 9000);
        let digest = bench.signed("alice", "bob", &text).await;
        let put = bench.post(who, "/v1/bundles", text).await;
        let roll = bench.roll(who, &digest).await;
        assert_eq!((put.result(), roll.result()), (expected, expected));
    });
}

#[test]
fn the_list_and_the_comparison_show_what_differs() {
    block_on(async {
        let bench = Bench::start();
        let text = bundle("updraft", "kits", 2, 9000);
        let a = bench.rolled("alice", "bob", &text).await;
        let b = bench
            .signed(
                "alice",
                "bob",
                &text.replace("127.0.0.1:9001", "127.0.0.1:9009"),
            )
            .await;
        let diff = bench.get(&format!("/v1/bundles/{a}/diff/{b}")).await;
        let expected = serde_json::json!([{
            "field": "service[kits].server[kits-1].addr",
            "before": "127.0.0.1:9001",
            "after": "127.0.0.1:9009",
        }]);
        assert_eq!(diff.body["changes"], expected);
        let list = bench.get("/v1/bundles").await;
        let rows = list.body["bundles"].as_array().unwrap().iter();
        let mut in_force: Vec<_> = rows
            .map(|b| (b["digest"].clone(), b["in_force"].clone()))
            .collect();
        in_force.sort_by_key(|r| r.1 != true);
        assert_eq!(
            in_force,
            [(a.into(), true.into()), (b.into(), false.into())]
        );
    });
}
