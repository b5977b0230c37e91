//! Attempts: single starts of a task on a machine, and the attempts that a gang makes as a whole.

use super::usage::record::UsageRecord;
use crate::model::{MachineId, Micros, Resources};
use crate::saga::Saga;
use crate::wire::worker::{ExitReason, ReportedTask, TaskState};

/// How far an attempt has come, as its worker last reported it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptPhase {
    /// Placed, but not reported by the worker yet: the launch may still be on its way.
    Starting,
    /// The worker fetches the image.
    Fetching,
    /// The worker waits for the other tasks of the gang.
    Waiting,
    Running,
    /// The task was told to stop and saves its progress.
    Saving,
    /// The task has exited. The worker keeps reporting it until it is told to forget it.
    Ended(ExitReason),
}

impl AttemptPhase {
    /// Whether the task has exited.
    pub fn is_ended(self) -> bool {
        matches!(self, AttemptPhase::Ended(_))
    }
}

impl From<&ReportedTask<'_>> for AttemptPhase {
    fn from(task: &ReportedTask<'_>) -> AttemptPhase {
        match task.state {
            TaskState::Fetching => AttemptPhase::Fetching,
            TaskState::Waiting => AttemptPhase::Waiting,
            TaskState::Running => AttemptPhase::Running,
            TaskState::Saving => AttemptPhase::Saving,
            TaskState::Exited => AttemptPhase::Ended(task.exit_reason.unwrap_or(ExitReason::Other)),
        }
    }
}

/// One start of a task, on one machine.
///
/// Attempts are kept under [`Machine::attempts`](super::machine::Machine::attempts) until the worker no longer
/// reports them, which is after their resources were given back.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub phase: AttemptPhase,
    /// When it entered its phase, on this process's clock.
    pub phase_since: Micros,
    /// The worker has reported it at least once. Only what a worker has shown can be told to stop.
    pub reported: bool,
    /// It was told to stop, with this much time to save. `None`: it may go on.
    pub stop_grace: Option<Micros>,
    pub resources: Resources,
    /// Index of the team in the settings whose quota it counts against.
    pub team: Option<usize>,
    /// Its resources are counted in the use of its machine and of its team.
    pub holds_capacity: bool,
    /// What is charged for it, where a usage ledger is kept.
    pub usage_record: Option<Box<UsageRecord>>,
}

impl Attempt {
    /// An attempt that is placed now. It holds capacity from here on.
    pub fn starting(
        resources: Resources,
        team: Option<usize>,
        usage_record: Option<Box<UsageRecord>>,
        now: Micros,
    ) -> Attempt {
        Attempt {
            phase: AttemptPhase::Starting,
            phase_since: now,
            reported: false,
            stop_grace: None,
            resources,
            team,
            holds_capacity: true,
            usage_record,
        }
    }
}

/// Where a task is placed, and the number of that attempt.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LiveAttempt {
    pub machine: MachineId,
    pub number: u64,
}

/// The current attempt of a gang, whose tasks start and fail together.
#[derive(Debug)]
pub struct GangAttempt {
    /// The attempt number that all tasks of the gang share.
    pub attempt: u64,
    /// The attempt's own saga: every task is vital to it. The attempt is not vital to its job, so a lost one is
    /// repeated.
    pub saga: Saga<u32>,
    /// At least one task has been reported as running. Until then a lost task is replaced within the same attempt.
    pub running: bool,
    /// The whole attempt has been told to stop.
    pub stopping: bool,
}
