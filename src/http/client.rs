//! The HTTP client, which sends requests to one server over connections that are kept open.

use std::cell::RefCell;
use std::io::{Error, ErrorKind};
use std::net::{SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use gannethub_core::http::{Answer, CallError, CallResult, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::head::ResponseHead;

/// Maximum size of a response body. The limit is high because one answer to a watch of the state service may hold many
/// changes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Initial capacity of the buffer for a response.
const RESPONSE_BUFFER_BYTES: usize = 2048;
/// Maximum number of idle connections; further ones are closed.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Size of the end of line that follows each chunk.
const CHUNK_END_BYTES: usize = 2;
/// Status `No Content`, whose responses have no body regardless of their headers.
const NO_CONTENT: u16 = 204;

/// Status of a request that exceeds the server's rate limit.
const TOO_MANY_REQUESTS: u16 = 429;

/// Maximum time that [`request_any`] waits for each answer.
const ASK_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which [`request_any`] repeats the request.
const ASK_PERIOD: Duration = Duration::from_secs(60);
/// Delay of [`request_any`] between two requests.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// A client of one server, with the connections to that server.
pub struct Client {
    addr: SocketAddrV4,
    idle: RefCell<Vec<TcpStream>>,
}

impl Client {
    /// Creates a client of the server at this address. The first connection is opened by the first call.
    pub fn new(addr: SocketAddrV4) -> Client {
        Client {
            addr,
            idle: RefCell::default(),
        }
    }

    /// Sends one request and waits for its answer. The client never repeats a request, because the server may have
    /// carried it out already.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        time_limit: Duration,
    ) -> CallResult {
        match timeout(time_limit, self.try_call(method, path, body)).await {
            Ok(answer) => answer.map_err(|_| CallError::Disconnected),
            Err(_) => Err(CallError::Timeout),
        }
    }

    async fn try_call(&self, method: Method, path: &str, body: &[u8]) -> std::io::Result<Answer> {
        let mut bytes = format!(
            "{} {path} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n",
            method.as_str(),
            self.addr,
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        let mut stream = self.connection().await?;
        stream.write_all(&bytes).await?;
        let response = read_response(&mut stream).await?;
        if !response.closes_connection {
            self.keep_idle(stream);
        }
        Ok(response.answer)
    }

    /// Returns an idle connection, or opens a new one.
    async fn connection(&self) -> std::io::Result<TcpStream> {
        let idle = self.idle.borrow_mut().pop();
        if let Some(stream) = idle.filter(is_open) {
            return Ok(stream);
        }
        let stream = TcpStream::connect(SocketAddr::V4(self.addr)).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn keep_idle(&self, stream: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(stream);
        }
    }
}

/// Whether an idle connection is still open at the server. A connection that the server has closed must not make the
/// next request fail.
fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    matches!(stream.try_read(&mut byte), Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// No server gave a final answer, which is one that sending the request again would not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no server gave a final answer; the last status was {last_status:?}")]
pub struct NoFinalAnswer {
    /// Status of the last answer, if any answer came.
    pub last_status: Option<u16>,
}

/// Whether an answer is final, which means that sending the request again would not change it. Server errors and "too
/// many requests" are not final.
pub fn is_final(answer: &Answer) -> bool {
    answer.status < 500 && answer.status != TOO_MANY_REQUESTS
}

/// Sends a request to the servers in turn, once a second for a minute, until one server gives a final answer.
pub async fn request_any(
    clients: &[Client],
    method: Method,
    path: &str,
    body: &[u8],
) -> Result<Answer, NoFinalAnswer> {
    let deadline = Instant::now() + ASK_PERIOD;
    let mut last_status = None;
    for client in clients.iter().cycle() {
        match client.call(method, path, body, ASK_TIMEOUT).await {
            Ok(answer) if is_final(&answer) => return Ok(answer),
            Ok(answer) => last_status = Some(answer.status),
            Err(_) => {}
        }
        if Instant::now() >= deadline {
            break;
        }
        sleep(ASK_INTERVAL).await;
    }
    Err(NoFinalAnswer { last_status })
}

/// A response, and whether the server closes the connection after it.
struct ReceivedResponse {
    answer: Answer,
    closes_connection: bool,
}

async fn read_response(stream: &mut TcpStream) -> std::io::Result<ReceivedResponse> {
    let mut buffer = BytesMut::with_capacity(RESPONSE_BUFFER_BYTES);
    let head = loop {
        read_more(stream, &mut buffer).await?;
        let parsed = ResponseHead::parse(&buffer);
        if let Some(head) = parsed.map_err(|error| Error::new(ErrorKind::InvalidData, error))? {
            break head;
        }
    };
    buffer.advance(head.head_bytes);
    let mut closes_connection = head.framing.closes_connection;
    let body = if head.framing.is_chunked {
        read_chunked_body(stream, &mut buffer).await?
    } else if let Some(length) = head.framing.content_length {
        read_sized_body(stream, &mut buffer, length).await?
    } else if head.status == NO_CONTENT {
        Bytes::new()
    } else {
        closes_connection = true;
        read_body_to_end(stream, &mut buffer).await?
    };
    Ok(ReceivedResponse {
        answer: Answer::new(head.status, body),
        closes_connection,
    })
}

/// Reads the available bytes. The end of the connection is an error.
async fn read_more(stream: &mut TcpStream, buffer: &mut BytesMut) -> std::io::Result<()> {
    match stream.read_buf(buffer).await? {
        0 => Err(ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

async fn read_sized_body(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    length: usize,
) -> std::io::Result<Bytes> {
    if length > MAX_RESPONSE_BYTES {
        return Err(ErrorKind::InvalidData.into());
    }
    while buffer.len() < length {
        read_more(stream, buffer).await?;
    }
    Ok(buffer.split_to(length).freeze())
}

/// Reads a body that ends with the connection.
async fn read_body_to_end(stream: &mut TcpStream, buffer: &mut BytesMut) -> std::io::Result<Bytes> {
    loop {
        if buffer.len() > MAX_RESPONSE_BYTES {
            return Err(ErrorKind::InvalidData.into());
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(buffer.split().freeze());
        }
    }
}

async fn read_chunked_body(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
) -> std::io::Result<Bytes> {
    let mut body = BytesMut::new();
    loop {
        let parsed =
            httparse::parse_chunk_size(buffer).map_err(|_| Error::from(ErrorKind::InvalidData))?;
        let httparse::Status::Complete((size_line_bytes, size)) = parsed else {
            read_more(stream, buffer).await?;
            continue;
        };
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > MAX_RESPONSE_BYTES || body.len() + size > MAX_RESPONSE_BYTES {
            return Err(ErrorKind::InvalidData.into());
        }
        let data_end = size_line_bytes + size;
        while buffer.len() < data_end + CHUNK_END_BYTES {
            read_more(stream, buffer).await?;
        }
        body.extend_from_slice(&buffer[size_line_bytes..data_end]);
        buffer.advance(data_end + CHUNK_END_BYTES);
        if size == 0 {
            return Ok(body.freeze());
        }
    }
}
