//! The driver of a run: it starts all processes, brings the load and the faults, and measures.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use gannethub::files::FileError;
use gannethub::http::{Client, Method};
use indicatif::{ProgressBar, ProgressStyle};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::changes::Operators;
use crate::deployment::{Ports, flavors, team_cpus, write_settings};
use crate::gangs::{GangStep, Gangs};
use crate::load::{Fault, FaultKind, Job, Load, LoadError, Shape, zone_name};
use crate::messages::{
    FromCloud, FromHosts, JobDescription, KindCount, Rented, ReportCounts, StateCounts, TaskEvent,
    ToCloud, ToHosts, ToState,
};
use crate::options::{HOLLOW_IN_A_PROCESS, RunOptions, SizeError};
use crate::process::{ControllerProcess, Talker, Usage, bytes_between, machine_busy};
use crate::record::{HostFacts, LimitFrom, Record};
use crate::report::{Agreement, Asked, Reached, Report, Times, role_usage};
use crate::role::{QUEUE, RunClock, run_local};
use crate::state_role;
use crate::users::Users;

const TICK: Duration = Duration::from_millis(20);
const SECOND: u64 = 1_000_000;
/// A controller that was killed is started again after this time, in microseconds.
const RESTART: u64 = 6 * SECOND;
/// How long processes have to begin, and to tell their counts.
const PATIENCE: Duration = Duration::from_secs(10);
/// Jobs that are asked about once more at the end.
const ASKED_AGAIN: usize = 400;
/// Broken rules that a report tells in words.
const TOLD_IN_WORDS: usize = 20;

