//! A process with workers. Hollow workers, some hundreds per process, speak the whole protocol on sockets of their
//! own and run their tasks by the clock. A real worker is alone in its process and starts a child process for each
//! task.

use std::collections::{BTreeMap, HashMap};
use std::mem::{Discriminant, discriminant};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use clap::Args;
use gannethub::emulators::{EmulatorRequest, serve};
use gannethub::http::{Answer, CallResult, Client, Method};
use gannethub_emulators::worker::{Phase, Task, job_id_of_task};
use gannethub_emulators::{Environment, JobFacts, Worker};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::process::Command as Process;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

use crate::messages::{
    FromHosts, JobDescription, ProvisionedMachine, ReportCounts, TaskEvent, TaskEventKind, ToHosts,
};
use crate::role::{COMMAND_QUEUE_LENGTH, RunClock, read_from_driver, send_to_driver};

/// Maximum interval between steps of the workers.
const TICK: Duration = Duration::from_millis(20);
/// Time after which a worker no longer accepts the answer to a heartbeat.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Approximate size of a request or an answer without its body, in bytes.
const HEADER_BYTES: usize = 100;
/// Run time, in microseconds, of a task that ends when its process or its gang ends, and not after a set time.
const RUN_TIME_UNTIL_ENDED: u64 = 1 << 50;

#[derive(Args)]
pub struct HostsArgs {
    #[arg(long)]
    epoch: u64,
    #[arg(long)]
    seed: u64,
    /// Addresses at which the controllers take heartbeats
    #[arg(long, value_delimiter = ',')]
    controllers: Vec<SocketAddrV4>,
    #[arg(long)]
    worker_port: u16,
    #[arg(long)]
    report_us: u64,
    #[arg(long)]
    lease_us: u64,
    #[arg(long)]
    fetch_us: u64,
    #[arg(long)]
    gang_wait_us: u64,
    /// Run each task as a process
    #[arg(long)]
    real: bool,
}

/// Returns the address at which the worker on this machine takes commands. Each worker has its own loopback address.
pub fn worker_address(host: &str, port: u16) -> SocketAddrV4 {
    let n: u32 = host
        .rsplit('-')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let [high, middle, low] = [n / 62_500 % 100, n / 250 % 250, n % 250 + 1].map(|x| x as u8);
    SocketAddrV4::new(Ipv4Addr::new(127, 100 + high, middle, low), port)
}

enum Command {
    Driver(ToHosts),
    /// The answer of controller `node` to the heartbeat that the worker sent at the time `sent`, in microseconds.
    Answer {
        host: String,
        node: usize,
        sent: u64,
        answer: CallResult,
    },
    /// Commands that a controller sent directly to the worker on this machine.
    Direct(String, EmulatorRequest),
    /// The process of a task has ended on its own.
    Exited {
        host: String,
        task: String,
        attempt: u64,
    },
}

/// A worker and the state that this process keeps about it. All times are in microseconds.
struct HostedWorker {
    worker: Worker,
    /// Time of the worker's next step.
    next_step_at: u64,
    /// Tasks on the machine and their attempts, as the task events have reported them to the driver.
    on_machine: BTreeMap<String, u64>,
    /// Attempt and phase of each task, as the worker's heartbeats report them.
    reported: BTreeMap<String, (u64, Discriminant<Phase>)>,
    /// Whether `reported` has changed since the last heartbeat.
    changed: bool,
    last_heartbeat_at: Option<u64>,
    listener: Option<JoinHandle<()>>,
}

/// The environment of the workers.
struct WorkerEnvironment {
    now: u64,
    rng: StdRng,
    args: HostsArgs,
    jobs: HashMap<String, JobFacts>,
    /// Each worker's connection to a controller, with the index of the controller.
    clients: HashMap<String, (usize, Rc<Client>)>,
    queue: mpsc::Sender<Command>,
    /// Worker and bytes of each heartbeat sent in this step.
    sent: Vec<(String, usize)>,
    counts: ReportCounts,
}

