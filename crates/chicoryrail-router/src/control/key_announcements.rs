//! What the leader's heartbeats tell of the key assignments.

use std::cell::RefCell;
use std::collections::BTreeMap;

use chicoryrail_core::ServiceName;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::KeyRecord;

use crate::messages::KeyRanges;
use crate::messages::KeyUpdate;

/// Heartbeats after which the leader sends all key ranges again, in case the datagram with them was lost.
const HEARTBEATS_PER_RANGES: u32 = 3;

/// Largest number of key ranges that a heartbeat carries. With more, its receivers poll the leader for the changes: a
/// long datagram is lost with any of its packets, and longer than 64 KiB it can't be sent.
const RANGES_PER_HEARTBEAT_MAX: usize = 500;

/// Last transmission of a service's key ranges.
#[derive(Debug, Default)]
struct SentRanges {
    fence: u64,
    /// Heartbeats since the transmission.
    heartbeats: u32,
}

/// Selects the key ranges that heartbeats carry.
#[derive(Debug, Default)]
pub(super) struct KeyAnnouncements {
    /// Last transmission of each service's key ranges.
    sent: RefCell<BTreeMap<ServiceName, SentRanges>>,
}

impl KeyAnnouncements {
    /// Returns the content of the next heartbeat: of each service the fencing token, the ranges that are not granted
    /// yet, and the key ranges if they are due.
    pub(super) fn next_updates(
        &self,
        known: &BTreeMap<ServiceName, (KeyRecord, Vec<KeyRange>)>,
    ) -> Vec<KeyUpdate> {
        let updates = known.iter().map(|(service, (record, blocked))| KeyUpdate {
            service: service.clone(),
            fence: record.fence,
            ranges: self.ranges_due(service, record),
            blocked: blocked.iter().map(|s| (s.first, s.last)).collect(),
        });
        updates.collect()
    }

    /// Returns a service's ranges if the next heartbeat carries them: on a new fence, and every few heartbeats, unless
    /// there are too many.
    fn ranges_due(&self, service: &ServiceName, record: &KeyRecord) -> Option<KeyRanges> {
        if record.spans.len() > RANGES_PER_HEARTBEAT_MAX {
            return None;
        }
        let mut sent = self.sent.borrow_mut();
        let sent = sent.entry(service.clone()).or_default();
        sent.heartbeats += 1;
        if sent.fence == record.fence && sent.heartbeats < HEARTBEATS_PER_RANGES {
            return None;
        }
        *sent = SentRanges {
            fence: record.fence,
            heartbeats: 0,
        };
        Some(KeyRanges::pack(&record.spans))
    }
}
