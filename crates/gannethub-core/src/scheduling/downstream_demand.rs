//! What jobs that wait for others ask of their upstream jobs, and which of them will be released soon.
//!
//! An upstream job inherits the highest priority of the jobs that wait for it, directly or through others, and the time that
//! their final deadline leaves after what is still to run behind it.

use std::collections::{BTreeSet, HashMap};

use crate::model::{JobId, JobSpec, Micros, TaskId};
use crate::state::cluster::Cluster;
use crate::state::deadline::{Deadline, DownstreamDemand, StageDuration};
use crate::state::job::Job;
use crate::state::pipeline::WaitingJob;

/// How often demand is computed again after the dependencies have changed.
const RECOMPUTE_INTERVAL: Micros = 500_000;

/// How often it is when nothing has changed but what is known of run times.
const MAX_RECOMPUTE_INTERVAL: Micros = 5_000_000;

/// A `deadline` objective: the class that it is for, or all, and how many times the job's deadline it allows.
struct DeadlineObjective<'a> {
    class: Option<&'a str>,
    times: f64,
}

/// Combines what two jobs ask, objective by objective: the earlier deadline of each.
fn earliest(a: Option<Deadline>, b: Option<Deadline>) -> Option<Deadline> {
    [a, b].into_iter().flatten().reduce(Deadline::earliest)
}

impl Cluster {
    /// Computes what waiting jobs ask of their upstream jobs, if that is due.
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

    /// What is asked of each job that others wait for, those downstream first.
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
            let asked = self.demand_on_upstream(waiting, demand.as_ref(), &objectives);
            for upstream in dependencies.saga.open_upstream(id) {
                let Some(known) = demand_by_job.get_mut(upstream) else {
                    demand_by_job.insert(upstream, asked.clone());
                    continue;
                };
                known.priority = known.priority.max(asked.priority);
                for (deadline, other) in known.deadlines.iter_mut().zip(&asked.deadlines) {
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
                times: objective.times,
            })
            .collect()
    }

    /// What a waiting job asks of its upstream jobs: for each objective its own deadline or that of what waits for it,
    /// whichever comes first, less the time that it takes itself.
    fn demand_on_upstream(
        &self,
        waiting: &WaitingJob,
        demand: Option<&DownstreamDemand>,
        objectives: &[DeadlineObjective<'_>],
    ) -> DownstreamDemand {
        let spec = &waiting.spec;
        let own_deadline = |objective: &DeadlineObjective<'_>| {
            let is_meant = objective.class.is_none_or(|class| *class == *spec.class);
            let deadline = spec.deadline.filter(|_| is_meant)?;
            let due_at = waiting.accepted_at + (deadline as f64 * objective.times) as Micros;
            Some(Deadline {
                target: due_at,
                latest: due_at,
            })
        };
        let stage = self.stage_time(spec);
        let deadlines = objectives.iter().enumerate().map(|(index, objective)| {
            let downstream = demand.and_then(|demand| demand.deadlines.get(index).copied());
            let deadline = earliest(own_deadline(objective), downstream.flatten())?;
            Some(deadline.minus_stage(stage))
        });
        let priority = demand.map_or(spec.priority, |demand| demand.priority.max(spec.priority));
        DownstreamDemand {
            priority,
            deadlines: deadlines.collect(),
        }
    }

    /// Drops the demand on jobs that nothing waits for any more.
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
            tracing::info!(job = %id, "too late for the final deadline");
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.scheduling.downstream_demand = Some(demand);
            self.pipelines.jobs_with_demand.push(id);
        } else if let Some(waiting) = self.pipelines.waiting.get_mut(&id) {
            waiting.downstream_demand = Some(demand);
        }
    }

    /// Waiting jobs that are expected to be released by `until`, and when, the first one first.
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
        // When each job is expected to end, those upstream first.
        let mut ends: HashMap<&JobId, Micros> = HashMap::new();
        let mut releases = Vec::new();
        for id in dependencies.downstream_first().into_iter().rev() {
            if let Some(job) = self.jobs.get(id).filter(|job| !job.cancelled) {
                ends.insert(id, self.expected_job_end(job, now));
            }
            let Some((id, waiting)) = pipelines.waiting.get_key_value(id) else {
                continue;
            };
            let upstream = dependencies.saga.open_upstream(id);
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
            ends.insert(id, release_at + self.stage_time(&waiting.spec).expected);
            if release_at <= until {
                releases.push((release_at, id, waiting));
            }
        }
        releases.sort_by_key(|(release_at, id, _)| (*release_at, *id));
        releases
    }

    /// When a job is expected to end at the earliest.
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
            last_end.max(now + self.expected_run(&job.spec))
        }
    }

    /// What a job takes from its release to its end, if it finds capacity: the heartbeats with which workers are told and
    /// tell, the image, and its tasks at their expected time and a quarter more. At least: a part of that time, with the
    /// image there.
    pub(crate) fn stage_time(&self, spec: &JobSpec) -> StageDuration {
        let heartbeats = 2 * self.settings.heartbeat_interval;
        let run_time = self.run_time(spec);
        StageDuration {
            expected: run_time.expected + heartbeats,
            minimum: run_time.minimum + heartbeats / 2,
        }
    }

    /// [`Cluster::stage_time`] from the start of the job's tasks.
    pub fn run_time(&self, spec: &JobSpec) -> StageDuration {
        let expected_run = self.expected_run(spec);
        StageDuration {
            expected: self.fetch_time(spec) + expected_run * 5 / 4,
            minimum: expected_run * 3 / 4,
        }
    }
}
