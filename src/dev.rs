//! A whole cluster on loopback: stand-ins of state service, cloud and workers in this process, and controllers
//! as processes of their own, so that they can be killed.
//!
//! The stand-ins are the models that the stories play ([`gannethub_emulators`]), here on the real clock. One task
//! owns them all and works through a queue; tasks beside it hold the sockets.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command as Process, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::Args;
use comfy_table::Table;
use gannethub_core::http::Method;
use gannethub_core::wire::store::LiveRecord;
use gannethub_emulators::worker::{JobFacts, step_gangs};
use gannethub_emulators::{Cloud, Record, Site, Span, State, Worker};
use gannethub_ledger::audit::verify;
use gannethub_ledger::line::{Body, Entry};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::emulators::{EmulatorRequest, StateService, free_ports, serve};
use crate::files::{self, FileError};
use crate::http::{CallResult, Client, ask_any};
use crate::ledger::{LedgerError, fetch};

const SECOND: u64 = 1_000_000;
const TICK: Duration = Duration::from_millis(10);
const LEASE_S: u64 = 10;
const PATIENCE: Duration = Duration::from_secs(4);
/// The bound of an attempt whose worker's reports all came.
const SEEN: u64 = SECOND * 55 / 100;
/// What a compared attempt may be off beyond its bound: messages and the stand-ins' own steps.
const SLACK: u64 = SECOND / 10;

#[derive(Args)]
pub struct DevArgs {
    /// How many controllers
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=7))]
    controllers: u8,
    /// What is drawn by chance
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Submit so many jobs while workers, the leader and the state service fail, hold the ledger against the
    /// workers' own record, and end
    #[arg(long, value_name = "JOBS")]
    load: Option<u32>,
}

