//! Organisations at a running router process: API keys, the headers that servers receive, revocation and rate limits.

mod support;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::StoreFault;
use http::Request;
use http::Response;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use support::RouterProcess;
use support::World;
use support::wait_until;

const SCHOOL_KEY: &str = "school-secret";
const SHOP_KEY: &str = "shop-secret";

/// Time without contact to the store after which a host accepts no API key, as set in the tests' boot file.
const REVOCATION_TIME: Millis = Millis(2_500);

/// Writes a configuration with these organisations; the read route needs no key if `public`.
async fn put_organisations(world: &World, organisations: Value, public: bool) {
    let mut config = world.next_config();
    config["tenants"] = organisations;
    config["virtual_hosts"][0]["paths"][0]["public"] = json!(public);
    world.put("op/config", &config).await;
}

fn two_organisations() -> Value {
    json!([{"name": "school", "api_keys": [SCHOOL_KEY]}, {"name": "shop", "api_keys": [SHOP_KEY]}])
}

/// Sends a request with these headers on a new connection.
async fn call(router: &RouterProcess, path: &str, headers: &[(&str, &str)]) -> Response<Bytes> {
    let mut request = Request::get(path)
        .header("host", "shop.example")
        .header(call_header::REQUEST_ID, "id")
        .header(call_header::TIME_LEFT, 1_500);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Bytes::new()).unwrap();
    let client = HttpClient::default();
    let response = client.call(router.callers, request, Millis(5_000)).await;
    response.unwrap()
}

async fn status(router: &RouterProcess, path: &str, key: &str) -> u16 {
    let response = call(router, path, &[("Chicoryrail-Key", key)]).await;
    response.status().as_u16()
}

/// Guards against requests that run without exactly one valid key, against an organisation that the caller claims by a
/// header, and against keys that reach servers or the log.
#[rstest]
#[case::none(&[], 401)]
#[case::unknown(&[("Chicoryrail-Key", "other")], 401)]
#[case::empty(&[("Chicoryrail-Key", "")], 401)]
#[case::two(&[("Chicoryrail-Key", SCHOOL_KEY), ("chicoryrail-key", SCHOOL_KEY)], 401)]
#[case::listed(&[("Chicoryrail-Key", "school-secret, shop-secret")], 401)]
#[case::good(&[("CHICORYRAIL-KEY", SCHOOL_KEY)], 200)]
#[case::claims_another(&[("Chicoryrail-Key", SCHOOL_KEY), ("Chicoryrail-Tenant", "shop")], 200)]
#[case::claims_many(&[("Chicoryrail-Key", SCHOOL_KEY), ("Chicoryrail-Tenant", "shop"), ("chicoryrail-tenant", "x")], 200)]
#[case::for_this_connection(&[("Chicoryrail-Key", SCHOOL_KEY), ("Connection", "Chicoryrail-Tenant, Chicoryrail-Key")], 200)]
fn only_a_valid_key_is_accepted_and_servers_receive_its_organisation(
    #[case] headers: &'static [(&'static str, &'static str)],
    #[case] expected: u16,
) {
    block_on(async {
        let world = World::start("keys").await;
        put_organisations(&world, two_organisations(), false).await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        let response = call(&router, "/read/1", headers).await;
        assert_eq!(response.status(), expected);
        assert_eq!(
            response.headers().contains_key("www-authenticate"),
            expected == 401
        );
        for run in server.ledger().runs {
            assert_eq!(run.organisation.as_deref(), Some("school"));
            assert!(!run.key_leaked);
        }
        assert_eq!(server.executed(), usize::from(expected == 200));
        assert!(!router.log().contains("secret"), "a key is in the log");
    });
}

/// Guards against a caller's claim of an organisation that reaches the server on a public route, where no key is
/// checked.
#[test]
fn a_public_route_needs_no_key_and_forwards_no_organisation() {
    block_on(async {
        let world = World::start("public").await;
        put_organisations(&world, two_organisations(), true).await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        let claim = [("Chicoryrail-Tenant", "shop"), ("Chicoryrail-Key", "other")];
        assert_eq!(call(&router, "/read/1", &claim).await.status(), 200);
        let run = &server.ledger().runs[0];
        assert_eq!((run.organisation.as_ref(), run.key_leaked), (None, false));
        assert_eq!(call(&router, "/order/1", &claim).await.status(), 401);
    });
}

/// Guards against organisation and key headers that reach servers although no organisations are configured.
#[test]
fn without_organisations_their_headers_reach_no_server() {
    block_on(async {
        let world = World::start("no-organisations").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        let claim = [("Chicoryrail-Tenant", "shop"), ("Chicoryrail-Key", "other")];
        assert_eq!(call(&router, "/read/1", &claim).await.status(), 200);
        let run = &server.ledger().runs[0];
        assert_eq!((run.organisation.as_ref(), run.key_leaked), (None, false));
    });
}