impl Environment for WorkerEnvironment {
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
        self.args.controllers.len()
    }
    fn lease(&self) -> u64 {
        self.args.lease_us
    }
    fn heartbeat_interval(&self) -> u64 {
        self.args.report_us
    }
    fn fetch_time(&self, _worker: &Worker, _task: &str) -> u64 {
        self.args.fetch_us
    }
    fn gang_wait(&self) -> u64 {
        self.args.gang_wait_us
    }
    fn job(&self, id: &str) -> Option<JobFacts> {
        self.jobs.get(id).cloned()
    }
    fn run_time(&mut self, job: &JobFacts) -> u64 {
        if self.args.real {
            return RUN_TIME_UNTIL_ENDED;
        }
        run_time(job.estimate, &mut self.rng)
    }
    fn addr(&self, worker: &str) -> String {
        worker_address(worker, self.args.worker_port).to_string()
    }
    fn send(&mut self, worker: &str, node: usize, body: String) {
        let Some(addr) = self.args.controllers.get(node) else {
            return;
        };
        let kept = self.clients.get(worker).filter(|(at, _)| *at == node);
        let client = match kept {
            Some((_, client)) => client.clone(),
            None => {
                let client = Rc::new(Client::new(*addr));
                self.clients.insert(worker.into(), (node, client.clone()));
                client
            }
        };
        self.sent.push((worker.into(), body.len() + HEADER_BYTES));
        let (host, sent, queue) = (worker.to_string(), self.now, self.queue.clone());
        spawn_local(async move {
            let heartbeat = body.as_bytes();
            let answer = client
                .call(Method::Post, "/v1/report", heartbeat, ANSWER_TIMEOUT)
                .await;
            let _ = queue
                .send(Command::Answer {
                    host,
                    node,
                    sent,
                    answer,
                })
                .await;
        });
    }
    fn node_by_name(&self, name: &str) -> Option<usize> {
        name.strip_prefix('n')?.parse().ok()
    }
}

/// Returns a random run time in microseconds of half to one and a half times the mean, because owners' estimates are
/// often wrong by half.
fn run_time(mean: u64, rng: &mut StdRng) -> u64 {
    let mean = mean.max(2);
    rng.random_range(mean / 2..mean + mean / 2)
}

struct Hosts {
    clock: RunClock,
    env: WorkerEnvironment,
    workers: BTreeMap<String, HostedWorker>,
    /// Stop channels of the tasks' processes, by machine and task. Dropping a channel ends its process.
    processes: HashMap<(String, String), oneshot::Sender<()>>,
    events: Vec<TaskEvent>,
}

pub async fn run(args: HostsArgs) -> std::io::Result<()> {
    let clock = RunClock(args.epoch);
    let (queue, mut commands) = mpsc::channel(COMMAND_QUEUE_LENGTH);
    read_from_driver(queue.clone(), Command::Driver);
    let env = WorkerEnvironment {
        now: 0,
        rng: StdRng::seed_from_u64(args.seed),
        args,
        jobs: HashMap::new(),
        clients: HashMap::new(),
        queue,
        sent: Vec::new(),
        counts: ReportCounts::default(),
    };
    let (workers, processes) = (BTreeMap::new(), HashMap::new());
    let mut hosts = Hosts {
        clock,
        env,
        workers,
        processes,
        events: Vec::new(),
    };
    let mut batch = Vec::new();
    loop {
        let _ = timeout(TICK, commands.recv_many(&mut batch, 256)).await;
        for command in batch.drain(..) {
            hosts.env.now = hosts.clock.now();
            hosts.execute(command);
        }
        hosts.step_due();
        if !hosts.events.is_empty() {
            send_to_driver(&FromHosts::Events(std::mem::take(&mut hosts.events)));
        }
    }
}

impl Hosts {
    fn execute(&mut self, command: Command) {
        match command {
            Command::Driver(message) => self.handle_message(message),
            Command::Answer {
                host,
                node,
                sent,
                answer,
            } => self.handle_answer(&host, node, sent, answer),
            Command::Direct(host, request) => self.handle_commands(&host, request),
            Command::Exited {
                host,
                task,
                attempt,
            } => self.handle_exit(&host, &task, attempt),
        }
    }

