//! Choice of another data centre for requests without a free slot in their own.

use chicoryrail_core::DcName;
use chicoryrail_core::Millis;
use chicoryrail_policy::RemoteFreeSlots;

const NOW: Millis = Millis(1_000);

fn dc(name: &str) -> DcName {
    DcName::new(name)
}

/// Guards against overloading one data centre: twelve requests arrive at once in a full one. They are distributed over
/// the others by their free slots, and use at most half of the free slots of each, as other hosts may use them too.
#[test]
fn a_burst_is_spread_over_the_other_data_centres() {
    let mut free_slots = RemoteFreeSlots::default();
    free_slots.update(NOW, &dc("west"), 0);
    free_slots.update(NOW, &dc("east"), 12);
    free_slots.update(NOW, &dc("north"), 4);
    let taken: Vec<_> = (0..12)
        .filter_map(|_| free_slots.take_slot(NOW, &dc("west")))
        .collect();
    let count = |name: &str| taken.iter().filter(|d| **d == dc(name)).count();
    assert_eq!((count("east"), count("north"), count("west")), (6, 2, 0));
}

/// Guards against sending to a full data centre: nothing is known of any other, or only the request's own has free
/// slots. The request waits there.
#[test]
fn no_slot_is_taken_from_full_data_centres() {
    let mut free_slots = RemoteFreeSlots::default();
    assert_eq!(free_slots.take_slot(NOW, &dc("west")), None);
    free_slots.update(NOW, &dc("west"), 9);
    free_slots.update(NOW, &dc("east"), 0);
    assert_eq!(free_slots.take_slot(NOW, &dc("west")), None);
}

/// Guards against sending to an isolated data centre: half a second after its last report it gets nothing more.
#[test]
fn a_silent_data_centre_gets_nothing() {
    let mut free_slots = RemoteFreeSlots::default();
    free_slots.update(NOW, &dc("east"), 40);
    assert_eq!(
        free_slots.take_slot(Millis(1_400), &dc("west")),
        Some(dc("east"))
    );
    assert_eq!(free_slots.take_slot(Millis(1_500), &dc("west")), None);
}
