//! The models of [`gannethub_emulators`] behind loopback sockets, for `gannethub dev` and the scale run.
//!
//! The models themselves have no sockets. One task owns the models and works through a queue of commands, and
//! [`serve`] turns HTTP requests into commands.

use std::net::{Ipv4Addr, TcpListener as StdListener};
use std::time::Duration;

use bytes::Bytes;
use gannethub_core::http::{Method, Response};
use gannethub_emulators::State;
use gannethub_emulators::state::Outcome;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::http::{BodyBudget, Connection};

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A request to an emulated service, with the channel of its response.
pub struct EmulatorRequest {
    pub method: Method,
    /// Path, including the query if the request has one.
    pub path: String,
    pub body: Bytes,
    pub reply: oneshot::Sender<EmulatorResponse>,
}

/// The response of an emulated service.
pub struct EmulatorResponse {
    pub status: u16,
    pub body: Value,
}

impl EmulatorRequest {
    /// Answers the request. If the client has disconnected, the response is dropped.
    pub fn answer(self, status: u16, body: Value) {
        let _ = self.reply.send(EmulatorResponse { status, body });
    }
}

/// Serves an emulated service until the process ends. `to_command` turns each request into a command for the task that
/// owns the models. Each request reaches that task with the given `delay`.
pub async fn serve<C: 'static>(
    listener: TcpListener,
    queue: mpsc::Sender<C>,
    delay: Duration,
    to_command: impl Fn(EmulatorRequest) -> C + Copy + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connection = Connection::new(stream, BodyBudget::new(usize::MAX));
        spawn_local(serve_connection(
            connection,
            queue.clone(),
            delay,
            to_command,
        ));
    }
}

/// Answers the requests of one connection in order, one at a time.
async fn serve_connection<C: 'static>(
    mut connection: Connection,
    queue: mpsc::Sender<C>,
    delay: Duration,
    to_command: impl Fn(EmulatorRequest) -> C,
) {
    while let Some(request) = connection.next().await {
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let close = request.closes_connection;
        let (reply, answer) = oneshot::channel();
        let command = to_command(EmulatorRequest {
            method: request.method,
            path: request.path,
            body: request.body,
            reply,
        });
        if queue.send(command).await.is_err() {
            return;
        }
        let Ok(answer) = answer.await else {
            return;
        };
        let response = Response::json(answer.status, &answer.body);
        if connection.write(&response, close).await.is_err() || close {
            return;
        }
    }
}

/// A pending watch request, which waits for a change.
struct Watch {
    /// Prefix of the watched keys. A change of such a key ends the watch.
    prefix: String,
    /// Revision of the state service after which changes count.
    after: u64,
    /// Time, in microseconds, at which the watch ends without a change.
    until: u64,
    request: EmulatorRequest,
}

/// The emulated state service, with the watches that wait for changes.
pub struct StateService {
    pub state: State,
    watches: Vec<Watch>,
}

impl StateService {
    /// Creates a service with this state and no watches.
    pub fn new(state: State) -> StateService {
        StateService {
            state,
            watches: Vec::new(),
        }
    }

    /// Answers a request, or keeps a watch until a change arrives or the watch's time is over.
    pub fn handle(&mut self, request: EmulatorRequest, now: u64) {
        let method = request.method.as_str();
        match self.state.handle(method, &request.path, &request.body, now) {
            Outcome::Answer(status, body) => request.answer(status, body),
            Outcome::Wait {
                prefix,
                after,
                until,
            } => self.watches.push(Watch {
                prefix,
                after,
                until,
                request,
            }),
        }
    }

    /// Ends expired store leases, and answers watches that have a change or whose time is over. While the service is
    /// down, no watch is answered.
    pub fn tick(&mut self, now: u64) {
        self.state.tick(now);
        if self.state.down {
            return;
        }
        for watch in std::mem::take(&mut self.watches) {
            match self.state.changes(&watch.prefix, watch.after) {
                Some(changes) => watch.request.answer(200, changes),
                None if watch.until <= now => {
                    watch.request.answer(200, self.state.no_changes_answer())
                }
                None => self.watches.push(watch),
            }
        }
    }
}

/// Finds unused loopback ports. Another process may take one of them before the caller binds it.
pub fn free_ports(count: usize) -> std::io::Result<Vec<u16>> {
    // All ports are held at the same time, so that no port is found twice.
    let listeners = (0..count)
        .map(|_| StdListener::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<Result<Vec<_>, _>>()?;
    listeners
        .iter()
        .map(|listener| Ok(listener.local_addr()?.port()))
        .collect()
}
