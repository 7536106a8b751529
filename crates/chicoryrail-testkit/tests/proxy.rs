//! The faults of the proxy, as its callers see them.

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
use chicoryrail_testkit::ProxyNet;

/// Starts a server that echoes the bytes of each connection, and returns its address.
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

fn link() -> (ProxyNet, Link) {
    let mut net = ProxyNet::start(7);
    let link = net.link_any_port("test", echo()).unwrap();
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
    let mut response = vec![0; text.len()];
    stream.read_exact(&mut response).unwrap();
    response
}

/// Waits until the link has forwarded `up` bytes up.
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
fn a_link_without_faults_forwards_everything_in_both_directions() {
    let (_net, link) = link();
    let text = vec![b'x'; 100_000];
    let mut stream = connect(&link);
    let mut writer = stream.try_clone().unwrap();
    let sent = text.clone();
    let write = std::thread::spawn(move || writer.write_all(&sent));
    let mut response = vec![0; text.len()];
    stream.read_exact(&mut response).unwrap();
    write.join().unwrap().unwrap();
    assert_eq!(response, text);
}

/// The bytes of a cut direction are kept, as TCP retransmits lost packets: the caller waits and gets its response when
/// the cut ends.
#[test]
fn a_one_way_cut_keeps_the_response_until_it_ends() {
    let (_net, link) = link();
    let mut stream = connect(&link);
    assert_eq!(exchange(&mut stream, b"one"), b"one");
    link.set_fault(LinkFault {
        cut_down: true,
        ..LinkFault::default()
    });
    stream.write_all(b"two").unwrap();
    wait_up(&link, 6);
    assert_eq!(link.stats().down, 3);
    link.clear_fault();
    let mut response = [0; 3];
    stream.read_exact(&mut response).unwrap();
    assert_eq!(&response, b"two");
}

/// The caller's connection ends without a byte of the response, although the request reached the upstream process.
#[test]
fn a_request_with_a_lost_response_has_reached_the_upstream_process() {
    let (_net, link) = link();
    link.set_fault(LinkFault {
        lose_answers: true,
        ..LinkFault::default()
    });
    let mut stream = connect(&link);
    stream.write_all(b"order").unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    assert_eq!(response, b"");
    // The link counts the break before it closes the connection.
    wait_for(&link, |s| s.broken > 0);
    let stats = link.stats();
    assert_eq!((stats.up, stats.down, stats.broken), (5, 0, 1));
}

#[test]
fn a_reset_comes_after_the_given_byte() {
    let (_net, link) = link();
    link.set_fault(LinkFault {
        reset_after: Some(14),
        ..LinkFault::default()
    });
    let mut stream = connect(&link);
    stream.write_all(b"ten bytes.").unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    assert_eq!(response, b"ten ");
}

#[test]
fn a_closed_port_refuses_connections_until_the_fault_ends() {
    let (_net, link) = link();
    link.set_fault(LinkFault::closed());
    let until = Instant::now() + Duration::from_secs(20);
    while TcpStream::connect(link.addr()).is_ok() {
        assert!(Instant::now() < until, "the port stays open");
    }
    link.clear_fault();
    let mut stream = loop {
        assert!(Instant::now() < until, "the port stays closed");
        if let Ok(stream) = TcpStream::connect(link.addr()) {
            break stream;
        }
    };
    assert_eq!(exchange(&mut stream, b"back"), b"back");
}

#[test]
fn delay_and_rate_limit_slow_the_bytes() {
    let (_net, link) = link();
    link.set_fault(LinkFault {
        delay_ms: 50,
        drip: Some(500),
        ..LinkFault::default()
    });
    let mut stream = connect(&link);
    let start = Instant::now();
    assert_eq!(exchange(&mut stream, &[b'y'; 50]), [b'y'; 50]);
    // 50 ms of delay in each direction, and 100 ms for 50 bytes up at 500 bytes a second.
    assert!(start.elapsed() >= Duration::from_millis(200));
}

#[test]
fn a_reset_ends_the_open_connections() {
    let (_net, link) = link();
    let mut stream = connect(&link);
    assert_eq!(exchange(&mut stream, b"one"), b"one");
    link.reset_connections();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    assert_eq!(response, b"");
    assert_eq!(exchange(&mut connect(&link), b"two"), b"two");
}
