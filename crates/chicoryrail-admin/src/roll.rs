//! Changes of the head, by compare-and-swap.

use chicoryrail_core::Head;
use chicoryrail_core::Millis;
use chicoryrail_core::OperatorName;
use chicoryrail_core::ResultCode;
use chicoryrail_platform::Store;
use chicoryrail_platform::StoreError;
use chicoryrail_runtime::Clock;

use crate::ApiError;
use crate::Records;
use crate::records::HEAD;
use crate::records::to_text;

/// How often a lost answer is read back, and the rest between two readings. Six seconds outlast a
/// restart of the store; an operator who waits longer is better served by a clear answer.
const READ_BACKS: u32 = 12;
const REST: Millis = Millis(500);

/// A head that was read, and the change to be made of it.
#[derive(Clone, Debug)]
pub(crate) struct HeadChange {
    record: u64,
    next: Head,
}

impl HeadChange {
    /// Starts a change by `author` from the head read at store version `record`.
    pub(crate) fn new(record: u64, head: &Head, author: &OperatorName) -> Self {
        let mut next = head.clone();
        next.version += 1;
        next.attempt = format!("{:032x}", rand::random::<u128>());
        next.author = Some(author.clone());
        Self { record, next }
    }

    /// Returns the head to be written.
    pub(crate) const fn head(&self) -> &Head {
        &self.next
    }

    /// Returns the head to be written, for a change.
    pub(crate) const fn head_mut(&mut self) -> &mut Head {
        &mut self.next
    }

    /// Writes the head and returns its version.
    ///
    /// # Errors
    ///
    /// Refuses with `RollConflict` and the winner's version where another change was faster, and with
    /// `StoreDown` where the store's answer stays away; the change may then be in force later.
    pub(crate) async fn write<S: Store>(
        &self,
        records: &Records<S>,
        clock: &Clock,
    ) -> Result<u64, ApiError> {
        let text = to_text(HEAD, &self.next)?;
        match records.swap(HEAD, self.record, &text).await {
            Ok(_) => Ok(self.next.version),
            Err(StoreError::Conflict { .. }) => {
                let (_, winner) = records.head().await?;
                Err(conflict(&winner))
            }
            Err(e) if e.is_outage() => self.settle(records, clock, &text).await,
            Err(e) => Err(e.into()),
        }
    }

    /// Finds out whether a write took effect whose answer was lost.
    ///
    /// The head is read back first. It carries the attempt's id, so finding it proves that the write
    /// took effect, and finding another change in its place proves that it never will. An unchanged
    /// head proves neither, since the write may still be on its way; the same compare-and-swap is
    /// then sent again: of all copies of it one at most can find the version that it expects.
    async fn settle<S: Store>(
        &self,
        records: &Records<S>,
        clock: &Clock,
        text: &str,
    ) -> Result<u64, ApiError> {
        for _ in 0..READ_BACKS {
            let Ok((record, found)) = records.head().await else {
                clock.sleep(REST).await;
                continue;
            };
            if found.attempt == self.next.attempt {
                return Ok(self.next.version);
            }
            if record != self.record {
                return Err(self.overtaken(&found));
            }
            match records.swap(HEAD, self.record, text).await {
                Ok(_) => return Ok(self.next.version),
                // Something stands in its place; the next reading tells what.
                Err(StoreError::Conflict { .. }) => {}
                Err(_) => clock.sleep(REST).await,
            }
        }
        let reason = format!(
            "the store does not answer; version {} (attempt {}) may come into force later",
            self.next.version, self.next.attempt
        );
        Err(ApiError::new(ResultCode::StoreDown, reason))
    }

    /// Tells what another head in place of this one means.
    ///
    /// With the version of this change it is the winner of the race. A higher one may have been made
    /// on top of this change, so the outcome is not known.
    fn overtaken(&self, found: &Head) -> ApiError {
        if found.version <= self.next.version {
            return conflict(found);
        }
        let reason = format!(
            "the store's answer was lost and version {} is in place by now; compare it with what \
             was asked for as version {}",
            found.version, self.next.version
        );
        ApiError::new(ResultCode::StoreDown, reason)
    }
}

/// Builds the refusal that names the winner.
pub(crate) fn conflict(winner: &Head) -> ApiError {
    let by = winner.author.as_ref().map_or("nobody", |a| a.as_str());
    let reason = format!(
        "version {} by {by} was rolled first; look at it and ask again",
        winner.version
    );
    ApiError::new(ResultCode::RollConflict, reason)
}
