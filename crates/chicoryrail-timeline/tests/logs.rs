//! Merging, filtering and summarising the logs of several routers.

use chicoryrail_timeline::Filter;
use chicoryrail_timeline::LogLine;
use chicoryrail_timeline::Losses;
use chicoryrail_timeline::Task;
use chicoryrail_timeline::merge;
use chicoryrail_timeline::settings;
use rstest::rstest;

const ENTRY: &str = "\
log=send_broken t=10.200 level=info host=a request=r1 server=i-1@5
log=request_refused t=10.300 level=info host=a request=r1 cause=broken
log=request_late t=10.250 level=info host=a request=r2 took_ms=400
not a line of ours
";
const LEADER: &str =
    "10.1 b log=scheduler_refused t=10.100 level=info host=b request=r1 waiting=4\n";

/// A request arrives at one host and is scheduled at another: the request id selects the lines of both.
#[test]
fn lines_of_one_request_are_merged_from_all_hosts() {
    let lines = merge([ENTRY, LEADER], &Filter::of("request", "r1"));
    let kinds: Vec<_> = lines.iter().map(|l| l.value("log").unwrap()).collect();
    assert_eq!(
        kinds,
        ["scheduler_refused", "send_broken", "request_refused"]
    );
    assert_eq!(merge([ENTRY, LEADER], &Filter::default()).len(), 4);
}

#[rstest]
#[case("")]
#[case("log=x")]
#[case("log=x t=soon")]
#[case("t=1.0 level=info")]
fn other_output_is_ignored(#[case] text: &str) {
    assert_eq!(LogLine::parse(text), None);
}

/// A line must meet all given conditions; a server's name without a start time matches all its starts.
#[rstest]
#[case::server(&["--server", "i-1"], 1)]
#[case::server_with_start(&["--server", "i-1@5"], 1)]
#[case::other_start(&["--server", "i-1@6"], 0)]
#[case::host(&["--host", "a"], 3)]
#[case::kind_and_request(&["--kind", "request_late", "--request", "r2"], 1)]
#[case::kind_of_another_request(&["--kind", "request_late", "--request", "r1"], 0)]
fn lines_must_meet_all_conditions(#[case] args: &[&str], #[case] expected: usize) {
    let args: Vec<&str> = [&["--log", "x"], args].concat();
    let settings = settings().run_inner(args.as_slice()).unwrap();
    let lines = merge([ENTRY, LEADER], &settings.filter);
    assert_eq!(lines.len(), expected);
}

#[test]
fn a_run_without_a_file_is_an_error() {
    let failure = settings().run_inner(&["--request", "r1"]).unwrap_err();
    assert!(failure.unwrap_stderr().contains("--log FILE"));
}

const LOST: &str = "\
log=request_in_time t=10.0 host=a route=read took_ms=50 waited_ms=0 server=i-1@5 cause=-
log=request_refused t=20.1 host=a route=read took_ms=30 waited_ms=30 server=- cause=full
log=request_refused t=20.2 host=a route=read took_ms=10 waited_ms=10 server=- cause=full
log=request_refused t=20.3 host=b route=read took_ms=20 waited_ms=20 server=- cause=full
log=request_late t=21.1 host=b route=order took_ms=500 waited_ms=300 server=i-1@5 cause=-
log=leader_lost t=20.0 host=c term=4
log=left_out t=21.0 host=b lines=7
";

/// Requests are lost in two seconds, most of them for lack of capacity while the leader is lost.
#[test]
fn losses_are_summed_by_reason_and_second() {
    let losses = Losses::of(&merge([LOST], &Filter::default()), None);
    assert_eq!((losses.lost, losses.left_out), (4, 7));
    let full = &losses.reasons[0];
    assert_eq!(
        (&*full.route, &*full.cause, full.count),
        ("read", "full", 3)
    );
    assert_eq!((full.took_ms, full.waited_ms), (20, 20));
    let late = &losses.reasons[1];
    assert_eq!((&*late.outcome, &*late.server), ("late", "i-1@5"));
    let worst = &losses.moments[0];
    assert_eq!((worst.at, worst.lost), (20, 3));
    assert_eq!(worst.changes["leader_lost"], 1);
    assert!(losses.to_string().contains("4 requests lost in 11 s"));
}

#[rstest]
#[case::all(None, 4)]
#[case::last_second(Some(0.5), 1)]
fn losses_count_back_from_the_last_line(#[case] last: Option<f64>, #[case] lost: u64) {
    let lines = merge([LOST], &Filter::default());
    assert_eq!(Losses::of(&lines, last).lost, lost);
    assert_eq!(Losses::of(&[], last).lost, 0);
}

#[test]
fn losses_command_is_parsed() {
    let args = ["losses", "--log", "x", "--last", "600", "--json"];
    let settings = settings().run_inner(args.as_slice()).unwrap();
    let last = Some(600.0);
    assert_eq!(settings.task, Task::Losses { last, json: true });
    let args = ["losses", "--log", "x", "--last", "-1"];
    let failure = chicoryrail_timeline::settings().run_inner(args.as_slice());
    assert!(failure.unwrap_err().unwrap_stderr().contains("--last"));
}
