//! The server side of an HTTP connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use gannethub_core::http::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use super::head::{HeadError, RequestHead};

/// Maximum size of a request body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a body that is not counted in the [`BodyBudget`]. Heartbeats, queries and most submissions do not
/// exceed this size.
pub(super) const SMALL_BODY_BYTES: usize = 8 * 1024;
/// Buffer space reserved for each read.
const READ_BYTES: usize = 4096;
/// Time after which a connection without a new request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Maximum time to read a request, and to write a response.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(8);
/// `Retry-After`, in seconds, of the response to a request that is refused because the server is busy.
const BUSY_RETRY_AFTER: u32 = 1;
/// Buffer space for the status line and the headers of a response.
const RESPONSE_HEAD_BYTES: usize = 160;
/// Maximum number of reads whose input is discarded after a refusal. Each read has the time limit [`DISCARD_TIMEOUT`].
const MAX_DISCARDED_READS: usize = 64;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// The number of bytes of large request bodies that a server holds at once, over all connections. If every socket had
/// a connection with a body of the maximum size, the bodies would exceed the memory of a small machine. Clones share
/// one budget.
#[derive(Clone)]
pub struct BodyBudget(Arc<Semaphore>);

impl BodyBudget {
    /// Creates a budget of this many bytes, but at least [`MAX_BODY_BYTES`], which is one body.
    pub fn new(bytes: usize) -> BodyBudget {
        let bytes = bytes.clamp(MAX_BODY_BYTES, u32::MAX as usize);
        BodyBudget(Arc::new(Semaphore::new(bytes)))
    }

    /// Reserves the bytes of a body in the budget until the returned permit is dropped. Small bodies need no permit.
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

/// Errors of reading a request. All errors except [`ReadError::Closed`] are answered before the connection is closed.
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
    #[error("the request took too long to arrive")]
    TooSlow,
}

impl ReadError {
    /// Returns the response to a request that could not be read; `None` if the client has closed the connection.
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

/// The server side of one connection. Requests are read, and answered with [`Connection::write`], one at a time.
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    body_budget: BodyBudget,
    /// Share of the body budget held by the request that is being answered.
    pub(super) body_permit: Option<OwnedSemaphorePermit>,
}

impl Connection {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, body_budget: BodyBudget) -> Connection {
        Connection {
            stream,
            buffer: BytesMut::new(),
            body_budget,
            body_permit: None,
        }
    }

    /// Returns the next request; `None` after the last one. A request that cannot be read is answered with the reason,
    /// and no further request is read.
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

    /// Waits for a request and reads it. Returns an error for idle and slow clients.
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

    /// Reads the first bytes of a request. The connection holds no read buffer until bytes arrive: most connections
    /// are idle, and there may be as many connections as sockets.
    async fn read_first_bytes(&mut self) -> Result<(), ReadError> {
        match self.stream.readable().await {
            Ok(()) => self.read_more().await,
            Err(_) => Err(ReadError::Closed),
        }
    }

    /// Reads the available bytes. The reserved space is enough for a whole heartbeat, because a read that fills its
    /// space has to be followed by another read.
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
            // An idle connection must not keep the buffer capacity of its largest request.
            self.buffer = BytesMut::new();
        }
        Ok(request)
    }

    /// Writes the response to the most recently read request. `close` tells the client that the connection is closed
    /// after this response.
    pub async fn write(&mut self, response: &Response, close: bool) -> std::io::Result<()> {
        let bytes = encode(response, close)?;
        self.body_permit = None;
        match timeout(TRANSFER_TIMEOUT, self.stream.write_all(&bytes)).await {
            Ok(result) => result,
            Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
        }
    }

    /// Answers a request that could not be read, and gives the client time to read the response before the connection
    /// is closed.
    pub(super) async fn refuse(&mut self, response: &Response) {
        if self.write(response, true).await.is_err() {
            return;
        }
        let _ = self.stream.shutdown().await;
        // Unread input would turn the close into a reset that destroys the response, so input is read and discarded.
        // The buffer is on the heap: inside the task of every connection it would be most of the memory that an idle
        // connection holds.
        let mut discarded = vec![0u8; READ_BYTES];
        for _ in 0..MAX_DISCARDED_READS {
            match timeout(DISCARD_TIMEOUT, self.stream.read(&mut discarded)).await {
                Ok(Ok(count)) if count > 0 => {}
                _ => break,
            }
        }
    }
}

/// Encodes a response for the wire.
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
