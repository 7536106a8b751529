//! A request that may be sent to a server, and how its send stands.

use std::rc::Rc;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use futures_util::future::LocalBoxFuture;

use crate::control::Probe;
use crate::route::send_outcome::SendOutcome;
use crate::route::slot_guard::SlotGuard;
use crate::state::Target;

/// A server for a request that may be sent.
pub(super) struct Permitted {
    pub(super) target: Rc<Target>,
    pub(super) slot: Rc<SlotGuard>,
    /// The granted run of a suspected request.
    pub(super) probe: Option<Probe>,
}

/// A send that has got no response within the usual time, and may still get one.
pub(super) struct Overdue<'a> {
    pub(super) life: Life,
    /// Time without a response after which the send was overdue.
    pub(super) limit: Millis,
    pub(super) sent: LocalBoxFuture<'a, SendOutcome>,
}

/// A send after the usual time for its response.
pub(super) enum Sent<'a> {
    /// The send has ended.
    Ended(SendOutcome),
    /// The send has no response yet, and the request may be sent again.
    Overdue(Overdue<'a>),
}
