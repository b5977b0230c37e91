//! Workers, as they appear on the wire: their heartbeats, the answers, and commands that are pushed to them.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

/// A worker's heartbeat, `POST /v1/report`: who it is, and all attempts that it has.
#[derive(Deserialize, Debug, Clone)]
pub struct WorkerHeartbeat<'a> {
    #[serde(rename = "host", borrow)]
    pub machine: Cow<'a, str>,
    /// Where the worker takes pushed commands; empty if it takes none.
    #[serde(rename = "addr", default, borrow)]
    pub address: Cow<'a, str>,
    #[serde(rename = "rig", borrow)]
    pub machine_type: Cow<'a, str>,
    #[serde(rename = "yard", borrow)]
    pub zone: Cow<'a, str>,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Grows each time the worker's lease runs out: it then kills all that it has, and starts anew.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Grows with every message of the worker in an incarnation.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen: the term of some controller. It obeys no lower one.
    #[serde(rename = "baton", default)]
    pub token: u64,
    /// The cloud takes the machine back in this many seconds.
    #[serde(rename = "warning_s", default)]
    pub preemption_notice_s: Option<f64>,
    #[serde(rename = "pieces", default, borrow)]
    pub tasks: Vec<ReportedTask<'a>>,
}

/// One attempt of a task, as its worker shows it. It is shown until the worker is told to forget it.
#[derive(Deserialize, Debug, Clone)]
pub struct ReportedTask<'a> {
    /// As in `j-000412/3`.
    #[serde(rename = "piece", borrow)]
    pub task: Cow<'a, str>,
    #[serde(rename = "try_no")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it ended, if it did.
    #[serde(rename = "cause", default)]
    pub exit_reason: Option<ExitReason>,
    /// Its progress was saved.
    #[serde(rename = "kept", default)]
    pub saved: bool,
}

/// What an attempt does.
#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// It waits for its image.
    #[serde(rename = "fetching")]
    Fetching,
    /// It waits for the other tasks of its gang attempt.
    #[serde(rename = "gathering")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    /// It was told to stop, and saves its progress.
    #[serde(rename = "saving")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

/// Why an attempt ended.
#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// The task is done.
    #[serde(rename = "done")]
    Done,
    /// It was told to stop.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of its gang attempt is gone.
    #[serde(rename = "mates_gone")]
    PeersGone,
    /// Its gang attempt was not complete in time.
    #[serde(rename = "alone")]
    Alone,
    /// It failed, by its machine's fault or its user's.
    #[serde(rename = "error")]
    Error,
    /// The launch was refused: the machine has not enough free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The launch was refused: the task is on this machine with another attempt.
    #[serde(rename = "in_use")]
    OtherAttemptPresent,
    /// The launch was refused: there is no such task.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// A reason that this release does not know: the attempt is over, and was not done.
    #[serde(other)]
    Other,
}

/// A command to a worker about one attempt.
#[derive(Serialize, Debug, Clone, PartialEq)]
#[serde(tag = "verb")]
pub enum Order {
    #[serde(rename = "launch")]
    Start {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try_no")]
        attempt: u64,
    },
    #[serde(rename = "halt")]
    Stop {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try_no")]
        attempt: u64,
        /// The time it has to save its progress.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Its end needs to be shown no more.
    #[serde(rename = "forget")]
    Forget {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try_no")]
        attempt: u64,
    },
}

/// Commands that are pushed to a worker, `POST /commands`.
#[derive(Serialize, Debug)]
pub struct CommandsRequest<'a> {
    /// The sender's term.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The worker obeys in this incarnation only.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    pub orders: &'a [Order],
}

/// The answer to a heartbeat. It renews the worker's lease.
#[derive(Serialize, Debug)]
pub struct HeartbeatResponse<'a> {
    /// The sender's term.
    #[serde(rename = "baton")]
    pub token: u64,
    pub orders: &'a [Order],
}

/// 421 to a heartbeat: this controller does not take it.
#[derive(Serialize, Debug)]
pub struct HeartbeatRedirect<'a> {
    /// A controller that may take it, by name.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub controller: Option<&'a str>,
}
