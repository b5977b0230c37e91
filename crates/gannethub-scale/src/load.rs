//! The load file with machines, limits, job classes, faults and configuration changes, and the jobs that are drawn
//! from it.

use std::path::{Path, PathBuf};

use rand::Rng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// The built-in load, used if no load file is named: the load of the target.
const TARGET_LOAD: &str = include_str!("../load/target.toml");

/// The reason why a load file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    #[error("cannot read load file {0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    #[error("cannot parse {0}: {1}")]
    Parse(String, Box<toml::de::Error>),
    #[error("{file}: {field}: {reason}")]
    Field {
        file: String,
        field: String,
        reason: String,
    },
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    pub machine: Machine,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub teams: Teams,
    pub users: Users,
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    #[serde(default, rename = "change")]
    pub changes: Vec<ConfigChange>,
}

/// The only machine type of a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    pub name: String,
    pub cpus: f64,
    pub memory_gb: f64,
    pub price: f64,
    /// Minimum and maximum boot time, in seconds.
    pub boot_s: [f64; 2],
}

/// Times of the workers' protocol, in seconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    pub fetch_s: f64,
}

/// Limits of the state service, for all controllers together, and the latency of each request in milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub lag_ms: u64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Teams {
    pub guaranteed: f64,
    pub limit_times: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Users {
    /// Interval at which the user of a job polls the job's status, in seconds.
    pub poll_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    Array,
    Group,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    pub shape: Shape,
    pub rank: String,
    /// Share of all task starts, above 0 and at most 1.
    pub share: f64,
    /// Minimum and maximum number of tasks of a job. For gangs the option `--gang` replaces the maximum.
    pub tasks: [u32; 2],
    /// Mean run time of a task in seconds, before it is scaled to the requested number of running tasks.
    pub run_s: f64,
    /// Number of processors of each task.
    #[serde(default = "one")]
    pub cpus: f64,
    /// Share of the jobs that their users cancel, from 0 to 1.
    pub cancelled: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process with the hollow workers of the rack is killed.
    Rack,
    /// All workers of the first zone end.
    Zone,
    /// The leader is killed and started again.
    Leader,
    /// Half of the controllers, rounded up, are killed and started again.
    Half,
    /// The state service refuses all requests.
    Outage,
    /// The state service refuses the requests of the leader only.
    RefuseLeader,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    /// Time of the fault, in seconds from the beginning of the load.
    pub at_s: f64,
    /// Duration of an outage or a refusal, in seconds.
    #[serde(default)]
    pub for_s: f64,
}

/// A series of `count` configuration changes. The first change is made `at_s` seconds after the beginning of the
/// load, and each later one `every_s` seconds after the change before.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    pub at_s: f64,
    pub count: u32,
    pub every_s: f64,
}

/// A job with the facts that its user needs to submit and cancel it.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub class: usize,
    pub team: usize,
    pub tasks: u32,
    pub run_s: f64,
    pub cancelled: bool,
}

impl Load {
    /// Reads and checks a load file, or the built-in load if no file is given.
    pub fn read(file: Option<&Path>) -> Result<Load, LoadError> {
        let (name, text) = match file {
            None => ("the built-in load".to_string(), TARGET_LOAD.to_string()),
            Some(path) => {
                let text = std::fs::read_to_string(path);
                let text = text.map_err(|e| LoadError::Unreadable(path.into(), e))?;
                (path.display().to_string(), text)
            }
        };
        let load: Load =
            toml::from_str(&text).map_err(|e| LoadError::Parse(name.clone(), Box::new(e)))?;
        load.check(&name)?;
        Ok(load)
    }