    fn handle_message(&mut self, message: ToHosts) {
        match message {
            ToHosts::Describe(job) => self.add_job(&job),
            ToHosts::Boot(provisioned) => self.boot(&provisioned),
            ToHosts::Delete(hosts) => hosts.iter().for_each(|host| self.remove_machine(host)),
            ToHosts::GangStarts { job, attempt } => {
                self.move_gang_tasks(&job, attempt, Phase::Waiting, Phase::Running);
            }
            ToHosts::GangEnds { job, attempt, done } => {
                let end = if done { "done" } else { "mates_gone" };
                self.move_gang_tasks(&job, attempt, Phase::Running, Phase::Ended(end));
            }
            ToHosts::EndZone(zone) => {
                let in_zone = self.workers.iter().filter(|(_, p)| p.worker.zone == zone);
                let ended: Vec<String> = in_zone.map(|(host, _)| host.clone()).collect();
                ended.iter().for_each(|host| self.remove_machine(host));
                send_to_driver(&FromHosts::Ended(ended));
            }
            ToHosts::Pretend {
                task,
                attempt,
                not_on,
            } => self.pretend_start(&task, attempt, &not_on),
            ToHosts::Measure => {
                // The events so far are sent before the counts.
                send_to_driver(&FromHosts::Events(std::mem::take(&mut self.events)));
                send_to_driver(&FromHosts::Counts(std::mem::take(&mut self.env.counts)));
            }
        }
    }

    fn add_job(&mut self, job: &JobDescription) {
        let facts = JobFacts {
            tasks: job.tasks,
            gang: job.gang,
            estimate: job.run,
            ..JobFacts::default()
        };
        self.env.jobs.insert(job.id.clone(), facts);
    }

    fn boot(&mut self, provisioned: &ProvisionedMachine) {
        let request = json!({"rig": provisioned.flavor, "yard": provisioned.zone, "loaners": provisioned.spot});
        let (now, lease) = (self.env.now, self.env.args.lease_us);
        let worker = Worker::new(
            &provisioned.host,
            &request,
            now,
            provisioned.boot,
            provisioned.node,
            lease,
        );
        let listener = spawn_local(take_commands(
            provisioned.host.clone(),
            worker_address(&provisioned.host, self.env.args.worker_port),
            self.env.queue.clone(),
        ));
        let hosted = HostedWorker {
            next_step_at: worker.next_step_at(),
            worker,
            on_machine: BTreeMap::new(),
            reported: BTreeMap::new(),
            changed: false,
            last_heartbeat_at: None,
            listener: Some(listener),
        };
        self.workers.insert(provisioned.host.clone(), hosted);
    }

    /// Removes a machine, its worker and all of its tasks.
    fn remove_machine(&mut self, host: &str) {
        let Some(mut hosted) = self.workers.remove(host) else {
            return;
        };
        hosted.worker.tasks.clear();
        self.record_task_changes(host, &mut hosted);
        if let Some(listener) = hosted.listener.take() {
            listener.abort();
        }
        self.env.clients.remove(host);
    }

    /// Steps the workers whose next step is due.
    fn step_due(&mut self) {
        let now = self.clock.now();
        self.env.now = now;
        let due: Vec<String> = self
            .workers
            .iter()
            .filter(|(_, p)| p.next_step_at <= now)
            .map(|(host, _)| host.clone())
            .collect();
        for host in due {
            self.update_worker(&host, |worker, env| worker.step(env));
        }
    }

    /// Runs `act` on a worker, and then records the worker's task events and heartbeats and the time of its next
    /// step.
    fn update_worker<T>(
        &mut self,
        host: &str,
        act: impl FnOnce(&mut Worker, &mut WorkerEnvironment) -> T,
    ) -> Option<T> {
        let mut hosted = self.workers.remove(host)?;
        let result = act(&mut hosted.worker, &mut self.env);
        self.record_task_changes(host, &mut hosted);
        self.count_heartbeats(&mut hosted);
        hosted.next_step_at = hosted.worker.next_step_at();
        self.workers.insert(host.to_string(), hosted);
        Some(result)
    }

