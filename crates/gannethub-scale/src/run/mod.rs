//! The driver of a run: it starts all processes, brings the load and the faults, and measures.

mod faults;
mod measuring;
mod start;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use gannethub::files::FileError;
use gannethub::http::{Client, Method, decode_ok};
use gannethub_emulators::worker::job_of;
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
use crate::options::{HOLLOW_PER_PROCESS, RunOptions, SizeError};
use crate::process::{ControllerProcess, Talker, Usage, bytes_between, machine_busy};
use crate::record::{HostFacts, LimitFrom, Record};
use crate::report::{Agreement, Asked, Reached, Report, Times, role_usage};
use crate::role::{QUEUE, RunClock, run_local};
use crate::state_role;
use crate::users::Users;

use start::{HostKind, HostProcess, start_cloud, start_hosts, start_state};

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
        let users = Users::new(
            clock,
            load.clone(),
            &ports.controllers(),
            record.clone(),
            options.seed ^ 1,
        );
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
                while !client
                    .call(Method::Get, "/healthz", b"", PATIENCE)
                    .await
                    .is_ok_and(|answer| answer.is_ok())
                {
                    sleep(Duration::from_millis(100)).await;
                }
            }
        };
        timeout(PATIENCE, ready)
            .await
            .map_err(|_| RunError::Silent("a controller"))
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
        let job = job_of(&event.task);
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
        self.hosts
            .iter()
            .filter(|h| !h.ended)
            .for_each(|h| h.talker.tell(message));
    }

    /// A machine was rented: its worker goes to a process with room, the first ones to those of real workers.
    fn rented(&mut self, rented: Rented) {
        let facts = HostFacts {
            flavor: rented.flavor.clone(),
            zone: rented.zone.clone(),
            spot: rented.spot,
        };
        self.record
            .borrow_mut()
            .hosts
            .insert(rented.host.clone(), facts);
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
            let own: Vec<String> = hosts
                .iter()
                .filter(|h| process.hosts.remove(*h))
                .cloned()
                .collect();
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
        let stretch = self.options.tasks_running() / (self.options.starts * self.load.mean_run_s());
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
        let description = JobDescription {
            id: job.id.clone(),
            tasks: job.tasks,
            gang,
            run,
        };
        self.tell_hosts(&ToHosts::Describe(description));
        spawn_local(self.users.clone().live(job));
    }

    /// A hollow worker says that it started what another runs. False: nothing runs yet.
    fn pretend(&mut self) -> bool {
        let Some((task, attempt, not_on)) = self.record.borrow().any_running() else {
            return false;
        };
        let hollow = self
            .hosts
            .iter()
            .find(|h| h.kind == HostKind::Hollow && h.hosts.len() > 1);
        let Some(process) = hollow else { return false };
        self.faults.push(format!(
            "on purpose: {task} said to be started beside {not_on}"
        ));
        process.talker.tell(&ToHosts::Pretend {
            task,
            attempt,
            not_on,
        });
        true
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

fn first_record(options: &RunOptions, load: &Load) -> Record {
    let (_, limit) = team_cpus(options, load);
    let limits = vec![vec![LimitFrom { at: 0, cpus: limit }]; options.teams];
    Record::new(limits, (load.workers.cancel_s * 1e6) as u64)
}

/// The number of the controller with this name.
fn node_of(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

fn style() -> ProgressStyle {
    ProgressStyle::with_template("{bar:40} {pos}/{len} s, {msg}")
        .unwrap_or_else(|_| ProgressStyle::default_bar())
}
