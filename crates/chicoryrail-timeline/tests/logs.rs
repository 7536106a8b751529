//! Logs of several routers in one order.

use chicoryrail_timeline::Filter;
use chicoryrail_timeline::LogLine;
use chicoryrail_timeline::merge;
use chicoryrail_timeline::settings;
use rstest::rstest;

const ENTRY: &str = "\
log=send_broken t=10.200 level=info host=a request=r1 server=i-1@5
log=request_refused t=10.300 level=info host=a request=r1 cause=broken
log=request_late t=10.250 level=info host=a request=r2 took_ms=400
not a line of ours
";
const LEADER: &str = "10.1 b log=desk_refused t=10.100 level=info host=b request=r1 waiting=4\n";

/// A request asked at one host, and was decided about at another: one id brings both together.
#[test]
fn one_requests_lines_come_in_order_from_all_hosts() {
    let lines = merge([ENTRY, LEADER], &Filter::of("request", "r1"));
    let kinds: Vec<_> = lines.iter().map(|l| l.value("log").unwrap()).collect();
    assert_eq!(kinds, ["desk_refused", "send_broken", "request_refused"]);
    assert_eq!(merge([ENTRY, LEADER], &Filter::default()).len(), 4);
}

#[rstest]
#[case("")]
#[case("log=x")]
#[case("log=x t=soon")]
#[case("t=1.0 level=info")]
fn other_output_is_passed_over(#[case] text: &str) {
    assert_eq!(LogLine::parse(text), None);
}

/// Conditions that are given together must all hold; a server goes by its name under any start.
#[rstest]
#[case::server(&["--server", "i-1"], 1)]
#[case::server_with_start(&["--server", "i-1@5"], 1)]
#[case::other_start(&["--server", "i-1@6"], 0)]
#[case::host(&["--host", "a"], 3)]
#[case::kind_and_request(&["--kind", "request_late", "--request", "r2"], 1)]
#[case::kind_of_another_request(&["--kind", "request_late", "--request", "r1"], 0)]
fn conditions_must_all_hold(#[case] args: &[&str], #[case] expected: usize) {
    let args: Vec<&str> = [&["--log", "x"], args].concat();
    let settings = settings().run_inner(args.as_slice()).unwrap();
    let lines = merge([ENTRY, LEADER], &settings.filter);
    assert_eq!(lines.len(), expected);
}

#[test]
fn a_run_without_a_file_is_refused() {
    let failure = settings().run_inner(&["--request", "r1"]).unwrap_err();
    assert!(failure.unwrap_stderr().contains("--log FILE"));
}
