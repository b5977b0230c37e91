//! Attempts: single starts of a task on a machine, and gang attempts, which start all tasks of a gang.

use super::usage::record::UsageRecord;
use crate::model::{MachineId, Micros, Resources};
use crate::saga::Saga;
use crate::wire::worker::{ExitReason, ReportedTask, TaskState};

/// Progress of an attempt, as its worker last reported it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptPhase {
    /// Placed, but not reported by the worker yet: the launch may still be in transit.
    Starting,
    /// The worker fetches the image.
    Fetching,
    /// The worker waits for the other tasks of the gang.
    Waiting,
    Running,
    /// The task was told to stop and is saving its progress.
    Saving,
    /// The task has exited. The worker keeps reporting the exit until it is told to forget the attempt.
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

/// One start of a task on one machine.
///
/// Attempts stay in [`Machine::attempts`](super::machine::Machine::attempts) until the worker no longer reports them,
/// which happens after their resources were released.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub phase: AttemptPhase,
    /// Time at which the attempt entered its phase, on this process's clock.
    pub phase_since: Micros,
    /// Whether the worker has reported the attempt at least once. Only reported attempts can be told to stop.
    pub reported: bool,
    /// Time that the attempt was given to save its progress when it was told to stop. `None`: the attempt may
    /// continue.
    pub stop_grace: Option<Micros>,
    pub resources: Resources,
    /// Index of the team in the settings whose quota the attempt counts against.
    pub team: Option<usize>,
    /// Whether the attempt's resources count in the usage of its machine and of its team.
    pub holds_capacity: bool,
    /// Usage to be charged for the attempt, if a usage ledger is kept.
    pub usage_record: Option<Box<UsageRecord>>,
}

impl Attempt {
    /// Returns an attempt that is placed at `now`. The attempt holds capacity from then on.
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

/// Machine and number of a task's current attempt.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LiveAttempt {
    pub machine: MachineId,
    pub number: u64,
}

/// The current attempt of a gang, whose tasks start and fail together.
#[derive(Debug)]
pub struct GangAttempt {
    /// The attempt number that all tasks of the gang share.
    pub number: u64,
    /// The attempt's own saga, to which every task is vital. The attempt is not vital to its job, so a lost attempt
    /// is repeated.
    pub saga: Saga<u32>,
    /// Whether at least one task has been reported as running. Before that, a lost task is replaced within the same
    /// attempt.
    pub running: bool,
    /// Whether the whole attempt has been told to stop.
    pub stopping: bool,
}
