//! Simulated workers on the machines of the cloud, and the interface through which they reach the simulation.

use super::*;

/// Maximum time after a heartbeat was sent for which its answer waits for a hung machine.
const HUNG_ANSWER_LIFETIME: u64 = 4 * SECOND;

impl World {
    /// Records the worker's current attempts and the ends of earlier ones, if a ledger is kept.
    pub(super) fn record_worker(&mut self, w: &Worker) {
        if self.settings[0].ledger.is_none() {
            return;
        }
        let now = self.now;
        self.record.update(w, now);
    }

    pub(super) fn step_workers(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let Some(mut w) = self.workers.remove(&name) else {
                continue;
            };
            w.step(self);
            self.record_worker(&w);
            self.workers.insert(name, w);
        }
        let mut workers = std::mem::take(&mut self.workers);
        let gang_peer_timeout = self.gang_peer_timeout;
        worker::step_gangs(&mut workers, gang_peer_timeout, self);
        self.workers = workers;
    }

    /// Delivers direct commands to a worker, even to one that reaches no controller, and checks that they only stop
    /// tasks. Commands for a hung machine wait until it resumes if that is less than 60 s away, whichever controller
    /// leads by then.
    pub(super) fn command_worker(&mut self, node: usize, addr: String, body: Bytes) {
        let text: Value = serde_json::from_slice(&body).unwrap_or_default();
        let verbs = text["orders"]
            .as_array()
            .into_iter()
            .flatten()
            .map(|o| o["verb"].clone());
        if verbs.clone().any(|v| v != json!("halt")) {
            self.violations.push(format!(
                "sent directly: {text}, which is more than stops of tasks"
            ));
        }
        let to = self.workers.values().find(|w| self.addr(&w.name) == addr);
        let Some(w) = to.filter(|w| !w.dead && !self.faults.unanswered_workers.contains(&w.name))
        else {
            return;
        };
        if !self.reaches(node, &w.zone) {
            return;
        }
        let late = w.hung_until.saturating_sub(self.now);
        if late > 0 {
            if late < 60 * SECOND {
                self.schedule(late, Event::DirectCommands { node, addr, body });
            }
            return;
        }
        let name = w.name.clone();
        let Some(mut w) = self.workers.remove(&name) else {
            return;
        };
        if !w.is_unresponsive(self.now) && !w.lease_expired(self.now) {
            w.handle_commands(self, &body);
            self.record_worker(&w);
        }
        self.workers.insert(name, w);
    }

    /// Delivers the answer to a heartbeat, if the worker can receive it.
    pub(super) fn on_worker_answer(
        &mut self,
        name: String,
        sent: u64,
        node: usize,
        response: Response,
    ) {
        self.check_launches_after_cancellation(sent, &response);
        self.check_launches_are_for(&name, &response);
        if self.faults.unanswered_workers.contains(&name) {
            return;
        }
        let hung = self.workers.get(&name);
        if let Some(until) = hung
            .filter(|w| w.is_unresponsive(self.now) && !w.dead)
            .map(|w| w.hung_until)
        {
            // The answer waits until the machine resumes, if it does so before the worker gives up on the answer.
            if until > self.now && until < sent + HUNG_ANSWER_LIFETIME {
                let origin = Origin::Worker { name, sent };
                self.schedule(
                    until - self.now,
                    Event::Answer {
                        origin,
                        node,
                        response,
                    },
                );
            }
            return;
        }
        let mut worker = self.workers.remove(&name);
        if let Some(w) = worker.as_mut().filter(|w| !w.is_unresponsive(self.now)) {
            w.handle_answer(self, node, sent, response.status, &response.body);
            self.record_worker(w);
        }
        worker.map(|w| self.workers.insert(name, w));
    }
}

impl Environment for World {
    fn now(&self) -> u64 {
        self.now
    }

