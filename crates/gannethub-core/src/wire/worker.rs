//! Workers, as they appear on the wire.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

/// A worker's report.
#[derive(Deserialize, Debug, Clone)]
pub struct WorkerHeartbeat<'a> {
    #[serde(rename = "host", borrow)]
    pub machine: Cow<'a, str>,
    #[serde(default, borrow)]
    #[serde(rename = "addr")]
    pub address: Cow<'a, str>,
    #[serde(rename = "rig", borrow)]
    pub machine_type: Cow<'a, str>,
    #[serde(rename = "yard", borrow)]
    pub zone: Cow<'a, str>,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub incarnation: u64,
    #[serde(rename = "tally")]
    pub sequence: u64,
    #[serde(rename = "baton", default)]
    pub token: u64,
    #[serde(rename = "warning_s", default)]
    pub preemption_notice_s: Option<f64>,
    #[serde(rename = "pieces", default, borrow)]
    pub tasks: Vec<ReportedTask<'a>>,
}

#[derive(Deserialize, Debug, Clone)]
pub struct ReportedTask<'a> {
    #[serde(rename = "piece", borrow)]
    pub task: Cow<'a, str>,
    #[serde(rename = "try_no")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub state: TaskState,
    #[serde(rename = "cause", default)]
    pub exit_reason: Option<ExitReason>,
    #[serde(rename = "kept", default)]
    pub saved: bool,
}

#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    Fetching,
    #[serde(rename = "gathering")]
    Waiting,
    Running,
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "mates_gone")]
    PeersGone,
    #[serde(rename = "alone")]
    Alone,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "full")]
    NoRoom,
    #[serde(rename = "in_use")]
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
    /// A reason this version does not know: the task is over, and was not done.
    #[serde(other)]
    Other,
}

/// A command to a worker.
#[derive(Serialize, Debug, Clone, PartialEq)]
#[serde(tag = "verb", rename_all = "lowercase")]
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
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    Forget {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try_no")]
        attempt: u64,
    },
}

/// Commands that are sent to a worker without a report.
#[derive(Serialize, Debug)]
pub struct CommandsRequest<'a> {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "shift")]
    pub incarnation: u64,
    pub orders: &'a [Order],
}

/// The answer to a report.
#[derive(Serialize, Debug)]
pub struct HeartbeatResponse<'a> {
    #[serde(rename = "baton")]
    pub token: u64,
    pub orders: &'a [Order],
}

/// 421: this controller does not take reports.
#[derive(Serialize, Debug)]
pub struct HeartbeatRedirect<'a> {
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub controller: Option<&'a str>,
}
