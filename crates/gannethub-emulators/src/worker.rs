//! A stand-in for a worker, by the published protocol.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::SECOND;

/// What a worker knows of a job: its users upload that.
#[derive(Clone, Debug, Default)]
pub struct JobFacts {
    pub tasks: u32,
    pub gang: bool,
    pub service: bool,
    /// Submitted with a mistake: it fails on every machine.
    pub broken: bool,
    /// How long a task takes to save; 0: it never saves.
    pub save: u64,
    /// Its owner's estimate of a task's run time.
    pub estimate: u64,
}

/// Where workers are: the time, chance, the jobs, and the way to the controllers.
pub trait Site {
    fn now(&self) -> u64;
    /// A number from `from` on and below `to`.
    fn draw(&mut self, from: u64, to: u64) -> u64;
    fn chance(&mut self, part: f64) -> bool;
    /// How many controllers there are, and how long leases are.
    fn nodes(&self) -> usize;
    fn lease(&self) -> u64;
    /// How often a worker reports, give or take a quarter.
    fn report_every(&self) -> u64 {
        SECOND
    }
    /// How long a task waits for its image, and a gang's task for the others.
    fn fetch_time(&self) -> u64 {
        SECOND
    }
    fn gang_wait(&self) -> u64 {
        30 * SECOND
    }
    fn job(&self, id: &str) -> Option<JobFacts>;
    /// How long the next task of a job runs.
    fn run_time(&mut self, job: &JobFacts) -> u64;
    /// Whether a task has completed somewhere, and that it has.
    fn is_done(&self, _task: &str) -> bool {
        false
    }
    fn done(&mut self, _task: &str) {}
    /// A task starts to count as on its machine; another has failed.
    fn starts(&mut self, _worker: &Worker, _task: &str) {}
    fn failed(&mut self, _task: &str) {}
    /// The end of a task that is done is forgotten by its worker.
    fn forgets(&mut self, _task: &str) {}
    /// Whether a worker in this zone and a controller can reach each other.
    fn reaches(&self, _node: usize, _zone: &str) -> bool {
        true
    }
    /// Where a worker takes commands.
    fn addr(&self, worker: &str) -> String {
        let n: u32 = worker
            .rsplit('-')
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        format!("10.9.{}.{}:9000", n / 250 % 250, n % 250 + 1)
    }
    /// Sends a worker's report; the answer goes to [`Worker::answered`].
    fn send(&mut self, worker: &str, node: usize, body: String);
    /// The number of the controller with this name.
    fn named(&self, name: &str) -> Option<usize>;
}

/// The job of a task's name.
pub fn job_of(task: &str) -> &str {
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
    pub until: u64,
    pub gang: bool,
    pub service: bool,
    pub broken: bool,
    pub lonely: Option<u64>,
    /// Its progress was saved when it was stopped.
    pub kept: bool,
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
    pub rented_at: u64,
    pub boots_at: u64,
    pub dead: bool,
    pub hung_until: u64,
    pub notice: bool,
    /// Every task fails here.
    pub faulty: bool,
    pub tasks: BTreeMap<String, Task>,
    pub session: u64,
    seq: u64,
    pub token: u64,
    lease: u64,
    lease_from: u64,
    node: usize,
    waiting: Option<u64>,
    sent_at: u64,
    next: u64,
}

impl Worker {
    pub fn new(name: &str, rental: &Value, now: u64, boot: u64, node: usize, lease: u64) -> Worker {
        let boots_at = now.saturating_add(boot);
        let text = |f: &str| rental[f].as_str().unwrap_or("").to_string();
        Worker {
            name: name.into(),
            flavor: text("rig"),
            zone: text("yard"),
            spot: rental["loaners"] == json!(true),
            rented_at: now,
            boots_at,
            dead: false,
            hung_until: 0,
            notice: false,
            faulty: false,
            tasks: BTreeMap::new(),
            session: 1,
            seq: 0,
            token: 0,
            lease,
            lease_from: boots_at,
            node,
            waiting: None,
            sent_at: 0,
            next: boots_at,
        }
    }

    /// Something changed: it reports soon.
    pub fn hasten(&mut self, now: u64) {
        // At once, but not within half a second of the last report.
        self.next = self.next.min(now.max(self.sent_at + SECOND / 2));
    }

    pub fn lease_over(&self, now: u64) -> bool {
        now > self.lease_from.saturating_add(self.lease)
    }

    /// Nothing that was on it runs any more. One that hangs may go on within its lease; past it, it kills all it has
    /// before it does anything else.
    pub fn gone(&self, now: u64) -> bool {
        self.dead || self.hung(now) && now >= self.boots_at && self.lease_over(now)
    }

