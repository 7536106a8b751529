//! The socket between hosts.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use monoio::net::udp::UdpSocket;

use crate::talk::Packet;
use crate::talk::decode;
use crate::talk::encode;

/// Bytes of a datagram that is read: as long as one can be. What is sent stays below what one packet carries, but
/// for a long list of ranges. One that is cut off can't be read, and its host would go on by old ranges.
const DATAGRAM_BYTES_MAX: usize = 64 << 10;

/// Longest datagram that can be sent over IPv4.
const PAYLOAD_BYTES_MAX: usize = 65_507;

/// Pause after a read that failed.
const READ_RETRY_INTERVAL: Millis = Millis(100);

/// The socket between hosts.
#[derive(Debug)]
pub(crate) struct Talk {
    socket: UdpSocket,
}

impl Talk {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub(crate) fn bind(addr: SocketAddr) -> io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(addr)?;
        Ok(Rc::new(Self { socket }))
    }

    /// Sends a datagram; one that can't be sent is like one that was lost.
    pub(crate) async fn send(&self, packet: &Packet, addr: SocketAddr) {
        self.send_all(packet, &[addr]).await;
    }

    /// Sends the same datagram to several hosts; it is encoded once.
    pub(crate) async fn send_all(&self, packet: &Packet, addrs: &[SocketAddr]) {
        let Ok(mut bytes) = encode(packet) else {
            return;
        };
        if bytes.len() > PAYLOAD_BYTES_MAX {
            log::warn!(bytes = bytes.len(), hosts = addrs.len(); "talk_too_long");
            return;
        }
        for addr in addrs {
            let (result, back) = self.socket.send_to(bytes, *addr).await;
            bytes = back;
            if let Err(e) = result {
                log::debug!(addr:% = addr, error:% = e; "talk_send");
            }
        }
    }

    /// Sends a datagram in a task of its own.
    pub(crate) fn post(self: &Rc<Self>, packet: Packet, addr: SocketAddr) {
        let own = Rc::clone(self);
        monoio::spawn(async move { own.send(&packet, addr).await });
    }

    /// Hands what others send to `take`.
    pub(crate) async fn listen(self: Rc<Self>, take: impl Fn(Packet, SocketAddr)) {
        let mut buffer = vec![0_u8; DATAGRAM_BYTES_MAX];
        loop {
            let (result, back) = self.socket.recv_from(buffer).await;
            buffer = back;
            let (n, from) = match result {
                Ok(read) => read,
                Err(e) => {
                    log::warn!(error:% = e; "talk_read");
                    monoio::time::sleep(READ_RETRY_INTERVAL.duration()).await;
                    continue;
                }
            };
            match decode(&buffer[..n]) {
                Ok(packet) => take(packet, from),
                Err(e) => log::warn!(from:% = from, error:% = e; "talk_unreadable"),
            }
        }
    }
}
