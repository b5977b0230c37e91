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

/// Whether an attempt was placed again on the machine on which it had ended, under the same number. A gang's task is
/// placed again like this if it ended before the rest of its gang was ready.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub enum Relaunch {
    /// The attempt has been placed once on its machine.
    #[default]
    None,
    /// The attempt was placed again, and is launched once the worker has forgotten the earlier end. A worker that still
    /// holds the end ignores a launch.
    AwaitsForget,
    /// The worker has forgotten the earlier end.
    Ready,
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
    /// Whether the attempt was placed again on its machine.
    pub relaunch: Relaunch,
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
            relaunch: Relaunch::None,
            usage_record,
        }
    }

    /// Makes an attempt that has ended hold capacity for its next launch.
    pub(crate) fn place_again(&mut self, resources: Resources, team: Option<usize>) {
        self.resources = resources;
        self.team = team;
        self.holds_capacity = true;
        self.stop_grace = None;
        self.relaunch = Relaunch::AwaitsForget;
    }

    /// Whether the attempt is its task's present attempt: it has not ended, or is to be launched again.
    pub fn is_live(&self) -> bool {
        !self.phase.is_ended() || self.relaunch == Relaunch::AwaitsForget
    }

    /// Whether the worker may have to fetch the image before the task is ready. The first launch counts until the
    /// worker reports the image.
    pub fn may_fetch(&self) -> bool {
        match self.phase {
            AttemptPhase::Fetching => true,
            AttemptPhase::Starting => self.relaunch == Relaunch::None,
            _ => false,
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
    /// Time at which a task of the attempt was last found to be ready, or at which the attempt became known.
    pub last_ready_at: Micros,
}

impl GangAttempt {
    /// Returns an attempt that is neither running nor stopping.
    pub fn new(number: u64, tasks: u32, now: Micros) -> GangAttempt {
        GangAttempt {
            number,
            saga: Saga::independent(tasks),
            running: false,
            stopping: false,
            last_ready_at: now,
        }
    }
}