/// Why a cluster could not be run, or did not do as it should.
#[derive(Debug, thiserror::Error)]
pub enum DevError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    File(#[from] FileError),
    #[error("{0}")]
    Ledger(#[from] LedgerError),
    #[error("{0}")]
    Load(String),
}

/// What the owner of all stand-ins is told.
enum Command {
    State(EmulatorRequest),
    Cloud(EmulatorRequest),
    /// Commands for a worker, from a controller.
    Direct(EmulatorRequest),
    Answer {
        worker: String,
        node: usize,
        sent: u64,
        answer: CallResult,
    },
    /// The state service refuses everything, or no longer.
    Outage(bool),
    /// A machine that holds tasks dies.
    Kill,
    /// Who leads, as the state service has it.
    Leader(oneshot::Sender<Option<String>>),
    /// The workers' own record.
    Record(oneshot::Sender<BTreeMap<(String, String, u64), Span>>),
}

/// The stand-ins and what they know.
struct Region {
    start: Instant,
    /// The time of this command or step: it stands still meanwhile.
    now: u64,
    rng: StdRng,
    state: StateService,
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    record: Record,
    facts: HashMap<String, JobFacts>,
    done: HashSet<String>,
    names: Vec<String>,
    /// Where all workers take commands.
    workers_at: String,
    nodes: Vec<Rc<Client>>,
    queue: mpsc::Sender<Command>,
}

impl Region {
    /// Keeps the description of a submitted job: its workers ask for it when it may be over already.
    fn learn(&mut self, body: &[u8]) {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        for w in body["writes"].as_array().into_iter().flatten() {
            let id = w["write"].as_str().and_then(|k| k.strip_prefix("gh/live/"));
            let record = id.and_then(|_| LiveRecord::parse(&w["v"].to_string()).ok());
            let (Some(id), Some(LiveRecord::Job(record))) = (id, record) else {
                continue;
            };
            let spec = record.spec;
            use gannethub_core::model::Shape;
            let facts = JobFacts {
                tasks: spec.tasks,
                gang: spec.shape == Shape::Gang,
                service: spec.shape == Shape::Service,
                broken: false,
                save: spec.save_time,
                estimate: spec.run_time_estimate,
            };
            self.facts.entry(id.to_string()).or_insert(facts);
        }
    }

    fn turn(&mut self) -> u64 {
        self.now = self.start.elapsed().as_micros() as u64;
        self.now
    }

    fn command(&mut self, command: Command) {
        let now = self.turn();
        match command {
            Command::State(asked) => {
                if asked.path == "/commit" {
                    self.learn(&asked.body);
                }
                self.state.handle(asked, now);
            }
            Command::Cloud(asked) => {
                let mut workers = std::mem::take(&mut self.workers);
                let mut cloud = std::mem::take(&mut self.cloud);
                let (status, answer, gone) =
                    cloud.handle(&asked.path, &asked.body, &mut workers, self);
                (self.workers, self.cloud) = (workers, cloud);
                for mut w in gone {
                    w.tasks.clear();
                    self.record.note(&w, now);
                }
                asked.answer(status, answer);
            }
            Command::Direct(asked) => {
                // All workers are at one address here. An attempt is on one of them.
                let tasks: Value = serde_json::from_slice(&asked.body).unwrap_or(Value::Null);
                let piece = tasks["orders"][0]["piece"]
                    .as_str()
                    .unwrap_or("")
                    .to_string();
                let holds = |w: &&Worker| !w.hung(now) && w.tasks.contains_key(&piece);
                let name = self.workers.values().find(holds).map(|w| w.name.clone());
                let worker = name.and_then(|n| self.workers.remove(&n));
                let status = worker.map_or(409, |mut w| {
                    let status = w.commanded(self, &asked.body);
                    self.record.note(&w, now);
                    self.workers.insert(w.name.clone(), w);
                    status
                });
                asked.answer(status, json!({}));
            }
            Command::Answer {
                worker,
                node,
                sent,
                answer,
            } => {
                let Some(mut w) = self.workers.remove(&worker) else {
                    return;
                };
                // Nothing came: the worker finds that out by its own clock.
                if let Ok(answer) = answer
                    && !w.hung(now)
                {
                    w.answered(self, node, sent, answer.status, &answer.body);
                    self.record.note(&w, now);
                }
                self.workers.insert(worker, w);
            }
            Command::Outage(down) => self.state.state.down = down,
            Command::Kill => {
                let busy = self
                    .workers
                    .values_mut()
                    .filter(|w| !w.dead && !w.tasks.is_empty());
                if let Some(w) = busy.last() {
                    w.dead = true;
                    w.tasks.clear();
                    let name = w.name.clone();
                    self.record.note(&self.workers[&name], now);
                }
            }
            Command::Leader(reply) => {
                let holder = self.state.state.value("gh/lead/holder");
                let _ = reply.send(holder.and_then(|v| Some(v["holder"].as_str()?.to_string())));
            }
            Command::Record(reply) => drop(reply.send(self.record.spans.clone())),
        }
    }

    fn tick(&mut self) {
        let now = self.turn();
        self.state.tick(now);
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let Some(mut w) = self.workers.remove(&name) else {
                continue;
            };
            w.step(self);
            self.record.note(&w, now);
            self.workers.insert(name, w);
        }
        let mut workers = std::mem::take(&mut self.workers);
        step_gangs(&mut workers, 5 * SECOND, self);
        self.workers = workers;
    }
}

