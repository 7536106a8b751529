//! Whether something accepts connections at an address.

use std::io;

use chicoryrail_runtime::block_on;
use chicoryrail_runtime::check_address;
use monoio::net::TcpListener;

/// Guards against a server that ended and is taken for one that can't be reached, or the reverse.
#[test]
fn a_listener_accepts_and_a_closed_port_refuses() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        check_address(addr).await.unwrap();
        drop(listener);
        let error = check_address(addr).await.unwrap_err();
        assert_eq!(error.kind(), io::ErrorKind::ConnectionRefused);
    });
}
