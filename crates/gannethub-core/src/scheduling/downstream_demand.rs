//! Demand that waiting jobs place on their upstream jobs, and the releases expected soon.
//!
//! An upstream job inherits the highest priority of the jobs that wait for it, directly or through others. It also
//! inherits a deadline: the final deadline of those jobs, less the time of all work that still has to run after the
//! upstream job.

use std::collections::{BTreeSet, HashMap};

use crate::model::{JobId, JobSpec, Micros, TaskId};
use crate::state::cluster::Cluster;
use crate::state::downstream_demand::{Deadline, DownstreamDemand, JobDuration};
use crate::state::job::Job;
use crate::state::pipeline::WaitingJob;

/// Interval between computations of demand after the dependencies have changed, in microseconds.
const RECOMPUTE_INTERVAL: Micros = 500_000;

/// Interval between computations of demand, in microseconds, when only the known run times may have changed.
const MAX_RECOMPUTE_INTERVAL: Micros = 5_000_000;

/// A `deadline` objective: its job class (`None` for all classes), and the factor by which it multiplies a job's
/// deadline.
struct DeadlineObjective<'a> {
    class: Option<&'a str>,
    times: f64,
}

/// Returns the earlier deadline of two, or the only one that is given.
fn earliest(a: Option<Deadline>, b: Option<Deadline>) -> Option<Deadline> {
    [a, b].into_iter().flatten().reduce(Deadline::earliest)
}

impl Cluster {
    /// Computes the demand of waiting jobs on their upstream jobs, if the interval since the last computation has
    /// passed.
    pub fn propagate_downstream_demand(&mut self, now: Micros) {
        let pipelines = &mut self.pipelines;
        let interval = if pipelines.dependencies_changed {
            RECOMPUTE_INTERVAL
        } else {
            MAX_RECOMPUTE_INTERVAL
        };
        if now < pipelines.demand_computed_at + interval {
            return;
        }
        pipelines.demand_computed_at = now;
        pipelines.dependencies_changed = false;
        let demands = self.downstream_demands();
        self.drop_stale_demand(&demands);
        for (id, demand) in demands {
            self.set_downstream_demand(id, demand);
        }
    }

    /// Returns the demand on each job that others wait for, downstream jobs first.
    fn downstream_demands(&self) -> Vec<(JobId, DownstreamDemand)> {
        let dependencies = &self.pipelines.dependencies;
        let objectives = self.deadline_objectives();
        let mut demand_by_job: HashMap<&JobId, DownstreamDemand> = HashMap::new();
        let mut demands = Vec::new();
        for id in dependencies.downstream_first() {
            let waiting = self.pipelines.waiting.get(id);
            if waiting.is_none() && !self.jobs.contains_key(id) {
                continue;
            }
            let demand = demand_by_job.remove(id);
            if let Some(demand) = &demand {
                demands.push((id.clone(), demand.clone()));
            }
            let Some(waiting) = waiting.filter(|_| !dependencies.is_cancelled(id)) else {
                continue;
            };
            let own_demand = self.demand_on_upstream(waiting, demand.as_ref(), &objectives);
            for upstream in dependencies.saga.uncommitted_upstream(id) {
                let Some(known) = demand_by_job.get_mut(upstream) else {
                    demand_by_job.insert(upstream, own_demand.clone());
                    continue;
                };
                known.priority = known.priority.max(own_demand.priority);
                for (deadline, other) in known.deadlines.iter_mut().zip(&own_demand.deadlines) {
                    *deadline = earliest(*deadline, *other);
                }
            }
        }
        demands
    }

