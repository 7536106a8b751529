//! Free ports of the loopback address.

use std::collections::HashSet;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::LazyLock;
use std::sync::Mutex;

use rand::Rng;

/// First port drawn. The ports lie below the system's range for outgoing connections, so that a
/// process that restarts on its port never finds it taken by one.
const FIRST: u16 = 10_000;

/// Ports of a block. Each test process draws from a block of its own, by its process id: a port is
/// free between its draw and its use, and two clusters that start together would draw the same one.
const BLOCK: u16 = 500;

/// Blocks below port 32,000.
const BLOCKS: u16 = 44;

/// Draws tried before giving up.
const DRAWS: u16 = 3_000;

static TAKEN: LazyLock<Mutex<HashSet<u16>>> = LazyLock::new(Mutex::default);

/// Returns an address on the loopback address that nobody listens on, once in this process.
///
/// # Errors
///
/// Returns `AddrInUse` where no free port is found.
pub fn free_port() -> io::Result<SocketAddr> {
    let mut taken = TAKEN
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let own = (std::process::id() % u32::from(BLOCKS)) as u16;
    for draw in 0..DRAWS {
        // The next blocks are used where the own one has no port left.
        let block = (own + draw / BLOCK) % BLOCKS;
        let port = FIRST + block * BLOCK + rand::rng().random_range(0..BLOCK);
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if !taken.contains(&port) && TcpListener::bind(addr).is_ok() {
            taken.insert(port);
            return Ok(addr);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
