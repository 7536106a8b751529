//! Logs of several routers in one order.

use chicoryrail_timeline::LogLine;
use chicoryrail_timeline::merge_logs;
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
    let lines = merge_logs([ENTRY, LEADER], Some("r1"));
    let kinds: Vec<_> = lines.iter().map(|l| l.value("log").unwrap()).collect();
    assert_eq!(kinds, ["desk_refused", "send_broken", "request_refused"]);
    assert_eq!(merge_logs([ENTRY, LEADER], None).len(), 4);
}

#[rstest]
#[case("")]
#[case("log=x")]
#[case("log=x t=soon")]
#[case("t=1.0 level=info")]
fn other_output_is_passed_over(#[case] text: &str) {
    assert_eq!(LogLine::parse(text), None);
}