    pub fn hung(&self, now: u64) -> bool {
        self.dead || now < self.hung_until || now < self.boots_at
    }

    /// When [`Worker::step`] has something to do next, if nothing reaches the worker before.
    pub fn due(&self) -> u64 {
        let own = match self.waiting {
            Some(sent) => sent + 4 * SECOND + 1,
            None => self.next,
        };
        let running = |t: &&Task| !(t.ended() || t.gang && t.phase == Phase::Running);
        let tasks = self.tasks.values().filter(running).map(|t| t.until).min();
        let lease = self.lease_from.saturating_add(self.lease) + 1;
        own.min(lease)
            .min(tasks.unwrap_or(u64::MAX))
            .max(self.boots_at)
    }

    pub fn step(&mut self, site: &mut dyn Site) {
        let now = site.now();
        if self.hung(now) {
            return;
        }
        if self.lease_over(now) {
            self.tasks.clear();
            self.session += 1;
            self.lease_from = now;
            self.waiting = None;
        }
        let names: Vec<String> = self.tasks.keys().cloned().collect();
        let mut changed = false;
        for name in names {
            let Some(t) = self.tasks.get_mut(&name) else {
                continue;
            };
            if now < t.until {
                continue;
            }
            let before = t.phase;
            match t.phase {
                Phase::Fetching if self.faulty || t.broken => {
                    t.end("error");
                    site.failed(&name);
                }
                Phase::Fetching => {
                    let known = site.is_done(&name);
                    let facts = site.job(job_of(&name)).unwrap_or_default();
                    if t.gang {
                        t.phase = Phase::Waiting;
                        t.until = now + site.gang_wait();
                    } else {
                        t.phase = Phase::Running;
                        t.until = if known {
                            now
                        } else {
                            now + site.run_time(&facts)
                        };
                        if t.service {
                            t.until = u64::MAX;
                        }
                    }
                    site.starts(self, &name);
                }
                Phase::Waiting => t.end("alone"),
                // A gang's end is the world's affair: its tasks complete together.
                Phase::Running if !t.gang => {
                    t.end("done");
                    site.done(&name);
                }
                Phase::Saving => {
                    t.kept = true;
                    t.end("stopped");
                }
                _ => {}
            }
            changed |= self.tasks.get(&name).is_some_and(|t| t.phase != before);
        }
        if self.waiting.is_some_and(|sent| now > sent + 4 * SECOND) {
            self.waiting = None;
            self.node = (self.node + 1) % site.nodes();
            self.next = now + SECOND;
        }
        if changed {
            self.hasten(now);
        }
        if self.waiting.is_none() && now >= self.next {
            self.report(site);
        }
    }

