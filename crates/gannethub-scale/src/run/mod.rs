//! The driver of a run. The driver starts all processes, submits the load, injects the faults, and measures.

mod faults;
mod measurement;
mod start;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use gannethub::files::FileError;
use gannethub::http::{Client, Method, decode_ok};
use gannethub_emulators::worker::job_id_of_task;
use indicatif::{ProgressBar, ProgressStyle};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::changes::Operators;
use crate::deployment::{Ports, flavors, team_cpus, write_settings};
use crate::gangs::{GangChange, Gangs};
use crate::load::{Fault, FaultKind, Job, Load, LoadError, Shape, zone_name};
use crate::messages::{
    FromCloud, FromHosts, JobDescription, KindCount, ProvisionedMachine, ReportCounts, StateCounts,
    TaskEvent, ToCloud, ToHosts, ToState,
};
use crate::options::{HOLLOW_PER_PROCESS, RunOptions, SizeError};
use crate::process::{ChildProcess, ControllerProcess, Usage, machine_cpu_times, peer_bytes_sent};
use crate::record::{HostInfo, LimitEntry, Record};
use crate::report::{Agreement, AskedSizes, ReachedSizes, Report, Times, role_usage};
use crate::role::{COMMAND_QUEUE_LENGTH, RunClock, run_local};
use crate::state_role;
use crate::users::Users;

use start::{HostKind, HostProcess, start_cloud, start_hosts, start_state};

const TICK: Duration = Duration::from_millis(20);
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Delay from the kill of a controller until it is started again, in microseconds.
const RESTART_DELAY: u64 = 6 * MICROS_PER_SECOND;
/// Timeout for processes to become ready, to answer a request, and to report their counts.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of jobs whose status is requested once more at the end of a run.
const MAX_RECHECKED_JOBS: usize = 400;
/// Maximum number of violations that a report describes in words.
const MAX_DESCRIBED_VIOLATIONS: usize = 20;

/// The reason why a run has no report.
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
    NoAnswer(&'static str),
}

/// Message from a child process to the driver.
enum DriverMessage {
    Hosts(usize, FromHosts),
    State(StateCounts),
    Cloud(FromCloud),
}

/// Action that the driver carries out at a scheduled time.
enum ScheduledAction {
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
    state: ChildProcess,
    cloud: ChildProcess,
    hosts: Vec<HostProcess>,
    record: Rc<RefCell<Record>>,
    users: Rc<Users>,
    operators: Rc<Operators>,
    gangs: Gangs,
    /// Number of tasks and run time in microseconds of each gang, by job id.
    gang_info: HashMap<String, (u32, u64)>,
    /// Time of the next submission of each class, in microseconds of the run's clock.
    next_submissions: Vec<u64>,
    jobs: u64,
    /// Scheduled actions, by time in microseconds of the run's clock.
    scheduled: BTreeMap<u64, Vec<ScheduledAction>>,
    faults: Vec<String>,
    ended_by_themselves: usize,
    measured: MeasuredCounts,
}

/// Counts that the child processes reported for one measured time.
#[derive(Default)]
struct MeasuredCounts {
    hollow: ReportCounts,
    real: ReportCounts,
    /// Counts of the hollow workers whose machines were provisioned right after those of the real workers. These
    /// workers therefore have the same kind of load as the real ones.
    comparable_hollow: ReportCounts,
    worker_processes_counted: usize,
    state: Option<StateCounts>,
    cloud: Option<BTreeMap<String, KindCount>>,
}

/// Carries out a run and returns its report. The report is also written to a file if the options name one.
pub fn run(options: &RunOptions) -> Result<Report, RunError> {
    let load = Load::read(options.load.as_deref())?;
    options.check(&load)?;
    run_local(drive(options.clone(), load))?
}

