//! An HTTP/1.1 listener whose handler may close the connection instead of responding.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;

use chicoryrail_runtime::Body;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::SettingError;
use chicoryrail_runtime::bind_listener;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::exit_with_error;
use chicoryrail_runtime::init_logs;
use chicoryrail_runtime::stop_on_signal;
use futures_util::future::Either;
use futures_util::future::select;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;
use snafu::Snafu;

use crate::ReadGate;
use crate::read_gate::GatedIo;

/// The error with which a handler closes the connection without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the connection is closed without a response"))]
pub struct ConnectionCut;

/// A bound listener with a limit on open connections.
///
/// It exists because [`chicoryrail_runtime::serve_http`] always responds, and a stand-in must be able to lose a
/// response.
pub struct Listener {
    tcp: TcpListener,
    max_connections: u32,
    open_connections: Rc<Cell<u32>>,
    refused_connections: Rc<Cell<u64>>,
    crash: CancellationToken,
    gate: ReadGate,
}

impl Listener {
    /// Binds `addr`, the value of `--listen`; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// Returns an error that names the flag and the address if it can't be bound.
    pub fn bind(addr: SocketAddr) -> Result<Self, SettingError> {
        Self::bind_flag("listen", addr)
    }

    /// Binds `addr`, the value of the flag `flag`.
    fn bind_flag(flag: &'static str, addr: SocketAddr) -> Result<Self, SettingError> {
        Ok(Self {
            tcp: bind_listener(flag, addr)?,
            max_connections: u32::MAX,
            open_connections: Rc::default(),
            refused_connections: Rc::default(),
            crash: CancellationToken::new(),
            gate: ReadGate::default(),
        })
    }

    /// Limits the open connections to `max`; further connections are closed at once.
    #[must_use]
    pub fn with_max_connections(mut self, max: u32) -> Self {
        self.max_connections = max;
        self
    }

    /// Stops the listener and closes its open connections when `crash` is cancelled, as the end of a process would.
    #[must_use]
    pub fn with_crash(mut self, crash: CancellationToken) -> Self {
        self.crash = crash;
        self
    }

    /// Stalls accepting and reading while `gate` is closed.
    #[must_use]
    pub fn with_gate(mut self, gate: ReadGate) -> Self {
        self.gate = gate;
        self
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.tcp.local_addr()
    }

    /// Returns a counter of the connections that were closed because of the limit.
    #[must_use]
    pub fn refused_connections(&self) -> Rc<Cell<u64>> {
        Rc::clone(&self.refused_connections)
    }

    /// Accepts connections until `stop` is cancelled; open connections live until the process ends or crashes. A request's
    /// extensions contain the `SocketAddr` of its caller.
    pub async fn serve<H, F>(self, stop: CancellationToken, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + 'static,
        F: Future<Output = Result<Response<Body>, ConnectionCut>> + 'static,
    {
        let handler = Rc::new(handler);
        loop {
            let accepted = std::pin::pin!(self.accept());
            let stopped = std::pin::pin!(stop.cancelled());
            let crashed = std::pin::pin!(self.crash.cancelled());
            let stopped = select(stopped, crashed);
            let (stream, peer) = match select(accepted, stopped).await {
                Either::Left((Ok(accepted), _)) => accepted,
                Either::Left((Err(_), _)) => continue,
                Either::Right(_) => return,
            };
            if self.open_connections.get() >= self.max_connections {
                self.refused_connections
                    .set(self.refused_connections.get() + 1);
                continue;
            }
            self.open_connections.set(self.open_connections.get() + 1);
            let (open_connections, handler) =
                (Rc::clone(&self.open_connections), Rc::clone(&handler));
            let (crash, gate) = (self.crash.clone(), self.gate.clone());
            monoio::spawn(async move {
                let served = std::pin::pin!(serve_connection(stream, peer, gate, handler));
                let crashed = std::pin::pin!(crash.cancelled());
                select(served, crashed).await;
                open_connections.set(open_connections.get() - 1);
            });
        }
    }

    async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        self.gate.wait_open().await;
        let accepted = self.tcp.accept().await;
        // The gate may have been closed since.
        self.gate.wait_open().await;
        accepted
    }
}

async fn serve_connection<H, F>(stream: TcpStream, peer: SocketAddr, gate: ReadGate, handler: Rc<H>)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<Body>, ConnectionCut>> + 'static,
{
    let _ = stream.set_nodelay(true);
    let Ok(io) = stream.try_into_poll_io() else {
        return;
    };
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(peer);
        handler(request)
    });
    let _ = http1::Builder::new()
        .half_close(false)
        .serve_connection(GatedIo::new(MonoioIo::new(io), gate), service)
        .await;
}

/// Runs a stand-in as a process: binds `addr`, prints `listening ADDR` and serves until SIGTERM or SIGINT.
///
/// `flag` is the command-line flag that set `addr`; an error names it.
pub fn run_stand_in<S, F>(flag: &'static str, addr: SocketAddr, serve: S) -> ExitCode
where
    S: FnOnce(Listener, CancellationToken) -> F,
    F: Future<Output = ()>,
{
    init_logs();
    let result = block_on(async {
        let stop = CancellationToken::new();
        stop_on_signal(stop.clone()).map_err(|e| format!("signals: {e}"))?;
        let listener = Listener::bind_flag(flag, addr).map_err(|e| e.to_string())?;
        println!("listening {}", listener.addr().map_err(|e| e.to_string())?);
        serve(listener, stop).await;
        Ok::<_, String>(())
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => exit_with_error(&text),
    }
}
