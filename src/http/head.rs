//! Parses the heads of requests and responses.

use bytes::Bytes;
use gannethub_core::http::{Method, Request};

/// Maximum length of a head in bytes. A head that is still incomplete beyond this length is refused.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of headers; a head with more headers is refused.
const MAX_HEADERS: usize = 48;

/// Errors of parsing a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum HeadError {
    #[error("the head is too large")]
    TooLarge,
    #[error("too many headers")]
    TooManyHeaders,
    #[error("malformed HTTP head")]
    Malformed,
    #[error("content-length is invalid")]
    InvalidLength,
    #[error("content-length is required")]
    LengthRequired,
}

impl HeadError {
    /// Returns the status of the response to a request with this error.
    pub fn status(self) -> u16 {
        match self {
            HeadError::TooLarge | HeadError::TooManyHeaders => 431,
            HeadError::Malformed | HeadError::InvalidLength => 400,
            HeadError::LengthRequired => 411,
        }
    }
}

/// The complete head of a request.
pub(super) struct RequestHead {
    /// Length of the head in bytes; the body begins after the head.
    pub head_bytes: usize,
    /// The request with an empty body.
    pub request: Request,
    pub body_bytes: usize,
}

impl RequestHead {
    /// Parses the head at the start of a buffer; `None` if more bytes are needed.
    ///
    /// This function is separate from the code that waits for the bytes, so that a waiting connection does not hold
    /// the table of headers in its task.
    pub fn parse(buffer: &[u8]) -> Result<Option<RequestHead>, HeadError> {
        let mut table = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut table);
        let Some(head_bytes) = head_length(parsed.parse(buffer), buffer.len())? else {
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

/// The complete head of a response.
pub(super) struct ResponseHead {
    /// Length of the head in bytes; the body begins after the head.
    pub head_bytes: usize,
    pub status: u16,
    pub framing: Framing,
}

impl ResponseHead {
    /// Parses the head at the start of a buffer; `None` if more bytes are needed.
    pub fn parse(buffer: &[u8]) -> Result<Option<ResponseHead>, HeadError> {
        let mut table = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut table);
        let Some(head_bytes) = head_length(parsed.parse(buffer), buffer.len())? else {
            return Ok(None);
        };
        Ok(Some(ResponseHead {
            head_bytes,
            status: parsed.code.unwrap_or(0),
            framing: Framing::of(parsed.headers),
        }))
    }
}

/// Returns the length of a parsed head; `None` if more bytes are needed and the head is not too large yet.
fn head_length(
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

/// The information in the headers about the body and the connection.
#[derive(Default)]
pub(super) struct Framing {
    pub content_length: Option<usize>,
    pub is_chunked: bool,
    /// Whether the sender closes the connection after this message.
    pub closes_connection: bool,
    /// Whether a `Content-Length` is not a number, or two of them differ.
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
