//! The proxy's faults as a caller meets them.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use chicoryrail_testkit::Link;
use chicoryrail_testkit::LinkFault;
use chicoryrail_testkit::LinkStats;
use chicoryrail_testkit::Net;

/// Answers each connection's bytes with the same bytes.
fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut from = stream.try_clone().unwrap();
                let mut to = stream;
                let _ = io::copy(&mut from, &mut to);
            });
        }
    });
    addr
}

fn link() -> (Net, Link) {
    let mut net = Net::start(7);
    let link = net.link_anywhere("test", echo()).unwrap();
    (net, link)
}

fn connect(link: &Link) -> TcpStream {
    let stream = TcpStream::connect(link.addr()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    stream
}

fn exchange(stream: &mut TcpStream, text: &[u8]) -> Vec<u8> {
    stream.write_all(text).unwrap();
    let mut answer = vec![0; text.len()];
    stream.read_exact(&mut answer).unwrap();
    answer
}

/// Waits until the link has passed `up` bytes up.
fn wait_up(link: &Link, up: u64) {
    wait_for(link, |s| s.up >= up);
}

fn wait_for(link: &Link, met: impl Fn(&LinkStats) -> bool) {
    let until = Instant::now() + Duration::from_secs(20);
    while !met(&link.stats()) {
        assert!(Instant::now() < until, "{:?}", link.stats());
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn a_whole_link_passes_everything_both_ways() {
    let (_net, link) = link();
    let text = vec![b'x'; 100_000];
    let mut stream = connect(&link);
    let mut writer = stream.try_clone().unwrap();
    let sent = text.clone();
    let write = std::thread::spawn(move || writer.write_all(&sent));
    let mut answer = vec![0; text.len()];
    stream.read_exact(&mut answer).unwrap();
    write.join().unwrap().unwrap();
    assert_eq!(answer, text);
}

/// The caller waits and gets its answer when the way is healed: the bytes of a cut way are kept, as
/// TCP sends lost packets again.
#[test]
fn a_one_way_cut_keeps_the_answer_until_it_heals() {
    let (_net, link) = link();
    let mut stream = connect(&link);
    assert_eq!(exchange(&mut stream, b"one"), b"one");
    link.set(LinkFault {
        cut_down: true,
        ..LinkFault::default()
    });
    stream.write_all(b"two").unwrap();
    wait_up(&link, 6);
    assert_eq!(link.stats().down, 3);
    link.heal();
    let mut answer = [0; 3];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"two");
}

/// The caller sees its connection end without a byte of answer, although the request reached the
/// process behind the link.
#[test]
fn a_lost_answer_has_reached_the_upstream_process() {
    let (_net, link) = link();
    link.set(LinkFault {
        lose_answers: true,
        ..LinkFault::default()
    });
    let mut stream = connect(&link);
    stream.write_all(b"order").unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    assert_eq!(answer, b"");
    // The link counts the break after it has closed the connection.
    wait_for(&link, |s| s.broken > 0);
    let stats = link.stats();
    assert_eq!((stats.up, stats.down, stats.broken), (5, 0, 1));
}

#[test]
fn a_reset_comes_after_the_given_byte() {
    let (_net, link) = link();
    link.set(LinkFault {
        reset_after: Some(14),
        ..LinkFault::default()
    });
    let mut stream = connect(&link);
    stream.write_all(b"ten bytes.").unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    assert_eq!(answer, b"ten ");
}

#[test]
fn a_closed_port_refuses_and_opens_again() {
    let (_net, link) = link();
    link.set(LinkFault::closed());
    let until = Instant::now() + Duration::from_secs(20);
    while TcpStream::connect(link.addr()).is_ok() {
        assert!(Instant::now() < until, "the port stays open");
    }
    link.heal();
    let mut stream = loop {
        assert!(Instant::now() < until, "the port stays closed");
        if let Ok(stream) = TcpStream::connect(link.addr()) {
            break stream;
        }
    };
    assert_eq!(exchange(&mut stream, b"back"), b"back");
}

#[test]
fn delay_and_drip_hold_the_bytes_up() {
    let (_net, link) = link();
    link.set(LinkFault {
        delay_ms: 50,
        drip: Some(500),
        ..LinkFault::default()
    });
    let mut stream = connect(&link);
    let start = Instant::now();
    assert_eq!(exchange(&mut stream, &[b'y'; 50]), [b'y'; 50]);
    // Delayed each way by 50 ms, and 50 bytes at 500 a second take 100 ms up alone.
    assert!(start.elapsed() >= Duration::from_millis(200));
}

#[test]
fn a_reset_ends_the_open_connections() {
    let (_net, link) = link();
    let mut stream = connect(&link);
    assert_eq!(exchange(&mut stream, b"one"), b"one");
    link.reset();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    assert_eq!(answer, b"");
    assert_eq!(exchange(&mut connect(&link), b"two"), b"two");
}
