//! The load file: machines, limits, classes of jobs and faults, and the jobs that are drawn from it.

use std::path::{Path, PathBuf};

use rand::Rng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// The load that holds where no file is named: the target's own.
const TARGET: &str = include_str!("../load/target.toml");

/// Why a load file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    #[error("{0}: cannot be read: {1}")]
    Unreadable(PathBuf, std::io::Error),
    #[error("{0}: {1}")]
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

/// The one type of machine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    pub name: String,
    pub cpus: f64,
    pub memory_gb: f64,
    pub price: f64,
    /// Least and most, in seconds.
    pub boot_s: [f64; 2],
}

/// The workers' protocol times, in seconds.
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

/// What the state service allows, all controllers together, and how long each request takes.
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
    /// How often the user of a job asks about it, in seconds.
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
    /// Its part of all task starts.
    pub share: f64,
    /// Least and most tasks of a job.
    pub tasks: [u32; 2],
    pub run_s: f64,
    /// Processors that a task takes.
    #[serde(default = "one")]
    pub cpus: f64,
    /// The part of its jobs that their users cancel.
    pub cancelled: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process with a rack's hollow workers ends.
    Rack,
    /// All hollow workers of the first zone end.
    Zone,
    /// The leader is killed, and started again.
    Leader,
    /// Half of the controllers are killed, and started again.
    Half,
    /// The state service refuses everybody.
    Outage,
    /// The state service refuses the leader alone.
    RefuseLeader,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    /// When, in seconds from the beginning of the load.
    pub at_s: f64,
    /// How long an outage or a refusal lasts.
    #[serde(default)]
    pub for_s: f64,
}

/// Changes of the configuration: so many, so far apart, from a time on.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    pub at_s: f64,
    pub count: u32,
    pub every_s: f64,
}

/// A job as its user submits it.
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
    /// Reads a load file, or the built-in one.
    pub fn read(file: Option<&Path>) -> Result<Load, LoadError> {
        let (name, text) = match file {
            None => ("the built-in load".to_string(), TARGET.to_string()),
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
        let wrong = |field: String, reason: &str| {
            Err(LoadError::Field {
                file: file.into(),
                field,
                reason: reason.into(),
            })
        };
        if self.classes.is_empty() {
            return wrong("class".into(), "at least one is needed");
        }
        for (i, class) in self.classes.iter().enumerate() {
            let [least, most] = class.tasks;
            if least == 0 || most < least {
                return wrong(format!("class[{i}].tasks"), "least and most, from 1 on");
            }
            if !(class.share > 0.0 && class.share <= 1.0) {
                return wrong(format!("class[{i}].share"), "above 0 and at most 1");
            }
            if class.run_s.is_nan() || class.run_s <= 0.0 {
                return wrong(format!("class[{i}].run_s"), "must be above zero");
            }
            if !(class.cpus > 0.0 && class.cpus <= self.machine.cpus) {
                return wrong(
                    format!("class[{i}].cpus"),
                    "above 0 and at most a machine's",
                );
            }
            if !(0.0..=1.0).contains(&class.cancelled) {
                return wrong(format!("class[{i}].cancelled"), "from 0 to 1");
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
            Some((field, _)) => wrong((*field).into(), "must be above zero"),
            None => Ok(()),
        }
    }

    /// The most tasks that a machine can have at once.
    pub fn tasks_a_machine(&self) -> usize {
        let least = self
            .classes
            .iter()
            .map(|c| c.cpus)
            .fold(f64::INFINITY, f64::min);
        (self.machine.cpus / least) as usize
    }

    /// The mean run time of a started task, before it is scaled, in seconds.
    pub fn mean_run(&self) -> f64 {
        let (sum, shares) = self
            .classes
            .iter()
            .fold((0.0, 0.0), |(s, w), c| (s + c.share * c.run_s, w + c.share));
        sum / shares
    }

    /// Jobs of each class a second that bring so many task starts a second, gangs being at most of this size.
    pub fn job_rates(&self, starts: f64, gang: u32) -> Vec<f64> {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        let rate = |c: &Class| starts * c.share / shares / c.mean_tasks(gang);
        self.classes.iter().map(rate).collect()
    }
}

impl Class {
    fn most(&self, gang: u32) -> u32 {
        match self.shape {
            Shape::Group => gang.max(self.tasks[0]),
            Shape::Array => self.tasks[1],
        }
    }

    /// Gangs' sizes follow a density of 1/size, arrays' are spread evenly.
    pub fn mean_tasks(&self, gang: u32) -> f64 {
        let (least, most) = (f64::from(self.tasks[0]), f64::from(self.most(gang)));
        match self.shape {
            Shape::Group if most > least => (most - least) / (most / least).ln(),
            _ => (least + most) / 2.0,
        }
    }

    pub fn draw_tasks(&self, gang: u32, rng: &mut StdRng) -> u32 {
        let (least, most) = (self.tasks[0], self.most(gang));
        match self.shape {
            Shape::Group if most > least => {
                let part: f64 = rng.random();
                let size = f64::from(least) * (f64::from(most) / f64::from(least)).powf(part);
                // Rounded up, so that the largest size comes.
                (size.ceil() as u32).clamp(least, most)
            }
            _ => rng.random_range(least..=most),
        }
    }
}

impl Job {
    /// The body of its submission.
    pub fn body(&self, load: &Load) -> Value {
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
