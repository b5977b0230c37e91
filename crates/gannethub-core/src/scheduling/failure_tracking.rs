//! Failure tracking: attribution of a task's error to its machine or to its job.
//!
//! In most cases the machine is faulty, but a job submitted with a mistake fails on every machine until its user
//! cancels it. Evidence is weighed both ways. A job that has failed on several machines and has never succeeded is
//! *crash-looping*: one task of the job, or the whole gang, is probed at growing intervals on free capacity. No
//! capacity is reserved or preempted for the job, the job claims no guarantee, and no machine is blamed for its
//! failures. The first finished task clears the job, and then the machines on which the job failed are reviewed again.
//! A job avoids the machines on which it has failed for a time, in placement and in the provisioning plan alike, and
//! prefers other machines afterwards.
//! A machine is quarantined when a job that succeeds elsewhere fails on it twice, or when several jobs that are not
//! crash-looping fail on it.

use crate::model::{JobId, MachineId, Micros, SECOND, Shape, TaskId};
use crate::state::attempt::AttemptPhase;
use crate::state::cluster::Cluster;
use crate::state::failure_tracking::FailureTracking;
use crate::state::job::Job;

/// The tasks of a service never end; a task that has run for this time counts as a success.
const HEALTHY_AFTER: Micros = 10 * SECOND;

/// Delay before a failed task is started again, doubled with each failure of the task.
const FIRST_TASK_BACKOFF: Micros = 2 * SECOND;
/// Maximum number of doublings of the delay of a task.
const MAX_TASK_BACKOFF_DOUBLINGS: u32 = 5;

/// Time for which a job avoids a machine after one of its tasks failed there: long enough for another machine to be
/// provisioned. The machine may be the only one that the job can get, so it is tried again afterwards.
const FAILED_MACHINE_AVOIDANCE: Micros = 60 * SECOND;

/// Delay before the next probe of a crash-looping job, doubled with each failed probe: about two minutes at most.
const FIRST_PROBE_DELAY: Micros = 4 * SECOND;
/// Maximum number of doublings of the delay between probes.
const MAX_PROBE_DOUBLINGS: u32 = 5;

/// Number of failures of one job that succeeds elsewhere, or number of failing jobs, after which a machine is
/// quarantined.
const FAILURES_TO_QUARANTINE: usize = 2;

impl Cluster {
    /// Whether a task of the job is done or, for a service, has run long enough on some machine.
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

    /// Records that a task ended with an error on a machine.
    pub fn record_task_failure(&mut self, task: &TaskId, machine: &MachineId, now: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let is_first = job.failure_tracking.failed_machines.is_empty();
        let was_crash_looping = job.is_crash_looping();
        job.failure_tracking.failed_machines.insert(machine.clone());
        let avoid_until = now + FAILED_MACHINE_AVOIDANCE;
        job.scheduling.avoids_machines_until = avoid_until;
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
                tracing::info!(job = %task.job, machines, "job is crash-looping");
                // The stored record tells a successor, so that the successor need not detect the crash loop again.
                job.failure_tracking.known_crash_looping = true;
                job.mark_dirty(now);
            }
        } else if is_first {
            tracing::info!(%task, %machine, "task failed");
        }
        tracing::debug!(%task, %machine, "task failed");
        if let Some(state) = self.machines.get_mut(machine) {
            let failures = &mut state.placement.failures_by_job;
            let failures = failures.entry(task.job.clone()).or_default();
            failures.count += 1;
            failures.avoid_until = avoid_until;
        }
        self.quarantine_if_faulty(machine, now);
    }

    /// Clears the failures of a service whose tasks run well elsewhere: the failures are then no evidence against the
    /// service.
    fn clear_running_service(&mut self, id: &JobId, now: Micros) {
        let Some(job) = self.jobs.get(id) else { return };
        if !job.tasks.done.is_empty() || !self.has_succeeded(job, now) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.failure_tracking = FailureTracking::default();
        }
    }

    /// Clears a job's failures when its first task is done, and reviews the machines on which the job failed.
    pub fn clear_failures(&mut self, id: &JobId, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.failure_tracking.known_crash_looping {
            tracing::info!(job = %id, "job is no longer crash-looping");
        }
        for machine in std::mem::take(&mut job.failure_tracking).failed_machines {
            self.quarantine_if_faulty(&machine, now);
        }
    }

    /// Quarantines and drains a machine if it is to blame for the failures since a task last succeeded on it.
    fn quarantine_if_faulty(&mut self, id: &MachineId, now: Micros) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        if machine.lifecycle.quarantined || !self.is_faulty(id, now) {
            return;
        }
        let jobs = machine.placement.failures_by_job.len();
        tracing::info!(machine = %id, jobs, "quarantining faulty machine");
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
            .filter_map(|(job, failures)| Some((self.jobs.get(job)?, failures.count)))
            .filter(|(job, _)| !job.is_crash_looping())
            .collect();
        credible.len() >= FAILURES_TO_QUARANTINE
            || credible.iter().any(|(job, failures)| {
                *failures as usize >= FAILURES_TO_QUARANTINE && self.has_succeeded(job, now)
            })
    }
}

/// Counts a failed probe of a crash-looping job. Tasks already on machines fail together and count as one probe.
fn record_failed_probe(job: &mut Job, now: Micros) {
    let tracking = &mut job.failure_tracking;
    if now < tracking.next_probe_at {
        return;
    }
    let doublings = tracking.failed_probes.min(MAX_PROBE_DOUBLINGS);
    tracking.next_probe_at = now + (FIRST_PROBE_DELAY << doublings);
    tracking.failed_probes += 1;
}
