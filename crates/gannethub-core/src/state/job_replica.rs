//! A controller's copy of the jobs in the state service, which lets one read answer any number of queries.
//!
//! The copy has every live job. Before queries are answered, the copy is brought up to date with one read of the
//! changes; a query that arrives while this read is in flight waits for the next read. An answer is therefore never
//! older than its query, and no user is told less than another controller has said already, even during a takeover or
//! after a partition. Of the jobs that are over, only ends that were recently read or written here are kept. A kept end
//! never becomes outdated, because an end never changes.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::Deserialize;

use crate::model::{JobId, TaskSet};
use crate::state::dependencies::{DependencyGraph, UpstreamOutcome};
use crate::wire::api::{JobStatus, JobView};
use crate::wire::configuration::CURRENT_VERSION_KEY;
use crate::wire::store::{
    Change, ChangeLog, LIVE_JOB_PREFIX, Listing, StoredValue, decode_done_part, decode_job_ids,
};

/// Maximum number of remembered ends, and of remembered ids that were never submitted.
const MAX_REMEMBERED: usize = 50_000;

/// The part of a job's stored record that a query needs.
#[derive(Deserialize)]
struct JobSummary {
    spec: SpecSummary,
    #[serde(default)]
    done: String,
    #[serde(default)]
    cancelled: bool,
    waiting: Option<WaitingSummary>,
    #[serde(rename = "homed")]
    sharded: Option<ShardedSummary>,
}

#[derive(Deserialize)]
struct ShardedSummary {
    #[serde(rename = "block")]
    shard: u32,
}

/// The stored cancellation of a live job that waits for no other job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoredCancellation {
    /// Version of the record that says that the job is cancelled.
    pub version: u64,
    /// The shard in which the job's tasks run.
    pub shard: u32,
}

#[derive(Deserialize)]
struct SpecSummary {
    tasks: u32,
}

#[derive(Deserialize)]
struct WaitingSummary {
    #[serde(rename = "on")]
    upstream_ids: String,
}

#[derive(Debug)]
struct LiveJob {
    /// Version of the job's last change.
    version: u64,
    tasks: u32,
    done: u32,
    cancelled: bool,
    /// Whether the job waits for other jobs.
    waiting: bool,
    /// The shard in which the job's tasks run.
    shard: u32,
}

/// Result of looking up a job in the copy.
#[derive(Debug, PartialEq)]
pub enum JobLookup {
    /// The job is live, or over for good.
    Job(JobView),
    /// The job is cancelled, and an owner that does not know of the cancellation may still start tasks of the job.
    Cancelled(JobView, StoredCancellation),
    /// The job is not live. Whether it is over has not been queried yet.
    NotLive,
    /// The job waits for other jobs, and the end of an upstream job has not been read yet.
    UpstreamOutcomeUnknown,
    /// No job of this id was ever submitted.
    NeverSubmitted,
}

/// A controller's copy of all live jobs.
#[derive(Debug, Default)]
pub struct JobReplica {
    /// Version of the state service that the copy reflects; `None` until everything has been read.
    version: Option<u64>,
    /// Version at which the listing of all jobs began.
    listing_version: Option<u64>,
    live: HashMap<JobId, LiveJob>,
    /// Dependencies between jobs: a waiting job is cancelled together with any upstream job.
    pub dependencies: DependencyGraph,
    final_views: HashMap<JobId, JobView>,
    never_submitted: HashSet<JobId>,
    /// Cancellations that were stored or read here and that the copy does not reflect yet, with their versions.
    pending_cancellations: BTreeMap<JobId, u64>,
    /// Cancellations that became known here and that the shards owned by this controller have not been told of, with
    /// their versions.
    new_cancellations: Vec<(JobId, u64)>,
}

impl JobReplica {
    /// Returns the version from which changes are to be read; `None` if everything has to be read.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the final state of a job, if the job is known to be over. The final state never becomes outdated.
    pub fn final_view(&self, id: &str) -> Option<&JobView> {
        self.final_views.get(id)
    }

    /// Whether the copy has the job as live.
    pub fn is_live(&self, id: &str) -> bool {
        self.live.contains_key(id)
    }

    /// Records a job's final state, which users are told at once from now on. The state service holds the job's end, or
    /// no task of the cancelled job can be started any more.
    pub fn record_end(&mut self, id: JobId, view: JobView) {
        if self.final_views.len() >= MAX_REMEMBERED {
            self.final_views.clear();
        }
        self.final_views.insert(id, view);
    }

    /// Records that the cancellation of a live job was stored or read here at this version.
    pub fn record_cancellation(&mut self, id: JobId, version: u64) {
        self.new_cancellations.push((id.clone(), version));
        if self.version.is_none_or(|known| known < version) {
            self.pending_cancellations.insert(id, version);
        }
    }

