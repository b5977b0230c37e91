//! The emulated state service, cloud and workers, driven by the real clock.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gannethub_core::http::Method;
use gannethub_core::model::Shape;
use gannethub_core::wire::store::LiveRecord;
use gannethub_emulators::record::SpanKey;
use gannethub_emulators::worker::{JobFacts, step_gangs};
use gannethub_emulators::{Cloud, Environment, Record, Span, State, Worker};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::{EmulatorListeners, SECOND, WORKER_LEASE_SECONDS};
use crate::emulators::{EmulatorRequest, StateService, serve};
use crate::http::{CallResult, Client};

/// Maximum time between two steps of the emulators.
const TICK: Duration = Duration::from_millis(10);
/// Maximum number of commands that wait for the emulators.
const QUEUE_CAPACITY: usize = 4096;
/// Maximum number of commands that the emulators take before a step.
const COMMAND_BATCH_SIZE: usize = 256;
/// Maximum time that a worker waits for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time, in microseconds, within which the members of a gang notice that one of them is gone.
const GANG_PEER_TIMEOUT: u64 = 5 * SECOND;
/// Limits of the state service: bytes of a value, operations of a transaction, and items on a page of a listing.
const STATE_VALUE_BYTES: usize = 16 * 1024;
const STATE_TRANSACTION_OPERATIONS: usize = 16;
const STATE_PAGE_ITEMS: usize = 200;
/// Keys in the state service: the leader's name, and the prefix of the jobs that are not finished.
const LEADER_KEY: &str = "gh/lead/holder";
const LIVE_JOB_PREFIX: &str = "gh/live/";
const CONFLICT: u16 = 409;

/// A command for the task that owns the emulators.
pub(super) enum Command {
    StateRequest(EmulatorRequest),
    CloudRequest(EmulatorRequest),
    /// Carries the commands of a controller to a worker.
    WorkerRequest(EmulatorRequest),
    /// Carries a controller's answer to a worker's heartbeat, or the reason why no answer came.
    HeartbeatAnswer {
        worker: String,
        node: usize,
        sent_at: u64,
        answer: CallResult,
    },
    /// Starts (`true`) or ends an outage in which the state service refuses every request.
    SetOutage(bool),
    /// Kills a machine that holds tasks.
    KillBusyWorker,
    /// Requests the name of the leader that is stored in the state service.
    Leader(oneshot::Sender<Option<String>>),
    /// Requests the workers' own records of their attempts.
    Record(oneshot::Sender<BTreeMap<SpanKey, Span>>),
}

/// The emulators and their shared state.
pub(super) struct Region {
    started_at: Instant,
    /// Time of the current command or step, in microseconds since the start. The value does not change during a
    /// command or step.
    now: u64,
    rng: StdRng,
    state_service: StateService,
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    record: Record,
    jobs: HashMap<String, JobFacts>,
    done_tasks: HashSet<String>,
    /// Address at which all workers take commands.
    workers_addr: String,
    /// The controllers, by number.
    controllers: Vec<Rc<Client>>,
    queue: mpsc::Sender<Command>,
}