    fn check(&self, file: &str) -> Result<(), LoadError> {
        let invalid = |field: String, reason: &str| {
            Err(LoadError::Field {
                file: file.into(),
                field,
                reason: reason.into(),
            })
        };
        if self.classes.is_empty() {
            return invalid("class".into(), "at least one class is required");
        }
        for (i, class) in self.classes.iter().enumerate() {
            let [min, max] = class.tasks;
            if min == 0 || max < min {
                return invalid(
                    format!("class[{i}].tasks"),
                    "must be a minimum of at least 1 and a maximum not below it",
                );
            }
            if !(class.share > 0.0 && class.share <= 1.0) {
                return invalid(format!("class[{i}].share"), "must be above 0 and at most 1");
            }
            if class.run_s.is_nan() || class.run_s <= 0.0 {
                return invalid(format!("class[{i}].run_s"), "must be above zero");
            }
            if !(class.cpus > 0.0 && class.cpus <= self.machine.cpus) {
                return invalid(
                    format!("class[{i}].cpus"),
                    "must be above 0 and at most machine.cpus",
                );
            }
            if !(0.0..=1.0).contains(&class.cancelled) {
                return invalid(format!("class[{i}].cancelled"), "must be from 0 to 1");
            }
        }
        let positive = [
            ("machine.cpus", self.machine.cpus),
            ("workers.report_s", self.workers.report_s),
            ("workers.lease_s", self.workers.lease_s),
            ("state.rps", self.state.rps),
            ("state.write_rps", self.state.write_rps),
            ("cloud.rps", self.cloud.rps),
            ("users.poll_s", self.users.poll_s),
        ];
        match positive.iter().find(|(_, x)| x.is_nan() || *x <= 0.0) {
            Some((field, _)) => invalid((*field).into(), "must be above zero"),
            None => Ok(()),
        }
    }

    /// Returns the maximum number of tasks that a machine can run at once.
    pub fn max_tasks_per_machine(&self) -> usize {
        let min = self
            .classes
            .iter()
            .map(|c| c.cpus)
            .fold(f64::INFINITY, f64::min);
        (self.machine.cpus / min) as usize
    }

    /// Returns the mean run time of a started task in seconds, before it is scaled to the requested number of running
    /// tasks.
    pub fn mean_run_s(&self) -> f64 {
        let (sum, shares) = self
            .classes
            .iter()
            .fold((0.0, 0.0), |(s, w), c| (s + c.share * c.run_s, w + c.share));
        sum / shares
    }

    /// Returns the jobs per second of each class that together cause `starts` task starts per second, with gangs of
    /// at most `gang` tasks.
    pub fn job_rates(&self, starts: f64, gang: u32) -> Vec<f64> {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        let rate = |c: &Class| starts * c.share / shares / c.mean_tasks(gang);
        self.classes.iter().map(rate).collect()
    }
}

impl Class {
    fn max_tasks(&self, gang: u32) -> u32 {
        match self.shape {
            Shape::Group => gang.max(self.tasks[0]),
            Shape::Array => self.tasks[1],
        }
    }

    /// Returns the mean number of tasks of a job. Sizes of gangs follow a density of 1/size, and sizes of
    /// arrays are uniformly distributed.
    pub fn mean_tasks(&self, gang: u32) -> f64 {
        let (min, max) = (f64::from(self.tasks[0]), f64::from(self.max_tasks(gang)));
        match self.shape {
            Shape::Group if max > min => (max - min) / (max / min).ln(),
            _ => (min + max) / 2.0,
        }
    }

    pub fn draw_tasks(&self, gang: u32, rng: &mut StdRng) -> u32 {
        let (min, max) = (self.tasks[0], self.max_tasks(gang));
        match self.shape {
            Shape::Group if max > min => {
                let part: f64 = rng.random();
                let size = f64::from(min) * (f64::from(max) / f64::from(min)).powf(part);
                // The size is rounded up so that the largest size is drawn at times.
                (size.ceil() as u32).clamp(min, max)
            }
            _ => rng.random_range(min..=max),
        }
    }
}

impl Job {
    /// Returns the body of the request that submits this job.
    pub fn submission_body(&self, load: &Load) -> Value {
        let class = &load.classes[self.class];
        json!({"id": self.id, "jobclass": class.name, "crew": team_name(self.team),
            "shape": class.shape, "rank": class.rank, "pieces": self.tasks, "vcpus": class.cpus,
            "cards": 0.0, "mem_gb": 2.0 * class.cpus, "build": format!("image-{}", self.class), "size_gb": 0.5,
            "rigs": null, "yard": null, "together": class.shape == Shape::Group, "scatter": false,
            "loaners": false, "guess_s": self.run_s, "stamp_every_s": 0.0, "stamp_s": 0.0,
            "due_s": null})
    }
}

pub fn team_name(team: usize) -> String {
    format!("team-{team:03}")
}

pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone:02}")
}

#[cfg(test)]
mod tests;