    /// Returns the jobs whose cancellation has become known since the last call, with the versions of their records.
    /// Users may be told of a cancellation from this time on, so the shards owned by this process must not learn of it
    /// last.
    pub fn take_new_cancellations(&mut self) -> Vec<(JobId, u64)> {
        std::mem::take(&mut self.new_cancellations)
    }

    /// Returns live jobs whose cancellation is known here and was stored after `version`. A job may be
    /// returned twice.
    pub fn cancelled_since(&self, version: u64) -> impl Iterator<Item = &JobId> {
        let live = self
            .live
            .iter()
            .filter(|(_, job)| job.cancelled)
            .map(|(id, job)| (id, job.version));
        let pending = self
            .pending_cancellations
            .iter()
            .map(|(id, cancelled_at)| (id, *cancelled_at));
        live.chain(pending)
            .filter(move |(_, cancelled_at)| *cancelled_at > version)
            .map(|(id, _)| id)
    }

    /// Records that the job was neither live nor over at this version, so that it counts as never submitted until a
    /// change shows it. Nothing is recorded if the copy already reflects a later version, because a change between the
    /// two versions may have created the job.
    pub fn record_absent(&mut self, id: JobId, version: u64) {
        if self.version.is_none_or(|known| known > version) {
            return;
        }
        if self.never_submitted.len() >= MAX_REMEMBERED {
            self.never_submitted.clear();
        }
        self.never_submitted.insert(id);
    }

    /// Looks up a job as of the version that the copy reflects.
    pub fn lookup(&self, id: &str) -> JobLookup {
        if let Some(view) = self.final_views.get(id) {
            return JobLookup::Job(view.clone());
        }
        match self.live.get_key_value(id) {
            Some((id, job)) if job.waiting && !job.cancelled => self.lookup_waiting(id, job),
            Some((_, job)) if job.cancelled && !job.waiting => {
                let cancellation = StoredCancellation {
                    version: job.version,
                    shard: job.shard,
                };
                JobLookup::Cancelled(job.view(), cancellation)
            }
            Some((_, job)) => JobLookup::Job(job.view()),
            None if self.never_submitted.contains(id) => JobLookup::NeverSubmitted,
            None => JobLookup::NotLive,
        }
    }

    fn lookup_waiting(&self, id: &JobId, job: &LiveJob) -> JobLookup {
        if self.dependencies.is_cancelled(id) {
            return JobLookup::Job(JobView::new(JobStatus::Cancelled, 0));
        }
        if !self.dependencies.is_complete_for(id) {
            return JobLookup::UpstreamOutcomeUnknown;
        }
        JobLookup::Job(JobView {
            waits_on: self.dependencies.open_dependencies(id),
            ..job.view()
        })
    }

    /// Returns the known outcome of an upstream job. Every outcome except [`UpstreamOutcome::Unknown`] shows that
    /// the job was accepted, and an end never changes.
    pub fn upstream_outcome(&self, id: &JobId) -> UpstreamOutcome {
        match recorded_outcome(&self.final_views, &self.live, id) {
            UpstreamOutcome::Live if self.dependencies.is_cancelled(id) => {
                UpstreamOutcome::Cancelled
            }
            outcome => outcome,
        }
    }

    /// Records the end of an upstream job that has been read.
    pub fn record_upstream_end(&mut self, id: JobId, view: JobView) {
        self.dependencies
            .mark_ended(&id, view.status == JobStatus::Cancelled);
        self.record_end(id, view);
    }

    /// Resets the copy after missed changes, so that everything is read again. Known ends are kept.
    pub fn reset(&mut self) {
        self.version = None;
        self.listing_version = None;
        self.live.clear();
        self.dependencies = DependencyGraph::default();
        self.never_submitted.clear();
    }

    /// Whether the next page of the listing is the first one.
    pub fn is_at_first_page(&self) -> bool {
        self.listing_version.is_none()
    }

    /// Applies a page of the listing of all live jobs. Returns the key after which the next page begins.
    pub fn apply_listing_page(&mut self, listing: &Listing) -> Option<String> {
        let began_at = *self.listing_version.get_or_insert(listing.version);
        listing
            .items
            .iter()
            .for_each(|stored| self.apply_stored_value(stored));
        let last = listing.items.last().filter(|_| listing.truncated);
        if last.is_none() {
            // Changes made while the pages were read are read again with the changes since `began_at`.
            self.version = Some(began_at);
            self.listing_version = None;
        }
        last.map(|stored| stored.key.clone())
    }

