//! Tests that the scanner finds request heads however the bytes are split.

use chicoryrail_runtime::HeadScanner;
use chicoryrail_runtime::ScannedHead;
use proptest::prelude::*;
use rstest::rstest;

const LIMIT: usize = 16 << 10;

fn heads(scanner: &mut HeadScanner) -> Vec<ScannedHead> {
    std::iter::from_fn(|| scanner.next_head()).collect()
}

/// Returns the paths of the heads found. Those that are not pipelinable end with `!`.
fn found(text: &str) -> Vec<String> {
    let mut scanner = HeadScanner::new(LIMIT);
    scanner.feed(text.as_bytes());
    let name = |head: ScannedHead| {
        let path = head.to_request().unwrap().uri().path().to_owned();
        if head.pipelinable { path } else { path + "!" }
    };
    heads(&mut scanner).into_iter().map(name).collect()
}

/// Guards against a wrong message length: the scanner would take bytes of a body for the next head.
#[rstest]
#[case::plain("x: y", "", &["/a", "/b"])]
#[case::no_body("content-length: 0", "", &["/a", "/b"])]
#[case::keep_alive("connection: keep-alive", "", &["/a", "/b"])]
#[case::body("content-length: 4", "GET ", &["/a!", "/b"])]
#[case::body_like_a_head("content-length: 18", "GET /c HTTP/1.1\r\n\r", &["/a!", "/b"])]
#[case::chunked("transfer-encoding: chunked", "0\r\n\r\n", &["/a!"])]
#[case::two_lengths("content-length: 1\r\ncontent-length: 2", "xx", &["/a!"])]
#[case::signed_length("content-length: +1", "x", &["/a!"])]
#[case::closes("connection: close", "", &["/a!"])]
#[case::upgrades("connection: upgrade\r\nupgrade: x", "", &["/a!"])]
#[case::expect_continue("expect: 100-continue", "", &["/a!"])]
fn headers_determine_the_framing(#[case] header: &str, #[case] body: &str, #[case] paths: &[&str]) {
    let text = format!("GET /a HTTP/1.1\r\n{header}\r\n\r\n{body}GET /b HTTP/1.1\r\nh: i\r\n\r\n");
    assert_eq!(found(&text), paths);
}

/// An invalid, HTTP/1.0 or too long head stops the scanner for good, since the start of the next request is uncertain.
#[rstest]
#[case::invalid("nonsense\r\n\r\n".to_owned())]
#[case::older_version("GET /a HTTP/1.0\r\n\r\n".to_owned())]
#[case::too_long(format!("GET /a HTTP/1.1\r\nx: {}\r\n", "y".repeat(LIMIT)))]
fn an_invalid_head_stops_the_scanner(#[case] start: String) {
    let text = format!("{start}GET /b HTTP/1.1\r\n\r\n");
    assert!(!found(&text).contains(&"/b".to_owned()), "{text}");
}

/// Generates a valid request and whether it is pipelinable.
fn request() -> impl Strategy<Value = (String, bool)> {
    let body = prop_oneof![
        Just(None),
        proptest::collection::vec(any::<u8>(), 0..40).prop_map(Some)
    ];
    let blank = prop_oneof![Just(""), Just("\r\n")];
    ("[a-z]{1,9}", body, blank).prop_map(|(path, body, blank)| {
        let line = format!("{blank}GET /{path} HTTP/1.1\r\nhost: x\r\n");
        match body {
            None => (line + "\r\n", true),
            Some(body) => {
                let text: String = body.iter().map(|b| char::from(b % 94 + 32)).collect();
                let pipelinable = text.is_empty();
                let head = format!("{line}content-length: {}\r\n\r\n{text}", text.len());
                (head, pipelinable)
            }
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// The scanner finds one head for each request, in order, however the bytes are split.
    #[test]
    fn heads_do_not_depend_on_splits(
        requests in proptest::collection::vec(request(), 1..8),
        cuts in proptest::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let text: String = requests.iter().map(|(text, _)| text.as_str()).collect();
        let mut cuts: Vec<usize> = cuts.iter().map(|c| c.index(text.len())).collect();
        cuts.extend([0, text.len()]);
        cuts.sort_unstable();
        let mut scanner = HeadScanner::new(LIMIT);
        for pair in cuts.windows(2) {
            scanner.feed(&text.as_bytes()[pair[0]..pair[1]]);
        }
        let pipelinable: Vec<bool> = heads(&mut scanner).iter().map(|h| h.pipelinable).collect();
        let expected: Vec<bool> = requests.iter().map(|(_, pipelinable)| *pipelinable).collect();
        prop_assert_eq!(pipelinable, expected);
    }

    /// Arbitrary bytes in arbitrary chunks cause no panic, neither in the scanner nor in parsing its heads.
    #[test]
    fn arbitrary_bytes_do_not_panic(
        parts in proptest::collection::vec(
            prop_oneof![
                proptest::collection::vec(any::<u8>(), 0..60),
                "(GET|POST|) ?/?[a-z]{0,3} HTTP/1.[01]\r?\n([a-z]{1,3}: ?[0-9]{0,3}\r?\n){0,3}(\r\n)?"
                    .prop_map(String::into_bytes),
            ],
            0..12,
        ),
    ) {
        let mut scanner = HeadScanner::new(LIMIT);
        for part in &parts {
            scanner.feed(part);
        }
        for head in heads(&mut scanner) {
            let _ = head.to_request();
        }
    }
}
