//! Messages between hosts: their format, and the socket for datagrams.
//!
//! Datagrams carry what other hosts need within milliseconds, or while the store is down. A lost datagram is
//! superseded by the next one, or its sender times out.

mod codec;
mod compression;
mod crash_message;
mod forward_message;
mod packet;
mod part;
mod quota_message;
mod relay_message;
mod renewal_message;
mod socket;

pub(crate) use codec::decode;
pub(crate) use codec::encode;
pub(crate) use compression::DecompressionError;
pub(crate) use compression::ENCODING;
pub(crate) use compression::compress;
pub(crate) use compression::decompress;
pub(crate) use crash_message::CrashNews;
pub(crate) use crash_message::ProbeCall;
pub(crate) use crash_message::ProbeQuery;
pub(crate) use crash_message::ProbeReply;
pub(crate) use crash_message::RequestRecord;
pub(crate) use forward_message::FORWARD_PREFIX;
pub(crate) use forward_message::ForwardEnd;
pub(crate) use forward_message::ForwardHead;
pub(crate) use packet::Heartbeat;
pub(crate) use packet::KeyDemand;
pub(crate) use packet::KeyRanges;
pub(crate) use packet::KeyUpdate;
pub(crate) use packet::Packet;
pub(crate) use packet::SaidRate;
pub(crate) use packet::ServerPace;
pub(crate) use packet::SlotEnd;
pub(crate) use packet::SlotEndKind;
pub(crate) use packet::SlotQuery;
pub(crate) use packet::SlotReply;
pub(crate) use part::PartName;
pub(crate) use part::PartRoom;
pub(crate) use quota_message::QuotaGrants;
pub(crate) use quota_message::QuotaReports;
pub(crate) use relay_message::ConfigAge;
pub(crate) use relay_message::CoreState;
pub(crate) use relay_message::CrashUpdate;
pub(crate) use relay_message::CrashVersion;
pub(crate) use relay_message::FEED_COUNT;
pub(crate) use relay_message::FollowerAnswer;
pub(crate) use relay_message::FollowerPoll;
pub(crate) use relay_message::KeyFence;
pub(crate) use relay_message::KeyMap;
pub(crate) use relay_message::KeyMapChanges;
pub(crate) use relay_message::RelayAnswer;
pub(crate) use relay_message::RelayPoll;
pub(crate) use relay_message::RelayReply;
pub(crate) use relay_message::RelayRequest;
pub(crate) use renewal_message::ConfirmedGrant;
pub(crate) use renewal_message::FailedGrant;
pub(crate) use renewal_message::GrantFailure;
pub(crate) use renewal_message::OrderContent;
pub(crate) use renewal_message::OrderedServer;
pub(crate) use renewal_message::RenewalPoll;
pub(crate) use renewal_message::RenewalReply;
pub(crate) use renewal_message::RenewalReport;
pub(crate) use renewal_message::ServiceOrder;
pub(crate) use socket::PeerSocket;
