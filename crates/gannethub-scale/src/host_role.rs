//! A process with workers. Hollow ones, some hundreds in a process, speak the whole protocol on sockets of their own and
//! run their tasks by the clock; a real one is alone in its process and starts a child process for each task.

use std::collections::{BTreeMap, HashMap};
use std::mem::{Discriminant, discriminant};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use clap::Args;
use gannethub::emulators::{EmulatorRequest, serve};
use gannethub::http::{Answer, CallResult, Client, Method};
use gannethub_emulators::worker::{Phase, Task, job_of};
use gannethub_emulators::{JobFacts, Site, Worker};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::process::Command as Process;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

use crate::messages::{
    FromHosts, Happened, JobDescription, Rented, ReportCounts, TaskEvent, ToHosts,
};
use crate::role::{QUEUE, RunClock, read_from_driver, send_to_driver};

const TICK: Duration = Duration::from_millis(20);
/// A worker drops an answer that comes later.
const ANSWER_PATIENCE: Duration = Duration::from_secs(4);
/// What a request or an answer takes beside its body, about, in bytes.
const HEAD: usize = 100;
/// The run time of a task whose end its own process or its gang tells, in microseconds.
const UNTIL_TOLD: u64 = 1 << 50;

#[derive(Args)]
pub struct HostsArgs {
    #[arg(long)]
    epoch: u64,
    #[arg(long)]
    seed: u64,
    /// Where the controllers take reports
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
    /// Each task is a process
    #[arg(long)]
    real: bool,
}

/// Where the worker on this machine takes commands: each has a loopback address of its own.
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
    Answer {
        host: String,
        node: usize,
        sent: u64,
        answer: CallResult,
    },
    Direct(String, EmulatorRequest),
    /// The process of a task has ended by itself.
    Exited {
        host: String,
        task: String,
        attempt: u64,
    },
}

/// A worker and what is kept beside it.
struct Place {
    worker: Worker,
    /// When it is to be stepped next.
    due: u64,
    /// Its tasks on the machine, as last told, and their attempts.
    on_machine: BTreeMap<String, u64>,
    /// What its reports tell of its tasks: attempts and phases.
    told: BTreeMap<String, (u64, Discriminant<Phase>)>,
    /// These have changed since the last report.
    changed: bool,
    reported_at: Option<u64>,
    listener: Option<JoinHandle<()>>,
}

/// What workers ask of their surroundings.
struct Surroundings {
    now: u64,
    rng: StdRng,
    args: HostsArgs,
    jobs: HashMap<String, JobFacts>,
    /// Each worker's connection to the controller that it reports to.
    clients: HashMap<String, (usize, Rc<Client>)>,
    queue: mpsc::Sender<Command>,
    /// Reports that went out in this step: whose, and how many bytes.
    sent: Vec<(String, usize)>,
    counts: ReportCounts,
}

