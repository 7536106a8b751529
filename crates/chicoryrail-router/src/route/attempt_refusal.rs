//! Builds the refusal of a request by what its attempts may have done.

use chicoryrail_core::Millis;
use chicoryrail_policy::Withheld;

use crate::route::attempts::Attempts;
use crate::route::choose::NO_SERVER_RETRY;
use crate::route::refusal::Cause;
use crate::route::refusal::Refusal;
use crate::route::send_outcome::NotRun;
use crate::route::suspicion;

/// Time after which a blocked request should be sent again. It is long, since nothing but an operator or another
/// version of the servers makes the request harmless.
const BLOCKED_RETRY: Millis = Millis(600_000);

impl Attempts<'_> {
    pub(super) fn refuse_not_run(&self, why: NotRun) -> Refusal {
        if let Some(why) = self.withheld() {
            return self.refuse_withheld(why);
        }
        self.refuse(why.cause(), self.expected_work())
    }

    /// Refuses a request that no server may receive from this host.
    pub(super) fn refuse_withheld(&self, why: Withheld) -> Refusal {
        match why {
            Withheld::Draining => self.refuse(Cause::Draining, NO_SERVER_RETRY),
            Withheld::Backoff(left) => self.refuse(Cause::Backoff, left),
        }
    }

    /// Refuses a request that ends servers. The time to retry is not bounded by the time that the caller has left, so that
    /// the caller gives up.
    pub(super) fn refuse_blocked(&self) -> Refusal {
        suspicion::log_held_back(self.router, self.call, self.body);
        let refusal = self.refuse(Cause::Blocked, BLOCKED_RETRY);
        Refusal {
            retry_after: refusal.retry_after.map(|_| BLOCKED_RETRY),
            ..refusal
        }
    }

    /// Refuses a request whose caller was given a time to return. The time stands as it is: the scheduler has reserved
    /// capacity for it.
    pub(super) fn refuse_until(&self, after: Millis) -> Refusal {
        let refusal = self.refuse(Cause::Full, after);
        Refusal {
            retry_after: refusal.retry_after.map(|_| after),
            ..refusal
        }
    }

    /// Refuses a request that could not be sent in time.
    pub(super) fn refuse_out_of_time(&self) -> Refusal {
        self.refuse(self.call.out_of_time_cause(self.router), Millis::ZERO)
    }

    /// Builds a refusal. If a server may have executed an earlier send, the cause does not promise that the request has
    /// not run.
    pub(super) fn refuse(&self, cause: Cause, capacity_in: Millis) -> Refusal {
        if self.possible_runs > 0 {
            self.log_retry_refused(cause);
            let cause = match cause {
                Cause::Late | Cause::Stopping => Cause::Silent,
                _ => Cause::Broken,
            };
            return cause.into();
        }
        self.call.refuse(self.router.now(), cause, capacity_in)
    }
}