    fn random_in(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..to)
    }

    fn random_bool(&mut self, part: f64) -> bool {
        self.rng.random_bool(part)
    }

    fn nodes(&self) -> usize {
        self.nodes.len()
    }

    fn lease(&self) -> u64 {
        WORKER_LEASE
    }

    fn job(&self, id: &str) -> Option<JobFacts> {
        let body = &self.jobs.get(id)?.body;
        let time = |f: &str| (body[f].as_f64().unwrap_or(0.0) * SECOND as f64) as u64;
        Some(JobFacts {
            tasks: body["pieces"].as_u64().unwrap_or(0) as u32,
            gang: body["shape"] == "group",
            service: body["shape"] == "service",
            broken: body["jobclass"] == "broken",
            save: time("stamp_s"),
            estimate: time("guess_s"),
        })
    }

    fn run_time(&mut self, _: &JobFacts) -> u64 {
        self.rng
            .random_range(self.run_time_range.0..self.run_time_range.1)
    }

    fn is_done(&self, task: &str) -> bool {
        self.completed_tasks.contains(task)
    }

    fn on_task_done(&mut self, task: &str) {
        self.completed_tasks.insert(task.into());
        let id = task.split('/').next().unwrap_or("").to_string();
        if self.cancel_at_end == 0.0 || !self.completed(&id) {
            return;
        }
        if self.rng.random_bool(self.cancel_at_end)
            && let Some(j) = self.jobs.get_mut(&id)
        {
            // The delays cover the time from before the worker reports the end until after the end is stored.
            j.cancel_asked = true;
            let node = self.rng.random_range(0..self.nodes.len());
            let soon = self.rng.random_range(0..SECOND * 5 / 2);
            self.schedule(
                soon,
                Event::UserRequest {
                    job: id.clone(),
                    what: "cancel",
                    node,
                },
            );
        }
        self.request_at_all_nodes(&id);
    }

    fn fetch_time(&self, worker: &Worker, task: &str) -> u64 {
        self.image_fetch_time(worker, task)
    }

    fn on_task_started(&mut self, worker: &Worker, task: &str) {
        self.record_kept_image(worker, task);
        self.check_start(worker, task);
    }

    fn on_task_failed(&mut self, task: &str) {
        self.failures.push((self.now, task.into()));
    }

    fn on_task_forgotten(&mut self, task: &str) {
        let (id, index) = task.split_once('/').unwrap_or((task, ""));
        let index: u32 = index.parse().unwrap_or(0);
        let over = self.state.value(&format!("gh/over/{id}")).is_some();
        let live = self.state.value(&format!("gh/live/{id}"));
        let cancelled = live.is_some_and(|v| v["cancelled"] == json!(true));
        if over || cancelled || self.is_stored_as_done(id, index) {
            return;
        }
        self.violations.push(format!(
            "lost: the worker forgets the end of {task}, which is not stored"
        ));
    }

    fn reaches(&self, node: usize, zone: &str) -> bool {
        !self
            .faults
            .unreachable_zones
            .contains(&(node, zone.to_string()))
    }

    fn send(&mut self, worker: &str, node: usize, body: String) {
        if self.faults.heartbeat_copy_rate > 0.0
            && self.rng.random_bool(self.faults.heartbeat_copy_rate)
        {
            let late = self.rng.random_range(2 * SECOND..3 * WORKER_LEASE);
            self.schedule(
                late,
                Event::HeartbeatCopy {
                    node: None,
                    body: body.clone(),
                },
            );
        }
        if self.faults.kept_copy_rate > 0.0 && self.rng.random_bool(self.faults.kept_copy_rate) {
            self.kept_copies.push(body.clone());
        }
        if self.faults.isolated_workers.contains(worker) {
            return;
        }
        let origin = Origin::Worker {
            name: worker.into(),
            sent: self.now,
        };
        self.http(origin, node, Method::Post, "/v1/report", Bytes::from(body));
    }

    fn node_by_name(&self, name: &str) -> Option<usize> {
        name.strip_prefix('n')?.parse().ok()
    }
}
