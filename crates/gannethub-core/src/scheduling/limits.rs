//! Teams' limits: the remaining quota of a team, and enforcement of limits that were lowered.

use std::mem::take;

use crate::configuration::OverLimit;
use crate::model::{AttemptId, Micros, Resources, TaskId, Team, UNLIMITED};
use crate::state::attempt::{Attempt, AttemptPhase};
use crate::state::cluster::Cluster;
use crate::state::job::Job;

/// An attempt that may be stopped to bring a team within its limit.
#[derive(Debug)]
struct ExcessAttempt {
    /// Time in the attempt's present phase, in microseconds, plus 1; 0 for an attempt that its worker has not
    /// reported yet.
    phase_age: Micros,
    task: TaskId,
    resources: Resources,
}

/// Resources that a team holds on machines, and the attempts that may be stopped.
#[derive(Debug, Default)]
struct TeamAttempts {
    held: Resources,
    stoppable: Vec<ExcessAttempt>,
}

impl Cluster {
    /// Returns the resources that a team may still use: its limit less all that the team may already hold on
    /// machines.
    pub fn remaining_quota(&self, team: usize) -> Resources {
        let limit = self.settings.teams[team].limit;
        let unconfirmed = self.takeover.unconfirmed.possible_usage[team];
        limit - self.quota.team_usage[team] - unconfirmed
    }

    /// Whether all that a team may hold on machines is within its limit.
    pub fn is_within_limit(&self, team: usize) -> bool {
        let left = self.remaining_quota(team);
        left.cpu >= 0 && left.gpu >= 0
    }

    /// Returns how many more of the job's tasks its team's limit allows; none while its starts are paused. Memory is not
    /// limited.
    pub fn tasks_within_quota(&self, job: &Job) -> i64 {
        let Some(team) = job.team.filter(|_| !self.are_starts_paused(job)) else {
            return 0;
        };
        let free = Resources {
            memory: UNLIMITED,
            ..self.remaining_quota(team)
        };
        let needed = Resources {
            memory: 0,
            ..job.spec.resources
        };
        needed.times_fitting_in(&free)
    }

    /// Brings teams within limits that were lowered: attempts that no worker has reported yet are no longer launched,
    /// and running attempts are stopped if the operators have chosen to stop them.
    pub fn enforce_limits(&mut self, now: Micros) {
        for team in 0..self.settings.teams.len() {
            let limit = self.settings.teams[team].limit;
            let usage = &self.quota.team_usage[team];
            if !Team::fits_within(&limit, &Resources::default(), usage) {
                self.enforce_team_limit(team, limit, now);
            }
        }
    }

    fn enforce_team_limit(&mut self, team: usize, limit: Resources, now: Micros) {
        let mut attempts = self.team_attempts(team, now);
        let mut stoppable = take(&mut attempts.stoppable);
        stoppable.sort_by(|a, b| {
            (a.phase_age, &a.task.job, a.task.index).cmp(&(b.phase_age, &b.task.job, b.task.index))
        });
        let mut held = attempts.held;
        let mut stopped = 0;
        for attempt in stoppable {
            if Team::fits_within(&limit, &Resources::default(), &held) {
                break;
            }
            // A gang is stopped as a whole: once its first task is stopped, its other tasks are stopping too.
            if !self.is_stopping(&attempt.task) {
                self.preempt(&attempt.task.job, attempt.task.index);
                stopped += 1;
            }
            held -= attempt.resources;
        }
        if stopped > 0 {
            let team = &self.settings.teams[team].name;
            tracing::info!(%team, stopped, "stopping tasks of a team above its limit");
        }
    }

    /// Returns the attempts of a team that have not been told to stop.
    fn team_attempts(&self, team: usize, now: Micros) -> TeamAttempts {
        let mut attempts = TeamAttempts::default();
        for machine in self.machines.values() {
            for (id, attempt) in &machine.attempts {
                let is_stopping = attempt.stop_grace.is_some();
                if attempt.team != Some(team) || !attempt.holds_capacity || is_stopping {
                    continue;
                }
                attempts.held += attempt.resources;
                let is_unreported = attempt.phase == AttemptPhase::Starting && !attempt.reported;
                if is_unreported || self.quota.over_limit == OverLimit::Stop {
                    attempts.stoppable.push(ExcessAttempt {
                        phase_age: match is_unreported {
                            true => 0,
                            false => 1 + now.saturating_sub(attempt.phase_since),
                        },
                        task: id.task.clone(),
                        resources: attempt.resources,
                    });
                }
            }
        }
        attempts
    }

    fn is_stopping(&self, task: &TaskId) -> bool {
        self.live_attempt(task)
            .is_some_and(|attempt| attempt.stop_grace.is_some())
    }

    /// Returns the attempt of a task that is on a machine now.
    pub(super) fn live_attempt(&self, task: &TaskId) -> Option<&Attempt> {
        let live = self
            .jobs
            .get(&task.job)?
            .tasks
            .live_attempts
            .get(&task.index)?;
        let id = AttemptId {
            task: task.clone(),
            number: live.number,
        };
        self.machines.get(&live.machine)?.attempts.get(&id)
    }
}
