//! Messages between the driver of a scale run and its child processes: one JSON object per line, on the child's
//! standard input and output.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Start of the run's clock in microseconds since 1970, the same in all processes of a run.
pub type Epoch = u64;

/// Facts about a job that the machines of its tasks need.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobDescription {
    pub id: String,
    pub tasks: u32,
    pub gang: bool,
    /// Mean run time of the job's tasks, in microseconds.
    pub run: u64,
}

/// A machine that was provisioned.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProvisionedMachine {
    pub host: String,
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
    /// Boot time in microseconds.
    pub boot: u64,
    /// Index of the controller that receives the worker's first heartbeat.
    pub node: usize,
}

/// A message to a process with workers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ToHosts {
    Describe(JobDescription),
    Boot(ProvisionedMachine),
    Delete(Vec<String>),
    /// All tasks of a gang are on their machines, and start to run.
    GangStarts {
        job: String,
        attempt: u64,
    },
    /// A gang's tasks complete together, or end because one of the gang's tasks is gone.
    GangEnds {
        job: String,
        attempt: u64,
        done: bool,
    },
    /// Ends all workers of a zone.
    EndZone(String),
    /// An injected fault: some worker reports the start of a task while another machine runs an attempt of that task.
    Pretend {
        task: String,
        attempt: u64,
        not_on: String,
    },
    /// Asks for the counts since the last measurement.
    Measure,
}

/// The kind of a task event on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEventKind {
    /// The task has its image and is on the machine.
    Started,
    Done,
    /// The task left the machine without having completed.
    Gone,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TaskEvent {
    /// Time of the event on the run's clock, in microseconds.
    pub at: u64,
    pub host: String,
    pub task: String,
    pub attempt: u64,
    pub what: TaskEventKind,
}

/// Counts of workers' heartbeats and of task events since the last measurement.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ReportCounts {
    /// Number of heartbeats sent.
    pub reports: u64,
    pub report_bytes: u64,
    /// Number of heartbeats that a controller answered with 200.
    pub answers: u64,
    pub answer_bytes: u64,
    /// Number of heartbeats without an answer of status 200.
    pub unanswered: u64,
    /// Number of tasks that started on a machine.
    pub starts: u64,
    /// Number of tasks that left a machine.
    pub ends: u64,
    /// Number of changes of tasks' states. Each change is reported in a heartbeat.
    pub changes: u64,
    /// Number of heartbeats that report at least one such change.
    pub with_change: u64,
    /// Number and total bytes of heartbeats, by the number of tasks that the heartbeat lists.
    pub by_tasks: BTreeMap<u32, (u64, u64)>,
    /// Number of heartbeats and total time since the worker's previous heartbeat in microseconds. The key is twice
    /// the number of tasks that the heartbeat lists, plus one if the heartbeat reports a change.
    pub intervals: BTreeMap<u32, (u64, u64)>,
    /// Number of command requests that controllers sent directly to workers.
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

/// A message from a process with workers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FromHosts {
    Events(Vec<TaskEvent>),
    /// These workers have ended, as [`ToHosts::EndZone`] asked.
    Ended(Vec<String>),
    Counts(ReportCounts),
}

/// A message to the emulated state service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ToState {
    /// Begins (`true`) or ends (`false`) an outage, in which the service refuses all requests.
    Outage(bool),
    /// Refuses all requests of this controller and of no other. `None` ends the refusal.
    Refuse(Option<usize>),
    Measure,
}

/// Counts of the requests of one kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct KindCount {
    pub count: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub refused: u64,
}

/// Counts of the state service since the last measurement.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StateCounts {
    pub kinds: BTreeMap<String, KindCount>,
    /// Number of requests by controller index.
    pub by_node: BTreeMap<usize, u64>,
    /// Number of puts and deletes that were carried out.
    pub changes: u64,
    /// Number of requests refused because of the rate limits.
    pub refused: u64,
    /// Number of transactions refused for their size.
    pub too_large: u64,
    /// Number of keys that the service holds at the time of the measurement.
    pub keys: u64,
    /// Total bytes of the values of those keys.
    pub bytes: u64,
    /// Name of the leader in the leader lease record.
    pub leader: Option<String>,
}

/// A message to the emulated cloud.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ToCloud {
    /// These machines have failed, without a delete request.
    Failed(Vec<String>),
    Measure,
}

/// A message from the emulated cloud.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FromCloud {
    Rented(ProvisionedMachine),
    Deleted(Vec<String>),
    Counts(BTreeMap<String, KindCount>),
}
