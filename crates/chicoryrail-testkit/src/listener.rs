//! An HTTP/1.1 listener whose handler may close the connection in place of an answer.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;

use chicoryrail_runtime::Body;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::SettingError;
use chicoryrail_runtime::bind;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::exit_with;
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

/// Says that the connection is closed without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the connection is closed without an answer"))]
pub struct Cut;

/// A bound listener with a limit on its connections.
///
/// [`chicoryrail_runtime::serve_http`] always answers; a stand-in must be able to lose an answer.
pub struct Listener {
    tcp: TcpListener,
    most: u32,
    open: Rc<Cell<u32>>,
    refused: Rc<Cell<u64>>,
}

impl Listener {
    /// Binds `addr`, the value of `--listen`; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// Returns the flag and the value where the address can't be listened at.
    pub fn bind(addr: SocketAddr) -> Result<Self, SettingError> {
        Self::of_flag("listen", addr)
    }

    fn of_flag(flag: &'static str, addr: SocketAddr) -> Result<Self, SettingError> {
        Ok(Self {
            tcp: bind(flag, addr)?,
            most: u32::MAX,
            open: Rc::default(),
            refused: Rc::default(),
        })
    }

    /// Sets the most connections that are open at a time; one more is closed at once.
    #[must_use]
    pub fn with_connections(mut self, most: u32) -> Self {
        self.most = most;
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
    pub fn refused(&self) -> Rc<Cell<u64>> {
        Rc::clone(&self.refused)
    }

    /// Serves until `stop` is cancelled; the connections end with the process. A request's extensions
    /// hold the `SocketAddr` of its caller.
    pub async fn serve<H, F>(self, stop: CancellationToken, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + 'static,
        F: Future<Output = Result<Response<Body>, Cut>> + 'static,
    {
        let handler = Rc::new(handler);
        loop {
            let accepted = std::pin::pin!(self.tcp.accept());
            let stopped = std::pin::pin!(stop.cancelled());
            let (stream, peer) = match select(accepted, stopped).await {
                Either::Left((Ok(accepted), _)) => accepted,
                Either::Left((Err(_), _)) => continue,
                Either::Right(_) => return,
            };
            if self.open.get() >= self.most {
                self.refused.set(self.refused.get() + 1);
                continue;
            }
            self.open.set(self.open.get() + 1);
            let (open, handler) = (Rc::clone(&self.open), Rc::clone(&handler));
            monoio::spawn(async move {
                connection(stream, peer, handler).await;
                open.set(open.get() - 1);
            });
        }
    }
}

async fn connection<H, F>(stream: TcpStream, peer: SocketAddr, handler: Rc<H>)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<Body>, Cut>> + 'static,
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
        .serve_connection(MonoioIo::new(io), service)
        .await;
}

/// Runs a stand-in as a process: binds, prints `listening ADDR`, serves until SIGTERM or SIGINT.
///
/// `flag` is the one that names `addr`.
pub fn stand_in<S, F>(flag: &'static str, addr: SocketAddr, serve: S) -> ExitCode
where
    S: FnOnce(Listener, CancellationToken) -> F,
    F: Future<Output = ()>,
{
    init_logs();
    let result = block_on(async {
        let stop = CancellationToken::new();
        stop_on_signal(stop.clone()).map_err(|e| format!("signals: {e}"))?;
        let listener = Listener::of_flag(flag, addr).map_err(|e| e.to_string())?;
        println!("listening {}", listener.addr().map_err(|e| e.to_string())?);
        serve(listener, stop).await;
        Ok::<_, String>(())
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => exit_with(&text),
    }
}
