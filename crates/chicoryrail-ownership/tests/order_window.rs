//! The window of order ids: one claim for each.

use chicoryrail_core::Millis;
use chicoryrail_ownership::Claim;
use chicoryrail_ownership::OrderWindow;
use chicoryrail_ownership::Outcome;
use rstest::rstest;

const LENGTH: Millis = Millis(1_000);

fn window() -> OrderWindow<u8> {
    let mut window = OrderWindow::new(LENGTH, 2);
    assert_eq!(window.claim(Millis(0), "a", 1, 10), Claim::Send);
    window
}

#[rstest]
#[case::lost_reply(1, 10, Claim::Send)]
#[case::duplicate(1, 11, Claim::Running)]
#[case::another_order(2, 11, Claim::Reused)]
fn an_open_claim_is_given_once(#[case] print: u64, #[case] token: u64, #[case] out: Claim<u8>) {
    assert_eq!(window().claim(Millis(1), "a", print, token), out);
}

#[rstest]
#[case::done(Outcome::Done(7), Claim::Closed(Outcome::Done(7)))]
#[case::unknown(Outcome::Unknown, Claim::Closed(Outcome::Unknown))]
#[case::not_run(Outcome::NotRun, Claim::Send)]
fn a_duplicate_gets_the_outcome(#[case] outcome: Outcome<u8>, #[case] expected: Claim<u8>) {
    let mut window = window();
    let closed = window.close("a", 10, outcome);
    assert_eq!(
        (closed, window.claim(Millis(1), "a", 1, 11)),
        (true, expected)
    );
}

#[test]
fn a_late_report_does_not_change_an_outcome() {
    let mut window = window();
    window.close("a", 10, Outcome::Done(7));
    let late = window.close("a", 10, Outcome::NotRun);
    let other = window.close("a", 99, Outcome::Unknown);
    let known = window.lookup(Millis(1), "a");
    assert_eq!(
        (late, other, known),
        (false, false, Some(Some(Outcome::Done(7))))
    );
}

#[test]
fn a_full_window_refuses_and_forgets_nothing_early() {
    let mut window = window();
    window.close("a", 10, Outcome::Done(7));
    assert_eq!(window.claim(Millis(1), "b", 1, 20), Claim::Send);
    assert_eq!(window.claim(Millis(2), "c", 1, 30), Claim::Full);
    assert_eq!(window.claim(Millis(1_001), "c", 1, 30), Claim::Send);
}

/// The caller of an id that may have been sent before learns `unknown`, never a second run. The
/// holder took over without the copy, so for the length of the window every unknown id may be one.
#[rstest]
#[case::within(500, Claim::Closed(Outcome::Unknown))]
#[case::after(1_100, Claim::Send)]
fn a_blind_window_sends_nothing(#[case] at: u64, #[case] expected: Claim<u8>) {
    let mut window = OrderWindow::<u8>::new(LENGTH, 2).blind_since(Millis(100));
    assert_eq!(window.claim(Millis(at), "a", 1, 10), expected);
}

#[test]
fn a_copy_gives_the_same_answers() {
    let mut window = window();
    window.claim(Millis(1), "b", 1, 20);
    window.close("b", 20, Outcome::Done(7));
    let mut copy = OrderWindow::<u8>::new(LENGTH, 2);
    for (order, print, token, outcome) in window.entries() {
        copy.copied(Millis(2), order, print, token, outcome.cloned());
    }
    let answers =
        |w: &mut OrderWindow<u8>| ["a", "b"].map(|order| w.claim(Millis(3), order, 1, 99));
    assert_eq!(answers(&mut copy), answers(&mut window));
}

/// The caller's order runs twice where this fails. A holder took over without the claims; its deputy
/// copies its window and takes over in turn. An id from before both was never copied, so the second
/// window must answer `unknown` for as long as the first one would have.
#[test]
fn a_copy_of_a_blind_window_is_blind_for_as_long() {
    let first: OrderWindow<u8> = OrderWindow::new(LENGTH, 2).blind_since(Millis(100));
    let mut copy: OrderWindow<u8> = OrderWindow::new(LENGTH, 2);
    copy.blind_for(Millis(400), first.blind_left(Millis(400)));
    let claims = [1_099, 1_100].map(|now| copy.claim(Millis(now), "a", 1, 10));
    assert_eq!(claims, [Claim::Closed(Outcome::Unknown), Claim::Send]);
}
