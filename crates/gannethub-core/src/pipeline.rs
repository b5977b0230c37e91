//! Pipelines of several jobs: which job waits for which others, and what follows from their ends.
//!
//! All live jobs that wait, and those they wait for, are non-vital children of one standing
//! [`Saga`]: a job is released when every job upstream has committed, and cancelled with any of them.
//! Both follow from what the state service holds and from nothing else, so every controller comes to
//! the same answer, whoever leads and whether or not the leader has written it down yet:
//!
//! - a job is done when its `over` record says so, and that never changes;
//! - a job is cancelled when its own record says so, live or over, or when one it waits for is
//!   cancelled. A cancelled job is never done, so this never changes either;
//! - a waiting job has another kind of record than one that was released. Only the leader rewrites
//!   the one into the other, after it has read or written the ends of all jobs upstream, and only what
//!   it keeps among its jobs, which no waiting job is, can be placed on a machine.
//!
//! Of a job that is named by another and is not alive, the end is read.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::cluster::{Batch, Cluster, Item, Job};
use crate::model::{JobId, JobSpec, Micros, Priority, TaskId, seconds};
use crate::saga::{Action, Saga, State};
use crate::store::{self, Commit, JobRecord, OverRecord, WaitingRecord};

/// How often what downstream jobs ask of those upstream is worked out again.
const PULL_EVERY: Micros = 500_000;
/// ... and that often when nothing has changed but what is known of how long tasks run.
const PULL_AT_LEAST: Micros = 5_000_000;

/// What is known of a job that another one names.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fate {
    Alive,
    Done,
    Cancelled,
    /// Not alive as far as is known; its end has not been read.
    Unknown,
}

/// What a cancellation or an end leads to.
#[derive(Debug, Default, PartialEq)]
pub struct Consequences {
    pub released: Vec<JobId>,
    pub cancelled: Vec<JobId>,
}

/// Who waits for whom.
#[derive(Debug)]
pub struct Links {
    saga: Saga<JobId>,
    /// Jobs that others wait for, whose ends have to be read.
    unknown: BTreeSet<JobId>,
}

impl Default for Links {
    fn default() -> Links {
        Links { saga: Saga::standing(), unknown: BTreeSet::new() }
    }
}

impl Links {
    /// A job that waits. Its list never changes, so only the first time counts.
    pub fn add(
        &mut self,
        id: &JobId,
        upstream: &[JobId],
        cancelled: bool,
        fate: impl Fn(&JobId) -> Fate,
    ) -> Consequences {
        self.unknown.remove(id);
        let mut lost = cancelled;
        if !matches!(self.saga.element(id), Some(State::Waiting | State::Aborted)) {
            let mut open = Vec::new();
            for u in upstream {
                match fate(u) {
                    Fate::Done => continue,
                    Fate::Cancelled => lost = true,
                    Fate::Unknown => {
                        self.unknown.insert(u.clone());
                    }
                    Fate::Alive => {}
                }
                open.push(u.clone());
            }
            self.saga.add(id.clone(), false, &open);
        }
        if lost { self.cancel(id) } else { Consequences::default() }
    }

    /// A job that others wait for is alive after all.
    pub fn alive(&mut self, id: &JobId) {
        self.unknown.remove(id);
    }

    /// A live job that others wait for is gone, and nothing tells how it ended.
    pub fn lost_sight(&mut self, id: &JobId) {
        if self.saga.element(id).is_some() {
            self.unknown.insert(id.clone());
        }
    }

    /// A job has been cancelled, and with it all that wait for it.
    pub fn cancel(&mut self, id: &JobId) -> Consequences {
        let cancelled = self.saga.abort_element(id).into_iter().map(|a| match a {
            Action::Cancel(id) | Action::Compensate(id) => id,
        });
        Consequences { cancelled: cancelled.collect(), released: Vec::new() }
    }

    /// A job that waited has been released: its record says that all it waited for is done.
    pub fn released(&mut self, id: &JobId) {
        self.saga.release(id);
        if self.saga.downstream(id).next().is_none() {
            self.saga.forget(id);
        }
    }

    /// A job is over, as the state service has it.
    pub fn ended(&mut self, id: &JobId, cancelled: bool) -> Consequences {
        self.unknown.remove(id);
        if self.saga.element(id).is_none() {
            return Consequences::default();
        }
        let consequences = if cancelled {
            self.cancel(id)
        } else {
            self.released(id);
            Consequences { released: self.saga.commit(id), cancelled: Vec::new() }
        };
        self.saga.forget(id);
        consequences
    }

