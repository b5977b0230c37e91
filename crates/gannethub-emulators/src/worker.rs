//! A model of a worker, by the published protocol. All times are in microseconds.

mod environment;
mod gangs;
mod orders;

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::SECOND;

pub use environment::{Environment, JobFacts, job_id_of_task};
pub use gangs::step_gangs;

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

    /// Lets the task run, or wait for its gang, once it has its image.
    fn begin(&mut self, environment: &mut dyn Environment) {
        let now = environment.now();
        let already_done = environment.is_done(&self.name);
        let facts = environment
            .job(job_id_of_task(&self.name))
            .unwrap_or_default();
        if self.gang {
            self.phase = Phase::Waiting;
            self.phase_ends_at = now + environment.gang_wait();
            return;
        }
        self.phase = Phase::Running;
        self.phase_ends_at = match already_done {
            true => now,
            false => now + environment.run_time(&facts),
        };
        if self.service {
            self.phase_ends_at = u64::MAX;
        }
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
        let changed = self.end_phases(environment);
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

    /// Ends the phases of tasks that are over by now. Returns whether there were any.
    fn end_phases(&mut self, environment: &mut dyn Environment) -> bool {
        let now = environment.now();
        let names: Vec<String> = self.tasks.keys().cloned().collect();
        let mut changed = false;
        for name in names {
            let Some(task) = self.tasks.get_mut(&name) else {
                continue;
            };
            if now < task.phase_ends_at {
                continue;
            }
            let before = task.phase;
            match task.phase {
                Phase::Fetching if self.faulty || task.broken => {
                    task.end("error");
                    environment.on_task_failed(&name);
                }
                Phase::Fetching => {
                    task.begin(environment);
                    environment.on_task_started(self, &name);
                }
                Phase::Waiting => task.end("alone"),
                // A gang's tasks complete together, so code outside the worker ends them, such as `step_gangs`.
                Phase::Running if !task.gang => {
                    task.end("done");
                    environment.on_task_done(&name);
                }
                Phase::Saving => {
                    task.checkpoint_saved = true;
                    task.end("stopped");
                }
                _ => {}
            }
            changed |= self.tasks.get(&name).is_some_and(|t| t.phase != before);
        }
        changed
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
}
