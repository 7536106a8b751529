//! The order in which a leader renews, releases and grants.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_ownership::keys::GrantEnd;
use chicoryrail_ownership::keys::KeyAction;
use chicoryrail_ownership::keys::KeyLeases;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::keys::KeyTiming;
use chicoryrail_ownership::keys::OwnedRange;
use chicoryrail_ownership::keys::ReleaseEnd;

fn life(name: &str) -> Life {
    Life::new(ServerName::new(name), 1)
}

fn span(first: u16, last: u16) -> KeyRange {
    KeyRange { first, last }
}

/// Returns a leases in which `a` holds all keys and half of them are about to go to `b`.
fn half_to_b() -> KeyLeases {
    let mut leases = KeyLeases::take_over(
        KeyRecord::default(),
        KeyTiming::default(),
        Millis(0),
        1,
        false,
    );
    leases.committed(Millis(0));
    for name in ["a", "b"] {
        leases.server_at(Millis(0), &life(name), ([127, 0, 0, 1], 80).into());
    }
    leases.change(vec![OwnedRange::new(KeyRange::ALL, life("a"))], 2);
    leases.committed(Millis(0));
    held(&mut leases, Millis(1), "a", KeyRange::ALL);
    let spans = vec![
        OwnedRange::new(span(0, 29_999), life("a")),
        OwnedRange::new(span(30_000, 65_535), life("b")),
    ];
    leases.change(spans, 3);
    leases.committed(Millis(10));
    leases
}

fn held(leases: &mut KeyLeases, now: Millis, name: &str, span: KeyRange) {
    let fence = leases.record().fence;
    leases.granting(now, &life(name), span);
    leases.granted(now, &life(name), span, fence, GrantEnd::Held);
}

fn grants(duties: &[KeyAction], name: &str) -> Vec<KeyRange> {
    let of = |d: &KeyAction| match d {
        KeyAction::Grant { life: l, span, .. } if *l == life(name) => Some(*span),
        _ => None,
    };
    duties.iter().filter_map(of).collect()
}

fn releases(duties: &[KeyAction]) -> Vec<KeyRange> {
    let of = |d: &KeyAction| match d {
        KeyAction::Release { span, .. } => Some(*span),
        _ => None,
    };
    duties.iter().filter_map(of).collect()
}

/// What is to move is released, what its holder keeps goes on being held; only when the release was answered does the
/// other server get its part, with the token.
#[test]
fn a_move_releases_then_grants() {
    let mut leases = half_to_b();
    let first = leases.due(Millis(10));
    assert_eq!(releases(&first), [span(30_000, 65_535)]);
    assert!(grants(&first, "b").is_empty());
    assert_eq!(leases.blocked(), [span(30_000, 65_535)]);
    leases.releasing(&life("a"), span(30_000, 65_535));
    let second = leases.due(Millis(20));
    assert!(grants(&second, "b").is_empty() && releases(&second).is_empty());
    let free = ReleaseEnd::Free(Some("token".to_owned()));
    leases.released(Millis(30), &life("a"), span(30_000, 65_535), free);
    let third = leases.due(Millis(30));
    assert_eq!(grants(&third, "b"), [span(30_000, 65_535)]);
    let token = third.iter().any(|d| {
        matches!(
            d,
            KeyAction::Grant {
                handover: Some(_),
                ..
            }
        )
    });
    assert!(token);
}

/// A release has no answer yet, since long work is running on the keys. What the server keeps must not run out
/// meanwhile: it is renewed in its time beside the release.
#[test]
fn a_release_under_way_does_not_delay_renewals() {
    let mut leases = half_to_b();
    assert_eq!(releases(&leases.due(Millis(10))).len(), 1);
    leases.releasing(&life("a"), span(30_000, 65_535));
    assert!(grants(&leases.due(Millis(500)), "a").is_empty());
    assert_eq!(grants(&leases.due(Millis(610)), "a"), [span(0, 29_999)]);
    held(&mut leases, Millis(620), "a", span(0, 29_999));
    assert!(releases(&leases.due(Millis(620))).is_empty());
}

/// A renewal of all that a server holds is under way when half of it is to move. The release waits for the renewal's
/// end: on a connection of its own it could overtake it, and the server would take the keys back.
#[test]
fn no_release_overtakes_a_renewal() {
    let mut leases = half_to_b();
    leases.granting(Millis(10), &life("a"), KeyRange::ALL);
    assert!(releases(&leases.due(Millis(10))).is_empty());
    let fence = leases.record().fence - 1;
    leases.granted(Millis(20), &life("a"), KeyRange::ALL, fence, GrantEnd::Held);
    assert_eq!(releases(&leases.due(Millis(20))).len(), 1);
}

