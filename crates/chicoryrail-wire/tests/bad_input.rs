//! Bad input of peers: messages that are none, and calls that announce more than they send.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_wire::Handler;
use chicoryrail_wire::MAX_MESSAGE;
use chicoryrail_wire::OrderClaim;
use chicoryrail_wire::Peer;
use chicoryrail_wire::PeerLimits;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use chicoryrail_wire::decode;
use chicoryrail_wire::encode;
use chicoryrail_wire::serve;
use h2::RecvStream;
use h2::server::SendResponse;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;

/// Counts the calls that reach it.
#[derive(Default)]
struct Counting(Cell<u32>);

impl Handler for Counting {
    async fn call(&self, _: Request) -> Reply {
        self.0.set(self.0.get() + 1);
        Reply::Done
    }

    async fn forward(&self, _: http::Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        respond.send_reset(h2::Reason::REFUSED_STREAM);
    }
}

fn listen() -> (SocketAddr, Rc<Counting>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let handler = Rc::new(Counting::default());
    let limits = PeerLimits::default();
    let served = Rc::clone(&handler);
    monoio::spawn(serve(listener, limits, served, std::future::pending()));
    (addr, handler)
}

/// Sends a call with a body of these parts; returns the status, or `None` for a reset.
async fn post(addr: SocketAddr, parts: Vec<Bytes>) -> Option<u16> {
    let stream = TcpStream::connect(addr).await.unwrap();
    let io = stream.try_into_poll_io().unwrap();
    let (mut send, connection) = h2::client::handshake(io).await.unwrap();
    monoio::spawn(async move {
        let _ = connection.await;
    });
    let head = http::Request::post(format!("http://{addr}/chicoryrail/call"));
    let (answer, mut body) = send.send_request(head.body(()).unwrap(), false).unwrap();
    let last = parts.len().saturating_sub(1);
    for (i, part) in parts.into_iter().enumerate() {
        body.reserve_capacity(part.len());
        while body.capacity() < part.len() {
            let room = std::future::poll_fn(|cx| body.poll_capacity(cx));
            let room = monoio::time::timeout(Duration::from_secs(10), room).await;
            if !matches!(room, Ok(Some(Ok(_)))) {
                return answer.await.ok().map(|a| a.status().as_u16());
            }
        }
        if body.send_data(part, i == last).is_err() {
            break;
        }
    }
    let answer = monoio::time::timeout(Duration::from_secs(10), answer).await;
    answer
        .expect("an answer comes")
        .ok()
        .map(|a| a.status().as_u16())
}

fn claim() -> Vec<u8> {
    let claim = OrderClaim {
        order: "order-1".to_owned(),
        service: "booking".into(),
        print: 1,
        gate: "g1".into(),
        token: 2,
        wait: Millis(400),
    };
    encode(&Request::OrderClaim(claim)).unwrap().to_vec()
}

/// A text that announces 2^60 bytes, in a message of ten.
fn announced() -> Vec<u8> {
    let mut bytes = encode(&Request::OrderLookup {
        order: String::new(),
    })
    .unwrap()
    .to_vec();
    bytes.pop();
    bytes.push(253);
    bytes.extend_from_slice(&(1_u64 << 60).to_le_bytes());
    bytes
}

#[rstest]
#[case::nothing(Vec::new())]
#[case::unknown_variant(vec![250])]
#[case::unknown_long_variant(vec![252, 0xff, 0xff, 0xff, 0xff])]
#[case::trailing([claim(), vec![0]].concat())]
#[case::announced(announced())]
fn a_message_that_is_none_is_refused(#[case] bytes: Vec<u8>) {
    assert!(decode::<Request>(&bytes).is_err());
    block_on(async {
        let (addr, handler) = listen();
        assert_eq!(post(addr, vec![bytes.into()]).await, Some(400));
        let reply = Peer::new(addr).call(&Request::Ping, Millis(10_000)).await;
        assert_eq!(reply.unwrap(), Reply::Done);
        assert_eq!(handler.0.get(), 1);
    });
}

#[test]
fn a_truncated_message_is_refused_at_every_length() {
    let whole = claim();
    for n in 0..whole.len() {
        assert!(decode::<Request>(&whole[..n]).is_err(), "{n} bytes");
    }
    assert!(decode::<Request>(&whole).is_ok());
}

/// A call above the limit is given up while it is sent, not collected whole.
#[test]
fn an_oversized_message_is_refused() {
    block_on(async {
        let (addr, handler) = listen();
        let part = Bytes::from(vec![0; 64 << 10]);
        let parts = vec![part; MAX_MESSAGE / (64 << 10) + 2];
        assert_eq!(post(addr, parts).await, Some(400));
        assert_eq!(handler.0.get(), 0);
    });
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

#[test]
fn arbitrary_bytes_are_refused_or_read_without_a_panic() {
    let strategy = vec(any::<u8>(), 0..512);
    let result = runner(4_000).run(&strategy, |bytes| {
        let _ = decode::<Request>(&bytes);
        let _ = decode::<Reply>(&bytes);
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}

#[test]
fn a_changed_message_is_refused_or_read_without_a_panic() {
    let whole = claim();
    let strategy = vec((0..whole.len(), any::<u8>()), 1..8);
    let result = runner(4_000).run(&strategy, |edits| {
        let mut bytes = whole.clone();
        for (at, byte) in edits {
            bytes[at] = byte;
        }
        // What is read is a message: it can be written and read again.
        if let Ok(request) = decode::<Request>(&bytes) {
            assert_eq!(
                decode::<Request>(&encode(&request).unwrap()).unwrap(),
                request
            );
        }
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}
