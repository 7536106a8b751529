//! Bytes held for others, and the window of a stream.

use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use chicoryrail_runtime::ByteBudget;
use chicoryrail_runtime::SendWindow;

/// Guards against bytes that are never given back, which would end in a host that refuses every upload.
#[test]
fn bytes_are_given_back_on_drop() {
    let budget = ByteBudget::new(100);
    let mut held = budget.take(60);
    assert!(budget.try_take(41).is_none());
    let rest = budget.try_take(40).unwrap();
    assert_eq!((budget.held(), budget.free()), (100, 0));
    held.grow(30);
    let sibling = held.sibling(5);
    assert_eq!((budget.held(), budget.free()), (135, 0));
    drop((held, sibling));
    assert_eq!(budget.held(), 40);
    drop(rest);
    assert_eq!((budget.held(), budget.free()), (0, 100));
}

/// Guards against a response that counts as gone while a clone of it still waits for a slow reader.
#[test]
fn attached_bytes_are_held_until_the_last_clone_is_dropped() {
    let budget = ByteBudget::new(100);
    let data = budget.take(5).attach(Bytes::from_static(b"hello"));
    let part = data.slice(1..3);
    drop(data);
    assert_eq!((&part[..], budget.held()), (&b"el"[..], 5));
    drop(part);
    assert_eq!(budget.held(), 0);
}

/// Guards against a limit that a reload of the settings lowers below what is held.
#[test]
fn lower_limit_leaves_nothing_free() {
    let budget = ByteBudget::new(100);
    let held = budget.take(60);
    budget.set_limit(50);
    assert_eq!(budget.free(), 0);
    drop(held);
    assert_eq!(budget.free(), 50);
}

/// Guards against a stream that is read on while its receiver takes nothing, and against one that stays closed after its
/// receiver has taken a chunk.
#[test]
fn window_closes_at_its_limit_and_opens_again() {
    let window = SendWindow::new(4);
    let mut cx = Context::from_waker(Waker::noop());
    let first = window.send(Bytes::from_static(b"abc"));
    assert_eq!(window.poll_open(&mut cx), Poll::Ready(()));
    let second = window.send(Bytes::from_static(b"de"));
    assert_eq!(window.poll_open(&mut cx), Poll::Pending);
    drop(first);
    assert_eq!(window.poll_open(&mut cx), Poll::Ready(()));
    assert_eq!(window.in_flight(), 2);
    drop(second);
    assert_eq!((window.in_flight(), window.peak()), (0, 5));
}
