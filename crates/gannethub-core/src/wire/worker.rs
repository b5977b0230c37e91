//! Wire format of the worker protocol: heartbeats, the responses to them, and commands pushed to workers.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

/// A worker's heartbeat, `POST /v1/report`: the worker's identity and all of its attempts.
#[derive(Deserialize, Debug, Clone)]
pub struct WorkerHeartbeat<'a> {
    #[serde(rename = "host", borrow)]
    pub machine: Cow<'a, str>,
    /// Address at which the worker accepts pushed commands; empty if it accepts none.
    #[serde(rename = "addr", default, borrow)]
    pub address: Cow<'a, str>,
    #[serde(rename = "rig", borrow)]
    pub machine_type: Cow<'a, str>,
    #[serde(rename = "yard", borrow)]
    pub zone: Cow<'a, str>,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// The worker's incarnation, increased each time its lease expires. The worker then kills all of its attempts and
    /// starts over.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// The sequence number of the heartbeat, increased with every message of the worker in an incarnation.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen. A fencing token is the term of a controller. The worker
    /// obeys no lower token.
    #[serde(rename = "baton", default)]
    pub token: u64,
    /// Seconds until the cloud takes the machine back, if a preemption notice was given.
    #[serde(rename = "warning_s", default)]
    pub preemption_notice_s: Option<f64>,
    #[serde(rename = "pieces", default, borrow)]
    pub tasks: Vec<ReportedTask<'a>>,
}

/// One attempt of a task as reported by its worker. The worker reports the attempt until ordered to forget it.
#[derive(Deserialize, Debug, Clone)]
pub struct ReportedTask<'a> {
    /// The job id and the task's number, as in `j-000412/3`.
    #[serde(rename = "piece", borrow)]
    pub task: Cow<'a, str>,
    #[serde(rename = "try_no")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub state: TaskState,
    /// The reason for which the attempt ended, if it has ended.
    #[serde(rename = "cause", default)]
    pub exit_reason: Option<ExitReason>,
    /// Whether the attempt's progress was saved.
    #[serde(rename = "kept", default)]
    pub saved: bool,
}

/// The state of an attempt at its worker.
#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// The attempt waits for its image.
    #[serde(rename = "fetching")]
    Fetching,
    /// The attempt waits for the other tasks of its gang attempt.
    #[serde(rename = "gathering")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    /// The attempt was ordered to stop and saves its progress.
    #[serde(rename = "saving")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

/// The reason for which an attempt ended.
#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// The task is done.
    #[serde(rename = "done")]
    Done,
    /// The attempt was ordered to stop.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of the gang attempt is gone.
    #[serde(rename = "mates_gone")]
    PeersGone,
    /// The gang attempt was not complete in time.
    #[serde(rename = "alone")]
    Alone,
    /// The attempt failed, through a fault of the machine or of the user.
    #[serde(rename = "error")]
    Error,
    /// The launch was refused: the machine lacks free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The launch was refused: another attempt of the task is on this machine.
    #[serde(rename = "in_use")]
    OtherAttemptPresent,
    /// The launch was refused: the task does not exist.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// A reason unknown to this release: the attempt has ended, and the task is not done.
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
        /// Time for the attempt to save its progress, in seconds.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// The worker need not report the ended attempt any more.
    #[serde(rename = "forget")]
    Forget {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try_no")]
        attempt: u64,
    },
}

/// Commands pushed to a worker, `POST /commands`.
#[derive(Serialize, Debug)]
pub struct CommandsRequest<'a> {
    /// The sender's term.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The worker incarnation that the commands are meant for. The worker obeys them in no other incarnation.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    pub orders: &'a [Order],
}

/// The response to a heartbeat, which renews the worker's lease.
#[derive(Serialize, Debug)]
pub struct HeartbeatResponse<'a> {
    /// The sender's term.
    #[serde(rename = "baton")]
    pub token: u64,
    pub orders: &'a [Order],
}

/// The body of a 421 response to a heartbeat: this controller does not accept the heartbeat.
#[derive(Serialize, Debug)]
pub struct HeartbeatRedirect<'a> {
    /// The name of a controller that may accept the heartbeat.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub controller: Option<&'a str>,
}
