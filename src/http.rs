//! HTTP/1.1 over TCP: a small server, and a client that keeps its connections.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
pub use gannethub_core::http::{
    Answer, CallResult, Method, NoAnswer, Request, Response, decode_ok,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};

/// The largest request body the service takes.
pub const MAX_BODY: usize = 64 * 1024;
const MAX_HEAD: usize = 8 * 1024;
/// The state service's watches may answer with much at once.
const MAX_RESPONSE: usize = 8 * 1024 * 1024;
/// Room made for each read.
const READ: usize = 4096;
const IDLE: Duration = Duration::from_secs(75);
const SLOW: Duration = Duration::from_secs(8);

/// Bodies up to this size need no leave: reports, queries and most submissions.
const SMALL_BODY: usize = 8 * 1024;

/// How many bytes of large request bodies a server holds at once, on all connections together. As many connections as
/// there are sockets, each with the largest body, would be more than a small machine's memory.
#[derive(Clone)]
pub struct Bodies(Arc<Semaphore>);

impl Bodies {
    /// Room for so many bytes, and for one body at least.
    pub fn new(bytes: usize) -> Bodies {
        Bodies(Arc::new(Semaphore::new(
            bytes.clamp(MAX_BODY, u32::MAX as usize),
        )))
    }

    fn take(&self, bytes: usize) -> Result<Option<OwnedSemaphorePermit>, ReadError> {
        if bytes <= SMALL_BODY {
            return Ok(None);
        }
        let full = ReadError::Bad(503, "too many large requests at once");
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.0
            .clone()
            .try_acquire_many_owned(bytes)
            .map(Some)
            .map_err(|_| full)
    }
}

/// Why no request could be read. `Bad` is answered before the connection is closed.
#[derive(Debug)]
enum ReadError {
    Closed,
    Bad(u16, &'static str),
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

#[derive(Default)]
struct Headers {
    length: Option<usize>,
    chunked: bool,
    close: bool,
    bad: bool,
}

fn headers(list: &[httparse::Header<'_>]) -> Headers {
    let mut out = Headers::default();
    for h in list {
        let value = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            match value.parse::<usize>() {
                Ok(n) if out.length.is_none_or(|m| m == n) => out.length = Some(n),
                _ => out.bad = true,
            }
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            out.chunked = true;
        } else if h.name.eq_ignore_ascii_case("connection") {
            out.close |= value
                .split(',')
                .any(|v| v.trim().eq_ignore_ascii_case("close"));
        }
    }
    out
}

/// The head of a request, if all of it is there: how long it is, the request so far, and the length of its body.
///
/// Apart from what waits for more bytes, so that no connection that waits holds the table of headers.
fn parse_head(buf: &[u8]) -> Result<Option<(usize, Request, usize)>, ReadError> {
    let mut space = [httparse::EMPTY_HEADER; 48];
    let mut parsed = httparse::Request::new(&mut space);
    let head = match parsed.parse(buf) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) if buf.len() > MAX_HEAD => {
            return Err(ReadError::Bad(431, "the head is too large"));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => {
            return Err(ReadError::Bad(431, "too many headers"));
        }
        Err(_) => return Err(ReadError::Bad(400, "not an HTTP request")),
    };
    let h = headers(parsed.headers);
    if h.bad {
        return Err(ReadError::Bad(400, "content-length is invalid"));
    }
    if h.chunked {
        return Err(ReadError::Bad(411, "a content-length is needed"));
    }
    let request = Request {
        method: Method::parse(parsed.method.unwrap_or("")),
        path: parsed.path.unwrap_or("").to_string(),
        body: Bytes::new(),
        closes_connection: h.close || parsed.version == Some(0),
    };
    Ok(Some((head, request, h.length.unwrap_or(0))))
}

/// The server's side of one connection.
pub struct Connection {
    stream: TcpStream,
    buf: BytesMut,
    bodies: Bodies,
    /// What the request that is being answered takes of them.
    held: Option<OwnedSemaphorePermit>,
}

impl Connection {
    pub fn new(stream: TcpStream, bodies: Bodies) -> Connection {
        Connection {
            stream,
            buf: BytesMut::new(),
            bodies,
            held: None,
        }
    }

    /// The next request; `None` when there will be no more. What cannot be read is answered first.
    pub async fn next(&mut self) -> Option<Request> {
        match self.read().await {
            Ok(request) => Some(request),
            Err(ReadError::Closed) => None,
            Err(ReadError::Bad(status, why)) => {
                self.refuse(status, why).await;
                None
            }
        }
    }