    /// Compares a worker's tasks with those last reported, and records the changes as task events and counts.
    fn record_task_changes(&mut self, host: &str, hosted: &mut HostedWorker) {
        let changes = count_task_changes(&mut hosted.reported, &hosted.worker);
        self.env.counts.changes += changes;
        hosted.changed |= changes > 0;
        let present: BTreeMap<String, u64> = hosted
            .worker
            .tasks
            .values()
            .filter(|t| t.on_machine())
            .map(|t| (t.name.clone(), t.attempt))
            .collect();
        if present == hosted.on_machine {
            return;
        }
        let before = std::mem::replace(&mut hosted.on_machine, present);
        for (task, attempt) in &before {
            if hosted.on_machine.get(task) != Some(attempt) {
                let existing = hosted
                    .worker
                    .tasks
                    .get(task)
                    .filter(|t| t.attempt == *attempt);
                let done = existing.is_some_and(|t| t.phase == Phase::Ended("done"));
                let what = if done {
                    TaskEventKind::Done
                } else {
                    TaskEventKind::Gone
                };
                self.env.counts.ends += 1;
                self.add_event(host, task, *attempt, what);
                self.processes.remove(&(host.to_string(), task.clone()));
            }
        }
        let started: Vec<(String, u64)> = hosted
            .on_machine
            .iter()
            .filter(|(task, attempt)| before.get(*task) != Some(attempt))
            .map(|(task, attempt)| (task.clone(), *attempt))
            .collect();
        for (task, attempt) in started {
            self.env.counts.starts += 1;
            self.add_event(host, &task, attempt, TaskEventKind::Started);
            if self.env.args.real {
                self.start_process(host, &task, attempt);
            }
        }
    }

    fn add_event(&mut self, host: &str, task: &str, attempt: u64, what: TaskEventKind) {
        let (host, task) = (host.to_string(), task.to_string());
        self.events.push(TaskEvent {
            at: self.env.now,
            host,
            task,
            attempt,
            what,
        });
    }

    /// Counts the heartbeats that a worker sent in this step.
    fn count_heartbeats(&mut self, hosted: &mut HostedWorker) {
        let counts = &mut self.env.counts;
        for (_, bytes) in self.env.sent.drain(..) {
            counts.reports += 1;
            counts.report_bytes += bytes as u64;
            let tasks = hosted.worker.tasks.len() as u32;
            let by_tasks = counts.by_tasks.entry(tasks).or_default();
            *by_tasks = (by_tasks.0 + 1, by_tasks.1 + bytes as u64);
            let changed = std::mem::take(&mut hosted.changed);
            counts.with_change += u64::from(changed);
            if let Some(before) = hosted.last_heartbeat_at.replace(self.env.now) {
                let interval = counts
                    .intervals
                    .entry(2 * tasks + u32::from(changed))
                    .or_default();
                *interval = (interval.0 + 1, interval.1 + self.env.now - before);
            }
        }
    }

    fn handle_answer(&mut self, host: &str, node: usize, sent: u64, answer: CallResult) {
        match &answer {
            Ok(Answer { status: 200, body }) => {
                self.env.counts.answers += 1;
                self.env.counts.answer_bytes += (body.len() + HEADER_BYTES) as u64;
            }
            _ => self.env.counts.unanswered += 1,
        }
        // If no answer came, the worker notices by its own clock.
        if let Ok(Answer { status, body }) = answer {
            self.update_worker(host, |worker, env| {
                worker.handle_answer(env, node, sent, status, &body)
            });
        }
    }

    fn handle_commands(&mut self, host: &str, request: EmulatorRequest) {
        self.env.counts.direct += 1;
        self.env.counts.direct_bytes += (request.body.len() + HEADER_BYTES) as u64;
        let body = request.body.clone();
        let status = self.update_worker(host, |worker, env| worker.handle_commands(env, &body));
        request.answer(status.unwrap_or(503), json!({}));
    }

