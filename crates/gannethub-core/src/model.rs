//! The nouns that every module shares: times, resources, machine types, teams, jobs, tasks and attempts.

mod task_set;

use std::fmt;
use std::ops::{AddAssign, Sub, SubAssign};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use self::task_set::TaskSet;

/// A time or a duration in whole microseconds.
pub type Micros = u64;

/// One millisecond.
pub const MILLISECOND: Micros = 1000;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// Seconds from the wire as microseconds. What is no time, as a negative or infinite number, becomes zero; huge
/// values saturate.
pub fn micros_from_seconds(seconds: f64) -> Micros {
    if seconds.is_finite() && seconds > 0.0 {
        (seconds * SECOND as f64).round() as Micros
    } else {
        0
    }
}

/// Microseconds as seconds, for a wire or a policy.
pub fn seconds_from_micros(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

/// A job's id, as its user chose it: see [`is_valid_job_id`].
pub type JobId = Arc<str>;

/// A machine's name, as the cloud gave it.
pub type MachineId = Arc<str>;

/// Whether `id` has the one form that job ids take.
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|n| (1..=18).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

/// A task: its job and its index in the job, from zero.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl TaskId {
    /// Reads the form that workers use, as in `j-000412/3`. `None`: that is no task's name.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.rsplit_once('/')?;
        if !is_valid_job_id(job) {
            return None;
        }
        Some(TaskId {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// One attempt at running a task, on one machine. All tasks of a gang that are started together share the number.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct AttemptId {
    pub task: TaskId,
    pub number: u64,
}

impl AttemptId {
    /// The attempt of this number at a job's task of this index.
    pub fn new(job: JobId, index: u32, number: u64) -> AttemptId {
        let task = TaskId { job, index };
        AttemptId { task, number }
    }
}

/// Amounts of CPU, GPU and memory, in thousandths of a CPU, of a GPU and of a GB.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default, Serialize, Deserialize)]
pub struct Resources {
    pub cpu: i64,
    pub gpu: i64,
    #[serde(rename = "mem")]
    pub memory: i64,
}

impl Resources {
    /// Amounts in whole CPUs, GPUs and GB, as the wire has them.
    pub fn new(cpus: f64, gpus: f64, mem_gb: f64) -> Resources {
        let milli = |amount: f64| (amount * 1000.0).round() as i64;
        Resources {
            cpu: milli(cpus),
            gpu: milli(gpus),
            memory: milli(mem_gb),
        }
    }

    /// Whether `self` fits into `free`.
    pub fn fits(&self, free: &Resources) -> bool {
        self.cpu <= free.cpu && self.gpu <= free.gpu && self.memory <= free.memory
    }

    /// How many of `self` fit into `free`: `i64::MAX` if `self` is nothing at all.
    pub fn count_in(&self, free: &Resources) -> i64 {
        let count = |amount: i64, free: i64| match amount {
            1.. => free.max(0) / amount,
            _ => i64::MAX,
        };
        count(self.cpu, free.cpu)
            .min(count(self.gpu, free.gpu))
            .min(count(self.memory, free.memory))
    }

    /// So many times the amounts. A negative factor gives them back, huge results saturate.
    pub fn scaled_by(&self, factor: i64) -> Resources {
        Resources {
            cpu: self.cpu.saturating_mul(factor),
            gpu: self.gpu.saturating_mul(factor),
            memory: self.memory.saturating_mul(factor),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cpu += other.cpu;
        self.gpu += other.gpu;
        self.memory += other.memory;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        self.cpu -= other.cpu;
        self.gpu -= other.gpu;
        self.memory -= other.memory;
    }
}

impl Sub for Resources {
    type Output = Resources;

    fn sub(mut self, other: Resources) -> Resources {
        self -= other;
        self
    }
}

/// A machine type that the cloud rents out.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    pub name: Arc<str>,
    /// The capacity of each of its machines.
    pub size: Resources,
    /// The price of an hour on demand.
    pub price: f64,
    /// The price of an hour on the spot market.
    pub spot_price: f64,
    /// How long its machines usually take to boot.
    pub boot_time: Micros,
    /// How fast its machines fetch images.
    pub fetch_gb_per_s: f64,
    /// The zones in which it is offered.
    pub zones: Vec<String>,
}

impl MachineType {
    /// The price of an hour.
    pub fn price_of(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}

/// A limit of this amount is no limit.
pub const UNLIMITED: i64 = i64::MAX / 4;

/// A team's guarantee and limit, which count CPUs and GPUs only. A guarantee of zero is no guarantee, and a team
/// without a limit has one of [`UNLIMITED`].
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    pub name: String,
    /// What the team gets before others that are above their guarantees.
    pub guarantee: Resources,
    /// What the team may use at most.
    pub limit: Resources,
    /// It was removed: it gets no new jobs, and those it has finish within its last limit.
    pub closed: bool,
}

impl Team {
    /// Whether `used` plus `more` stays within `bound` (CPU and GPU).
    pub fn within(bound: &Resources, used: &Resources, more: &Resources) -> bool {
        used.cpu + more.cpu <= bound.cpu && used.gpu + more.gpu <= bound.gpu
    }
}

/// How the tasks of a job belong together.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum Shape {
    /// Tasks that run on their own and may run at any time.
    Array,
    /// Tasks that only run all at once.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// How urgent a job is; a later variant is served before an earlier one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub enum Priority {
    Low,
    Normal,
    High,
    Production,
}

/// What a user submitted, as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The kind of work, as its user names it: jobs of a class are expected to behave alike.
    pub class: String,
    pub team: String,
    pub shape: Shape,
    pub priority: Priority,
    /// How many tasks it has.
    pub tasks: u32,
    /// What each task needs.
    #[serde(rename = "need")]
    pub resources: Resources,
    /// The image that each task runs.
    pub image: String,
    #[serde(rename = "image_gb")]
    pub image_size_gb: f64,
    /// The machine types that its tasks may run on. `None`: any.
    #[serde(rename = "types")]
    pub machine_types: Option<Vec<String>>,
    /// The zone that its tasks have to run in. `None`: any.
    pub zone: Option<String>,
    /// All tasks have to run in the same zone.
    #[serde(rename = "one_zone")]
    pub single_zone: bool,
    /// No zone may have more than half of the tasks.
    pub spread: bool,
    /// It may run on spot machines.
    pub spot: bool,
    /// How long a task runs, as its user estimates.
    #[serde(rename = "estimate")]
    pub run_time_estimate: Micros,
    /// How often a task saves its progress. Zero: it cannot.
    #[serde(rename = "checkpoint_every")]
    pub checkpoint_interval: Micros,
    /// How long a task takes to save its progress.
    #[serde(rename = "save")]
    pub save_time: Micros,
    /// How long after its acceptance the job has to be done.
    pub deadline: Option<Micros>,
}

impl JobSpec {
    /// Whether a machine of this type and zone may run the job's tasks at all.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        let allows_type = |types: &Vec<String>| types.iter().any(|allowed| allowed == machine_type);
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|allowed| allowed == zone)
            && self.machine_types.as_ref().is_none_or(allows_type)
    }

    /// Whether it matters to the zones of its other tasks where one of its tasks is.
    pub fn is_zone_constrained(&self) -> bool {
        self.single_zone || self.spread
    }

    /// The most tasks that may share a zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            u32::MAX
        }
    }
}

#[cfg(test)]
mod tests;
