//! The life of attempts, as heartbeats and machine losses tell it: adopted, moved through their phases, ended, gone.

use std::collections::HashSet;

use gannethub_ledger::line::Reason;

use crate::model::{AttemptId, JobId, MachineId, Micros, Resources, SECOND, Shape, TaskId};
use crate::saga::{AbortAction, Saga, SagaState};
use crate::state::attempt::{Attempt, AttemptPhase, GangAttempt, LiveAttempt};
use crate::state::cluster::Cluster;
use crate::state::job::Job;
use crate::state::usage;
use crate::wire::store::TASKS_PER_PART;
use crate::wire::worker::{ExitReason, ReportedTask, TaskState, WorkerHeartbeat};

/// A task whose launch was refused is not launched again for this long ...
const REFUSED_LAUNCH_BACKOFF: Micros = SECOND;
/// ... or for this long if its worker knows no such task.
const UNKNOWN_TASK_BACKOFF: Micros = 5 * SECOND;
/// Nothing is placed on a machine for this long after it refused a launch.
const REFUSING_MACHINE_BACKOFF: Micros = 3 * SECOND;
/// How far one finished task moves its class's ratio of run time to estimate.
const RUNTIME_RATIO_WEIGHT: f64 = 0.05;
/// Bounds of one task's ratio of run time to estimate.
const RUNTIME_RATIO_RANGE: (f64, f64) = (0.1, 10.0);

impl AttemptPhase {
    fn of(task: &ReportedTask<'_>) -> AttemptPhase {
        match task.state {
            TaskState::Fetching => AttemptPhase::Fetching,
            TaskState::Waiting => AttemptPhase::Waiting,
            TaskState::Running => AttemptPhase::Running,
            TaskState::Saving => AttemptPhase::Saving,
            TaskState::Exited => AttemptPhase::Ended(task.exit_reason.unwrap_or(ExitReason::Other)),
        }
    }

    fn is_ended(self) -> bool {
        matches!(self, AttemptPhase::Ended(_))
    }
}

impl Cluster {
    /// Brings the machine's attempts in line with those that its worker reports.
    pub(super) fn reconcile_attempts(
        &mut self,
        id: &MachineId,
        now: Micros,
        heartbeat: &WorkerHeartbeat<'_>,
    ) {
        let mut reported = HashSet::with_capacity(heartbeat.tasks.len());
        for task in &heartbeat.tasks {
            let Some(task_id) = TaskId::parse(&task.task) else {
                continue;
            };
            let attempt_id = AttemptId {
                task: task_id,
                number: task.attempt,
            };
            reported.insert(attempt_id.clone());
            self.apply_reported_task(id, attempt_id, task, now);
        }
        self.charge_orphans_not_shown(id, heartbeat.incarnation, now);
        self.drop_missing_attempts(id, &reported, now);
    }

    fn apply_reported_task(
        &mut self,
        id: &MachineId,
        attempt_id: AttemptId,
        task: &ReportedTask<'_>,
        now: Micros,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let phase = AttemptPhase::of(task);
        let Some(attempt) = machine.attempts.get_mut(&attempt_id) else {
            return self.adopt_attempt(id, attempt_id, phase, now);
        };
        if let Some(usage) = &mut attempt.usage_record {
            usage.saved |= task.saved;
        }
        if attempt.phase != phase {
            self.change_phase(id, &attempt_id, phase, now);
        }
    }

