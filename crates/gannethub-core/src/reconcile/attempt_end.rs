//! Ends of attempts: their capacity is released, their tasks are done or become pending again, and gangs fail as a
//! whole.

use gannethub_ledger::line::Reason;

use crate::model::{AttemptId, JobId, MachineId, Micros, SECOND, Shape, TaskId};
use crate::saga::{AbortAction, SagaState};
use crate::state::cluster::Cluster;
use crate::state::usage;
use crate::wire::store::TASKS_PER_PART;
use crate::wire::worker::ExitReason;

/// Delay before a task whose launch was refused may be launched again.
const REFUSED_LAUNCH_BACKOFF: Micros = SECOND;
/// Delay before a task that its worker refused as unknown may be launched again.
const UNKNOWN_TASK_BACKOFF: Micros = 5 * SECOND;
/// Time for which no task is placed on a machine after the machine refused a launch.
const REFUSING_MACHINE_BACKOFF: Micros = 3 * SECOND;
/// Weight of one finished task in the moving average of its class's ratio of run time to estimate.
const RUNTIME_RATIO_WEIGHT: f64 = 0.05;
/// Lower and upper bound of one task's ratio of run time to estimate.
const RUNTIME_RATIO_RANGE: (f64, f64) = (0.1, 10.0);

impl Cluster {
    /// Applies the end of an attempt. `run_time`: time for which the attempt ran without a pause before its end.
    pub(super) fn attempt_ended(
        &mut self,
        id: &MachineId,
        attempt_id: &AttemptId,
        reason: ExitReason,
        run_time: Micros,
        now: Micros,
    ) {
        if reason == ExitReason::Alone && self.may_wait_again(id, attempt_id, now) {
            return self.wait_again(id, attempt_id, now);
        }
        let has_job = self.jobs.contains_key(&attempt_id.task.job);
        if has_job && reason == ExitReason::Done {
            self.record_success(id, &attempt_id.task, run_time);
        }
        self.release_attempt(id, attempt_id, usage::end_reason(reason), now);
        if has_job {
            self.remove_live_attempt(attempt_id, id, Some(reason), now);
        }
    }

    /// Records the success of a task: clears failures of its machine, and updates the run time ratio of its class.
    fn record_success(&mut self, id: &MachineId, task: &TaskId, run_time: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some(machine) = self.machines.get_mut(id) {
            machine.placement.failures_by_job.clear();
        }
        if run_time == 0 || job.spec.run_time_estimate == 0 {
            return;
        }
        let run_time = run_time + job.tasks.saved_progress.remove(&task.index).unwrap_or(0);
        let (min_ratio, max_ratio) = RUNTIME_RATIO_RANGE;
        let ratio =
            (run_time as f64 / job.spec.run_time_estimate as f64).clamp(min_ratio, max_ratio);
        let class_ratio = self
            .runtime_ratios
            .entry(job.spec.class.clone())
            .or_insert(1.0);
        *class_ratio += RUNTIME_RATIO_WEIGHT * (ratio - *class_ratio);
    }

    /// Charges an attempt to the usage ledger and releases the capacity that it held.
    pub(super) fn release_attempt(
        &mut self,
        id: &MachineId,
        attempt_id: &AttemptId,
        reason: Reason,
        now: Micros,
    ) {
        self.charge_attempt(id, attempt_id, reason, now);
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let held = machine.attempts.get_mut(attempt_id);
        let Some(attempt) = held.filter(|attempt| attempt.holds_capacity) else {
            return;
        };
        attempt.holds_capacity = false;
        let (resources, team) = (attempt.resources, attempt.team);
        if !machine.holds_capacity() {
            machine.placement.idle_since = now;
        }
        self.passes.capacity_freed = true;
        self.passes.needed = true;
        self.adjust_usage(id, team, resources.scaled_by(-1), now);
    }

    /// Marks a task as done. In a gang, the task's element of the gang's saga commits. With the last task, the saga of
    /// the job commits.
    pub(super) fn complete_task(&mut self, task: &TaskId, now: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.cancelled || job.spec.shape == Shape::Service || task.index >= job.spec.tasks {
            return;
        }
        let is_first_success = job.tasks.done.is_empty();
        // The tasks of a gang complete together: if one task is done, all are.
        let completed = match job.spec.shape {
            Shape::Gang => 0..job.spec.tasks,
            _ => task.index..task.index + 1,
        };
        for index in completed {
            job.tasks.done.insert(index);
            job.tasks.pending.remove(index);
            job.tasks.unconfirmed.remove(index);
            job.tasks.backoff.remove(&index);
            job.persistence.dirty_parts.insert(index / TASKS_PER_PART);
            if let Some(gang) = &mut job.tasks.gang_attempt {
                gang.saga.commit(&index);
            }
        }
        job.persistence.dirty_since.get_or_insert(now);
        if job.is_finished() {
            job.saga.commit(&0);
            debug_assert_eq!(job.saga.state(), SagaState::Committed);
        }
        if is_first_success {
            self.clear_failures(&task.job, now);
        }
    }

