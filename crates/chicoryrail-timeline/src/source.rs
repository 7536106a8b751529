//! Reading one process's ring.

use std::net::SocketAddr;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::Event;
use chicoryrail_runtime::HttpClient;
use http::Request;

use crate::Gap;
use crate::Line;
use crate::Silence;

/// Longest time a process may take for a page of events.
const CALL_LIMIT: Millis = Millis(2_000);

/// Most pages read in one round. A ring holds 8,192 events, a page 1,000; a process that records
/// faster than it is read must not hold the others up.
const PAGES: usize = 10;

/// A process whose events are read.
#[derive(Clone, Debug)]
pub struct Source {
    addr: SocketAddr,
    client: HttpClient,
    last: Option<Event>,
    silent: bool,
}

/// What a round of reading gave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// New events, oldest first.
    pub events: Vec<Event>,
    /// Gaps and changes of silence.
    pub notes: Vec<Line>,
}

impl Source {
    /// Names a process by the address where it shows its events.
    #[must_use]
    pub fn new(addr: SocketAddr, client: HttpClient) -> Self {
        Self {
            addr,
            client,
            last: None,
            silent: false,
        }
    }

    /// Returns the address of the process.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Tells whether the process did not answer last time.
    #[must_use]
    pub const fn is_silent(&self) -> bool {
        self.silent
    }

    /// Reads what is new.
    pub async fn read(&mut self) -> News {
        let mut news = News::default();
        for _ in 0..PAGES {
            let from = self.last.as_ref().map_or(0, |e| e.seq);
            let page = self.page(from).await;
            self.note_silence(page.is_none(), &mut news);
            let Some(page) = page else { break };
            if !self.take(page, &mut news) {
                break;
            }
        }
        news
    }

    /// Takes a page that was asked for from the last event read on; tells whether there may be more.
    ///
    /// The page must start with that same event. A later one means that the ring has dropped events
    /// in between. Nothing, or another event under its number, means that another run of the process
    /// answers, which counts from 0 again.
    fn take(&mut self, mut page: Vec<Event>, news: &mut News) -> bool {
        let Some(last) = self.last.take() else {
            self.note_lost(0, page.first(), news);
            return self.keep(page, news);
        };
        match page.first() {
            Some(first) if *first == last => {
                page.remove(0);
                if page.is_empty() {
                    self.last = Some(last);
                    return false;
                }
            }
            Some(first) if first.seq > last.seq => {
                self.note_lost(last.seq + 1, Some(first), news);
            }
            _ => {
                news.notes.push(Line::Gap(Gap {
                    process: self.addr,
                    host: last.host.to_string(),
                    program: last.program,
                    first: last.seq + 1,
                    lost: 0,
                    restarted: true,
                }));
                return true;
            }
        }
        self.keep(page, news)
    }

    fn keep(&mut self, page: Vec<Event>, news: &mut News) -> bool {
        self.last = page.last().cloned();
        let more = page.len() > 1;
        news.events.extend(page);
        more
    }

    fn note_lost(&self, expected: u64, first: Option<&Event>, news: &mut News) {
        if let Some(first) = first.filter(|e| e.seq > expected) {
            news.notes.push(Line::Gap(Gap {
                process: self.addr,
                host: first.host.to_string(),
                program: first.program.clone(),
                first: expected,
                lost: first.seq - expected,
                restarted: false,
            }));
        }
    }

    fn note_silence(&mut self, silent: bool, news: &mut News) {
        if std::mem::replace(&mut self.silent, silent) != silent {
            let silence = Silence { process: self.addr };
            news.notes.push(if silent {
                Line::Silent(silence)
            } else {
                Line::Back(silence)
            });
        }
    }

    async fn page(&self, from: u64) -> Option<Vec<Event>> {
        let request = Request::get(format!("/events?from={from}"))
            .body(Bytes::new())
            .ok()?;
        let answer = self
            .client
            .call(self.addr, request, CALL_LIMIT)
            .await
            .ok()?;
        serde_json::from_slice(answer.body()).ok()
    }
}
