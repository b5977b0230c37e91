//! The environment of simulated workers, and the facts about jobs that it knows.

use super::Worker;
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