/// Keys are on their way from `a` to `b` when they are planned to stay with `a` after all. They are not granted to `a`
/// again before the release is answered: it could arrive after the grant, and take them away.
#[test]
fn no_grant_overtakes_a_release() {
    let mut leases = half_to_b();
    leases.releasing(&life("a"), span(30_000, 65_535));
    leases.change(vec![OwnedRange::new(KeyRange::ALL, life("a"))], 4);
    leases.committed(Millis(20));
    assert!(grants(&leases.due(Millis(20)), "a").is_empty());
    let free = ReleaseEnd::Free(None);
    leases.released(Millis(30), &life("a"), span(30_000, 65_535), free);
    assert_eq!(grants(&leases.due(Millis(30)), "a"), [span(30_000, 65_535)]);
}

/// A server holds two ranges far apart. Both are renewed, one call after the other; a part of one moves, and the rest
/// of it and the other range stay.
#[test]
fn a_server_keeps_its_other_ranges() {
    let mut leases = half_to_b();
    let spans = |cut| {
        vec![
            OwnedRange::new(span(0, 9_999), life("a")),
            OwnedRange::new(span(10_000, 39_999), life("b")),
            OwnedRange::new(span(40_000, cut), life("a")),
            OwnedRange::new(span(cut + 1, 65_535), life("b")),
        ]
    };
    leases.change(spans(49_999), 4);
    leases.committed(Millis(20));
    // What stays with `a` is held on; what it is to get is still loose with nobody but itself.
    let named = leases.record().spans.iter().any(|s| s.owner == life("a"));
    assert!(named);
    held(&mut leases, Millis(30), "a", span(0, 9_999));
    held(&mut leases, Millis(31), "a", span(40_000, 49_999));
    let due = leases.due(Millis(640));
    assert_eq!(grants(&due, "a"), [span(0, 9_999)]);
    held(&mut leases, Millis(641), "a", span(0, 9_999));
    assert_eq!(
        grants(&leases.due(Millis(641)), "a"),
        [span(40_000, 49_999)]
    );
    held(&mut leases, Millis(642), "a", span(40_000, 49_999));
    leases.change(spans(44_999), 5);
    leases.committed(Millis(650));
    let blocked = leases.blocked();
    assert!(blocked.iter().all(|s| !s.has(44_999) && !s.has(5_000)));
    assert!(blocked.iter().any(|s| s.has(45_000)));
}

/// The former holder can't be reached. Its keys go to the other server when its hold has surely run out, and
/// not before.
#[test]
fn an_unreachable_holder_is_waited_out() {
    let mut leases = half_to_b();
    for now in (30..2_530).step_by(100) {
        leases.releasing(&life("a"), span(30_000, 65_535));
        leases.released(
            Millis(now),
            &life("a"),
            span(30_000, 65_535),
            ReleaseEnd::Silent,
        );
        assert!(grants(&leases.due(Millis(now)), "b").is_empty(), "at {now}");
    }
    assert_eq!(
        grants(&leases.due(Millis(2_600)), "b"),
        [span(30_000, 65_535)]
    );
}

/// Keys went from `a` to `b`, and `a` was waited out. All hosts lose power before anything else changes. The record had
/// been written without `a`'s old keys, so the next leader, which knows nothing but the record, grants them at once
/// to `b` and does not wait for `a` once more.
#[test]
fn a_tidy_record_names_nobody_to_wait_for() {
    let mut leases = half_to_b();
    leases.releasing(&life("a"), span(30_000, 65_535));
    let free = ReleaseEnd::Free(None);
    leases.released(Millis(30), &life("a"), span(30_000, 65_535), free);
    assert!(leases.is_untidy());
    let spans = leases.record().spans.clone();
    leases.change(spans, 5);
    leases.committed(Millis(40));
    assert!(!leases.is_untidy());
    let record = leases.record().clone();
    let mut next = KeyLeases::take_over(record, KeyTiming::default(), Millis(0), 6, true);
    for name in ["a", "b"] {
        next.server_at(Millis(0), &life(name), ([127, 0, 0, 1], 80).into());
    }
    next.committed(Millis(0));
    assert_eq!(grants(&next.due(Millis(1)), "b"), [span(30_000, 65_535)]);
}
