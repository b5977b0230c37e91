//! Invariants of the cluster, checked against the observations of workers, users and the state service.

use super::*;

/// An attempt as the leader of a term knows it.
struct KnownAttempt {
    term: u64,
    machine: String,
    is_live: bool,
}

impl World {
    /// Checks the start of a task on the machine of `w`.
    pub fn check_start(&mut self, w: &Worker, name: &str) {
        self.starts += 1;
        let id = name.split('/').next().unwrap_or("").to_string();
        *self.starts_by_job.entry(id.clone()).or_default() += 1;
        let Some(job) = self.jobs.get(&id) else {
            self.violations
                .push(format!("unknown job started: task {name}"));
            return;
        };
        let cancellation_confirmed_at = job.cancellation_confirmed_at;
        let mut violations = self.start_before_upstream(&id, name);
        violations.extend(self.start_of_done_or_running_task(&id, w, name));
        match cancellation_confirmed_at {
            Some(t) if self.now > t + CANCEL_DEADLINE => {
                violations.push(format!("ran_cancelled: {name}"))
            }
            Some(_) => self.counters.late_starts += 1,
            None => {}
        }
        violations.extend(self.start_in_wrong_place(&id, w, name));
        self.violations.extend(violations);
    }

    /// Checks that a task starts after all upstream jobs of its job are done, and does not start after the cancellation
    /// deadline of an upstream job whose user was told that it is cancelled.
    fn start_before_upstream(&self, id: &str, name: &str) -> Vec<String> {
        let mut violations = Vec::new();
        for u in self.job_and_upstream(id).iter().filter(|u| **u != id) {
            if !self.completed(u) {
                violations.push(format!("too_early: {name} before {u} is done"));
            }
            let lost = self.jobs.get(u).and_then(|j| j.cancellation_confirmed_at);
            if lost.is_some_and(|t| self.now > t + CANCEL_DEADLINE) {
                violations.push(format!("ran_cancelled: {name}, which needs {u}"));
            }
        }
        violations
    }

    /// Checks that a task starts neither after it is stored as done nor while it runs on another machine.
    fn start_of_done_or_running_task(&self, id: &str, w: &Worker, name: &str) -> Vec<String> {
        let mut violations = Vec::new();
        let index = name.split('/').nth(1).and_then(|n| n.parse::<u32>().ok());
        if index.is_some_and(|index| self.is_stored_as_done(id, index)) {
            violations.push(format!("began again: {name} is stored as done"));
        }
        let mut others = self.other_workers(w);
        if others.any(|o| o.tasks.get(name).is_some_and(|t| t.on_machine())) {
            violations.push(format!("ran_twice: {name} on {}", w.name));
        }
        violations
    }

    /// Returns the workers other than `w` that are not dead and whose tasks have not been stopped by lease expiry.
    fn other_workers<'a>(&'a self, w: &'a Worker) -> impl Iterator<Item = &'a Worker> {
        self.workers
            .values()
            .filter(|o| !o.tasks_stopped(self.now) && o.name != w.name)
    }

    /// Checks that a task starts on a machine and in a zone that its job allows, within its team's limit.
    fn start_in_wrong_place(&self, id: &str, w: &Worker, name: &str) -> Vec<String> {
        let mut violations = Vec::new();
        let body = &self.jobs[id].body;
        let allowed = |field: &str, value: &str| match &body[field] {
            Value::Array(list) => list.iter().any(|v| v == value),
            Value::String(s) => s == value,
            _ => true,
        };
        if !allowed("rigs", &w.flavor)
            || !allowed("yard", &w.zone)
            || (w.spot && body["loaners"] == json!(false))
        {
            violations.push(format!("wrong_place: {name} on {}", w.name));
        }
        let (zones, used) = self.zones_and_usage(id, w);
        if body["together"] == json!(true) && zones.len() > 1 {
            violations.push(format!(
                "wrong_place: the job of {name} has tasks in several zones"
            ));
        }
        let half = body["pieces"].as_u64().unwrap_or(0).div_ceil(2);
        if body["scatter"] == json!(true) && zones.values().any(|n| *n > half) {
            violations.push(format!(
                "wrong_place: the job of {name} has too many tasks in one zone"
            ));
        }
        let limit = self.max_possible_limit(body["crew"].as_str().unwrap_or(""));
        if used > limit + 1e-6 {
            violations.push(format!(
                "quota: {} uses {used} CPUs, above the limit of {limit}",
                body["crew"]
            ));
        }
        violations
    }

