//! Where the heads of requests begin and end in a caller's bytes.

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

/// Most headers of a head that is scanned, whatever the listener admits.
const MOST_HEADERS: usize = 128;

/// Finds the heads of requests in the bytes of one connection, in order.
///
/// The HTTP layer serves one request of a connection after the other. What it will come to next is told from
/// the same bytes, with the same parser, so that a request can begin early. Wherever the end of a request
/// can't be told for sure (a body in chunks, a head that is no head), nothing is found any more: everything
/// behind is left to the HTTP layer alone.
#[derive(Debug)]
pub struct HeadScanner {
    /// The start of a head that is not whole yet.
    head: BytesMut,
    /// Bytes of a body that are still to come.
    body: u64,
    lost: bool,
    limit: usize,
    found: VecDeque<ScannedHead>,
}

/// The head of a request as it was found in a caller's bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScannedHead {
    bytes: Bytes,
    /// Whether the request has no body and leaves the connection open for the next one.
    pub plain: bool,
}

impl HeadScanner {
    /// Scans heads of at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            head: BytesMut::new(),
            body: 0,
            lost: false,
            limit,
            found: VecDeque::new(),
        }
    }

    /// Takes in the next bytes of the connection.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        let skipped = self.body.min(bytes.len() as u64);
        self.body -= skipped;
        bytes = &bytes[skipped as usize..];
        if self.lost || bytes.is_empty() {
            return;
        }
        // A caller that sends byte by byte would have the same start parsed again for each.
        let from = self.head.len().saturating_sub(3);
        self.head.extend_from_slice(bytes);
        if !holds_empty_line(&self.head[from..]) {
            self.lost = self.head.len() > self.limit;
            return;
        }
        while self.body == 0 && !self.lost && !self.head.is_empty() {
            if !self.take_head() {
                break;
            }
        }
    }

    /// Returns the next head, in the order of the requests.
    pub fn next_head(&mut self) -> Option<ScannedHead> {
        self.found.pop_front()
    }

    /// Takes the first head out of the bytes at hand; tells whether there was a whole one.
    fn take_head(&mut self) -> bool {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(&self.head) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => {
                self.lost = self.head.len() > self.limit;
                return false;
            }
            Err(_) => {
                self.lost = true;
                return false;
            }
        };
        let framing = Framing::of(&request);
        let plain = matches!(framing, Framing::Plain);
        let bytes = self.head.split_to(length).freeze();
        self.found.push_back(ScannedHead { bytes, plain });
        match framing {
            Framing::Plain => {}
            Framing::Body(length) => {
                let here = length.min(self.head.len() as u64);
                let _ = self.head.split_to(here as usize);
                self.body = length - here;
            }
            Framing::Unclear => self.lost = true,
        }
        if self.lost {
            self.head = BytesMut::new();
        }
        true
    }
}

/// What follows a head.
enum Framing {
    /// The next head.
    Plain,
    /// A body of that length.
    Body(u64),
    /// Something whose end is not told here.
    Unclear,
}

impl Framing {
    fn of(request: &httparse::Request<'_, '_>) -> Self {
        let mut length = None;
        for header in request.headers.iter() {
            let is = |name: &HeaderName| header.name.eq_ignore_ascii_case(name.as_str());
            let keeps = header
                .value
                .trim_ascii()
                .eq_ignore_ascii_case(b"keep-alive");
            if is(&TRANSFER_ENCODING) || is(&UPGRADE) || is(&EXPECT) || (is(&CONNECTION) && !keeps)
            {
                return Self::Unclear;
            }
            if is(&CONTENT_LENGTH) {
                let text = std::str::from_utf8(header.value).ok();
                let number = text.filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
                match number.and_then(|t| t.parse::<u64>().ok()) {
                    Some(number) if length.is_none() => length = Some(number),
                    _ => return Self::Unclear,
                }
            }
        }
        if request.version != Some(1) || request.method == Some(Method::CONNECT.as_str()) {
            return Self::Unclear;
        }
        match length {
            None | Some(0) => Self::Plain,
            Some(length) => Self::Body(length),
        }
    }
}

impl ScannedHead {
    /// Reads the head; `None` for one that the HTTP layer would not take either.
    #[must_use]
    pub fn request(&self) -> Option<Request<()>> {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
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

fn holds_empty_line(bytes: &[u8]) -> bool {
    bytes.windows(2).any(|w| w == b"\n\n") || bytes.windows(3).any(|w| w == b"\n\r\n")
}
