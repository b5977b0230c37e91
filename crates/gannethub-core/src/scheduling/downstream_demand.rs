//! What jobs downstream ask of those upstream, and which will be released soon.

use std::collections::{BTreeSet, HashMap};

use crate::model::{AttemptId, JobId, JobSpec, Micros, TaskId};
use crate::state::cluster::Cluster;
use crate::state::deadline::{Deadline, DownstreamDemand, StageDuration};
use crate::state::job::Job;
use crate::state::pipeline::WaitingJob;

/// How often what downstream jobs ask of those upstream is worked out again.
const RECOMPUTE_INTERVAL: Micros = 500_000;
/// ... and that often when nothing has changed but what is known of how long tasks run.
const MAX_RECOMPUTE_INTERVAL: Micros = 5_000_000;

impl Cluster {
    /// Works out what jobs downstream ask of those that they wait for: the highest priority, and the
    /// time that the final deadline leaves after what is still to run behind them.
    pub fn propagate_downstream_demand(&mut self, now: Micros) {
        let lines = &mut self.pipelines;
        let every = if lines.dependencies_changed {
            RECOMPUTE_INTERVAL
        } else {
            MAX_RECOMPUTE_INTERVAL
        };
        if now < lines.demand_computed_at + every {
            return;
        }
        lines.demand_computed_at = now;
        lines.dependencies_changed = false;
        let times: Vec<(Option<&str>, f64)> = self
            .settings
            .objectives
            .iter()
            .filter(|o| o.kind == "deadline")
            .map(|o| (o.class.as_deref(), o.times))
            .collect();
        let mut pulls: HashMap<&JobId, DownstreamDemand> = HashMap::new();
        let mut found: Vec<(JobId, DownstreamDemand)> = Vec::new();
        for id in self.pipelines.dependencies.downstream_first() {
            let job = self.jobs.get(id);
            let spec = job
                .map(|j| &j.spec)
                .or(self.pipelines.waiting.get(id).map(|w| &w.spec));
            let Some(spec) = spec else { continue };
            let pulled = pulls.remove(id);
            if let Some(pull) = &pulled {
                found.push((id.clone(), pull.clone()));
            }
            let Some(w) = self.pipelines.waiting.get(id) else {
                continue;
            };
            if self.pipelines.dependencies.is_cancelled(id) {
                continue;
            }
            // Its own deadlines or those of what follows it, whichever come first.
            let own = times.iter().map(|(class, times)| {
                let due = spec
                    .deadline
                    .filter(|_| class.is_none_or(|c| *c == *spec.class))?;
                let due = w.accepted_at + (due as f64 * times) as Micros;
                Some(Deadline {
                    target: due,
                    latest: due,
                })
            });
            let after = pulled.as_ref().map_or(&[][..], |p| &p.deadlines);
            let step = self.stage_time(spec);
            let due: Vec<Option<Deadline>> = own
                .enumerate()
                .map(|(i, own)| {
                    let both = [own, after.get(i).copied().flatten()];
                    Some(
                        both.into_iter()
                            .flatten()
                            .reduce(Deadline::earliest)?
                            .minus_stage(step),
                    )
                })
                .collect();
            let priority = pulled.map_or(spec.priority, |p| p.priority.max(spec.priority));
            for u in self.pipelines.dependencies.saga.open_upstream(id) {
                let pull = pulls.entry(u).or_insert_with(|| DownstreamDemand {
                    priority,
                    deadlines: due.clone(),
                });
                pull.priority = pull.priority.max(priority);
                for (mine, theirs) in pull.deadlines.iter_mut().zip(&due) {
                    *mine = [*mine, *theirs]
                        .into_iter()
                        .flatten()
                        .reduce(Deadline::earliest);
                }
            }
        }
        let kept: BTreeSet<&JobId> = found.iter().map(|f| &f.0).collect();
        for id in self
            .pipelines
            .jobs_with_demand
            .extract_if(.., |id| !kept.contains(id))
        {
            if let Some(j) = self.jobs.get_mut(&id) {
                j.scheduling.downstream_demand = None;
            }
        }
        self.pipelines.jobs_with_demand.clear();
        for (id, pull) in found {
            let before = match (self.jobs.get(&id), self.pipelines.waiting.get(&id)) {
                (Some(j), _) => j.scheduling.downstream_demand.as_ref(),
                (None, w) => w.and_then(|w| w.downstream_demand.as_ref()),
            };
            let late = |p: &DownstreamDemand| {
                p.deadlines
                    .iter()
                    .flatten()
                    .any(|due| due.latest < self.unix_time)
            };
            if late(&pull) && !before.is_some_and(late) {
                tracing::info!(job = %id, "too late for the final deadline");
            }
            if let Some(j) = self.jobs.get_mut(&id) {
                j.scheduling.downstream_demand = Some(pull);
                self.pipelines.jobs_with_demand.push(id);
            } else if let Some(w) = self.pipelines.waiting.get_mut(&id) {
                w.downstream_demand = Some(pull);
            }
        }
    }

