//! The called side.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Millis;
use futures_util::FutureExt;
use futures_util::future::Shared;
use futures_util::pin_mut;
use futures_util::select_biased;
use h2::RecvStream;
use h2::server::SendResponse;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use monoio::time::timeout;

use crate::Reply;
use crate::Request;
use crate::decode;
use crate::encode;
use crate::peer::CALL_PATH;
use crate::peer::collect;

/// What a process does with calls and forwarded requests.
pub trait Handler: 'static {
    /// Answers a call.
    fn call(&self, request: Request) -> impl Future<Output = Reply>;

    /// Takes a caller's request that another gate sent on, and answers it on `respond`.
    fn forward(
        &self,
        request: http::Request<RecvStream>,
        respond: SendResponse<Bytes>,
    ) -> impl Future<Output = ()>;
}

/// Bounds on what peers may use.
#[derive(Clone, Copy, Debug)]
pub struct PeerLimits {
    /// Streams open at a time on one connection. A peer that opens more waits; without the bound a
    /// burst at one process would take the memory of another.
    pub streams: u32,
    /// Time in which a connection must complete its HTTP/2 greeting.
    pub greeting: Millis,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            streams: 10_000,
            greeting: Millis(2_000),
        }
    }
}

/// Serves the inner protocol until `stop` completes.
///
/// At the stop every connection is told to open no further streams; streams that are open end in
/// their own time.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    limits: PeerLimits,
    handler: Rc<H>,
    stop: impl Future<Output = ()> + 'static,
) {
    let stop = stop.shared();
    let mut stopped = stop.clone();
    loop {
        let accepted = listener.accept().fuse();
        pin_mut!(accepted);
        select_biased! {
            () = stopped => return,
            result = accepted => match result {
                Ok((stream, addr)) => {
                    monoio::spawn(connection(stream, addr, limits, Rc::clone(&handler), stop.clone()));
                }
                // Out of file descriptors: a short rest in place of a busy loop.
                Err(_) => monoio::time::sleep(Millis(10).duration()).await,
            },
        }
    }
}

async fn connection<H: Handler, S: Future<Output = ()>>(
    stream: TcpStream,
    addr: SocketAddr,
    limits: PeerLimits,
    handler: Rc<H>,
    mut stop: Shared<S>,
) {
    let _ = stream.set_nodelay(true);
    let Ok(io) = stream.try_into_poll_io() else {
        return;
    };
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(limits.streams)
        .initial_window_size(1 << 20)
        .initial_connection_window_size(4 << 20);
    let greeting = builder.handshake::<_, Bytes>(io);
    let Ok(Ok(mut connection)) = timeout(limits.greeting.duration(), greeting).await else {
        return;
    };
    let mut stopping = false;
    loop {
        let next = if stopping {
            connection.accept().await
        } else {
            let accept = connection.accept().fuse();
            pin_mut!(accept);
            select_biased! {
                () = stop => None,
                next = accept => match next {
                    None => return,
                    next => next,
                },
            }
        };
        match next {
            None if stopping => return,
            None => {
                stopping = true;
                connection.graceful_shutdown();
            }
            Some(Err(_)) => return,
            Some(Ok((request, respond))) => {
                let handler = Rc::clone(&handler);
                monoio::spawn(async move {
                    if request.uri().path() == CALL_PATH {
                        answer(request, respond, addr, &*handler).await;
                    } else {
                        handler.forward(request, respond).await;
                    }
                });
            }
        }
    }
}

async fn answer<H: Handler>(
    request: http::Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    addr: SocketAddr,
    handler: &H,
) {
    let bytes = collect(request.into_body(), addr).await;
    let Some(request) = bytes.ok().and_then(|b| decode::<Request>(&b).ok()) else {
        let bad = http::Response::builder()
            .status(400)
            .body(())
            .expect("a constant answer is valid");
        let _ = respond.send_response(bad, true);
        return;
    };
    let reply = handler.call(request).await;
    let Ok(bytes) = encode(&reply) else {
        respond.send_reset(h2::Reason::INTERNAL_ERROR);
        return;
    };
    if let Ok(mut body) = respond.send_response(http::Response::new(()), false) {
        let _ = body.send_data(bytes, true);
    }
}
