//! Teams that are above their limit, since it was lowered: what is not launched after all, and what is stopped.

use crate::configuration::OverLimit;
use crate::model::{AttemptId, Micros, Resources, TaskId, Team};
use crate::state::attempt::AttemptPhase;
use crate::state::cluster::Cluster;

/// An attempt that may be stopped to bring a team within its limit.
#[derive(Debug)]
struct ExcessAttempt {
    /// It has run so long; 0 for one that its worker has not shown yet.
    ran: Micros,
    task: TaskId,
    need: Resources,
}

impl Cluster {
    /// Brings teams within limits that were lowered: what no worker has shown yet is not launched any more, and what
    /// runs is stopped if that is the operators' choice.
    pub fn enforce_limits(&mut self, now: Micros) {
        for team in 0..self.settings.teams.len() {
            let limit = self.settings.teams[team].limit;
            if !Team::within(&limit, &Resources::default(), &self.quota.team_usage[team]) {
                self.enforce_team_limit(team, limit, now);
            }
        }
    }

    fn enforce_team_limit(&mut self, team: usize, limit: Resources, now: Micros) {
        let (mut held, mut excess) = (Resources::default(), Vec::new());
        for machine in self.machines.values() {
            for (AttemptId { task, .. }, a) in &machine.attempts {
                if a.team != Some(team) || !a.holds_capacity || a.stop_grace.is_some() {
                    continue;
                }
                held += a.resources;
                let starting = a.phase == AttemptPhase::Starting && !a.reported;
                let ran = if starting {
                    0
                } else {
                    1 + now.saturating_sub(a.phase_since)
                };
                if starting || self.quota.over_limit == OverLimit::Stop {
                    excess.push(ExcessAttempt {
                        ran,
                        task: task.clone(),
                        need: a.resources,
                    });
                }
            }
        }
        excess.sort_by(|a, b| {
            (a.ran, &a.task.job, a.task.index).cmp(&(b.ran, &b.task.job, b.task.index))
        });
        let mut stopped = 0;
        for ExcessAttempt { task, need, .. } in excess {
            if Team::within(&limit, &Resources::default(), &held) {
                break;
            }
            // A gang is stopped whole: its other tasks are marked with the first.
            if self.is_stopping(&task) {
                held -= need;
                continue;
            }
            self.preempt(&task.job, task.index);
            held -= need;
            stopped += 1;
        }
        if stopped > 0 {
            let team = &self.settings.teams[team].name;
            tracing::info!(%team, stopped, "above its limit");
        }
    }

    fn is_stopping(&self, task: &TaskId) -> bool {
        let live = self
            .jobs
            .get(&task.job)
            .and_then(|j| j.tasks.live_attempts.get(&task.index));
        live.is_some_and(|live| {
            let key = AttemptId {
                task: task.clone(),
                number: live.number,
            };
            let attempt = self
                .machines
                .get(&live.machine)
                .and_then(|m| m.attempts.get(&key));
            attempt.is_some_and(|a| a.stop_grace.is_some())
        })
    }
}
