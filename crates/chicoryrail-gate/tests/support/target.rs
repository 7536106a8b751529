//! A target whose every byte the test decides.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpListener;
use monoio::net::TcpStream;

/// What the target does with a request that it has read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Answers.
    Answer,
    /// Answers after a while.
    Slow(u64),
    /// Sends the first bytes of the answer and closes.
    Cut(usize),
    /// Answers with the id of another request.
    Crossed,
    /// Answers, and sends a second answer afterwards.
    Twice,
    /// Refuses without running the request.
    NotRun,
    /// Answers in chunks with pauses between them.
    Chunks(u32, u64),
}

/// A target; clones share it.
#[derive(Clone)]
pub struct Target {
    pub name: String,
    pub addr: SocketAddr,
    /// What is done with the next requests; [`Act::Answer`] where empty.
    pub acts: Rc<RefCell<VecDeque<Act>>>,
    /// Method, path and order id of the requests that ran.
    pub ran: Rc<RefCell<Vec<String>>>,
    /// Ids of requests that the gate cancelled.
    pub cancelled: Rc<RefCell<Vec<String>>>,
    /// Connections accepted.
    pub accepted: Rc<Cell<u32>>,
    /// Requests at work now, and the most there were.
    pub busy: Rc<Cell<(u32, u32)>>,
}

impl Target {
    /// Starts a target in this runtime.
    pub fn start(name: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let target = Self {
            name: name.to_owned(),
            addr: listener.local_addr().unwrap(),
            acts: Rc::default(),
            ran: Rc::default(),
            cancelled: Rc::default(),
            accepted: Rc::default(),
            busy: Rc::default(),
        };
        let served = target.clone();
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                served.accepted.set(served.accepted.get() + 1);
                let served = served.clone();
                monoio::spawn(async move { served.connection(stream).await });
            }
        });
        target
    }

    /// Adds what is done with the next request.
    pub fn then(&self, act: Act) {
        self.acts.borrow_mut().push_back(act);
    }

    /// Returns the number of requests that ran.
    pub fn runs(&self) -> usize {
        self.ran.borrow().len()
    }

    async fn connection(&self, mut stream: TcpStream) {
        let mut read = Vec::new();
        while let Some(request) = next(&mut stream, &mut read).await {
            if request.line.contains("/control/cancel") {
                self.cancelled.borrow_mut().push(request.body.clone());
                let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
                let _ = stream.write_all(answer.as_bytes().to_vec()).await;
                continue;
            }
            let act = self.acts.borrow_mut().pop_front().unwrap_or(Act::Answer);
            let (busy, most) = self.busy.get();
            self.busy.set((busy + 1, most.max(busy + 1)));
            let goes_on = self.act(&mut stream, &request, &act).await;
            self.busy.set((self.busy.get().0 - 1, self.busy.get().1));
            if !goes_on {
                return;
            }
        }
    }

    async fn act(&self, stream: &mut TcpStream, request: &Seen, act: &Act) -> bool {
        if *act == Act::NotRun {
            let head = format!("HTTP/1.1 503 Busy\r\nrequest-id: {}\r\n", request.id);
            let rest = "not-run: 1\r\ncontent-length: 0\r\n\r\n";
            return write(stream, &format!("{head}{rest}")).await;
        }
        let text = format!("{} {}", request.line, request.order);
        self.ran.borrow_mut().push(text.trim_end().to_owned());
        match act {
            Act::Answer => write(stream, &self.answer(request, &request.id)).await,
            Act::Slow(ms) => {
                monoio::time::sleep(Millis(*ms).duration()).await;
                write(stream, &self.answer(request, &request.id)).await
            }
            Act::Cut(n) => {
                let answer = self.answer(request, &request.id);
                write(stream, &answer[..(*n).min(answer.len() - 1)]).await;
                false
            }
            Act::Crossed => write(stream, &self.answer(request, "another")).await,
            Act::Twice => {
                let answer = self.answer(request, &request.id);
                write(stream, &answer).await && write(stream, &answer).await
            }
            Act::Chunks(n, ms) => {
                let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {}\r\n", request.id);
                write(stream, &format!("{head}transfer-encoding: chunked\r\n\r\n")).await;
                for _ in 0..*n {
                    monoio::time::sleep(Millis(*ms).duration()).await;
                    write(stream, "5\r\nchunk\r\n").await;
                }
                write(stream, "0\r\n\r\n").await
            }
            Act::NotRun => unreachable!("answered above"),
        }
    }

    fn answer(&self, request: &Seen, id: &str) -> String {
        let body = format!("{} {} {}", self.name, request.line, request.body.len());
        format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-instance: 7\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

struct Seen {
    line: String,
    id: String,
    order: String,
    body: String,
}

async fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes().to_vec()).await.0.is_ok()
}

/// Reads the next request; `None` at the end of the connection.
async fn next(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<Seen> {
    let end = loop {
        if let Some(at) = read.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        more(stream, read).await?;
    };
    let head = String::from_utf8_lossy(&read[..end]).into_owned();
    read.drain(..end);
    let field = |name: &str| {
        let prefix = format!("{name}: ");
        let line = head.lines().find_map(|l| l.strip_prefix(&prefix));
        line.unwrap_or("").to_owned()
    };
    let body = if field("transfer-encoding") == "chunked" {
        chunked(stream, read).await?
    } else {
        let length = field("content-length").parse().unwrap_or(0);
        take(stream, read, length).await?
    };
    let line = head.lines().next()?.trim_end_matches(" HTTP/1.1");
    Some(Seen {
        line: line.to_owned(),
        id: field("request-id"),
        order: field("order-id"),
        body,
    })
}

async fn chunked(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<String> {
    let mut body = String::new();
    loop {
        let end = loop {
            if let Some(at) = read.windows(2).position(|w| w == b"\r\n") {
                break at;
            }
            more(stream, read).await?;
        };
        let size = usize::from_str_radix(std::str::from_utf8(&read[..end]).ok()?, 16).ok()?;
        read.drain(..end + 2);
        let chunk = take(stream, read, size + 2).await?;
        if size == 0 {
            return Some(body);
        }
        body.push_str(&chunk[..size]);
    }
}

async fn take(stream: &mut TcpStream, read: &mut Vec<u8>, length: usize) -> Option<String> {
    while read.len() < length {
        more(stream, read).await?;
    }
    let bytes: Vec<u8> = read.drain(..length).collect();
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

async fn more(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<()> {
    let (n, buffer) = stream.read(vec![0_u8; 64 << 10]).await;
    let n = n.ok().filter(|n| *n > 0)?;
    read.extend_from_slice(&buffer[..n]);
    Some(())
}
