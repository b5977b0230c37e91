//! Basic types shared by all modules: times, resources, machine types, teams, jobs, tasks and attempts.

mod task_set;

use std::fmt;
use std::ops::{AddAssign, Sub, SubAssign};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use self::task_set::TaskSet;

/// A time or a duration in whole microseconds.
pub type Micros = u64;

pub const MILLISECOND: Micros = 1000;

pub const SECOND: Micros = 1_000_000;

/// Converts seconds from the wire to microseconds. A value that is not a valid time, such as a negative or an
/// infinite number, becomes zero. Huge values saturate.
pub fn micros_from_seconds(seconds: f64) -> Micros {
    if seconds.is_finite() && seconds > 0.0 {
        (seconds * SECOND as f64).round() as Micros
    } else {
        0
    }
}

/// Converts microseconds to seconds, for the wire or a policy.
pub fn seconds_from_micros(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

/// A job's id, chosen by its user; see [`is_valid_job_id`] for the format.
pub type JobId = Arc<str>;

/// A machine's name, assigned by the cloud.
pub type MachineId = Arc<str>;

/// Whether `id` has the format of a job id: `j-` and 1 to 18 digits.
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|n| (1..=18).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

/// Id of a task: its job and its index in the job, counted from zero.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl TaskId {
    /// Parses the form that workers use, as in `j-000412/3`. Returns `None` if the text is not a valid task id.
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

/// Id of one attempt to run a task on one machine. All tasks of a gang that are started together share the attempt
/// number.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct AttemptId {
    pub task: TaskId,
    pub number: u64,
}

impl AttemptId {
    /// Creates the id of the attempt with this number at the job's task with this index.
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
    /// Creates amounts from CPUs, GPUs and GB, the units used on the wire.
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

    /// Returns how many times `self` fits into `free`, or `i64::MAX` if `self` is zero in all amounts.
    pub fn times_fitting_in(&self, free: &Resources) -> i64 {
        let count = |amount: i64, free: i64| match amount {
            1.. => free.max(0) / amount,
            _ => i64::MAX,
        };
        count(self.cpu, free.cpu)
            .min(count(self.gpu, free.gpu))
            .min(count(self.memory, free.memory))
    }

    /// Returns the amounts multiplied by `factor`. A negative factor turns an addition of the result into a
    /// subtraction. Huge results saturate.
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

/// A machine type that the cloud offers.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    pub name: Arc<str>,
    /// Capacity of each machine of the type.
    pub capacity: Resources,
    /// Price of an on-demand machine for one hour.
    pub price: f64,
    /// Price of a spot instance for one hour.
    pub spot_price: f64,
    /// Usual boot time of a machine of the type.
    pub boot_time: Micros,
    /// Rate at which a machine of the type fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Zones in which the cloud offers the type.
    pub zones: Vec<String>,
}

impl MachineType {
    /// Returns the price of one hour on a spot instance or an on-demand machine.
    pub fn price_of(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}

/// Amount of a limit that has no effect.
pub const UNLIMITED: i64 = i64::MAX / 4;

/// A team with its guarantee and limit, which apply to CPUs and GPUs only. A guarantee of zero is no guarantee. A
/// team without a limit has a limit of [`UNLIMITED`].
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    pub name: String,
    /// Amount that the team gets before teams that are above their guarantees.
    pub guarantee: Resources,
    /// Maximum amount that the team may use.
    pub limit: Resources,
    /// Whether the team was removed. A removed team gets no new jobs, and its existing jobs finish within its last
    /// limit.
    pub is_removed: bool,
}

impl Team {
    /// Whether the CPUs and GPUs of `used` plus `more` stay within `bound`.
    pub fn fits_within(bound: &Resources, used: &Resources, more: &Resources) -> bool {
        used.cpu + more.cpu <= bound.cpu && used.gpu + more.gpu <= bound.gpu
    }
}

/// Relation between the tasks of a job.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks, which may run at any time.
    Array,
    /// Tasks that have to run all at the same time.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// Urgency of a job. A later variant is served before an earlier one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub enum Priority {
    Low,
    Normal,
    High,
    Production,
}

/// Description of a job as its user submitted it and as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Kind of work, named by the user. Jobs of the same class are expected to behave alike.
    pub class: String,
    pub team: String,
    pub shape: Shape,
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task needs.
    #[serde(rename = "need")]
    pub resources: Resources,
    /// Image that each task runs.
    pub image: String,
    #[serde(rename = "image_gb")]
    pub image_size_gb: f64,
    /// Machine types on which the tasks may run. `None`: any.
    #[serde(rename = "types")]
    pub machine_types: Option<Vec<String>>,
    /// Zone in which the tasks have to run. `None`: any.
    pub zone: Option<String>,
    /// Whether all tasks have to run in the same zone.
    #[serde(rename = "one_zone")]
    pub single_zone: bool,
    /// Whether no zone may have more than half of the tasks, rounded up.
    pub spread: bool,
    /// Whether the tasks may run on spot instances.
    pub spot: bool,
    /// Run time of a task, as estimated by the user.
    #[serde(rename = "estimate")]
    pub run_time_estimate: Micros,
    /// Interval at which a task saves its progress. Zero: the task cannot save its progress.
    #[serde(rename = "checkpoint_every")]
    pub checkpoint_interval: Micros,
    /// Time that a task takes to save its progress.
    #[serde(rename = "save")]
    pub save_time: Micros,
    /// Time after the acceptance of the job by which the job has to be done.
    pub deadline: Option<Micros>,
}

impl JobSpec {
    /// Whether a machine of this type and zone, spot instance or not, may run the job's tasks at all.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        let allows_type = |types: &Vec<String>| types.iter().any(|allowed| allowed == machine_type);
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|allowed| allowed == zone)
            && self.machine_types.as_ref().is_none_or(allows_type)
    }

    /// Whether the zone of one task restricts the zones of the other tasks.
    pub fn is_zone_constrained(&self) -> bool {
        self.single_zone || self.spread
    }

    /// Returns the maximum number of tasks that may share a zone.
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
