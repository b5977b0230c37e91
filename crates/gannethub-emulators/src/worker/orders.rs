//! Orders that a simulated worker executes.

use serde_json::Value;

use super::{Environment, Phase, Task, Worker, job_id_of_task};
use crate::SECOND;

impl Worker {
    /// Executes an order from an answer or from a direct command.
    pub(super) fn execute(&mut self, environment: &mut dyn Environment, order: &Value) {
        let name = order["piece"].as_str().unwrap_or("");
        let attempt = order["try_no"].as_u64().unwrap_or(0);
        match order["verb"].as_str().unwrap_or("") {
            "launch" => self.launch(environment, name, attempt),
            "halt" => {
                let grace = order["wind_down_s"].as_f64().unwrap_or(0.0);
                self.halt(environment, name, attempt, grace);
            }
            _ => self.forget(environment, name, attempt),
        }
        self.send_heartbeat_soon(environment.now());
    }

    /// Starts a task, unless the worker holds this attempt in any state or another attempt that has not ended.
    fn launch(&mut self, environment: &mut dyn Environment, name: &str, attempt: u64) {
        let existing = self.tasks.get(name);
        if existing.is_some_and(|task| task.attempt == attempt) {
            return;
        }
        let Some(facts) = environment.job(job_id_of_task(name)) else {
            return;
        };
        // Another attempt of the task is replaced if it has ended. Otherwise the launch is refused.
        if existing.is_some_and(|task| !task.ended()) {
            return;
        }
        let task = Task {
            name: name.to_string(),
            attempt,
            phase: Phase::Fetching,
            phase_ends_at: environment.now() + environment.fetch_time(self, name),
            gang: facts.gang,
            service: facts.service,
            broken: facts.broken,
            peers_missing_since: None,
            checkpoint_saved: false,
        };
        self.tasks.insert(name.to_string(), task);
    }

    /// Stops a task, which saves a checkpoint if `grace`, in seconds, is long enough.
    fn halt(&mut self, environment: &mut dyn Environment, name: &str, attempt: u64, grace: f64) {
        let facts = environment.job(job_id_of_task(name));
        let save = facts.map_or(0, |facts| facts.save);
        let task = self.tasks.get_mut(name);
        let Some(task) = task.filter(|task| task.attempt == attempt) else {
            return;
        };
        let saves = save > 0 && grace * SECOND as f64 >= save as f64;
        match task.phase {
            Phase::Ended(_) => {}
            Phase::Running if saves => {
                task.phase = Phase::Saving;
                task.phase_ends_at = environment.now() + save;
            }
            Phase::Saving if grace > 0.0 => {}
            _ => task.end("stopped"),
        }
    }

    /// Forgets an attempt that has ended.
    fn forget(&mut self, environment: &mut dyn Environment, name: &str, attempt: u64) {
        let existing = self.tasks.get(name);
        if !existing.is_some_and(|task| task.attempt == attempt && task.ended()) {
            return;
        }
        let ended = self.tasks.remove(name);
        if ended.is_some_and(|task| task.phase == Phase::Ended("done")) {
            environment.on_task_forgotten(name);
        }
    }
}
