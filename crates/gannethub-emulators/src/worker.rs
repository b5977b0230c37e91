//! A model of a worker, by the published protocol. All times are in microseconds.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::SECOND;

/// Facts about a job that a worker knows, because the job's users upload them.
#[derive(Clone, Debug, Default)]
pub struct JobFacts {
    pub tasks: u32,
    pub gang: bool,
    pub service: bool,
    /// Whether the job was submitted with a mistake, so that its tasks fail on every machine.
    pub broken: bool,
    /// Time that a task takes to save a checkpoint, in microseconds; 0 if tasks never save.
    pub save: u64,
    /// The owner's estimate of a task's run time, in microseconds.
    pub estimate: u64,
}

/// The environment of the workers: the time, randomness, the jobs, and the connections to the controllers. All times
/// are in microseconds.
pub trait Environment {
    fn now(&self) -> u64;
    /// Returns a random number of at least `from` and below `to`.
    fn random_in(&mut self, from: u64, to: u64) -> u64;
    /// Returns true with this probability.
    fn random_bool(&mut self, probability: f64) -> bool;
    /// Returns the number of controllers.
    fn nodes(&self) -> usize;
    /// Returns the duration of a worker's lease.
    fn lease(&self) -> u64;
    /// Returns the mean interval between a worker's heartbeats. Each interval differs from the mean by up to a
    /// quarter.
    fn heartbeat_interval(&self) -> u64 {
        SECOND
    }
    /// Returns the time that a task, which is launched now, takes to fetch its image.
    fn fetch_time(&self, _worker: &Worker, _task: &str) -> u64 {
        SECOND
    }
    /// Returns the maximum time that a gang's task waits for the gang's other tasks to start.
    fn gang_wait(&self) -> u64 {
        30 * SECOND
    }
    /// Returns the facts about a job; `None` if the job is unknown.
    fn job(&self, id: &str) -> Option<JobFacts>;
    /// Returns the run time of the job's next task.
    fn run_time(&mut self, job: &JobFacts) -> u64;
    /// Whether a task has completed on some machine.
    fn is_done(&self, _task: &str) -> bool {
        false
    }
    /// Records that a task has completed.
    fn on_task_done(&mut self, _task: &str) {}
    /// Records that a task is now present on its machine.
    fn on_task_started(&mut self, _worker: &Worker, _task: &str) {}
    /// Records that a task has failed.
    fn on_task_failed(&mut self, _task: &str) {}
    /// Records that a worker has forgotten the end of a completed task.
    fn on_task_forgotten(&mut self, _task: &str) {}
    /// Whether a worker in this zone and this controller can reach each other.
    fn reaches(&self, _node: usize, _zone: &str) -> bool {
        true
    }
    /// Returns the address at which a worker takes commands.
    fn addr(&self, worker: &str) -> String {
        let n: u32 = worker
            .rsplit('-')
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        format!("10.9.{}.{}:9000", n / 250 % 250, n % 250 + 1)
    }
    /// Sends a worker's heartbeat to a controller. The answer is passed to [`Worker::handle_answer`].
    fn send(&mut self, worker: &str, node: usize, body: String);
    /// Returns the index of the controller with this name.
    fn node_by_name(&self, name: &str) -> Option<usize>;
}

