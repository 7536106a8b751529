//! Free ports of a loopback address that only this process uses, and the start of processes that bind them.

use std::collections::HashSet;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::sync::LazyLock;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use rand::Rng;

/// Range from which ports are selected at random. It lies below the ephemeral port range, so that no outgoing
/// connection can occupy the port of a process while the process restarts.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Number of random ports tried before the search fails.
const MAX_ATTEMPTS: u32 = 1_000;

/// Ports returned earlier in this process; none is returned twice.
static ALLOCATED_PORTS: LazyLock<Mutex<HashSet<u16>>> = LazyLock::new(Mutex::default);

/// Returns a loopback address derived from the process ID.
///
/// Several test processes may run clusters concurrently. If they shared one address, a port that was free when
/// selected could be bound by another cluster a moment later; callers of one cluster would then reach servers
/// of both, and the checker would report two owners of a key. IDs of live processes differ, and so do these
/// addresses.
fn process_loopback_addr() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 0x40 | (high & 0x3f), middle, low)
}

/// Returns an unused port on the loopback address of this process; never returns the same port twice in one
/// process.
///
/// # Errors
///
/// Returns `AddrInUse` if no free port is found in 1,000 attempts.
pub fn free_addr() -> io::Result<SocketAddr> {
    let mut allocated = allocated_ports();
    for _ in 0..MAX_ATTEMPTS {
        let port = rand::rng().random_range(PORT_RANGE);
        let addr = SocketAddr::from((process_loopback_addr(), port));
        if !allocated.contains(&port) && TcpListener::bind(addr).is_ok() {
            allocated.insert(port);
            return Ok(addr);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Starts a process while no port is probed by [`free_addr`].
///
/// A child inherits the socket of a probe and keeps it until it executes its program, so the probed port stays occupied
/// for some milliseconds after the probe.
///
/// # Errors
///
/// Returns the error of [`Command::spawn`].
pub fn spawn_process(command: &mut Command) -> io::Result<Child> {
    let _no_probes = allocated_ports();
    command.spawn()
}

fn allocated_ports() -> MutexGuard<'static, HashSet<u16>> {
    ALLOCATED_PORTS
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}
