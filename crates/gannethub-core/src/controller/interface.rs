//! Inputs and outputs of a controller. The daemon process carries them over sockets, and the simulation tests carry
//! them over a simulated network.

use std::net::SocketAddrV4;

use bytes::Bytes;

use crate::http::{CallResult, Request, Response};
use crate::model::Micros;
use crate::wire::cloud::CloudRequest;
use crate::wire::peer::Envelope;
use crate::wire::store::StoreRequest;

/// Time at which one step of a controller runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// Monotonic clock of this process. Leases and timeouts are counted on this clock alone.
    pub now: Micros,
    /// Time of day in microseconds since 1970, for records and users.
    pub unix_time: u64,
}

/// An input of a controller.
#[derive(Debug)]
pub enum Command {
    /// A request from a user or a worker. Each request gets at most one [`Effect::Reply`], on the same connection
    /// number.
    HttpRequest { connection: u64, request: Request },
    /// Outcome of an [`Effect::StoreRequest`].
    StoreAnswer { id: u64, answer: CallResult },
    /// Outcome of an [`Effect::CloudRequest`].
    CloudAnswer { id: u64, answer: CallResult },
    /// A message from another controller.
    PeerMessage(Envelope),
    /// No input; only time has passed.
    Tick,
}

/// An output of a controller, which the surrounding process carries out.
#[derive(Debug)]
pub enum Effect {
    /// Answer to a [`Command::HttpRequest`].
    Reply { connection: u64, response: Response },
    /// A request to the state service. Its outcome returns as a [`Command::StoreAnswer`].
    StoreRequest { id: u64, request: StoreRequest },
    /// A request to the cloud. Its outcome returns as a [`Command::CloudAnswer`].
    CloudRequest { id: u64, request: CloudRequest },
    /// A message to the peer with this index in the settings. The message may be lost.
    PeerMessage { to: usize, message: Envelope },
    /// Commands for a worker, sent with `POST /commands` without waiting for the answer.
    WorkerCommands { addr: SocketAddrV4, body: Bytes },
}