    /// Idle and slow clients are given up.
    async fn read(&mut self) -> Result<Request, ReadError> {
        if self.buf.is_empty() {
            match timeout(IDLE, self.begin()).await {
                Ok(result) => result?,
                Err(_) => return Err(ReadError::Closed),
            }
        }
        match timeout(SLOW, self.read_request()).await {
            Ok(result) => result,
            Err(_) => Err(ReadError::Bad(408, "the request came too slowly")),
        }
    }

    /// The first bytes of a request. Until they come a connection holds no room for them: most are idle, and there
    /// may be as many as sockets.
    async fn begin(&mut self) -> Result<(), ReadError> {
        match self.stream.readable().await {
            Ok(()) => self.more().await,
            Err(_) => Err(ReadError::Closed),
        }
    }

    /// Room for a whole report: a read that fills its room has to be followed by another.
    async fn more(&mut self) -> Result<(), ReadError> {
        self.buf.reserve(READ);
        match self.stream.read_buf(&mut self.buf).await {
            Ok(n) if n > 0 => Ok(()),
            _ => Err(ReadError::Closed),
        }
    }

    async fn read_request(&mut self) -> Result<Request, ReadError> {
        let (head, mut request, length) = loop {
            match parse_head(&self.buf)? {
                Some(parsed) => break parsed,
                None => self.more().await?,
            }
        };
        if length > MAX_BODY {
            return Err(ReadError::Bad(413, "the body is over 64 KiB"));
        }
        self.held = self.bodies.take(length)?;
        self.buf.advance(head);
        self.buf.reserve(length.saturating_sub(self.buf.len()));
        while self.buf.len() < length {
            self.more().await?;
        }
        request.body = self.buf.split_to(length).freeze();
        if self.buf.is_empty() {
            // Keeps an idle connection from holding the room of its largest request.
            self.buf = BytesMut::new();
        }
        Ok(request)
    }

    pub async fn write(&mut self, response: &Response, close: bool) -> std::io::Result<()> {
        use std::io::Write;
        let mut out = Vec::with_capacity(160 + response.body.len());
        write!(
            out,
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            response.status,
            reason(response.status),
            response.body.len()
        )?;
        if let Some(s) = response.retry_after {
            write!(out, "Retry-After: {s}\r\n")?;
        }
        if close {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&response.body);
        self.held = None;
        match timeout(SLOW, self.stream.write_all(&out)).await {
            Ok(result) => result,
            Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
        }
    }

    /// Answers what could not be read and lets the client see the answer before the end.
    async fn refuse(&mut self, status: u16, why: &str) {
        let response = Response::error(status, why);
        let response = if status == 503 {
            response.with_retry_after(1)
        } else {
            response
        };
        if self.write(&response, true).await.is_ok() {
            let _ = self.stream.shutdown().await;
            // Unread input would turn the close into a reset that destroys the answer.
            // On the heap: as a part of every connection's task it would be most of what an idle one holds.
            let mut sink = vec![0u8; 4096];
            for _ in 0..64 {
                match timeout(Duration::from_millis(500), self.stream.read(&mut sink)).await {
                    Ok(Ok(n)) if n > 0 => {}
                    _ => break,
                }
            }
        }
    }
}

/// The client's connections to one server.
pub struct Client {
    addr: SocketAddrV4,
    idle: std::cell::RefCell<Vec<TcpStream>>,
}

impl Client {
    pub fn new(addr: SocketAddrV4) -> Client {
        Client {
            addr,
            idle: Default::default(),
        }
    }

    /// Sends one request.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        patience: Duration,
    ) -> CallResult {
        match timeout(patience, self.try_call(method, path, body)).await {
            Ok(answer) => answer.map_err(|_| NoAnswer::Disconnected),
            Err(_) => Err(NoAnswer::Timeout),
        }
    }

