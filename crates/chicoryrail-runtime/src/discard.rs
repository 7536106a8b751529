//! Reads and drops what the caller of a refused request is still sending.

use std::future::poll_fn;

use bytes::Bytes;
use chicoryrail_core::Millis;
use monoio::time::timeout;

use crate::Body;

/// Longest time for which the rest of a refused body is read and dropped. Closing the connection before the caller has
/// sent it would reset the connection, and the caller would lose the response.
const DISCARD_TIME_MAX: Millis = Millis(2_000);

/// Reads the rest of a body, at most `max_bytes` bytes and for a short time, and drops it, so that its caller receives the
/// response.
pub fn discard_body(body: Body, max_bytes: u64) {
    if !body.is_end_stream() {
        monoio::spawn(discard_rest(body, max_bytes));
    }
}

async fn discard_rest(mut body: Body, max_bytes: u64) {
    let read_rest = async {
        let mut left = max_bytes;
        while let Some(Ok(frame)) = poll_fn(|cx| body.as_mut().poll_frame(cx)).await {
            let length = frame.data_ref().map_or(0, Bytes::len) as u64;
            if length >= left {
                return;
            }
            left -= length;
        }
    };
    let _ = timeout(DISCARD_TIME_MAX.to_duration(), read_rest).await;
}