impl Site for Region {
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
        self.nodes.len()
    }

    fn lease(&self) -> u64 {
        LEASE_S * SECOND
    }

    fn job(&self, id: &str) -> Option<JobFacts> {
        self.facts.get(id).cloned()
    }

    fn run_time(&mut self, job: &JobFacts) -> u64 {
        // Owners are often wrong by half.
        let guess = job.estimate.max(SECOND);
        self.rng.random_range(guess / 2..guess + guess / 2)
    }

    fn is_done(&self, task: &str) -> bool {
        self.done.contains(task)
    }

    fn done(&mut self, task: &str) {
        self.done.insert(task.into());
    }

    fn send(&mut self, worker: &str, node: usize, body: String) {
        let Some(client) = self.nodes.get(node).cloned() else {
            return;
        };
        let (worker, sent, queue) = (worker.to_string(), self.now(), self.queue.clone());
        spawn_local(async move {
            let answer = client
                .call(Method::Post, "/v1/report", body.as_bytes(), PATIENCE)
                .await;
            let _ = queue
                .send(Command::Answer {
                    worker,
                    node,
                    sent,
                    answer,
                })
                .await;
        });
    }

    fn addr(&self, _: &str) -> String {
        self.workers_at.clone()
    }

    fn named(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|n| n == name)
    }
}

/// Controllers as processes; all end with this value.
struct Controllers {
    dir: PathBuf,
    children: Vec<Option<Child>>,
}

impl Controllers {
    fn start(&mut self, i: usize) -> std::io::Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("n{i}.log")))?;
        let child = Process::new(std::env::current_exe()?)
            .arg("--ledger")
            .arg(self.dir.join("ledger.toml"))
            .arg("--config")
            .arg(self.dir.join(format!("n{i}.toml")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.children[i] = Some(child);
        Ok(())
    }

    fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.children.get_mut(i).and_then(Option::take) {
            // It may have ended by itself; then there is nothing to kill.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|i| self.kill(i));
    }
}

fn write_settings(dir: &Path, ports: &[u16], state: u16, cloud: u16) -> Result<(), DevError> {
    let n = ports.len() / 2;
    let zone = |i: usize| ["a", "b"][i % 2];
    for i in 0..n {
        let mut text = format!(
            "host_name = \"n{i}\"\narea = \"{}\"\nbind = \"127.0.0.1:{}\"\n\
             cluster_listen = \"127.0.0.1:{}\"\n[outside]\ncloud = \"127.0.0.1:{cloud}\"\n\
             state = \"127.0.0.1:{state}\"\n[cluster]\nzones = [\"a\", \"b\"]\n[cluster.workers]\n\
             report_s = 1.0\nlease_s = {LEASE_S}.0\ngang_wait_s = 30.0\ngang_peer_s = 5.0\n\
             cancel_s = 35.0\n[cluster.state]\nrps = 250.0\nwrite_rps = 60.0\nvalue_kb = 16.0\n\
             txn_ops = 16\n[cluster.cloud]\nrps = 5.0\nlist_lag_s = 2.0\n",
            zone(i),
            ports[2 * i],
            ports[2 * i + 1]
        );
        for team in ["red", "blue"] {
            text += &format!(
                "[[cluster.teams]]\nname = \"{team}\"\ncpus = 12.0\ncpus_max = 32.0\n\
                 gpus = 2.0\ngpus_max = 8.0\n"
            );
        }
        for j in (0..n).filter(|j| *j != i) {
            text += &format!(
                "[[siblings]]\nhost_name = \"n{j}\"\narea = \"{}\"\npeer_addr = \"127.0.0.1:{}\"\n",
                zone(j),
                ports[2 * j + 1]
            );
        }
        std::fs::write(dir.join(format!("n{i}.toml")), text)?;
    }
    let keys = dir.join("ledger.keys");
    files::make_key(&keys, false)?;
    let text = format!(
        "keys = {:?}\nhalf_life_s = 600.0\n",
        keys.display().to_string()
    );
    std::fs::write(dir.join("ledger.toml"), text)?;
    Ok(())
}

/// Runs a cluster until ctrl-c, or until its load is over.
pub fn run(args: &DevArgs) -> Result<(), DevError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, cluster(args))
}

