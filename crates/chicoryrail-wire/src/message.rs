//! The closed set of calls.

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::ResultCode;

use crate::ConfigReply;
use crate::ConfigRequest;
use crate::Confirm;
use crate::Confirmed;
use crate::DeputyCopy;
use crate::DeputyReply;
use crate::Heartbeat;
use crate::HeartbeatReply;
use crate::OrderClaim;
use crate::OrderClose;
use crate::OrderCopy;
use crate::OrderReply;
use crate::Promise;
use crate::PromiseReply;
use crate::RouteReply;
use crate::RouteRequest;
use crate::StatusReply;

/// A call from one process to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Request {
    /// Asks whether the peer answers at all.
    Ping,
    /// Exchanges liveness; any process to any other.
    Heartbeat(Heartbeat),
    /// Asks for a newer configuration; any process to a controller.
    Config(ConfigRequest),
    /// Renews routes; gate to controller.
    Routes(RouteRequest),
    /// Asks a witness to confirm epochs; controller to controller.
    Confirm(Confirm),
    /// Asks a witness to promise an epoch; controller to controller.
    Promise(Promise),
    /// Claims the right to send an order; gate to the controller of the order's shard.
    OrderClaim(OrderClaim),
    /// Reports the outcome of a claimed order.
    OrderClose(OrderClose),
    /// Asks what is known of an order id.
    OrderLookup {
        /// The order id.
        order: String,
    },
    /// Copies a claim or an outcome to the deputy of the shard before it takes effect.
    OrderCopy(OrderCopy),
    /// Asks what a controller knows; admin to controller.
    Status {
        /// Whether the tables of the held shards are wanted.
        tables: bool,
    },
    /// Copies a held shard to its deputy; controller to controller.
    DeputyCopy(DeputyCopy),
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Reply {
    /// Answers [`Request::Ping`], and calls that need no content.
    Done,
    /// Answers [`Request::Heartbeat`].
    Heartbeat(HeartbeatReply),
    /// Answers [`Request::Config`].
    Config(ConfigReply),
    /// Answers [`Request::Routes`].
    Routes(RouteReply),
    /// Answers [`Request::Confirm`].
    Confirmed(Confirmed),
    /// Answers [`Request::Promise`].
    Promise(PromiseReply),
    /// Answers [`Request::OrderClaim`], [`Request::OrderClose`] and [`Request::OrderLookup`].
    Order(OrderReply),
    /// Answers [`Request::Status`].
    Status(StatusReply),
    /// The peer can't act on the call; the number is a [`ResultCode`].
    Refused(u16),
    /// Answers [`Request::DeputyCopy`].
    Deputy(DeputyReply),
}

impl Reply {
    /// Builds a refusal.
    #[must_use]
    pub const fn refused(code: ResultCode) -> Self {
        Self::Refused(code.number())
    }
}
