//! Where requests go that find no slot in their own data centre.

use chicoryrail_core::DcName;
use chicoryrail_core::Millis;
use chicoryrail_policy::PartRooms;

const NOW: Millis = Millis(1_000);

fn dc(name: &str) -> DcName {
    DcName::new(name)
}

/// Twelve requests come at once to a data centre that is full. They go to the others, more to the one with more
/// room, and no more than half of what each has: hosts elsewhere may send theirs there at the same moment.
#[test]
fn a_burst_is_spread_over_the_other_data_centres() {
    let mut rooms = PartRooms::default();
    rooms.heard(NOW, &dc("west"), 0);
    rooms.heard(NOW, &dc("east"), 12);
    rooms.heard(NOW, &dc("north"), 4);
    let taken: Vec<_> = (0..12)
        .filter_map(|_| rooms.take(NOW, &dc("west")))
        .collect();
    let count = |name: &str| taken.iter().filter(|d| **d == dc(name)).count();
    assert_eq!((count("east"), count("north"), count("west")), (6, 2, 0));
}

/// All data centres are full, or the only one with room is the caller's own: the request waits where it is.
#[test]
fn nothing_goes_where_there_is_no_room() {
    let mut rooms = PartRooms::default();
    assert_eq!(rooms.take(NOW, &dc("west")), None);
    rooms.heard(NOW, &dc("west"), 9);
    rooms.heard(NOW, &dc("east"), 0);
    assert_eq!(rooms.take(NOW, &dc("west")), None);
}

/// A data centre is cut off: nothing more is heard of it, and within half a second nothing more is sent after it.
#[test]
fn a_data_centre_that_went_silent_gets_nothing() {
    let mut rooms = PartRooms::default();
    rooms.heard(NOW, &dc("east"), 40);
    assert_eq!(rooms.take(Millis(1_400), &dc("west")), Some(dc("east")));
    assert_eq!(rooms.take(Millis(1_500), &dc("west")), None);
}
