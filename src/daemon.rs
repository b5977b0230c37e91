//! The process around a controller: sockets, clocks and the queue of commands.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::http::{Bodies, Client, Connection, Method, Response};
use crate::peers;
use gannethub_core::controller::{Clock, Command, Controller, Effect};
use gannethub_core::settings::Settings;
use gannethub_core::wire::peer::Envelope;

const BATCH: usize = 64;
const QUEUE: usize = 4096;
/// Direct commands under way at once, and how long one may take.
const MOST_DIRECT: usize = 16;
const WORKER_PATIENCE: Duration = Duration::from_secs(2);
const CLOUD_PATIENCE: Duration = Duration::from_secs(8);
/// One in so many bytes of the memory that a controller may hold is for large requests.
const BODIES_OF_MEMORY: usize = 8;
/// Reports that are passed on go to a sibling at most so often in the time in which each worker reports once.
const RELAYS_A_REPORT: u64 = 20;

type Replies = Rc<RefCell<HashMap<u64, oneshot::Sender<Response>>>>;

/// Runs a controller until the process is killed.
pub fn run(settings: Settings) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    // The owner is a task like the others: a future outside of them is polled once in a turn of the runtime, so
    // that each command would cost a turn, and a look at the sockets, to be taken and another to be answered.
    let owner = local.spawn_local(serve(Arc::new(settings)));
    local.block_on(&runtime, owner)?
}

async fn serve(settings: Arc<Settings>) -> std::io::Result<()> {
    let start = Instant::now();
    let clock = move || Clock {
        now: start.elapsed().as_micros() as u64,
        unix_time: SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as u64),
    };
    let (queue, mut commands) = mpsc::channel(QUEUE);
    let replies = Replies::default();
    let users = TcpListener::bind(SocketAddr::V4(settings.listen)).await?;
    let cluster = TcpListener::bind(SocketAddr::V4(settings.cluster_listen)).await?;
    tracing::info!(name = %settings.name, listen = %settings.listen, "started");
    let bodies = Bodies::new(settings.memory_bytes / BODIES_OF_MEMORY);
    let most = settings.max_connections;
    spawn_local(accept_users(
        users,
        queue.clone(),
        replies.clone(),
        bodies,
        most,
    ));
    spawn_local(peers::accept(cluster, queue.clone()));
    let window = Duration::from_micros(settings.heartbeat_interval / RELAYS_A_REPORT);
    let siblings: Vec<mpsc::Sender<Envelope>> = settings
        .peers
        .iter()
        .map(|s| peers::connect(SocketAddr::V4(s.addr), window))
        .collect();
    let state = Rc::new(Client::new(settings.state));
    let cloud = Rc::new(Client::new(settings.cloud));
    let direct = Arc::new(Semaphore::new(MOST_DIRECT));
    let mut controller = Controller::new(settings, clock());
    let mut batch = Vec::with_capacity(BATCH);
    loop {
        // The controller keeps its own times, and says when it has to look at them if nothing comes.
        let pause = Duration::from_micros(controller.max_idle_time());
        let _ = timeout(pause, commands.recv_many(&mut batch, BATCH)).await;
        for effect in controller.step(clock(), batch.drain(..)) {
            match effect {
                Effect::Reply {
                    connection: conn,
                    response,
                } => {
                    if let Some(reply) = replies.borrow_mut().remove(&conn) {
                        // The client may have gone away; then nobody waits for this.
                        let _ = reply.send(response);
                    }
                }
                Effect::StoreRequest { id, request: r } => {
                    let (client, queue) = (state.clone(), queue.clone());
                    spawn_local(async move {
                        let patience = Duration::from_micros(r.timeout);
                        let answer = client.call(r.method, &r.path, &r.body, patience).await;
                        let _ = queue.send(Command::StoreAnswer { id, answer }).await;
                    });
                }
                Effect::CloudRequest { id, request: r } => {
                    let (client, queue) = (cloud.clone(), queue.clone());
                    spawn_local(async move {
                        let answer = client
                            .call(r.method, &r.path, &r.body, CLOUD_PATIENCE)
                            .await;
                        let _ = queue.send(Command::CloudAnswer { id, answer }).await;
                    });
                }
                Effect::WorkerCommands { addr, body } => {
                    // More at once than there are sockets for are left to the next answers.
                    let Ok(slot) = direct.clone().try_acquire_owned() else {
                        continue;
                    };
                    spawn_local(async move {
                        let client = Client::new(addr);
                        let path = "/commands";
                        let _ = client
                            .call(Method::Post, path, &body, WORKER_PATIENCE)
                            .await;
                        drop(slot);
                    });
                }
                Effect::PeerMessage { to, message } => {
                    if let Some(sibling) = siblings.get(to) {
                        // A full queue means a dead link: messages between siblings may be lost.
                        let _ = sibling.try_send(message);
                    }
                }
            }
        }
    }
}

async fn accept_users(
    listener: TcpListener,
    queue: mpsc::Sender<Command>,
    replies: Replies,
    bodies: Bodies,
    max: usize,
) {
    // Some sockets are kept for siblings, the state service and the cloud.
    let slots = Arc::new(Semaphore::new(max.saturating_sub(48).max(16)));
    let ids = Rc::new(Cell::new(1u64));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::error!(error = %e, "cannot accept connections");
                sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        let (queue, replies, ids) = (queue.clone(), replies.clone(), ids.clone());
        let bodies = bodies.clone();
        spawn_local(async move {
            let _ = stream.set_nodelay(true);
            serve_connection(Connection::new(stream, bodies), queue, replies, ids).await;
            drop(slot);
        });
    }
}

async fn serve_connection(
    mut connection: Connection,
    queue: mpsc::Sender<Command>,
    replies: Replies,
    ids: Rc<Cell<u64>>,
) {
    while let Some(request) = connection.next().await {
        let close = request.closes_connection;
        let conn = ids.get();
        ids.set(conn + 1);
        let (reply, answer) = oneshot::channel();
        replies.borrow_mut().insert(conn, reply);
        if queue
            .send(Command::HttpRequest {
                connection: conn,
                request,
            })
            .await
            .is_err()
        {
            return;
        }
        let response = match timeout(Duration::from_secs(10), answer).await {
            Ok(Ok(response)) => response,
            _ => {
                replies.borrow_mut().remove(&conn);
                Response::error(503, "no answer in time").with_retry_after(2)
            }
        };
        if connection.write(&response, close).await.is_err() || close {
            return;
        }
    }
}
