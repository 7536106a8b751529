//! Which requests are suspected and blocked, by the servers that ended under them.

use chicoryrail_core::Fingerprint;
use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_policy::CrashTable;
use chicoryrail_policy::ProbeLimiter;
use chicoryrail_policy::ProbeRequest;
use chicoryrail_policy::Standing;
use rstest::rstest;

const HEAD: u64 = 7;

/// Number of different requests in a flood: more than a table holds.
const FLOOD: u32 = 5_000;

fn request(number: u32) -> Fingerprint {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&number.to_be_bytes());
    Fingerprint::from(bytes)
}

fn server(number: u64) -> Life {
    Life::new(format!("s-{number}").as_str().into(), number)
}

fn desk() -> ServiceName {
    ServiceName::new("desk")
}

fn record_end(table: &mut CrashTable, number: u32, ended: u64) -> bool {
    let service = desk();
    table.record_end(
        Millis(ended),
        request(number),
        (&service, HEAD),
        &server(ended),
    )
}

/// Merges all that `from` knows into `to`.
fn tell(from: &CrashTable, to: &mut CrashTable) {
    for (request, record) in from.records() {
        to.merge(Millis::ZERO, request, record);
    }
}

/// What happens to a request.
#[derive(Clone, Copy, Debug)]
enum Event {
    End(u64),
    Complete,
    Alive(u64),
}

/// Guards against blocks by fewer than three ends in a row, and against ends that count twice.
#[rstest]
#[case::nothing(&[], Standing::Clear)]
#[case::one(&[Event::End(1)], Standing::Suspect(1))]
#[case::same_server_twice(&[Event::End(1), Event::End(1)], Standing::Suspect(1))]
#[case::three(&[Event::End(1), Event::End(2), Event::End(3)], Standing::Blocked)]
#[case::a_complete_run_between(&[Event::End(1), Event::End(2), Event::Complete, Event::End(3)], Standing::Suspect(1))]
#[case::a_complete_run_afterwards(&[Event::End(1), Event::End(2), Event::End(3), Event::Complete], Standing::Clear)]
#[case::a_server_that_lives(&[Event::End(1), Event::End(2), Event::End(3), Event::Alive(2)], Standing::Suspect(2))]
#[case::found_alive_before(&[Event::Alive(1), Event::End(1)], Standing::Clear)]
fn three_ends_in_a_row_block(#[case] events: &[Event], #[case] expected: Standing) {
    let mut table = CrashTable::default();
    for event in events {
        match event {
            Event::End(number) => {
                record_end(&mut table, 1, *number);
            }
            Event::Complete => {
                table.record_complete(Millis(9), request(1));
            }
            Event::Alive(number) => {
                table.record_alive(Millis(9), &server(*number));
            }
        }
    }
    assert_eq!(table.standing(request(1)), expected);
    assert_eq!(table.has_head(HEAD), expected != Standing::Clear);
}

/// Guards against hosts that were apart and stay of different opinions.
#[rstest]
#[case::ends_add_up(false, Standing::Blocked)]
#[case::a_complete_run_wins(true, Standing::Clear)]
fn hosts_that_meet_again_agree(#[case] completes: bool, #[case] expected: Standing) {
    let (mut a, mut b) = (CrashTable::default(), CrashTable::default());
    record_end(&mut a, 1, 1);
    tell(&a, &mut b);
    record_end(&mut a, 1, 2);
    record_end(&mut b, 1, 3);
    if completes {
        b.record_complete(Millis(5), request(1));
    }
    tell(&a, &mut b);
    tell(&b, &mut a);
    assert_eq!(a.standing(request(1)), expected);
    assert_eq!(b.standing(request(1)), expected);
}

