//! What the driver of a scale run and its child processes tell each other: one JSON object a line, on the child's
//! standard input and output.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What all processes of a run go by: microseconds since 1970 at which the run's clock began.
pub type Epoch = u64;

/// A job as its tasks' machines have to know it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobDescription {
    pub id: String,
    pub tasks: u32,
    pub gang: bool,
    /// The mean run time of its tasks, in microseconds.
    pub run: u64,
}

/// A machine that was rented.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Rented {
    pub host: String,
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
    /// How long it boots, in microseconds.
    pub boot: u64,
    /// The controller that it reports to first.
    pub node: usize,
}

/// To a process with workers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ToHosts {
    Describe(JobDescription),
    Boot(Rented),
    Delete(Vec<String>),
    /// All tasks of a gang are there: they run.
    GangStarts {
        job: String,
        attempt: u64,
    },
    /// Its tasks complete together, or leave since one of them is gone.
    GangEnds {
        job: String,
        attempt: u64,
        done: bool,
    },
    /// All workers of a zone end.
    EndZone(String),
    /// A fault put in on purpose: some worker says that it started a task of which another machine runs an attempt.
    Pretend {
        task: String,
        attempt: u64,
        not_on: String,
    },
    /// Tell the counts since the last time.
    Measure,
}

/// What happened to a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Happened {
    /// It has its image and is on the machine.
    Started,
    Done,
    /// It is on the machine no more, and not done.
    Gone,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TaskEvent {
    /// Microseconds of the run's clock.
    pub at: u64,
    pub host: String,
    pub task: String,
    pub attempt: u64,
    pub what: Happened,
}

/// Reports of workers, counted.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ReportCounts {
    pub reports: u64,
    pub report_bytes: u64,
    pub answers: u64,
    pub answer_bytes: u64,
    /// Reports that no controller answered with 200.
    pub unanswered: u64,
    /// Tasks that came on a machine, and that left it.
    pub starts: u64,
    pub ends: u64,
    /// Changes of tasks' states, each of which is told in a report.
    pub changes: u64,
    /// Reports that tell of such a change.
    pub with_change: u64,
    /// Reports and their bytes, by how many tasks they list.
    pub by_tasks: BTreeMap<u32, (u64, u64)>,
    /// Reports and the microseconds since the one before, by twice the tasks that they list, and one more if they tell of
    /// a change.
    pub intervals: BTreeMap<u32, (u64, u64)>,
    pub direct: u64,
    pub direct_bytes: u64,
}

impl ReportCounts {
    pub fn add(&mut self, other: &ReportCounts) {
        self.reports += other.reports;
        self.report_bytes += other.report_bytes;
        self.answers += other.answers;
        self.answer_bytes += other.answer_bytes;
        self.unanswered += other.unanswered;
        self.starts += other.starts;
        self.ends += other.ends;
        self.changes += other.changes;
        self.with_change += other.with_change;
        self.direct += other.direct;
        self.direct_bytes += other.direct_bytes;
        for (key, (count, sum)) in &other.by_tasks {
            let entry = self.by_tasks.entry(*key).or_default();
            *entry = (entry.0 + count, entry.1 + sum);
        }
        for (key, (count, sum)) in &other.intervals {
            let entry = self.intervals.entry(*key).or_default();
            *entry = (entry.0 + count, entry.1 + sum);
        }
    }
}

/// From a process with workers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FromHosts {
    Events(Vec<TaskEvent>),
    /// These workers have ended, as they were told.
    Ended(Vec<String>),
    Counts(ReportCounts),
}

/// To the stand-in of the state service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ToState {
    /// It refuses everybody, or no longer.
    Outage(bool),
    /// It refuses this controller alone, or nobody.
    Refuse(Option<usize>),
    Measure,
}

/// Requests of one kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct KindCount {
    pub count: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub refused: u64,
}

/// What the state service has counted.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StateCounts {
    pub kinds: BTreeMap<String, KindCount>,
    /// Requests by controller.
    pub by_node: BTreeMap<usize, u64>,
    /// Puts and deletes that were carried out.
    pub changes: u64,
    pub refused: u64,
    pub too_large: u64,
    /// What it holds now.
    pub keys: u64,
    pub bytes: u64,
    /// The holder's name in the leader's key.
    pub leader: Option<String>,
}

/// To the stand-in of the cloud.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ToCloud {
    /// These machines have stopped by themselves.
    Failed(Vec<String>),
    Measure,
}

/// From the stand-in of the cloud.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FromCloud {
    Rented(Rented),
    Deleted(Vec<String>),
    Counts(BTreeMap<String, KindCount>),
}
