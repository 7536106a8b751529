//! The one order, the filters, and the lines.

use chicoryrail_core::KeyHash;
use chicoryrail_core::Slice;
use chicoryrail_runtime::Event;
use chicoryrail_runtime::EventKind;
use chicoryrail_runtime::Stamp;
use chicoryrail_timeline::Filter;
use chicoryrail_timeline::Line;
use chicoryrail_timeline::Merge;
use chicoryrail_timeline::date;
use proptest::collection::vec;
use proptest::proptest;
use proptest::test_runner::Config;
use rstest::rstest;

fn event(host: &str, program: &str, seq: u64, wall: u64, count: u32) -> Event {
    Event {
        stamp: Stamp { wall, count },
        seq,
        host: host.into(),
        program: program.to_owned(),
        kind: EventKind::Granted,
        subject: "kits-1".to_owned(),
        detail: String::new(),
    }
}

fn about(subject: &str, detail: &str) -> Event {
    Event {
        subject: subject.to_owned(),
        detail: detail.to_owned(),
        ..event("entry-1", "chicoryrail-gate", 0, 1_000, 0)
    }
}

#[test]
fn events_come_by_stamp_then_host_program_and_number() {
    let expected = [
        event("b", "gate", 7, 10, 0),
        event("a", "gate", 3, 10, 1),
        event("b", "controller", 9, 10, 1),
        event("b", "gate", 8, 10, 1),
        event("a", "admin", 0, 11, 0),
    ];
    let mut merge = Merge::default();
    merge.add(expected.iter().rev().cloned());
    assert_eq!(merge.take_all(), expected.map(Line::Event));
}

#[test]
fn what_is_newer_than_the_bound_waits() {
    let mut merge = Merge::default();
    merge.add([event("a", "gate", 0, 10, 0), event("a", "gate", 1, 20, 5)]);
    let first = merge.take_until(19);
    let second = merge.take_until(20);
    assert_eq!(first, [Line::Event(event("a", "gate", 0, 10, 0))]);
    assert_eq!(second, [Line::Event(event("a", "gate", 1, 20, 5))]);
}

/// One process answers late. Its event belongs before one that was printed already; the reader sees
/// it marked, so that the order on the screen is not taken for the order of events.
#[test]
fn what_comes_after_later_events_is_marked() {
    let mut merge = Merge::default();
    merge.add([event("a", "gate", 0, 20, 0)]);
    merge.take_until(20);
    merge.add([event("b", "gate", 0, 10, 0), event("b", "gate", 1, 30, 0)]);
    let expected = [
        Line::Late(event("b", "gate", 0, 10, 0)),
        Line::Event(event("b", "gate", 1, 30, 0)),
    ];
    assert_eq!(merge.take_all(), expected);
}

proptest! {
    #![proptest_config(Config { cases: 200, failure_persistence: None, ..Config::default() })]

    #[test]
    fn any_split_into_rounds_prints_each_event_once(
        stamps in vec((0..4_u64, 0..30_u64, 0..3_u32), 0..40),
        cut in 0..40_usize,
        bound in 0..30_u64,
    ) {
        let names = ["a", "b", "c", "d"];
        let events: Vec<Event> = stamps
            .iter()
            .enumerate()
            .map(|(i, (h, wall, count))| event(names[*h as usize], "gate", i as u64, *wall, *count))
            .collect();
        let cut = cut.min(events.len());
        let mut merge = Merge::default();
        merge.add(events[..cut].iter().cloned());
        let mut lines = merge.take_until(bound);
        merge.add(events[cut..].iter().cloned());
        lines.extend(merge.take_all());
        let mut printed = Vec::new();
        let mut last = None;
        for line in lines {
            match line {
                Line::Event(e) => {
                    let place = (e.stamp, e.host.to_string(), e.program.clone(), e.seq);
                    assert!(last < Some(place.clone()));
                    last = Some(place);
                    printed.push(e);
                }
                Line::Late(e) => printed.push(e),
                other => panic!("{other}"),
            }
        }
        printed.sort_by_key(|e| e.seq);
        assert_eq!(printed, events);
    }
}

