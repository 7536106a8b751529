//! Closes a caller's connection without losing what the caller has not read.

use std::cell::RefCell;
use std::future::poll_fn;

use chicoryrail_core::Millis;
use hyper::rt::Read;
use hyper::rt::Write;
use monoio::time::timeout;

use crate::callers::caller_io::CallerStream;

/// Time after the last write for which a caller may read what was written. The system discards it if the connection is
/// closed earlier and the caller sends something, as it resets the connection then.
const LINGER_TIME_MAX: Millis = Millis(5_000);

/// Bytes that are read and dropped meanwhile at most.
const LINGER_BYTES_MAX: usize = 1 << 20;

/// Ends the stream to the caller, then reads and drops what the caller still sends, until the caller has ended its stream too
/// or the time that it has for reading is over.
pub(crate) async fn linger<T: Read + Write + Unpin>(stream: &RefCell<CallerStream<T>>) {
    let Some(idle) = stream.borrow().idle_time() else {
        return;
    };
    if poll_fn(|cx| stream.borrow_mut().poll_end(cx))
        .await
        .is_err()
    {
        return;
    }
    let drain = async {
        let mut left = LINGER_BYTES_MAX;
        while let Ok(read @ 1..) = poll_fn(|cx| stream.borrow_mut().poll_discard(cx)).await {
            if read >= left {
                return;
            }
            left -= read;
        }
    };
    let _ = timeout(LINGER_TIME_MAX.since(idle).to_duration(), drain).await;
}
