//! What goes into a controller and what comes out of it. The process around it carries these over sockets, the
//! simulation tests carry them through a simulated network.

use std::net::SocketAddrV4;

use bytes::Bytes;

use crate::http::{CallResult, Request, Response};
use crate::model::Micros;
use crate::wire::cloud::CloudRequest;
use crate::wire::peer::Envelope;
use crate::wire::store::StoreRequest;

/// The time as one step of a controller sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// The steady clock of this process. Leases and timeouts are counted on it alone.
    pub now: Micros,
    /// Time of day in microseconds since 1970, for records and users.
    pub unix_time: u64,
}

/// An input of a controller.
#[derive(Debug)]
pub enum Command {
    /// A request of a user or a worker. Each is answered by at most one [`Effect::Reply`] on the same connection number.
    HttpRequest { connection: u64, request: Request },
    /// What became of an [`Effect::StoreRequest`].
    StoreAnswer { id: u64, answer: CallResult },
    /// What became of an [`Effect::CloudRequest`].
    CloudAnswer { id: u64, answer: CallResult },
    /// A message of another controller.
    PeerMessage(Envelope),
    /// Nothing came; only the time has passed.
    Tick,
}

/// An output of a controller, to be carried out by the process around it.
#[derive(Debug)]
pub enum Effect {
    /// The answer to an [`Command::HttpRequest`].
    Reply { connection: u64, response: Response },
    /// A request to the state service. Its outcome comes back as [`Command::StoreAnswer`].
    StoreRequest { id: u64, request: StoreRequest },
    /// A request to the cloud. Its outcome comes back as [`Command::CloudAnswer`].
    CloudRequest { id: u64, request: CloudRequest },
    /// A message to the peer with this index in the settings. It may be lost.
    PeerMessage { to: usize, message: Envelope },
    /// Commands for a worker, sent with `POST /commands`. The answer is not waited for.
    WorkerCommands { addr: SocketAddrV4, body: Bytes },
}
