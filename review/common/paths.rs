//! A network path of its own from each router to each server, on one machine.
//!
//! All processes share the loopback interface, so the path from one router to one server is a TCP proxy: each router
//! reads the store through a relay that names, in the entries of the servers, the address of that router's proxy. A
//! path that is cut refuses new connections and resets the open ones.

use std::collections::HashMap;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use crate::common::Http;
use crate::common::base64;
use crate::common::response_bytes;
use crate::common::serve;

/// The path from one router to one server.
pub struct Path {
    pub addr: SocketAddr,
    server: SocketAddr,
    open: Mutex<bool>,
    streams: Mutex<Vec<TcpStream>>,
}

impl Path {
    pub fn open(server: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        let path = Arc::new(Self { addr, server, open: Mutex::new(true), streams: Mutex::default() });
        let accepting = Arc::clone(&path);
        thread::spawn(move || accepting.accept(&listener));
        path
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let open = self.open.lock().unwrap();
            if !*open {
                // The last connection, made by `cut` itself, ends the listener.
                return;
            }
            let Ok(upstream) = TcpStream::connect(self.server) else { continue };
            let _ = stream.set_nodelay(true);
            let _ = upstream.set_nodelay(true);
            let mut streams = self.streams.lock().unwrap();
            for s in [&stream, &upstream] {
                streams.push(s.try_clone().unwrap());
            }
            drop(streams);
            drop(open);
            copy(stream.try_clone().unwrap(), upstream.try_clone().unwrap());
            copy(upstream, stream);
        }
    }

    /// Refuses new connections, and ends the open ones.
    pub fn cut(&self) {
        *self.open.lock().unwrap() = false;
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect(self.addr);
    }

    /// Accepts connections again.
    pub fn heal(self: &Arc<Self>) {
        let tries = (0..100).find_map(|_| {
            crate::common::sleep_ms(20);
            TcpListener::bind(self.addr).ok()
        });
        let listener = tries.unwrap_or_else(|| crate::common::cannot_run("the address of a path is taken"));
        *self.open.lock().unwrap() = true;
        let accepting = Arc::clone(self);
        thread::spawn(move || accepting.accept(&listener));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    thread::spawn(move || {
        let mut buf = vec![0; 16 << 10];
        while let Ok(n) = from.read(&mut buf) {
            if n == 0 || to.write_all(&buf[..n]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    });
}

/// Relays the store for one router, with the addresses in `addresses` replaced in the entries of servers.
pub fn relay_store(store: SocketAddr, addresses: HashMap<SocketAddr, SocketAddr>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().unwrap();
    serve(listener, move |http| relay(http, store, &addresses));
    addr
}

fn relay(mut http: Http, store: SocketAddr, addresses: &HashMap<SocketAddr, SocketAddr>) -> io::Result<()> {
    let mut upstream = Http::connect(store)?;
    while let Some(head) = http.read_head()? {
        let body = http.read_body(&head)?;
        let mut text = format!("{} {} HTTP/1.1\r\nHost: {store}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", head.method, head.target, body.len()).into_bytes();
        text.extend_from_slice(&body);
        upstream.write(&text)?;
        let answer = upstream.read_head()?.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let body = upstream.read_body(&answer)?;
        let body = replace_addresses(&String::from_utf8_lossy(&body), addresses);
        http.write(&response_bytes(&format!("{} Relayed", answer.status), &[("Content-Type", "application/json")], body.as_bytes()))?;
    }
    Ok(())
}

fn replace_addresses(text: &str, addresses: &HashMap<SocketAddr, SocketAddr>) -> String {
    replace_values(text, |mut plain| {
        for (from, to) in addresses {
            plain = plain.replace(&format!("\"address\":\"{from}\""), &format!("\"address\":\"{to}\""));
        }
        plain
    })
}

/// Replaces the values of the items in an answer of the store by what `replace` makes of them.
pub fn replace_values(text: &str, replace: impl Fn(String) -> String) -> String {
    const FIELD: &str = "\"value\":\"";
    let mut out = String::new();
    let mut rest = text;
    while let Some(at) = rest.find(FIELD) {
        let (before, value) = rest.split_at(at + FIELD.len());
        out.push_str(before);
        let end = value.find('"').unwrap_or(value.len());
        let plain = String::from_utf8_lossy(&decode(&value[..end])).into_owned();
        let replaced = replace(plain.clone());
        out.push_str(&if replaced == plain { value[..end].to_owned() } else { base64(replaced.as_bytes()) });
        rest = &value[end..];
    }
    out.push_str(rest);
    out
}

fn decode(text: &str) -> Vec<u8> {
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0_u32, 0);
    for c in text.bytes() {
        let digit = match c {
            b'A'..=b'Z' => c - b'A',
            b'a'..=b'z' => c - b'a' + 26,
            b'0'..=b'9' => c - b'0' + 52,
            b'+' => 62,
            b'/' => 63,
            _ => continue,
        };
        word = (word << 6) | u32::from(digit);
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}
