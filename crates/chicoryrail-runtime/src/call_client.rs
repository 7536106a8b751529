//! HTTP client for calls whose responses do not name the call.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Millis;
use http::Request;
use http::Response;
use monoio::time::timeout;

use crate::Clock;
use crate::HttpError;
use crate::ServerConn;
use crate::http_client::exchange;
use crate::http_client::open;

/// Connections kept for each address. More would count against the server's connection limit.
const KEPT_MAX: usize = 4;

/// Time after which a connection whose call was not repeated is closed.
const UNUSED_MAX: Millis = Millis(5_000);

/// An HTTP client for calls whose responses do not name the call. Clones share its connections.
///
/// A faulty server may send a response twice, and the copy can't be told from the response to the next call on the
/// connection. So each connection carries one call, or calls that repeat it: those with an equal scope `S`, for items that
/// calls in this scope have succeeded for. An earlier success must mean the same for them as a later one. After any other
/// response the connection is closed.
#[derive(Debug)]
pub struct CallClient<S> {
    kept: Rc<RefCell<Vec<KeptConn<S>>>>,
    clock: Clock,
    max_response: usize,
}

/// A connection that carried calls of one scope.
#[derive(Debug)]
struct KeptConn<S> {
    addr: SocketAddr,
    scope: S,
    /// Items that calls in this scope have succeeded for.
    items: Vec<RangeInclusive<u16>>,
    conn: ServerConn,
    used_at: Millis,
}

impl<S> Clone for CallClient<S> {
    fn clone(&self) -> Self {
        Self {
            kept: Rc::clone(&self.kept),
            ..*self
        }
    }
}

impl<S: PartialEq> CallClient<S> {
    /// Creates a client that accepts response bodies of at most `max_response` bytes.
    #[must_use]
    pub fn new(max_response: usize) -> Self {
        Self {
            kept: Rc::default(),
            clock: Clock::start(),
            max_response,
        }
    }

    /// Closes the connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.kept.borrow_mut().retain(|kept| kept.addr != addr);
    }

    /// Sends a call on a connection of its own, and returns the whole response.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] if no complete response was received within `time_limit`.
    pub async fn call_once(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
        time_limit: Millis,
    ) -> Result<Response<Bytes>, HttpError> {
        let (response, _) = self.send(addr, None, request, time_limit).await?;
        Ok(response)
    }

    /// Sends a call for some items, on the connection of a call that it repeats or on a new one, and returns the whole
    /// response.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] if no complete response was received within `time_limit`.
    pub async fn call_repeatedly(
        &self,
        addr: SocketAddr,
        (scope, items): (S, RangeInclusive<u16>),
        request: Request<Bytes>,
        time_limit: Millis,
    ) -> Result<Response<Bytes>, HttpError> {
        let (conn, mut known) = self.take(addr, &scope, &items).await;
        let (response, conn) = self.send(addr, conn, request, time_limit).await?;
        if let Some(conn) = conn.filter(|_| response.status().is_success()) {
            add_items(&mut known, items);
            self.keep(addr, scope, known, conn);
        }
        Ok(response)
    }

    /// Records that calls for these items no longer repeat earlier ones at this address.
    pub fn forget(&self, addr: SocketAddr, items: &RangeInclusive<u16>) {
        let mut all = self.kept.borrow_mut();
        for kept in all.iter_mut().filter(|kept| kept.addr == addr) {
            let others = kept.items.iter().flat_map(|known| without(known, items));
            kept.items = others.collect();
        }
    }

    async fn send(
        &self,
        addr: SocketAddr,
        conn: Option<ServerConn>,
        request: Request<Bytes>,
        time_limit: Millis,
    ) -> Result<(Response<Bytes>, Option<ServerConn>), HttpError> {
        let received = Cell::new(0);
        let sent = async {
            let conn = match conn {
                Some(conn) => conn,
                None => open(addr).await?,
            };
            exchange(conn, addr, request, self.max_response, &received).await
        };
        timeout(time_limit.to_duration(), sent)
            .await
            .unwrap_or_else(|_| {
                // The path of the other connections may be dead too, which does not show while they are idle.
                self.close_idle(addr);
                let received = received.get();
                Err(HttpError::Timeout { addr, received })
            })
    }

    /// Takes the connection of a scope, if the call repeats earlier ones and it can be used, and the items that are known
    /// in the scope. A call that does not repeat earlier ones gets none, and the connection is closed.
    async fn take(
        &self,
        addr: SocketAddr,
        scope: &S,
        items: &RangeInclusive<u16>,
    ) -> (Option<ServerConn>, Vec<RangeInclusive<u16>>) {
        let found = {
            let mut all = self.kept.borrow_mut();
            let at = all.iter().position(|k| k.addr == addr && k.scope == *scope);
            at.map(|at| all.swap_remove(at))
        };
        let Some(KeptConn {
            mut conn,
            items: known,
            ..
        }) = found
        else {
            return (None, Vec::new());
        };
        let is_repeated = known
            .iter()
            .any(|k| k.start() <= items.start() && items.end() <= k.end());
        let is_usable = is_repeated && conn.is_usable(addr).await;
        (is_usable.then_some(conn), known)
    }

    /// Keeps the connection of a scope, unless there are enough to its address.
    fn keep(&self, addr: SocketAddr, scope: S, items: Vec<RangeInclusive<u16>>, conn: ServerConn) {
        let now = self.clock.now();
        let mut all = self.kept.borrow_mut();
        all.retain(|kept| now.since(kept.used_at) < UNUSED_MAX);
        if all.iter().filter(|kept| kept.addr == addr).count() < KEPT_MAX {
            all.push(KeptConn {
                addr,
                scope,
                items,
                conn,
                used_at: now,
            });
        }
    }
}

/// Adds items to known ones, and joins ranges that overlap or are adjacent.
fn add_items(known: &mut Vec<RangeInclusive<u16>>, items: RangeInclusive<u16>) {
    known.push(items);
    known.sort_by_key(|range| *range.start());
    let mut joined: Vec<RangeInclusive<u16>> = Vec::with_capacity(known.len());
    for range in known.drain(..) {
        match joined.last_mut() {
            Some(last) if u32::from(*range.start()) <= u32::from(*last.end()) + 1 => {
                *last = *last.start()..=*last.end().max(range.end());
            }
            _ => joined.push(range),
        }
    }
    *known = joined;
}

/// Returns what is left of a range without some items.
fn without(
    range: &RangeInclusive<u16>,
    items: &RangeInclusive<u16>,
) -> impl Iterator<Item = RangeInclusive<u16>> {
    let before = items
        .start()
        .checked_sub(1)
        .map(|end| *range.start()..=end.min(*range.end()));
    let after = items
        .end()
        .checked_add(1)
        .map(|start| start.max(*range.start())..=*range.end());
    before
        .into_iter()
        .chain(after)
        .filter(|left| !left.is_empty())
}