    /// Waiting jobs that are expected to be released by `until`, and when, the first one first.
    pub fn upcoming_releases(
        &self,
        now: Micros,
        until: Micros,
    ) -> Vec<(Micros, &JobId, &WaitingJob)> {
        let lines = &self.pipelines;
        if lines.waiting.is_empty() {
            return Vec::new();
        }
        // When each is expected to end, those upstream first.
        let mut ends: HashMap<&JobId, Micros> = HashMap::new();
        let mut out = Vec::new();
        for id in lines.dependencies.downstream_first().into_iter().rev() {
            if let Some(job) = self.jobs.get(id).filter(|j| !j.cancelled) {
                ends.insert(id, self.expected_job_end(job, now));
            }
            let Some((id, w)) = lines.waiting.get_key_value(id) else {
                continue;
            };
            let upstream = lines
                .dependencies
                .saga
                .open_upstream(id)
                .map(|u| ends.get(u).copied());
            let Some(upstream) = upstream.collect::<Option<Vec<_>>>() else {
                continue;
            };
            let release = upstream.into_iter().max().unwrap_or(now);
            if !lines.dependencies.is_cancelled(id) {
                ends.insert(id, release + self.stage_time(&w.spec).expected);
                if release <= until {
                    out.push((release, id, w));
                }
            }
        }
        out.sort_by_key(|f| (f.0, f.1));
        out
    }

    /// When a job is expected to end at the earliest.
    pub(crate) fn expected_job_end(&self, job: &Job, now: Micros) -> Micros {
        let ends = job.tasks.live_attempts.iter().map(|(index, live)| {
            let task = TaskId {
                job: job.id.clone(),
                index: *index,
            };
            let key = AttemptId {
                task,
                number: live.number,
            };
            let attempt = self
                .machines
                .get(&live.machine)
                .and_then(|m| m.attempts.get(&key));
            attempt.map_or(now, |a| self.expected_end(&key.task, a, now))
        });
        let last = ends.max().unwrap_or(now);
        if job.tasks.pending.is_empty() {
            last
        } else {
            last.max(now + self.expected_run(&job.spec))
        }
    }

    /// What a job takes from its release to its end, when it finds room: until workers are told
    /// and tell, the image, and its tasks at their expected time and a quarter more. At least: a part of
    /// that time, with the image there.
    pub(crate) fn stage_time(&self, spec: &JobSpec) -> StageDuration {
        let told = 2 * self.settings.report;
        let stage = self.run_time(spec);
        StageDuration {
            expected: stage.expected + told,
            minimum: stage.minimum + told / 2,
        }
    }

    /// The same from the start of its tasks.
    pub fn run_time(&self, spec: &JobSpec) -> StageDuration {
        let run = self.expected_run(spec);
        StageDuration {
            expected: self.fetch_time(spec) + run * 5 / 4,
            minimum: run * 3 / 4,
        }
    }
}
