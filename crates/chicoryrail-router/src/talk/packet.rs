//! What hosts tell each other.

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
use chicoryrail_policy::RateNotice;

use crate::talk::PartName;
use crate::talk::PartRoom;
use crate::talk::QuotaGrants;
use crate::talk::QuotaReports;

/// A datagram.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) enum Packet {
    /// What a host knows.
    Heartbeat(Heartbeat),
    /// How much the servers do for which a host schedules, for the leader.
    Paces(Vec<ServerPace>),
    /// Keys that callers asked for, for the leader.
    KeyDemand(Vec<KeyDemand>),
    /// A request asks the host that schedules for its server.
    SlotQuery(SlotQuery),
    /// The host that schedules says what becomes of a request.
    SlotReply { ticket: u64, reply: SlotReply },
    /// A request at a server has ended.
    SlotEnd(SlotEnd),
    /// The caller of a request that asked has left.
    Leave { part: PartName, ticket: u64 },
    /// Free slots of the parts that a host schedules.
    Rooms(Vec<PartRoom>),
    /// A host that schedules tells the leader how it uses organisations' limits.
    QuotaReports(QuotaReports),
    /// The leader gives tokens of organisations' limits.
    QuotaGrants(QuotaGrants),
}

/// What a host knows.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct Heartbeat {
    pub(crate) host: HostName,
    pub(crate) dc: DcName,
    /// Highest term of leadership that it knows.
    pub(crate) term: u64,
    /// Whether it leads in that term itself.
    pub(crate) leads: bool,
    /// Whether the store answers it.
    pub(crate) store: bool,
    /// Data centres whose servers answer it.
    pub(crate) reaches: BTreeSet<DcName>,
    /// Thousandths of a core that it has to lead with.
    pub(crate) power: u32,
    /// Whether it schedules requests for servers.
    pub(crate) schedules: bool,
    /// Whether it watches the store itself.
    pub(crate) watches: bool,
    /// Leaf hosts that follow it.
    pub(crate) leaves: u32,
    pub(crate) keys: Vec<KeyUpdate>,
}

/// Who holds the keys of a service, as the leader knows it.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct KeyUpdate {
    pub(crate) service: ServiceName,
    pub(crate) fence: u64,
    /// Who is to hold what; not sent again with each heartbeat.
    pub(crate) ranges: Option<KeyRanges>,
    /// First and last key of what is not granted yet.
    pub(crate) blocked: Vec<(u16, u16)>,
}

/// Who is to hold which keys. A server has several ranges, and its name, the longest part of each, is written once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct KeyRanges {
    owners: Vec<Life>,
    /// First key, last key, owner by its place in the list.
    ranges: Vec<(u16, u16, u32)>,
}

impl KeyRanges {
    /// Packs ranges.
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

    /// Unpacks the ranges into a record; one that names no owner of the list is left out.
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

/// Keys of a service that were asked for.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct KeyDemand {
    pub(crate) service: ServiceName,
    pub(crate) keys: Vec<u16>,
}

/// A request that asks for a server; lengths of time in milliseconds from the sending.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct SlotQuery {
    /// Data centre of the host that asks.
    pub(crate) dc: DcName,
    pub(crate) part: PartName,
    /// Whether another part had no room for it and sent it here.
    pub(crate) overflows: bool,
    pub(crate) ticket: u64,
    /// Id that the caller gave, for the log.
    pub(crate) id: String,
    pub(crate) key: Option<u16>,
    pub(crate) rank: u8,
    /// Organisation of whose limit it needs a token; `None` where it has no limit, or the request has a token.
    pub(crate) organisation: Option<OrganisationName>,
    /// Time left for an answer that is worth most.
    pub(crate) aim: u64,
    /// Time left for any answer.
    pub(crate) left: u64,
    /// How long a usual server works on it, in microseconds.
    pub(crate) work_us: u64,
    /// Whether its answer is large.
    pub(crate) large: bool,
    /// Servers that had it before.
    pub(crate) not: Vec<Life>,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum SlotReply {
    /// It waits at the scheduler.
    Waits,
    /// It is to be sent to this server.
    Send(Life),
    /// Its key went to a server for which another host schedules: that one is to be asked.
    Elsewhere,
    /// The part of the service in this data centre has room for it, and is to be asked.
    Overflow(DcName),
    /// It is refused; there may be room after so many milliseconds.
    Refuse(u64),
    /// Its organisation is beyond its limit; there may be a token after so many milliseconds.
    OverQuota(u64),
}

/// How a request at a server ended.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct SlotEnd {
    pub(crate) part: PartName,
    pub(crate) ticket: u64,
    pub(crate) server: Life,
    /// Time to the answer in microseconds; `None` where the caller left before.
    pub(crate) us: Option<u64>,
    pub(crate) kind: SlotEndKind,
    /// Running, waiting, slots and pace that the server told.
    pub(crate) report: Option<(u32, u32, u32, u32)>,
    /// The rate that the server takes; `None` where its answer did not tell.
    pub(crate) rate: Option<SaidRate>,
}

/// The rate of requests that a server takes from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) enum SaidRate {
    /// Any.
    Unlimited,
    /// So many a second.
    Limited(f64),
}

impl From<SaidRate> for RateNotice {
    fn from(rate: SaidRate) -> Self {
        match rate {
            SaidRate::Unlimited => Self::Unlimited,
            SaidRate::Limited(rate) => Self::Limited(rate),
        }
    }
}

impl From<RateNotice> for SaidRate {
    fn from(notice: RateNotice) -> Self {
        match notice {
            RateNotice::Unlimited => Self::Unlimited,
            RateNotice::Limited(rate) => Self::Limited(rate),
        }
    }
}

/// How much a server does.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct ServerPace {
    pub(crate) server: Life,
    /// Time that work takes, relative to a usual server: above 1 is slower.
    pub(crate) speed: f32,
    /// Usual slots that do as much work as its limit lets through; `None` where it names none.
    pub(crate) limited_slots: Option<f32>,
}

/// How a request at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum SlotEndKind {
    /// With an answer, or without the server's state.
    Plain,
    /// The server had no room.
    Full,
    /// The connection failed, or what came was no answer.
    Broken,
    /// The server answered that it failed.
    Error,
    /// No answer came in time.
    Silent,
}
