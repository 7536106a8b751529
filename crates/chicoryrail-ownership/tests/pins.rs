//! Ranges of keys that an operator keeps with a server.

use chicoryrail_core::Life;
use chicoryrail_ownership::keys::KeyCandidate;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::keys::MoveReason;
use chicoryrail_ownership::keys::OwnedRange;
use chicoryrail_ownership::keys::Pin;
use chicoryrail_ownership::keys::Plan;
use rstest::rstest;

/// Owner and last key of each range, from key 0 on.
type Spans<'a> = &'a [(&'a str, u16)];

const HALVES: Spans<'static> = &[("a", 32_767), ("b", 65_535)];

fn spans(of: Spans<'_>) -> Vec<OwnedRange> {
    let mut first = 0;
    let mut spans = Vec::new();
    for (owner, last) in of {
        let span = KeyRange { first, last: *last };
        spans.push(OwnedRange::new(span, Life::new((*owner).into(), 7)));
        first = last.wrapping_add(1);
    }
    spans
}

fn record(of: Spans<'_>) -> KeyRecord {
    KeyRecord {
        fence: 3,
        spans: spans(of),
        ..KeyRecord::default()
    }
}

fn candidates() -> Vec<KeyCandidate> {
    let names = ["a", "b"];
    let candidates = names.map(|name| KeyCandidate {
        life: Life::new(name.into(), 7),
        weight: 4.0,
    });
    candidates.into()
}

fn pin(first: u16, last: u16, server: &str) -> Pin {
    Pin {
        span: KeyRange { first, last },
        server: server.into(),
    }
}

/// Guards against a pin that takes other keys along, or leaves a part of its range behind.
#[rstest]
#[case::low(pin(0, 99, "b"), &[("b", 99), ("a", 32_767), ("b", 65_535)])]
#[case::inside(pin(100, 199, "b"), &[("a", 99), ("b", 199), ("a", 32_767), ("b", 65_535)])]
#[case::one_key(pin(65_535, 65_535, "a"), &[("a", 32_767), ("b", 65_534), ("a", 65_535)])]
#[case::across(pin(32_000, 33_000, "b"), &[("a", 31_999), ("b", 65_535)])]
#[case::whole(pin(0, 65_535, "a"), &[("a", 65_535)])]
fn a_pin_moves_exactly_its_range(#[case] pin: Pin, #[case] expected: Spans<'_>) {
    let plan = Pin::apply(&[pin], Plan::Keep, &record(HALVES), &candidates());
    assert_eq!(plan, Plan::Change(spans(expected), MoveReason::Pinned));
}

/// Guards against a record that is written again and again: the plan moves pinned keys away, the pin moves them back.
#[rstest]
#[case::kept(Plan::Keep)]
#[case::moved(Plan::Change(spans(&[("a", 9_999), ("b", 20_000), ("a", 32_767), ("b", 65_535)]), MoveReason::Balance))]
fn a_pin_in_force_changes_nothing(#[case] plan: Plan) {
    let pins = [pin(0, 32_767, "a")];
    let plan = Pin::apply(&pins, plan, &record(HALVES), &candidates());
    assert_eq!(plan, Plan::Keep);
}

/// Guards against keys without a server: a pin to a server that may own no keys must leave them to the plan.
#[test]
fn a_pin_to_a_server_that_is_no_candidate_has_no_effect() {
    let pins = [pin(0, 99, "gone")];
    let changed = Plan::Change(spans(&[("b", 65_535)]), MoveReason::Balance);
    for plan in [Plan::Keep, changed] {
        let pinned = Pin::apply(&pins, plan.clone(), &record(HALVES), &candidates());
        assert_eq!(pinned, plan);
    }
}

/// Guards against ranges that overlap in the record if pins do.
#[test]
fn the_last_of_overlapping_pins_counts() {
    let pins = [pin(0, 99, "b"), pin(50, 149, "a")];
    let plan = Pin::apply(&pins, Plan::Keep, &record(HALVES), &candidates());
    let expected = [("b", 49), ("a", 32_767), ("b", 65_535)];
    assert_eq!(plan, Plan::Change(spans(&expected), MoveReason::Pinned));
}