    fn report(&mut self, site: &mut dyn Site) {
        let now = site.now();
        self.seq += 1;
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
                       "kept": t.kept})
            })
            .collect();
        let body = json!({
            "host": self.name, "addr": site.addr(&self.name), "rig": self.flavor, "yard": self.zone,
            "loaners": self.spot, "shift": self.session, "tally": self.seq, "baton": self.token,
            "warning_s": if self.notice { json!(15.0) } else { Value::Null }, "pieces": pieces
        });
        self.waiting = Some(now);
        self.sent_at = now;
        let every = site.report_every();
        self.next = now + site.draw(3 * every / 4, 5 * every / 4);
        if !site.reaches(self.node, &self.zone) {
            return;
        }
        site.send(&self.name, self.node, body.to_string());
    }

    /// The answer of a controller to the report that was sent at this time.
    pub fn answered(
        &mut self,
        site: &mut dyn Site,
        node: usize,
        sent: u64,
        status: u16,
        body: &[u8],
    ) {
        if self.waiting != Some(sent) || !site.reaches(node, &self.zone) {
            return;
        }
        self.waiting = None;
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let named = body["foreman"].as_str().and_then(|n| site.named(n));
        if let Some(other) = named.filter(|n| status == 421 && *n != self.node) {
            self.node = other;
            self.next = site.now() + SECOND / 4;
            return;
        }
        if status != 200 {
            self.node = (self.node + 1) % site.nodes();
            self.next = site.now() + SECOND;
            return;
        }
        let token = body["baton"].as_u64().unwrap_or(0);
        if token < self.token {
            return;
        }
        if token > self.token {
            self.hasten(site.now());
        }
        self.token = token;
        self.lease_from = self.lease_from.max(sent);
        for order in body["orders"].as_array().into_iter().flatten() {
            self.execute(site, order);
        }
    }

    /// Commands that came directly. Returns the status of the answer, whose body would be the worker's report.
    pub fn commanded(&mut self, site: &mut dyn Site, body: &[u8]) -> u16 {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let (Some(token), Some(session)) = (body["baton"].as_u64(), body["shift"].as_u64()) else {
            return 400;
        };
        self.seq += 1;
        if token < self.token || session != self.session {
            return 409;
        }
        if token > self.token {
            self.token = token;
        }
        for order in body["orders"].as_array().into_iter().flatten() {
            self.execute(site, order);
        }
        200
    }

    fn execute(&mut self, site: &mut dyn Site, order: &Value) {
        let name = order["piece"].as_str().unwrap_or("").to_string();
        let attempt = order["try_no"].as_u64().unwrap_or(0);
        let held = self.tasks.get(&name).map(|t| (t.attempt, t.ended()));
        match order["verb"].as_str().unwrap_or("") {
            "launch" => {
                if held.is_some_and(|h| h.0 == attempt) {
                    return;
                }
                let Some(facts) = site.job(job_of(&name)) else {
                    return;
                };
                // A task that ended under another attempt makes way; one that has not refuses.
                if held.is_some_and(|h| !h.1) {
                    return;
                }
                let task = Task {
                    name: name.clone(),
                    attempt,
                    phase: Phase::Fetching,
                    until: site.now() + site.fetch_time(),
                    gang: facts.gang,
                    service: facts.service,
                    broken: facts.broken,
                    lonely: None,
                    kept: false,
                };
                self.tasks.insert(name, task);
            }
            "halt" => {
                let grace = order["wind_down_s"].as_f64().unwrap_or(0.0);
                let save = site.job(job_of(&name)).map_or(0, |j| j.save);
                let now = site.now();
                if let Some(t) = self.tasks.get_mut(&name).filter(|t| t.attempt == attempt) {
                    let saves = save > 0 && grace * SECOND as f64 >= save as f64;
                    match t.phase {
                        Phase::Ended(_) => {}
                        Phase::Running if saves => {
                            t.phase = Phase::Saving;
                            t.until = now + save;
                        }
                        Phase::Saving if grace > 0.0 => {}
                        _ => t.end("stopped"),
                    }
                }
            }
            _ => {
                if held.is_some_and(|h| h.0 == attempt && h.1) {
                    let ended = self.tasks.remove(&name);
                    if ended.is_some_and(|t| t.phase == Phase::Ended("done")) {
                        site.forgets(&name);
                    }
                }
            }
        }
        self.hasten(site.now());
    }
}

/// Gangs start, complete and fail together.
pub fn step_gangs(workers: &mut BTreeMap<String, Worker>, gang_peer: u64, site: &mut dyn Site) {
    let now = site.now();
    let mut gangs: BTreeMap<(String, u64), Vec<(String, String)>> = BTreeMap::new();
    for w in workers.values().filter(|w| !w.dead) {
        for t in w.tasks.values().filter(|t| t.gang && !t.ended()) {
            let job = job_of(&t.name).to_string();
            gangs
                .entry((job, t.attempt))
                .or_default()
                .push((w.name.clone(), t.name.clone()));
        }
    }
    for ((job, _), members) in gangs {
        let Some(facts) = site.job(&job) else {
            continue;
        };
        let whole = members.len() == facts.tasks as usize;
        let phase = |(w, t): &(String, String)| {
            workers
                .get(w)
                .and_then(|w| w.tasks.get(t))
                .map(|t| (t.phase, t.until))
        };
        let ready = members
            .iter()
            .all(|m| phase(m).is_some_and(|p| p.0 == Phase::Waiting));
        let run = site.run_time(&facts);
        // A hung machine holds the whole gang up, and the others leave after a while.
        let moving = members
            .iter()
            .all(|(w, _)| workers.get(w).is_some_and(|w| !w.hung(now)));
        let ran = |m| phase(m).is_some_and(|p| p.0 == Phase::Running && now >= p.1);
        let over = whole && moving && members.iter().all(ran);
        for (w, t) in members {
            let Some(worker) = workers.get_mut(&w) else {
                continue;
            };
            let Some(task) = worker.tasks.get_mut(&t) else {
                continue;
            };
            let before = task.phase;
            if whole && ready {
                task.phase = Phase::Running;
                task.until = now + run;
            } else if over {
                task.end("done");
                site.done(&t);
            } else if (!whole || !moving) && task.phase == Phase::Running {
                let since = *task.lonely.get_or_insert(now);
                if now > since + gang_peer {
                    task.end("mates_gone");
                }
            }
            if task.phase != before {
                worker.hasten(now);
            }
        }
    }
}
