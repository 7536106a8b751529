//! Reads and writes messages byte by byte.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use monoio::time::sleep;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;

/// Opens a connection whose socket gets its options before, as sizes of buffers and segments must be set.
pub fn connect_with(
    addr: SocketAddr,
    set_options: impl FnOnce(&Socket) -> io::Result<()>,
) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
    set_options(&socket).unwrap();
    socket.connect(&addr.into()).unwrap();
    socket.set_nonblocking(true).unwrap();
    TcpStream::from_std(socket.into()).unwrap()
}

/// Returns the value of a header in a head in lower case.
pub fn field(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let (_, value) = lines.find(|(found, _)| found.eq_ignore_ascii_case(name))?;
    Some(value.trim().to_owned())
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub async fn write(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        self.stream.write_all(bytes).await.0.map(drop)
    }

    /// Ends the stream, and waits until the other side has done so.
    pub async fn close(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        while self.fill().await.is_ok() {}
        Ok(())
    }

    async fn fill(&mut self) -> io::Result<()> {
        let (read, buffer) = self.stream.read(vec![0; 8 << 10]).await;
        match read? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buffer.extend_from_slice(&buffer[..n]);
                Ok(())
            }
        }
    }

    async fn take(&mut self, bytes: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < bytes {
            self.fill().await?;
        }
        let rest = self.buffer.split_off(bytes);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    async fn until(&mut self, end: &[u8]) -> io::Result<Vec<u8>> {
        loop {
            let found = self.buffer.windows(end.len()).position(|w| w == end);
            match found {
                Some(at) => {
                    let mut taken = self.take(at + end.len()).await?;
                    taken.truncate(at);
                    return Ok(taken);
                }
                None => self.fill().await?,
            }
        }
    }

    /// Reads a head, in lower case and without its final empty line.
    pub async fn head(&mut self) -> io::Result<String> {
        let head = self.until(b"\r\n\r\n").await?;
        Ok(String::from_utf8_lossy(&head).to_lowercase())
    }

    /// Reads the body that belongs to a head.
    pub async fn body(&mut self, head: &str) -> io::Result<Vec<u8>> {
        if let Some(length) = field(head, "content-length") {
            let length = length.parse().map_err(io::Error::other)?;
            return self.take(length).await;
        }
        let mut body = Vec::new();
        if field(head, "transfer-encoding").is_none() {
            return Ok(body);
        }
        loop {
            let size = self.until(b"\r\n").await?;
            let size = std::str::from_utf8(&size).map_err(io::Error::other)?;
            let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
            let data = self.take(size + 2).await?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&data[..size]);
        }
    }
}

/// Returns a body of which no two parts are alike; bodies of different rounds differ.
pub fn numbered_body(round: usize, bytes: usize) -> Vec<u8> {
    let words = (0..bytes.div_ceil(8)).map(|i| format!("{round:02}{i:05}."));
    let mut body = words.collect::<String>().into_bytes();
    body.truncate(bytes);
    body
}

/// Returns a piece of a body as a chunk.
pub fn chunk(piece: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat()
}

/// Sends a request whose body comes in pieces with a pause between them, by length or in chunks, and returns the status
/// and body of the response; `None` if the connection ends before.
pub async fn send_slowly(
    mut reader: Reader,
    line: &str,
    id: &str,
    body: &[u8],
    pieces: (usize, Duration),
    is_chunked: bool,
) -> Option<(u16, Vec<u8>)> {
    let framing = if is_chunked {
        "transfer-encoding: chunked".to_owned()
    } else {
        format!("content-length: {}", body.len())
    };
    let head = format!(
        "{line} HTTP/1.1\r\nhost: shop.example\r\nchicoryrail-request-id: {id}\r\nchicoryrail-deadline-ms: 3000\r\n{framing}\r\n\r\n"
    );
    reader.write(head.into_bytes()).await.ok()?;
    let (piece_bytes, pause) = pieces;
    for piece in body.chunks(piece_bytes) {
        let bytes = if is_chunked {
            chunk(piece)
        } else {
            piece.to_vec()
        };
        if reader.write(bytes).await.is_err() {
            break;
        }
        sleep(pause).await;
    }
    if is_chunked {
        let _ = reader.write(b"0\r\n\r\n".to_vec()).await;
    }
    let head = reader.head().await.ok()?;
    let status = head.get(9..12)?.parse().ok()?;
    let body = reader.body(&head).await.ok()?;
    Some((status, body))
}