    /// A waiting job is cancelled, itself or with one that it needs.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.saga.element(id) == Some(State::Aborted)
    }

    /// All jobs that it waited for are done.
    fn is_ready(&self, id: &JobId) -> bool {
        self.saga.element(id) == Some(State::Active)
    }

    /// What a job waits for still.
    pub fn open(&self, id: &JobId) -> Vec<JobId> {
        self.saga.open(id).cloned().collect()
    }

    /// Jobs whose ends have to be read.
    pub fn unknown(&self) -> impl Iterator<Item = &JobId> {
        self.unknown.iter()
    }

    /// Every job that is named is alive, or it is known how it ended.
    pub fn complete(&self) -> bool {
        self.unknown.is_empty()
    }

    /// The same of all jobs that this one needs, directly or through others.
    pub fn complete_for(&self, id: &JobId) -> bool {
        if self.complete() {
            return true;
        }
        let mut seen = BTreeSet::from([id]);
        let mut left = vec![id];
        while let Some(id) = left.pop() {
            if self.unknown.contains(id) {
                return false;
            }
            left.extend(self.saga.open(id).filter(|u| seen.insert(u)));
        }
        true
    }

    /// Jobs that wait for others or are waited for, those downstream before those upstream.
    fn ends_first(&self) -> Vec<&JobId> {
        let mut left: HashMap<&JobId, usize> =
            self.saga.keys().map(|k| (k, self.saga.downstream(k).count())).collect();
        let mut order: Vec<&JobId> = left.iter().filter(|l| *l.1 == 0).map(|l| *l.0).collect();
        order.sort();
        let mut next = 0;
        while let Some(id) = order.get(next).copied() {
            next += 1;
            for u in self.saga.open(id) {
                if let Some(n) = left.get_mut(u) {
                    *n -= 1;
                    if *n == 0 {
                        order.push(u);
                    }
                }
            }
        }
        order
    }
}

/// A job that waits for others, as the leader keeps it.
#[derive(Debug)]
pub struct Waiting {
    pub spec: Arc<JobSpec>,
    pub at: u64,
    stamp: u64,
    on: String,
    /// What jobs that wait for it ask of it.
    pub pull: Option<Pull>,
    /// Its own record says that it is cancelled.
    marked: bool,
    writing: bool,
    unsure: bool,
}

/// What jobs downstream ask of one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Pull {
    pub priority: Priority,
    /// For each deadline objective: when this job has to be done, so that what is to run after it can
    /// meet the objective.
    pub due: Vec<Option<Due>>,
}

/// Times of day by which a job has to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Due {
    /// If what comes after it takes as long as it may well take.
    pub by: u64,
    /// If that goes as fast as can be: later than this is too late for certain.
    pub last: u64,
}

impl Due {
    /// The same for a job whose own time, from its release to its end, lies before these.
    fn less(self, stage: Stage) -> Due {
        let by = self.by.saturating_sub(stage.likely);
        Due { by, last: self.last.saturating_sub(stage.least) }
    }

    fn first(self, other: Due) -> Due {
        Due { by: self.by.min(other.by), last: self.last.min(other.last) }
    }

    /// The time of day by which the job has to start, if that is not too late.
    pub fn start(self, stage: Stage, now: u64) -> Option<u64> {
        let due = self.less(stage);
        (due.last >= now).then(|| due.by.max(now))
    }
}

/// How long a job takes from its start to its end.
#[derive(Clone, Copy, Debug)]
pub struct Stage {
    pub likely: Micros,
    pub least: Micros,
}

/// All jobs that wait, as the leader sees them.
#[derive(Debug, Default)]
pub struct Pipelines {
    pub waiting: BTreeMap<JobId, Waiting>,
    pub links: Links,
    /// Waiting jobs about which something is to be written.
    todo: BTreeSet<JobId>,
    /// Who waits for whom has changed since the pulls were worked out.
    changed: bool,
    pulled_at: Micros,
    pulled: Vec<JobId>,
}

impl Cluster {
    /// Takes in the record of a waiting job.
    pub fn waiting_record(&mut self, id: &str, record: WaitingRecord, stamp: u64) {
        let id: JobId = id.into();
        if self.jobs.contains_key(&id) || self.buried(&id, stamp) {
            return;
        }
        let upstream = store::decode_ids(&record.waiting.on);
        let lines = &mut self.pipelines;
        let known = lines.waiting.contains_key(&id);
        let w = lines.waiting.entry(id.clone()).or_insert_with(|| Waiting {
            spec: Arc::new(record.waiting.job),
            at: record.at,
            stamp,
            on: record.waiting.on,
            pull: None,
            marked: false,
            writing: false,
            unsure: false,
        });
        w.stamp = w.stamp.max(stamp);
        w.marked |= record.cancelled;
        w.unsure = false;
        let (jobs, waiting) = (&self.jobs, &lines.waiting);
        let fate = |u: &JobId| match jobs.get(u) {
            Some(j) if j.cancelled => Fate::Cancelled,
            Some(_) => Fate::Alive,
            None if waiting.contains_key(u) => Fate::Alive,
            None => Fate::Unknown,
        };
        let consequences = lines.links.add(&id, &upstream, record.cancelled, fate);
        lines.todo.insert(id.clone());
        lines.changed = true;
        if !known {
            let class = &lines.waiting[&id].spec.class;
            let on = lines.links.open(&id).join(" ");
            tracing::info!(job = %id, %class, %on, "waits for others");
        }
        self.follow_up(&id, consequences);
    }

