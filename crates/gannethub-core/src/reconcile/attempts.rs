//! Reconciliation of attempts with those that a worker reports: new attempts are adopted, known ones move through their
//! phases, missing ones are dropped. The end of an attempt is handled in [`super::attempt_end`].

use std::collections::HashSet;

use gannethub_ledger::line::Reason;

use crate::model::{AttemptId, MachineId, Micros, Resources, Shape, TaskId};
use crate::state::attempt::{Attempt, AttemptPhase, GangAttempt, LiveAttempt, Relaunch};
use crate::state::cluster::Cluster;
use crate::state::job::Job;
use crate::state::usage;
use crate::wire::worker::{ExitReason, ReportedTask, WorkerHeartbeat};

impl Cluster {
    /// Reconciles the machine's attempts with those that its worker reports.
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
        self.charge_unreported_orphans(id, heartbeat.incarnation, now);
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
        let phase = AttemptPhase::from(task);
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

    /// Drops attempts that the worker no longer reports.
    fn drop_missing_attempts(
        &mut self,
        id: &MachineId,
        reported: &HashSet<AttemptId>,
        now: Micros,
    ) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let known = machine.attempts.keys();
        let missing: Vec<_> = known
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
            // The worker was told to forget the attempt, and did.
            AttemptPhase::Ended(_) if !attempt.is_live() => {}
            // The task was placed again on the machine.
            AttemptPhase::Ended(reason) if attempt.stop_grace.is_none() => {
                return self.begin_relaunch(id, attempt_id, reason, now);
            }
            // The response with the launch was lost, and workers drop late responses: the launch is sent again.
            AttemptPhase::Starting if attempt.stop_grace.is_none() => return,
            _ => {
                self.release_attempt(id, attempt_id, Reason::Missing, now);
                self.remove_live_attempt(attempt_id, id, None, now);
            }
        }
        if let Some(machine) = self.machines.get_mut(id) {
            machine.attempts.remove(attempt_id);
        }
    }

    /// Adopts an attempt that a worker reports and that this leader did not start. An earlier leader started it. If its
    /// job does not need the attempt any more, the worker is told to stop it.
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
            (job.spec.resources, job.team)
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
            relaunch: Relaunch::None,
            usage_record,
        };
        if let Some(machine) = self.machines.get_mut(id) {
            machine.attempts.insert(attempt_id.clone(), attempt);
        }
        self.record_image(id, &attempt_id, phase);
        if let AttemptPhase::Ended(reason) = phase {
            self.charge_attempt(id, &attempt_id, usage::end_reason(reason), now);
        } else {
            self.adjust_usage(id, team, resources, now);
        }
    }

    /// Adds an adopted attempt to its job. Returns the grace period for stopping the attempt if it is not needed.
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
                // Until the end is stored, only the watermark tells a successor that the task was launched.
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.request_watermark(task.index + 1);
                }
                self.complete_task(task, now);
            }
            return None;
        }
        // An attempt whose job is not live has to end, as the job has ended.
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
            job.spec.shape == Shape::Gang && !join_gang_attempt(job, number, phase, now);
        is_of_other_gang_attempt.then_some(0)
    }

    /// Applies an attempt's change to another phase.
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
        if attempt.relaunch == Relaunch::AwaitsForget {
            attempt.relaunch = Relaunch::Ready;
        }
        let is_first_arrival =
            attempt.relaunch == Relaunch::None || old_phase == AttemptPhase::Fetching;
        // The worker reports an attempt that it was told to launch, so the responses reach it.
        machine.worker.lost_response_incarnations = 0;
        let run_time = match old_phase {
            AttemptPhase::Running => now.saturating_sub(entered_at),
            _ => 0,
        };
        self.record_image(id, attempt_id, phase);
        match phase {
            AttemptPhase::Waiting if is_first_arrival => self.gang_task_ready(attempt_id, now),
            AttemptPhase::Running => self.gang_task_started(attempt_id),
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
            AttemptPhase::Starting | AttemptPhase::Fetching | AttemptPhase::Waiting => {}
        }
    }

    fn gang_attempt_mut(&mut self, attempt_id: &AttemptId) -> Option<&mut GangAttempt> {
        let job = self.jobs.get_mut(&attempt_id.task.job)?;
        let gang = job.tasks.gang_attempt.as_mut();
        gang.filter(|gang| gang.number == attempt_id.number)
    }

    /// Records that a task of a gang has its image and waits for the others.
    fn gang_task_ready(&mut self, attempt_id: &AttemptId, now: Micros) {
        if let Some(gang) = self.gang_attempt_mut(attempt_id) {
            gang.last_ready_at = now;
        }
    }

    /// Records that a task runs, which means that all tasks of its gang do.
    fn gang_task_started(&mut self, attempt_id: &AttemptId) {
        if let Some(gang) = self.gang_attempt_mut(attempt_id) {
            gang.running = true;
        }
    }
}

/// Adds an adopted attempt to its job's gang attempt, which is created if there is none. Returns `false` if the job has
/// another gang attempt.
fn join_gang_attempt(job: &mut Job, attempt_number: u64, phase: AttemptPhase, now: Micros) -> bool {
    let tasks = job.spec.tasks;
    let gang = job
        .tasks
        .gang_attempt
        .get_or_insert_with(|| GangAttempt::new(attempt_number, tasks, now));
    gang.running |= matches!(phase, AttemptPhase::Running | AttemptPhase::Saving);
    gang.number == attempt_number
}
