//! A small HTTP/1.1 client for the platform, targets' control and tools.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Millis;
use monoio::time::timeout;
use snafu::ResultExt;
use snafu::Snafu;

use crate::ServerConn;
use crate::body::collect_pieces;
use crate::full;

/// Idle connections kept for each address. Control calls rarely overlap; more would count against
/// the connection limit of a target.
const IDLE_KEPT: usize = 4;

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// The connection could not be made; nothing was sent.
    #[snafu(display("connect to {addr}: {source}"))]
    Connect {
        /// Address called.
        addr: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The call was sent, wholly or in part, and has no whole answer.
    #[snafu(display("call to {addr}: {source}"))]
    Call {
        /// Address called.
        addr: SocketAddr,
        /// What the HTTP layer says.
        source: hyper::Error,
    },
    /// The answer's body was cut or too long.
    #[snafu(display("answer of {addr}: {source}"))]
    Answer {
        /// Address called.
        addr: SocketAddr,
        /// What went wrong.
        source: io::Error,
    },
    /// No whole answer came in time.
    #[snafu(display("no whole answer from {addr} in time, {received} bytes came"))]
    Timeout {
        /// Address called.
        addr: SocketAddr,
        /// Bytes of the answer's body that came.
        received: usize,
    },
}

/// How long a call waits for an answer of any length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerWait {
    /// Longest wait for its first piece.
    pub first: Millis,
    /// Longest wait for each further piece.
    pub further: Millis,
}

type Idle = HashMap<SocketAddr, Vec<ServerConn>>;

/// A client that keeps idle connections; clones share them.
///
/// Bodies are held whole, up to a limit, so it is for control traffic and tools; callers' requests
/// are streamed by the router.
#[derive(Clone, Debug)]
pub struct HttpClient {
    idle: Rc<RefCell<Idle>>,
    limit: usize,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self {
            idle: Rc::default(),
            limit: 8 << 20,
        }
    }
}

impl HttpClient {
    /// Sets the longest answer that is taken, in bytes.
    #[must_use]
    pub fn with_limit(mut self, bytes: usize) -> Self {
        self.limit = bytes;
        self
    }

    /// Sends a request and returns the whole answer, which must be in within `limit`.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] where no whole answer came within `limit`.
    pub async fn call(
        &self,
        addr: SocketAddr,
        request: http::Request<Bytes>,
        limit: Millis,
    ) -> Result<http::Response<Bytes>, HttpError> {
        let received = Cell::new(0);
        let exchange = self.exchange(addr, request, &received);
        match timeout(limit.duration(), exchange).await {
            Ok(result) => result,
            Err(_) => Err(self.gave_up(addr, received.get())),
        }
    }

    /// Sends a request and returns the whole answer, which may take any time while more of it arrives.
    ///
    /// A bound on the whole would have to know the size of the answer and the speed of the link: given up on a slow
    /// link and asked for again, a long answer never gets through and fills the link with what is thrown away.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] where a wait ended without a further piece of the answer.
    pub async fn call_while_arriving(
        &self,
        addr: SocketAddr,
        request: http::Request<Bytes>,
        wait: AnswerWait,
        arrived: impl Fn(),
    ) -> Result<http::Response<Bytes>, HttpError> {
        let received = Cell::new(0);
        let mut exchange = pin!(self.exchange(addr, request, &received));
        let mut limit = wait.first;
        loop {
            let before = received.get();
            if let Ok(result) = timeout(limit.duration(), &mut exchange).await {
                return result;
            }
            if received.get() == before {
                return Err(self.gave_up(addr, before));
            }
            arrived();
            limit = wait.further;
        }
    }

    fn gave_up(&self, addr: SocketAddr, received: usize) -> HttpError {
        // A connection that went silent for good looks idle; the others to the same address
        // may have gone silent with it, and each would cost one more call its time.
        self.idle.borrow_mut().remove(&addr);
        HttpError::Timeout { addr, received }
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        request: http::Request<Bytes>,
        received: &Cell<usize>,
    ) -> Result<http::Response<Bytes>, HttpError> {
        let (mut head, body) = request.into_parts();
        if !head.headers.contains_key(http::header::HOST) {
            let host = addr
                .to_string()
                .parse()
                .expect("an address is a valid header");
            head.headers.insert(http::header::HOST, host);
        }
        let mut conn = self.connection(addr).await?;
        let request = http::Request::from_parts(head, full(body));
        let answer = conn
            .send
            .send_request(request)
            .await
            .context(CallSnafu { addr })?;
        let (head, body) = answer.into_parts();
        let count = |piece: &Bytes| received.set(received.get() + piece.len());
        let body = collect_pieces(body, self.limit, count)
            .await
            .context(AnswerSnafu { addr })?;
        // A connection that the other side closes after this answer still looks ready until its
        // close is read; the next call on it would be lost.
        if conn.send.is_ready() && !says_close(&head.headers) {
            let mut idle = self.idle.borrow_mut();
            let kept = idle.entry(addr).or_default();
            if kept.len() < IDLE_KEPT {
                kept.push(conn);
            }
        }
        Ok(http::Response::from_parts(head, body))
    }

    async fn connection(&self, addr: SocketAddr) -> Result<ServerConn, HttpError> {
        loop {
            let kept = self.idle.borrow_mut().get_mut(&addr).and_then(Vec::pop);
            match kept {
                Some(conn) if conn.send.is_ready() => return Ok(conn),
                Some(_) => {}
                None => break,
            }
        }
        let conn = ServerConn::open(addr, ()).await;
        conn.context(ConnectSnafu { addr })
    }
}

/// Tells whether the sender of a message closes the connection after it.
#[must_use]
pub fn says_close(headers: &http::HeaderMap) -> bool {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .any(|v| v.trim().eq_ignore_ascii_case("close"))
}
