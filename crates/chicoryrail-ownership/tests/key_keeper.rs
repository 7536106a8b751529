//! The order in which a leader renews, releases and grants.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_ownership::keys::Duty;
use chicoryrail_ownership::keys::GrantEnd;
use chicoryrail_ownership::keys::Keeper;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::keys::KeySpan;
use chicoryrail_ownership::keys::KeyTiming;
use chicoryrail_ownership::keys::OwnedSpan;
use chicoryrail_ownership::keys::ReleaseEnd;

fn life(name: &str) -> Life {
    Life::new(ServerName::new(name), 1)
}

fn span(first: u16, last: u16) -> KeySpan {
    KeySpan { first, last }
}

/// Returns a keeper in which `a` holds all keys and half of them are about to go to `b`.
fn half_to_b() -> Keeper {
    let mut keeper = Keeper::take_over(
        KeyRecord::default(),
        KeyTiming::default(),
        Millis(0),
        1,
        false,
    );
    keeper.committed(Millis(0));
    for name in ["a", "b"] {
        keeper.server_at(Millis(0), &life(name), ([127, 0, 0, 1], 80).into());
    }
    keeper.change(vec![OwnedSpan::new(KeySpan::ALL, life("a"))], 2);
    keeper.committed(Millis(0));
    held(&mut keeper, Millis(1), "a", KeySpan::ALL);
    let spans = vec![
        OwnedSpan::new(span(0, 29_999), life("a")),
        OwnedSpan::new(span(30_000, 65_535), life("b")),
    ];
    keeper.change(spans, 3);
    keeper.committed(Millis(10));
    keeper
}

fn held(keeper: &mut Keeper, now: Millis, name: &str, span: KeySpan) {
    let fence = keeper.record().fence;
    keeper.granting(now, &life(name));
    keeper.granted(now, &life(name), span, fence, GrantEnd::Held);
}

fn grants(duties: &[Duty], name: &str) -> Vec<KeySpan> {
    let of = |d: &Duty| match d {
        Duty::Grant { life: l, span, .. } if *l == life(name) => Some(*span),
        _ => None,
    };
    duties.iter().filter_map(of).collect()
}

fn releases(duties: &[Duty]) -> Vec<KeySpan> {
    let of = |d: &Duty| match d {
        Duty::Release { span, .. } => Some(*span),
        _ => None,
    };
    duties.iter().filter_map(of).collect()
}

/// What a server keeps is renewed under the new fence first; then the rest is released; only then does the
/// other server get it, with the token.
#[test]
fn a_move_renews_then_releases_then_grants() {
    let mut keeper = half_to_b();
    let first = keeper.due(Millis(10));
    assert_eq!(grants(&first, "a"), [span(0, 29_999)]);
    assert!(grants(&first, "b").is_empty() && releases(&first).is_empty());
    held(&mut keeper, Millis(20), "a", span(0, 29_999));
    let second = keeper.due(Millis(20));
    assert_eq!(releases(&second), [span(30_000, 65_535)]);
    assert!(grants(&second, "b").is_empty());
    keeper.releasing(&life("a"));
    let free = ReleaseEnd::Free(Some("token".to_owned()));
    keeper.released(Millis(30), &life("a"), span(30_000, 65_535), free);
    let third = keeper.due(Millis(30));
    assert_eq!(grants(&third, "b"), [span(30_000, 65_535)]);
    let token = third.iter().any(|d| {
        matches!(
            d,
            Duty::Grant {
                handover: Some(_),
                ..
            }
        )
    });
    assert!(token);
}

/// A release has no answer in time, since long work is running on the keys. What the server keeps must not
/// run out meanwhile: it is renewed as soon as the release was given up.
#[test]
fn a_release_without_an_answer_does_not_delay_renewals() {
    let mut keeper = half_to_b();
    held(&mut keeper, Millis(20), "a", span(0, 29_999));
    assert_eq!(releases(&keeper.due(Millis(20))).len(), 1);
    keeper.releasing(&life("a"));
    assert!(grants(&keeper.due(Millis(900)), "a").is_empty());
    keeper.released(
        Millis(1_020),
        &life("a"),
        span(30_000, 65_535),
        ReleaseEnd::Silent,
    );
    assert_eq!(grants(&keeper.due(Millis(1_020)), "a"), [span(0, 29_999)]);
}

/// The former holder can't be reached. Its keys go to the other server when its hold has surely run out, and
/// not before.
#[test]
fn an_unreachable_holder_is_waited_out() {
    let mut keeper = half_to_b();
    held(&mut keeper, Millis(20), "a", span(0, 29_999));
    for now in (30..2_570).step_by(100) {
        keeper.releasing(&life("a"));
        keeper.released(
            Millis(now),
            &life("a"),
            span(30_000, 65_535),
            ReleaseEnd::Silent,
        );
        assert!(grants(&keeper.due(Millis(now)), "b").is_empty(), "at {now}");
    }
    assert_eq!(
        grants(&keeper.due(Millis(2_600)), "b"),
        [span(30_000, 65_535)]
    );
}
