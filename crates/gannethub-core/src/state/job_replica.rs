//! A controller's copy of what the state service says of jobs, which lets one read answer any
//! number of queries.
//!
//! The copy is of every live pipeline. Before queries are answered it is brought up to the present
//! with one read of what changed; a query that comes while that read is under way waits for the
//! next one. So an answer is never older than its question, and nobody is told less than another
//! controller has said already, in a takeover or after a cut as well. Of what is over only the
//! answers given or seen lately are kept: an end never changes.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::Deserialize;

use crate::model::{JobId, TaskSet};
use crate::state::pipeline::{DependencyGraph, DependencyOutcome};
use crate::wire::api::{JobStatus, JobView};
use crate::wire::configuration::CURRENT_VERSION_KEY;
use crate::wire::store::{
    Change, ChangeLog, LIVE_JOB_PREFIX, Listing, StoredValue, decode_done_part, decode_job_ids,
};

/// How many ends, and how many ids that nobody submitted, are remembered.
const REMEMBERED: usize = 50_000;

/// What a query needs of a job's record.
#[derive(Deserialize)]
struct JobSummary {
    spec: BriefSpec,
    #[serde(default)]
    done: String,
    #[serde(default)]
    cancelled: bool,
    waiting: Option<BriefWaiting>,
}

#[derive(Deserialize)]
struct BriefSpec {
    tasks: u32,
}

#[derive(Deserialize)]
struct BriefWaiting {
    on: String,
}

#[derive(Debug)]
struct Live {
    /// The version of its last change.
    stamp: u64,
    tasks: u32,
    done: u32,
    cancelled: bool,
    /// It waits for other jobs.
    waiting: bool,
}

/// What the copy says of a job.
#[derive(Debug, PartialEq)]
pub enum JobLookup {
    /// Alive, or over for good.
    Job(JobView),
    /// Not alive; nobody has asked yet whether it is over.
    NotLive,
    /// It waits for others, and the end of one that somebody waits for has not been read yet.
    DependencyUnknown,
    /// It was never submitted.
    NeverSubmitted,
}

#[derive(Debug, Default)]
pub struct JobReplica {
    /// The version the copy is true to; `None` until everything has been read.
    at: Option<u64>,
    /// The version at which reading everything began.
    reading: Option<u64>,
    live: HashMap<JobId, Live>,
    /// Who waits for whom: a waiting job is cancelled with any that it needs.
    pub dependencies: DependencyGraph,
    over: HashMap<JobId, JobView>,
    absent: HashSet<JobId>,
    /// Cancellations that were stored or read here and that the copy does not show yet, with their versions.
    told: BTreeMap<JobId, u64>,
    /// Cancellations that became known here and that this controller's own holders have not been told of.
    fresh: Vec<JobId>,
}

impl JobReplica {
    /// The version from which changes are to be read; `None` if everything has to be.
    pub fn version(&self) -> Option<u64> {
        self.at
    }

    /// The final state of a job, if it is known to be over. It holds at any time.
    pub fn final_view(&self, id: &str) -> Option<&JobView> {
        self.over.get(id)
    }

    pub fn is_live(&self, id: &str) -> bool {
        self.live.contains_key(id)
    }

    /// A job's final state has been read or written.
    pub fn record_end(&mut self, id: JobId, view: JobView) {
        if self.over.len() >= REMEMBERED {
            self.over.clear();
        }
        self.over.insert(id, view);
    }

    /// The cancellation of a live job was stored or read here, at this version, and its user is told.
    pub fn record_cancellation(&mut self, id: JobId, stamp: u64) {
        self.fresh.push(id.clone());
        if self.at.is_none_or(|at| at < stamp) {
            self.told.insert(id, stamp);
        }
    }

