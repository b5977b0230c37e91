//! HTTP/1.1 over TCP: a small server, and a client that keeps its connections open.
//!
//! Server and client support only the parts of HTTP that the service needs: requests with a `Content-Length` and JSON
//! bodies, and responses with a length, in chunks, or up to the end of the connection. The limits are constants of the
//! two modules.

mod client;
mod head;
mod server;

pub use self::client::{Client, NoFinalAnswer, is_final, request_any};
pub use self::server::{BodyBudget, Connection, MAX_BODY_BYTES};
pub use gannethub_core::http::{
    Answer, CallError, CallResult, Method, Request, Response, decode_ok,
};

#[cfg(test)]
mod tests;