impl Site for Surroundings {
    fn now(&self) -> u64 {
        self.now
    }
    fn draw(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..to)
    }
    fn chance(&mut self, part: f64) -> bool {
        self.rng.random_bool(part)
    }
    fn nodes(&self) -> usize {
        self.args.controllers.len()
    }
    fn lease(&self) -> u64 {
        self.args.lease_us
    }
    fn report_every(&self) -> u64 {
        self.args.report_us
    }
    fn fetch_time(&self) -> u64 {
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
            return UNTIL_TOLD;
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
        self.sent.push((worker.into(), body.len() + HEAD));
        let (host, sent, queue) = (worker.to_string(), self.now, self.queue.clone());
        spawn_local(async move {
            let report = body.as_bytes();
            let answer = client
                .call(Method::Post, "/v1/report", report, ANSWER_PATIENCE)
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
    fn named(&self, name: &str) -> Option<usize> {
        name.strip_prefix('n')?.parse().ok()
    }
}

/// Owners' estimates are often wrong by half.
fn run_time(mean: u64, rng: &mut StdRng) -> u64 {
    let mean = mean.max(2);
    rng.random_range(mean / 2..mean + mean / 2)
}

struct Hosts {
    clock: RunClock,
    site: Surroundings,
    places: BTreeMap<String, Place>,
    /// Processes of tasks; dropping one ends it.
    processes: HashMap<(String, String), oneshot::Sender<()>>,
    events: Vec<TaskEvent>,
}

pub async fn run(args: HostsArgs) -> std::io::Result<()> {
    let clock = RunClock(args.epoch);
    let (queue, mut commands) = mpsc::channel(QUEUE);
    read_from_driver(queue.clone(), Command::Driver);
    let site = Surroundings {
        now: 0,
        rng: StdRng::seed_from_u64(args.seed),
        args,
        jobs: HashMap::new(),
        clients: HashMap::new(),
        queue,
        sent: Vec::new(),
        counts: ReportCounts::default(),
    };
    let (places, processes) = (BTreeMap::new(), HashMap::new());
    let mut hosts = Hosts {
        clock,
        site,
        places,
        processes,
        events: Vec::new(),
    };
    let mut batch = Vec::new();
    loop {
        let _ = timeout(TICK, commands.recv_many(&mut batch, 256)).await;
        for command in batch.drain(..) {
            hosts.site.now = hosts.clock.now();
            hosts.command(command);
        }
        hosts.step_due();
        if !hosts.events.is_empty() {
            send_to_driver(&FromHosts::Events(std::mem::take(&mut hosts.events)));
        }
    }
}

impl Hosts {
    fn command(&mut self, command: Command) {
        match command {
            Command::Driver(message) => self.told(message),
            Command::Answer {
                host,
                node,
                sent,
                answer,
            } => self.answered(&host, node, sent, answer),
            Command::Direct(host, asked) => self.commanded(&host, asked),
            Command::Exited {
                host,
                task,
                attempt,
            } => self.exited(&host, &task, attempt),
        }
    }

    fn told(&mut self, message: ToHosts) {
        match message {
            ToHosts::Describe(job) => self.describe(&job),
            ToHosts::Boot(rented) => self.boot(&rented),
            ToHosts::Delete(hosts) => hosts.iter().for_each(|host| self.end(host)),
            ToHosts::GangStarts { job, attempt } => {
                self.on_gang(&job, attempt, Phase::Waiting, Phase::Running);
            }
            ToHosts::GangEnds { job, attempt, done } => {
                let end = if done { "done" } else { "mates_gone" };
                self.on_gang(&job, attempt, Phase::Running, Phase::Ended(end));
            }
            ToHosts::EndZone(zone) => {
                let in_zone = self.places.iter().filter(|(_, p)| p.worker.zone == zone);
                let ended: Vec<String> = in_zone.map(|(host, _)| host.clone()).collect();
                ended.iter().for_each(|host| self.end(host));
                send_to_driver(&FromHosts::Ended(ended));
            }
            ToHosts::Pretend {
                task,
                attempt,
                not_on,
            } => self.pretend(&task, attempt, &not_on),
            ToHosts::Measure => {
                // What was seen until now comes first.
                send_to_driver(&FromHosts::Events(std::mem::take(&mut self.events)));
                send_to_driver(&FromHosts::Counts(std::mem::take(&mut self.site.counts)));
            }
        }
    }

    fn describe(&mut self, job: &JobDescription) {
        let facts = JobFacts {
            tasks: job.tasks,
            gang: job.gang,
            estimate: job.run,
            ..JobFacts::default()
        };
        self.site.jobs.insert(job.id.clone(), facts);
    }

    fn boot(&mut self, rented: &Rented) {
        let rental = json!({"rig": rented.flavor, "yard": rented.zone, "loaners": rented.spot});
        let (now, lease) = (self.site.now, self.site.args.lease_us);
        let worker = Worker::new(&rented.host, &rental, now, rented.boot, rented.node, lease);
        let listener = spawn_local(take_commands(
            rented.host.clone(),
            worker_address(&rented.host, self.site.args.worker_port),
            self.site.queue.clone(),
        ));
        let place = Place {
            due: worker.next_step_at(),
            worker,
            on_machine: BTreeMap::new(),
            told: BTreeMap::new(),
            changed: false,
            reported_at: None,
            listener: Some(listener),
        };
        self.places.insert(rented.host.clone(), place);
    }

    /// A machine and all that was on it is gone.
    fn end(&mut self, host: &str) {
        let Some(mut place) = self.places.remove(host) else {
            return;
        };
        place.worker.tasks.clear();
        self.look(host, &mut place);
        if let Some(listener) = place.listener.take() {
            listener.abort();
        }
        self.site.clients.remove(host);
    }

    /// Steps the workers that have something to do.
    fn step_due(&mut self) {
        let now = self.clock.now();
        self.site.now = now;
        let due: Vec<String> = self
            .places
            .iter()
            .filter(|(_, p)| p.due <= now)
            .map(|(host, _)| host.clone())
            .collect();
        for host in due {
            self.with(&host, |worker, site| worker.step(site));
        }
    }

    /// Has a worker do something, and takes down what came of it.
    fn with<T>(
        &mut self,
        host: &str,
        act: impl FnOnce(&mut Worker, &mut Surroundings) -> T,
    ) -> Option<T> {
        let mut place = self.places.remove(host)?;
        let result = act(&mut place.worker, &mut self.site);
        self.look(host, &mut place);
        self.count_reports(&mut place);
        place.due = place.worker.next_step_at();
        self.places.insert(host.to_string(), place);
        Some(result)
    }

    /// Compares a worker's tasks with what was last told of them.
    fn look(&mut self, host: &str, place: &mut Place) {
        let changes = changes(&mut place.told, &place.worker);
        self.site.counts.changes += changes;
        place.changed |= changes > 0;
        let now_there: BTreeMap<String, u64> = place
            .worker
            .tasks
            .values()
            .filter(|t| t.on_machine())
            .map(|t| (t.name.clone(), t.attempt))
            .collect();
        if now_there == place.on_machine {
            return;
        }
        let before = std::mem::replace(&mut place.on_machine, now_there);
        for (task, attempt) in &before {
            if place.on_machine.get(task) != Some(attempt) {
                let held = place
                    .worker
                    .tasks
                    .get(task)
                    .filter(|t| t.attempt == *attempt);
                let done = held.is_some_and(|t| t.phase == Phase::Ended("done"));
                let what = if done { Happened::Done } else { Happened::Gone };
                self.site.counts.ends += 1;
                self.note(host, task, *attempt, what);
                self.processes.remove(&(host.to_string(), task.clone()));
            }
        }
        let started: Vec<(String, u64)> = place
            .on_machine
            .iter()
            .filter(|(task, attempt)| before.get(*task) != Some(attempt))
            .map(|(task, attempt)| (task.clone(), *attempt))
            .collect();
        for (task, attempt) in started {
            self.site.counts.starts += 1;
            self.note(host, &task, attempt, Happened::Started);
            if self.site.args.real {
                self.start_process(host, &task, attempt);
            }
        }
    }

    fn note(&mut self, host: &str, task: &str, attempt: u64, what: Happened) {
        let (host, task) = (host.to_string(), task.to_string());
        self.events.push(TaskEvent {
            at: self.site.now,
            host,
            task,
            attempt,
            what,
        });
    }

    fn count_reports(&mut self, place: &mut Place) {
        let counts = &mut self.site.counts;
        for (_, bytes) in self.site.sent.drain(..) {
            counts.reports += 1;
            counts.report_bytes += bytes as u64;
            let tasks = place.worker.tasks.len() as u32;
            let by_tasks = counts.by_tasks.entry(tasks).or_default();
            *by_tasks = (by_tasks.0 + 1, by_tasks.1 + bytes as u64);
            let changed = std::mem::take(&mut place.changed);
            counts.with_change += u64::from(changed);
            if let Some(before) = place.reported_at.replace(self.site.now) {
                let interval = counts
                    .intervals
                    .entry(2 * tasks + u32::from(changed))
                    .or_default();
                *interval = (interval.0 + 1, interval.1 + self.site.now - before);
            }
        }
    }

    fn answered(&mut self, host: &str, node: usize, sent: u64, answer: CallResult) {
        match &answer {
            Ok(Answer { status: 200, body }) => {
                self.site.counts.answers += 1;
                self.site.counts.answer_bytes += (body.len() + HEAD) as u64;
            }
            _ => self.site.counts.unanswered += 1,
        }
        // Where nothing came the worker finds out by its own clock.
        if let Ok(Answer { status, body }) = answer {
            self.with(host, |worker, site| {
                worker.answered(site, node, sent, status, &body)
            });
        }
    }

    fn commanded(&mut self, host: &str, asked: EmulatorRequest) {
        self.site.counts.direct += 1;
        self.site.counts.direct_bytes += (asked.body.len() + HEAD) as u64;
        let body = asked.body.clone();
        let status = self.with(host, |worker, site| worker.commanded(site, &body));
        asked.answer(status.unwrap_or(503), json!({}));
    }

    /// Moves all tasks of a gang's attempt that are in one phase to another.
    fn on_gang(&mut self, job: &str, attempt: u64, from: Phase, to: Phase) {
        let prefix = format!("{job}/");
        let member =
            |t: &Task| t.phase == from && t.attempt == attempt && t.name.starts_with(&prefix);
        let holds = |p: &&Place| p.worker.tasks.values().any(member);
        let hosts: Vec<String> = self
            .places
            .values()
            .filter(holds)
            .map(|p| p.worker.name.clone())
            .collect();
        for host in hosts {
            self.with(&host, |worker, site| {
                worker
                    .tasks
                    .values_mut()
                    .filter(|t| member(t))
                    .for_each(|t| t.phase = to);
                worker.send_heartbeat_soon(site.now);
            });
        }
    }

    /// Says on purpose that another worker started an attempt which is on its machine already.
    fn pretend(&mut self, task: &str, attempt: u64, not_on: &str) {
        let other = self.places.keys().find(|host| *host != not_on).cloned();
        if let Some(host) = other {
            self.note(&host, task, attempt, Happened::Started);
        }
    }

    fn start_process(&mut self, host: &str, task: &str, attempt: u64) {
        let job = job_of(task);
        let facts = self.site.jobs.get(job).cloned().unwrap_or_default();
        // A gang's tasks are told when it is over.
        let run = if facts.gang {
            UNTIL_TOLD
        } else {
            run_time(facts.estimate, &mut self.site.rng)
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
        // A task ends with its worker, however that ends: it waits for the end of this pipe as well.
        let input = child.stdin.take();
        let (stop, stopped) = oneshot::channel();
        self.processes.insert((host.into(), task.into()), stop);
        let (host, task, queue) = (host.to_string(), task.to_string(), self.site.queue.clone());
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

    fn exited(&mut self, host: &str, task: &str, attempt: u64) {
        let now = self.site.now;
        self.with(host, |worker, site| {
            let ended = worker.tasks.get_mut(task).filter(|t| t.attempt == attempt);
            if let Some(t) = ended.filter(|t| t.phase == Phase::Running) {
                t.phase_ends_at = now;
                worker.step(site);
            }
        });
    }
}

/// How many tasks are told of otherwise than before; `told` is brought up to date.
fn changes(told: &mut BTreeMap<String, (u64, Discriminant<Phase>)>, worker: &Worker) -> u64 {
    // That a gang is whole is told as well, but which of its tasks are here is a matter of the load.
    let phase = |t: &Task| match t.phase {
        Phase::Waiting => discriminant(&Phase::Running),
        phase => discriminant(&phase),
    };
    let state = |t: &Task| (t.attempt, phase(t));
    let now: BTreeMap<_, _> = worker
        .tasks
        .values()
        .map(|t| (t.name.clone(), state(t)))
        .collect();
    let other = now
        .iter()
        .filter(|(task, state)| told.get(*task) != Some(*state))
        .count();
    let gone = told.keys().filter(|task| !now.contains_key(*task)).count();
    *told = now;
    (other + gone) as u64
}

/// Takes the commands that controllers send to a worker directly.
async fn take_commands(host: String, addr: SocketAddrV4, queue: mpsc::Sender<Command>) {
    match TcpListener::bind(addr).await {
        Ok(listener) => {
            let (direct, mut asked) = mpsc::channel(16);
            spawn_local(async move {
                while let Some(asked) = asked.recv().await {
                    if queue
                        .send(Command::Direct(host.clone(), asked))
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
            });
            serve(listener, direct, Duration::ZERO, |asked| asked).await;
        }
        Err(e) => eprintln!("{host} cannot take commands at {addr}: {e}"),
    }
}