/// Guards against a revoked key that is still accepted, and against a revocation that affects other keys.
#[test]
fn a_revoked_key_is_rejected_and_the_others_are_accepted() {
    block_on(async {
        let world = World::start("revoked").await;
        put_organisations(&world, two_organisations(), false).await;
        world.server("i-1", "desk").await;
        let router = world.router("a").await;
        assert_eq!(status(&router, "/read/1", SHOP_KEY).await, 200);
        let without = json!([{"name": "school", "api_keys": [SCHOOL_KEY]}, {"name": "shop"}]);
        put_organisations(&world, without, false).await;
        wait_until("the revoked key is rejected", async || {
            status(&router, "/read/1", SHOP_KEY).await == 401
        })
        .await;
        assert_eq!(status(&router, "/read/1", SCHOOL_KEY).await, 200);
    });
}

/// Guards against a key that was revoked while this host was isolated from the store and is still accepted.
#[test]
fn a_host_isolated_from_the_store_accepts_no_keys_after_the_bound() {
    block_on(async {
        let world = World::start("stale").await;
        put_organisations(&world, two_organisations(), true).await;
        world.server("i-1", "desk").await;
        let router = world.router("a").await;
        assert_eq!(status(&router, "/order/1", SHOP_KEY).await, 200);
        world.fault(&StoreFault::Silent { for_ms: 6_000 }).await;
        monoio::time::sleep(REVOCATION_TIME.to_duration()).await;
        for path in ["/order/1", "/manual/1"] {
            let response = call(&router, path, &[("Chicoryrail-Key", SHOP_KEY)]).await;
            assert_eq!(response.status(), 503);
            assert!(response.headers().contains_key("retry-after"));
        }
        assert_eq!(
            status(&router, "/order/1", "other").await,
            503,
            "the host can't tell whether the key is valid"
        );
        assert_eq!(
            status(&router, "/read/1", "").await,
            200,
            "a public route is still served"
        );
        wait_until("keys are accepted again", async || {
            status(&router, "/order/1", SHOP_KEY).await == 200
        })
        .await;
    });
}

/// Guards against a host that refuses requests because its keys are outdated, although there are no organisations.
#[test]
fn without_organisations_a_host_isolated_from_the_store_stays_ready() {
    block_on(async {
        let world = World::start("lone").await;
        world.configure().await;
        world.server("i-1", "desk").await;
        let router = world.router("a").await;
        world.fault(&StoreFault::Silent { for_ms: 6_000 }).await;
        monoio::time::sleep((REVOCATION_TIME + Millis(700)).to_duration()).await;
        assert!(router.is_ready().await);
        assert_eq!(status(&router, "/read/1", "").await, 200);
    });
}

/// Guards against a revoked key that is still accepted because the store, about to drop its history, reports no changes
/// to its watches.
#[test]
fn a_key_revoked_while_watches_report_nothing_is_rejected_in_time() {
    block_on(async {
        let world = World::start("deaf").await;
        put_organisations(&world, two_organisations(), false).await;
        world.server("i-1", "desk").await;
        let router = world.router("a").await;
        world.stall_watches(Millis(10_000)).await;
        put_organisations(
            &world,
            json!([{"name": "school", "api_keys": [SCHOOL_KEY]}]),
            false,
        )
        .await;
        monoio::time::sleep(REVOCATION_TIME.to_duration()).await;
        assert_ne!(status(&router, "/read/1", SHOP_KEY).await, 200);
    });
}

/// Guards against an organisation whose requests run beyond its rate limit, or are refused without a retry time, and
/// against refusals of another organisation's requests.
#[test]
fn an_organisation_over_its_limit_is_refused_with_a_retry_time() {
    block_on(async {
        let world = World::start("quota").await;
        let limited = json!([
            {"name": "school", "api_keys": [SCHOOL_KEY], "rate_per_s": 10, "burst": 10},
            {"name": "shop", "api_keys": [SHOP_KEY]}]);
        put_organisations(&world, limited, false).await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        wait_until("the router leads", async || {
            router.log().contains("leader_won")
        })
        .await;
        monoio::time::sleep(Millis(1_500).to_duration()).await;
        let mut refused = 0;
        for _ in 0..150 {
            let response = call(&router, "/read/1", &[("Chicoryrail-Key", SCHOOL_KEY)]).await;
            if response.status() == 429 {
                assert!(response.headers().contains_key("retry-after"));
                refused += 1;
            }
        }
        // The rate for two seconds, the burst, and the allowance of a tenth and 20 requests; the loop takes less time.
        assert!(
            server.executed() <= 66,
            "{} requests ran",
            server.executed()
        );
        assert!(refused >= 84, "{refused} requests were refused");
        assert_eq!(
            status(&router, "/read/1", SHOP_KEY).await,
            200,
            "the other organisation is served"
        );
        wait_until("the refusal is logged", async || {
            router.log().contains("log=quota_refused")
        })
        .await;
    });
}