    async fn try_call(&self, method: Method, path: &str, body: &[u8]) -> std::io::Result<Answer> {
        let mut out = format!(
            "{} {path} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n",
            method.as_str(),
            self.addr,
            body.len()
        )
        .into_bytes();
        out.extend_from_slice(body);
        let pooled = self.idle.borrow_mut().pop();
        let mut stream = match pooled {
            Some(s) if still_open(&s) => s,
            _ => {
                let s = TcpStream::connect(std::net::SocketAddr::V4(self.addr)).await?;
                s.set_nodelay(true)?;
                s
            }
        };
        stream.write_all(&out).await?;
        let (status, body, close) = read_response(&mut stream).await?;
        if !close {
            let mut idle = self.idle.borrow_mut();
            if idle.len() < 8 {
                idle.push(stream);
            }
        }
        Ok(Answer { status, body })
    }
}

/// How long a request waits for its answer, and for how long it is repeated.
const PATIENCE: Duration = Duration::from_secs(5);
const REPEATS: Duration = Duration::from_secs(60);

/// Asks servers in turn, once a second, until one gives an answer that asking again would not change. An error
/// is the last status that came, if one did.
pub async fn ask_any(
    clients: &[Client],
    method: Method,
    path: &str,
    body: &[u8],
) -> Result<Answer, Option<u16>> {
    let until = Instant::now() + REPEATS;
    let mut last = None;
    for client in clients.iter().cycle() {
        match client.call(method, path, body, PATIENCE).await {
            Ok(answer) if answer.status < 500 && answer.status != 429 => return Ok(answer),
            result => last = result.ok().map(|answer| answer.status).or(last),
        }
        if Instant::now() >= until {
            break;
        }
        sleep(Duration::from_secs(1)).await;
    }
    Err(last)
}

/// A kept connection that the server has closed must not cost the next request.
fn still_open(s: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    matches!(s.try_read(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

async fn read_response(stream: &mut TcpStream) -> std::io::Result<(u16, Bytes, bool)> {
    use std::io::{Error, ErrorKind};
    let mut buf = BytesMut::with_capacity(2048);
    let (head, status, h) = loop {
        if stream.read_buf(&mut buf).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let mut space = [httparse::EMPTY_HEADER; 48];
        let mut parsed = httparse::Response::new(&mut space);
        match parsed
            .parse(&buf)
            .map_err(|e| Error::new(ErrorKind::InvalidData, e))?
        {
            httparse::Status::Complete(n) => {
                break (n, parsed.code.unwrap_or(0), headers(parsed.headers));
            }
            httparse::Status::Partial if buf.len() > MAX_HEAD => {
                return Err(ErrorKind::InvalidData.into());
            }
            httparse::Status::Partial => {}
        }
    };
    buf.advance(head);
    if h.chunked {
        let body = read_chunked(stream, &mut buf).await?;
        return Ok((status, body, h.close));
    }
    let (length, close) = match h.length {
        Some(n) => (n, h.close),
        None if status == 204 => (0, h.close),
        None => (usize::MAX, true),
    };
    if length != usize::MAX && length > MAX_RESPONSE {
        return Err(ErrorKind::InvalidData.into());
    }
    while buf.len() < length {
        if buf.len() > MAX_RESPONSE {
            return Err(ErrorKind::InvalidData.into());
        }
        if stream.read_buf(&mut buf).await? == 0 {
            if length == usize::MAX {
                break;
            }
            return Err(ErrorKind::UnexpectedEof.into());
        }
    }
    let length = length.min(buf.len());
    Ok((status, buf.split_to(length).freeze(), close))
}

async fn read_chunked(stream: &mut TcpStream, buf: &mut BytesMut) -> std::io::Result<Bytes> {
    use std::io::{Error, ErrorKind};
    let mut body = BytesMut::new();
    loop {
        match httparse::parse_chunk_size(buf) {
            Ok(httparse::Status::Complete((start, size))) => {
                let size = usize::try_from(size).unwrap_or(usize::MAX);
                if size > MAX_RESPONSE || body.len() + size > MAX_RESPONSE {
                    return Err(ErrorKind::InvalidData.into());
                }
                while buf.len() < start + size + 2 {
                    if stream.read_buf(buf).await? == 0 {
                        return Err(ErrorKind::UnexpectedEof.into());
                    }
                }
                body.extend_from_slice(&buf[start..start + size]);
                buf.advance(start + size + 2);
                if size == 0 {
                    return Ok(body.freeze());
                }
            }
            Ok(httparse::Status::Partial) => {
                if stream.read_buf(buf).await? == 0 {
                    return Err(ErrorKind::UnexpectedEof.into());
                }
            }
            Err(_) => return Err(Error::from(ErrorKind::InvalidData)),
        }
    }
}

#[cfg(test)]
mod tests;
