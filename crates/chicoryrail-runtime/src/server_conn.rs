//! A connection to a server.

use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;

use chicoryrail_core::Millis;
use futures_util::future::select;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use monoio_compat::hyper::MonoioIo;
use socket2::Socket;
use tokio_util::sync::CancellationToken;

use crate::Body;
use crate::Clock;
use crate::RequestTag;
use crate::connect::connect;
use crate::connect::is_path_lost;
use crate::head_limit::HeadLimit;
use crate::head_limit::HeadLimitedIo;

/// Header in which a server states how long it keeps an idle connection open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Requests that a connection remembers. A connection that would have to remember more is closed.
const CARRIED_MAX: usize = 64;

/// Largest read buffer, which is how far a response is read ahead of its caller. With hyper's default of 400 KB,
/// 200 callers that read nothing of a 540 KB response grew the process by 20.1 MB; with 64 KiB, by 12.9 MB.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;

/// Time before the end of a server's keep-alive timeout from which a connection is not used any more. A request that is
/// sent later may cross the server's close, and is lost.
const KEEP_ALIVE_MARGIN: Millis = Millis(300);

/// A connection that carries at most one request at a time. Dropping it resets the connection.
///
/// A faulty server may send a response twice. The copy names its request, so it can be taken only for the response to
/// another send of that request. Therefore a connection remembers the requests that it carried, and
/// [`ServerPool::acquire`](crate::ServerPool::acquire) does not return it for them.
#[derive(Debug)]
pub struct ServerConn {
    sender: SendRequest<Body>,
    head_limit: HeadLimit,
    closed: CancellationToken,
    /// Cancelled once the connection is closed.
    ended: CancellationToken,
    /// The connection's socket, until the connection is closed.
    socket: Weak<Socket>,
    clock: Clock,
    /// Time for which the server keeps the connection open after a response; `None` if it states none.
    keep_alive: Option<Millis>,
    /// When the last response arrived that was recorded.
    answered_at: Millis,
    /// The request for which the connection was taken, until it is sent.
    request: Option<RequestTag>,
    /// Requests that were sent on the connection, and may be sent again.
    carried: Vec<RequestTag>,
}

impl ServerConn {
    /// Opens a connection. `guard` is dropped when the connection has ended.
    pub(crate) async fn open<T: 'static>(addr: SocketAddr, guard: T) -> io::Result<Self> {
        let (stream, socket) = connect(addr).await?;
        let socket = Rc::new(socket);
        let weak = Rc::downgrade(&socket);
        let io = stream.try_into_poll_io().map_err(|(e, _)| e)?;
        let head_limit = HeadLimit::default();
        let io = HeadLimitedIo::new(MonoioIo::new(io), head_limit.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        let closed = CancellationToken::new();
        let ended = CancellationToken::new();
        let (stop, end) = (closed.clone(), ended.clone().drop_guard());
        monoio::spawn(async move {
            let stopped = std::pin::pin!(stop.cancelled());
            // Dropping the connection here resets it. Otherwise hyper would first finish writing an abandoned
            // request.
            select(stopped, connection).await;
            drop((socket, guard, end));
        });
        Ok(Self {
            sender,
            head_limit,
            closed,
            ended,
            socket: weak,
            clock: Clock::start(),
            keep_alive: None,
            answered_at: Millis::ZERO,
            request: None,
            carried: Vec::new(),
        })
    }

    /// Sends a request and returns the response, whose body may still be arriving. What the server sends before the head
    /// of the response is complete is limited to 256 KiB.
    ///
    /// # Errors
    ///
    /// Returns why there is no response, with the request if nothing of it was written.
    pub async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Body>>> {
        self.carried.extend(self.request.take());
        self.head_limit.begin();
        let response = self.sender.try_send_request(request).await;
        self.head_limit.end();
        response
    }

    /// Waits until the next request can be sent; returns `false` if the connection has ended.
    pub(crate) async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sets the request that is sent next.
    pub(crate) const fn set_request(&mut self, request: RequestTag) {
        self.request = Some(request);
    }

    /// Returns `true` if the request was sent on the connection and may be sent again.
    pub(crate) fn has_carried(&self, request: RequestTag) -> bool {
        self.carried.contains(&request)
    }

    /// Records that the request that was sent last has its final response, and is not sent again.
    pub fn settle(&mut self) {
        self.carried.pop();
    }

    /// Returns `true` if a request can be sent at once.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns `true` if the connection may carry more requests after a complete response.
    pub(crate) fn is_reusable(&self) -> bool {
        !self.sender.is_closed() && self.carried.len() < CARRIED_MAX
    }

    /// Returns `true` if a request can be sent: the server has neither closed the connection nor sent anything since the
    /// last response.
    pub(crate) async fn is_usable(&mut self, addr: SocketAddr) -> bool {
        !self.sender.is_closed()
            && self.sender.ready().await.is_ok()
            && !self.is_expired()
            && !is_path_lost(addr)
            && self.is_at_rest()
    }

    /// Returns `true` if nothing has arrived that is not read yet. The HTTP layer closes an idle connection on which
    /// something arrives, but only after the event loop has noticed it.
    fn is_at_rest(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = self.socket.upgrade().map(|socket| socket.peek(&mut byte));
        peeked.is_some_and(|peeked| peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock))
    }

    /// Closes the connection, and returns when it is closed.
    pub(crate) async fn close(self) {
        let ended = self.ended.clone();
        drop(self);
        ended.cancelled().await;
    }

    /// Records the head of a response, which may state how long the server keeps the connection open.
    pub fn record_response(&mut self, headers: &HeaderMap) {
        self.keep_alive = keep_alive_timeout(headers).or(self.keep_alive);
        if self.keep_alive.is_some() {
            self.answered_at = self.clock.now();
        }
    }

    /// Returns `true` if the server may close the connection while the next request is on its way.
    fn is_expired(&self) -> bool {
        self.keep_alive.is_some_and(|time| {
            let idle = self.clock.now().since(self.answered_at);
            idle + KEEP_ALIVE_MARGIN >= time
        })
    }
}

/// Returns the timeout that a `Keep-Alive` header states, in whole seconds; `None` without a valid one.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Millis> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut params = value.split(',').filter_map(|param| param.split_once('='));
    let (_, seconds) = params.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(Millis(seconds.saturating_mul(1_000)))
}

impl Drop for ServerConn {
    fn drop(&mut self) {
        self.closed.cancel();
    }
}