    /// Returns the number of tasks of a job in each zone and the CPUs that its team uses, including the tasks on `w`.
    fn zones_and_usage<'a>(&'a self, id: &str, w: &'a Worker) -> (HashMap<&'a str, u64>, f64) {
        let team = &self.jobs[id].body["crew"];
        let mut zones: HashMap<&str, u64> = HashMap::new();
        let mut used: f64 = 0.0;
        for o in self.other_workers(w).chain([w]) {
            for t in o.tasks.values().filter(|t| t.on_machine()) {
                let other = t.name.split('/').next().unwrap_or("");
                let Some(j) = self.jobs.get(other) else {
                    continue;
                };
                if other == id {
                    *zones.entry(&o.zone).or_default() += 1;
                }
                if j.body["crew"] == *team {
                    used += j.body["vcpus"].as_f64().unwrap_or(0.0);
                }
            }
        }
        (zones, used)
    }

    /// Checks that a controller launches no task of a job after its current incarnation has told a user that the job is
    /// cancelled.
    pub(super) fn check_launches(&mut self, node: usize, incarnation: u32, body: &Value) {
        for order in body["orders"].as_array().into_iter().flatten() {
            let task = order["piece"].as_str().unwrap_or("");
            let job = task.split('/').next().unwrap_or("").to_string();
            if order["verb"] == json!("launch")
                && self
                    .confirmed_cancellations
                    .contains(&(node, incarnation, job))
            {
                self.violations.push(format!(
                    "launched: {task} by n{node}, which has told a user that its job is cancelled"
                ));
            }
        }
    }

    /// Checks that the answer to a heartbeat launches no task of a job if the heartbeat was sent after a user was told
    /// that the job is cancelled. Such a launch cannot have been in transit when the user was told. A controller of the
    /// previous release tells its user while its announcement is still on its way to the leader.
    pub(super) fn check_launches_after_cancellation(&mut self, sent: u64, response: &Response) {
        let Some(announcement_delay) = self.max_announcement_delay() else {
            return;
        };
        let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        for order in body["orders"].as_array().into_iter().flatten() {
            let task = order["piece"].as_str().unwrap_or("");
            let job = self.jobs.get(task.split('/').next().unwrap_or(""));
            let told = job.and_then(|job| job.cancellation_confirmed_at);
            if order["verb"] == json!("launch")
                && let Some(told) = told.filter(|told| *told + announcement_delay < sent)
            {
                let late = (sent - told) / 1000;
                self.violations.push(format!(
                    "launched: {task}, for a heartbeat sent {late} ms after a user was told of the cancellation"
                ));
            }
        }
    }

    /// Checks that an answer to a worker launches no attempt that a leader has placed on another machine. A gang's task
    /// that has ended there may be placed here under the same number, and so may a task that a later leader, unlike a
    /// deposed one, knows to be lost.
    pub(super) fn check_launches_are_for(&mut self, worker: &str, response: &Response) {
        // The answer to a copy of a heartbeat reaches no worker.
        if worker.is_empty() {
            return;
        }
        let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        let orders = body["orders"].as_array().into_iter().flatten();
        for launch in orders.filter(|order| order["verb"] == json!("launch")) {
            let task = launch["piece"].as_str().unwrap_or("");
            let number = launch["try_no"].as_u64().unwrap_or(0);
            let (here, elsewhere): (Vec<_>, Vec<_>) = self
                .known_attempts(task, number)
                .into_iter()
                .partition(|known| known.machine == worker);
            let newest_term_here = here.iter().map(|known| known.term).max();
            for known in elsewhere {
                let required_term = known.term + u64::from(known.is_live);
                if newest_term_here.is_none_or(|term| term < required_term) {
                    let machine = known.machine;
                    self.violations.push(format!(
                        "misdirected: {task} reached {worker} instead of {machine}"
                    ));
                }
            }
        }
    }

    /// Returns what each controller knows of an attempt.
    fn known_attempts(&self, task: &str, number: u64) -> Vec<KnownAttempt> {
        let controllers = self.nodes.iter().filter_map(|n| n.controller.as_ref());
        let clusters = controllers.flat_map(Controller::clusters);
        let machines = clusters.flat_map(|cluster| {
            let machines = cluster.machines.values();
            machines.map(move |machine| (cluster.term, machine))
        });
        let mut known = Vec::new();
        for (term, machine) in machines {
            let attempts = machine.attempts.iter();
            let matching =
                attempts.filter(|(id, _)| id.number == number && id.task.to_string() == task);
            known.extend(matching.map(|(_, attempt)| KnownAttempt {
                term,
                machine: machine.id.to_string(),
                is_live: attempt.is_live(),
            }));
        }
        known
    }

    /// Sends the kept copies of heartbeats to every controller, within 2 s after a new term begins.
    pub(super) fn send_kept_copies(&mut self) {
        if self.faults.kept_copy_rate == 0.0 && self.kept_copies.is_empty() {
            return;
        }
        let term = self
            .state
            .value(LEADER_TERM_KEY)
            .and_then(|v| v["term"].as_u64())
            .unwrap_or(0);
        if term == std::mem::replace(&mut self.last_seen_term, term) {
            return;
        }
        for body in std::mem::take(&mut self.kept_copies) {
            for node in 0..self.nodes.len() {
                let soon = self.rng.random_range(0..2 * SECOND);
                self.schedule(
                    soon,
                    Event::HeartbeatCopy {
                        node: Some(node),
                        body: body.clone(),
                    },
                );
                self.counters.kept_copies_sent += 1;
            }
        }
    }

    /// Returns the free CPUs, GPUs and gigabytes of memory on a machine, computed from its tasks that have not ended.
    pub(super) fn free_resources(&self, w: &Worker) -> (f64, f64, f64) {
        let rigs = self.cloud.flavors["rigs"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let rig = rigs.iter().find(|r| r["label"] == w.flavor.as_str());
        let number = |v: &Value, f: &str| v[f].as_f64().unwrap_or(0.0);
        let size = |f: &str| rig.map_or(0.0, |r| number(r, f));
        let mut room = (size("vcpus"), size("cards"), size("mem_gb"));
        for t in w.tasks.values().filter(|t| !t.ended()) {
            let id = t.name.split('/').next().unwrap_or("");
            let Some(j) = self.jobs.get(id) else { continue };
            room.0 -= number(&j.body, "vcpus");
            room.1 -= number(&j.body, "cards");
            room.2 -= number(&j.body, "mem_gb");
        }
        room
    }

    /// Whether there is free capacity for this job now, on machines that it allows and under its team's limit: for one
    /// task if the job is an array, otherwise for all tasks.
    pub(super) fn has_capacity_for(&self, body: &Value) -> bool {
        let number = |f: &str| body[f].as_f64().unwrap_or(0.0);
        let need = (number("vcpus"), number("cards"), number("mem_gb"));
        let tasks = body["pieces"].as_u64().unwrap_or(1);
        let wanted = if body["shape"] == "array" { 1 } else { tasks };
        let allowed = |field: &str, value: &str| match &body[field] {
            Value::Array(list) => list.iter().any(|v| v == value),
            Value::String(s) => s == value,
            _ => true,
        };
        let mut used = need.0 * wanted as f64;
        let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
        for w in self.workers.values() {
            for t in w.tasks.values().filter(|t| !t.ended()) {
                let other = self.jobs.get(t.name.split('/').next().unwrap_or(""));
                let same = other.filter(|o| o.body["crew"] == body["crew"]);
                used += same.map_or(0.0, |o| o.body["vcpus"].as_f64().unwrap_or(0.0));
            }
            let up = !w.is_unresponsive(self.now) && !w.preemption_notice && !w.faulty;
            let kind = !w.spot || body["loaners"] == json!(true);
            if !up || !kind || !allowed("rigs", &w.flavor) || !allowed("yard", &w.zone) {
                continue;
            }
            let mut room = self.free_resources(w);
            while room.0 >= need.0 && room.1 >= need.1 && room.2 >= need.2 {
                room = (room.0 - need.0, room.1 - need.1, room.2 - need.2);
                let here = zones.entry(&w.zone).or_default();
                *here += 1;
                if *here >= wanted {
                    break;
                }
            }
        }
        let limit = self.min_possible_limit(body["crew"].as_str().unwrap_or(""));
        let half = wanted.div_ceil(2);
        let fits = match (
            body["together"] == json!(true),
            body["scatter"] == json!(true),
        ) {
            (true, _) => zones.values().any(|n| *n >= wanted),
            (_, true) => zones.values().map(|n| (*n).min(half)).sum::<u64>() >= wanted,
            _ => zones.values().sum::<u64>() >= wanted,
        };
        fits && used <= limit + 1e-6
    }

    /// Checks that after the end of all faults no job waits for 90 s while there is free capacity for it.
    pub(super) fn check_waiting(&mut self) {
        if self.answers_expected_since == 0 {
            return;
        }
        let begun: HashSet<String> = self
            .workers
            .values()
            .flat_map(|w| w.tasks.keys())
            .chain(&self.completed_tasks)
            .map(|t| t.split('/').next().unwrap_or("").to_string())
            .collect();
        for id in self.jobs.keys().cloned().collect::<Vec<_>>() {
            let chain = self.job_and_upstream(&id);
            let released = chain
                .iter()
                .filter(|u| **u != id)
                .all(|u| self.completed(u));
            let cancel_asked = chain
                .iter()
                .any(|u| self.jobs.get(u).is_some_and(|j| j.cancel_asked));
            let j = &self.jobs[&id];
            let waits = j.accepted.is_some()
                && !cancel_asked
                && released
                && !begun.contains(&id)
                && j.body["jobclass"] != "broken";
            let idle = waits && self.has_capacity_for(&j.body);
            let now = self.now;
            let Some(j) = self.jobs.get_mut(&id) else {
                continue;
            };
            match (idle, j.idle_since) {
                (false, _) => j.idle_since = None,
                (true, None) => j.idle_since = Some(now),
                (true, Some(t)) if now == t + 90 * SECOND => {
                    self.violations.push(format!(
                        "left waiting: {id}, although there is free capacity for it"
                    ));
                }
                _ => {}
            }
        }
    }

    /// Checks that each leader's index of free capacity agrees with its machine state, and checks the shard records.
    pub(super) fn check_index(&mut self) {
        let leading = self
            .nodes
            .iter()
            .filter_map(|n| n.controller.as_ref()?.cluster());
        self.violations
            .extend(leading.flat_map(|c| c.index_inconsistencies()));
        self.check_shards();
    }

    /// Checks that no machine is in the stored records of two shards, and that the stored partitions of each team's
    /// limit do not add up to more than the limit.
    pub(super) fn check_shards(&mut self) {
        let mut seen: HashMap<String, String> = HashMap::new();
        let shard_of = |key: &str| key.split('/').nth(2).unwrap_or("").to_string();
        for key in self.state.keys("gh/block/") {
            let machines = self.state.value(&key).map(|v| v["machines"].clone());
            let machines = machines.as_ref().and_then(Value::as_object).cloned();
            for name in machines.into_iter().flatten().map(|m| m.0) {
                let other = seen.insert(name.clone(), shard_of(&key));
                if other.as_ref().is_some_and(|o| *o != shard_of(&key)) {
                    self.violations
                        .push(format!("held twice: {name} in {other:?} and {key}"));
                }
            }
        }
        let mut sums: HashMap<String, i64> = HashMap::new();
        for key in self.state.keys("gh/allot/") {
            let teams = self.state.value(&key).map(|v| v["teams"].clone());
            for (team, part) in teams
                .as_ref()
                .and_then(Value::as_object)
                .into_iter()
                .flatten()
            {
                *sums.entry(team.clone()).or_default() += part["cpu"].as_i64().unwrap_or(0);
            }
        }
        for team in &self.settings[0].teams {
            let sum = sums.get(&team.name).copied().unwrap_or(0);
            if sum > team.limit.cpu {
                self.violations.push(format!(
                    "allotted: partitions of {sum} millicores exceed the limit of {}",
                    team.name
                ));
            }
        }
    }

    /// Whether the state service holds this task of a live job as done.
    pub(super) fn is_stored_as_done(&self, id: &str, index: u32) -> bool {
        let part = index / TASKS_PER_PART;
        let values = [
            (format!("gh/live/{id}"), 0),
            (format!("gh/part/{id}/{part}"), part),
        ];
        values.iter().any(|(key, part)| {
            let text = self.state.value(key).and_then(|v| v["done"].as_str());
            let mut done = TaskSet::default();
            decode_done_part(text.unwrap_or(""), *part, &mut done);
            done.contains(index)
        })
    }

    /// Checks that the number of finished tasks in a stored part of a job never decreases, until the part is deleted
    /// with the job.
    pub(super) fn check_stored_completions(&mut self) {
        let mut parts = HashMap::new();
        for key in self.state.keys("gh/part/") {
            let index = key
                .rsplit('/')
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(0);
            let mut done = TaskSet::default();
            let text = self
                .state
                .value(&key)
                .and_then(|v| v["done"].as_str())
                .unwrap_or("");
            decode_done_part(text, index, &mut done);
            parts.insert(key, done.len() as usize);
        }
        for (key, before) in std::mem::take(&mut self.stored_done_counts) {
            if parts.get(&key).is_some_and(|now| *now < before) {
                self.violations.push(format!(
                    "lost: {key} had {before} finished tasks and now has {}",
                    parts[&key]
                ));
            }
        }
        self.stored_done_counts = parts;
    }

    /// Checks that tasks of cancelled jobs are gone from all machines by the cancellation deadline, including machines
    /// that hung and resumed.
    pub fn check_cancelled(&mut self) {
        let mut violations = Vec::new();
        let mut ran_on = 0;
        for w in self.workers.values().filter(|w| !w.tasks_stopped(self.now)) {
            for t in w.tasks.values().filter(|t| t.on_machine()) {
                let id = t.name.split('/').next().unwrap_or("");
                let told = self.jobs.get(id).and_then(|j| j.cancellation_confirmed_at);
                ran_on += usize::from(told.is_some());
                if told.is_some_and(|at| self.now > at + CANCEL_DEADLINE) {
                    violations.push(format!("ran_cancelled: {} is still on {}", t.name, w.name));
                }
            }
        }
        self.counters.cancelled_task_seconds += ran_on;
        self.violations.extend(violations);
    }

    /// Checks that a controller's answer obeys the rules for leaders: a leader answers no worker after a higher leader
    /// term is stored, and launches no task of a job that it told a user is cancelled.
    pub(super) fn check_reply(
        &mut self,
        node: usize,
        incarnation: u32,
        response: &Response,
        leading_term: Option<u64>,
        owned_terms: &[u64],
    ) {
        let last = self
            .state
            .value(LEADER_TERM_KEY)
            .and_then(|v| v["term"].as_u64());
        let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        let acts = leading_term.is_some() && body["baton"].as_u64() == leading_term;
        if response.status == 200 && acts && last > leading_term {
            let late = format!(
                "acted: leader of {leading_term:?} answered a worker while term {last:?} is stored"
            );
            self.violations.push(late);
        }
        // An answer with another term is relayed: the launches in it were decided by another controller.
        if body["baton"]
            .as_u64()
            .is_some_and(|term| owned_terms.contains(&term))
        {
            self.check_launches(node, incarnation, &body);
        }
    }

    /// Ends a test: checks that no invariant was broken, that at least one task ran, that every job was accepted or
    /// cancelled, and that after the end of all faults no accepted job went without an answer for 75 s.
    pub fn finish(mut self) {
        self.check_cancelled();
        assert_eq!(self.violations, Vec::<String>::new());
        assert!(self.starts > 0, "no task ran");
        // The first status that a user is told of a job may be that it is cancelled, if it was cancelled at once.
        let untold = |j: &UserJob| j.accepted.is_none() && j.cancellation_confirmed_at.is_none();
        let untold: Vec<&String> = self
            .jobs
            .iter()
            .filter(|(_, j)| untold(j))
            .map(|(id, _)| id)
            .collect();
        assert!(untold.is_empty(), "never accepted: {untold:?}");
        if self.answers_expected_since > 0 {
            let quiet = |j: &UserJob| self.now - j.answered.max(self.answers_expected_since);
            let quiet = self
                .jobs
                .values()
                .map(quiet)
                .max()
                .unwrap_or(0)
                .max(self.unanswered);
            assert!(
                quiet < 75 * SECOND,
                "a job got no answer for {} s",
                quiet / SECOND
            );
        }
    }
}
