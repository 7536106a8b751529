//! Closes a caller's connection without losing what the caller has not read.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;

use chicoryrail_core::Millis;
use monoio::time::timeout;

use crate::callers::HttpLimits;
use crate::callers::caller_io::CallerTcpStream;

/// Ends the stream to the caller, then reads and drops what the caller still sends, until the caller has ended its stream too,
/// has sent as much as the largest body, or the time that it has for reading is over.
///
/// A caller that pipelines may send on before it has read any response, however long ago it was written, so it has the
/// whole time from here. Others read a response before they send again, and their idle connections are closed at once.
pub(crate) async fn linger(
    stream: &RefCell<CallerTcpStream>,
    limits: HttpLimits,
    is_pipelined: bool,
) {
    let Some(idle) = stream.borrow().idle_time() else {
        return;
    };
    if poll_fn(|cx| stream.borrow_mut().poll_end(cx))
        .await
        .is_err()
    {
        return;
    }
    let passed = if is_pipelined { Millis::ZERO } else { idle };
    let time_left = limits.linger_time.since(passed);
    if time_left == Millis::ZERO {
        return;
    }
    let dropped = Cell::new(0);
    let drain = async {
        while dropped.get() < limits.max_body_bytes {
            let read = poll_fn(|cx| stream.borrow_mut().poll_discard(cx)).await;
            let Ok(bytes @ 1..) = read else {
                return None;
            };
            dropped.set(dropped.get() + bytes as u64);
        }
        Some("bytes")
    };
    let drained = timeout(time_left.to_duration(), drain).await;
    let limit = drained.unwrap_or(Some("time"));
    if let Some(limit) = limit {
        let stream = stream.borrow();
        let idle = stream.idle_time().unwrap_or_default();
        log::info!(from:? = stream.peer_addr().ok(), limit = limit, dropped = dropped.get(),
            idle_ms = idle.0; "connection_cut");
    }
}
