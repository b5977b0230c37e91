//! HTTP requests and responses as a controller sees them, independent of the transport.

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
    /// A method that the service does not support.
    Other,
}

impl Method {
    /// Returns the method with this name on the wire.
    pub fn parse(name: &str) -> Method {
        match name {
            "GET" => Method::Get,
            "POST" => Method::Post,
            "DELETE" => Method::Delete,
            _ => Method::Other,
        }
    }

    /// Returns the method's name on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Delete => "DELETE",
            Method::Other => "OPTIONS",
        }
    }
}

/// A request received by this process.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: Method,
    /// The path, including the query string if the request has one.
    pub path: String,
    pub body: Bytes,
    /// Whether the client wants the connection closed after the response.
    pub closes_connection: bool,
}

/// The response to a request received by this process. Its body is JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub body: Bytes,
    /// Value of the `Retry-After` header, in whole seconds.
    pub retry_after: Option<u32>,
}

impl Response {
    /// Creates a response from a body that is JSON already.
    pub fn new(status: u16, body: Bytes) -> Response {
        Response {
            status,
            body,
            retry_after: None,
        }
    }

    /// Creates a response with this value as its JSON body.
    pub fn json(status: u16, body: &impl Serialize) -> Response {
        // Response bodies have only string keys and finite numbers, so their serialization cannot fail.
        let body = serde_json::to_vec(body).unwrap_or_default();
        Response::new(status, body.into())
    }

    /// Creates an error response with its reason.
    pub fn error(status: u16, reason: impl Display) -> Response {
        #[derive(Serialize)]
        struct ErrorBody {
            error: String,
        }
        let error = reason.to_string();
        Response::json(status, &ErrorBody { error })
    }

    /// Adds the time after which the client may retry.
    pub fn with_retry_after(mut self, seconds: u32) -> Response {
        self.retry_after = Some(seconds);
        self
    }
}

/// The response of another service to a request of this process. [`Response`] is the opposite direction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub body: Bytes,
}

impl Answer {
    /// Creates a response of another service with this status and body.
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

    /// Parses the body as JSON, whatever the status. Returns `None` if the body cannot be parsed as `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }

    /// Parses the body as JSON if the request was carried out.
    pub fn decode_ok<T: DeserializeOwned>(&self) -> Option<T> {
        self.is_ok().then(|| self.decode()).flatten()
    }
}

/// Reason for which a request has no response. In either case the service may have carried out the request already, or
/// may still do so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    #[error("timed out waiting for the response")]
    Timeout,
    #[error("the connection could not be opened, or failed before the response arrived")]
    Disconnected,
}

/// Result of a request to another service.
pub type CallResult = Result<Answer, CallError>;

/// Parses the body of a response as JSON if there is a response and the request was carried out.
pub fn decode_ok<T: DeserializeOwned>(result: &CallResult) -> Option<T> {
    result.as_ref().ok()?.decode_ok()
}
