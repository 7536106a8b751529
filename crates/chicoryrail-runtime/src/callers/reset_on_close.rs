//! Chooses how a caller's connection ends when it is closed.

use std::io;
use std::os::fd::AsRawFd;
use std::os::fd::BorrowedFd;
use std::time::Duration;

use socket2::SockRef;

/// Sets whether closing a connection resets it, also at the end of the process. What the caller has not read is lost then.
///
/// # Errors
///
/// Returns the system's error if the option can't be set.
#[expect(
    unsafe_code,
    reason = "monoio's streams lend their descriptor as a number only"
)]
pub(super) fn set_reset_on_close(stream: &impl AsRawFd, resets: bool) -> io::Result<()> {
    // SAFETY: the stream is borrowed for the whole call and keeps its descriptor open.
    let fd = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    SockRef::from(&fd).set_linger(resets.then_some(Duration::ZERO))
}
