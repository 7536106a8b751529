//! An operator's rules for traffic: the stored format, and the requests that a share admits.

use std::net::IpAddr;

use chicoryrail_core::Millis;
use chicoryrail_core::Route;
use chicoryrail_core::RouteKind;
use chicoryrail_policy::Limited;
use chicoryrail_policy::Share;
use chicoryrail_policy::ShareCounter;
use chicoryrail_policy::TrafficRule;
use rstest::rstest;

const PIN: &str = r#"{"type":"pin","service":"kits","first":0,"last":4095,"server":"k-1"}"#;

/// Guards against a share that lets a burst pass or refuses a long row: among any number of consecutive requests, the
/// number admitted must differ from the share by less than one.
#[rstest]
#[case(0.0)]
#[case(0.1)]
#[case(0.25)]
#[case(1.0 / 3.0)]
#[case(0.9)]
#[case(1.0)]
fn a_share_is_admitted_evenly(#[case] share: f64, #[values(0.0, 0.5, 0.999)] start: f64) {
    let mut counter = ShareCounter::new(start);
    let share = Share::new(share).unwrap();
    let mut admitted = 0.0;
    for sent in 1..=10_000 {
        admitted += f64::from(u8::from(counter.admit(share)));
        let expected = share.fraction() * f64::from(sent);
        assert!((admitted - expected).abs() <= 1.01, "{admitted} of {sent}");
    }
}

/// Guards against a quarter that is not one in four, at whatever request a host begins.
#[rstest]
fn a_quarter_admits_one_in_four(#[values(0.0, 0.3, 0.6, 0.9)] start: f64) {
    let mut counter = ShareCounter::new(start);
    let share = Share::new(0.25).unwrap();
    for _ in 0..100 {
        let admitted = (0..4).filter(|_| counter.admit(share)).count();
        assert_eq!(admitted, 1);
    }
}

/// Guards against a format that a host can't read back, and against two rules for one subject.
#[rstest]
#[case::kind(
    r#"{"type":"limit","service":"kits","limited":{"kind":"read"},"share":0.25}"#,
    "limit.kits.read"
)]
#[case::caller(
    r#"{"type":"limit","service":"kits","limited":{"caller":"10.0.0.7"},"share":0.0}"#,
    "limit.kits.10.0.0.7"
)]
#[case::server(r#"{"type":"server","server":"k-1","share":0.5}"#, "server.k-1")]
#[case::pin(PIN, "pin.kits.0-4095")]
fn a_rule_is_written_as_it_is_read(#[case] text: &str, #[case] id: &str) {
    let rule: TrafficRule = serde_json::from_str(text).unwrap();
    assert_eq!(serde_json::to_string(&rule).unwrap(), text);
    assert_eq!(rule.id(), id);
}

/// Guards against a rule in force with a value that makes no sense, and against an error that does not say which.
#[rstest]
#[case::type_unknown(r#"{"type":"stop","service":"kits"}"#, "stop")]
#[case::no_share(r#"{"type":"server","server":"k-1"}"#, "share")]
#[case::large_share(r#"{"type":"server","server":"k-1","share":1.5}"#, "share 1.5")]
#[case::negative(r#"{"type":"server","server":"k-1","share":-0.1}"#, "share -0.1")]
#[case::no_number(r#"{"type":"server","server":"k-1","share":"half"}"#, "half")]
#[case::field_unknown(r#"{"type":"server","server":"k-1","share":1,"until":7}"#, "until")]
#[case::caller(
    r#"{"type":"limit","service":"s","limited":{"caller":"x"},"share":1}"#,
    "IP address"
)]
#[case::order(
    r#"{"type":"pin","service":"s","first":9,"last":5,"server":"k"}"#,
    "range 9-5"
)]
#[case::key(
    r#"{"type":"pin","service":"s","first":9,"last":65536,"server":"k"}"#,
    "65536"
)]
fn a_bad_rule_is_rejected_with_its_value(#[case] text: &str, #[case] named: &str) {
    let error = serde_json::from_str::<TrafficRule>(text).unwrap_err();
    assert!(error.to_string().contains(named), "{error}");
}

/// Guards against a limit that holds for other requests than the operator named.
#[rstest]
#[case("read", true)]
#[case("lookup", true)]
#[case("order", false)]
#[case("10.0.0.7", true)]
#[case("10.0.0.8", false)]
fn a_limit_holds_for_the_named_requests(#[case] text: &str, #[case] matches: bool) {
    let limited: Limited = text.parse().unwrap();
    let caller: IpAddr = "10.0.0.7".parse().unwrap();
    let route = Route {
        name: "lookup".to_owned(),
        host: "shop.example".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::Read,
        timeout: Millis(800),
        latency_target: Millis(300),
        priority: 1,
        max_attempts: 2,
        public: false,
        services: Vec::new(),
    };
    assert_eq!(limited.matches(&route, caller), matches);
}

/// Guards against a server that is shut off because its share of few slots rounds to none.
#[rstest]
#[case(0.0, 4, 1)]
#[case(0.01, 4, 1)]
#[case(0.5, 4, 2)]
#[case(0.9, 4, 4)]
#[case(1.0, 4, 4)]
#[case(0.5, 0, 0)]
fn a_small_share_keeps_one_slot(#[case] share: f64, #[case] slots: u32, #[case] left: u32) {
    assert_eq!(Share::new(share).unwrap().of_slots(slots), left);
}