    /// What a change upstream leads to is written down with the next transactions.
    fn follow_up(&mut self, cause: &str, consequences: Consequences) {
        let Consequences { released, cancelled } = consequences;
        if !cancelled.is_empty() {
            tracing::info!(job = cause, jobs = cancelled.len(), "cancelled with it");
        }
        let lines = &mut self.pipelines;
        if !(released.is_empty() && cancelled.is_empty()) {
            lines.changed = true;
        }
        lines.todo.extend(released);
        lines.todo.extend(cancelled);
    }

    /// A job that others may wait for has been cancelled by its user.
    pub fn upstream_cancelled(&mut self, id: &str) {
        let consequences = self.pipelines.links.cancel(&id.into());
        self.follow_up(id, consequences);
    }

    /// A job that others may wait for is over; `cancelled` is what its stored end says, if it is known.
    pub fn upstream_over(&mut self, id: &str, cancelled: Option<bool>) {
        let id: JobId = id.into();
        match cancelled {
            Some(cancelled) => {
                let consequences = self.pipelines.links.ended(&id, cancelled);
                self.follow_up(&id, consequences);
            }
            None => self.pipelines.links.lost_sight(&id),
        }
    }

    /// A job's record shows that it waits no more.
    pub fn upstream_released(&mut self, id: &JobId) {
        let lines = &mut self.pipelines;
        lines.links.alive(id);
        if lines.waiting.remove(id).is_some() {
            lines.todo.remove(id);
            lines.links.released(id);
            lines.changed = true;
        }
    }

    /// Adds releases and cancellations to a transaction, as far as its limits go: first what lets
    /// work begin, then what users were told, then what only tidies up.
    pub fn write_pipelines(&mut self, commit: &mut Commit, batch: &mut Batch, bytes: &mut usize) {
        let most = self.most_changes();
        let lines = &mut self.pipelines;
        let mut due: Vec<(u8, JobId)> = Vec::new();
        for id in std::mem::take(&mut lines.todo) {
            let Some(w) = lines.waiting.get(&id) else { continue };
            let step = match (lines.links.is_cancelled(&id), w.marked) {
                (false, _) if lines.links.is_ready(&id) => 0,
                // It goes on waiting. What happens upstream brings it here again.
                (false, _) => continue,
                (true, false) => 1,
                (true, true) => 2,
            };
            due.push((step, id));
        }
        due.sort();
        for (step, id) in due {
            lines.todo.insert(id.clone());
            let Some(w) = lines.waiting.get_mut(&id).filter(|w| !w.writing && !w.unsure) else {
                continue;
            };
            let changes = if step == 2 { 2 } else { 1 };
            if commit.changes() + changes > most || *bytes > 40_000 {
                continue;
            }
            let live = format!("{}{id}", store::LIVE);
            commit.guard(&live, w.stamp);
            match step {
                0 => {
                    let mut record = JobRecord::new((*w.spec).clone(), w.at);
                    record.ready = Some(self.wall.max(w.at));
                    commit.put(&live, store::raw(&record), None);
                    batch.push(Item::Release { id: id.clone(), record: Box::new(record) }, live);
                }
                1 => {
                    // It is marked before it ends: whoever follows only its own record then sees it
                    // end as cancelled, the version before pipelines too.
                    let upstream = store::decode_ids(&w.on);
                    let spec = (*w.spec).clone();
                    let record = WaitingRecord::new(spec, w.at, true, &upstream);
                    commit.put(&live, store::raw(&record), None);
                    batch.push(Item::Mark { id: id.clone() }, live);
                }
                _ => {
                    let over = OverRecord { cancelled: true, tasks: w.spec.tasks };
                    commit.end(&id, &over);
                    batch.push(Item::Over { id: id.clone(), cancelled: true, late_s: None }, live);
                }
            }
            *bytes += 1500;
            w.writing = true;
        }
    }

