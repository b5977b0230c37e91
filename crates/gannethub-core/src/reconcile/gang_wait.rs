//! Gang tasks that exit because the rest of their gang was not ready in time.
//!
//! Stopping the whole gang then would make the other machines give up their fetches, and the next attempt would begin
//! with the same fetches. As long as the gang can still be complete, the attempt therefore goes on: the fetches
//! continue, and the task is placed again on its machine under the same attempt number, where it waits again. It keeps
//! its capacity until then.
//!
//! The attempt ends if a task is missing and no first fetch is under way, or if the tasks do not meet within one waiting
//! time after the last fetch. The next attempt then finds the images on the machines, so that all of its tasks begin to
//! wait at about the same time.

use crate::model::{AttemptId, MachineId, Micros, TaskId};
use crate::state::attempt::{Attempt, Relaunch};
use crate::state::cluster::Cluster;
use crate::state::job::Job;
use crate::wire::worker::ExitReason;

impl Cluster {
    /// Returns the present attempts of a job's tasks.
    fn live_attempts_of<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = &'a Attempt> {
        job.tasks.live_attempts.iter().filter_map(|(index, live)| {
            let id = AttemptId::new(job.id.clone(), *index, live.number);
            self.machines.get(&live.machine)?.attempts.get(&id)
        })
    }

    /// Whether the other tasks of a gang may still become ready while `task` waits again.
    pub(super) fn may_gang_be_complete(&self, task: &TaskId, now: Micros) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let Some(gang) = &job.tasks.gang_attempt else {
            return false;
        };
        let is_first_fetch =
            |attempt: &Attempt| attempt.relaunch == Relaunch::None && attempt.may_fetch();
        // After a failover, a task on a machine that is not confirmed yet may be fetching.
        if !job.tasks.unconfirmed.is_empty() || self.live_attempts_of(job).any(is_first_fetch) {
            return true;
        }
        let mut missing = job
            .tasks
            .pending
            .iter()
            .filter(|index| *index != task.index);
        missing.next().is_none()
            && (self.live_attempts_of(job).any(Attempt::may_fetch)
                || now < gang.last_ready_at + self.settings.gang_wait_timeout)
    }

    /// Whether a task that waited too long for its gang may wait again on its machine: the gang's attempt goes on, the
    /// team is within its limit, and the machine takes work.
    pub(super) fn may_wait_again(
        &self,
        machine: &MachineId,
        attempt_id: &AttemptId,
        now: Micros,
    ) -> bool {
        let AttemptId { task, number } = attempt_id;
        let (Some(job), Some(state)) = (self.jobs.get(&task.job), self.machines.get(machine))
        else {
            return false;
        };
        let live = job.tasks.live_attempts.get(&task.index);
        let is_live = live.is_some_and(|live| live.number == *number && live.machine == *machine);
        let gang = job.tasks.gang_attempt.as_ref();
        let goes_on = gang.is_some_and(|g| g.number == *number && !g.running && !g.stopping);
        let attempt = state.attempts.get(attempt_id);
        is_live
            && goes_on
            && !job.cancelled
            && attempt.is_some_and(|attempt| attempt.stop_grace.is_none())
            && job.team.is_some_and(|team| self.is_within_limit(team))
            && state.is_schedulable(now, self.settings.heartbeat_interval)
            && self.may_gang_be_complete(task, now)
    }

    /// Keeps the place of a task that waited too long for its gang. The task is launched again when its worker has
    /// forgotten the end.
    pub(super) fn wait_again(&mut self, machine: &MachineId, attempt_id: &AttemptId, now: Micros) {
        tracing::info!(task = %attempt_id.task, %machine, "gang is not ready, task waits again");
        self.pause_usage(machine, attempt_id, now);
        let machine = self.machines.get_mut(machine);
        let attempt = machine.and_then(|machine| machine.attempts.get_mut(attempt_id));
        if let Some(attempt) = attempt {
            attempt.relaunch = Relaunch::AwaitsForget;
        }
    }

    /// Prepares the launch of an attempt that was placed again on its machine, now that the worker has forgotten the
    /// earlier end.
    pub(super) fn begin_relaunch(
        &mut self,
        machine: &MachineId,
        attempt_id: &AttemptId,
        end: ExitReason,
        now: Micros,
    ) {
        let usage_record = self.relaunched_usage_record(attempt_id, machine, now);
        let Some(machine) = self.machines.get_mut(machine) else {
            return;
        };
        machine.worker.heartbeat_digest = None;
        let Some(attempt) = machine.attempts.get_mut(attempt_id) else {
            return;
        };
        *attempt = Attempt::starting(attempt.resources, attempt.team, usage_record, now);
        // Only a task that has waited is known to have had its image.
        if end == ExitReason::Alone {
            attempt.relaunch = Relaunch::Ready;
        }
    }
}
