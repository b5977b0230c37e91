//! What jobs downstream ask of those upstream, and which will be released soon.

use std::collections::{BTreeSet, HashMap};

use crate::model::{JobId, JobSpec, Micros, TaskId};
use crate::state::cluster::Cluster;
use crate::state::pipeline::Waiting;
use crate::state::records::{Due, Job, Pull, Stage};

/// How often what downstream jobs ask of those upstream is worked out again.
const RECOMPUTE_INTERVAL: Micros = 500_000;
/// ... and that often when nothing has changed but what is known of how long tasks run.
const MAX_RECOMPUTE_INTERVAL: Micros = 5_000_000;

impl Cluster {
    /// Works out what jobs downstream ask of those that they wait for: the highest priority, and the
    /// time that the final deadline leaves after what is still to run behind them.
    pub fn propagate_downstream_demand(&mut self, now: Micros) {
        let lines = &mut self.pipelines;
        let every = if lines.changed {
            RECOMPUTE_INTERVAL
        } else {
            MAX_RECOMPUTE_INTERVAL
        };
        if now < lines.pulled_at + every {
            return;
        }
        lines.pulled_at = now;
        lines.changed = false;
        let times: Vec<(Option<&str>, f64)> = self
            .settings
            .objectives
            .iter()
            .filter(|o| o.kind == "deadline")
            .map(|o| (o.class.as_deref(), o.times))
            .collect();
        let mut pulls: HashMap<&JobId, Pull> = HashMap::new();
        let mut found: Vec<(JobId, Pull)> = Vec::new();
        for id in self.pipelines.links.ends_first() {
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
            if self.pipelines.links.is_cancelled(id) {
                continue;
            }
            // Its own deadlines or those of what follows it, whichever come first.
            let own = times.iter().map(|(class, times)| {
                let due = spec
                    .deadline
                    .filter(|_| class.is_none_or(|c| *c == *spec.class))?;
                let due = w.at + (due as f64 * times) as Micros;
                Some(Due { by: due, last: due })
            });
            let after = pulled.as_ref().map_or(&[][..], |p| &p.due);
            let step = self.stage_time(spec);
            let due: Vec<Option<Due>> = own
                .enumerate()
                .map(|(i, own)| {
                    let both = [own, after.get(i).copied().flatten()];
                    Some(both.into_iter().flatten().reduce(Due::first)?.less(step))
                })
                .collect();
            let priority = pulled.map_or(spec.priority, |p| p.priority.max(spec.priority));
            for u in self.pipelines.links.saga.open(id) {
                let pull = pulls.entry(u).or_insert_with(|| Pull {
                    priority,
                    due: due.clone(),
                });
                pull.priority = pull.priority.max(priority);
                for (mine, theirs) in pull.due.iter_mut().zip(&due) {
                    *mine = [*mine, *theirs].into_iter().flatten().reduce(Due::first);
                }
            }
        }
        let kept: BTreeSet<&JobId> = found.iter().map(|f| &f.0).collect();
        for id in self
            .pipelines
            .pulled
            .extract_if(.., |id| !kept.contains(id))
        {
            if let Some(j) = self.jobs.get_mut(&id) {
                j.pull = None;
            }
        }
        self.pipelines.pulled.clear();
        for (id, pull) in found {
            let before = match (self.jobs.get(&id), self.pipelines.waiting.get(&id)) {
                (Some(j), _) => j.pull.as_ref(),
                (None, w) => w.and_then(|w| w.pull.as_ref()),
            };
            let late = |p: &Pull| p.due.iter().flatten().any(|due| due.last < self.wall);
            if late(&pull) && !before.is_some_and(late) {
                tracing::info!(job = %id, "too late for the final deadline");
            }
            if let Some(j) = self.jobs.get_mut(&id) {
                j.pull = Some(pull);
                self.pipelines.pulled.push(id);
            } else if let Some(w) = self.pipelines.waiting.get_mut(&id) {
                w.pull = Some(pull);
            }
        }
    }

    /// Waiting jobs that are expected to be released by `until`, and when, the first one first.
    pub fn upcoming_releases(&self, now: Micros, until: Micros) -> Vec<(Micros, &JobId, &Waiting)> {
        let lines = &self.pipelines;
        if lines.waiting.is_empty() {
            return Vec::new();
        }
        // When each is expected to end, those upstream first.
        let mut ends: HashMap<&JobId, Micros> = HashMap::new();
        let mut out = Vec::new();
        for id in lines.links.ends_first().into_iter().rev() {
            if let Some(job) = self.jobs.get(id).filter(|j| !j.cancelled) {
                ends.insert(id, self.expected_job_end(job, now));
            }
            let Some((id, w)) = lines.waiting.get_key_value(id) else {
                continue;
            };
            let upstream = lines.links.saga.open(id).map(|u| ends.get(u).copied());
            let Some(upstream) = upstream.collect::<Option<Vec<_>>>() else {
                continue;
            };
            let release = upstream.into_iter().max().unwrap_or(now);
            if !lines.links.is_cancelled(id) {
                ends.insert(id, release + self.stage_time(&w.spec).likely);
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
        let ends = job.live.iter().map(|(index, (machine, attempt))| {
            let key = (
                TaskId {
                    job: job.id.clone(),
                    index: *index,
                },
                *attempt,
            );
            let attempt = self
                .machines
                .get(machine)
                .and_then(|m| m.attempts.get(&key));
            attempt.map_or(now, |a| self.expected_end(&key.0, a, now))
        });
        let last = ends.max().unwrap_or(now);
        if job.pending.is_empty() {
            last
        } else {
            last.max(now + self.expected_run(&job.spec))
        }
    }

    /// What a job takes from its release to its end, when it finds room: until workers are told
    /// and tell, the image, and its tasks at their expected time and a quarter more. At least: a part of
    /// that time, with the image there.
    pub(crate) fn stage_time(&self, spec: &JobSpec) -> Stage {
        let told = 2 * self.settings.report;
        let stage = self.run_time(spec);
        Stage {
            likely: stage.likely + told,
            least: stage.least + told / 2,
        }
    }

    /// The same from the start of its tasks.
    pub fn run_time(&self, spec: &JobSpec) -> Stage {
        let run = self.expected_run(spec);
        Stage {
            likely: self.fetch_time(spec) + run * 5 / 4,
            least: run * 3 / 4,
        }
    }
}