impl Region {
    /// Starts the emulators, which run until the process ends, and returns the queue of their commands.
    pub fn start(
        seed: u64,
        controllers: &[SocketAddrV4],
        listeners: EmulatorListeners,
    ) -> std::io::Result<mpsc::Sender<Command>> {
        let (queue, commands) = mpsc::channel(QUEUE_CAPACITY);
        let mut state = State::new(STATE_VALUE_BYTES, STATE_TRANSACTION_OPERATIONS);
        state.page = STATE_PAGE_ITEMS;
        let region = Region {
            started_at: Instant::now(),
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            state_service: StateService::new(state),
            cloud: Cloud::default(),
            workers: BTreeMap::new(),
            record: Record::default(),
            jobs: HashMap::new(),
            done_tasks: HashSet::new(),
            workers_addr: listeners.workers.local_addr()?.to_string(),
            controllers: controllers
                .iter()
                .map(|addr| Rc::new(Client::new(*addr)))
                .collect(),
            queue: queue.clone(),
        };
        let EmulatorListeners {
            state_service,
            cloud,
            workers,
        } = listeners;
        let no_delay = Duration::ZERO;
        spawn_local(serve(
            workers,
            queue.clone(),
            no_delay,
            Command::WorkerRequest,
        ));
        spawn_local(serve(
            state_service,
            queue.clone(),
            no_delay,
            Command::StateRequest,
        ));
        spawn_local(serve(cloud, queue.clone(), no_delay, Command::CloudRequest));
        spawn_local(region.run(commands));
        Ok(queue)
    }

    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut batch = Vec::new();
        loop {
            let received = commands.recv_many(&mut batch, COMMAND_BATCH_SIZE);
            let _ = timeout(TICK, received).await;
            for command in batch.drain(..) {
                self.handle(command);
            }
            self.step();
        }
    }

    fn handle(&mut self, command: Command) {
        self.read_clock();
        match command {
            Command::StateRequest(request) => {
                if request.path == "/commit" {
                    self.keep_job_facts(&request.body);
                }
                self.state_service.handle(request, self.now);
            }
            Command::CloudRequest(request) => self.handle_cloud_request(request),
            Command::WorkerRequest(request) => self.handle_worker_request(request),
            Command::HeartbeatAnswer {
                worker,
                node,
                sent_at,
                answer,
            } => self.handle_heartbeat_answer(&worker, node, sent_at, answer),
            Command::SetOutage(is_down) => self.state_service.state.down = is_down,
            Command::KillBusyWorker => self.kill_busy_worker(),
            Command::Leader(reply) => drop(reply.send(self.leader())),
            Command::Record(reply) => drop(reply.send(self.record.spans.clone())),
        }
    }

    fn read_clock(&mut self) {
        self.now = self.started_at.elapsed().as_micros() as u64;
    }

    /// Keeps the descriptions of submitted jobs, since workers ask for them when the jobs may already be finished.
    fn keep_job_facts(&mut self, transaction: &[u8]) {
        let transaction: Value = serde_json::from_slice(transaction).unwrap_or(Value::Null);
        for item in transaction["writes"].as_array().into_iter().flatten() {
            let key = item["write"].as_str();
            let Some(id) = key.and_then(|key| key.strip_prefix(LIVE_JOB_PREFIX)) else {
                continue;
            };
            let Ok(LiveRecord::Job(record)) = LiveRecord::parse(&item["v"].to_string()) else {
                continue;
            };
            let spec = record.spec;
            let facts = JobFacts {
                tasks: spec.tasks,
                gang: spec.shape == Shape::Gang,
                service: spec.shape == Shape::Service,
                broken: false,
                save: spec.save_time,
                estimate: spec.run_time_estimate,
            };
            self.jobs.entry(id.to_string()).or_insert(facts);
        }
    }

    fn handle_cloud_request(&mut self, request: EmulatorRequest) {
        // The workers and the cloud are moved out of the region while the cloud calls back into it.
        let mut workers = std::mem::take(&mut self.workers);
        let mut cloud = std::mem::take(&mut self.cloud);
        let (status, body, returned) =
            cloud.handle(&request.path, &request.body, &mut workers, self);
        self.workers = workers;
        self.cloud = cloud;
        for mut worker in returned {
            worker.tasks.clear();
            self.record.update(&worker, self.now);
        }
        request.answer(status, body);
    }

    /// Passes commands to a worker. All emulated workers share one address, so the first task named in the commands
    /// determines the recipient, as an attempt is on only one worker.
    fn handle_worker_request(&mut self, request: EmulatorRequest) {
        let commands: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let task = commands["orders"][0]["piece"].as_str().unwrap_or("");
        let is_recipient =
            |worker: &&Worker| !worker.is_unresponsive(self.now) && worker.tasks.contains_key(task);
        let name = self
            .workers
            .values()
            .find(is_recipient)
            .map(|worker| worker.name.clone());
        let status = name
            .and_then(|name| {
                self.with_worker(&name, |worker, region| {
                    let status = worker.handle_commands(region, &request.body);
                    region.record.update(worker, region.now);
                    status
                })
            })
            .unwrap_or(CONFLICT);
        request.answer(status, json!({}));
    }

    fn handle_heartbeat_answer(
        &mut self,
        worker: &str,
        node: usize,
        sent_at: u64,
        answer: CallResult,
    ) {
        // A worker detects a missing answer by its own clock.
        let Ok(answer) = answer else {
            return;
        };
        self.with_worker(worker, |worker, region| {
            if !worker.is_unresponsive(region.now) {
                worker.handle_answer(region, node, sent_at, answer.status, &answer.body);
                region.record.update(worker, region.now);
            }
        });
    }

    /// Calls a function with a worker, which is moved out of the region during the call. Returns `None` if no worker
    /// has this name.
    fn with_worker<T>(
        &mut self,
        name: &str,
        action: impl FnOnce(&mut Worker, &mut Region) -> T,
    ) -> Option<T> {
        let mut worker = self.workers.remove(name)?;
        let result = action(&mut worker, self);
        self.workers.insert(name.to_string(), worker);
        Some(result)
    }

    fn kill_busy_worker(&mut self) {
        let mut workers = self.workers.values_mut();
        let busy = workers.rfind(|worker| !worker.dead && !worker.tasks.is_empty());
        if let Some(worker) = busy {
            worker.dead = true;
            worker.tasks.clear();
            self.record.update(worker, self.now);
        }
    }

    /// Returns the name of the leader that is stored in the state service.
    fn leader(&self) -> Option<String> {
        let record = self.state_service.state.value(LEADER_KEY)?;
        Some(record["holder"].as_str()?.to_string())
    }

    /// Advances all emulators to the current time.
    fn step(&mut self) {
        self.read_clock();
        self.state_service.tick(self.now);
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.with_worker(&name, |worker, region| {
                worker.step(region);
                region.record.update(worker, region.now);
            });
        }
        let mut workers = std::mem::take(&mut self.workers);
        step_gangs(&mut workers, GANG_PEER_TIMEOUT, self);
        self.workers = workers;
    }
}

