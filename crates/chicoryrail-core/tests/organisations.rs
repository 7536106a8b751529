//! Tests of organisations in configuration files: accepted fields, and errors that don't contain API keys.

use chicoryrail_core::ApiKey;
use chicoryrail_core::SiteFile;
use rstest::rstest;

const TEXT: &str = r#"
[[service]]
name = "kits"
health = "/healthz"
connections = 120

[[route]]
name = "lookup"
host = "shop.example"
prefix = "/"
timeout_ms = 800
aim_ms = 300
public = true
services = [{ name = "kits" }]

[[organisation]]
name = "school"
api_keys = ["first-secret", "second-secret"]
rate = 30
burst = 10
rank = 1

[[organisation]]
name = "shop"
api_keys = ["third-secret"]
"#;

fn file(text: &str) -> SiteFile {
    toml::from_str(text).unwrap()
}

/// Guards against organisation fields that are lost or changed when a configuration is written to a file and read.
#[test]
fn organisations_round_trip_through_file() {
    let site = file(TEXT).build(4).unwrap();
    let school = site.organisation(&"school".into()).unwrap();
    assert_eq!(school.api_keys.len(), 2);
    assert_eq!(school.limit.map(|l| (l.rate, l.burst)), Some((30.0, 10.0)));
    assert_eq!(school.priority, Some(1));
    assert_eq!(site.organisation(&"shop".into()).unwrap().limit, None);
    assert!(site.routes()[0].public);
    let written = toml::to_string(&SiteFile::from_site(&site)).unwrap();
    assert_eq!(file(&written).build(4).unwrap(), site);
}

/// Guards against an absent list that is read as an empty one, which makes each request need an API key.
#[test]
fn file_without_organisations_needs_no_api_keys() {
    let (text, _) = TEXT.split_once("[[organisation]]").unwrap();
    assert_eq!(file(text).build(1).unwrap().organisations(), None);
}

#[rstest]
#[case::shared(
    "third-secret",
    "first-secret",
    "organisation.shop.api_keys.0 = (hidden): "
)]
#[case::twice(
    "second-secret",
    "first-secret",
    "organisation.school.api_keys.1 = (hidden): "
)]
#[case::empty("third-secret", "", "organisation.shop.api_keys.0 = (hidden): ")]
#[case::space(
    "third-secret",
    "third secret",
    "organisation.shop.api_keys.0 = (hidden): "
)]
#[case::name(
    "name = \"shop\"",
    "name = \"school\"",
    "organisation.school.name = school: "
)]
#[case::rate("rate = 30", "rate = -3", "organisation.school.rate = -3: ")]
#[case::burst("burst = 10", "burst = nan", "organisation.school.burst = NaN: ")]
fn invalid_organisation_is_reported_without_key(
    #[case] good: &str,
    #[case] bad: &str,
    #[case] message: &str,
) {
    let error = file(&TEXT.replacen(good, bad, 1)).build(1).unwrap_err();
    let text = error.to_string();
    assert!(text.starts_with(message), "{text}");
    assert!(!text.contains("secret"), "{text}");
}

/// Guards against keys longer than a header may hold, and against an error that contains the key.
#[test]
fn too_long_api_key_is_refused() {
    let long = "k".repeat(129);
    let error = file(&TEXT.replace("third-secret", &long)).build(1);
    assert!(!error.unwrap_err().to_string().contains(&long));
}

/// Guards against API keys in logs: each type that contains one may be printed with `Debug`.
#[test]
fn debug_hides_keys() {
    let site = file(TEXT).build(1).unwrap();
    let shown = format!(
        "{site:?} {:?} {:?}",
        SiteFile::from_site(&site),
        ApiKey::new("a-secret")
    );
    assert!(!shown.contains("-secret"), "{shown}");
}