    /// Moves all tasks of a gang's attempt that are in phase `from` to phase `to`.
    fn move_gang_tasks(&mut self, job: &str, attempt: u64, from: Phase, to: Phase) {
        let prefix = format!("{job}/");
        let member =
            |t: &Task| t.phase == from && t.attempt == attempt && t.name.starts_with(&prefix);
        let has_member = |p: &&HostedWorker| p.worker.tasks.values().any(member);
        let hosts: Vec<String> = self
            .workers
            .values()
            .filter(has_member)
            .map(|p| p.worker.name.clone())
            .collect();
        for host in hosts {
            self.update_worker(&host, |worker, env| {
                worker
                    .tasks
                    .values_mut()
                    .filter(|t| member(t))
                    .for_each(|t| t.phase = to);
                worker.send_heartbeat_soon(env.now);
            });
        }
    }

    /// Injects a fault: reports that another machine has started an attempt that is already on machine `not_on`.
    fn pretend_start(&mut self, task: &str, attempt: u64, not_on: &str) {
        let other = self.workers.keys().find(|host| *host != not_on).cloned();
        if let Some(host) = other {
            self.add_event(&host, task, attempt, TaskEventKind::Started);
        }
    }

    fn start_process(&mut self, host: &str, task: &str, attempt: u64) {
        let job = job_id_of_task(task);
        let facts = self.env.jobs.get(job).cloned().unwrap_or_default();
        // The driver ends a gang's tasks when the gang is over.
        let run = if facts.gang {
            RUN_TIME_UNTIL_ENDED
        } else {
            run_time(facts.estimate, &mut self.env.rng)
        };
        let Ok(program) = std::env::current_exe() else {
            return;
        };
        let child = Process::new(program)
            .args(["task", &run.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn();
        let Ok(mut child) = child else { return };
        // A task's process also ends when this pipe closes, so it ends with its worker however the worker ends.
        let input = child.stdin.take();
        let (stop, stopped) = oneshot::channel();
        self.processes.insert((host.into(), task.into()), stop);
        let (host, task, queue) = (host.to_string(), task.to_string(), self.env.queue.clone());
        spawn_local(async move {
            let _input = input;
            tokio::select! {
                _ = child.wait() => {
                    let _ = queue.send(Command::Exited { host, task, attempt }).await;
                }
                _ = stopped => {
                    let _ = child.kill().await;
                }
            }
        });
    }

    /// Completes the task whose process has ended, if the worker still runs the task.
    fn handle_exit(&mut self, host: &str, task: &str, attempt: u64) {
        let now = self.env.now;
        self.update_worker(host, |worker, env| {
            let ended = worker.tasks.get_mut(task).filter(|t| t.attempt == attempt);
            if let Some(t) = ended.filter(|t| t.phase == Phase::Running) {
                t.phase_ends_at = now;
                worker.step(env);
            }
        });
    }
}

/// Returns the number of tasks that are new, gone or in another state than in `reported`, and updates `reported`.
fn count_task_changes(
    reported: &mut BTreeMap<String, (u64, Discriminant<Phase>)>,
    worker: &Worker,
) -> u64 {
    // Waiting and running count as the same state. Heartbeats also report the change from waiting to running, but how
    // many of a gang's tasks are on this worker depends on the load.
    let phase = |t: &Task| match t.phase {
        Phase::Waiting => discriminant(&Phase::Running),
        phase => discriminant(&phase),
    };
    let state = |t: &Task| (t.attempt, phase(t));
    let current: BTreeMap<_, _> = worker
        .tasks
        .values()
        .map(|t| (t.name.clone(), state(t)))
        .collect();
    let different = current
        .iter()
        .filter(|(task, state)| reported.get(*task) != Some(*state))
        .count();
    let gone = reported
        .keys()
        .filter(|task| !current.contains_key(*task))
        .count();
    *reported = current;
    (different + gone) as u64
}

/// Serves the commands that controllers send directly to a worker.
async fn take_commands(host: String, addr: SocketAddrV4, queue: mpsc::Sender<Command>) {
    match TcpListener::bind(addr).await {
        Ok(listener) => {
            let (direct, mut request) = mpsc::channel(16);
            spawn_local(async move {
                while let Some(request) = request.recv().await {
                    if queue
                        .send(Command::Direct(host.clone(), request))
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
            });
            serve(listener, direct, Duration::ZERO, |request| request).await;
        }
        Err(e) => eprintln!("cannot listen for commands of {host} at {addr}: {e}"),
    }
}
