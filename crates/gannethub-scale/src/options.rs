//! The command line of a run, and whether this machine can carry it.

use std::path::PathBuf;

use clap::Args;
use serde::Serialize;

use crate::load::Load;
use crate::process::machine_memory;

/// Processes that a run may have, tasks of real workers included.
const MOST_PROCESSES: usize = 300;
/// Hollow workers in a process, and in the one that a rack's fault ends.
pub const HOLLOW_IN_A_PROCESS: usize = 300;
const RACK: usize = 40;
/// The least number of real workers, where there are so many that a run is to be relied on.
const LEAST_REAL: usize = 8;
const SMALL: usize = 100;
/// Memory that a run is expected to take, from measured runs: for each controller, for each worker in the leader, for
/// each hollow worker, for each running task in all processes, and for each process, in bytes.
const CONTROLLER_BYTES: u64 = 64 << 20;
const LEADER_WORKER_BYTES: u64 = 48 << 10;
const HOLLOW_BYTES: u64 = 96 << 10;
const TASK_BYTES: u64 = 4 << 10;
const PROCESS_BYTES: u64 = 8 << 20;

#[derive(Args, Clone, Debug, Serialize)]
#[command(after_help = "Examples:
  gannethub-scale run --workers 500 --starts 110 --running 6500 --report small.json
  gannethub-scale run --workers 4500 --starts 990 --teams 300 --zones 12 --controllers 12 --seconds 180 --seed 1 \\
      --report docs/capacity/full.json")]
pub struct RunOptions {
    /// Workers that the cloud has machines for
    #[arg(long, default_value_t = 500)]
    pub workers: usize,
    /// Task starts a second that the load brings
    #[arg(long, default_value_t = 110.0)]
    pub starts: f64,
    /// Tasks running at once; where not given, 59 s of starts
    #[arg(long)]
    pub running: Option<f64>,
    #[arg(long, default_value_t = 4)]
    pub teams: usize,
    #[arg(long, default_value_t = 3)]
    pub zones: usize,
    /// Tasks of the largest gangs
    #[arg(long, default_value_t = 128)]
    pub gang: u32,
    #[arg(long, default_value_t = 5)]
    pub controllers: usize,
    /// How long the load lasts
    #[arg(long, default_value_t = 120)]
    pub seconds: u64,
    /// How much of it is not measured, since machines still boot and tasks still become more
    #[arg(long, default_value_t = 75)]
    pub warm_up: u64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Workers that are processes of their own, each task a process
    #[arg(long, default_value_t = 8)]
    pub real: usize,
    /// The load file; the target's own where none is named
    #[arg(long)]
    pub load: Option<PathBuf>,
    /// The controllers' program
    #[arg(long, default_value = "target/release/gannethub")]
    pub program: PathBuf,
    /// Write the report to this file
    #[arg(long)]
    pub report: Option<PathBuf>,
    /// Put a fault in on purpose: a hollow worker says that it started a task which another runs
    #[arg(long)]
    pub pretend: bool,
    /// Keep the controllers' settings and logs
    #[arg(long)]
    pub keep: bool,
}

/// Why a run cannot be made on this machine.
#[derive(Debug, thiserror::Error)]
pub enum SizeError {
    #[error("--{option}: {reason}")]
    Option {
        option: &'static str,
        reason: String,
    },
    #[error(
        "--workers, --running: {wanted} MB would be needed, over half of this machine's {has} MB"
    )]
    Memory { wanted: u64, has: u64 },
    #[error("--workers, --controllers, --real: {wanted} processes would be needed, over {most}")]
    Processes { wanted: usize, most: usize },
}

impl RunOptions {
    /// The wanted number of running tasks.
    pub fn tasks_running(&self) -> f64 {
        self.running.unwrap_or(self.starts * 59.0)
    }

    /// Hollow workers that are a rack's: their process may end.
    pub fn rack(&self) -> usize {
        RACK.min(self.workers / 5)
    }

    /// Processes with hollow workers; the last one is a rack's.
    pub fn hollow_processes(&self) -> usize {
        let others = self.workers.saturating_sub(self.real + self.rack());
        others.div_ceil(HOLLOW_IN_A_PROCESS) + 1
    }

    /// How many processes the run has at the most.
    fn processes(&self, load: &Load) -> usize {
        let tasks = self.real * load.tasks_a_machine();
        // The driver, the state service and the cloud.
        3 + self.controllers + self.hollow_processes() + self.real + tasks
    }

    /// How much memory it is expected to take, in bytes.
    fn memory(&self, load: &Load) -> u64 {
        let (workers, controllers) = (self.workers as u64, self.controllers as u64);
        controllers * CONTROLLER_BYTES
            + workers * (LEADER_WORKER_BYTES + HOLLOW_BYTES)
            + self.tasks_running() as u64 * TASK_BYTES
            + self.processes(load) as u64 * PROCESS_BYTES
    }

    /// Refuses what cannot be, before anything is started.
    pub fn check(&self, load: &Load) -> Result<(), SizeError> {
        let wrong = |option, reason: String| Err(SizeError::Option { option, reason });
        if self.workers < 10 || self.workers <= self.real + self.rack() {
            let reason = format!(
                "{} are too few beside {} real ones",
                self.workers, self.real
            );
            return wrong("workers", reason);
        }
        if self.workers >= SMALL && self.real < LEAST_REAL {
            let reason = format!("at least {LEAST_REAL} from {SMALL} workers on");
            return wrong("real", reason);
        }
        if !(self.starts > 0.0 && self.starts.is_finite()) {
            return wrong("starts", "must be above zero".into());
        }
        if self.running.is_some_and(|r| r.is_nan() || r <= 0.0) {
            return wrong("running", "must be above zero".into());
        }
        if self.teams == 0 || self.zones == 0 {
            return wrong("teams", "at least one team and one zone".into());
        }
        if !(1..=32).contains(&self.controllers) {
            return wrong("controllers", "from 1 to 32".into());
        }
        if self.warm_up >= self.seconds {
            return wrong(
                "warm-up",
                format!("leaves nothing of {} s to measure", self.seconds),
            );
        }
        if !self.program.is_file() {
            let path = self.program.display();
            return wrong(
                "program",
                format!("there is no {path}; cargo build --release makes it"),
            );
        }
        let wanted = self.processes(load);
        if wanted > MOST_PROCESSES {
            return Err(SizeError::Processes {
                wanted,
                most: MOST_PROCESSES,
            });
        }
        let (wanted, has) = (self.memory(load), machine_memory().unwrap_or(u64::MAX));
        if wanted > has / 2 {
            return Err(SizeError::Memory {
                wanted: wanted >> 20,
                has: has >> 20,
            });
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
