//! The server's side of a connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use gannethub_core::http::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use super::head::{HeadError, RequestHead};

/// The largest request body that is taken.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Bodies up to this size are not counted in the [`BodyBudget`]: heartbeats, queries and most submissions.
pub(super) const SMALL_BODY_BYTES: usize = 8 * 1024;
/// Room that is made for each read.
const READ_BYTES: usize = 4096;
/// A connection on which no request begins for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// A request has to be read, and a response written, within this time.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(8);
/// `Retry-After`, in seconds, of requests that are refused because the server is busy.
const BUSY_RETRY_AFTER: u32 = 1;
/// Room for the status line and the headers of a response.
const RESPONSE_HEAD_BYTES: usize = 160;
/// After a refusal this many reads of input are thrown away, each within [`DISCARD_TIMEOUT`].
const DISCARDED_READS: usize = 64;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// How many bytes of large request bodies a server holds at once, on all connections together. As many connections as
/// there are sockets, each with the largest body, would be more than the memory of a small machine. A clone shares the
/// budget.
#[derive(Clone)]
pub struct BodyBudget(Arc<Semaphore>);

impl BodyBudget {
    /// A budget of this many bytes, and of one body at least.
    pub fn new(bytes: usize) -> BodyBudget {
        let bytes = bytes.clamp(MAX_BODY_BYTES, u32::MAX as usize);
        BodyBudget(Arc::new(Semaphore::new(bytes)))
    }

    /// Takes the bytes of a body out of the budget until the permit is dropped. Small bodies need no permit.
    fn reserve(&self, bytes: usize) -> Result<Option<OwnedSemaphorePermit>, ReadError> {
        if bytes <= SMALL_BODY_BYTES {
            return Ok(None);
        }
        let permits = u32::try_from(bytes).unwrap_or(u32::MAX);
        match self.0.clone().try_acquire_many_owned(permits) {
            Ok(permit) => Ok(Some(permit)),
            Err(_) => Err(ReadError::BudgetExhausted),
        }
    }
}

/// Why no request could be read. All but [`ReadError::Closed`] are answered before the connection is closed.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    #[error("the connection is closed")]
    Closed,
    #[error("{0}")]
    Head(#[from] HeadError),
    #[error("the body is over 64 KiB")]
    BodyTooLarge,
    #[error("too many large requests at once")]
    BudgetExhausted,
    #[error("the request came too slowly")]
    TooSlow,
}

impl ReadError {
    /// The response to a request that could not be read; `None` where nobody is left to read one.
    pub fn response(&self) -> Option<Response> {
        let status = match self {
            ReadError::Closed => return None,
            ReadError::Head(error) => error.status(),
            ReadError::BodyTooLarge => 413,
            ReadError::BudgetExhausted => 503,
            ReadError::TooSlow => 408,
        };
        let response = Response::error(status, self);
        Some(match self {
            ReadError::BudgetExhausted => response.with_retry_after(BUSY_RETRY_AFTER),
            _ => response,
        })
    }
}

/// The server's side of one connection: requests are read, and answered with [`Connection::write`], one at a time.
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    body_budget: BodyBudget,
    /// What the request that is being answered takes of the budget.
    pub(super) body_permit: Option<OwnedSemaphorePermit>,
}

impl Connection {
    /// Takes over an accepted connection.
    pub fn new(stream: TcpStream, body_budget: BodyBudget) -> Connection {
        Connection {
            stream,
            buffer: BytesMut::new(),
            body_budget,
            body_permit: None,
        }
    }

    /// The next request; `None` when there will be no more. A request that cannot be read is answered with the reason
    /// first.
    pub async fn next(&mut self) -> Option<Request> {
        match self.read().await {
            Ok(request) => Some(request),
            Err(error) => {
                if let Some(response) = error.response() {
                    self.refuse(&response).await;
                }
                None
            }
        }
    }

    /// Waits for a request and reads it. Idle and slow clients are given up.
    pub(super) async fn read(&mut self) -> Result<Request, ReadError> {
        if self.buffer.is_empty() {
            match timeout(IDLE_TIMEOUT, self.read_first_bytes()).await {
                Ok(result) => result?,
                Err(_) => return Err(ReadError::Closed),
            }
        }
        match timeout(TRANSFER_TIMEOUT, self.read_request()).await {
            Ok(result) => result,
            Err(_) => Err(ReadError::TooSlow),
        }
    }

    /// Reads the first bytes of a request. Until they come the connection holds no buffer for them: most connections are
    /// idle, and there may be as many as sockets.
    async fn read_first_bytes(&mut self) -> Result<(), ReadError> {
        match self.stream.readable().await {
            Ok(()) => self.read_more().await,
            Err(_) => Err(ReadError::Closed),
        }
    }

    /// Reads what is there. The buffer has room for a whole heartbeat: a read that fills its room has to be followed by
    /// another.
    async fn read_more(&mut self) -> Result<(), ReadError> {
        self.buffer.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(count) if count > 0 => Ok(()),
            _ => Err(ReadError::Closed),
        }
    }

    async fn read_request(&mut self) -> Result<Request, ReadError> {
        let head = loop {
            match RequestHead::parse(&self.buffer)? {
                Some(head) => break head,
                None => self.read_more().await?,
            }
        };
        if head.body_bytes > MAX_BODY_BYTES {
            return Err(ReadError::BodyTooLarge);
        }
        self.body_permit = self.body_budget.reserve(head.body_bytes)?;
        self.buffer.advance(head.head_bytes);
        let missing = head.body_bytes.saturating_sub(self.buffer.len());
        self.buffer.reserve(missing);
        while self.buffer.len() < head.body_bytes {
            self.read_more().await?;
        }
        let mut request = head.request;
        request.body = self.buffer.split_to(head.body_bytes).freeze();
        if self.buffer.is_empty() {
            // Keeps an idle connection from holding the room of its largest request.
            self.buffer = BytesMut::new();
        }
        Ok(request)
    }

    /// Writes the response to the request that was read last; `close` tells the client that it is the last one.
    pub async fn write(&mut self, response: &Response, close: bool) -> std::io::Result<()> {
        let bytes = encode(response, close)?;
        self.body_permit = None;
        match timeout(TRANSFER_TIMEOUT, self.stream.write_all(&bytes)).await {
            Ok(result) => result,
            Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
        }
    }

    /// Answers a request that could not be read, and lets the client see the response before the connection is closed.
    pub(super) async fn refuse(&mut self, response: &Response) {
        if self.write(response, true).await.is_err() {
            return;
        }
        let _ = self.stream.shutdown().await;
        // Unread input would turn the close into a reset that destroys the response.
        // On the heap: as a part of every connection's task it would be most of what an idle one holds.
        let mut discarded = vec![0u8; READ_BYTES];
        for _ in 0..DISCARDED_READS {
            match timeout(DISCARD_TIMEOUT, self.stream.read(&mut discarded)).await {
                Ok(Ok(count)) if count > 0 => {}
                _ => break,
            }
        }
    }
}

/// The bytes of a response.
fn encode(response: &Response, close: bool) -> std::io::Result<Vec<u8>> {
    use std::io::Write;
    let mut bytes = Vec::with_capacity(RESPONSE_HEAD_BYTES + response.body.len());
    write!(
        bytes,
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        response.status,
        reason_phrase(response.status),
        response.body.len()
    )?;
    if let Some(seconds) = response.retry_after {
        write!(bytes, "Retry-After: {seconds}\r\n")?;
    }
    if close {
        bytes.extend_from_slice(b"Connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(&response.body);
    Ok(bytes)
}

fn reason_phrase(status: u16) -> &'static str {
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