/// Returns the id of a task's job, which is the first part of the task's name.
pub fn job_id_of_task(task: &str) -> &str {
    task.split('/').next().unwrap_or("")
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    Fetching,
    Waiting,
    Running,
    Saving,
    Ended(&'static str),
}

pub struct Task {
    pub name: String,
    pub attempt: u64,
    pub phase: Phase,
    /// Time at which the phase ends, unless an order or the task's gang ends the phase earlier. The running phase of a
    /// gang's task does not end by itself.
    pub phase_ends_at: u64,
    pub gang: bool,
    pub service: bool,
    pub broken: bool,
    /// Time at which a running gang task first missed a peer, or first had a peer on a machine that hangs.
    pub peers_missing_since: Option<u64>,
    /// Whether the task saved a checkpoint when it was stopped.
    pub checkpoint_saved: bool,
}

impl Task {
    pub fn ended(&self) -> bool {
        matches!(self.phase, Phase::Ended(_))
    }

    pub fn on_machine(&self) -> bool {
        !matches!(self.phase, Phase::Ended(_) | Phase::Fetching)
    }

    pub fn end(&mut self, why: &'static str) {
        self.phase = Phase::Ended(why);
    }
}

pub struct Worker {
    pub name: String,
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
    pub provisioned_at: u64,
    pub boot_ends_at: u64,
    pub dead: bool,
    pub hung_until: u64,
    /// Whether the worker has received a preemption notice.
    pub preemption_notice: bool,
    /// Whether every task fails on this worker.
    pub faulty: bool,
    pub tasks: BTreeMap<String, Task>,
    pub incarnation: u64,
    sequence: u64,
    /// Highest fencing token that a controller has sent.
    pub token: u64,
    /// Duration of the lease.
    lease: u64,
    lease_start: u64,
    /// Index of the controller that the worker sends heartbeats to.
    node: usize,
    /// Time at which the unanswered heartbeat was sent; `None` if no answer is awaited.
    unanswered_since: Option<u64>,
    last_heartbeat_at: u64,
    next_heartbeat_at: u64,
}

impl Worker {
    pub fn new(
        name: &str,
        provision_request: &Value,
        now: u64,
        boot_time: u64,
        node: usize,
        lease: u64,
    ) -> Worker {
        let boot_ends_at = now.saturating_add(boot_time);
        let text = |f: &str| provision_request[f].as_str().unwrap_or("").to_string();
        Worker {
            name: name.into(),
            flavor: text("rig"),
            zone: text("yard"),
            spot: provision_request["loaners"] == json!(true),
            provisioned_at: now,
            boot_ends_at,
            dead: false,
            hung_until: 0,
            preemption_notice: false,
            faulty: false,
            tasks: BTreeMap::new(),
            incarnation: 1,
            sequence: 0,
            token: 0,
            lease,
            lease_start: boot_ends_at,
            node,
            unanswered_since: None,
            last_heartbeat_at: 0,
            next_heartbeat_at: boot_ends_at,
        }
    }

    /// Brings the next heartbeat forward because something changed.
    pub fn send_heartbeat_soon(&mut self, now: u64) {
        // The heartbeat is sent at once, but not within half a second of the last one.
        self.next_heartbeat_at = self
            .next_heartbeat_at
            .min(now.max(self.last_heartbeat_at + SECOND / 2));
    }

    pub fn lease_expired(&self, now: u64) -> bool {
        now > self.lease_start.saturating_add(self.lease)
    }

    /// Whether the worker's tasks have all stopped, because the worker is dead or hangs past its lease. A worker that
    /// hangs may resume its tasks within its lease. After the lease has expired, the worker kills all of its tasks
    /// before it does anything else.
    pub fn tasks_stopped(&self, now: u64) -> bool {
        self.dead
            || self.is_unresponsive(now) && now >= self.boot_ends_at && self.lease_expired(now)
    }

    /// Whether the worker does nothing now: the worker is dead, hangs, or has not booted yet.
    pub fn is_unresponsive(&self, now: u64) -> bool {
        self.dead || now < self.hung_until || now < self.boot_ends_at
    }

    /// Returns the time at which [`Worker::step`] next has something to do, if no message reaches the worker earlier.
    pub fn next_step_at(&self) -> u64 {
        let heartbeat = match self.unanswered_since {
            Some(sent) => sent + 4 * SECOND + 1,
            None => self.next_heartbeat_at,
        };
        let phase_ends_by_time = |t: &&Task| !(t.ended() || t.gang && t.phase == Phase::Running);
        let tasks = self
            .tasks
            .values()
            .filter(phase_ends_by_time)
            .map(|t| t.phase_ends_at)
            .min();
        let lease = self.lease_start.saturating_add(self.lease) + 1;
        heartbeat
            .min(lease)
            .min(tasks.unwrap_or(u64::MAX))
            .max(self.boot_ends_at)
    }

    /// Advances the worker and its tasks to the present time, and sends a heartbeat if one is due.
    pub fn step(&mut self, environment: &mut dyn Environment) {
        let now = environment.now();
        if self.is_unresponsive(now) {
            return;
        }
        if self.lease_expired(now) {
            self.tasks.clear();
            self.incarnation += 1;
            self.lease_start = now;
            self.unanswered_since = None;
        }
        let names: Vec<String> = self.tasks.keys().cloned().collect();
        let mut changed = false;
        for name in names {
            let Some(t) = self.tasks.get_mut(&name) else {
                continue;
            };
            if now < t.phase_ends_at {
                continue;
            }
            let before = t.phase;
            match t.phase {
                Phase::Fetching if self.faulty || t.broken => {
                    t.end("error");
                    environment.on_task_failed(&name);
                }
                Phase::Fetching => {
                    let already_done = environment.is_done(&name);
                    let facts = environment.job(job_id_of_task(&name)).unwrap_or_default();
                    if t.gang {
                        t.phase = Phase::Waiting;
                        t.phase_ends_at = now + environment.gang_wait();
                    } else {
                        t.phase = Phase::Running;
                        t.phase_ends_at = if already_done {
                            now
                        } else {
                            now + environment.run_time(&facts)
                        };
                        if t.service {
                            t.phase_ends_at = u64::MAX;
                        }
                    }
                    environment.on_task_started(self, &name);
                }
                Phase::Waiting => t.end("alone"),
                // A gang's tasks complete together, so code outside the worker ends them, such as `step_gangs`.
                Phase::Running if !t.gang => {
                    t.end("done");
                    environment.on_task_done(&name);
                }
                Phase::Saving => {
                    t.checkpoint_saved = true;
                    t.end("stopped");
                }
                _ => {}
            }
            changed |= self.tasks.get(&name).is_some_and(|t| t.phase != before);
        }
        if self
            .unanswered_since
            .is_some_and(|sent| now > sent + 4 * SECOND)
        {
            self.unanswered_since = None;
            self.node = (self.node + 1) % environment.nodes();
            self.next_heartbeat_at = now + SECOND;
        }
        if changed {
            self.send_heartbeat_soon(now);
        }
        if self.unanswered_since.is_none() && now >= self.next_heartbeat_at {
            self.send_heartbeat(environment);
        }
    }

    fn send_heartbeat(&mut self, environment: &mut dyn Environment) {
        let now = environment.now();
        self.sequence += 1;
        let pieces: Vec<Value> = self
            .tasks
            .values()
            .map(|t| {
                let (status, cause) = match t.phase {
                    Phase::Fetching => ("fetching", None),
                    Phase::Waiting => ("gathering", None),
                    Phase::Running => ("running", None),
                    Phase::Saving => ("saving", None),
                    Phase::Ended(why) => ("ended", Some(why)),
                };
                json!({"piece": t.name, "try_no": t.attempt, "status": status, "cause": cause,
                       "kept": t.checkpoint_saved})
            })
            .collect();
        let body = json!({
            "host": self.name, "addr": environment.addr(&self.name), "rig": self.flavor, "yard": self.zone,
            "loaners": self.spot, "shift": self.incarnation, "tally": self.sequence, "baton": self.token,
            "warning_s": if self.preemption_notice { json!(15.0) } else { Value::Null }, "pieces": pieces
        });
        self.unanswered_since = Some(now);
        self.last_heartbeat_at = now;
        let interval = environment.heartbeat_interval();
        self.next_heartbeat_at = now + environment.random_in(3 * interval / 4, 5 * interval / 4);
        if !environment.reaches(self.node, &self.zone) {
            return;
        }
        environment.send(&self.name, self.node, body.to_string());
    }

    /// Handles a controller's answer to the heartbeat that was sent at the time `sent`.
    pub fn handle_answer(
        &mut self,
        environment: &mut dyn Environment,
        node: usize,
        sent: u64,
        status: u16,
        body: &[u8],
    ) {
        if self.unanswered_since != Some(sent) || !environment.reaches(node, &self.zone) {
            return;
        }
        self.unanswered_since = None;
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let redirect = body["foreman"]
            .as_str()
            .and_then(|n| environment.node_by_name(n));
        if let Some(other) = redirect.filter(|n| status == 421 && *n != self.node) {
            self.node = other;
            self.next_heartbeat_at = environment.now() + SECOND / 4;
            return;
        }
        if status != 200 {
            self.node = (self.node + 1) % environment.nodes();
            self.next_heartbeat_at = environment.now() + SECOND;
            return;
        }
        let token = body["baton"].as_u64().unwrap_or(0);
        if token < self.token {
            return;
        }
        if token > self.token {
            self.send_heartbeat_soon(environment.now());
        }
        self.token = token;
        self.lease_start = self.lease_start.max(sent);
        for order in body["orders"].as_array().into_iter().flatten() {
            self.execute(environment, order);
        }
    }

    /// Executes commands that a controller sent directly. Returns the status of the answer. In the protocol the body
    /// of this answer is the worker's heartbeat, which the model does not build.
    pub fn handle_commands(&mut self, environment: &mut dyn Environment, body: &[u8]) -> u16 {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let (Some(token), Some(incarnation)) = (body["baton"].as_u64(), body["shift"].as_u64())
        else {
            return 400;
        };
        self.sequence += 1;
        if token < self.token || incarnation != self.incarnation {
            return 409;
        }
        if token > self.token {
            self.token = token;
        }
        for order in body["orders"].as_array().into_iter().flatten() {
            self.execute(environment, order);
        }
        200
    }

    fn execute(&mut self, environment: &mut dyn Environment, order: &Value) {
        let name = order["piece"].as_str().unwrap_or("").to_string();
        let attempt = order["try_no"].as_u64().unwrap_or(0);
        let existing = self.tasks.get(&name).map(|t| (t.attempt, t.ended()));
        match order["verb"].as_str().unwrap_or("") {
            "launch" => {
                if existing.is_some_and(|h| h.0 == attempt) {
                    return;
                }
                let Some(facts) = environment.job(job_id_of_task(&name)) else {
                    return;
                };
                // Another attempt of the task is replaced if it has ended. Otherwise the launch is refused.
                if existing.is_some_and(|h| !h.1) {
                    return;
                }
                let task = Task {
                    name: name.clone(),
                    attempt,
                    phase: Phase::Fetching,
                    phase_ends_at: environment.now() + environment.fetch_time(self, &name),
                    gang: facts.gang,
                    service: facts.service,
                    broken: facts.broken,
                    peers_missing_since: None,
                    checkpoint_saved: false,
                };
                self.tasks.insert(name, task);
            }
            "halt" => {
                let grace = order["wind_down_s"].as_f64().unwrap_or(0.0);
                let save = environment.job(job_id_of_task(&name)).map_or(0, |j| j.save);
                let now = environment.now();
                if let Some(t) = self.tasks.get_mut(&name).filter(|t| t.attempt == attempt) {
                    let saves = save > 0 && grace * SECOND as f64 >= save as f64;
                    match t.phase {
                        Phase::Ended(_) => {}
                        Phase::Running if saves => {
                            t.phase = Phase::Saving;
                            t.phase_ends_at = now + save;
                        }
                        Phase::Saving if grace > 0.0 => {}
                        _ => t.end("stopped"),
                    }
                }
            }
            _ => {
                if existing.is_some_and(|h| h.0 == attempt && h.1) {
                    let ended = self.tasks.remove(&name);
                    if ended.is_some_and(|t| t.phase == Phase::Ended("done")) {
                        environment.on_task_forgotten(&name);
                    }
                }
            }
        }
        self.send_heartbeat_soon(environment.now());
    }
}

/// Starts, completes and fails gangs. All tasks of a gang start, complete and fail together. A running task ends
/// after `peer_timeout` microseconds without a peer, or with a peer on a machine that hangs.
pub fn step_gangs(
    workers: &mut BTreeMap<String, Worker>,
    peer_timeout: u64,
    environment: &mut dyn Environment,
) {
    let now = environment.now();
    let mut gangs: BTreeMap<(String, u64), Vec<(String, String)>> = BTreeMap::new();
    for w in workers.values().filter(|w| !w.dead) {
        for t in w.tasks.values().filter(|t| t.gang && !t.ended()) {
            let job = job_id_of_task(&t.name).to_string();
            gangs
                .entry((job, t.attempt))
                .or_default()
                .push((w.name.clone(), t.name.clone()));
        }
    }
    for ((job, _), members) in gangs {
        let Some(facts) = environment.job(&job) else {
            continue;
        };
        let is_complete = members.len() == facts.tasks as usize;
        let phase = |(w, t): &(String, String)| {
            workers
                .get(w)
                .and_then(|w| w.tasks.get(t))
                .map(|t| (t.phase, t.phase_ends_at))
        };
        let ready = members
            .iter()
            .all(|m| phase(m).is_some_and(|p| p.0 == Phase::Waiting));
        let run = environment.run_time(&facts);
        // A hung machine blocks its whole gang, and the gang's running tasks end after `peer_timeout`.
        let all_responsive = members
            .iter()
            .all(|(w, _)| workers.get(w).is_some_and(|w| !w.is_unresponsive(now)));
        let has_run = |m| phase(m).is_some_and(|p| p.0 == Phase::Running && now >= p.1);
        let finished = is_complete && all_responsive && members.iter().all(has_run);
        for (w, t) in members {
            let Some(worker) = workers.get_mut(&w) else {
                continue;
            };
            let Some(task) = worker.tasks.get_mut(&t) else {
                continue;
            };
            let before = task.phase;
            if is_complete && ready {
                task.phase = Phase::Running;
                task.phase_ends_at = now + run;
            } else if finished {
                task.end("done");
                environment.on_task_done(&t);
            } else if (!is_complete || !all_responsive) && task.phase == Phase::Running {
                let since = *task.peers_missing_since.get_or_insert(now);
                if now > since + peer_timeout {
                    task.end("mates_gone");
                }
            }
            if task.phase != before {
                worker.send_heartbeat_soon(now);
            }
        }
    }
}
