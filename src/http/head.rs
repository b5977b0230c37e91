//! The heads of requests and responses.

use bytes::Bytes;
use gannethub_core::http::{Method, Request};

/// A head that is longer is refused.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// A head with more headers is refused.
const MAX_HEADERS: usize = 48;

/// Why a head cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum HeadError {
    #[error("the head is too large")]
    TooLarge,
    #[error("too many headers")]
    TooManyHeaders,
    #[error("not an HTTP request")]
    Malformed,
    #[error("content-length is invalid")]
    InvalidLength,
    #[error("a content-length is needed")]
    LengthRequired,
}

impl HeadError {
    /// The status that a request with such a head is answered with.
    pub fn status(self) -> u16 {
        match self {
            HeadError::TooLarge | HeadError::TooManyHeaders => 431,
            HeadError::Malformed | HeadError::InvalidLength => 400,
            HeadError::LengthRequired => 411,
        }
    }
}

/// The head of a request, once all of it is there.
pub(super) struct RequestHead {
    /// How many bytes the head takes; the body begins after them.
    pub head_bytes: usize,
    /// The request, with an empty body.
    pub request: Request,
    pub body_bytes: usize,
}

impl RequestHead {
    /// Reads the head at the start of a buffer; `None` if it needs more bytes.
    ///
    /// Not a part of the code that waits for these bytes, so that no connection that waits holds the table of headers.
    pub fn parse(buffer: &[u8]) -> Result<Option<RequestHead>, HeadError> {
        let mut table = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut table);
        let Some(head_bytes) = complete_length(parsed.parse(buffer), buffer.len())? else {
            return Ok(None);
        };
        let framing = Framing::of(parsed.headers);
        if framing.is_length_invalid {
            return Err(HeadError::InvalidLength);
        }
        if framing.is_chunked {
            return Err(HeadError::LengthRequired);
        }
        let is_http_1_0 = parsed.version == Some(0);
        let request = Request {
            method: Method::parse(parsed.method.unwrap_or("")),
            path: parsed.path.unwrap_or("").to_string(),
            body: Bytes::new(),
            closes_connection: framing.closes_connection || is_http_1_0,
        };
        Ok(Some(RequestHead {
            head_bytes,
            request,
            body_bytes: framing.content_length.unwrap_or(0),
        }))
    }
}

/// The head of a response, once all of it is there.
pub(super) struct ResponseHead {
    /// How many bytes the head takes; the body begins after them.
    pub head_bytes: usize,
    pub status: u16,
    pub framing: Framing,
}

impl ResponseHead {
    /// Reads the head at the start of a buffer; `None` if it needs more bytes.
    pub fn parse(buffer: &[u8]) -> Result<Option<ResponseHead>, HeadError> {
        let mut table = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut table);
        let Some(head_bytes) = complete_length(parsed.parse(buffer), buffer.len())? else {
            return Ok(None);
        };
        Ok(Some(ResponseHead {
            head_bytes,
            status: parsed.code.unwrap_or(0),
            framing: Framing::of(parsed.headers),
        }))
    }
}

/// How long a parsed head is; `None` if more bytes are needed and may still come.
fn complete_length(
    parsed: httparse::Result<usize>,
    buffered: usize,
) -> Result<Option<usize>, HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(head_bytes)) => Ok(Some(head_bytes)),
        Ok(httparse::Status::Partial) if buffered > MAX_HEAD_BYTES => Err(HeadError::TooLarge),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooManyHeaders),
        Err(_) => Err(HeadError::Malformed),
    }
}

/// What the headers say of the body and of the connection.
#[derive(Default)]
pub(super) struct Framing {
    pub content_length: Option<usize>,
    pub is_chunked: bool,
    /// The sender closes the connection after this message.
    pub closes_connection: bool,
    /// A `Content-Length` is no number, or two of them differ.
    pub is_length_invalid: bool,
}

impl Framing {
    fn of(headers: &[httparse::Header<'_>]) -> Framing {
        let mut framing = Framing::default();
        for header in headers {
            let value = std::str::from_utf8(header.value).unwrap_or("").trim();
            if header.name.eq_ignore_ascii_case("content-length") {
                framing.add_content_length(value);
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                framing.is_chunked = true;
            } else if header.name.eq_ignore_ascii_case("connection") {
                framing.closes_connection |= value
                    .split(',')
                    .any(|option| option.trim().eq_ignore_ascii_case("close"));
            }
        }
        framing
    }

    fn add_content_length(&mut self, value: &str) {
        match value.parse::<usize>() {
            Ok(length) if self.content_length.is_none_or(|known| known == length) => {
                self.content_length = Some(length);
            }
            _ => self.is_length_invalid = true,
        }
    }
}
