//! Reading rings over HTTP: pages, gaps, restarts, silence.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::EventKind;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::Process;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::empty;
use chicoryrail_runtime::serve_http;
use chicoryrail_timeline::Gap;
use chicoryrail_timeline::Line;
use chicoryrail_timeline::Silence;
use chicoryrail_timeline::Source;
use http::Response;
use monoio::net::TcpListener;

/// A process that shows its events, and can be replaced by another run at the same address.
struct Shown {
    addr: SocketAddr,
    process: Rc<RefCell<Process>>,
    stop: CancellationToken,
}

impl Shown {
    fn start() -> Self {
        Self::at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    fn at(addr: SocketAddr) -> Self {
        let listener = TcpListener::bind(addr).unwrap();
        let addr = listener.local_addr().unwrap();
        let process = Rc::new(RefCell::new(Process::new(&"entry-1".into(), "gate")));
        let stop = CancellationToken::new();
        let shown = Rc::clone(&process);
        let serve = serve_http(
            listener,
            HttpLimits::default(),
            stop.clone(),
            move |request, _| {
                let answer = shown.borrow().observe(&request);
                async move { answer.unwrap_or_else(|| Response::new(empty())) }
            },
        );
        monoio::spawn(serve);
        Self {
            addr,
            process,
            stop,
        }
    }

    fn record(&self, n: usize) {
        for i in 0..n {
            let events = &self.process.borrow().events;
            events.record(EventKind::Granted, format!("s-{i}"), "");
        }
    }

    /// Starts another run. A real one takes longer than a millisecond, so its stamps differ.
    async fn restart(&self) {
        monoio::time::sleep(std::time::Duration::from_millis(3)).await;
        self.process
            .replace(Process::new(&"entry-1".into(), "gate"));
    }

    fn gap(&self, first: u64, lost: u64, restarted: bool) -> Line {
        Line::Gap(Gap {
            process: self.addr,
            host: "entry-1".to_owned(),
            program: "gate".to_owned(),
            first,
            lost,
            restarted,
        })
    }
}

async fn read(source: &mut Source) -> (Vec<u64>, Vec<Line>) {
    let news = source.read().await;
    (news.events.iter().map(|e| e.seq).collect(), news.notes)
}

#[test]
fn each_event_is_read_once_over_pages_and_rounds() {
    block_on(async {
        let shown = Shown::start();
        shown.record(2_500);
        let mut source = Source::new(shown.addr, HttpClient::default());
        let first = read(&mut source).await;
        let second = read(&mut source).await;
        shown.record(3);
        let third = read(&mut source).await;
        assert_eq!(first, ((0..=2_500).collect(), vec![]));
        assert_eq!(second, (vec![], vec![]));
        assert_eq!(third, (vec![2_501, 2_502, 2_503], vec![]));
    });
}

/// More events are recorded between two rounds than the ring holds. The reader is told how many are
/// lost and which, and goes on with what there is.
#[test]
fn a_ring_that_ran_over_shows_as_a_gap() {
    block_on(async {
        let shown = Shown::start();
        let mut source = Source::new(shown.addr, HttpClient::default());
        let first = read(&mut source).await;
        shown.record(8_292);
        let second = read(&mut source).await;
        assert_eq!(first, (vec![0], vec![]));
        assert_eq!(second.1, [shown.gap(1, 100, false)]);
        assert_eq!(second.0, (101..=8_292).collect::<Vec<_>>());
    });
}

#[test]
fn events_that_were_lost_before_the_first_reading_are_told() {
    block_on(async {
        let shown = Shown::start();
        shown.record(8_192);
        let mut source = Source::new(shown.addr, HttpClient::default());
        let first = read(&mut source).await;
        assert_eq!(
            (first.0.len(), first.1),
            (8_192, vec![shown.gap(0, 1, false)])
        );
    });
}

/// The process is killed and another run starts at the same address, counting from 0 again. The
/// reader is told that the end of the former run is lost, and sees the new one from its start.
#[test]
fn a_restart_shows_and_the_new_run_is_read_from_its_start() {
    block_on(async {
        let shown = Shown::start();
        shown.record(10);
        let mut source = Source::new(shown.addr, HttpClient::default());
        read(&mut source).await;
        shown.restart().await;
        shown.record(2);
        let fewer = read(&mut source).await;
        shown.restart().await;
        shown.record(20);
        let more = read(&mut source).await;
        assert_eq!(fewer, (vec![0, 1, 2], vec![shown.gap(11, 0, true)]));
        assert_eq!(more, ((0..=20).collect(), vec![shown.gap(3, 0, true)]));
    });
}

#[test]
fn silence_is_told_once_and_so_is_its_end() {
    block_on(async {
        let shown = Shown::start();
        let addr = shown.addr;
        let mut source = Source::new(addr, HttpClient::default());
        read(&mut source).await;
        shown.stop.cancel();
        let silence = Silence { process: addr };
        let mut notes = Vec::new();
        for _ in 0..100 {
            notes.extend(read(&mut source).await.1);
            if source.is_silent() {
                break;
            }
            monoio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        notes.extend(read(&mut source).await.1);
        assert_eq!(notes, [Line::Silent(silence.clone())]);
        let again = Shown::at(addr);
        let back = read(&mut source).await;
        let expected = vec![Line::Back(silence), again.gap(1, 0, true)];
        assert_eq!(back, (vec![0], expected));
    });
}