    /// Removes an attempt that is known to be gone. Its task becomes pending again unless the task is done or the job
    /// is cancelled. `reason`: `None` if the attempt was lost with its machine, or if its worker stopped reporting the
    /// attempt without reporting its end.
    pub(super) fn remove_live_attempt(
        &mut self,
        attempt_id: &AttemptId,
        id: &MachineId,
        reason: Option<ExitReason>,
        now: Micros,
    ) {
        let (task, number) = (&attempt_id.task, attempt_id.number);
        if reason == Some(ExitReason::Done) {
            self.complete_task(task, now);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let live = job.tasks.live_attempts.get(&task.index);
        if !live.is_some_and(|live| live.number == number && live.machine == *id) {
            return;
        }
        job.tasks.live_attempts.remove(&task.index);
        if job.cancelled || job.tasks.done.contains(task.index) {
            return;
        }
        job.tasks.pending.insert(task.index);
        match reason {
            Some(ExitReason::Error) => self.record_task_failure(task, id, now),
            Some(
                refusal @ (ExitReason::InsufficientResources
                | ExitReason::OtherAttemptPresent
                | ExitReason::UnknownTask),
            ) => {
                self.back_off_refused_launch(task, id, refusal, now);
            }
            _ => {}
        }
        self.gang_task_lost(task, number, reason, now);
    }

    /// Backs off the task and the machine of a launch that the worker refused.
    fn back_off_refused_launch(
        &mut self,
        task: &TaskId,
        id: &MachineId,
        refusal: ExitReason,
        now: Micros,
    ) {
        tracing::info!(task = %task, machine = %id, reason = ?refusal, "launch refused");
        let backoff = match refusal {
            ExitReason::UnknownTask => UNKNOWN_TASK_BACKOFF,
            _ => REFUSED_LAUNCH_BACKOFF,
        };
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let task_backoff = job.tasks.backoff.entry(task.index).or_default();
            task_backoff.until = now + backoff;
        }
        if let Some(machine) = self.machines.get_mut(id) {
            machine.placement.unschedulable_until = now + REFUSING_MACHINE_BACKOFF;
        }
    }

    /// Handles the loss of a gang attempt's task that was not done. Before the gang runs, a task can be replaced under the
    /// same attempt number if it vanished, failed, had to leave its machine or found no free resources, and also if it
    /// waited too long for a gang that may still be complete. Any other loss, and any loss after the gang has started
    /// to run, aborts the whole gang attempt.
    fn gang_task_lost(
        &mut self,
        task: &TaskId,
        number: u64,
        reason: Option<ExitReason>,
        now: Micros,
    ) {
        let is_replaceable = match reason {
            None
            | Some(ExitReason::InsufficientResources | ExitReason::Error | ExitReason::Stopped) => {
                true
            }
            Some(ExitReason::Alone) => self.may_gang_be_complete(task, now),
            _ => false,
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let gang = job.tasks.gang_attempt.as_mut();
        let Some(gang) = gang.filter(|gang| gang.number == number) else {
            return;
        };
        let mut aborts = Vec::new();
        if !gang.stopping && (gang.running || !is_replaceable) {
            aborts = gang.saga.abort_element(&task.index);
            gang.stopping = true;
        }
        if job.tasks.live_attempts.is_empty() {
            job.tasks.gang_attempt = None;
        }
        self.stop_aborted_tasks(&task.job, aborts);
    }

    fn stop_aborted_tasks(&mut self, id: &JobId, aborts: Vec<AbortAction<u32>>) {
        for abort in aborts {
            let AbortAction::Cancel(index) = abort else {
                continue;
            };
            let job = self.jobs.get(id);
            let live = job.and_then(|job| job.tasks.live_attempts.get(&index).cloned());
            if let Some(live) = live {
                let attempt = AttemptId::new(id.clone(), index, live.number);
                self.stop_attempt(&live.machine, &attempt, 0);
            }
        }
    }

    /// Removes all attempts of a machine, which are lost. `why` is for the log.
    pub(super) fn lose_attempts(&mut self, id: &MachineId, now: Micros, reason: Reason, why: &str) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.worker.heartbeat_digest = None;
        let attempt_ids: Vec<_> = machine.attempts.keys().cloned().collect();
        let attempts = machine.attempts.values();
        let tasks = attempts.filter(|attempt| attempt.holds_capacity).count();
        if tasks > 0 {
            tracing::info!(machine = %id, tasks, why, "tasks lost");
        }
        self.record_unmetered_interval(id, now);
        for attempt_id in attempt_ids {
            self.release_attempt(id, &attempt_id, reason, now);
            let machine = self.machines.get_mut(id);
            let lost = machine.and_then(|machine| machine.attempts.remove(&attempt_id));
            if lost.is_some_and(|attempt| attempt.is_live()) {
                self.remove_live_attempt(&attempt_id, id, None, now);
            }
        }
    }

    /// Removes a machine that the cloud has confirmed as deleted or that can no longer exist. `why` is for the log.
    pub fn remove_machine(&mut self, id: &MachineId, now: Micros, why: &str) {
        self.lose_attempts(id, now, Reason::Machine, why);
        self.charge_orphans(id, Reason::Machine, now);
        self.shard.remove(id);
        let Some(machine) = self.machines.remove(id) else {
            return;
        };
        if let Some(bucket) = machine.placement.capacity_bucket {
            self.capacity_index
                .remove(bucket, id, machine.placement.indexed_free_cpu);
        }
    }
}