async fn cluster(args: &DevArgs) -> Result<(), DevError> {
    let n = usize::from(args.controllers);
    let dir = std::env::temp_dir().join(format!("gannethub-dev-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let state = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let cloud = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let workers = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let (state_port, cloud_port) = (state.local_addr()?.port(), cloud.local_addr()?.port());
    let ports = free_ports(2 * n)?;
    write_settings(&dir, &ports, state_port, cloud_port)?;
    let addrs: Vec<SocketAddrV4> = (0..n)
        .map(|i| SocketAddrV4::new(Ipv4Addr::LOCALHOST, ports[2 * i]))
        .collect();
    let (queue, mut commands) = mpsc::channel(4096);
    let mut store = State::new(16 * 1024, 16);
    store.page = 200;
    let mut region = Region {
        start: Instant::now(),
        now: 0,
        rng: StdRng::seed_from_u64(args.seed),
        state: StateService::new(store),
        cloud: Cloud::default(),
        workers: BTreeMap::new(),
        record: Record::default(),
        facts: HashMap::new(),
        done: HashSet::new(),
        names: (0..n).map(|i| format!("n{i}")).collect(),
        workers_at: workers.local_addr()?.to_string(),
        nodes: addrs.iter().map(|a| Rc::new(Client::new(*a))).collect(),
        queue: queue.clone(),
    };
    spawn_local(serve(
        workers,
        queue.clone(),
        Duration::ZERO,
        Command::Direct,
    ));
    spawn_local(serve(state, queue.clone(), Duration::ZERO, Command::State));
    spawn_local(serve(cloud, queue.clone(), Duration::ZERO, Command::Cloud));
    spawn_local(async move {
        let mut batch = Vec::new();
        loop {
            let _ = timeout(TICK, commands.recv_many(&mut batch, 256)).await;
            batch.drain(..).for_each(|c| region.command(c));
            region.tick();
        }
    });
    let mut controllers = Controllers {
        dir: dir.clone(),
        children: (0..n).map(|_| None).collect(),
    };
    for i in 0..n {
        controllers.start(i)?;
    }
    println!("state service 127.0.0.1:{state_port}, cloud 127.0.0.1:{cloud_port} (stand-ins)");
    addrs
        .iter()
        .enumerate()
        .for_each(|(i, a)| println!("controller n{i} http://{a}"));
    println!("settings, keys and logs in {}", dir.display());
    match args.load {
        Some(jobs) => {
            let result = load(jobs, args.seed, &addrs, &queue, &mut controllers).await;
            drop(controllers);
            // What went wrong may be in the logs.
            if result.is_ok() {
                std::fs::remove_dir_all(&dir)?;
            }
            result
        }
        None => {
            println!("ctrl-c stops all");
            tokio::signal::ctrl_c().await?;
            drop(controllers);
            std::fs::remove_dir_all(&dir)?;
            Ok(())
        }
    }
}

/// Asks controllers in turn until one answers with 2xx or a final refusal.
async fn ask(
    clients: &[Client],
    method: Method,
    path: &str,
    body: &str,
) -> Result<(u16, Value), DevError> {
    match ask_any(clients, method, path, body.as_bytes()).await {
        Ok(answer) => Ok((answer.status, answer.decode().unwrap_or(Value::Null))),
        Err(_) => Err(DevError::Load(format!("no controller answers {path}"))),
    }
}

/// Submits jobs while things fail, and holds the ledger against the workers' own record.
async fn load(
    jobs: u32,
    seed: u64,
    addrs: &[SocketAddrV4],
    queue: &mpsc::Sender<Command>,
    controllers: &mut Controllers,
) -> Result<(), DevError> {
    let gone = |_| DevError::Load("the stand-ins have ended".into());
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    let clients: Vec<Client> = addrs.iter().map(|a| Client::new(*a)).collect();
    let mut teams: HashMap<String, &str> = HashMap::new();
    let mut services = Vec::new();
    for i in 1..=jobs {
        let id = format!("j-{i:06}");
        let team = ["red", "blue"][rng.random_range(0..2)];
        let shape = ["array", "array", "group", "service"][rng.random_range(0..4)];
        let tasks = rng.random_range(1..8);
        let stamp = if rng.random_bool(0.5) { 1.0 } else { 0.0 };
        let body = json!({"id": id, "jobclass": "load", "crew": team, "shape": shape,
            "rank": "normal", "pieces": tasks, "vcpus": 1.0, "cards": 0.0, "mem_gb": 1.0,
            "build": "img", "size_gb": 1.0, "rigs": null, "yard": null, "together": false,
            "scatter": false, "loaners": true, "guess_s": 4.0, "stamp_every_s": stamp,
            "stamp_s": stamp, "due_s": null});
        let (status, answer) = ask(&clients, Method::Post, "/api/jobs", &body.to_string()).await?;
        if !matches!(status, 200 | 201) {
            return Err(DevError::Load(format!("{id}: {status} {answer}")));
        }
        teams.insert(id.clone(), team);
        if shape == "service" {
            services.push(id);
        }
        sleep(Duration::from_millis(700)).await;
        match i % 12 {
            4 => drop(queue.send(Command::Kill).await),
            8 => {
                let (reply, leader) = oneshot::channel();
                let _ = queue.send(Command::Leader(reply)).await;
                let leader = leader.await.map_err(gone)?;
                let leader = leader.and_then(|l| l.strip_prefix('n')?.parse().ok());
                if let Some(i) = leader {
                    println!("the leader n{i} is killed, a machine with it");
                    controllers.kill(i);
                    let _ = queue.send(Command::Kill).await;
                    // A sibling takes over meanwhile, which knows what is open.
                    sleep(Duration::from_secs(8)).await;
                    controllers.start(i)?;
                }
            }
            11 => {
                println!("the state service is down for 4 s");
                let _ = queue.send(Command::Outage(true)).await;
                sleep(Duration::from_secs(4)).await;
                let _ = queue.send(Command::Outage(false)).await;
            }
            _ => {}
        }
    }
    for id in &services {
        ask(
            &clients,
            Method::Post,
            &format!("/api/jobs/{id}/cancel"),
            "",
        )
        .await?;
    }
    for i in 1..=jobs {
        let until = Instant::now() + Duration::from_secs(120);
        loop {
            let (_, answer) =
                ask(&clients, Method::Get, &format!("/api/jobs/j-{i:06}"), "").await?;
            if matches!(answer["status"].as_str(), Some("done" | "cancelled")) {
                break;
            }
            if Instant::now() > until {
                return Err(DevError::Load(format!("j-{i:06} is not over: {answer}")));
            }
            sleep(Duration::from_millis(500)).await;
        }
    }
    // The last charges are written, and machines that died are given up.
    sleep(Duration::from_secs(LEASE_S + 6)).await;
    let (reply, spans) = oneshot::channel();
    let _ = queue.send(Command::Record(reply)).await;
    let spans = spans.await.map_err(gone)?;
    let (platform, _) = files::read_settings(&controllers.dir.join("n0.toml"))?;
    let setup = files::read_ledger_setup(&controllers.dir.join("ledger.toml"), &platform)?;
    let pages = fetch(addrs).await?;
    let verified = verify(&pages, &setup.keys, &setup.settings, None).map_err(LedgerError::from)?;
    let mut entries: BTreeMap<(String, String, u64), Vec<Entry>> = BTreeMap::new();
    let mut unknown: HashSet<String> = HashSet::new();
    for (line, _) in pages.iter().filter_map(|p| p.read().ok()).flatten() {
        match &line.body {
            Body::Gap(g) => {
                println!("gap: nobody knows what {} held", g.machine);
                unknown.insert(g.machine.clone());
            }
            Body::Took(t) if !t.complete && t.term > 1 => {
                println!(
                    "{} took over and did not know of all that was open",
                    t.holder
                );
            }
            _ => {}
        }
        let Body::Charge(c) = line.body else { continue };
        for e in c.entries {
            let task = format!("{}/{}", c.common.job, e.task);
            entries
                .entry((e.machine.clone(), task, e.attempt))
                .or_default()
                .push(e);
        }
    }
    // What the ledger itself says that it does not know is no fault of its lines.
    let known = spans
        .into_iter()
        .filter(|(k, _)| entries.contains_key(k) || !unknown.contains(&k.0));
    compare(&known.collect(), &entries, &teams, verified.lines)
}

/// By team: attempts, the workers' time, the ledger's, how far it may be off, and the largest difference of one.
#[derive(Default)]
struct Sums {
    attempts: u32,
    estimates: u32,
    workers: u64,
    ledger: u64,
    bound: u64,
    largest: u64,
    /// The same of those of which no report was missed.
    seen: u32,
    seen_workers: u64,
    seen_ledger: u64,
}

fn compare(
    spans: &BTreeMap<(String, String, u64), Span>,
    entries: &BTreeMap<(String, String, u64), Vec<Entry>>,
    teams: &HashMap<String, &str>,
    lines: u64,
) -> Result<(), DevError> {
    let (mut sums, mut wrong): (BTreeMap<&str, Sums>, Vec<String>) = Default::default();
    for (key, span) in spans {
        let Some(real) = span.time() else {
            wrong.push(format!("{key:?} has not ended"));
            continue;
        };
        // A gang's task that is replaced where it was keeps its number, and each stint is an entry.
        let stints = entries.get(key).map_or(&[][..], Vec::as_slice);
        if stints.len() != span.stints {
            let (times, of) = (stints.len(), span.stints);
            wrong.push(format!(
                "{key:?} ran {of} times and is charged {times} times: {stints:?}"
            ));
            continue;
        }
        let charged: u64 = stints.iter().map(|e| e.spent.at_worker()).sum();
        let bound: u64 = stints.iter().map(|e| e.bound).sum();
        let estimate = stints.iter().any(|e| e.estimate);
        let off = charged.abs_diff(real);
        if off > bound + SLACK {
            wrong.push(format!(
                "{key:?} took {real} us and is charged {charged}, {stints:?}"
            ));
        }
        let team = teams
            .get(key.1.split('/').next().unwrap_or(""))
            .copied()
            .unwrap_or("");
        let s = sums.entry(team).or_default();
        s.attempts += 1;
        s.estimates += u32::from(estimate);
        s.workers += real;
        s.ledger += charged;
        s.bound += bound;
        s.largest = s.largest.max(off);
        if !estimate && bound <= SEEN {
            s.seen += 1;
            s.seen_workers += real;
            s.seen_ledger += charged;
        }
    }
    let mut table = Table::new();
    let head = [
        "team",
        "attempts",
        "estimates",
        "workers s",
        "ledger s",
        "differ s",
        "bound s",
        "largest s",
    ];
    table
        .load_preset(comfy_table::presets::NOTHING)
        .set_header(head);
    for (team, s) in &sums {
        let t = |t: u64| format!("{:.3}", t as f64 / 1e6);
        let differ = (s.ledger as f64 - s.workers as f64) / 1e6;
        let (attempts, estimates) = (s.attempts.to_string(), s.estimates.to_string());
        let differ = format!("{differ:+.3}");
        let row = [
            attempts,
            estimates,
            t(s.workers),
            t(s.ledger),
            differ,
            t(s.bound),
            t(s.largest),
        ];
        table.add_row(std::iter::once((*team).to_string()).chain(row));
    }
    for (team, s) in &sums {
        let differ = (s.seen_ledger as f64 - s.seen_workers as f64) / 1e6;
        println!(
            "{team}: no report missed of {} attempts, which differ by {differ:+.3} s",
            s.seen
        );
    }
    println!("{table}\n{lines} lines verify; simulated work on stand-in workers");
    if wrong.is_empty() {
        return Ok(());
    }
    Err(DevError::Load(format!(
        "{} attempts are not charged as they should be:\n{}",
        wrong.len(),
        wrong.join("\n")
    )))
}
