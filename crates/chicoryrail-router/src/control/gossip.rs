//! Datagrams between hosts.
//!
//! They carry what must be known within milliseconds, or while the store is away: who leads, who holds
//! which keys, and to the leader the keys that were asked for. A lost one is made good by the next.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use bincode::Decode;
use bincode::Encode;
use bincode::config::standard;
use chicoryrail_core::HostName;
use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::keys::KeySpan;
use chicoryrail_ownership::keys::OwnedSpan;
use monoio::net::udp::UdpSocket;

use crate::control::tenure::Tenure;
use crate::state::Router;

/// Time between two datagrams to each other host without news. It is also how soon a leader that was cut
/// off from the store hears of its successor.
const EVERY: Millis = Millis(400);

/// Bytes of a datagram that is read; what is sent stays far below.
const LONGEST: usize = 8 << 10;

/// Keys of one report; a datagram should fit into one packet.
const KEYS_MOST: usize = 400;

/// What a host tells another.
#[derive(Clone, Debug, Encode, Decode)]
struct Word {
    host: HostName,
    /// Highest term of leadership that it knows.
    term: u64,
    /// Whether it leads in that term itself.
    leads: bool,
    keys: Vec<KeyWord>,
    asked: Vec<Asked>,
}

/// Who holds the keys of a service, as the leader knows it.
#[derive(Clone, Debug, Encode, Decode)]
struct KeyWord {
    service: ServiceName,
    fence: u64,
    spans: Vec<(u16, u16, Life)>,
    blocked: Vec<(u16, u16)>,
}

/// Keys of a service that were asked for.
#[derive(Clone, Debug, Encode, Decode)]
struct Asked {
    service: ServiceName,
    keys: Vec<u16>,
}

/// The socket between hosts.
pub(crate) struct Gossip {
    router: Rc<Router>,
    socket: UdpSocket,
    /// What the leader knows, while this host leads.
    tenure: Rc<Tenure>,
    sent: Cell<u64>,
}

impl Gossip {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub(crate) fn bind(
        router: &Rc<Router>,
        addr: SocketAddr,
        tenure: &Rc<Tenure>,
    ) -> std::io::Result<Rc<Self>> {
        Ok(Rc::new(Self {
            router: Rc::clone(router),
            socket: UdpSocket::bind(addr)?,
            tenure: Rc::clone(tenure),
            sent: Cell::new(0),
        }))
    }

    /// Reads what others tell.
    pub(crate) async fn listen(self: Rc<Self>) {
        let mut buffer = vec![0_u8; LONGEST];
        loop {
            let (result, back) = self.socket.recv_from(buffer).await;
            buffer = back;
            match result {
                Ok((n, from)) => self.read(&buffer[..n], from),
                Err(e) => {
                    log::warn!(error:% = e; "gossip_read");
                    self.router.process.clock.sleep(EVERY).await;
                }
            }
        }
    }

    /// Tells the others at intervals, and at once when the leader has news.
    pub(crate) async fn tell(self: Rc<Self>) {
        loop {
            let seen = self.tenure.news.count();
            let leads = self.router.leads.get() > 0;
            let word = self.word(leads);
            let all = self.router.peers.borrow().addrs();
            for addr in all {
                self.send(&word, addr).await;
            }
            let wait = self.tenure.news.after(seen);
            let _ = monoio::time::timeout(EVERY.duration(), wait).await;
        }
    }

    fn word(&self, leads: bool) -> Word {
        let keys = if leads { self.key_words() } else { Vec::new() };
        Word {
            host: self.router.boot().host.clone(),
            term: self.router.peers.borrow().highest_term(),
            leads,
            keys,
            asked: self.asked(leads),
        }
    }

    fn key_words(&self) -> Vec<KeyWord> {
        let words = self.tenure.words.borrow();
        let pair = |s: &KeySpan| (s.first, s.last);
        let word = |(service, word): (&ServiceName, &(KeyRecord, Vec<KeySpan>))| KeyWord {
            service: service.clone(),
            fence: word.0.fence,
            spans: word
                .0
                .spans
                .iter()
                .map(|s| (s.span.first, s.span.last, s.owner.clone()))
                .collect(),
            blocked: word.1.iter().map(pair).collect(),
        };
        words.iter().map(word).collect()
    }

    /// Takes the keys that were asked for; a leader notes its own at once.
    fn asked(&self, leads: bool) -> Vec<Asked> {
        let mut all = Vec::new();
        for service in self.router.services() {
            let keys = std::mem::take(&mut *service.asked.borrow_mut());
            if keys.is_empty() {
                continue;
            }
            if leads {
                self.tenure.asked(&service.name, &keys);
                continue;
            }
            let keys = keys.into_iter().take(KEYS_MOST).collect();
            let service = service.name.clone();
            all.push(Asked { service, keys });
        }
        all
    }

    async fn send(&self, word: &Word, addr: SocketAddr) {
        let leader = self.router.peers.borrow().leader_addr();
        // Only the leader has a use for the keys that were asked for.
        let to_leader = leader.is_none_or(|l| l == addr);
        let encoded = if to_leader {
            bincode::encode_to_vec(word, standard())
        } else {
            let short = Word {
                asked: Vec::new(),
                ..word.clone()
            };
            bincode::encode_to_vec(&short, standard())
        };
        let Ok(bytes) = encoded else {
            return;
        };
        self.sent.set(self.sent.get() + 1);
        let (result, _) = self.socket.send_to(bytes, addr).await;
        if let Err(e) = result {
            log::debug!(addr:% = addr, error:% = e; "gossip_send");
        }
    }

    fn read(&self, bytes: &[u8], from: SocketAddr) {
        let word = match bincode::decode_from_slice::<Word, _>(bytes, standard()) {
            Ok((word, _)) => word,
            Err(e) => {
                log::warn!(from:% = from, error:% = e; "gossip_unreadable");
                return;
            }
        };
        let now = self.router.now();
        let known = self.router.peers.borrow().highest_term();
        {
            let mut peers = self.router.peers.borrow_mut();
            peers.heard(now, &word.host);
            let leader = word.leads.then_some(&word.host);
            if peers.term(word.term, leader) {
                log::info!(term = word.term, from:% = word.host, known = known; "term_heard");
            }
        }
        // A leader that was replaced may not know it yet; its word on keys is old.
        if word.leads && word.term >= known {
            for key in word.keys {
                self.take(now, key);
            }
        }
        for asked in word.asked {
            self.tenure.asked(&asked.service, &asked.keys);
        }
    }

    fn take(&self, now: Millis, word: KeyWord) {
        let service = self.router.service(&word.service);
        let span = |first, last| KeySpan { first, last };
        let spans = word.spans.into_iter();
        let record = KeyRecord {
            fence: word.fence,
            spans: spans
                .map(|(f, l, life)| OwnedSpan::new(span(f, l), life))
                .collect(),
            ..KeyRecord::default()
        };
        if word.fence > service.keys.borrow().fence() {
            service.keys.borrow_mut().record(now, record);
        }
        let blocked = word.blocked.into_iter().map(|(f, l)| span(f, l));
        service
            .keys
            .borrow_mut()
            .blocked(word.fence, blocked.collect());
        service.changed.notify();
    }
}
