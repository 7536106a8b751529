//! The protocol between chicoryrail's own processes.
//!
//! Typed messages, encoded with `bincode`, travel over `h2` streams: one stream a call. A caller's
//! request that another gate must send on travels as an ordinary HTTP/2 request on the same
//! connection, so that its body is streamed and never collected.
//!
//! # Example
//!
//! ```
//! use chicoryrail_wire::Request;
//! use chicoryrail_wire::decode;
//! use chicoryrail_wire::encode;
//!
//! let bytes = encode(&Request::Ping).unwrap();
//! assert_eq!(decode::<Request>(&bytes).unwrap(), Request::Ping);
//! ```
//!
//! Go on with [`Request`] and [`Reply`] for the messages, [`Peer`] for the calling side, and [`serve`] with
//! [`Handler`] for the other.

mod codec;
mod config;
mod deputy;
mod error;
mod membership;
mod message;
mod order;
mod peer;
mod route;
mod server;
mod status;
mod witness;

pub use codec::MAX_MESSAGE;
pub use codec::decode;
pub use codec::encode;
pub use config::ConfigReply;
pub use config::ConfigRequest;
pub use deputy::DeputyCopy;
pub use deputy::DeputyReply;
pub use error::WireError;
pub use membership::Heartbeat;
pub use membership::HeartbeatReply;
pub use membership::HostState;
pub use membership::Role;
pub use message::Reply;
pub use message::Request;
pub use order::OrderAnswer;
pub use order::OrderClaim;
pub use order::OrderClose;
pub use order::OrderCopy;
pub use order::OrderOutcome;
pub use order::OrderReply;
pub use peer::Forward;
pub use peer::Peer;
pub use route::RouteEntry;
pub use route::RouteReply;
pub use route::RouteRequest;
pub use route::RouteTable;
pub use route::ServerRoute;
pub use route::ServerSeen;
pub use route::ServerState;
pub use route::SliceState;
pub use server::Handler;
pub use server::PeerLimits;
pub use server::serve;
pub use status::PeerSeen;
pub use status::StatusReply;
pub use witness::Confirm;
pub use witness::Confirmed;
pub use witness::Promise;
pub use witness::PromiseReply;
