//! The field's nouns: times, resources, machine types, teams, jobs and tasks.

use std::fmt;
use std::ops::{AddAssign, Sub, SubAssign};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A time or a duration in whole microseconds.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// Seconds from the wire as microseconds; nonsense becomes zero, huge values saturate.
pub fn micros_from_seconds(seconds: f64) -> Micros {
    if seconds.is_finite() && seconds > 0.0 {
        (seconds * SECOND as f64).round() as Micros
    } else {
        0
    }
}

/// Microseconds as seconds, for a wire or a policy.
pub fn seconds_from_micros(t: Micros) -> f64 {
    t as f64 / SECOND as f64
}

/// A job's id, as its user chose it.
pub type JobId = Arc<str>;

/// A machine's name, as the cloud gave it.
pub type MachineId = Arc<str>;

/// Whether `id` has the one form that job ids take.
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|n| (1..=18).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

/// A task: its job and its number in the job.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl TaskId {
    /// Reads `j-000412/3`.
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

/// Amounts of CPU, GPU and memory, in thousandths of the wire's units.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default, Serialize, Deserialize)]
pub struct Resources {
    pub cpu: i64,
    pub gpu: i64,
    pub mem: i64,
}

impl Resources {
    pub fn new(cpus: f64, gpus: f64, mem_gb: f64) -> Resources {
        let milli = |x: f64| (x * 1000.0).round() as i64;
        Resources {
            cpu: milli(cpus),
            gpu: milli(gpus),
            mem: milli(mem_gb),
        }
    }

    pub fn fits(&self, room: &Resources) -> bool {
        self.cpu <= room.cpu && self.gpu <= room.gpu && self.mem <= room.mem
    }

    /// How many of `self` fit into `room`.
    pub fn count_in(&self, room: &Resources) -> i64 {
        let part = |need: i64, have: i64| {
            if need > 0 {
                have.max(0) / need
            } else {
                i64::MAX
            }
        };
        part(self.cpu, room.cpu)
            .min(part(self.gpu, room.gpu))
            .min(part(self.mem, room.mem))
    }

    pub fn scaled_by(&self, n: i64) -> Resources {
        let m = |x: i64| x.saturating_mul(n);
        Resources {
            cpu: m(self.cpu),
            gpu: m(self.gpu),
            mem: m(self.mem),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, o: Resources) {
        self.cpu += o.cpu;
        self.gpu += o.gpu;
        self.mem += o.mem;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, o: Resources) {
        self.cpu -= o.cpu;
        self.gpu -= o.gpu;
        self.mem -= o.mem;
    }
}

impl Sub for Resources {
    type Output = Resources;
    fn sub(mut self, o: Resources) -> Resources {
        self -= o;
        self
    }
}

/// A machine type the cloud rents out.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    pub name: Arc<str>,
    pub size: Resources,
    pub price: f64,
    pub spot_price: f64,
    pub boot_time: Micros,
    pub fetch_gb_per_s: f64,
    pub zones: Vec<String>,
}

impl MachineType {
    pub fn price_of(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}

/// A limit of this amount is none at all.
pub const UNLIMITED: i64 = i64::MAX / 4;

/// A team's guarantee and limit. CPUs and GPUs only. A guarantee of zero is no guarantee, and a
/// team without a limit has one of [`UNLIMITED`].
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    pub name: String,
    pub guarantee: Resources,
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

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum Shape {
    Array,
    Gang,
    Service,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub enum Priority {
    Low,
    Normal,
    High,
    Production,
}

/// What a user submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub class: String,
    pub team: String,
    pub shape: Shape,
    pub priority: Priority,
    pub tasks: u32,
    pub need: Resources,
    pub image: String,
    pub image_gb: f64,
    pub types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub estimate: Micros,
    pub checkpoint_every: Micros,
    pub save: Micros,
    pub deadline: Option<Micros>,
}

impl JobSpec {
    /// Whether a machine of this type, zone and kind may run the job's tasks at all.
    pub fn allows(&self, flavor: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && self
                .types
                .as_ref()
                .is_none_or(|t| t.iter().any(|x| x == flavor))
    }

    /// Whether where its tasks are matters to where its others may go.
    pub fn is_zone_constrained(&self) -> bool {
        self.one_zone || self.spread
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

/// A set of task numbers kept as sorted, disjoint, inclusive ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskSet(Vec<(u32, u32)>);

impl TaskSet {
    /// The numbers `0..n`.
    pub fn up_to(n: u32) -> TaskSet {
        if n == 0 {
            TaskSet::default()
        } else {
            TaskSet(vec![(0, n - 1)])
        }
    }

    fn slot(&self, x: u32) -> usize {
        self.0.partition_point(|&(_, hi)| hi < x)
    }

    pub fn contains(&self, x: u32) -> bool {
        self.0.get(self.slot(x)).is_some_and(|&(lo, _)| lo <= x)
    }

    pub fn insert(&mut self, x: u32) -> bool {
        let i = self.slot(x);
        if self.0.get(i).is_some_and(|&(lo, _)| lo <= x) {
            return false;
        }
        let left = i > 0 && self.0[i - 1].1 + 1 == x;
        let right = i < self.0.len() && self.0[i].0 == x + 1;
        match (left, right) {
            (true, true) => {
                self.0[i - 1].1 = self.0[i].1;
                self.0.remove(i);
            }
            (true, false) => self.0[i - 1].1 = x,
            (false, true) => self.0[i].0 = x,
            (false, false) => self.0.insert(i, (x, x)),
        }
        true
    }

    pub fn remove(&mut self, x: u32) -> bool {
        let i = self.slot(x);
        let Some(&(lo, hi)) = self.0.get(i) else {
            return false;
        };
        if lo > x {
            return false;
        }
        match (lo == x, hi == x) {
            (true, true) => {
                self.0.remove(i);
            }
            (true, false) => self.0[i].0 = x + 1,
            (false, true) => self.0[i].1 = x - 1,
            (false, false) => {
                self.0[i].1 = x - 1;
                self.0.insert(i + 1, (x + 1, hi));
            }
        }
        true
    }

    pub fn len(&self) -> u32 {
        self.0.iter().map(|&(lo, hi)| hi - lo + 1).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(lo, hi)| lo..=hi)
    }

    /// The part of the set within `lo..hi`.
    pub fn slice(&self, lo: u32, hi: u32) -> TaskSet {
        let clip = self.0.iter().filter(|&&(a, b)| b >= lo && a < hi);
        TaskSet(clip.map(|&(a, b)| (a.max(lo), b.min(hi - 1))).collect())
    }

    /// The ranges themselves, in order.
    pub fn as_ranges(&self) -> &[(u32, u32)] {
        &self.0
    }
}

#[cfg(test)]
mod tests;
