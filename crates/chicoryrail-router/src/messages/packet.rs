//! Datagrams between hosts.

use std::collections::BTreeSet;

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use chicoryrail_core::Life;
use chicoryrail_core::OrganisationName;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::keys::OwnedRange;
use chicoryrail_policy::AdvertisedRate;

use crate::messages::CrashNews;
use crate::messages::HeldReport;
use crate::messages::PartName;
use crate::messages::PartRoom;
use crate::messages::QuotaGrants;
use crate::messages::QuotaReports;
use crate::messages::TermAnswer;
use crate::messages::TermQuery;
use crate::messages::TrafficReport;

/// A datagram between hosts.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) enum Packet {
    /// State of a core host, sent to the other core hosts at intervals and with each key update.
    Heartbeat(Heartbeat),
    /// Slowness of the servers that a host schedules, for the leader.
    Paces(Vec<ServerPace>),
    /// Keys of recent requests, for the leader.
    KeyDemand(Vec<KeyDemand>),
    /// Queries a scheduler for a slot at a server.
    SlotQuery(SlotQuery),
    /// Decision of a scheduler on a slot query.
    SlotReply { ticket: u64, reply: SlotReply },
    /// Reports to the scheduler that a request at a server has ended.
    SlotEnd(SlotEnd),
    /// Withdraws a slot query, because the caller has disconnected.
    Leave { part: PartName, ticket: u64 },
    /// Free slots of the parts that a host schedules.
    Rooms(Vec<PartRoom>),
    /// Use of organisations' rate limits by a scheduler, for the leader.
    QuotaReports(QuotaReports),
    /// Quota tokens of organisations, granted by the leader.
    QuotaGrants(QuotaGrants),
    /// What a host knows of requests under which servers ended.
    Crashes(CrashNews),
    /// Traffic of a service that an operator watches, for the leader.
    Traffic(TrafficReport),
    /// Requests that a host has at a server, for the server's new scheduler.
    HeldRequests(HeldReport),
    /// Limit on the bytes of request bodies at each server of a service, for the hosts that schedule.
    ByteLimit(ByteLimitNews),
    /// Asks whether a host knows of a later leader.
    TermQuery(TermQuery),
    /// Reply to a [`Packet::TermQuery`].
    TermAnswer(TermAnswer),
}

/// Limit on the bytes of request bodies at each server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct ByteLimitNews {
    pub(crate) service: ServiceName,
    pub(crate) bytes: u64,
}

/// State of a host, as reported by itself.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct Heartbeat {
    pub(crate) host: HostName,
    pub(crate) dc: DcName,
    /// Highest leadership term that the host knows.
    pub(crate) term: u64,
    /// Whether the host leads in that term.
    pub(crate) leads: bool,
    /// Whether the store answers the host.
    pub(crate) store: bool,
    /// Data centres whose servers answer the host.
    pub(crate) reaches: BTreeSet<DcName>,
    /// CPU capacity for leading and scheduling, in thousandths of a core; reduced if the link is slow.
    pub(crate) power: u32,
    /// Whether the host schedules requests for servers.
    pub(crate) schedules: bool,
    /// Whether the host watches the store itself.
    pub(crate) watches: bool,
    /// Number of leaf hosts that use the host as relay.
    pub(crate) leaves: u32,
    /// Key assignments of the keyed services; empty unless the host leads.
    pub(crate) keys: Vec<KeyUpdate>,
}

/// Key assignment of a service, as the leader knows it.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct KeyUpdate {
    pub(crate) service: ServiceName,
    /// Fencing token of the assignment.
    pub(crate) fence: u64,
    /// Assigned owners; sent only with a new fencing token, and again after a number of heartbeats.
    pub(crate) ranges: Option<KeyRanges>,
    /// First and last key of each range that is not granted yet.
    pub(crate) blocked: Vec<(u16, u16)>,
}

/// Key ranges and their assigned owners. A server can own several ranges, and its name, the longest part of each, is
/// encoded only once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct KeyRanges {
    owners: Vec<Life>,
    /// First key, last key, and index of the owner in `owners`.
    ranges: Vec<(u16, u16, u32)>,
}

impl KeyRanges {
    /// Builds the compact form of owned ranges.
    pub(crate) fn pack(spans: &[OwnedRange]) -> Self {
        let mut owners: Vec<Life> = spans.iter().map(|s| s.owner.clone()).collect();
        owners.sort();
        owners.dedup();
        let ranges = spans.iter().map(|s| {
            let at = owners.binary_search(&s.owner).unwrap_or_default();
            (s.span.first, s.span.last, at as u32)
        });
        let ranges = ranges.collect();
        Self { owners, ranges }
    }

    /// Converts the ranges to a record with this fencing token; ranges with an invalid owner index are skipped.
    pub(crate) fn to_record(&self, fence: u64) -> KeyRecord {
        let ranges = self.ranges.iter().filter_map(|(first, last, at)| {
            let owner = self.owners.get(*at as usize)?.clone();
            let (first, last) = (*first, *last);
            Some(OwnedRange::new(KeyRange { first, last }, owner))
        });
        KeyRecord {
            fence,
            spans: ranges.collect(),
            ..KeyRecord::default()
        }
    }
}