    /// What has become known to be cancelled since this was last asked for. Users are told that from here on, so whoever
    /// holds machines in this process must not be the last to know.
    pub fn take_new_cancellations(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.fresh)
    }

    /// Live jobs whose cancellation is known here and was stored after that version, some of them twice.
    pub fn cancelled_since(&self, version: u64) -> impl Iterator<Item = &JobId> {
        let live = self
            .live
            .iter()
            .filter(|(_, l)| l.cancelled)
            .map(|(id, l)| (id, l.stamp));
        let told = self.told.iter().map(|(id, stamp)| (id, *stamp));
        live.chain(told)
            .filter(move |(_, stamp)| *stamp > version)
            .map(|(id, _)| id)
    }

    /// The job was neither alive nor over at this version. That holds until a change shows it, if
    /// all later changes are still to come.
    pub fn record_absent(&mut self, id: JobId, stamp: u64) {
        if self.at.is_none_or(|at| at > stamp) {
            return;
        }
        if self.absent.len() >= REMEMBERED {
            self.absent.clear();
        }
        self.absent.insert(id);
    }

    /// What the copy says, as of the version it is true to.
    pub fn lookup(&self, id: &str) -> JobLookup {
        if let Some(view) = self.over.get(id) {
            return JobLookup::Job(view.clone());
        }
        match self.live.get_key_value(id) {
            Some((id, l)) if l.waiting && !l.cancelled => {
                if self.dependencies.is_cancelled(id) {
                    return JobLookup::Job(JobView::new(JobStatus::Cancelled, 0));
                }
                if !self.dependencies.is_complete_for(id) {
                    return JobLookup::DependencyUnknown;
                }
                JobLookup::Job(JobView {
                    waits_on: self.dependencies.open_dependencies(id),
                    ..l.view()
                })
            }
            Some((_, l)) => JobLookup::Job(l.view()),
            None if self.absent.contains(id) => JobLookup::NeverSubmitted,
            None => JobLookup::NotLive,
        }
    }

    /// What is known of a job that another one names. All but [`Fate::Unknown`] shows that it was
    /// accepted, and an end never changes.
    pub fn dependency_outcome(&self, id: &JobId) -> DependencyOutcome {
        match recorded(&self.over, &self.live, id) {
            DependencyOutcome::Live if self.dependencies.is_cancelled(id) => {
                DependencyOutcome::Cancelled
            }
            fate => fate,
        }
    }

    /// The end of a job that others wait for has been read.
    pub fn record_upstream_end(&mut self, id: JobId, view: JobView) {
        self.dependencies
            .mark_ended(&id, view.status == JobStatus::Cancelled);
        self.record_end(id, view);
    }

    /// Changes were missed: everything has to be read again.
    pub fn reset(&mut self) {
        self.at = None;
        self.reading = None;
        self.live.clear();
        self.dependencies = DependencyGraph::default();
        self.absent.clear();
    }

    /// The next page is the first one.
    pub fn is_at_first_page(&self) -> bool {
        self.reading.is_none()
    }

    /// Takes in a page of all live jobs. Returns the key after which the next page begins.
    pub fn apply_listing_page(&mut self, listing: &Listing) -> Option<String> {
        let began = *self.reading.get_or_insert(listing.version);
        listing.items.iter().for_each(|item| self.read(item));
        let last = listing.items.last().filter(|_| listing.truncated);
        if last.is_none() {
            // What changed while the pages were read is read again with the changes since then.
            self.at = Some(began);
            self.reading = None;
        }
        last.map(|i| i.key.clone())
    }

    fn read(&mut self, item: &StoredValue) {
        if item.key == CURRENT_VERSION_KEY {
            return;
        }
        if let (Some(id), Some(brief)) = (
            item.key.strip_prefix(LIVE_JOB_PREFIX),
            item.decode::<JobSummary>(),
        ) {
            self.alive(id.into(), &brief, item.version);
        }
    }

    /// Takes in what a live job's record says.
    fn alive(&mut self, id: JobId, brief: &JobSummary, stamp: u64) {
        self.dependencies.mark_live(&id);
        if brief.cancelled && self.live.get(&id).is_none_or(|l| !l.cancelled) {
            self.fresh.push(id.clone());
        }
        if let Some(w) = &brief.waiting {
            let upstream = decode_job_ids(&w.on);
            let (over, live) = (&self.over, &self.live);
            self.dependencies
                .add_waiting(&id, &upstream, brief.cancelled, |u| recorded(over, live, u));
        } else {
            self.dependencies.mark_released(&id);
            if brief.cancelled {
                self.dependencies.cancel(&id);
            }
        }
        self.live.insert(id, Live::new(brief, stamp));
    }

    /// Takes in all changes since [`Mirror::at`].
    pub fn apply_changes(&mut self, followed: &ChangeLog) {
        for change in &followed.changes {
            self.change(change);
        }
        self.at = Some(followed.version);
        self.told.retain(|_, stamp| *stamp > followed.version);
    }

    fn change(&mut self, change: &Change) {
        // The configuration is no job's.
        if change.key() == Some(CURRENT_VERSION_KEY) {
            return;
        }
        if let Some(id) = change
            .written_key
            .as_deref()
            .and_then(|k| k.strip_prefix(LIVE_JOB_PREFIX))
        {
            let text = change.value.as_deref().map_or("null", |v| v.get());
            match serde_json::from_str::<JobSummary>(text) {
                Ok(brief) => {
                    self.absent.remove(id);
                    self.alive(id.into(), &brief, change.version);
                }
                Err(e) => tracing::error!(job = id, error = %e, "a job's value is not ours"),
            }
        }
        // The record of a pipeline goes when it is over, in one transaction with the end's: what
        // it said last tells which end that is.
        if let Some(id) = change
            .deleted_key
            .as_deref()
            .and_then(|k| k.strip_prefix(LIVE_JOB_PREFIX))
        {
            self.absent.remove(id);
            match self.live.remove_entry(id) {
                Some((id, live)) => self.record_upstream_end(id, live.over()),
                None => self.dependencies.mark_outcome_unknown(&id.into()),
            }
        }
    }
}

/// What a job's own record says, live or over.
fn recorded(
    over: &HashMap<JobId, JobView>,
    live: &HashMap<JobId, Live>,
    id: &JobId,
) -> DependencyOutcome {
    match (over.get(id), live.get(id)) {
        (Some(v), _) if v.status == JobStatus::Cancelled => DependencyOutcome::Cancelled,
        (Some(_), _) => DependencyOutcome::Done,
        (None, Some(l)) if l.cancelled => DependencyOutcome::Cancelled,
        (None, Some(_)) => DependencyOutcome::Live,
        (None, None) => DependencyOutcome::Unknown,
    }
}

impl Live {
    fn new(brief: &JobSummary, stamp: u64) -> Live {
        let mut done = TaskSet::default();
        decode_done_part(&brief.done, 0, &mut done);
        let (tasks, waiting) = (brief.spec.tasks, brief.waiting.is_some());
        Live {
            stamp,
            tasks,
            done: done.len(),
            cancelled: brief.cancelled,
            waiting,
        }
    }

    fn view(&self) -> JobView {
        let status = if self.cancelled {
            JobStatus::Cancelled
        } else {
            JobStatus::Pending
        };
        JobView::new(status, self.done)
    }

    fn over(&self) -> JobView {
        // A job that was never released did not end any other way.
        if self.cancelled || self.waiting {
            JobView::new(JobStatus::Cancelled, self.done)
        } else {
            JobView::new(JobStatus::Done, self.tasks)
        }
    }
}

#[cfg(test)]
mod tests;
