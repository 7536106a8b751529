//! A connection to a server that carries a request.

use std::rc::Rc;

use chicoryrail_core::Millis;
use http::HeaderMap;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use monoio::time::timeout;

use crate::Body;
use crate::BodySend;
use crate::BodySpent;
use crate::RequestBody;
use crate::SendObserver;
use crate::ServerConn;

/// A connection that carries a request. It becomes a [`ServerConn`] again only after the whole body of the request was
/// sent; dropping it before resets the connection, which ends the body visibly.
#[derive(Debug)]
pub struct BusyConn {
    /// Dropped first, so that nothing more is taken from the caller.
    send: BodySend,
    conn: ServerConn,
}

impl BusyConn {
    /// Assigns a connection to a send of `body`, and returns the bytes to send. Its end is reported to `observer`.
    ///
    /// # Errors
    ///
    /// Returns the connection if the body can't be sent again.
    pub fn begin(
        conn: ServerConn,
        body: &Rc<RequestBody>,
        observer: Option<SendObserver>,
    ) -> Result<(Self, Body), Box<(ServerConn, BodySpent)>> {
        match body.begin_send() {
            Ok((mut send, bytes)) => {
                if let Some(observer) = observer {
                    send.observe(observer);
                }
                Ok((Self { send, conn }, bytes))
            }
            Err(spent) => Err(Box::new((conn, spent))),
        }
    }

    /// Sends a request and returns the response, like [`ServerConn::send`].
    ///
    /// # Errors
    ///
    /// Returns why there is no response, with the request if nothing of it was written.
    pub async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Body>>> {
        let response = self.conn.send(request).await;
        if response.is_ok() {
            self.send.record_response();
        }
        response
    }

    /// Records the head of a response, like [`ServerConn::record_response`].
    pub fn record_response(&mut self, headers: &HeaderMap) {
        self.conn.record_response(headers);
    }

    /// Records that the request is not sent again, like [`ServerConn::settle`].
    pub fn settle(&mut self) {
        self.conn.settle();
    }

    /// Returns `true` if the whole body of the request was handed to the connection.
    #[must_use]
    pub fn is_sent(&self) -> bool {
        self.send.is_sent()
    }

    /// Returns the idle connection after the complete response; `None` if the body was not sent to its end. The connection
    /// is reset then.
    #[must_use]
    pub fn into_idle(self) -> Option<ServerConn> {
        let Self { send, conn } = self;
        send.is_sent().then_some(conn)
    }

    /// Sends the rest of the body after the complete response, for at most `limit`, and returns the idle connection; `None`
    /// if the body did not get to its end.
    pub async fn finish(mut self, limit: Millis) -> Option<ServerConn> {
        let sent = async { self.send.wait_sent().await && self.conn.ready().await };
        let is_sent = timeout(limit.to_duration(), sent).await == Ok(true);
        self.into_idle().filter(|_| is_sent)
    }
}
