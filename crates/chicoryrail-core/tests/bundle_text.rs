//! Arbitrary text as a bundle: refused with a message, never a panic, and never taken half-read.

use chicoryrail_core::Bundle;
use chicoryrail_core::BundleError;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::proptest;
use proptest::sample::select;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;

const LINES: [&str; 16] = [
    "team = \"updraft\"",
    "order_parts = 4",
    "[[data_centre]]",
    "name = \"a\"",
    "[[service]]",
    "path = \"/v1/kits/\"",
    "kind = \"keyed\"",
    "kind = \"free\"",
    "class = \"interactive\"",
    "[[service.server]]",
    "data_centre = \"a\"",
    "addr = \"127.0.0.1:9001\"",
    "[[service.hot_key]]",
    "key = \"x\"",
    "[[service.key_range]]",
    "first = \"0\"\nlast = \"ff\"",
];

fn value() -> impl Strategy<Value = String> {
    let field = select(vec![
        "team",
        "name",
        "path",
        "addr",
        "weight",
        "slots",
        "connections",
        "parts",
        "slices",
        "deadline_ms",
        "max_body",
        "order_parts",
        "first",
        "last",
        "x",
    ]);
    let value = prop_oneof![
        any::<i64>().prop_map(|n| n.to_string()),
        any::<f64>().prop_map(|n| n.to_string()),
        "\"[ -~]{0,80}\"",
        select(vec!["nan", "inf", "-inf", "true", "[]", "{}", "1e400"]).prop_map(str::to_owned),
    ];
    (field, value).prop_map(|(field, value)| format!("{field} = {value}"))
}

fn check(text: &str) {
    match Bundle::parse(text) {
        Ok(bundle) => assert_eq!(bundle.validate(), Ok(())),
        Err(BundleError::Syntax { message }) => assert!(!message.is_empty()),
        Err(e @ BundleError::Invalid { .. }) => assert!(e.to_string().contains(" = ")),
    }
}

proptest! {
    #![proptest_config(Config { cases: 400, failure_persistence: None, ..Config::default() })]

    #[test]
    fn arbitrary_text_is_no_panic(text in any::<String>()) {
        check(&text);
    }

    #[test]
    fn arbitrary_lines_of_a_bundle_are_no_panic(
        lines in vec(prop_oneof![3 => select(LINES.to_vec()).prop_map(str::to_owned), 1 => value()], 0..24),
    ) {
        check(&lines.join("\n"));
    }

    #[test]
    fn one_bad_field_in_a_good_bundle_is_no_panic(line in value(), at in 0..10_usize) {
        let good = "team = \"updraft\"\n[[data_centre]]\nname = \"a\"\n[[service]]\nname = \"kits\"\n\
            path = \"/v1/kits/\"\nkind = \"keyed\"\nclass = \"interactive\"\n[[service.server]]\n\
            name = \"k\"\ndata_centre = \"a\"\naddr = \"127.0.0.1:9001\"";
        let mut lines: Vec<&str> = good.lines().collect();
        lines.insert(at, &line);
        check(&lines.join("\n"));
    }
}

#[test]
fn a_text_above_the_limit_is_named_with_its_length() {
    let error = Bundle::parse(&"#".repeat(Bundle::MAX_TEXT + 1)).unwrap_err();
    assert_eq!(
        error.to_string(),
        "bundle = 786433: is longer than 786432 bytes"
    );
}