    /// Drops attempts that the worker does not show any more.
    fn drop_missing_attempts(
        &mut self,
        id: &MachineId,
        reported: &HashSet<AttemptId>,
        now: Micros,
    ) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let shown = machine.attempts.keys();
        let missing: Vec<_> = shown
            .filter(|attempt_id| !reported.contains(*attempt_id))
            .cloned()
            .collect();
        for attempt_id in missing {
            self.drop_missing_attempt(id, &attempt_id, now);
        }
    }

    fn drop_missing_attempt(&mut self, id: &MachineId, attempt_id: &AttemptId, now: Micros) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(attempt) = machine.attempts.get(attempt_id) else {
            return;
        };
        match attempt.phase {
            // The worker was told to forget it, and did.
            AttemptPhase::Ended(_) => {}
            // The answer with the launch was lost, and workers drop late answers: it is sent again.
            AttemptPhase::Starting if attempt.stop_grace.is_none() => return,
            _ => {
                self.release_attempt(id, attempt_id, Reason::Missing, now);
                self.attempt_gone(attempt_id, id, None, now);
            }
        }
        if let Some(machine) = self.machines.get_mut(id) {
            machine.attempts.remove(attempt_id);
        }
    }

    /// A worker shows an attempt that this leader did not start: an earlier leader did, and it is adopted if its job
    /// still needs it. What is not needed is told to stop.
    fn adopt_attempt(
        &mut self,
        id: &MachineId,
        attempt_id: AttemptId,
        phase: AttemptPhase,
        now: Micros,
    ) {
        let usage_record = self.adopt_usage_record(id, &attempt_id, phase);
        let job = self.jobs.get(&attempt_id.task.job);
        let (resources, team) = job.map_or((Resources::default(), None), |job| {
            (job.spec.need, job.team)
        });
        let stop_grace = self.adopt_into_job(id, &attempt_id, phase, now);
        let attempt = Attempt {
            phase,
            phase_since: now,
            reported: true,
            stop_grace,
            resources,
            team,
            holds_capacity: !phase.is_ended(),
            usage_record,
        };
        if let Some(machine) = self.machines.get_mut(id) {
            machine.attempts.insert(attempt_id.clone(), attempt);
        }
        if let AttemptPhase::Ended(reason) = phase {
            self.charge_attempt(id, &attempt_id, usage::end_reason(reason), now);
        } else {
            self.adjust_usage(id, team, resources, now);
        }
    }

    /// Takes an adopted attempt into account for its job. Returns the grace to stop it with, if it is not needed.
    fn adopt_into_job(
        &mut self,
        id: &MachineId,
        attempt_id: &AttemptId,
        phase: AttemptPhase,
        now: Micros,
    ) -> Option<Micros> {
        let (task, number) = (&attempt_id.task, attempt_id.number);
        if phase.is_ended() {
            if phase == AttemptPhase::Ended(ExitReason::Done) {
                self.complete_task(task, now);
            }
            return None;
        }
        // An attempt of a job that is not live must end: the job is over.
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return Some(0);
        };
        let is_needed = !job.tasks.live_attempts.contains_key(&task.index)
            && !job.tasks.done.contains(task.index);
        if !is_needed || task.index >= job.spec.tasks {
            return Some(0);
        }
        let live = LiveAttempt {
            machine: id.clone(),
            number,
        };
        job.tasks.live_attempts.insert(task.index, live);
        job.tasks.pending.remove(task.index);
        job.tasks.unconfirmed.remove(task.index);
        job.request_watermark(task.index + 1);
        if job.cancelled {
            return Some(0);
        }
        let is_of_other_gang_attempt =
            job.spec.shape == Shape::Gang && !join_gang_attempt(job, number, phase);
        is_of_other_gang_attempt.then_some(0)
    }

    /// An attempt has entered another phase.
    fn change_phase(
        &mut self,
        id: &MachineId,
        attempt_id: &AttemptId,
        phase: AttemptPhase,
        now: Micros,
    ) {
        self.usage_phase_changed(id, attempt_id, phase, now);
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(attempt) = machine.attempts.get_mut(attempt_id) else {
            return;
        };
        let old_phase = std::mem::replace(&mut attempt.phase, phase);
        let entered_at = std::mem::replace(&mut attempt.phase_since, now);
        attempt.reported = true;
        // It shows what it was told to launch, so the answers reach it.
        machine.worker.unanswered_incarnations = 0;
        let run_time = match old_phase {
            AttemptPhase::Running => now.saturating_sub(entered_at),
            _ => 0,
        };
        match phase {
            AttemptPhase::Waiting | AttemptPhase::Running => {
                self.image_fetched(id, attempt_id, phase)
            }
            AttemptPhase::Saving => {
                if let Some(job) = self.jobs.get_mut(&attempt_id.task.job) {
                    *job.tasks
                        .saved_progress
                        .entry(attempt_id.task.index)
                        .or_default() += run_time;
                }
            }
            AttemptPhase::Ended(reason) => {
                self.attempt_ended(id, attempt_id, reason, run_time, now)
            }
            AttemptPhase::Starting | AttemptPhase::Fetching => {}
        }
    }

    /// An attempt waits for its gang or runs: its image is on the machine.
    fn image_fetched(&mut self, id: &MachineId, attempt_id: &AttemptId, phase: AttemptPhase) {
        let Some(job) = self.jobs.get_mut(&attempt_id.task.job) else {
            return;
        };
        if let Some(machine) = self.machines.get_mut(id) {
            machine
                .placement
                .cached_images
                .insert(job.spec.image.clone());
        }
        if let Some(gang) = job
            .tasks
            .gang_attempt
            .as_mut()
            .filter(|g| g.attempt == attempt_id.number)
        {
            gang.running |= phase == AttemptPhase::Running;
        }
    }

    /// An attempt has ended. `run_time`: how long it ran without a pause before that.
    fn attempt_ended(
        &mut self,
        id: &MachineId,
        attempt_id: &AttemptId,
        reason: ExitReason,
        run_time: Micros,
        now: Micros,
    ) {
        let has_job = self.jobs.contains_key(&attempt_id.task.job);
        if has_job && reason == ExitReason::Done {
            self.record_success(id, &attempt_id.task, run_time);
        }
        self.release_attempt(id, attempt_id, usage::end_reason(reason), now);
        if has_job {
            self.attempt_gone(attempt_id, id, Some(reason), now);
        }
    }

    /// A task was done: its machine works, and its class's run times are learned from.
    fn record_success(&mut self, id: &MachineId, task: &TaskId, run_time: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some(machine) = self.machines.get_mut(id) {
            machine
                .placement
                .cached_images
                .insert(job.spec.image.clone());
            machine.placement.failures_by_job.clear();
        }
        if run_time == 0 || job.spec.estimate == 0 {
            return;
        }
        let run_time = run_time + job.tasks.saved_progress.remove(&task.index).unwrap_or(0);
        let (least, most) = RUNTIME_RATIO_RANGE;
        let ratio = (run_time as f64 / job.spec.estimate as f64).clamp(least, most);
        let learned = self
            .runtime_ratios
            .entry(job.spec.class.clone())
            .or_insert(1.0);
        *learned += RUNTIME_RATIO_WEIGHT * (ratio - *learned);
    }

    /// Charges an attempt and gives back what it held.
    fn release_attempt(
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

    /// A task is done: its saga commits, and with the last task the job's saga does.
    fn complete_task(&mut self, task: &TaskId, now: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.cancelled || job.spec.shape == Shape::Service || task.index >= job.spec.tasks {
            return;
        }
        let is_first_success = job.tasks.done.is_empty();
        // The tasks of a gang complete together: one done means every one is.
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

    /// An attempt is known to be gone; unless it was done, its task waits for a machine again. `reason`: `None` if it
    /// vanished, with its machine or without a word.
    fn attempt_gone(
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
            Some(refusal @ (ExitReason::NoRoom | ExitReason::Busy | ExitReason::Unknown)) => {
                self.back_off_refused_launch(task, id, refusal, now);
            }
            _ => {}
        }
        self.gang_task_lost(task, number, reason);
    }

    /// A worker has refused a launch.
    fn back_off_refused_launch(
        &mut self,
        task: &TaskId,
        id: &MachineId,
        refusal: ExitReason,
        now: Micros,
    ) {
        tracing::info!(task = %task, machine = %id, reason = ?refusal, "launch refused");
        let backoff = match refusal {
            ExitReason::Unknown => UNKNOWN_TASK_BACKOFF,
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

    /// A task of a gang attempt is gone without being done. Before the gang runs a replacement with the same attempt
    /// number completes it; afterwards the whole attempt is aborted.
    fn gang_task_lost(&mut self, task: &TaskId, number: u64, reason: Option<ExitReason>) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let gang = job.tasks.gang_attempt.as_mut();
        let Some(gang) = gang.filter(|gang| gang.attempt == number) else {
            return;
        };
        let is_replaceable = matches!(reason, None | Some(ExitReason::NoRoom | ExitReason::Error));
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
                self.stop_attempt(id, index, &live.machine, live.number, 0);
            }
        }
    }

    /// Everything that was on the machine is gone. `why` is for the log.
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
            if lost.is_some_and(|attempt| !attempt.phase.is_ended()) {
                self.attempt_gone(&attempt_id, id, None, now);
            }
        }
    }

    /// Removes a machine: the cloud has confirmed that it is gone, or it can no longer exist. `why` is for the log.
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

/// Makes an adopted attempt part of its job's gang attempt, beginning one if there is none. `false`: the job has
/// another gang attempt.
fn join_gang_attempt(job: &mut Job, number: u64, phase: AttemptPhase) -> bool {
    let tasks = job.spec.tasks;
    let gang = job.tasks.gang_attempt.get_or_insert_with(|| GangAttempt {
        attempt: number,
        saga: Saga::independent(tasks),
        running: false,
        stopping: false,
    });
    gang.running |= matches!(phase, AttemptPhase::Running | AttemptPhase::Saving);
    gang.attempt == number
}
