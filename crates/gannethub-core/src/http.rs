//! HTTP requests and responses as a controller sees them, whatever carries them.

use std::fmt::Display;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A request method.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Method {
    Get,
    Post,
    Delete,
    /// One that the service has no use for.
    Other,
}

impl Method {
    /// The method of this name.
    pub fn parse(name: &str) -> Method {
        match name {
            "GET" => Method::Get,
            "POST" => Method::Post,
            "DELETE" => Method::Delete,
            _ => Method::Other,
        }
    }

    /// The method's name on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Delete => "DELETE",
            Method::Other => "OPTIONS",
        }
    }
}

/// A request that came to this process.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: Method,
    /// With its query, if it has one.
    pub path: String,
    pub body: Bytes,
    /// The client wants the connection closed after the response.
    pub closes_connection: bool,
}

/// The response to a request that came to this process. Its body is JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub body: Bytes,
    /// Whole seconds for `Retry-After`.
    pub retry_after: Option<u32>,
}

impl Response {
    /// A response with a body that is JSON already.
    pub fn new(status: u16, body: Bytes) -> Response {
        Response {
            status,
            body,
            retry_after: None,
        }
    }

    /// A response with this value as its body.
    pub fn json(status: u16, body: &impl Serialize) -> Response {
        // Our bodies have string keys only and finite numbers, so they always serialize.
        let body = serde_json::to_vec(body).unwrap_or_default();
        Response::new(status, body.into())
    }

    /// An error with its reason.
    pub fn error(status: u16, reason: impl Display) -> Response {
        #[derive(Serialize)]
        struct ErrorBody {
            error: String,
        }
        let error = reason.to_string();
        Response::json(status, &ErrorBody { error })
    }

    /// The same response, with the time after which the client may come back.
    pub fn with_retry_after(mut self, seconds: u32) -> Response {
        self.retry_after = Some(seconds);
        self
    }
}

/// The answer of another service to a request of this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub body: Bytes,
}

impl Answer {
    /// An answer with this status and body.
    pub fn new(status: u16, body: impl Into<Bytes>) -> Answer {
        Answer {
            status,
            body: body.into(),
        }
    }

    /// Whether the request was carried out.
    pub fn is_ok(&self) -> bool {
        self.status == 200
    }

    /// The body as JSON, whatever the status; `None` if it is something else.
    pub fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }

    /// The body as JSON if the request was carried out.
    pub fn decode_ok<T: DeserializeOwned>(&self) -> Option<T> {
        self.is_ok().then(|| self.decode()).flatten()
    }
}

/// Why a request has no answer. In either case the service may have carried it out already, or may still do so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoAnswer {
    #[error("no answer came in time")]
    Timeout,
    #[error("the connection could not be opened, or broke before the answer")]
    Disconnected,
}

/// What became of a request to another service.
pub type CallResult = Result<Answer, NoAnswer>;

/// The body as JSON of an answer that says that the request was carried out.
pub fn decode_ok<T: DeserializeOwned>(result: &CallResult) -> Option<T> {
    result.as_ref().ok()?.decode_ok()
}
