//! The decision whether an upload is admitted, and what is read of it before it takes a slot.

use super::UploadReading;

/// Longest body that is read before its upload takes a slot.
const WHOLE_BYTES_MAX: u64 = 512 << 10;

/// Bytes at the start of each request body that are buffered.
const START_BYTES: u64 = 16 << 10;

/// Bytes in flight between caller and server of an upload that streams. At 1 ms between host and server they allow
/// 500 Mbit/s, more than any host's link.
pub const UPLOAD_WINDOW_BYTES: u64 = 64 << 10;

/// Bytes of a body that a caller's connection reads ahead of the upload: 32 KiB, and 16 KiB in the HTTP layer.
const READ_AHEAD_BYTES: u64 = 48 << 10;

/// How an admitted upload is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UploadPlan {
    /// Bytes that the upload may hold in memory, to be taken from the budget.
    pub held: u64,
    /// Bytes of the body to read before the upload takes a slot.
    pub read_first: u64,
}

impl UploadPlan {
    /// Decides about an upload with a body of `declared` bytes (`None` if its length is not declared) while `free` bytes of
    /// the budget are left. Returns `None` if the upload is to be refused.
    ///
    /// A body that is as short as those of other requests is admitted in any case, as other requests are.
    #[must_use]
    pub fn new(reading: UploadReading, declared: Option<u64>, free: u64) -> Option<Self> {
        let length = declared.unwrap_or(u64::MAX);
        let is_short = length <= START_BYTES;
        let whole = length.saturating_add(READ_AHEAD_BYTES.min(length));
        if reading == UploadReading::Whole
            && length <= WHOLE_BYTES_MAX
            && (is_short || whole <= free)
        {
            return Some(Self {
                held: whole,
                read_first: length,
            });
        }
        let streamed = length.min(START_BYTES + UPLOAD_WINDOW_BYTES) + READ_AHEAD_BYTES.min(length);
        (is_short || streamed <= free).then_some(Self {
            held: streamed,
            read_first: match reading {
                UploadReading::SlotFirst => 0,
                UploadReading::Start | UploadReading::Whole => length.min(START_BYTES),
            },
        })
    }

    /// Returns the plan of an upload that another host has admitted and that this host passes on as it arrives, while
    /// `free` bytes of the budget are left; `None` if this host can't.
    #[must_use]
    pub fn passed_on(declared: Option<u64>, free: u64) -> Option<Self> {
        Self::new(UploadReading::SlotFirst, declared, free)
    }
}
