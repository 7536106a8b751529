//! What a server's responses ask of one host, and which of that host's requests the server may still receive.

use chicoryrail_core::Millis;

/// Notices of one incarnation of a server to this host.
///
/// Guards against a host that sends to a server although the server itself told it not to: because the store, which
/// normally spreads such news, is unavailable, or because another host, which was told nothing, schedules. A drain
/// notice never lapses while the server lives: a host that hears nothing from it any more must not start to send again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotices {
    /// When a response first said that the server is draining.
    draining_since: Option<Millis>,
    /// End of the time for which the server asked for no requests; in the past if there is none.
    backoff_until: Millis,
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermit {
    /// It may be sent.
    Granted,
    /// It may be sent if no other server can serve it, as the server will end soon.
    LastResort,
    /// It must not be sent.
    Withheld(Withheld),
}

impl SendPermit {
    /// Returns why the request must not be sent; `None` if it may be.
    #[must_use]
    pub const fn withheld(self) -> Option<Withheld> {
        match self {
            Self::Granted | Self::LastResort => None,
            Self::Withheld(why) => Some(why),
        }
    }
}

/// Why a request must not be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// The server is draining, and the time in which it still accepts requests is over.
    Draining,
    /// The server asked for no requests for this much longer.
    Backoff(Millis),
}

impl ServerNotices {
    /// Records that a response said that the server is draining; returns `true` if it is the first one.
    pub fn record_drain(&mut self, now: Millis) -> bool {
        let is_first = self.draining_since.is_none();
        self.draining_since.get_or_insert(now);
        is_first
    }

    /// Records that the server refused a request and asked for no more for `time`. A shorter time does not end a longer
    /// one: responses overtake each other.
    pub fn record_backoff(&mut self, now: Millis, time: Millis) {
        self.backoff_until = self.backoff_until.max(now + time);
    }

    /// Returns the notices of both: the first drain notice, and the longest time without requests.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        let drains = [self.draining_since, other.draining_since];
        Self {
            draining_since: drains.into_iter().flatten().min(),
            backoff_until: self.backoff_until.max(other.backoff_until),
        }
    }

    /// Returns `true` if any notice is in force.
    #[must_use]
    pub fn is_any_in_force(&self, now: Millis) -> bool {
        self.is_draining() || now < self.backoff_until
    }

    /// Returns `true` if the server has said that it is draining.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Returns whether a request that arrived at this host at `arrived` may be sent now. A draining server accepts the
    /// requests of the first `drain_time` after its notice.
    ///
    /// # Example
    ///
    /// ```
    /// use chicoryrail_core::Millis;
    /// use chicoryrail_policy::SendPermit;
    /// use chicoryrail_policy::ServerNotices;
    /// use chicoryrail_policy::Withheld;
    ///
    /// let mut notices = ServerNotices::default();
    /// notices.record_drain(Millis(500));
    /// let permit = |now| notices.permit(Millis(now), Millis(now), Millis(2_000));
    /// assert_eq!(permit(2_499), SendPermit::LastResort);
    /// assert_eq!(permit(2_500), SendPermit::Withheld(Withheld::Draining));
    /// ```
    #[must_use]
    pub fn permit(&self, now: Millis, arrived: Millis, drain_time: Millis) -> SendPermit {
        let drained = |since| arrived >= since + drain_time;
        if self.draining_since.is_some_and(drained) {
            return SendPermit::Withheld(Withheld::Draining);
        }
        if now < self.backoff_until {
            return SendPermit::Withheld(Withheld::Backoff(self.backoff_until.since(now)));
        }
        match self.draining_since {
            Some(_) => SendPermit::LastResort,
            None => SendPermit::Granted,
        }
    }
}
