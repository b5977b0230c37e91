//! The models of [`gannethub_emulators`] on loopback sockets: what `gannethub dev` and the scale run share.

use std::net::{Ipv4Addr, TcpListener as Probe};
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

/// A request to a stand-in, and where its answer goes.
pub struct Asked {
    pub method: Method,
    pub path: String,
    pub body: Bytes,
    pub reply: oneshot::Sender<(u16, Value)>,
}

impl Asked {
    /// Answers it. A client that has gone away hears nothing.
    pub fn answer(self, status: u16, body: Value) {
        let _ = self.reply.send((status, body));
    }
}

/// Serves one of the stand-ins: `make` turns each request into a command for the owner of the models. A request
/// reaches the owner `lag` after it has arrived.
pub async fn serve<C: 'static>(
    listener: TcpListener,
    queue: mpsc::Sender<C>,
    lag: Duration,
    make: impl Fn(Asked) -> C + Copy + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(100)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connection = Connection::new(stream, BodyBudget::new(usize::MAX));
        spawn_local(serve_connection(connection, queue.clone(), lag, make));
    }
}

async fn serve_connection<C: 'static>(
    mut connection: Connection,
    queue: mpsc::Sender<C>,
    lag: Duration,
    make: impl Fn(Asked) -> C,
) {
    while let Some(request) = connection.next().await {
        if !lag.is_zero() {
            sleep(lag).await;
        }
        let (reply, answer) = oneshot::channel();
        let asked = Asked {
            method: request.method,
            path: request.path,
            body: request.body,
            reply,
        };
        if queue.send(make(asked)).await.is_err() {
            return;
        }
        let Ok((status, body)) = answer.await else {
            return;
        };
        let response = Response::json(status, &body);
        if connection
            .write(&response, request.closes_connection)
            .await
            .is_err()
            || request.closes_connection
        {
            return;
        }
    }
}

/// A watch whose answer is still to come.
struct Watch {
    prefix: String,
    after: u64,
    until: u64,
    asked: Asked,
}

/// The state service with the watches that wait for changes.
pub struct StateService {
    pub state: State,
    watches: Vec<Watch>,
}

impl StateService {
    pub fn new(state: State) -> StateService {
        StateService {
            state,
            watches: Vec::new(),
        }
    }

    /// Answers a request, or keeps it until what it watches has changed.
    pub fn handle(&mut self, asked: Asked, now: u64) {
        match self
            .state
            .handle(asked.method.as_str(), &asked.path, &asked.body, now)
        {
            Outcome::Answer(status, body) => asked.answer(status, body),
            Outcome::Wait {
                prefix,
                after,
                until,
            } => {
                self.watches.push(Watch {
                    prefix,
                    after,
                    until,
                    asked,
                });
            }
        }
    }

    /// Ends grants that have run out, and answers watches that have something to tell or are over.
    pub fn tick(&mut self, now: u64) {
        self.state.tick(now);
        if self.state.down {
            return;
        }
        for watch in std::mem::take(&mut self.watches) {
            match self.state.changes(&watch.prefix, watch.after) {
                Some(changes) => watch.asked.answer(200, changes),
                None if watch.until <= now => watch.asked.answer(200, self.state.quiet()),
                None => self.watches.push(watch),
            }
        }
    }
}

/// Ports of this machine that nobody uses now.
pub fn free_ports(count: usize) -> std::io::Result<Vec<u16>> {
    let probes: Vec<Probe> = (0..count)
        .map(|_| Probe::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<Result<_, _>>()?;
    probes.iter().map(|p| Ok(p.local_addr()?.port())).collect()
}