    fn apply_stored_value(&mut self, stored: &StoredValue) {
        if stored.key == CURRENT_VERSION_KEY {
            return;
        }
        let Some(id) = stored.key.strip_prefix(LIVE_JOB_PREFIX) else {
            return;
        };
        if let Some(summary) = stored.decode::<JobSummary>() {
            self.apply_live(id.into(), &summary, stored.version);
        }
    }

    /// Applies a live job's record.
    fn apply_live(&mut self, id: JobId, summary: &JobSummary, version: u64) {
        self.dependencies.mark_live(&id);
        let was_cancelled = self.live.get(&id).is_some_and(|job| job.cancelled);
        if summary.cancelled && !was_cancelled {
            self.new_cancellations.push((id.clone(), version));
        }
        if let Some(waiting) = &summary.waiting {
            let upstream = decode_job_ids(&waiting.upstream_ids);
            let (final_views, live) = (&self.final_views, &self.live);
            let outcome = |job: &JobId| recorded_outcome(final_views, live, job);
            self.dependencies
                .add_waiting(&id, &upstream, summary.cancelled, outcome);
        } else {
            self.dependencies.mark_released(&id);
            if summary.cancelled {
                self.dependencies.cancel(&id);
            }
        }
        self.live.insert(id, LiveJob::new(summary, version));
    }

    /// Applies all changes since [`JobReplica::version`].
    pub fn apply_changes(&mut self, changes: &ChangeLog) {
        for change in &changes.changes {
            self.apply_change(change);
        }
        let version = changes.version;
        self.version = Some(version);
        self.pending_cancellations
            .retain(|_, cancelled_at| *cancelled_at > version);
    }

    fn apply_change(&mut self, change: &Change) {
        // The configuration is stored among the jobs but is not a job.
        if change.key() == Some(CURRENT_VERSION_KEY) {
            return;
        }
        let live_id = |key: &Option<String>| {
            let id = key.as_deref()?.strip_prefix(LIVE_JOB_PREFIX)?;
            Some(JobId::from(id))
        };
        if let Some(id) = live_id(&change.written_key) {
            let text = change.value.as_deref().map_or("null", |value| value.get());
            match serde_json::from_str::<JobSummary>(text) {
                Ok(summary) => {
                    self.never_submitted.remove(&id);
                    self.apply_live(id, &summary, change.version);
                }
                Err(error) => tracing::error!(job = &*id, %error, "cannot parse job record"),
            }
        }
        if let Some(id) = live_id(&change.deleted_key) {
            self.apply_deletion(id);
        }
    }

    /// Applies the deletion of a live record. A record is deleted when its job is over, in the same transaction that
    /// creates the job's end, so the last contents of the record determine the end.
    fn apply_deletion(&mut self, id: JobId) {
        self.never_submitted.remove(&id);
        match self.live.remove_entry(&id) {
            Some((id, job)) => self.record_upstream_end(id, job.final_view()),
            None => self.dependencies.mark_outcome_unknown(&id),
        }
    }
}

/// Returns the outcome according to the job's own record, live or over.
fn recorded_outcome(
    final_views: &HashMap<JobId, JobView>,
    live: &HashMap<JobId, LiveJob>,
    id: &JobId,
) -> UpstreamOutcome {
    match (final_views.get(id), live.get(id)) {
        (Some(view), _) if view.status == JobStatus::Cancelled => UpstreamOutcome::Cancelled,
        (Some(_), _) => UpstreamOutcome::Done,
        (None, Some(job)) if job.cancelled => UpstreamOutcome::Cancelled,
        (None, Some(_)) => UpstreamOutcome::Live,
        (None, None) => UpstreamOutcome::Unknown,
    }
}

impl LiveJob {
    fn new(summary: &JobSummary, version: u64) -> LiveJob {
        let mut done = TaskSet::default();
        decode_done_part(&summary.done, 0, &mut done);
        LiveJob {
            version,
            tasks: summary.spec.tasks,
            done: done.len(),
            cancelled: summary.cancelled,
            waiting: summary.waiting.is_some(),
            shard: summary.sharded.as_ref().map_or(0, |sharded| sharded.shard),
        }
    }

    /// Returns the user-visible state of the job while it is live.
    fn view(&self) -> JobView {
        let status = match self.cancelled {
            true => JobStatus::Cancelled,
            false => JobStatus::Pending,
        };
        JobView::new(status, self.done)
    }

    /// Returns the user-visible state of the job once its live record is deleted.
    fn final_view(&self) -> JobView {
        // A job that was never released can only have ended by cancellation.
        if self.cancelled || self.waiting {
            JobView::new(JobStatus::Cancelled, self.done)
        } else {
            JobView::new(JobStatus::Done, self.tasks)
        }
    }
}

#[cfg(test)]
mod tests;
