//! Bad input at every call: a 4xx with its code, and nothing changes.

mod bench;

use bench::Bench;
use bench::bundle;
use chicoryrail_admin::MAX_BODY;
use chicoryrail_runtime::block_on;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::proptest;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use rstest::rstest;

const DIGEST: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

const CALLS: [&str; 10] = [
    "/v1/bundles",
    "/v1/bundles/0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef/signatures",
    "/v1/bundles/x/signatures",
    "/v1/rolls",
    "/v1/data-centres/a/out",
    "/v1/data-centres/a/in",
    "/v1/hosts/entry-1/out",
    "/v1/hosts/entry-1/in",
    "/v1/servers/kits-0/out",
    "/v1/servers/kits-0/in",
];

async fn prepared() -> Bench {
    let bench = Bench::start();
    bench
        .rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
        .await;
    bench
}

#[rstest]
#[case::malformed(b"{\"digest\":".to_vec(), (400, 1000))]
#[case::no_object(b"[]".to_vec(), (400, 1000))]
#[case::unknown_field(
    format!("{{\"digest\":\"{DIGEST}\",\"signature\":\"AAAA\",\"force\":true,\"more\":1}}").into_bytes(),
    (400, 1000)
)]
#[case::wrong_type(b"{\"digest\":7,\"signature\":7,\"force\":7}".to_vec(), (400, 1000))]
#[case::not_utf8(b"{\"digest\":\"\xff\xfe\"}".to_vec(), (400, 1000))]
#[case::nul(vec![0; 100], (400, 1000))]
#[case::deep(vec![b'['; 100_000], (400, 1000))]
#[case::oversized(vec![b' '; MAX_BODY + 1], (413, 1002))]
fn a_bad_body_is_refused_by_every_call(#[case] body: Vec<u8>, #[case] expected: (u16, u16)) {
    block_on(async {
        let bench = prepared().await;
        let before = bench.store.content();
        for path in CALLS {
            let answer = bench.post("alice", path, body.clone()).await;
            let expected = match (path, expected) {
                // A bundle is TOML: what is no JSON is no TOML either, with its own code.
                ("/v1/bundles", (400, 1000)) if std::str::from_utf8(&body).is_ok() => (400, 2000),
                _ => expected,
            };
            assert_eq!(answer.result(), expected, "{path} {answer:?}");
            assert!(!answer.error().is_empty(), "{path}");
        }
        assert_eq!(bench.store.content(), before);
    });
}

#[rstest]
#[case::path("GET", "/v1/nothing", (404, 2011))]
#[case::root("GET", "/", (404, 2011))]
#[case::method("DELETE", "/v1/bundles", (400, 1000))]
#[case::kind("POST", "/v1/regions/a/out", (404, 2011))]
#[case::digest("GET", "/v1/bundles/ABC", (400, 1000))]
#[case::unknown_bundle(
    "GET",
    "/v1/bundles/0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
    (404, 2002)
)]
#[case::no_key("GET", "/v1/owner?service=kits", (400, 1000))]
#[case::unknown_service("GET", "/v1/owner?service=casks&key=1", (404, 2011))]
#[case::escape("GET", "/v1/owner?service=kits&key=%zz", (400, 1000))]
#[case::not_utf8("GET", "/v1/owner?service=kits&key=%ff", (400, 1000))]
#[case::version("GET", "/v1/pending?version=-1", (400, 1000))]
fn a_bad_target_is_refused(#[case] method: &str, #[case] path: &str, #[case] expected: (u16, u16)) {
    block_on(async {
        let bench = prepared().await;
        let answer = bench.send(method, path, &[("operator", "alice")], "").await;
        assert_eq!(answer.result(), expected, "{answer:?}");
    });
}

#[rstest]
#[case::missing(&[])]
#[case::characters(&[("operator", "Alice Smith")])]
#[case::long(&[("operator", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")])]
fn a_change_needs_a_valid_operator(#[case] headers: &[(&str, &str)]) {
    block_on(async {
        let bench = prepared().await;
        let before = bench.store.content();
        let answer = bench
            .send("POST", "/v1/data-centres/a/out", headers, "")
            .await;
        assert_eq!(
            (answer.result(), bench.store.content()),
            ((400, 1000), before)
        );
    });
}

fn segment() -> impl Strategy<Value = String> {
    prop_oneof![
        proptest::sample::select(vec![
            "v1",
            "bundles",
            "signatures",
            "rolls",
            "diff",
            "data-centres",
            "hosts",
            "servers",
            "out",
            "in",
            "status",
            "owner",
            "pending",
            DIGEST,
        ])
        .prop_map(ToOwned::to_owned),
        "[a-zA-Z0-9%._~-]{0,12}",
    ]
}

proptest! {
    #![proptest_config(Config { cases: 256, failure_persistence: None, ..Config::default() })]

    #[test]
    fn arbitrary_bodies_change_nothing(
        call in 0..CALLS.len(),
        body in prop_oneof![
            vec(any::<u8>(), 0..400),
            r#"\{("force"|"digest"|"signature"|"x"):("[a-f0-9]{0,64}"|[0-9]{1,20}|null|\[\])\}"#
                .prop_map(String::into_bytes),
        ],
    ) {
        block_on(async {
            let bench = prepared().await;
            let before = bench.store.content();
            let answer = bench.post("carol", CALLS[call], body).await;
            assert!((400..500).contains(&answer.status), "{answer:?}");
            assert!(answer.code > 0, "{answer:?}");
            assert_eq!(bench.store.content(), before);
        });
    }

    #[test]
    fn arbitrary_targets_change_nothing(
        path in vec(segment(), 0..6),
        query in "[a-z=&%0-9]{0,40}",
        post in any::<bool>(),
    ) {
        block_on(async {
            let bench = prepared().await;
            let before = bench.store.content();
            let path = format!("/{}?{query}", path.join("/"));
            let method = if post { "POST" } else { "GET" };
            let answer = bench.send(method, &path, &[("operator", "carol")], "").await;
            assert!(answer.status < 500, "{path} {answer:?}");
            assert_eq!(bench.store.content(), before);
        });
    }
}