/// Keys of recent requests for a service.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct KeyDemand {
    pub(crate) service: ServiceName,
    pub(crate) keys: Vec<u16>,
}

/// A query for a slot at a server. Times are in milliseconds, relative to the time of sending, unless noted otherwise.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct SlotQuery {
    /// Data centre of the host that sends the query.
    pub(crate) dc: DcName,
    pub(crate) part: PartName,
    /// Whether another part had no free slot and redirected the request here.
    pub(crate) overflows: bool,
    pub(crate) ticket: u64,
    /// Request id from the caller, for the log.
    pub(crate) id: String,
    pub(crate) key: Option<u16>,
    /// Priority of the request.
    pub(crate) rank: u8,
    /// Organisation of whose rate limit the request needs a token; `None` if the organisation has no limit, or the
    /// request already has a token.
    pub(crate) organisation: Option<OrganisationName>,
    /// Time left until the latency target.
    pub(crate) aim: u64,
    /// Time left until the deadline.
    pub(crate) left: u64,
    /// Expected service time at an average server, in microseconds.
    pub(crate) work_us: u64,
    /// Whether a large response is expected.
    pub(crate) large: bool,
    /// Servers that earlier attempts were sent to.
    pub(crate) not: Vec<Life>,
    /// Whether the caller has time to wait for a slot, or to return, beyond the latency target.
    pub(crate) tolerates_waiting: bool,
    /// Time left to the caller, which may exceed the time until the deadline.
    pub(crate) caller_left: u64,
    /// Hash of the caller's address; 0 unless `tolerates_waiting`.
    pub(crate) caller: u64,
    /// Hash of the request's head; 0 unless `tolerates_waiting`.
    pub(crate) head: u64,
    /// Hash of the route's name; 0 unless `tolerates_waiting`, and for requests that run at most once.
    pub(crate) route: u64,
    /// Declared length of the body; 0 without one.
    pub(crate) body_bytes: u64,
}

/// Decision of a scheduler on a slot query.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum SlotReply {
    /// The request is queued at the scheduler, or must be queried again later for lack of a quota token.
    Waits,
    /// The request has a slot at this server.
    Send(Life),
    /// The request's key moved to a server that another host schedules; the query must be sent to that host.
    Elsewhere,
    /// The part of the service in this data centre has a free slot; the query must be sent to its scheduler.
    Overflow(DcName),
    /// The request is refused; capacity may be available after this many milliseconds.
    Refuse(u64),
    /// The request's organisation exceeds its rate limit; a token may be available after this many milliseconds.
    OverQuota(u64),
    /// The request is refused, and its caller should return after exactly this many milliseconds.
    Return(u64),
}

/// The end of a request at a server, reported to its scheduler.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct SlotEnd {
    pub(crate) part: PartName,
    pub(crate) ticket: u64,
    pub(crate) server: Life,
    /// Time to the response in microseconds; `None` if the caller disconnected before it.
    pub(crate) us: Option<u64>,
    pub(crate) kind: SlotEndKind,
    /// Load that the server advertised: running requests, waiting requests, slots, and slowdown (current service
    /// time in percent of the usual one).
    pub(crate) report: Option<(u32, u32, u32, u32)>,
    /// Rate limit that the server advertised; `None` if its response had none.
    pub(crate) rate: Option<SaidRate>,
}

/// Rate limit that a server advertises for the requests of all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) enum SaidRate {
    /// No limit.
    Unlimited,
    /// Requests per second.
    Limited(f64),
}

impl From<SaidRate> for AdvertisedRate {
    fn from(rate: SaidRate) -> Self {
        match rate {
            SaidRate::Unlimited => Self::Unlimited,
            SaidRate::Limited(rate) => Self::Limited(rate),
        }
    }
}

impl From<AdvertisedRate> for SaidRate {
    fn from(rate: AdvertisedRate) -> Self {
        match rate {
            AdvertisedRate::Unlimited => Self::Unlimited,
            AdvertisedRate::Limited(rate) => Self::Limited(rate),
        }
    }
}

/// Slowness and rate limit of a server, as its scheduler knows them.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct ServerPace {
    pub(crate) server: Life,
    /// Slowness: service time relative to an average server; above 1 is slower.
    pub(crate) speed: f32,
    /// Number of slots at an average server that process as much as the server's advertised rate limit admits; `None`
    /// if it advertises none.
    pub(crate) limited_slots: Option<f32>,
}

/// Result of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum SlotEndKind {
    /// The server responded, or the end gives no information about the server's state.
    Plain,
    /// The server had no free slot.
    Full,
    /// The connection failed, or the response was invalid.
    Broken,
    /// The server responded that the request failed.
    Error,
    /// The server did not respond in time.
    Silent,
    /// The server did not respond for longer than almost all responses of the route take; the route tolerates waiting.
    Unanswered,
    /// The connection failed since the server has ended; the route tolerates waiting.
    Ended,
}
