//! Bundles: what is read, and what is refused with which field and value.

use chicoryrail_core::Bundle;
use chicoryrail_core::BundleError;
use rstest::rstest;

const GOOD: &str = r#"
team = "updraft"
[[data_centre]]
name = "a"
[[service]]
name = "kits"
path = "/v1/kits/"
kind = "keyed"
class = "interactive"
fenced = true
[[service.server]]
name = "kits-1"
data_centre = "a"
addr = "127.0.0.1:9001"
[[service.key_range]]
first = "0"
last = "ff"
data_centre = "a"
"#;

#[test]
fn a_good_bundle_is_read_with_defaults() {
    let bundle = Bundle::parse(GOOD).unwrap();
    assert_eq!(
        (bundle.services[0].slots, bundle.services[0].connections),
        (2, 120)
    );
}

#[rstest]
#[case::zero_slots("fenced = true", "slots = 0", "service[kits].slots = 0")]
#[case::port(
    "127.0.0.1:9001",
    "127.0.0.1:0",
    "service[kits].server[kits-1].addr = 127.0.0.1:0"
)]
#[case::data_centre("data_centre = \"a\"", "data_centre = \"b\"", "data_centre = b")]
#[case::name("\"kits-1\"", "\"Kits 1\"", "server.name = \"Kits 1\"")]
#[case::path("/v1/kits/", "/kits", "service[kits].path = /kits")]
#[case::weight("name = \"kits-1\"", "name = \"kits-1\"\nweight = -1", "weight = -1")]
fn a_bad_value_is_named(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let error = Bundle::parse(&GOOD.replacen(from, to, 1)).unwrap_err();
    assert!(error.to_string().contains(expected), "{error}");
}

#[rstest]
#[case::server(
    "[[service.server]]\nname=\"kits-1\"\ndata_centre=\"a\"\naddr=\"127.0.0.1:9002\"",
    "server.name = kits-1: stands twice"
)]
#[case::address(
    "[[service.server]]\nname=\"kits-2\"\ndata_centre=\"a\"\naddr=\"127.0.0.1:9001\"",
    "is the address of server kits-1 too"
)]
#[case::range(
    "[[service.key_range]]\nfirst=\"80\"\nlast=\"100\"\ndata_centre=\"a\"",
    "key_range = 80-100: overlaps key_range 0000000000000000-00000000000000ff"
)]
#[case::sign(
    "[[service.key_range]]\nfirst=\"+200\"\nlast=\"300\"\ndata_centre=\"a\"",
    "key_range = +200-300: is no range"
)]
#[case::order(
    "[[service.key_range]]\nfirst=\"200\"\nlast=\"100\"\ndata_centre=\"a\"",
    "key_range = 200-100: is no range"
)]
fn a_clash_is_named(#[case] more: &str, #[case] expected: &str) {
    let error = Bundle::parse(&format!("{GOOD}\n{more}")).unwrap_err();
    assert!(error.to_string().contains(expected), "{error}");
}

#[test]
fn an_unknown_field_is_a_syntax_error() {
    let error = Bundle::parse(&GOOD.replace("fenced", "fencing")).unwrap_err();
    assert!(
        matches!(&error, BundleError::Syntax { message } if message.contains("fencing")),
        "{error}"
    );
}

/// The format's page can't show an example that is refused.
#[test]
fn the_example_of_the_page_is_a_bundle() {
    let page = include_str!("../../../docs/BUNDLE.md");
    let example = page.split("```toml\n").nth(1).unwrap();
    let bundle = Bundle::parse(example.split("```").next().unwrap()).unwrap();
    assert_eq!((bundle.services.len(), bundle.servers().count()), (1, 2));
}

/// A field that the code takes and the page does not list would be one that nobody knows of.
#[test]
fn the_page_lists_every_field() {
    let page = include_str!("../../../docs/BUNDLE.md");
    let example = page.split("```toml\n").nth(1).unwrap();
    let bundle = Bundle::parse(example.split("```").next().unwrap()).unwrap();
    let mut fields = Vec::new();
    collect(&toml::Value::try_from(&bundle).unwrap(), &mut fields);
    assert!(fields.len() > 20, "{fields:?}");
    for field in fields {
        assert!(page.contains(&format!("`{field}`")), "{field}");
    }
}

fn collect(value: &toml::Value, fields: &mut Vec<String>) {
    match value {
        toml::Value::Table(table) => {
            for (name, inner) in table {
                fields.push(name.clone());
                collect(inner, fields);
            }
        }
        toml::Value::Array(list) => list.iter().for_each(|inner| collect(inner, fields)),
        _ => {}
    }
}
