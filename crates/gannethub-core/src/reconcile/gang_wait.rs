//! Gang tasks that exit because the rest of their gang was not ready in time.
//!
//! Stopping the whole gang then would make the other machines give up their fetches, and the next attempt would begin
//! with the same fetches. As long as the gang can still be complete, the attempt therefore goes on: the fetches
//! continue, and the task is placed again on its machine under the same attempt number, where it waits again. It keeps
//! its capacity until then.
//!
//! The attempt ends if a task is missing and no fetch is under way, or if the tasks do not meet within one waiting
//! time after the last fetch. The next attempt then finds the images on the machines, so that all of its tasks begin to
//! wait at about the same time.

use crate::model::{AttemptId, JobId, MachineId, Micros};
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

    /// Whether the other tasks of a gang, one of whose tasks has just been removed, may still become ready while that
    /// task waits again.
    pub(super) fn may_gang_be_complete(&self, id: &JobId, now: Micros) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let Some(gang) = &job.tasks.gang_attempt else {
            return false;
        };
        let is_first_fetch =
            |attempt: &Attempt| attempt.relaunch == Relaunch::None && attempt.may_fetch();
        if self.live_attempts_of(job).any(is_first_fetch) {
            return true;
        }
        let are_others_placed = job.live_count() + 1 >= job.spec.tasks;
        are_others_placed
            && (self.live_attempts_of(job).any(Attempt::may_fetch)
                || now < gang.last_ready_at + self.settings.gang_wait_timeout)
    }

    /// Places a task that waited too long for its gang again on its machine, if the gang's attempt goes on and the
    /// machine takes work.
    pub(super) fn retry_wait_for_gang(
        &mut self,
        machine: &MachineId,
        attempt_id: &AttemptId,
        reason: ExitReason,
        now: Micros,
    ) {
        let (Some(job), Some(state)) = (
            self.jobs.get(&attempt_id.task.job),
            self.machines.get(machine),
        ) else {
            return;
        };
        let gang = job.tasks.gang_attempt.as_ref();
        let continues = gang.is_some_and(|gang| gang.number == attempt_id.number && !gang.stopping);
        if reason == ExitReason::Alone
            && continues
            && job.tasks.pending.contains(attempt_id.task.index)
            && self.tasks_within_quota(job) > 0
            && state.is_schedulable(now, self.settings.heartbeat_interval)
        {
            tracing::info!(task = %attempt_id.task, %machine, "gang is not ready, task waits again");
            self.place_task(attempt_id.clone(), machine, now);
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
        let usage_record = self.open_usage_record(attempt_id, machine, now);
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
