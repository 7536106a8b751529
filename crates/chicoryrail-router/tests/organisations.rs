//! Organisations at a real process: whose requests run, what servers learn, and when keys and limits bind.

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

/// Time after which a host that is out of touch serves no key, as the tests' boot file says.
const REVOKE: Millis = Millis(2_500);

/// Puts organisations; the read route stays open to all where `public`.
async fn put(world: &World, organisations: Value, public: bool) {
    let mut config = world.next_config();
    config["tenants"] = organisations;
    config["virtual_hosts"][0]["paths"][0]["public"] = json!(public);
    world.put("op/config", &config).await;
}

fn both() -> Value {
    json!([{"name": "school", "api_keys": [SCHOOL_KEY]}, {"name": "shop", "api_keys": [SHOP_KEY]}])
}

/// Sends a request with these headers on a connection of its own.
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
    let answer = client.call(router.callers, request, Millis(5_000)).await;
    answer.unwrap()
}

async fn status(router: &RouterProcess, path: &str, key: &str) -> u16 {
    let answer = call(router, path, &[("Chicoryrail-Key", key)]).await;
    answer.status().as_u16()
}

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
fn only_a_valid_key_opens_and_servers_learn_whose_it_is(
    #[case] headers: &'static [(&'static str, &'static str)],
    #[case] expected: u16,
) {
    block_on(async {
        let world = World::start("keys").await;
        put(&world, both(), false).await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        let answer = call(&router, "/read/1", headers).await;
        assert_eq!(answer.status(), expected);
        assert_eq!(
            answer.headers().contains_key("www-authenticate"),
            expected == 401
        );
        for run in server.ledger().runs {
            assert_eq!(run.organisation.as_deref(), Some("school"));
            assert!(!run.key_leaked);
        }
        assert_eq!(server.runs(), usize::from(expected == 200));
        assert!(!router.log().contains("secret"), "a key is in the log");
    });
}

/// Guards against a caller who names an organisation where nobody checks.
#[test]
fn a_public_route_needs_no_key_and_names_nobody() {
    block_on(async {
        let world = World::start("public").await;
        put(&world, both(), true).await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        let claim = [("Chicoryrail-Tenant", "shop"), ("Chicoryrail-Key", "other")];
        assert_eq!(call(&router, "/read/1", &claim).await.status(), 200);
        let run = &server.ledger().runs[0];
        assert_eq!((run.organisation.as_ref(), run.key_leaked), (None, false));
        assert_eq!(call(&router, "/order/1", &claim).await.status(), 401);
    });
}

/// Guards against headers of organisations that reach servers where none are configured.
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

#[test]
fn a_key_that_was_taken_away_opens_nothing_and_the_others_still_do() {
    block_on(async {
        let world = World::start("revoked").await;
        put(&world, both(), false).await;
        world.server("i-1", "desk").await;
        let router = world.router("a").await;
        assert_eq!(status(&router, "/read/1", SHOP_KEY).await, 200);
        let without = json!([{"name": "school", "api_keys": [SCHOOL_KEY]}, {"name": "shop"}]);
        put(&world, without, false).await;
        wait_until("the key opens nothing", async || {
            status(&router, "/read/1", SHOP_KEY).await == 401
        })
        .await;
        assert_eq!(status(&router, "/read/1", SCHOOL_KEY).await, 200);
    });
}

/// Guards against a key that was taken away while this host was cut off from the store.
#[test]
fn a_host_out_of_touch_serves_no_keys_beyond_the_bound() {
    block_on(async {
        let world = World::start("stale").await;
        put(&world, both(), true).await;
        world.server("i-1", "desk").await;
        let router = world.router("a").await;
        assert_eq!(status(&router, "/order/1", SHOP_KEY).await, 200);
        world.fault(&StoreFault::Silent { for_ms: 6_000 }).await;
        monoio::time::sleep(REVOKE.duration()).await;
        for path in ["/order/1", "/manual/1"] {
            let answer = call(&router, path, &[("Chicoryrail-Key", SHOP_KEY)]).await;
            assert_eq!(answer.status(), 503);
            assert!(answer.headers().contains_key("retry-after"));
        }
        assert_eq!(
            status(&router, "/order/1", "other").await,
            503,
            "it can't know"
        );
        assert_eq!(
            status(&router, "/read/1", "").await,
            200,
            "a public route goes on"
        );
        wait_until("it serves again", async || {
            status(&router, "/order/1", SHOP_KEY).await == 200
        })
        .await;
    });
}

/// Guards against a host that turns callers away for the age of keys that nobody has.
#[test]
fn without_organisations_a_lone_host_out_of_touch_stays_ready() {
    block_on(async {
        let world = World::start("lone").await;
        world.configure().await;
        world.server("i-1", "desk").await;
        let router = world.router("a").await;
        world.fault(&StoreFault::Silent { for_ms: 6_000 }).await;
        monoio::time::sleep((REVOKE + Millis(700)).duration()).await;
        assert!(router.is_ready().await);
        assert_eq!(status(&router, "/read/1", "").await, 200);
    });
}

/// Guards against a store that forgets its history: its watches hear nothing while a key is taken away.
#[test]
fn a_key_taken_away_while_watches_hear_nothing_opens_nothing_in_time() {
    block_on(async {
        let world = World::start("deaf").await;
        put(&world, both(), false).await;
        world.server("i-1", "desk").await;
        let router = world.router("a").await;
        world.deafen(Millis(10_000)).await;
        put(
            &world,
            json!([{"name": "school", "api_keys": [SCHOOL_KEY]}]),
            false,
        )
        .await;
        monoio::time::sleep(REVOKE.duration()).await;
        assert_ne!(status(&router, "/read/1", SHOP_KEY).await, 200);
    });
}

#[test]
fn an_organisation_beyond_its_limit_is_told_when_to_return() {
    block_on(async {
        let world = World::start("quota").await;
        let limited = json!([
            {"name": "school", "api_keys": [SCHOOL_KEY], "rate_per_s": 10, "burst": 10},
            {"name": "shop", "api_keys": [SHOP_KEY]}]);
        put(&world, limited, false).await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        wait_until("it leads", async || router.log().contains("leader_won")).await;
        monoio::time::sleep(Millis(1_500).duration()).await;
        let mut refused = 0;
        for _ in 0..150 {
            let answer = call(&router, "/read/1", &[("Chicoryrail-Key", SCHOOL_KEY)]).await;
            if answer.status() == 429 {
                assert!(answer.headers().contains_key("retry-after"));
                refused += 1;
            }
        }
        // Two seconds of the rate, the burst, and a tenth and 20 beyond, in less time than that.
        assert!(server.runs() <= 66, "{} ran", server.runs());
        assert!(refused >= 84, "{refused} were refused");
        assert_eq!(
            status(&router, "/read/1", SHOP_KEY).await,
            200,
            "others are served"
        );
        wait_until("it is logged", async || {
            router.log().contains("log=quota_refused")
        })
        .await;
    });
}