async fn drive(options: RunOptions, load: Load) -> Result<Report, RunError> {
    let dir = std::env::temp_dir().join(format!("gannethub-scale-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let (queue, mut messages) = mpsc::channel(COMMAND_QUEUE_LENGTH);
    let mut driver = Driver::start(options, load, dir.clone(), queue).await?;
    let result = driver.run_load(&mut messages).await;
    driver.kill_processes().await;
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
    /// Starts all processes of the run and waits until every controller is healthy.
    async fn start(
        options: RunOptions,
        load: Load,
        dir: PathBuf,
        queue: mpsc::Sender<DriverMessage>,
    ) -> Result<Driver, RunError> {
        let (clock, ports) = (RunClock::begin(), Ports::find(options.controllers)?);
        write_settings(&dir, &options, &load, &ports)?;
        let state = start_state(&options, &load, &ports, clock, queue.clone())?;
        let cloud = start_cloud(&options, &load, &ports, clock, queue.clone())?;
        let hosts = start_hosts(&options, &load, &ports, clock, &queue)?;
        let load = Rc::new(load);
        let record = Rc::new(RefCell::new(new_record(&options, &load)));
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
            gang_info: HashMap::new(),
            next_submissions: vec![0; load.classes.len()],
            jobs: 0,
            scheduled: BTreeMap::new(),
            faults: Vec::new(),
            ended_by_themselves: 0,
            measured: MeasuredCounts::default(),
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
                    .call(Method::Get, "/healthz", b"", RESPONSE_TIMEOUT)
                    .await
                    .is_ok_and(|answer| answer.is_ok())
                {
                    sleep(Duration::from_millis(100)).await;
                }
            }
        };
        timeout(RESPONSE_TIMEOUT, ready)
            .await
            .map_err(|_| RunError::NoAnswer("a controller"))
    }

    /// Submits the load and injects the faults for the duration of the run, and returns the report.
    async fn run_load(
        &mut self,
        messages: &mut mpsc::Receiver<DriverMessage>,
    ) -> Result<Report, RunError> {
        let began = self.clock.now();
        self.next_submissions = self.first_submissions(began);
        let end = began + self.options.seconds * MICROS_PER_SECOND;
        let measured_from = began + self.options.warm_up * MICROS_PER_SECOND;
        let mut faults = self.load.faults.clone();
        faults.sort_by(|a, b| b.at_s.total_cmp(&a.at_s));
        for series in self.load.changes.clone() {
            spawn_local(self.operators.clone().make_changes(series, began));
        }
        let bar = ProgressBar::new(self.options.seconds).with_style(progress_style());
        let (mut first_snapshot, mut batch) = (None, Vec::new());
        let mut pretend = self.options.pretend;
        loop {
            let _ = timeout(TICK, messages.recv_many(&mut batch, 1024)).await;
            batch.drain(..).for_each(|message| self.on_message(message));
            let now = self.clock.now();
            if first_snapshot.is_none() && now >= measured_from {
                first_snapshot = Some(self.take_snapshot().await);
                self.collect_counts(messages).await?;
                self.measured = MeasuredCounts::default();
            }
            if now >= end {
                break;
            }
            if let Some(fault) = faults.pop_if(|f| began + (f.at_s * 1e6) as u64 <= now) {
                self.inject_fault(&fault).await?;
            }
            if pretend && now >= measured_from {
                pretend = !self.report_false_start();
            }
            self.tick(now)?;
            bar.set_position((now - began) / MICROS_PER_SECOND);
            bar.set_message(format!("{} tasks", self.record.borrow().running()));
        }
        bar.finish_and_clear();
        let first_snapshot = match first_snapshot {
            Some(snapshot) => snapshot,
            None => self.take_snapshot().await,
        };
        self.build_report(first_snapshot, messages).await
    }

    // ---- Messages from child processes ----

    fn on_message(&mut self, message: DriverMessage) {
        match message {
            DriverMessage::Hosts(process, FromHosts::Events(events)) => {
                if !self.hosts[process].ended {
                    events.iter().for_each(|event| self.on_event(event));
                }
            }
            DriverMessage::Hosts(process, FromHosts::Ended(hosts)) => {
                self.hosts[process].hosts.retain(|h| !hosts.contains(h));
                self.cloud.send(&ToCloud::Failed(hosts));
            }
            DriverMessage::Hosts(process, FromHosts::Counts(counts)) => {
                let measured = &mut self.measured;
                match self.hosts[process].kind {
                    HostKind::Real => measured.real.add(&counts),
                    HostKind::Hollow => measured.hollow.add(&counts),
                    HostKind::Rack => {
                        measured.hollow.add(&counts);
                        measured.comparable_hollow.add(&counts);
                    }
                }
                measured.worker_processes_counted += 1;
            }
            DriverMessage::State(counts) => self.measured.state = Some(counts),
            DriverMessage::Cloud(FromCloud::Counts(counts)) => self.measured.cloud = Some(counts),
            DriverMessage::Cloud(FromCloud::Rented(machine)) => self.on_provisioned(machine),
            DriverMessage::Cloud(FromCloud::Deleted(hosts)) => self.on_deleted(&hosts),
        }
    }

    fn on_event(&mut self, event: &TaskEvent) {
        self.record.borrow_mut().record_event(event);
        self.on_gang_event(event);
    }

    /// Passes an event of a gang's task to [`Gangs`]: a start may complete the gang, and an end may leave the gang
    /// incomplete.
    fn on_gang_event(&mut self, event: &TaskEvent) {
        let job = job_id_of_task(&event.task);
        if let Some((tasks, run)) = self.gang_info.get(job).copied() {
            let notice_time = (self.load.workers.gang_peer_s * 1e6) as u64;
            if let Some(change) = self.gangs.on_event(event, tasks, run, notice_time) {
                self.send_gang_change(change);
            }
        }
    }

    fn send_gang_change(&self, change: GangChange) {
        self.send_to_hosts(&match change {
            GangChange::Starts((job, attempt)) => ToHosts::GangStarts { job, attempt },
            GangChange::Ends((job, attempt), done) => ToHosts::GangEnds { job, attempt, done },
        });
    }

    fn send_to_hosts(&self, message: &ToHosts) {
        self.hosts
            .iter()
            .filter(|h| !h.ended)
            .for_each(|h| h.child_process.send(message));
    }

    /// Records a provisioned machine and assigns its worker to the emptiest process with free capacity. Processes of
    /// real workers are filled first, then the rack, then the other hollow processes.
    fn on_provisioned(&mut self, provisioned: ProvisionedMachine) {
        let info = HostInfo {
            flavor: provisioned.flavor.clone(),
            zone: provisioned.zone.clone(),
            spot: provisioned.spot,
        };
        self.record
            .borrow_mut()
            .hosts
            .insert(provisioned.host.clone(), info);
        let free = |p: &&mut HostProcess| !p.ended && p.hosts.len() < p.capacity;
        let process = self.hosts.iter_mut().filter(free).min_by_key(|p| {
            let order = match p.kind {
                HostKind::Real => 0,
                HostKind::Rack => 1,
                HostKind::Hollow => 2,
            };
            (order, p.hosts.len())
        });
        match process {
            Some(process) => {
                process.hosts.insert(provisioned.host.clone());
                process.child_process.send(&ToHosts::Boot(provisioned));
            }
            // No process that still runs has room, because another process has ended. The machine never boots.
            None => self.cloud.send(&ToCloud::Failed(vec![provisioned.host])),
        }
    }

    fn on_deleted(&mut self, hosts: &[String]) {
        for process in self.hosts.iter_mut().filter(|p| !p.ended) {
            let own: Vec<String> = hosts
                .iter()
                .filter(|h| process.hosts.remove(*h))
                .cloned()
                .collect();
            if !own.is_empty() {
                process.child_process.send(&ToHosts::Delete(own));
            }
        }
    }

    // ---- Load and scheduled actions ----

    fn tick(&mut self, now: u64) -> Result<(), RunError> {
        for change in self.gangs.due_ends(now) {
            self.send_gang_change(change);
        }
        self.submit_due(now);
        while let Some(entry) = self.scheduled.first_entry().filter(|e| *e.key() <= now) {
            for action in entry.remove() {
                match action {
                    ScheduledAction::StartController(node) => {
                        self.controllers[node] = self.start_controller(node)?;
                    }
                    ScheduledAction::EndOutage => self.state.send(&ToState::Outage(false)),
                    ScheduledAction::EndRefusal => self.state.send(&ToState::Refuse(None)),
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

    /// Returns the time of the first submission of each class: a uniformly random time in the first mean interval
    /// between submissions.
    fn first_submissions(&mut self, began: u64) -> Vec<u64> {
        let rates = self.load.job_rates(self.options.starts, self.options.gang);
        let first_at = |rate: f64| began + (self.rng.random_range(0.0..1.0) / rate * 1e6) as u64;
        rates.into_iter().map(first_at).collect()
    }

    /// Submits the jobs whose time has come, whether or not earlier submissions were answered.
    fn submit_due(&mut self, now: u64) {
        let rates = self.load.job_rates(self.options.starts, self.options.gang);
        for (class, rate) in rates.into_iter().enumerate() {
            while self.next_submissions[class] <= now {
                let interval = self.rng.random_range(0.5..1.5) / rate;
                self.next_submissions[class] += (interval * 1e6) as u64;
                self.submit(class);
            }
        }
    }

    fn submit(&mut self, class: usize) {
        let class_facts = &self.load.classes[class];
        let run_time_scale =
            self.options.tasks_running() / (self.options.starts * self.load.mean_run_s());
        self.jobs += 1;
        let job = Job {
            id: format!("j-{:06}", self.jobs),
            class,
            team: self.rng.random_range(0..self.options.teams),
            tasks: class_facts.draw_tasks(self.options.gang, &mut self.rng),
            run_s: class_facts.run_s * run_time_scale,
            cancelled: self.rng.random_bool(class_facts.cancelled),
        };
        let (gang, run) = (class_facts.shape == Shape::Group, (job.run_s * 1e6) as u64);
        if gang {
            self.gang_info.insert(job.id.clone(), (job.tasks, run));
        }
        let description = JobDescription {
            id: job.id.clone(),
            tasks: job.tasks,
            gang,
            run,
        };
        self.send_to_hosts(&ToHosts::Describe(description));
        spawn_local(self.users.clone().run_job(job));
    }

    /// Makes a hollow worker report the start of a task that another worker runs. Returns false if no task runs yet
    /// or no hollow process has two workers.
    fn report_false_start(&mut self) -> bool {
        let Some((task, attempt, not_on)) = self.record.borrow().any_running() else {
            return false;
        };
        let hollow = self
            .hosts
            .iter()
            .find(|h| h.kind == HostKind::Hollow && h.hosts.len() > 1);
        let Some(process) = hollow else { return false };
        self.faults.push(format!(
            "on purpose: a machine other than {not_on} reports the start of {task}"
        ));
        process.child_process.send(&ToHosts::Pretend {
            task,
            attempt,
            not_on,
        });
        true
    }

    async fn kill_processes(&mut self) {
        for process in &mut self.controllers {
            process.kill().await;
        }
        for process in &mut self.hosts {
            process.child_process.kill().await;
        }
        self.cloud.kill().await;
        self.state.kill().await;
    }
}

fn new_record(options: &RunOptions, load: &Load) -> Record {
    let (_, limit) = team_cpus(options, load);
    let limits = vec![vec![LimitEntry { at: 0, cpus: limit }]; options.teams];
    Record::new(limits, (load.workers.cancel_s * 1e6) as u64)
}

/// Returns the index of the controller with this name.
fn controller_index(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

fn progress_style() -> ProgressStyle {
    ProgressStyle::with_template("{bar:40} {pos}/{len} s, {msg}")
        .unwrap_or_else(|_| ProgressStyle::default_bar())
}
