//! Tests of configuration files: accepted fields, and errors for invalid values.

use chicoryrail_core::Idempotency;
use chicoryrail_core::RouteKind;
use chicoryrail_core::ServiceName;
use chicoryrail_core::SiteFile;
use rstest::rstest;

const TEXT: &str = r#"
[[service]]
name = "kits"
keyed = true
health = "/healthz"
connections = 120
cold_ms = 3000
cold_rate = 5.0

[[route]]
name = "lookup"
host = "Shop.example"
prefix = "/kits/"
timeout_ms = 800
aim_ms = 300
attempts = 2
services = [{ name = "kits" }]

[[route]]
name = "manual"
host = "shop.example"
prefix = "/kits/manual/"
download = true
timeout_ms = 800
aim_ms = 300
services = [{ name = "kits" }]

[[route]]
name = "order"
host = "shop.example"
prefix = "/kits/order/"
once = true
timeout_ms = 1000
aim_ms = 400
services = [{ name = "kits", weight = 9 }]
"#;

fn file(text: &str) -> SiteFile {
    toml::from_str(text).unwrap()
}

/// Guards against fields that are lost or changed when a file is built, or when a configuration is converted to a file.
#[test]
fn file_round_trips_through_configuration() {
    let site = file(TEXT).build(4).unwrap();
    assert_eq!(site.version, 4);
    let order = site.route("shop.example", "/kits/order/1").unwrap();
    assert_eq!(order.kind, RouteKind::Order);
    assert_eq!(order.services[0].weight, 9);
    let lookup = site.route("shop.example", "/kits/1").unwrap();
    assert_eq!((lookup.kind, lookup.max_attempts), (RouteKind::Read, 2));
    let manual = site.route("shop.example", "/kits/manual/1").unwrap();
    assert_eq!(manual.kind, RouteKind::Download);
    assert_eq!(SiteFile::from_site(&site).build(4).unwrap(), site);
}

/// Guards against an upload that is taken for a request that may be repeated.
#[test]
fn an_upload_runs_at_most_once() {
    let text = TEXT.replace("once = true", "upload = true");
    let site = file(&text).build(4).unwrap();
    let order = site.route("shop.example", "/kits/order/1").unwrap();
    assert_eq!(order.kind, RouteKind::Upload);
    assert_eq!(order.kind.idempotency(), Idempotency::AtMostOnce);
    assert_eq!(SiteFile::from_site(&site).build(4).unwrap(), site);
}

/// Guards against decisions for patient callers on routes whose callers have no time to wait.
#[rstest]
#[case::short(400, 1_199, false)]
#[case::long(400, 1_200, true)]
fn a_route_with_a_long_timeout_tolerates_waiting(
    #[case] target_ms: u64,
    #[case] timeout_ms: u64,
    #[case] tolerates: bool,
) {
    let timeouts = format!("timeout_ms = {timeout_ms}\naim_ms = {target_ms}");
    let text = TEXT.replace("timeout_ms = 1000\naim_ms = 400", &timeouts);
    let site = file(&text).build(4).unwrap();
    let order = site.route("shop.example", "/kits/order/1").unwrap();
    assert_eq!(order.tolerates_waiting(), tolerates);
    assert_eq!(site.tolerates_waiting(&ServiceName::new("kits")), tolerates);
    assert!(!site.tolerates_waiting(&ServiceName::new("other")));
}

#[rstest]
#[case::prefix("/kits/order/", "/kits/order", "route.order.prefix = /kits/order: ")]
#[case::service(
    "name = \"kits\", weight",
    "name = \"kid\", weight",
    "route.order.services = kid: "
)]
#[case::weight("weight = 9", "weight = 0", "route.order.services = : ")]
#[case::aim("aim_ms = 400", "aim_ms = 1400", "route.order.aim_ms = 1400: ")]
#[case::attempts("attempts = 2", "attempts = 0", "route.lookup.attempts = 0: ")]
#[case::both(
    "once = true",
    "once = true\ndownload = true",
    "route.order.download = true: "
)]
#[case::upload(
    "download = true",
    "download = true\nupload = true",
    "route.manual.upload = true: "
)]
#[case::twice(
    "/kits/order/",
    "/kits/",
    "route.order.prefix = /kits/ of route lookup: "
)]
#[case::name(
    "name = \"kits\"\nkeyed",
    "name = \"Kits\"\nkeyed",
    "service.Kits.name = Kits: "
)]
#[case::cold("cold_rate = 5.0", "cold_rate = -1.0", "service.kits.cold_rate = -1: ")]
#[case::no_rate("cold_rate = 5.0", "", "service.kits.cold_rate = 0: ")]
#[case::health("\"/healthz\"", "\"healthz\"", "service.kits.health = healthz: ")]
fn invalid_value_is_reported_with_field(
    #[case] good: &str,
    #[case] bad: &str,
    #[case] start: &str,
) {
    let text = TEXT.replacen(good, bad, 1).replace("Shop", "shop");
    let error = file(&text).build(1).unwrap_err().to_string();
    assert!(error.starts_with(start), "{error}");
}

/// Guards against a misspelt field that is ignored, so that its default applies.
#[test]
fn unknown_field_is_reported() {
    let text = TEXT.replace("keyed", "keyd");
    let error = toml::from_str::<SiteFile>(&text).unwrap_err().to_string();
    assert!(error.contains("keyd"), "{error}");
}