    /// What was written about a waiting job is in the state service.
    pub fn pipeline_written(&mut self, item: &Item, stamp: u64) {
        match item {
            Item::Release { id, record } => {
                let waited_s = seconds(self.wall.saturating_sub(record.at)) as u32;
                tracing::info!(job = %id, class = %record.spec.class, waited_s, "released");
                self.job_record(id, (**record).clone(), stamp);
            }
            Item::Mark { id } => {
                if let Some(w) = self.pipelines.waiting.get_mut(id) {
                    w.stamp = w.stamp.max(stamp);
                    w.marked = true;
                    w.writing = false;
                }
            }
            _ => {}
        }
    }

    /// Whether it was written is not known, or it was not.
    pub fn pipeline_unwritten(&mut self, id: &JobId, unsure: bool) {
        if let Some(w) = self.pipelines.waiting.get_mut(id) {
            w.writing = false;
            w.unsure = unsure;
        }
    }

    /// The stamp of a waiting job's record.
    pub fn waiting_stamp(&self, id: &str) -> Option<u64> {
        self.pipelines.waiting.get(id).map(|w| w.stamp)
    }

    /// A waiting job's live record is gone: only a cancelled one ends without a release.
    pub fn waiting_gone(&mut self, id: &str) -> bool {
        let gone = self.pipelines.waiting.remove(id).is_some();
        if gone {
            self.pipelines.todo.remove(id);
            self.upstream_over(id, Some(true));
        }
        gone
    }

    /// Works out what jobs downstream ask of those that they wait for: the highest priority, and the
    /// time that the final deadline leaves after what is still to run behind them.
    pub fn pull(&mut self, now: Micros) {
        let lines = &mut self.pipelines;
        let every = if lines.changed { PULL_EVERY } else { PULL_AT_LEAST };
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
            let spec = job.map(|j| &j.spec).or(self.pipelines.waiting.get(id).map(|w| &w.spec));
            let Some(spec) = spec else { continue };
            let pulled = pulls.remove(id);
            if let Some(pull) = &pulled {
                found.push((id.clone(), pull.clone()));
            }
            let Some(w) = self.pipelines.waiting.get(id) else { continue };
            if self.pipelines.links.is_cancelled(id) {
                continue;
            }
            // Its own deadlines or those of what follows it, whichever come first.
            let own = times.iter().map(|(class, times)| {
                let due = spec.deadline.filter(|_| class.is_none_or(|c| *c == *spec.class))?;
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
                let pull = pulls.entry(u).or_insert_with(|| Pull { priority, due: due.clone() });
                pull.priority = pull.priority.max(priority);
                for (mine, theirs) in pull.due.iter_mut().zip(&due) {
                    *mine = [*mine, *theirs].into_iter().flatten().reduce(Due::first);
                }
            }
        }
        let kept: BTreeSet<&JobId> = found.iter().map(|f| &f.0).collect();
        for id in self.pipelines.pulled.extract_if(.., |id| !kept.contains(id)) {
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
    pub fn foreseen(&self, now: Micros, until: Micros) -> Vec<(Micros, &JobId, &Waiting)> {
        let lines = &self.pipelines;
        if lines.waiting.is_empty() {
            return Vec::new();
        }
        // When each is expected to end, those upstream first.
        let mut ends: HashMap<&JobId, Micros> = HashMap::new();
        let mut out = Vec::new();
        for id in lines.links.ends_first().into_iter().rev() {
            if let Some(job) = self.jobs.get(id).filter(|j| !j.cancelled) {
                ends.insert(id, self.job_end(job, now));
            }
            let Some((id, w)) = lines.waiting.get_key_value(id) else { continue };
            let upstream = lines.links.saga.open(id).map(|u| ends.get(u).copied());
            let Some(upstream) = upstream.collect::<Option<Vec<_>>>() else { continue };
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
    fn job_end(&self, job: &Job, now: Micros) -> Micros {
        let ends = job.live.iter().map(|(index, (machine, attempt))| {
            let key = (TaskId { job: job.id.clone(), index: *index }, *attempt);
            let attempt = self.machines.get(machine).and_then(|m| m.attempts.get(&key));
            attempt.map_or(now, |a| self.expected_end(&key.0, a, now))
        });
        let last = ends.max().unwrap_or(now);
        if job.pending.is_empty() { last } else { last.max(now + self.expected_run(&job.spec)) }
    }

    /// What a job takes from its release to its end, when it finds room: until workers are told
    /// and tell, the image, and its tasks at their expected time and a quarter more. At least: a part of
    /// that time, with the image there.
    fn stage_time(&self, spec: &JobSpec) -> Stage {
        let told = 2 * self.settings.report;
        let stage = self.run_time(spec);
        Stage { likely: stage.likely + told, least: stage.least + told / 2 }
    }

    /// The same from the start of its tasks.
    pub fn run_time(&self, spec: &JobSpec) -> Stage {
        let run = self.expected_run(spec);
        Stage { likely: self.fetch_time(spec) + run * 5 / 4, least: run * 3 / 4 }
    }
}