/// Why there is no report.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Load(#[from] LoadError),
    #[error("{0}")]
    Size(#[from] SizeError),
    #[error("{0}")]
    Files(#[from] FileError),
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("{0} did not answer in time")]
    Silent(&'static str),
}

/// What the driver hears.
enum Heard {
    Hosts(usize, FromHosts),
    State(StateCounts),
    Cloud(FromCloud),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum HostKind {
    Hollow,
    Rack,
    Real,
}

/// A process with workers.
struct HostProcess {
    kind: HostKind,
    talker: Talker,
    room: usize,
    hosts: BTreeSet<String>,
    ended: bool,
}

/// What happens later by itself.
enum Later {
    StartController(usize),
    EndOutage,
    EndRefusal,
}

struct Driver {
    options: RunOptions,
    load: Rc<Load>,
    clock: RunClock,
    ports: Ports,
    dir: PathBuf,
    rng: StdRng,
    controllers: Vec<ControllerProcess>,
    state: Talker,
    cloud: Talker,
    hosts: Vec<HostProcess>,
    record: Rc<RefCell<Record>>,
    users: Rc<Users>,
    operators: Rc<Operators>,
    gangs: Gangs,
    /// How many tasks a gang has and how long it runs.
    gang_facts: HashMap<String, (u32, u64)>,
    /// When the next job of each class comes, in microseconds of the run's clock.
    arrivals: Vec<u64>,
    jobs: u64,
    later: BTreeMap<u64, Vec<Later>>,
    faults: Vec<String>,
    ended_by_themselves: usize,
    counted: Counted,
}

/// What the processes told of a time that was measured.
#[derive(Default)]
struct Counted {
    hollow: ReportCounts,
    real: ReportCounts,
    /// Hollow workers that were rented right after the real ones, and so have the same kind of load.
    alike: ReportCounts,
    hosts_told: usize,
    state: Option<StateCounts>,
    cloud: Option<BTreeMap<String, KindCount>>,
}

/// What was read of all processes at one moment.
struct Moment {
    at: u64,
    usage: BTreeMap<u32, Usage>,
    machine: Option<(f64, f64)>,
    between: Option<u64>,
}

/// Makes a run; its report is written if a file is named.
pub fn run(options: &RunOptions) -> Result<Report, RunError> {
    let load = Load::read(options.load.as_deref())?;
    options.check(&load)?;
    run_local(drive(options.clone(), load))?
}

async fn drive(options: RunOptions, load: Load) -> Result<Report, RunError> {
    let dir = std::env::temp_dir().join(format!("gannethub-scale-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let (queue, mut heard) = mpsc::channel(QUEUE);
    let mut driver = Driver::start(options, load, dir.clone(), queue).await?;
    let result = driver.play(&mut heard).await;
    driver.end().await;
    if !driver.options.keep {
        std::fs::remove_dir_all(&dir)?;
    }
    let report = result?;
    if let Some(file) = &driver.options.report {
        std::fs::write(file, serde_json::to_string_pretty(&report)? + "\n")?;
    }
    Ok(report)
}

impl Driver {
    /// Starts all processes.
    async fn start(
        options: RunOptions,
        load: Load,
        dir: PathBuf,
        queue: mpsc::Sender<Heard>,
    ) -> Result<Driver, RunError> {
        let (clock, ports) = (RunClock::begin(), Ports::find(options.controllers)?);
        write_settings(&dir, &options, &load, &ports)?;
        let state = start_state(&options, &load, &ports, clock, queue.clone())?;
        let cloud = start_cloud(&options, &load, &ports, clock, queue.clone())?;
        let hosts = start_hosts(&options, &load, &ports, clock, &queue)?;
        let load = Rc::new(load);
        let record = Rc::new(RefCell::new(first_record(&options, &load)));
        let users =
            Users::new(clock, load.clone(), &ports.controllers(), record.clone(), options.seed ^ 1);
        let operators = Operators::new(
            clock,
            ports.controllers(),
            state_role::address(options.controllers, ports.state),
            &dir.join("n0.toml"),
            record.clone(),
            (load.workers.fetch_s * 1e6) as u64,
        )?;
        let mut driver = Driver {
            rng: StdRng::seed_from_u64(options.seed),
            controllers: Vec::new(),
            state,
            cloud,
            hosts,
            record,
            users: Rc::new(users),
            operators: Rc::new(operators),
            gangs: Gangs::default(),
            gang_facts: HashMap::new(),
            arrivals: vec![0; load.classes.len()],
            jobs: 0,
            later: BTreeMap::new(),
            faults: Vec::new(),
            ended_by_themselves: 0,
            counted: Counted::default(),
            options,
            load,
            clock,
            ports,
            dir,
        };
        for node in 0..driver.options.controllers {
            let process = driver.start_controller(node)?;
            driver.controllers.push(process);
        }
        driver.wait_healthy().await?;
        Ok(driver)
    }

    fn start_controller(&self, node: usize) -> std::io::Result<ControllerProcess> {
        let settings = self.dir.join(format!("n{node}.toml"));
        let log = self.dir.join(format!("n{node}.log"));
        ControllerProcess::start(&self.options.program, &settings, &log)
    }

    async fn wait_healthy(&self) -> Result<(), RunError> {
        let ready = async {
            for client in &self.users.clients {
                while client
                    .call(Method::Get, "/healthz", b"", PATIENCE)
                    .await
                    .is_none_or(|a| a.0 != 200)
                {
                    sleep(Duration::from_millis(100)).await;
                }
            }
        };
        timeout(PATIENCE, ready).await.map_err(|_| RunError::Silent("a controller"))
    }

    /// Brings the load for its time and tells what was measured.
    async fn play(&mut self, heard: &mut mpsc::Receiver<Heard>) -> Result<Report, RunError> {
        let began = self.clock.now();
        self.arrivals = self.first_arrivals(began);
        let until = began + self.options.seconds * SECOND;
        let measured = began + self.options.warm_up * SECOND;
        let mut faults = self.load.faults.clone();
        faults.sort_by(|a, b| b.at_s.total_cmp(&a.at_s));
        for row in self.load.changes.clone() {
            spawn_local(self.operators.clone().change(row, began));
        }
        let bar = ProgressBar::new(self.options.seconds).with_style(style());
        let (mut first, mut batch) = (None, Vec::new());
        let mut pretend = self.options.pretend;
        loop {
            let _ = timeout(TICK, heard.recv_many(&mut batch, 1024)).await;
            batch.drain(..).for_each(|message| self.heard(message));
            let now = self.clock.now();
            if first.is_none() && now >= measured {
                first = Some(self.moment().await);
                self.measure(heard).await?;
                self.counted = Counted::default();
            }
            if now >= until {
                break;
            }
            if let Some(fault) = faults.pop_if(|f| began + (f.at_s * 1e6) as u64 <= now) {
                self.fault(&fault).await?;
            }
            if pretend && now >= measured {
                pretend = !self.pretend();
            }
            self.tick(now)?;
            bar.set_position((now - began) / SECOND);
            bar.set_message(format!("{} tasks", self.record.borrow().running()));
        }
        bar.finish_and_clear();
        let first = match first {
            Some(first) => first,
            None => self.moment().await,
        };
        self.conclude(first, heard).await
    }

    /// Takes everything down that was measured since the first moment.
    async fn conclude(
        &mut self,
        first: Moment,
        heard: &mut mpsc::Receiver<Heard>,
    ) -> Result<Report, RunError> {
        let last = self.moment().await;
        self.measure(heard).await?;
        let leader = self.leader().await.unwrap_or_default();
        self.users.ask_again(ASKED_AGAIN).await;
        let until = last.at;
        let broken = self.record.borrow_mut().check(until);
        let mut rules = BTreeMap::new();
        broken.iter().for_each(|b| *rules.entry(b.rule.to_string()).or_default() += 1);
        let words = broken.iter().take(TOLD_IN_WORDS);
        let (from, to) = (first.at, last.at);
        let seconds = (to - from) as f64 / 1e6;
        let between = last.between.zip(first.between);
        let busy = last.machine.zip(first.machine);
        let (record, latencies) = (self.record.borrow(), self.users.latencies.borrow());
        let submitted = record.jobs.values().filter(|j| (from..to).contains(&j.asked)).count();
        let workers = self.hosts.iter().map(|h| h.hosts.len()).sum::<usize>();
        let counted = std::mem::take(&mut self.counted);
        Ok(Report {
            asked: asked(&self.options),
            reached: Reached {
                seconds,
                workers: workers as f64,
                starts: record.starts(from, to) as f64 / seconds,
                running: record.mean_running(from, to),
                jobs_submitted: submitted as f64 / seconds,
            },
            commit: commit(),
            machine_cores: std::thread::available_parallelism().map_or(0, usize::from),
            machine_busy: busy.map_or(0.0, |(l, f)| (l.0 - f.0) / (l.1 - f.1).max(0.01)),
            roles: self.roles(&first, &last, &leader),
            leader,
            state: counted.state.unwrap_or_default(),
            cloud: counted.cloud.unwrap_or_default(),
            between_controllers: between.map(|(l, f)| l.saturating_sub(f) as f64 / seconds),
            agreement: Agreement::of(&counted.real, &counted.alike),
            hollow: counted.hollow,
            real: counted.real,
            users: users_times(&record, &latencies, from, to, until),
            turned_away: latencies.turned_away,
            unanswered: latencies.unanswered,
            given_up: latencies.given_up,
            faults: self.faults.clone(),
            changes: self.operators.report(),
            ended_by_themselves: self.ended_by_themselves,
            rules,
            broken: words.map(|b| format!("{}: {}", b.rule, b.what)).collect(),
        })
    }

    // ---- What is heard ----

    fn heard(&mut self, message: Heard) {
        match message {
            Heard::Hosts(process, FromHosts::Events(events)) => {
                if !self.hosts[process].ended {
                    events.iter().for_each(|event| self.event(event));
                }
            }
            Heard::Hosts(process, FromHosts::Ended(hosts)) => {
                self.hosts[process].hosts.retain(|h| !hosts.contains(h));
                self.cloud.tell(&ToCloud::Failed(hosts));
            }
            Heard::Hosts(process, FromHosts::Counts(counts)) => {
                let counted = &mut self.counted;
                match self.hosts[process].kind {
                    HostKind::Real => counted.real.add(&counts),
                    HostKind::Hollow => counted.hollow.add(&counts),
                    HostKind::Rack => {
                        counted.hollow.add(&counts);
                        counted.alike.add(&counts);
                    }
                }
                counted.hosts_told += 1;
            }
            Heard::State(counts) => self.counted.state = Some(counts),
            Heard::Cloud(FromCloud::Counts(counts)) => self.counted.cloud = Some(counts),
            Heard::Cloud(FromCloud::Rented(rented)) => self.rented(rented),
            Heard::Cloud(FromCloud::Deleted(hosts)) => self.deleted(&hosts),
        }
    }

    fn event(&mut self, event: &TaskEvent) {
        self.record.borrow_mut().event(event);
        self.on_gang(event);
    }

    /// A task of a gang may make it whole, or leave it without one.
    fn on_gang(&mut self, event: &TaskEvent) {
        let job = event.task.split('/').next().unwrap_or("");
        if let Some((tasks, run)) = self.gang_facts.get(job).copied() {
            let notices = (self.load.workers.gang_peer_s * 1e6) as u64;
            if let Some(step) = self.gangs.event(event, tasks, run, notices) {
                self.gang_step(step);
            }
        }
    }

    fn gang_step(&self, step: GangStep) {
        self.tell_hosts(&match step {
            GangStep::Starts((job, attempt)) => ToHosts::GangStarts { job, attempt },
            GangStep::Ends((job, attempt), done) => ToHosts::GangEnds { job, attempt, done },
        });
    }

    fn tell_hosts(&self, message: &ToHosts) {
        self.hosts.iter().filter(|h| !h.ended).for_each(|h| h.talker.tell(message));
    }

    /// A machine was rented: its worker goes to a process with room, the first ones to those of real workers.
    fn rented(&mut self, rented: Rented) {
        let facts = HostFacts {
            flavor: rented.flavor.clone(),
            zone: rented.zone.clone(),
            spot: rented.spot,
        };
        self.record.borrow_mut().hosts.insert(rented.host.clone(), facts);
        let free = |p: &&mut HostProcess| !p.ended && p.hosts.len() < p.room;
        let emptiest = self.hosts.iter_mut().filter(free).min_by_key(|p| {
            let order = match p.kind {
                HostKind::Real => 0,
                HostKind::Rack => 1,
                HostKind::Hollow => 2,
            };
            (order, p.hosts.len())
        });
        match emptiest {
            Some(process) => {
                process.hosts.insert(rented.host.clone());
                process.talker.tell(&ToHosts::Boot(rented));
            }
            // Its process is gone: it never boots.
            None => self.cloud.tell(&ToCloud::Failed(vec![rented.host])),
        }
    }

    fn deleted(&mut self, hosts: &[String]) {
        for process in self.hosts.iter_mut().filter(|p| !p.ended) {
            let own: Vec<String> =
                hosts.iter().filter(|h| process.hosts.remove(*h)).cloned().collect();
            if !own.is_empty() {
                process.talker.tell(&ToHosts::Delete(own));
            }
        }
    }

    // ---- What is brought ----

    fn tick(&mut self, now: u64) -> Result<(), RunError> {
        for step in self.gangs.over(now) {
            self.gang_step(step);
        }
        self.submit_due(now);
        while let Some(entry) = self.later.first_entry().filter(|e| *e.key() <= now) {
            for later in entry.remove() {
                match later {
                    Later::StartController(node) => {
                        self.controllers[node] = self.start_controller(node)?;
                    }
                    Later::EndOutage => self.state.tell(&ToState::Outage(false)),
                    Later::EndRefusal => self.state.tell(&ToState::Refuse(None)),
                }
            }
        }
        for node in 0..self.controllers.len() {
            if self.controllers[node].ended() {
                self.ended_by_themselves += 1;
                self.controllers[node] = self.start_controller(node)?;
            }
        }
        Ok(())
    }

    /// The first job of each class comes within what lies between two of them.
    fn first_arrivals(&mut self, began: u64) -> Vec<u64> {
        let rates = self.load.job_rates(self.options.starts, self.options.gang);
        let first = |rate: f64| began + (self.rng.random_range(0.0..1.0) / rate * 1e6) as u64;
        rates.into_iter().map(first).collect()
    }

    /// Submits the jobs whose time has come, however the earlier ones were answered.
    fn submit_due(&mut self, now: u64) {
        let rates = self.load.job_rates(self.options.starts, self.options.gang);
        for (class, rate) in rates.into_iter().enumerate() {
            while self.arrivals[class] <= now {
                let pause = self.rng.random_range(0.5..1.5) / rate;
                self.arrivals[class] += (pause * 1e6) as u64;
                self.submit(class);
            }
        }
    }

    fn submit(&mut self, class: usize) {
        let facts = &self.load.classes[class];
        let stretch = self.options.tasks_running() / (self.options.starts * self.load.mean_run());
        self.jobs += 1;
        let job = Job {
            id: format!("j-{:06}", self.jobs),
            class,
            team: self.rng.random_range(0..self.options.teams),
            tasks: facts.draw_tasks(self.options.gang, &mut self.rng),
            run_s: facts.run_s * stretch,
            cancelled: self.rng.random_bool(facts.cancelled),
        };
        let (gang, run) = (facts.shape == Shape::Group, (job.run_s * 1e6) as u64);
        if gang {
            self.gang_facts.insert(job.id.clone(), (job.tasks, run));
        }
        let description = JobDescription { id: job.id.clone(), tasks: job.tasks, gang, run };
        self.tell_hosts(&ToHosts::Describe(description));
        spawn_local(self.users.clone().live(job));
    }

    /// A hollow worker says that it started what another runs. False: nothing runs yet.
    fn pretend(&mut self) -> bool {
        let Some((task, attempt, not_on)) = self.record.borrow().any_running() else {
            return false;
        };
        let hollow = self.hosts.iter().find(|h| h.kind == HostKind::Hollow && h.hosts.len() > 1);
        let Some(process) = hollow else { return false };
        self.faults.push(format!("on purpose: {task} said to be started beside {not_on}"));
        process.talker.tell(&ToHosts::Pretend { task, attempt, not_on });
        true
    }

    // ---- Faults ----

    async fn fault(&mut self, fault: &Fault) -> Result<(), RunError> {
        let now = self.clock.now();
        let over = now + (fault.for_s * 1e6) as u64;
        let what = match fault.kind {
            FaultKind::Rack => self.end_rack().await,
            FaultKind::Zone => {
                self.tell_hosts(&ToHosts::EndZone(zone_name(0)));
                format!("all hollow workers of {} end", zone_name(0))
            }
            FaultKind::Leader => {
                let leader = self.leader().await;
                self.kill(leader.iter().filter_map(|name| node_of(name)).collect()).await
            }
            FaultKind::Half => {
                let half = self.controllers.len().div_ceil(2);
                self.kill((0..half).collect()).await
            }
            FaultKind::Outage => {
                self.state.tell(&ToState::Outage(true));
                self.later.entry(over).or_default().push(Later::EndOutage);
                format!("the state service refuses all for {} s", fault.for_s)
            }
            FaultKind::RefuseLeader => {
                let leader = self.leader().await;
                let node = leader.as_deref().and_then(node_of);
                self.state.tell(&ToState::Refuse(node));
                self.later.entry(over).or_default().push(Later::EndRefusal);
                format!("the state service refuses {leader:?} alone for {} s", fault.for_s)
            }
        };
        self.faults.push(format!("{:.1} s: {what}", now as f64 / 1e6));
        Ok(())
    }

    async fn end_rack(&mut self) -> String {
        let Some(rack) = self.hosts.iter_mut().find(|h| h.kind == HostKind::Rack && !h.ended)
        else {
            return "no rack is left".into();
        };
        rack.talker.kill().await;
        rack.ended = true;
        let (at, hosts) = (self.clock.now(), std::mem::take(&mut rack.hosts));
        for host in &hosts {
            let gone = self.record.borrow_mut().host_ended(host, at);
            gone.iter().for_each(|event| self.on_gang(event));
        }
        let count = hosts.len();
        self.cloud.tell(&ToCloud::Failed(hosts.into_iter().collect()));
        format!("a process with {count} hollow workers is killed")
    }

    async fn kill(&mut self, nodes: Vec<usize>) -> String {
        let back = self.clock.now() + RESTART;
        for node in &nodes {
            self.controllers[*node].kill().await;
            self.later.entry(back).or_default().push(Later::StartController(*node));
        }
        format!("controllers {nodes:?} are killed, back after {} s", RESTART / SECOND)
    }

    /// Who leads, as the state service has it.
    async fn leader(&self) -> Option<String> {
        let client = Client::new(state_role::address(self.options.controllers, self.ports.state));
        let path = "/kv/gh/lead/holder";
        let (_, body) =
            client.call(Method::Get, path, b"", PATIENCE).await.filter(|a| a.0 == 200)?;
        let body: serde_json::Value = serde_json::from_slice(&body).ok()?;
        Some(body["v"]["holder"].as_str()?.to_string())
    }

    // ---- Measuring ----

    async fn moment(&self) -> Moment {
        let pids = self.pids();
        let all = pids.values().flatten();
        Moment {
            at: self.clock.now(),
            usage: all.filter_map(|pid| Some((*pid, Usage::of(*pid)?))).collect(),
            machine: machine_busy(),
            between: bytes_between(&self.ports.cluster).await,
        }
    }

    /// The processes of each role.
    fn pids(&self) -> BTreeMap<String, Vec<u32>> {
        let mut pids: BTreeMap<String, Vec<u32>> = BTreeMap::new();
        let mut add =
            |role: &str, pid: Option<u32>| pids.entry(role.into()).or_default().extend(pid);
        add("state service", self.state.pid());
        add("cloud", self.cloud.pid());
        add("driver and users", Some(std::process::id()));
        for process in self.hosts.iter().filter(|h| !h.ended) {
            let real = process.kind == HostKind::Real;
            add(if real { "real worker" } else { "hollow workers" }, process.talker.pid());
        }
        for (node, process) in self.controllers.iter().enumerate() {
            add(&format!("n{node}"), process.pid());
        }
        pids
    }

    fn roles(
        &self,
        first: &Moment,
        last: &Moment,
        leader: &str,
    ) -> BTreeMap<String, crate::report::RoleUsage> {
        let seconds = (last.at - first.at) as f64 / 1e6;
        let mut roles: BTreeMap<String, Vec<Usage>> = BTreeMap::new();
        for (role, pids) in self.pids() {
            let role = match node_of(&role) {
                Some(_) if role == leader => "leader".to_string(),
                Some(_) => "follower".to_string(),
                None => role,
            };
            // One that was not there at first has used all of it since.
            let used = pids.iter().filter_map(|pid| {
                let before = first.usage.get(pid).copied().unwrap_or_default();
                Some(last.usage.get(pid)?.since(before))
            });
            roles.entry(role).or_default().extend(used);
        }
        roles.into_iter().map(|(role, used)| (role, role_usage(&used, seconds))).collect()
    }

    /// Has all processes tell their counts since the last time.
    async fn measure(&mut self, heard: &mut mpsc::Receiver<Heard>) -> Result<(), RunError> {
        self.counted = Counted::default();
        self.state.tell(&ToState::Measure);
        self.cloud.tell(&ToCloud::Measure);
        self.tell_hosts(&ToHosts::Measure);
        let told = self.hosts.iter().filter(|h| !h.ended).count();
        let all = async {
            while self.counted.hosts_told < told
                || self.counted.state.is_none()
                || self.counted.cloud.is_none()
            {
                match heard.recv().await {
                    Some(message) => self.heard(message),
                    None => return,
                }
            }
        };
        timeout(PATIENCE, all).await.map_err(|_| RunError::Silent("a process"))
    }

    async fn end(&mut self) {
        for process in &mut self.controllers {
            process.kill().await;
        }
        for process in &mut self.hosts {
            process.talker.kill().await;
        }
        self.cloud.kill().await;
        self.state.kill().await;
    }
}

fn start_state(
    options: &RunOptions,
    load: &Load,
    ports: &Ports,
    clock: RunClock,
    queue: mpsc::Sender<Heard>,
) -> std::io::Result<Talker> {
    let limits = &load.state;
    let arguments = arguments([
        ("epoch", clock.0.to_string()),
        ("port", ports.state.to_string()),
        ("controllers", options.controllers.to_string()),
        ("rps", limits.rps.to_string()),
        ("write-rps", limits.write_rps.to_string()),
        ("value-bytes", ((limits.value_kb * 1024.0) as u64).to_string()),
        ("txn-ops", limits.txn_ops.to_string()),
        ("lag-ms", limits.lag_ms.to_string()),
    ]);
    Talker::start("state", &arguments, queue, Heard::State)
}

fn start_cloud(
    options: &RunOptions,
    load: &Load,
    ports: &Ports,
    clock: RunClock,
    queue: mpsc::Sender<Heard>,
) -> std::io::Result<Talker> {
    let [boot_least, boot_most] = load.machine.boot_s.map(|s| (s * 1e6) as u64);
    let arguments = arguments([
        ("epoch", clock.0.to_string()),
        ("port", ports.cloud.to_string()),
        ("worker-port", ports.workers.to_string()),
        ("controllers", options.controllers.to_string()),
        ("capacity", options.workers.to_string()),
        ("flavors", flavors(options, load).to_string()),
        ("boot-least-us", boot_least.to_string()),
        ("boot-most-us", boot_most.max(boot_least + 1).to_string()),
        ("list-lag-us", ((load.cloud.list_lag_s * 1e6) as u64).to_string()),
        ("seed", options.seed.to_string()),
    ]);
    Talker::start("cloud", &arguments, queue, Heard::Cloud)
}

fn start_hosts(
    options: &RunOptions,
    load: &Load,
    ports: &Ports,
    clock: RunClock,
    queue: &mpsc::Sender<Heard>,
) -> std::io::Result<Vec<HostProcess>> {
    let controllers: Vec<String> = ports.controllers().iter().map(|a| a.to_string()).collect();
    let micros = |s: f64| ((s * 1e6) as u64).to_string();
    let hollow = options.hollow_processes();
    let mut processes = Vec::new();
    for index in 0..hollow + options.real {
        let (kind, room) = match index {
            i if i + 1 < hollow => (HostKind::Hollow, HOLLOW_IN_A_PROCESS),
            i if i < hollow => (HostKind::Rack, options.rack()),
            _ => (HostKind::Real, 1),
        };
        let mut arguments = arguments([
            ("epoch", clock.0.to_string()),
            ("seed", (options.seed + 100 + index as u64).to_string()),
            ("controllers", controllers.join(",")),
            ("worker-port", ports.workers.to_string()),
            ("report-us", micros(load.workers.report_s)),
            ("lease-us", micros(load.workers.lease_s)),
            ("fetch-us", micros(load.workers.fetch_s)),
            ("gang-wait-us", micros(load.workers.gang_wait_s)),
        ]);
        if kind == HostKind::Real {
            arguments.push("--real".into());
        }
        let heard = move |message| Heard::Hosts(index, message);
        let talker = Talker::start("hosts", &arguments, queue.clone(), heard)?;
        processes.push(HostProcess { kind, talker, room, hosts: BTreeSet::new(), ended: false });
    }
    Ok(processes)
}

fn arguments<const N: usize>(list: [(&str, String); N]) -> Vec<String> {
    list.into_iter().map(|(name, value)| format!("--{name}={value}")).collect()
}

fn first_record(options: &RunOptions, load: &Load) -> Record {
    let (_, limit) = team_cpus(options, load);
    let limits = vec![vec![LimitFrom { at: 0, cpus: limit }]; options.teams];
    Record::new(limits, (load.workers.cancel_s * 1e6) as u64)
}

/// The number of the controller with this name.
fn node_of(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

fn asked(options: &RunOptions) -> Asked {
    Asked {
        workers: options.workers,
        starts: options.starts,
        running: options.tasks_running(),
        teams: options.teams,
        zones: options.zones,
        gang: options.gang,
        controllers: options.controllers,
        seconds: options.seconds,
        warm_up: options.warm_up,
        seed: options.seed,
        real: options.real,
    }
}

fn users_times(
    record: &Record,
    latencies: &crate::users::Latencies,
    from: u64,
    to: u64,
    until: u64,
) -> BTreeMap<String, Times> {
    let within = |list: &[(u64, u64)]| {
        let inside = list.iter().filter(|(asked, _)| (from..to).contains(asked));
        Times::of(inside.map(|(_, took)| *took))
    };
    BTreeMap::from([
        ("submission".to_string(), within(&latencies.submissions)),
        ("question".to_string(), within(&latencies.questions)),
        ("cancellation told".to_string(), within(&latencies.cancellations)),
        ("cancellation gone".to_string(), Times::of(record.cancellations_gone(until))),
        ("urgent start".to_string(), Times::of(record.urgent_starts(from, to))),
    ])
}

/// The sources that are measured, where they can be told.
fn commit() -> String {
    let output = std::process::Command::new("git").args(["rev-parse", "--short", "HEAD"]).output();
    output.map_or(String::new(), |o| String::from_utf8_lossy(&o.stdout).trim().to_string())
}

fn style() -> ProgressStyle {
    ProgressStyle::with_template("{bar:40} {pos}/{len} s, {msg}")
        .unwrap_or_else(|_| ProgressStyle::default_bar())
}
