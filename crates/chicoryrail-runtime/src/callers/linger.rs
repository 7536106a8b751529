//! Closes a caller's connection without losing what the caller has not read.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;

use chicoryrail_core::Millis;
use monoio::time::timeout;

use crate::callers::caller_io::CallerTcpStream;

/// Time after the last write for which a caller may read what was written. The system discards it if the connection is
/// closed earlier and the caller sends something, as it resets the connection then.
const LINGER_TIME_MAX: Millis = Millis(5_000);

/// Ends the stream to the caller, then reads and drops what the caller still sends, until the caller has ended its stream too,
/// has sent `max_bytes` bytes, or the time that it has for reading is over.
pub(crate) async fn linger(stream: &RefCell<CallerTcpStream>, max_bytes: u64) {
    let Some(idle) = stream.borrow().idle_time() else {
        return;
    };
    if poll_fn(|cx| stream.borrow_mut().poll_end(cx))
        .await
        .is_err()
    {
        return;
    }
    let dropped = Cell::new(0);
    let drain = async {
        while dropped.get() < max_bytes {
            let read = poll_fn(|cx| stream.borrow_mut().poll_discard(cx)).await;
            let Ok(bytes @ 1..) = read else {
                return None;
            };
            dropped.set(dropped.get() + bytes as u64);
        }
        Some("bytes")
    };
    let time_left = LINGER_TIME_MAX.since(idle).to_duration();
    let limit = timeout(time_left, drain).await.unwrap_or(Some("time"));
    if let Some(limit) = limit {
        let stream = stream.borrow();
        let idle = stream.idle_time().unwrap_or_default();
        log::info!(from:? = stream.peer_addr().ok(), limit = limit, dropped = dropped.get(),
            idle_ms = idle.0; "connection_cut");
    }
}
