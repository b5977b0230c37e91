//! Who is to blame for a task's error: its machine, or its job.
//!
//! Mostly a machine is faulty; but a job submitted with a mistake fails on every machine until its
//! user cancels it. Evidence is weighed both ways. A job that has failed on several machines and
//! never got anything done is *suspect*: one task of it is tried now and then, more and more
//! rarely, on room that is there; nothing is kept or stopped for it, it claims no guarantee, and no
//! machine is blamed for it. The first task that is done clears it, and then the machines it failed on are
//! looked at again. A machine is faulty when a job that does well elsewhere fails on it twice, or
//! when several jobs do that are not suspect.

use crate::model::{AttemptId, JobId, MachineId, Micros, SECOND, Shape, TaskId};
use crate::state::attempt::{AttemptPhase, LiveAttempt};
use crate::state::cluster::Cluster;
use crate::state::failure_tracking::FailureTracking;
use crate::state::job::Job;

/// Replicas never end; one that has run for this long has done well.
const HEALTHY_AFTER: Micros = 10 * SECOND;
const FIRST_PROBE_DELAY: Micros = 4 * SECOND;
/// A suspect job's trials come at most this many doublings apart: about every two minutes.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

impl Cluster {
    /// Something of the job has gone well on some machine.
    fn has_succeeded(&self, job: &Job, now: Micros) -> bool {
        let lasting = |live: &LiveAttempt, index: u32| {
            let task = TaskId {
                job: job.id.clone(),
                index,
            };
            let key = AttemptId {
                task,
                number: live.number,
            };
            let a = self
                .machines
                .get(&live.machine)
                .and_then(|m| m.attempts.get(&key));
            a.is_some_and(|a| {
                a.phase == AttemptPhase::Running && now >= a.phase_since + HEALTHY_AFTER
            })
        };
        !job.tasks.done.is_empty()
            || (job.spec.shape == Shape::Service
                && job.tasks.live_attempts.iter().any(|(i, p)| lasting(p, *i)))
    }

    /// A task ended with an error on a machine.
    pub fn record_task_failure(&mut self, task: &TaskId, id: &MachineId, now: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let first = job.failure_tracking.failed_machines.is_empty();
        let was = job.is_crash_looping();
        job.failure_tracking.failed_machines.insert(id.clone());
        let backoff = job.tasks.backoff.entry(task.index).or_default();
        backoff.until = now + ((2 * SECOND) << backoff.failures.min(5));
        backoff.failures += 1;
        if self
            .jobs
            .get(&task.job)
            .is_some_and(|j| self.has_succeeded(j, now))
        {
            // A service that runs elsewhere: what it failed on says nothing against it.
            if let Some(j) = self
                .jobs
                .get_mut(&task.job)
                .filter(|j| j.tasks.done.is_empty())
            {
                j.failure_tracking = FailureTracking::default();
            }
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.is_crash_looping() {
            // Tasks that were on machines already fail together: they are one trial.
            if now >= job.failure_tracking.next_probe_at {
                job.failure_tracking.next_probe_at = now
                    + (FIRST_PROBE_DELAY
                        << job
                            .failure_tracking
                            .failed_probes
                            .min(MAX_BACKOFF_DOUBLINGS));
                job.failure_tracking.failed_probes += 1;
            }
            if !was {
                let machines = job.failure_tracking.failed_machines.len();
                tracing::info!(job = %task.job, machines, "the job fails wherever it runs");
                // A successor need not find out again.
                job.failure_tracking.known_crash_looping = true;
                job.mark_dirty(now);
            }
        } else if first {
            tracing::info!(%task, machine = %id, "task failed");
        }
        tracing::debug!(%task, machine = %id, "task failed");
        if let Some(m) = self.machines.get_mut(id) {
            *m.placement
                .failures_by_job
                .entry(task.job.clone())
                .or_default() += 1;
        }
        self.quarantine_if_faulty(id, now);
    }

    /// A job's first task is done: it is cleared, and the machines it failed on are not.
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

    /// Decides whether a machine is to blame for what failed on it since a task last did well.
    fn quarantine_if_faulty(&mut self, id: &MachineId, now: Micros) {
        let Some(m) = self.machines.get(id).filter(|m| !m.lifecycle.quarantined) else {
            return;
        };
        let credible = || {
            let jobs = m
                .placement
                .failures_by_job
                .iter()
                .filter_map(|(j, n)| Some((self.jobs.get(j)?, *n)));
            jobs.filter(|(j, _)| !j.is_crash_looping())
        };
        let faulty = credible().count() >= 2
            || credible().any(|(j, n)| n >= 2 && self.has_succeeded(j, now));
        if faulty {
            tracing::info!(machine = %id, jobs = m.placement.failures_by_job.len(), "machine judged faulty");
            if let Some(m) = self.machines.get_mut(id) {
                m.lifecycle.quarantined = true;
            }
            self.drain_machine(id);
        }
    }
}
