//! A shard that this controller holds or is taking over.

use std::cell::Cell;
use std::cell::RefCell;

use chicoryrail_core::Epoch;
use chicoryrail_core::Millis;
use chicoryrail_core::ShardId;
use chicoryrail_ownership::Holder;
use chicoryrail_ownership::OrderWindow;
use chicoryrail_ownership::Section;
use chicoryrail_ownership::ShardRecord;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_wire::OrderAnswer;

use crate::asserts::Grants;
use crate::signal::Signal;

/// What is driven while a shard is held.
#[derive(Debug)]
pub(crate) enum Content {
    /// A section of a service; `None` until the take-over's wait is over.
    Section(RefCell<Option<Box<Section>>>),
    /// A part of the order ids.
    Orders(RefCell<OrderWindow<OrderAnswer>>),
}

/// A shard with the right to act on it.
#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) shard: ShardId,
    pub(crate) holder: RefCell<Holder>,
    pub(crate) record: RefCell<(ShardRecord, u64)>,
    pub(crate) content: Content,
    /// The epoch before this one, where this process was its deputy; nobody has acted in between.
    pub(crate) after: Option<Epoch>,
    /// What servers may hold by this holder's grants, for assertions only.
    pub(crate) grants: RefCell<Grants>,
    pub(crate) news: Signal,
    pub(crate) stop: CancellationToken,
    /// Whether the holder has given the shard up; it never acts again in this epoch.
    pub(crate) given: Cell<bool>,
    /// Whether the deputy has all of the shard.
    pub(crate) copied: Cell<bool>,
}

impl Held {
    /// Tells whether this process may act on the shard; asked right before each act.
    pub(crate) fn may_act(&self, now: Millis) -> bool {
        !self.given.get() && self.holder.borrow().may_act(now)
    }

    /// Returns the section, where the shard is one.
    pub(crate) const fn section(&self) -> Option<&RefCell<Option<Box<Section>>>> {
        match &self.content {
            Content::Section(section) => Some(section),
            Content::Orders(_) => None,
        }
    }

    /// Returns the window, where the shard is a part of the order ids.
    pub(crate) const fn orders(&self) -> Option<&RefCell<OrderWindow<OrderAnswer>>> {
        match &self.content {
            Content::Section(_) => None,
            Content::Orders(window) => Some(window),
        }
    }
}
