//! HTTP/1.1 client for the platform, for other hosts and for tools.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Millis;
use hyper::client::conn::TrySendError;
use monoio::time::timeout;
use snafu::ResultExt;
use snafu::Snafu;

use crate::ServerConn;
use crate::body::collect_body_with_progress;
use crate::full_body;

/// Idle connections kept for each address. Control calls rarely overlap.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Why a call has no response.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// The connection could not be opened; nothing was sent.
    #[snafu(display("connect to {addr}: {source}"))]
    Connect {
        /// Address called.
        addr: SocketAddr,
        /// Error of the system.
        source: io::Error,
    },
    /// The request was sent, completely or in part, and no complete response head was received.
    #[snafu(display("call to {addr}: {source}"))]
    Call {
        /// Address called.
        addr: SocketAddr,
        /// Error of the HTTP layer.
        source: hyper::Error,
    },
    /// The response body ended early or is too long.
    #[snafu(display("response from {addr}: {source}"))]
    Response {
        /// Address called.
        addr: SocketAddr,
        /// Why the body could not be read.
        source: io::Error,
    },
    /// No complete response was received in time.
    #[snafu(display("no complete response from {addr} in time, received {received} bytes"))]
    Timeout {
        /// Address called.
        addr: SocketAddr,
        /// Bytes of the response body that were received.
        received: usize,
    },
}

/// Timeouts of a call whose response may have any length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTimeouts {
    /// Longest wait for the first data of the response body, from the start of the call.
    pub first_piece: Millis,
    /// Longest wait for further data.
    pub next_piece: Millis,
    /// Bytes of the body that must arrive in each wait for further data.
    pub piece_bytes: usize,
}

type Idle = HashMap<SocketAddr, Vec<ServerConn>>;

/// An HTTP client that reuses idle connections. Clones share them.
///
/// It buffers whole bodies, up to a limit, so it suits control traffic and tools. The router streams callers'
/// requests instead. Servers may send a response twice, so calls to them go through [`CallClient`](crate::CallClient) and
/// [`ServerPool`](crate::ServerPool).
#[derive(Clone, Debug)]
pub struct HttpClient {
    idle: Rc<RefCell<Idle>>,
    max_response: usize,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self {
            idle: Rc::default(),
            max_response: 8 << 20,
        }
    }
}

impl HttpClient {
    /// Sets the longest response body that is accepted, in bytes. The default is 8 MiB.
    #[must_use]
    pub fn with_max_response(mut self, bytes: usize) -> Self {
        self.max_response = bytes;
        self
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Sends a request and returns the whole response, which must be received within `time_limit`.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] if no complete response was received within `time_limit`.
    pub async fn call(
        &self,
        addr: SocketAddr,
        request: http::Request<Bytes>,
        time_limit: Millis,
    ) -> Result<http::Response<Bytes>, HttpError> {
        let received = Cell::new(0);
        let exchange = self.exchange(addr, request, &received);
        match timeout(time_limit.to_duration(), exchange).await {
            Ok(result) => result,
            Err(_) => Err(self.time_out(addr, received.get())),
        }
    }

    /// Sends a request and returns the whole response, without a limit on the total time while data arrives.
    ///
    /// Calls `on_progress` after each wait in which enough data was received. A limit on the total time would depend on the
    /// size of the response and the speed of the link: on a slow link, a long response that times out and is
    /// requested again never completes, and the discarded data fills the link.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] if a wait ends with less data than [`ResponseTimeouts::piece_bytes`], or if the call
    /// fails.
    pub async fn call_while_receiving(
        &self,
        addr: SocketAddr,
        request: http::Request<Bytes>,
        timeouts: ResponseTimeouts,
        on_progress: impl Fn(),
    ) -> Result<http::Response<Bytes>, HttpError> {
        let received = Cell::new(0);
        let mut exchange = pin!(self.exchange(addr, request, &received));
        let mut time_limit = timeouts.first_piece;
        let mut bytes_min = 1;
        loop {
            let last_received = received.get();
            if let Ok(result) = timeout(time_limit.to_duration(), &mut exchange).await {
                return result;
            }
            if received.get() < last_received + bytes_min {
                return Err(self.time_out(addr, received.get()));
            }
            on_progress();
            time_limit = timeouts.next_piece;
            bytes_min = timeouts.piece_bytes;
        }
    }

    fn time_out(&self, addr: SocketAddr, received: usize) -> HttpError {
        // Drops the idle connections to this address: their path may be dead too, which does not show while
        // they are idle, and each one would cost another call its timeout.
        self.idle.borrow_mut().remove(&addr);
        HttpError::Timeout { addr, received }
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        request: http::Request<Bytes>,
        received: &Cell<usize>,
    ) -> Result<http::Response<Bytes>, HttpError> {
        let conn = self.connection(addr).await?;
        let (response, conn) = exchange(conn, addr, request, self.max_response, received).await?;
        if let Some(conn) = conn {
            let mut idle = self.idle.borrow_mut();
            let conns = idle.entry(addr).or_default();
            if conns.len() < MAX_IDLE_CONNECTIONS {
                conns.push(conn);
            }
        }
        Ok(response)
    }

    async fn connection(&self, addr: SocketAddr) -> Result<ServerConn, HttpError> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&addr).and_then(Vec::pop);
            match idle {
                Some(mut conn) => {
                    if conn.is_usable(addr).await {
                        return Ok(conn);
                    }
                }
                None => break,
            }
        }
        open(addr).await
    }
}

/// Opens a connection for calls.
pub(crate) async fn open(addr: SocketAddr) -> Result<ServerConn, HttpError> {
    let conn = ServerConn::open(addr, ()).await;
    conn.context(ConnectSnafu { addr })
}

/// Sends a request and returns the whole response, and the connection if the response leaves it ready for the next request.
/// Counts the bytes of the body in `received`.
pub(crate) async fn exchange(
    mut conn: ServerConn,
    addr: SocketAddr,
    request: http::Request<Bytes>,
    max_response: usize,
    received: &Cell<usize>,
) -> Result<(http::Response<Bytes>, Option<ServerConn>), HttpError> {
    let (mut head, body) = request.into_parts();
    if !head.headers.contains_key(http::header::HOST) {
        let host = addr
            .to_string()
            .parse()
            .expect("an address is a valid header value");
        head.headers.insert(http::header::HOST, host);
    }
    let request = http::Request::from_parts(head, full_body(body));
    let response = conn
        .send(request)
        .await
        .map_err(TrySendError::into_error)
        .context(CallSnafu { addr })?;
    let (head, body) = response.into_parts();
    conn.record_response(&head.headers);
    let on_data = |data: &Bytes| received.set(received.get() + data.len());
    let body = collect_body_with_progress(body, max_response, on_data)
        .await
        .context(ResponseSnafu { addr })?;
    // A connection that the peer closes after this response still appears ready until the close is read,
    // and the next call on it would fail.
    let is_kept = conn.is_ready() && !is_connection_close(&head.headers);
    Ok((
        http::Response::from_parts(head, body),
        is_kept.then_some(conn),
    ))
}

/// Returns `true` if the headers announce that the sender closes the connection after this message.
#[must_use]
pub fn is_connection_close(headers: &http::HeaderMap) -> bool {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .any(|v| v.trim().eq_ignore_ascii_case("close"))
}
