//! Requests and answers as the controller sees them, whatever carries them.

use bytes::Bytes;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Method {
    Get,
    Post,
    Delete,
    Other,
}

impl Method {
    /// The method of this name; names that the service has no use for are all one.
    pub fn parse(s: &str) -> Method {
        match s {
            "GET" => Method::Get,
            "POST" => Method::Post,
            "DELETE" => Method::Delete,
            _ => Method::Other,
        }
    }

    pub fn as_str(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Delete => "DELETE",
            Method::Other => "OPTIONS",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Request {
    pub method: Method,
    pub path: String,
    pub body: Bytes,
    /// The client wants the connection closed after the answer.
    pub closes_connection: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub body: Bytes,
    /// Whole seconds for `Retry-After`.
    pub retry_after: Option<u32>,
}

impl Response {
    pub fn json(status: u16, body: &impl serde::Serialize) -> Response {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Response {
            status,
            body: body.into(),
            retry_after: None,
        }
    }

    /// An error answer with its reason.
    pub fn error(status: u16, reason: impl std::fmt::Display) -> Response {
        #[derive(serde::Serialize)]
        struct Reason {
            error: String,
        }
        Response::json(
            status,
            &Reason {
                error: reason.to_string(),
            },
        )
    }

    pub fn with_retry_after(mut self, seconds: u32) -> Response {
        self.retry_after = Some(seconds);
        self
    }
}
