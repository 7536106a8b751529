//! Finds request heads in the bytes of a caller's connection.

use std::collections::VecDeque;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::EXPECT;
use http::header::TRANSFER_ENCODING;
use http::header::UPGRADE;

/// Maximum number of headers that the scanner parses; at a head with more it stops. hyper enforces the listener's own
/// limit, [`HttpLimits::max_headers`](crate::HttpLimits::max_headers).
const MAX_HEADERS: usize = 128;

/// Finds the request heads in the bytes of one connection, in order.
///
/// hyper serves the requests of a connection one after the other. The scanner reads the same bytes with `httparse`,
/// which hyper uses too, so that a later request can start early. Where the next head may not follow or its start is
/// uncertain, the scanner stops for good and leaves the rest of the connection to hyper: after a head that is
/// invalid or too long, a chunked body, a repeated or invalid `Content-Length`, HTTP/1.0, `CONNECT`, `Upgrade`,
/// `Expect`, or a `Connection` header other than keep-alive.
#[derive(Debug)]
pub struct HeadScanner {
    /// Start of a head that is not complete yet.
    partial_head: BytesMut,
    /// Number of bytes of the current body that were not received yet.
    body_left: u64,
    /// Set when the start of the next head can't be determined, or there is none; all further bytes are ignored.
    stopped: bool,
    /// Maximum size of a head in bytes.
    max_head: usize,
    heads: VecDeque<ScannedHead>,
}

/// A request head that was found in the bytes of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScannedHead {
    bytes: Bytes,
    /// Whether the request has no body and keeps the connection open for the next one.
    pub pipelinable: bool,
}

impl HeadScanner {
    /// Returns a scanner for heads of at most `max_head` bytes.
    #[must_use]
    pub fn new(max_head: usize) -> Self {
        Self {
            partial_head: BytesMut::new(),
            body_left: 0,
            stopped: false,
            max_head,
            heads: VecDeque::new(),
        }
    }

    /// Scans the next bytes of the connection.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        let skipped = self.body_left.min(bytes.len() as u64);
        self.body_left -= skipped;
        bytes = &bytes[skipped as usize..];
        if self.stopped || bytes.is_empty() {
            return;
        }
        // Parses only when a head is complete: otherwise a caller that sends single bytes would cause quadratic
        // parsing. The empty line at the end of a head may span two reads.
        let search_start = self.partial_head.len().saturating_sub(3);
        self.partial_head.extend_from_slice(bytes);
        if !has_empty_line(&self.partial_head[search_start..]) {
            self.stopped = self.partial_head.len() > self.max_head;
            return;
        }
        while self.body_left == 0 && !self.stopped && !self.partial_head.is_empty() {
            if !self.take_head() {
                break;
            }
        }
    }

    /// Returns the next complete head, in the order of the requests.
    pub fn next_head(&mut self) -> Option<ScannedHead> {
        self.heads.pop_front()
    }

    /// Moves the first buffered head to `heads` and skips its body. Returns `false` if the head is incomplete or
    /// invalid.
    ///
    /// Scanning stops at an invalid head, and after a head that is not certain to be followed by another.
    fn take_head(&mut self) -> bool {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(&self.partial_head) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => {
                self.stopped = self.partial_head.len() > self.max_head;
                return false;
            }
            Err(_) => {
                self.stopped = true;
                return false;
            }
        };
        let framing = Framing::from_request(&request);
        let pipelinable = matches!(framing, Framing::NoBody);
        let bytes = self.partial_head.split_to(length).freeze();
        self.heads.push_back(ScannedHead { bytes, pipelinable });
        match framing {
            Framing::NoBody => {}
            Framing::Body(length) => {
                let buffered = length.min(self.partial_head.len() as u64);
                let _ = self.partial_head.split_to(buffered as usize);
                self.body_left = length - buffered;
            }
            Framing::Unknown => self.stopped = true,
        }
        if self.stopped {
            self.partial_head = BytesMut::new();
        }
        true
    }
}

/// What follows a request head.
enum Framing {
    /// The next head: the request has no body and keeps the connection open.
    NoBody,
    /// A body of this length in bytes.
    Body(u64),
    /// The scanner can't tell where the next head starts, or there is none.
    Unknown,
}

impl Framing {
    fn from_request(request: &httparse::Request<'_, '_>) -> Self {
        let mut length = None;
        for header in request.headers.iter() {
            let is_named = |name: &HeaderName| header.name.eq_ignore_ascii_case(name.as_str());
            let is_keep_alive = header
                .value
                .trim_ascii()
                .eq_ignore_ascii_case(b"keep-alive");
            if is_named(&TRANSFER_ENCODING)
                || is_named(&UPGRADE)
                || is_named(&EXPECT)
                || (is_named(&CONNECTION) && !is_keep_alive)
            {
                return Self::Unknown;
            }
            if is_named(&CONTENT_LENGTH) {
                let text = std::str::from_utf8(header.value).ok();
                let number = text.filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
                match number.and_then(|t| t.parse::<u64>().ok()) {
                    Some(number) if length.is_none() => length = Some(number),
                    _ => return Self::Unknown,
                }
            }
        }
        if request.version != Some(1) || request.method == Some(Method::CONNECT.as_str()) {
            return Self::Unknown;
        }
        match length {
            None | Some(0) => Self::NoBody,
            Some(length) => Self::Body(length),
        }
    }
}

impl ScannedHead {
    /// Parses the head. Returns `None` for a head that hyper would reject too.
    #[must_use]
    pub fn to_request(&self) -> Option<Request<()>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        parsed.parse(&self.bytes).ok()?;
        let mut request = Request::new(());
        *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
        *request.uri_mut() = Uri::try_from(parsed.path?).ok()?;
        let mut all = HeaderMap::with_capacity(parsed.headers.len());
        for header in parsed.headers.iter() {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            all.append(name, HeaderValue::from_bytes(header.value).ok()?);
        }
        *request.headers_mut() = all;
        Some(request)
    }
}

fn has_empty_line(bytes: &[u8]) -> bool {
    bytes.windows(2).any(|w| w == b"\n\n") || bytes.windows(3).any(|w| w == b"\n\r\n")
}