impl Environment for Region {
    fn now(&self) -> u64 {
        self.now
    }

    fn random_in(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..to)
    }

    fn random_bool(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn nodes(&self) -> usize {
        self.controllers.len()
    }

    fn lease(&self) -> u64 {
        WORKER_LEASE_SECONDS * SECOND
    }

    fn job(&self, id: &str) -> Option<JobFacts> {
        self.jobs.get(id).cloned()
    }

    fn run_time(&mut self, job: &JobFacts) -> u64 {
        // Users' estimates are often wrong by up to half, so run times are drawn from 50% to 150% of the estimate.
        let estimate = job.estimate.max(SECOND);
        self.rng.random_range(estimate / 2..estimate + estimate / 2)
    }

    fn is_done(&self, task: &str) -> bool {
        self.done_tasks.contains(task)
    }

    fn on_task_done(&mut self, task: &str) {
        self.done_tasks.insert(task.into());
    }

    fn send(&mut self, worker: &str, node: usize, body: String) {
        let Some(client) = self.controllers.get(node).cloned() else {
            return;
        };
        let worker = worker.to_string();
        let sent_at = self.now;
        let queue = self.queue.clone();
        spawn_local(async move {
            let body = body.as_bytes();
            let answer = client
                .call(Method::Post, "/v1/report", body, HEARTBEAT_TIMEOUT)
                .await;
            let command = Command::HeartbeatAnswer {
                worker,
                node,
                sent_at,
                answer,
            };
            let _ = queue.send(command).await;
        });
    }

    fn addr(&self, _: &str) -> String {
        self.workers_addr.clone()
    }

    fn node_by_name(&self, name: &str) -> Option<usize> {
        (0..self.controllers.len()).find(|index| name == format!("n{index}"))
    }
}
