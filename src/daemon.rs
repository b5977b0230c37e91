//! The process around a controller: the sockets, the clocks, and the loop that feeds commands to the controller and
//! carries out the controller's effects.
//!
//! All tasks run on one thread. [`Daemon::run_loop`] alone owns the [`Controller`]; connections and requests are tasks
//! of their own, which reach the controller through one queue of [`Command`]s.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::http::{BodyBudget, Client, Connection, Method, Request, Response};
use crate::peers;
use gannethub_core::controller::{Clock, Command, Controller, Effect};
use gannethub_core::settings::Settings;
use gannethub_core::wire::cloud::CloudRequest;
use gannethub_core::wire::peer::Envelope;
use gannethub_core::wire::store::StoreRequest;

/// Maximum number of commands that the controller takes in one step.
const COMMAND_BATCH_SIZE: usize = 64;
/// Maximum number of commands that wait for the controller; a task with a further command waits until the queue has
/// room.
const COMMAND_QUEUE_CAPACITY: usize = 4096;
/// Maximum number of concurrent requests that send commands directly to workers.
const MAX_WORKER_REQUESTS: usize = 16;
/// Time limit of a request that sends commands to a worker.
const WORKER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit of a request to the cloud.
const CLOUD_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum time that a request waits for the controller's reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// `Retry-After`, in seconds, of the answer to a request without a reply within [`REPLY_TIMEOUT`].
const REPLY_RETRY_AFTER: u32 = 2;
/// Divisor of the controller's memory limit, in bytes, that gives the budget for large request bodies.
const BODY_BUDGET_DIVISOR: usize = 8;
/// Maximum number of writes of relayed heartbeats to one peer during one heartbeat interval of the workers.
const RELAY_WRITES_PER_HEARTBEAT: u64 = 20;
/// Number of connections, out of those that the settings allow, reserved for peers, the state service and the cloud.
const RESERVED_CONNECTIONS: usize = 48;
/// Minimum number of connections for users and workers, even if the settings allow fewer.
const MIN_USER_CONNECTIONS: usize = 16;
/// Delay before the next accept after a failed one, such as an accept without a free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Runs a controller until the process is killed. Returns only if the runtime cannot be built, a socket of the
/// controller cannot be opened, or the controller's loop panics.
pub fn run(settings: Settings) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    // The controller's loop is a spawned task like the others. A future that is not a spawned task is polled only once
    // in a turn of the runtime, so each command would cost one turn, with one poll of the sockets, to be taken, and
    // another turn to be answered.
    let daemon = local.spawn_local(serve(Arc::new(settings)));
    local.block_on(&runtime, daemon)?
}

