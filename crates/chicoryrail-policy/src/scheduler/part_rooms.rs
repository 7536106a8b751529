//! How many slots of a service are free in each data centre.

use std::collections::BTreeMap;

use chicoryrail_core::DcName;
use chicoryrail_core::Millis;

/// Age up to which a number of free slots is believed: three of the messages that tell it.
const FREE_SLOTS_AGE_MAX: Millis = Millis(450);

/// Part of another data centre's free slots that is used until they are told anew: all others may do the same.
const FREE_SLOTS_DIVISOR: u32 = 2;

/// Free slots of a service in the data centres that other hosts schedule, as told a moment ago.
///
/// Load: callers who are not spread over the data centres as the servers are, or a data centre whose servers are
/// lost or cold. Harm prevented: requests wait or are refused in one beside free slots in another. A data centre that
/// is not heard of gets nothing, so nothing is sent after one that is cut off.
#[derive(Clone, Debug, Default)]
pub struct PartRooms {
    rooms: BTreeMap<DcName, Room>,
}

#[derive(Clone, Copy, Debug)]
struct Room {
    free: u32,
    heard: Millis,
}

impl PartRooms {
    /// Takes in how many slots are free in a data centre.
    pub fn heard(&mut self, now: Millis, dc: &DcName, free: u32) {
        let room = Room {
            free: free.div_ceil(FREE_SLOTS_DIVISOR),
            heard: now,
        };
        self.rooms.insert(dc.clone(), room);
    }

    /// Takes a free slot of another data centre than `own`: of the one with most of them.
    pub fn take(&mut self, now: Millis, own: &DcName) -> Option<DcName> {
        let others = self.rooms.iter_mut().filter(|(dc, _)| *dc != own);
        let fresh = others.filter(|(_, room)| now.since(room.heard) <= FREE_SLOTS_AGE_MAX);
        let (dc, room) = fresh.max_by_key(|(_, room)| room.free)?;
        room.free = room.free.checked_sub(1)?;
        Some(dc.clone())
    }
}
