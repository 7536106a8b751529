//! Free ports of a loopback address.

use std::collections::HashSet;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::LazyLock;
use std::sync::Mutex;

use rand::Rng;

/// Ports drawn from. They lie below the system's range for outgoing connections, so that a process
/// that restarts on its port never finds it taken by one.
const RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Draws tried before giving up.
const DRAWS: u32 = 1_000;

static TAKEN: LazyLock<Mutex<HashSet<u16>>> = LazyLock::new(Mutex::default);

/// Returns the loopback address that is this process's own.
///
/// Several test processes run clusters at a time. With one address for all, a port that was free when
/// it was drawn was another cluster's a moment later; callers of one then reached servers of both,
/// and the checker found two owners. Ids of living processes differ, and so do these addresses.
fn own_address() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 0x40 | (high & 0x3f), middle, low)
}

/// Returns an address of this process's own loopback address that nobody listens on, once in this
/// process.
///
/// # Errors
///
/// Returns `AddrInUse` where no free port is found.
pub fn free_port() -> io::Result<SocketAddr> {
    let mut taken = TAKEN
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    for _ in 0..DRAWS {
        let port = rand::rng().random_range(RANGE);
        let addr = SocketAddr::from((own_address(), port));
        if !taken.contains(&port) && TcpListener::bind(addr).is_ok() {
            taken.insert(port);
            return Ok(addr);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
