//! A server that writes its responses byte by byte, and reads on after an early one.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryrail_core::Member;
use chicoryrail_platform::call_header;
use monoio::net::TcpListener;
use monoio::time::sleep;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;

use super::reader::Reader;
use super::reader::field;
use super::ready_member;

/// What a raw server answers before it has read the body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Early {
    /// It refuses the request as not run.
    Refusal,
    /// It is not the server of the request.
    Misdirected,
    /// It failed.
    Failure,
    /// It accepted the request.
    Success,
}

/// What a raw server does behind its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It waits for the next request.
    Keep,
    /// It ends the connection in order.
    Close,
    /// It resets the connection.
    Reset,
}

/// A request as a raw server read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    pub id: String,
    /// The head without its final empty line, in lower case.
    pub head: String,
    /// The body, if it came to its end; otherwise the connection broke.
    pub body: Option<Vec<u8>>,
    /// Whether it was answered early.
    pub early: Option<Early>,
}

type Respond = dyn Fn(&str) -> (Vec<u8>, End);

/// A server without a state of its own, that runs each request whose body it has read.
pub struct RawServer {
    pub member: Member,
    /// How the next requests are answered, and how many of them.
    early: Cell<Option<(Early, usize)>>,
    /// Returns the bytes that answer the request with an id, and what follows.
    respond: Box<Respond>,
    received: RefCell<Vec<Received>>,
}

impl RawServer {
    /// Starts a server that answers each request with 200.
    pub fn start(name: &str) -> Rc<Self> {
        let stamp = call_header::UPSTREAM_STAMP;
        Self::start_with(name, move |id| {
            (response("200 OK", id, stamp.as_str()), End::Keep)
        })
    }

    /// Starts a server that answers a request with the bytes that `respond` returns for its id.
    pub fn start_with(name: &str, respond: impl Fn(&str) -> (Vec<u8>, End) + 'static) -> Rc<Self> {
        let addr: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
        // Accepted connections inherit it: closing one resets it.
        socket.set_linger(Some(Duration::ZERO)).unwrap();
        socket.bind(&addr.into()).unwrap();
        socket.listen(128).unwrap();
        socket.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(socket.into()).unwrap();
        let server = Rc::new(Self {
            member: ready_member(name, "desk", listener.local_addr().unwrap()),
            early: Cell::default(),
            respond: Box::new(respond),
            received: RefCell::default(),
        });
        let serving = Rc::clone(&server);
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = Rc::clone(&serving);
                monoio::spawn(async move { server.serve(Reader::new(stream)).await });
            }
        });
        server
    }

    /// Answers the next `count` requests before their bodies are read.
    pub fn answer_early(&self, early: Early, count: usize) {
        self.early.set((count > 0).then_some((early, count)));
    }

    /// Returns the requests whose bodies have come to an end, whole or not.
    pub fn received(&self) -> Vec<Received> {
        self.received.borrow().clone()
    }

    fn take_early(&self) -> Option<Early> {
        let (early, count) = self.early.get()?;
        self.early.set((count > 1).then_some((early, count - 1)));
        Some(early)
    }

    async fn serve(&self, mut reader: Reader) -> io::Result<()> {
        loop {
            let head = reader.head().await?;
            if head.starts_with("get /healthz ") {
                let healthy = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                reader.write(healthy.to_vec()).await?;
                continue;
            }
            let id = field(&head, call_header::REQUEST_ID.as_str()).unwrap_or_default();
            let early = self.take_early();
            if let Some(early) = early {
                let (not_run, stamp) = (&call_header::NOT_RUN, &call_header::UPSTREAM_STAMP);
                let bytes = match early {
                    Early::Refusal => response("503 Service Unavailable", &id, not_run.as_str()),
                    Early::Misdirected => {
                        response("421 Misdirected Request", &id, not_run.as_str())
                    }
                    Early::Failure => response("500 Internal Server Error", &id, stamp.as_str()),
                    Early::Success => response("200 OK", &id, stamp.as_str()),
                };
                reader.write(bytes).await?;
            }
            let body = reader.body(&head).await;
            let (body, error) = match body {
                Ok(body) => (Some(body), None),
                Err(error) => (None, Some(error)),
            };
            self.received.borrow_mut().push(Received {
                id: id.clone(),
                head,
                body,
                early,
            });
            if let Some(error) = error {
                return Err(error);
            }
            if early.is_none() {
                let (bytes, end) = (self.respond)(&id);
                reader.write(bytes).await?;
                match end {
                    End::Keep => {}
                    End::Close => return reader.close().await,
                    End::Reset => {
                        // What was sent before is read first.
                        sleep(Duration::from_millis(20)).await;
                        return Ok(());
                    }
                }
            }
        }
    }
}

/// Returns a complete response with an empty body and the given header.
pub fn response(status: &str, id: &str, header: &str) -> Vec<u8> {
    let id_header = call_header::REQUEST_ID;
    format!("HTTP/1.1 {status}\r\n{id_header}: {id}\r\n{header}: x\r\ncontent-length: 0\r\n\r\n")
        .into_bytes()
}

/// Returns a complete successful response with a body of so many bytes `r`.
pub fn response_with_body(id: &str, body_bytes: usize) -> Vec<u8> {
    let (id_header, stamp) = (call_header::REQUEST_ID, call_header::UPSTREAM_STAMP);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{id_header}: {id}\r\n{stamp}: x\r\ncontent-length: {body_bytes}\r\n\r\n"
    );
    let mut response = head.into_bytes();
    response.resize(response.len() + body_bytes, b'r');
    response
}
