//! Failure tracking: whether a task's error is its machine's fault or its job's.
//!
//! Mostly a machine is faulty; but a job submitted with a mistake fails on every machine until its user cancels it. Evidence
//! is weighed both ways. A job that has failed on several machines and never got anything done is *crash-looping*: one task
//! of it is probed now and then, more and more rarely, on capacity that is there; nothing is reserved or preempted for it, it
//! claims no guarantee, and no machine is blamed for it. The first task that is done clears it, and then the machines it
//! failed on are looked at again. A machine is quarantined when a job that does well elsewhere fails on it twice, or when
//! several jobs do that are not crash-looping.

use crate::model::{JobId, MachineId, Micros, SECOND, Shape, TaskId};
use crate::state::attempt::AttemptPhase;
use crate::state::cluster::Cluster;
use crate::state::failure_tracking::FailureTracking;
use crate::state::job::Job;

/// Replicas never end; one that has run for this long has done well.
const HEALTHY_AFTER: Micros = 10 * SECOND;

/// The time until a failed task is tried again, doubled with each of its failures, up to so many doublings.
const FIRST_TASK_BACKOFF: Micros = 2 * SECOND;
const MAX_TASK_BACKOFF_DOUBLINGS: u32 = 5;

/// The time between probes of a crash-looping job, doubled with each, up to so many doublings: about every two minutes.
const FIRST_PROBE_DELAY: Micros = 4 * SECOND;
const MAX_PROBE_DOUBLINGS: u32 = 5;

/// Failures of one job that does well elsewhere, or of so many jobs, after which a machine is quarantined.
const FAILURES_TO_QUARANTINE: usize = 2;

impl Cluster {
    /// Whether something of the job has gone well on some machine.
    fn has_succeeded(&self, job: &Job, now: Micros) -> bool {
        let is_healthy = |index: &u32| {
            let task = TaskId {
                job: job.id.clone(),
                index: *index,
            };
            self.live_attempt(&task).is_some_and(|attempt| {
                let healthy_at = attempt.phase_since + HEALTHY_AFTER;
                attempt.phase == AttemptPhase::Running && now >= healthy_at
            })
        };
        let is_service = job.spec.shape == Shape::Service;
        !job.tasks.done.is_empty() || (is_service && job.tasks.live_attempts.keys().any(is_healthy))
    }

    /// A task ended with an error on a machine.
    pub fn record_task_failure(&mut self, task: &TaskId, machine: &MachineId, now: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let is_first = job.failure_tracking.failed_machines.is_empty();
        let was_crash_looping = job.is_crash_looping();
        job.failure_tracking.failed_machines.insert(machine.clone());
        let backoff = job.tasks.backoff.entry(task.index).or_default();
        let doublings = backoff.failures.min(MAX_TASK_BACKOFF_DOUBLINGS);
        backoff.until = now + (FIRST_TASK_BACKOFF << doublings);
        backoff.failures += 1;
        self.clear_running_service(&task.job, now);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.is_crash_looping() {
            record_failed_probe(job, now);
            if !was_crash_looping {
                let machines = job.failure_tracking.failed_machines.len();
                tracing::info!(job = %task.job, machines, "the job fails wherever it runs");
                // A successor need not find out again.
                job.failure_tracking.known_crash_looping = true;
                job.mark_dirty(now);
            }
        } else if is_first {
            tracing::info!(%task, %machine, "task failed");
        }
        tracing::debug!(%task, %machine, "task failed");
        if let Some(state) = self.machines.get_mut(machine) {
            let failures = &mut state.placement.failures_by_job;
            *failures.entry(task.job.clone()).or_default() += 1;
        }
        self.quarantine_if_faulty(machine, now);
    }

    /// Clears a service that runs elsewhere: what it failed on says nothing against it.
    fn clear_running_service(&mut self, id: &JobId, now: Micros) {
        let Some(job) = self.jobs.get(id) else { return };
        if !job.tasks.done.is_empty() || !self.has_succeeded(job, now) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.failure_tracking = FailureTracking::default();
        }
    }

    /// A job's first task is done: the job is cleared, and the machines it failed on are looked at again.
    pub fn clear_failures(&mut self, id: &JobId, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.failure_tracking.known_crash_looping {
            tracing::info!(job = %id, "the job does well after all");
        }
        for machine in std::mem::take(&mut job.failure_tracking).failed_machines {
            self.quarantine_if_faulty(&machine, now);
        }
    }

    /// Quarantines and drains a machine if it is to blame for what failed on it since a task last did well.
    fn quarantine_if_faulty(&mut self, id: &MachineId, now: Micros) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        if machine.lifecycle.quarantined || !self.is_faulty(id, now) {
            return;
        }
        let jobs = machine.placement.failures_by_job.len();
        tracing::info!(machine = %id, jobs, "machine judged faulty");
        if let Some(machine) = self.machines.get_mut(id) {
            machine.lifecycle.quarantined = true;
        }
        self.drain_machine(id);
    }

    fn is_faulty(&self, id: &MachineId, now: Micros) -> bool {
        let Some(machine) = self.machines.get(id) else {
            return false;
        };
        let credible: Vec<(&Job, u32)> = machine
            .placement
            .failures_by_job
            .iter()
            .filter_map(|(job, failures)| Some((self.jobs.get(job)?, *failures)))
            .filter(|(job, _)| !job.is_crash_looping())
            .collect();
        credible.len() >= FAILURES_TO_QUARANTINE
            || credible.iter().any(|(job, failures)| {
                *failures as usize >= FAILURES_TO_QUARANTINE && self.has_succeeded(job, now)
            })
    }
}

/// Counts a failed probe of a crash-looping job. Tasks that were on machines already fail together: they are one probe.
fn record_failed_probe(job: &mut Job, now: Micros) {
    let tracking = &mut job.failure_tracking;
    if now < tracking.next_probe_at {
        return;
    }
    let doublings = tracking.failed_probes.min(MAX_PROBE_DOUBLINGS);
    tracking.next_probe_at = now + (FIRST_PROBE_DELAY << doublings);
    tracking.failed_probes += 1;
}
