//! The command line of a run, and the check whether this machine is large enough for the run.

use std::path::PathBuf;

use clap::Args;
use serde::Serialize;

use crate::load::Load;
use crate::process::machine_memory;

/// Maximum number of processes of a run, including the tasks of real workers.
const MAX_PROCESSES: usize = 300;
/// Maximum number of hollow workers in one process.
pub const HOLLOW_PER_PROCESS: usize = 300;
/// Maximum number of hollow workers in the process that a rack fault ends.
const RACK_WORKERS: usize = 40;
/// Minimum number of real workers in a run with [`MIN_WORKERS_WITH_REAL`] workers or more, so that the run can be
/// relied on.
const MIN_REAL_WORKERS: usize = 8;
/// Number of workers from which a run needs [`MIN_REAL_WORKERS`] real workers.
const MIN_WORKERS_WITH_REAL: usize = 100;
/// Expected memory of a controller in bytes, from measured runs.
const CONTROLLER_BYTES: u64 = 64 << 20;
/// Expected memory in the leader for each worker in bytes, from measured runs.
const LEADER_WORKER_BYTES: u64 = 48 << 10;
/// Expected memory of a hollow worker in bytes, from measured runs.
const HOLLOW_WORKER_BYTES: u64 = 96 << 10;
/// Expected memory for each running task in bytes, summed over all processes, from measured runs.
const TASK_BYTES: u64 = 4 << 10;
/// Expected memory of each process in bytes, from measured runs.
const PROCESS_BYTES: u64 = 8 << 20;

#[derive(Args, Clone, Debug, Serialize)]
#[command(after_help = "Examples:
  gannethub-scale run --workers 500 --starts 110 --running 6500 --report small.json
  gannethub-scale run --workers 4500 --starts 990 --teams 300 --zones 12 --controllers 12 --seconds 180 --seed 1 \\
      --report docs/capacity/full.json")]
pub struct RunOptions {
    /// Number of workers for which the cloud has machines
    #[arg(long, default_value_t = 500)]
    pub workers: usize,
    /// Task starts per second that the load causes
    #[arg(long, default_value_t = 110.0)]
    pub starts: f64,
    /// Number of tasks running at once; by default the task starts of 59 s
    #[arg(long)]
    pub running: Option<f64>,
    #[arg(long, default_value_t = 4)]
    pub teams: usize,
    #[arg(long, default_value_t = 3)]
    pub zones: usize,
    /// Number of tasks of the largest gangs
    #[arg(long, default_value_t = 128)]
    pub gang: u32,
    #[arg(long, default_value_t = 5)]
    pub controllers: usize,
    /// Duration of the load, in seconds
    #[arg(long, default_value_t = 120)]
    pub seconds: u64,
    /// Time at the start of the load that is not measured, in seconds, since machines still boot and the number of
    /// running tasks still grows
    #[arg(long, default_value_t = 75)]
    pub warm_up: u64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of real workers: each is a process of its own, and so is each of its tasks
    #[arg(long, default_value_t = 8)]
    pub real: usize,
    /// The load file; by default the built-in load of the target
    #[arg(long)]
    pub load: Option<PathBuf>,
    /// The program of the controllers
    #[arg(long, default_value = "target/release/gannethub")]
    pub program: PathBuf,
    /// Write the report to this file
    #[arg(long)]
    pub report: Option<PathBuf>,
    /// Inject a fault: a hollow worker reports the start of a task that another worker runs
    #[arg(long)]
    pub pretend: bool,
    /// Keep the controllers' settings and logs
    #[arg(long)]
    pub keep: bool,
}

/// The reason why a run cannot be made on this machine.
#[derive(Debug, thiserror::Error)]
pub enum SizeError {
    #[error("--{option}: {reason}")]
    Option {
        option: &'static str,
        reason: String,
    },
    #[error(
        "--workers, --running: {needed} MB would be needed, more than half of this machine's {total} MB"
    )]
    Memory { needed: u64, total: u64 },
    #[error(
        "--workers, --controllers, --real: {needed} processes would be needed, more than {limit}"
    )]
    Processes { needed: usize, limit: usize },
}

impl RunOptions {
    /// Returns the requested number of running tasks.
    pub fn tasks_running(&self) -> f64 {
        self.running.unwrap_or(self.starts * 59.0)
    }

    /// Returns the number of hollow workers in the rack, the process that a rack fault ends.
    pub fn rack_workers(&self) -> usize {
        RACK_WORKERS.min(self.workers / 5)
    }

    /// Returns the number of processes with hollow workers. The last process is the rack.
    pub fn hollow_processes(&self) -> usize {
        let others = self.workers.saturating_sub(self.real + self.rack_workers());
        others.div_ceil(HOLLOW_PER_PROCESS) + 1
    }

    /// Returns the maximum number of processes of the run.
    fn max_processes(&self, load: &Load) -> usize {
        let tasks = self.real * load.max_tasks_per_machine();
        // The three other processes are the driver, the state service and the cloud.
        3 + self.controllers + self.hollow_processes() + self.real + tasks
    }

    /// Returns the expected memory of the run, in bytes.
    fn expected_memory(&self, load: &Load) -> u64 {
        let (workers, controllers) = (self.workers as u64, self.controllers as u64);
        controllers * CONTROLLER_BYTES
            + workers * (LEADER_WORKER_BYTES + HOLLOW_WORKER_BYTES)
            + self.tasks_running() as u64 * TASK_BYTES
            + self.max_processes(load) as u64 * PROCESS_BYTES
    }

    /// Returns an error if an option is invalid or this machine is too small for the run. Must be called before any
    /// process is started.
    pub fn check(&self, load: &Load) -> Result<(), SizeError> {
        let invalid = |option, reason: String| Err(SizeError::Option { option, reason });
        if self.workers < 10 || self.workers <= self.real + self.rack_workers() {
            let reason = format!(
                "{} is too few with {} real workers",
                self.workers, self.real
            );
            return invalid("workers", reason);
        }
        if self.workers >= MIN_WORKERS_WITH_REAL && self.real < MIN_REAL_WORKERS {
            let reason = format!(
                "at least {MIN_REAL_WORKERS} are required with {MIN_WORKERS_WITH_REAL} workers or more"
            );
            return invalid("real", reason);
        }
        if !(self.starts > 0.0 && self.starts.is_finite()) {
            return invalid("starts", "must be above zero".into());
        }
        if self.running.is_some_and(|r| r.is_nan() || r <= 0.0) {
            return invalid("running", "must be above zero".into());
        }
        if self.teams == 0 || self.zones == 0 {
            return invalid(
                "teams",
                "at least one team and one zone are required".into(),
            );
        }
        if !(1..=32).contains(&self.controllers) {
            return invalid("controllers", "must be from 1 to 32".into());
        }
        if self.warm_up >= self.seconds {
            return invalid(
                "warm-up",
                format!("must be shorter than the load of {} s", self.seconds),
            );
        }
        if !self.program.is_file() {
            let path = self.program.display();
            return invalid(
                "program",
                format!("{path} does not exist; build it with `cargo build --release`"),
            );
        }
        let needed = self.max_processes(load);
        if needed > MAX_PROCESSES {
            return Err(SizeError::Processes {
                needed,
                limit: MAX_PROCESSES,
            });
        }
        let (needed, total) = (
            self.expected_memory(load),
            machine_memory().unwrap_or(u64::MAX),
        );
        if needed > total / 2 {
            return Err(SizeError::Memory {
                needed: needed >> 20,
                total: total >> 20,
            });
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
