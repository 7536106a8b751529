//! The calling side.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use chicoryrail_core::Millis;
use h2::RecvStream;
use h2::client::ResponseFuture;
use h2::client::SendRequest;
use monoio::net::TcpStream;
use monoio::time::timeout;
use snafu::ResultExt;

use crate::MAX_MESSAGE;
use crate::Reply;
use crate::Request;
use crate::WireError;
use crate::decode;
use crate::encode;
use crate::error::ConnectSnafu;
use crate::error::StreamSnafu;

/// Path of a unary call; every other path is a forwarded caller's request.
pub(crate) const CALL_PATH: &str = "/chicoryrail/call";

/// One other process, over a connection that is opened when first needed and shared by all calls.
///
/// Cloning shares the connection. A call that times out drops it, so that the next call does not
/// wait on a connection whose other end is gone without a word.
#[derive(Clone, Debug)]
pub struct Peer {
    addr: SocketAddr,
    link: Rc<RefCell<Link>>,
}

#[derive(Debug, Default)]
struct Link {
    send: Option<SendRequest<Bytes>>,
    serial: u64,
}

/// A caller's request on its way through another gate.
#[derive(Debug)]
pub struct Forward {
    /// Takes the body.
    pub body: h2::SendStream<Bytes>,
    /// Gives the answer.
    pub answer: ResponseFuture,
    serial: u64,
}

impl Forward {
    /// Returns which connection of the peer carries the request, for [`Peer::give_up`].
    #[must_use]
    pub const fn serial(&self) -> u64 {
        self.serial
    }
}

impl Peer {
    /// Names a process by its inner address; nothing is sent yet.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            link: Rc::default(),
        }
    }

    /// Returns the address of the process.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a call and waits for the reply for at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`WireError`]; [`WireError::not_run`] tells whether the peer may have acted.
    pub async fn call(&self, request: &Request, limit: Millis) -> Result<Reply, WireError> {
        let bytes = encode(request)?;
        let serial = self.link.borrow().serial;
        match timeout(limit.duration(), self.exchange(bytes)).await {
            Ok(result) => result,
            Err(_) => {
                self.drop_link(serial);
                Err(WireError::Timeout { addr: self.addr })
            }
        }
    }

    /// Opens a stream for a caller's request; the body follows on the returned stream.
    ///
    /// # Errors
    ///
    /// Returns a [`WireError`] whose [`WireError::not_run`] is exact here: nothing of the request
    /// left this process unless the stream was opened.
    pub async fn forward(&self, head: http::Request<()>, end: bool) -> Result<Forward, WireError> {
        let (mut send, serial) = self.ready().await?;
        let (answer, body) = send
            .send_request(head, end)
            .context(StreamSnafu { addr: self.addr })?;
        Ok(Forward {
            body,
            answer,
            serial,
        })
    }

    /// Gives up the connection with this serial, see [`Forward::serial`]; what is under way on it
    /// goes on, and the next request opens a new one.
    ///
    /// A peer whose machine has gone sends nothing, so its connection looks well, and each further
    /// request on it would wait for its own deadline.
    pub fn give_up(&self, serial: u64) {
        self.drop_link(serial);
    }

    async fn exchange(&self, bytes: Bytes) -> Result<Reply, WireError> {
        let addr = self.addr;
        let (mut send, _) = self.ready().await?;
        let head = http::Request::post(format!("http://{addr}{CALL_PATH}"))
            .body(())
            .expect("a request of constant parts is valid");
        let (answer, mut body) = send
            .send_request(head, false)
            .context(StreamSnafu { addr })?;
        body.send_data(bytes, true).context(StreamSnafu { addr })?;
        let answer = answer.await.context(StreamSnafu { addr })?;
        if answer.status() != 200 {
            return Err(WireError::Refused {
                addr,
                status: answer.status().as_u16(),
            });
        }
        let bytes = collect(answer.into_body(), addr).await?;
        decode(&bytes)
    }

    async fn ready(&self) -> Result<(SendRequest<Bytes>, u64), WireError> {
        let addr = self.addr;
        let (kept, serial) = {
            let link = self.link.borrow();
            (link.send.clone(), link.serial)
        };
        if let Some(send) = kept {
            match send.ready().await {
                Ok(send) => return Ok((send, serial)),
                Err(_) => self.drop_link(serial),
            }
        }
        let stream = TcpStream::connect(addr)
            .await
            .context(ConnectSnafu { addr })?;
        stream.set_nodelay(true).context(ConnectSnafu { addr })?;
        let io = stream
            .try_into_poll_io()
            .map_err(|(e, _)| e)
            .context(ConnectSnafu { addr })?;
        let (send, connection) = h2::client::Builder::new()
            .initial_window_size(1 << 20)
            .initial_connection_window_size(4 << 20)
            .handshake::<_, Bytes>(io)
            .await
            .context(StreamSnafu { addr })?;
        let serial = {
            let mut link = self.link.borrow_mut();
            link.serial += 1;
            link.send = Some(send.clone());
            link.serial
        };
        let link = Rc::downgrade(&self.link);
        monoio::spawn(async move {
            let _ = connection.await;
            if let Some(link) = link.upgrade() {
                let mut link = link.borrow_mut();
                if link.serial == serial {
                    link.send = None;
                }
            }
        });
        let send = send.ready().await.context(StreamSnafu { addr })?;
        Ok((send, serial))
    }

    fn drop_link(&self, serial: u64) {
        let mut link = self.link.borrow_mut();
        if link.serial == serial {
            link.send = None;
        }
    }
}

/// Collects a message of at most [`MAX_MESSAGE`] bytes.
pub(crate) async fn collect(mut body: RecvStream, addr: SocketAddr) -> Result<Bytes, WireError> {
    let mut all = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data.context(StreamSnafu { addr })?;
        if all.len() + data.len() > MAX_MESSAGE {
            return Err(WireError::TooLarge);
        }
        let _ = body.flow_control().release_capacity(data.len());
        all.extend_from_slice(&data);
    }
    Ok(all.freeze())
}