/// Opens the sockets, starts the tasks that accept connections, and runs the controller.
async fn serve(settings: Arc<Settings>) -> std::io::Result<()> {
    let clocks = Clocks::start();
    let (queue, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let replies = PendingReplies::default();
    let user_listener = TcpListener::bind(SocketAddr::V4(settings.listen)).await?;
    let peer_listener = TcpListener::bind(SocketAddr::V4(settings.cluster_listen)).await?;
    tracing::info!(name = %settings.name, listen = %settings.listen, "started");
    let server = UserServer {
        queue: queue.clone(),
        replies: replies.clone(),
        body_budget: BodyBudget::new(settings.memory_bytes / BODY_BUDGET_DIVISOR),
    };
    spawn_local(server.accept(user_listener, settings.max_connections));
    spawn_local(peers::accept(peer_listener, queue.clone()));
    let daemon = Daemon::new(&settings, queue, replies);
    let controller = Controller::new(settings, clocks.read());
    daemon.run_loop(controller, commands, clocks).await
}

/// The clocks that drive a controller.
struct Clocks {
    started_at: Instant,
}

impl Clocks {
    /// Starts the monotonic clock at zero.
    fn start() -> Clocks {
        Clocks {
            started_at: Instant::now(),
        }
    }

    /// Returns the time of both clocks, in microseconds: monotonic since the start, and since 1970.
    fn read(&self) -> Clock {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Clock {
            now: self.started_at.elapsed().as_micros() as u64,
            unix_time: since_epoch.map_or(0, |elapsed| elapsed.as_micros() as u64),
        }
    }
}

/// Requests of users and workers that wait for the controller's reply. Each request has a connection number of its own
/// (see [`ConnectionNumbers`]). Clones share one table.
#[derive(Clone, Default)]
struct PendingReplies(Rc<RefCell<HashMap<u64, oneshot::Sender<Response>>>>);

impl PendingReplies {
    /// Registers a request and returns the receiver of its response.
    fn register(&self, connection: u64) -> oneshot::Receiver<Response> {
        let (sender, receiver) = oneshot::channel();
        self.0.borrow_mut().insert(connection, sender);
        receiver
    }

    /// Removes a request; a response that comes later is dropped.
    fn forget(&self, connection: u64) {
        self.0.borrow_mut().remove(&connection);
    }

    /// Passes a response to the task that waits for it.
    fn complete(&self, connection: u64, response: Response) {
        if let Some(reply) = self.0.borrow_mut().remove(&connection) {
            // If the client has disconnected and its task has ended, no receiver is left.
            let _ = reply.send(response);
        }
    }
}

/// Carries out the effects of a controller.
struct Daemon {
    queue: mpsc::Sender<Command>,
    replies: PendingReplies,
    state_service: Rc<Client>,
    cloud: Rc<Client>,
    /// One message queue for each peer, in the order of the settings.
    peers: Vec<mpsc::Sender<Envelope>>,
    worker_slots: Arc<Semaphore>,
}

impl Daemon {
    /// Starts the connections to the peers. Connections to the state service, the cloud and workers are opened on
    /// first use.
    fn new(settings: &Settings, queue: mpsc::Sender<Command>, replies: PendingReplies) -> Daemon {
        let relay_window =
            Duration::from_micros(settings.heartbeat_interval / RELAY_WRITES_PER_HEARTBEAT);
        let connect = |addr: SocketAddrV4| peers::connect(SocketAddr::V4(addr), relay_window);
        Daemon {
            queue,
            replies,
            state_service: Rc::new(Client::new(settings.store_addr)),
            cloud: Rc::new(Client::new(settings.cloud_addr)),
            peers: settings
                .peers
                .iter()
                .map(|peer| connect(peer.addr))
                .collect(),
            worker_slots: Arc::new(Semaphore::new(MAX_WORKER_REQUESTS)),
        }
    }

    /// Steps the controller on each batch of commands, and without commands once the controller's maximum idle time is
    /// over.
    async fn run_loop(
        self,
        mut controller: Controller,
        mut commands: mpsc::Receiver<Command>,
        clocks: Clocks,
    ) -> std::io::Result<()> {
        let mut batch = Vec::with_capacity(COMMAND_BATCH_SIZE);
        loop {
            // The controller keeps its own timers and returns the maximum time until the next step if no command
            // comes.
            let idle_time = Duration::from_micros(controller.max_idle_time());
            let received = commands.recv_many(&mut batch, COMMAND_BATCH_SIZE);
            let _ = timeout(idle_time, received).await;
            for effect in controller.step(clocks.read(), batch.drain(..)) {
                self.carry_out(effect);
            }
        }
    }

    fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::Reply {
                connection,
                response,
            } => self.replies.complete(connection, response),
            Effect::StoreRequest { id, request } => self.call_state_service(id, request),
            Effect::CloudRequest { id, request } => self.call_cloud(id, request),
            Effect::WorkerCommands { addr, body } => self.send_to_worker(addr, body),
            Effect::PeerMessage { to, message } => self.send_to_peer(to, message),
        }
    }

    fn call_state_service(&self, id: u64, request: StoreRequest) {
        let client = self.state_service.clone();
        let queue = self.queue.clone();
        spawn_local(async move {
            let time_limit = Duration::from_micros(request.timeout);
            let answer = client
                .call(request.method, &request.path, &request.body, time_limit)
                .await;
            let _ = queue.send(Command::StoreAnswer { id, answer }).await;
        });
    }

    fn call_cloud(&self, id: u64, request: CloudRequest) {
        let client = self.cloud.clone();
        let queue = self.queue.clone();
        spawn_local(async move {
            let answer = client
                .call(request.method, &request.path, &request.body, CLOUD_TIMEOUT)
                .await;
            let _ = queue.send(Command::CloudAnswer { id, answer }).await;
        });
    }

    /// Sends commands to a worker before the worker's next heartbeat. If all slots are taken, nothing is sent: the
    /// response to that heartbeat carries the commands.
    fn send_to_worker(&self, addr: SocketAddrV4, body: Bytes) {
        let Ok(slot) = self.worker_slots.clone().try_acquire_owned() else {
            return;
        };
        spawn_local(async move {
            let client = Client::new(addr);
            let _ = client
                .call(Method::Post, "/commands", &body, WORKER_TIMEOUT)
                .await;
            drop(slot);
        });
    }

    fn send_to_peer(&self, peer_index: usize, message: Envelope) {
        if let Some(peer) = self.peers.get(peer_index) {
            // A full queue means that the connection is dead. The message is dropped: messages between peers may be
            // lost.
            let _ = peer.try_send(message);
        }
    }
}

