//! Sending and receiving of datagrams between hosts.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::is_path_lost;
use monoio::net::udp::UdpSocket;

use crate::messages::Packet;
use crate::messages::decode;
use crate::messages::encode;

/// Size of the receive buffer: the maximum size of a datagram. Messages fit one network packet, except long lists of
/// key ranges. A truncated list can't be decoded, and its receiver would continue with outdated ranges.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// Maximum payload of a datagram over IPv4.
const PAYLOAD_BYTES_MAX: usize = 65_507;

/// Delay after a failed read.
const READ_RETRY_INTERVAL: Millis = Millis(100);

/// UDP socket for messages between hosts.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
}

impl PeerSocket {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub(crate) fn bind(addr: SocketAddr) -> io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(addr)?;
        Ok(Rc::new(Self { socket }))
    }

    /// Sends a datagram. A failure is only logged: to the receiver it looks like a lost datagram.
    pub(crate) async fn send(&self, packet: &Packet, addr: SocketAddr) {
        self.send_all(packet, &[addr]).await;
    }

    /// Sends the same datagram to several hosts, encoding it only once. Returns the bytes sent in total.
    pub(crate) async fn send_all(&self, packet: &Packet, addrs: &[SocketAddr]) -> usize {
        let mut bytes = match encode(packet) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!(error:% = e; "talk_unwritable");
                return 0;
            }
        };
        if bytes.len() > PAYLOAD_BYTES_MAX {
            log::warn!(bytes = bytes.len(), hosts = addrs.len(); "talk_too_long");
            return 0;
        }
        let total = bytes.len() * addrs.len();
        for addr in addrs.iter().filter(|addr| !is_path_lost(**addr)) {
            let (result, returned) = self.socket.send_to(bytes, *addr).await;
            bytes = returned;
            if let Err(e) = result {
                log::debug!(addr:% = addr, error:% = e; "talk_send");
            }
        }
        total
    }

    /// Spawns a task that sends a datagram.
    pub(crate) fn send_detached(self: &Rc<Self>, packet: Packet, addr: SocketAddr) {
        let socket = Rc::clone(self);
        monoio::spawn(async move { socket.send(&packet, addr).await });
    }

    /// Receives datagrams forever and passes each with its sender's address to `handle`.
    pub(crate) async fn listen(self: Rc<Self>, handle: impl Fn(Packet, SocketAddr)) {
        let mut buffer = vec![0_u8; RECEIVE_BUFFER_BYTES];
        loop {
            let (result, returned) = self.socket.recv_from(buffer).await;
            buffer = returned;
            let (n, from) = match result {
                Ok(read) => read,
                Err(e) => {
                    log::warn!(error:% = e; "talk_read");
                    monoio::time::sleep(READ_RETRY_INTERVAL.to_duration()).await;
                    continue;
                }
            };
            if is_path_lost(from) {
                continue;
            }
            match decode(&buffer[..n]) {
                Ok(packet) => handle(packet, from),
                Err(e) => log::warn!(from:% = from, error:% = e; "talk_unreadable"),
            }
        }
    }
}
