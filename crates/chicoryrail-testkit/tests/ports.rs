//! Ports of the processes that tests start.

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use chicoryrail_testkit::free_addr;
use chicoryrail_testkit::spawn_process;

/// Number of ports that are bound while processes start.
const PORTS: usize = 3_000;

/// Guards against a free port that can't be bound: a process that starts during the probe inherits its socket.
#[test]
fn free_port_can_be_bound_while_processes_start() {
    let done = AtomicBool::new(false);
    let occupied = std::thread::scope(|s| {
        let start_processes = || {
            while !done.load(Ordering::Relaxed) {
                let mut child = spawn_process(&mut Command::new("true")).unwrap();
                child.wait().unwrap();
            }
        };
        s.spawn(start_processes);
        s.spawn(start_processes);
        let addrs = (0..PORTS).map(|_| free_addr().unwrap());
        let occupied = addrs.filter(|addr| TcpListener::bind(addr).is_err());
        let occupied = occupied.count();
        done.store(true, Ordering::Relaxed);
        occupied
    });
    assert_eq!(occupied, 0);
}