/// Guards against a flood of different requests that fills the memory, or displaces a block.
#[test]
fn a_flood_of_suspects_is_bounded() {
    let mut table = CrashTable::default();
    for ended in 1..=3 {
        record_end(&mut table, 0, ended);
    }
    for number in 1..=FLOOD {
        record_end(&mut table, number, u64::from(number) + 10);
    }
    assert!(table.records().count() <= 1_024);
    assert_eq!(table.standing(request(0)), Standing::Blocked);
    assert_eq!(table.standing(request(FLOOD)), Standing::Suspect(1));
}

/// Guards against evidence that never lapses, and against a block that does.
#[rstest]
#[case::suspect(2, Standing::Clear)]
#[case::blocked(3, Standing::Blocked)]
fn only_evidence_short_of_a_block_lapses(#[case] ends: u64, #[case] expected: Standing) {
    let mut table = CrashTable::default();
    for ended in 1..=ends {
        record_end(&mut table, 1, ended);
    }
    table.expire(Millis(3_600_004));
    assert_eq!(table.standing(request(1)), expected);
    assert_eq!(table.has_evidence(), expected != Standing::Clear);
}

fn begin(board: &mut ProbeLimiter, now: u64, number: u32, ends: usize) -> bool {
    let service = desk();
    let probe = ProbeRequest {
        ticket: number.into(),
        service: &service,
        request: request(number),
        deadline: Millis(now + 100),
    };
    board.begin(Millis(now), Standing::Suspect(ends), probe, 8)
}

/// Guards against a suspect that runs on several servers at a time, or beside another one that ended two.
#[test]
fn probes_are_few_and_a_second_end_makes_them_single() {
    let mut board = ProbeLimiter::default();
    assert!(begin(&mut board, 0, 1, 1));
    assert!(!begin(&mut board, 0, 1, 1), "the same request");
    assert!(begin(&mut board, 0, 2, 1), "two of eight servers");
    assert!(!begin(&mut board, 0, 3, 1), "three of eight servers");
    assert!(!begin(&mut board, 0, 4, 2), "not alone");
    board.end(1);
    board.end(2);
    assert!(begin(&mut board, 0, 4, 2));
    assert!(!begin(&mut board, 0, 1, 1), "beside a single probe");
    assert!(begin(&mut board, 100, 1, 1), "after its deadline");
}

/// Guards against updates that carry the whole table for each change of one record.
#[test]
fn an_update_has_the_changed_records_alone() {
    let mut table = CrashTable::default();
    for number in 1..=20 {
        record_end(&mut table, number, u64::from(number));
    }
    let seen = table.version();
    assert_eq!(table.records_since(0).count(), 20);
    assert_eq!(table.records_since(seen).count(), 0);
    record_end(&mut table, 7, 99);
    let changed: Vec<_> = table
        .records_since(seen)
        .map(|(request, _)| request)
        .collect();
    assert_eq!(changed, [request(7)]);
}

/// Guards against a table that fills with requests of which nothing is suspected any more.
#[test]
fn a_record_without_evidence_is_dropped_soon() {
    let mut table = CrashTable::default();
    record_end(&mut table, 1, 1);
    table.record_complete(Millis(2), request(1));
    table.expire(Millis(60_002));
    assert_eq!(table.records().count(), 1);
    table.expire(Millis(60_003));
    assert_eq!(table.records().count(), 0);
}

/// Guards against two hosts that heard of two ends in different orders, and tell each other for ever.
#[rstest]
#[case::another_order(&[2, 1], false)]
#[case::one_less(&[2], true)]
fn records_differ_by_content_alone(#[case] ends: &[u64], #[case] expected: bool) {
    let (mut a, mut b) = (CrashTable::default(), CrashTable::default());
    record_end(&mut a, 1, 1);
    record_end(&mut a, 1, 2);
    for ended in ends {
        record_end(&mut b, 1, *ended);
    }
    let (a, b) = (a.record(request(1)).unwrap(), b.record(request(1)).unwrap());
    assert_eq!(b.lacks(a), expected);
    assert!(!a.lacks(b));
}