fn slice_of(key: &str) -> String {
    let half = Slice::FULL.part(u32::from(KeyHash::of(key).0 >> 63 == 1), 2);
    half.to_string()
}

#[rstest]
#[case::nothing(Filter::default(), about("x", ""), true)]
#[case::server(Filter { server: Some("kits-1".into()), ..Filter::default() }, about("kits-1", ""), true)]
#[case::server_in_detail(
    Filter { server: Some("kits-1".into()), ..Filter::default() },
    about("0-f", "from=kits-2 to=kits-1"),
    true
)]
#[case::part_of_a_name(
    Filter { server: Some("kits-1".into()), ..Filter::default() },
    about("kits-11", "server=kits-12"),
    false
)]
#[case::request(
    Filter { request: Some("r-7".into()), ..Filter::default() },
    about("kits-1", "request=r-7 code=1200"),
    true
)]
#[case::wrong_field(
    Filter { request: Some("r-7".into()), ..Filter::default() },
    about("kits-1", "server=r-7"),
    false
)]
#[case::data_centre(Filter { dc: Some("a".into()), ..Filter::default() }, about("x", "dc=a"), true)]
#[case::epoch(Filter { epoch: Some(4), ..Filter::default() }, about("x", "epoch=4"), true)]
#[case::epoch_of_a_fence(Filter { epoch: Some(4), ..Filter::default() }, about("x", "fence=4.17"), true)]
#[case::other_epoch(Filter { epoch: Some(4), ..Filter::default() }, about("x", "fence=17.4"), false)]
#[case::kind(
    Filter { kind: Some(EventKind::Released), ..Filter::default() },
    about("x", ""),
    false
)]
#[case::host(Filter { host: Some("entry-2".into()), ..Filter::default() }, about("x", ""), false)]
#[case::since(Filter { since: Some(1_000), ..Filter::default() }, about("x", ""), true)]
#[case::before(Filter { since: Some(1_001), ..Filter::default() }, about("x", ""), false)]
#[case::both_must_hold(
    Filter { server: Some("kits-1".into()), dc: Some("b".into()), ..Filter::default() },
    about("kits-1", "dc=a"),
    false
)]
#[case::key(Filter { key: Some("k".into()), ..Filter::default() }, about("k", ""), true)]
#[case::slice_of_the_key(
    Filter { key: Some("k".into()), ..Filter::default() },
    about("kits-1", &format!("slices={},0000000000000000-0000000000000001", slice_of("k"))),
    true
)]
#[case::other_slice(
    Filter { key: Some("k".into()), ..Filter::default() },
    about("kits-1", "slice=0000000000000000-0000000000000001"),
    false
)]
fn a_filter_takes(#[case] filter: Filter, #[case] event: Event, #[case] expected: bool) {
    assert_eq!(filter.takes(&event), expected);
}

#[rstest]
#[case(0, "1970-01-01T00:00:00.000Z")]
#[case(951_782_399_999, "2000-02-28T23:59:59.999Z")]
#[case(951_782_400_000, "2000-02-29T00:00:00.000Z")]
#[case(1_796_253_144_357, "2026-12-02T23:12:24.357Z")]
#[case(4_107_542_400_000, "2100-03-01T00:00:00.000Z")]
fn a_date_is_written_in_utc(#[case] wall: u64, #[case] expected: &str) {
    assert_eq!(date(wall), expected);
}

#[test]
fn lines_read_well_as_text_and_json() {
    let event = Event {
        detail: "fence=1.2".to_owned(),
        ..event("entry-1", "chicoryrail-controller", 5, 1_796_253_144_357, 1)
    };
    let line = Line::Event(event);
    let text =
        "2026-12-02T23:12:24.357Z+1   entry-1      controller granted         kits-1 fence=1.2";
    assert_eq!(line.to_string(), text);
    let json = line.json();
    assert_eq!(serde_json::from_str::<Line>(&json).unwrap(), line);
    assert!(json.starts_with(r#"{"type":"event","stamp":{"#), "{json}");
}