    fn deadline_objectives(&self) -> Vec<DeadlineObjective<'_>> {
        let objectives = self.settings.objectives.iter();
        objectives
            .filter(|objective| objective.kind == "deadline")
            .map(|objective| DeadlineObjective {
                class: objective.class.as_deref(),
                times: objective.deadline_factor,
            })
            .collect()
    }

    /// Returns the demand of a waiting job on its upstream jobs: for each objective the earlier of its own deadline
    /// and the deadline that its downstream jobs demand, less the time that the job itself takes.
    fn demand_on_upstream(
        &self,
        waiting: &WaitingJob,
        demand: Option<&DownstreamDemand>,
        objectives: &[DeadlineObjective<'_>],
    ) -> DownstreamDemand {
        let spec = &waiting.spec;
        let own_deadline = |objective: &DeadlineObjective<'_>| {
            let applies = objective.class.is_none_or(|class| *class == *spec.class);
            let deadline = spec.deadline.filter(|_| applies)?;
            let due_at = waiting.accepted_at + (deadline as f64 * objective.times) as Micros;
            Some(Deadline {
                target: due_at,
                latest: due_at,
            })
        };
        let duration = self.job_duration(spec);
        let deadlines = objectives.iter().enumerate().map(|(index, objective)| {
            let downstream = demand.and_then(|demand| demand.deadlines.get(index).copied());
            let deadline = earliest(own_deadline(objective), downstream.flatten())?;
            Some(deadline.minus_duration(duration))
        });
        let priority = demand.map_or(spec.priority, |demand| demand.priority.max(spec.priority));
        DownstreamDemand {
            priority,
            deadlines: deadlines.collect(),
        }
    }

    /// Clears the demand on jobs for which no job waits any more.
    fn drop_stale_demand(&mut self, demands: &[(JobId, DownstreamDemand)]) {
        let current: BTreeSet<&JobId> = demands.iter().map(|(id, _)| id).collect();
        for id in std::mem::take(&mut self.pipelines.jobs_with_demand) {
            if !current.contains(&id)
                && let Some(job) = self.jobs.get_mut(&id)
            {
                job.scheduling.downstream_demand = None;
            }
        }
    }

    fn set_downstream_demand(&mut self, id: JobId, demand: DownstreamDemand) {
        let job = self.jobs.get(&id);
        let waiting = self.pipelines.waiting.get(&id);
        let before = match job {
            Some(job) => job.scheduling.downstream_demand.as_ref(),
            None => waiting.and_then(|waiting| waiting.downstream_demand.as_ref()),
        };
        let is_too_late = |demand: &DownstreamDemand| {
            let mut deadlines = demand.deadlines.iter().flatten();
            deadlines.any(|deadline| deadline.latest < self.unix_time)
        };
        if is_too_late(&demand) && !before.is_some_and(is_too_late) {
            tracing::info!(job = %id, "job can no longer meet the final deadline");
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.scheduling.downstream_demand = Some(demand);
            self.pipelines.jobs_with_demand.push(id);
        } else if let Some(waiting) = self.pipelines.waiting.get_mut(&id) {
            waiting.downstream_demand = Some(demand);
        }
    }

    /// Returns the waiting jobs expected to be released by `until`, with the times of their releases, the earliest
    /// first.
    pub fn upcoming_releases(
        &self,
        now: Micros,
        until: Micros,
    ) -> Vec<(Micros, &JobId, &WaitingJob)> {
        let pipelines = &self.pipelines;
        if pipelines.waiting.is_empty() {
            return Vec::new();
        }
        let dependencies = &pipelines.dependencies;
        // Expected end of each job; upstream jobs are visited first.
        let mut ends: HashMap<&JobId, Micros> = HashMap::new();
        let mut releases = Vec::new();
        for id in dependencies.downstream_first().into_iter().rev() {
            if let Some(job) = self.jobs.get(id).filter(|job| !job.cancelled) {
                ends.insert(id, self.expected_job_end(job, now));
            }
            let Some((id, waiting)) = pipelines.waiting.get_key_value(id) else {
                continue;
            };
            let upstream = dependencies.saga.uncommitted_upstream(id);
            let upstream_ends: Option<Vec<Micros>> = upstream
                .map(|upstream| ends.get(upstream).copied())
                .collect();
            let Some(upstream_ends) = upstream_ends else {
                continue;
            };
            if dependencies.is_cancelled(id) {
                continue;
            }
            let release_at = upstream_ends.into_iter().max().unwrap_or(now);
            ends.insert(id, release_at + self.job_duration(&waiting.spec).expected);
            if release_at <= until {
                releases.push((release_at, id, waiting));
            }
        }
        releases.sort_by_key(|(release_at, id, _)| (*release_at, *id));
        releases
    }

    /// Returns the earliest expected end of a job.
    pub(crate) fn expected_job_end(&self, job: &Job, now: Micros) -> Micros {
        let ends = job.tasks.live_attempts.keys().map(|index| {
            let task = TaskId {
                job: job.id.clone(),
                index: *index,
            };
            self.live_attempt(&task)
                .map_or(now, |attempt| self.expected_end(&task, attempt, now))
        });
        let last_end = ends.max().unwrap_or(now);
        if job.tasks.pending.is_empty() {
            last_end
        } else {
            last_end.max(now + self.expected_run_time(&job.spec))
        }
    }

    /// Returns the time that a job takes from its release to its end, if it finds capacity. The expected time
    /// consists of two heartbeat intervals, in which the workers get the launches and report the ends, the fetch of
    /// the image, and the expected run time of its tasks plus a quarter. The minimum is one heartbeat interval and
    /// three quarters of the expected run time, with the image already on the machine.
    pub(crate) fn job_duration(&self, spec: &JobSpec) -> JobDuration {
        let heartbeats = 2 * self.settings.heartbeat_interval;
        let fetch_and_run = self.fetch_and_run_time(spec);
        JobDuration {
            expected: fetch_and_run.expected + heartbeats,
            minimum: fetch_and_run.minimum + heartbeats / 2,
        }
    }

    /// Returns [`Cluster::job_duration`] without the heartbeat intervals: the fetch of the image and the run.
    pub fn fetch_and_run_time(&self, spec: &JobSpec) -> JobDuration {
        let expected_run_time = self.expected_run_time(spec);
        JobDuration {
            expected: self.fetch_time(spec) + expected_run_time * 5 / 4,
            minimum: expected_run_time * 3 / 4,
        }
    }
}