/// Serves the requests of users and workers. Clones share the queue, the pending replies and the body budget.
#[derive(Clone)]
struct UserServer {
    queue: mpsc::Sender<Command>,
    replies: PendingReplies,
    body_budget: BodyBudget,
}

impl UserServer {
    /// Accepts connections until the process ends. The limit of concurrent connections is `max_connections` less
    /// [`RESERVED_CONNECTIONS`], but at least [`MIN_USER_CONNECTIONS`].
    async fn accept(self, listener: TcpListener, max_connections: usize) {
        let user_connections = max_connections
            .saturating_sub(RESERVED_CONNECTIONS)
            .max(MIN_USER_CONNECTIONS);
        let slots = Arc::new(Semaphore::new(user_connections));
        let numbers = ConnectionNumbers::default();
        loop {
            let Ok(slot) = slots.clone().acquire_owned().await else {
                return;
            };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::error!(%error, "cannot accept connections");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let server = self.clone();
            let numbers = numbers.clone();
            spawn_local(async move {
                server.serve_connection(stream, numbers).await;
                drop(slot);
            });
        }
    }

    /// Answers the requests of one connection in order, one at a time.
    async fn serve_connection(self, stream: TcpStream, numbers: ConnectionNumbers) {
        let _ = stream.set_nodelay(true);
        let mut connection = Connection::new(stream, self.body_budget.clone());
        while let Some(request) = connection.next().await {
            let close = request.closes_connection;
            let Some(response) = self.answer(request, numbers.next()).await else {
                return;
            };
            if connection.write(&response, close).await.is_err() || close {
                return;
            }
        }
    }

    /// Returns the controller's response to a request; `None` if the controller has ended.
    async fn answer(&self, request: Request, connection: u64) -> Option<Response> {
        let reply = self.replies.register(connection);
        let command = Command::HttpRequest {
            connection,
            request,
        };
        self.queue.send(command).await.ok()?;
        if let Ok(Ok(response)) = timeout(REPLY_TIMEOUT, reply).await {
            return Some(response);
        }
        self.replies.forget(connection);
        Some(Response::error(503, "no answer in time").with_retry_after(REPLY_RETRY_AFTER))
    }
}

/// Assigns a connection number of its own to each request. Clones share one counter.
#[derive(Clone, Default)]
struct ConnectionNumbers(Rc<Cell<u64>>);

impl ConnectionNumbers {
    /// Returns the next number; the first number is 1.
    fn next(&self) -> u64 {
        let number = self.0.get() + 1;
        self.0.set(number);
        number
    }
}
