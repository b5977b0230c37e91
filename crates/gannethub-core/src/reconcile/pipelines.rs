//! Jobs that wait for others: their records, and what follows for them when the jobs that they wait for end.
//!
//! Only shard 0's owner does any of this. A waiting job is released to the shard that it is to run in.

use std::sync::Arc;

use super::job_writes::JOB_RECORD_BYTES;
use super::transaction::TransactionBuilder;
use crate::model::{JobId, seconds_from_micros};
use crate::state::cluster::Cluster;
use crate::state::dependencies::{DependencyOutcome, PipelineEffects};
use crate::state::pipeline::WaitingJob;
use crate::state::shard_load;
use crate::state::writes::BatchedWrite;
use crate::wire::store::{self, FinishedJobRecord, JobRecord, WaitingRecord};

/// A released job's watermark: this many of its tasks may be launched without another write, as it is most likely to
/// start at once.
const RELEASE_WATERMARK: u32 = 128;

/// What is to be written about a waiting job, in the order in which that is done.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WaitingJobWrite {
    /// All that it waited for is done: work can begin.
    Release,
    /// It is cancelled with a job that it needs. Its users are told so already. That is recorded before its end is,
    /// so that whoever follows only the job's own record sees it end as cancelled, earlier releases included.
    Cancellation,
    /// It is recorded as cancelled, and moves to the finished jobs.
    End,
}

impl WaitingJobWrite {
    /// How many puts and deletes it takes.
    fn change_count(self) -> usize {
        match self {
            WaitingJobWrite::Release | WaitingJobWrite::Cancellation => 1,
            WaitingJobWrite::End => 2,
        }
    }
}

impl Cluster {
    /// Applies a waiting job's record of this version.
    pub fn apply_waiting_job(&mut self, id: &str, record: WaitingRecord, version: u64) {
        let id: JobId = id.into();
        if self.shard.id != 0 {
            return;
        }
        if self.jobs.contains_key(&id) || self.store_writes.has_tombstone(&id, version) {
            return;
        }
        let is_cancelled = record.cancelled;
        let upstream = store::decode_job_ids(&record.waiting.upstream_ids);
        let is_new = !self.pipelines.waiting.contains_key(&id);
        let waiting = &mut self.pipelines.waiting;
        let job = waiting
            .entry(id.clone())
            .or_insert_with(|| new_waiting_job(record, version));
        job.version = job.version.max(version);
        job.cancellation_recorded |= is_cancelled;
        job.version_unknown = false;
        let effects = self.add_to_dependencies(&id, &upstream, is_cancelled);
        self.pipelines.pending_writes.insert(id.clone());
        self.pipelines.dependencies_changed = true;
        if is_new {
            let class = &self.pipelines.waiting[&id].spec.class;
            let dependencies = self.pipelines.dependencies.open_dependencies(&id);
            let on = dependencies.join(" ");
            tracing::info!(job = %id, %class, %on, "waits for others");
        }
        self.queue_pipeline_writes(&id, effects);
    }

    /// Adds a waiting job to the dependency graph, with what is known here of the jobs that it waits for.
    fn add_to_dependencies(
        &mut self,
        id: &JobId,
        upstream: &[JobId],
        is_cancelled: bool,
    ) -> PipelineEffects {
        let (jobs, waiting) = (&self.jobs, &self.pipelines.waiting);
        let in_other_shards = &self.other_shards.jobs;
        let outcome = |id: &JobId| match jobs.get(id) {
            Some(job) if job.cancelled => DependencyOutcome::Cancelled,
            Some(_) => DependencyOutcome::Live,
            None if in_other_shards.contains_key(id) => DependencyOutcome::Live,
            None if waiting.contains_key(id) => DependencyOutcome::Live,
            None => DependencyOutcome::Unknown,
        };
        self.pipelines
            .dependencies
            .add_waiting(id, upstream, is_cancelled, outcome)
    }

    /// Has written down, with the next transactions, what a change of the job `cause` leads to.
    fn queue_pipeline_writes(&mut self, cause: &str, effects: PipelineEffects) {
        let PipelineEffects {
            released,
            cancelled,
        } = effects;
        if !cancelled.is_empty() {
            tracing::info!(job = cause, jobs = cancelled.len(), "cancelled with it");
        }
        if !(released.is_empty() && cancelled.is_empty()) {
            self.pipelines.dependencies_changed = true;
        }
        self.pipelines.pending_writes.extend(released);
        self.pipelines.pending_writes.extend(cancelled);
    }

    /// A job that others may wait for has been cancelled by its user.
    pub fn mark_upstream_cancelled(&mut self, id: &str) {
        let effects = self.pipelines.dependencies.cancel(&id.into());
        self.queue_pipeline_writes(id, effects);
    }

    /// A job that others may wait for is finished. `cancelled`: what its finished record says, if that is known.
    pub fn mark_upstream_ended(&mut self, id: &str, cancelled: Option<bool>) {
        let id: JobId = id.into();
        match cancelled {
            Some(cancelled) => {
                let effects = self.pipelines.dependencies.mark_ended(&id, cancelled);
                self.queue_pipeline_writes(&id, effects);
            }
            None => self.pipelines.dependencies.mark_outcome_unknown(&id),
        }
    }

    /// A job's record shows that it waits no more.
    pub fn mark_upstream_released(&mut self, id: &JobId) {
        let pipelines = &mut self.pipelines;
        pipelines.dependencies.mark_live(id);
        if pipelines.waiting.remove(id).is_some() {
            pipelines.pending_writes.remove(id);
            pipelines.dependencies.mark_released(id);
            pipelines.dependencies_changed = true;
        }
    }

    /// Adds releases and cancellations to a transaction, as far as they fit. Those that do not, and those that are in
    /// flight, are tried again with the next one.
    pub(super) fn add_pipeline_writes(&mut self, builder: &mut TransactionBuilder) {
        for (write, id) in self.due_pipeline_writes() {
            self.pipelines.pending_writes.insert(id.clone());
            let job = self.pipelines.waiting.get_mut(&id);
            let writable = job.filter(|job| !job.write_in_flight && !job.version_unknown);
            let Some(job) = writable.filter(|_| builder.fits(write.change_count())) else {
                continue;
            };
            let key = store::live_job_key(&id);
            builder.transaction.guard(&key, job.version);
            builder.add_bytes(JOB_RECORD_BYTES);
            job.write_in_flight = true;
            let write = match write {
                WaitingJobWrite::Release => {
                    let shard = shard_load::choose_home_shard(
                        &mut self.other_shards.loads,
                        u32::MAX,
                        &job.spec,
                    );
                    let record = released_record(job, shard, self.unix_time);
                    builder.transaction.put(&key, record.to_value(), None);
                    let record = Box::new(record);
                    BatchedWrite::JobRelease { id, record }
                }
                WaitingJobWrite::Cancellation => {
                    let value = store::to_raw_value(&cancelled_record(job));
                    builder.transaction.put(&key, value, None);
                    BatchedWrite::WaitingJobCancellation { id }
                }
                WaitingJobWrite::End => {
                    let record = FinishedJobRecord {
                        cancelled: true,
                        tasks: job.spec.tasks,
                        owner: None,
                    };
                    builder.transaction.end_job(&id, &record);
                    BatchedWrite::JobEnd {
                        id,
                        cancelled: true,
                        deadline_missed_by_s: None,
                    }
                }
            };
            builder.batch.push(write, key);
        }
    }

    /// What is to be written about waiting jobs, most important first. Empties the list of pending writes.
    fn due_pipeline_writes(&mut self) -> Vec<(WaitingJobWrite, JobId)> {
        let pipelines = &mut self.pipelines;
        let mut due = Vec::new();
        for id in std::mem::take(&mut pipelines.pending_writes) {
            let Some(job) = pipelines.waiting.get(&id) else {
                continue;
            };
            if pipelines.dependencies.is_cancelled(&id) {
                let write = match job.cancellation_recorded {
                    true => WaitingJobWrite::End,
                    false => WaitingJobWrite::Cancellation,
                };
                due.push((write, id));
            } else if pipelines.dependencies.is_ready(&id) {
                due.push((WaitingJobWrite::Release, id));
            }
            // Any other goes on waiting. What happens upstream brings it here again.
        }
        due.sort();
        due
    }

    /// A waiting job's release was written at this version.
    pub(super) fn job_released(&mut self, id: &JobId, record: JobRecord, version: u64) {
        let waited = self.unix_time.saturating_sub(record.accepted_at);
        let waited_s = seconds_from_micros(waited) as u32;
        tracing::info!(job = %id, class = %record.spec.class, waited_s, "released");
        self.apply_job_record(id, record, version);
    }

    /// A waiting job's cancellation was written at this version.
    pub(super) fn waiting_job_cancellation_written(&mut self, id: &JobId, version: u64) {
        if let Some(job) = self.pipelines.waiting.get_mut(id) {
            job.version = job.version.max(version);
            job.cancellation_recorded = true;
            job.write_in_flight = false;
        }
    }

    /// A write about a waiting job was not carried out, or perhaps it was: then its version is unknown.
    pub(super) fn waiting_job_write_failed(&mut self, id: &JobId, version_unknown: bool) {
        if let Some(job) = self.pipelines.waiting.get_mut(id) {
            job.write_in_flight = false;
            job.version_unknown = version_unknown;
        }
    }

    /// A waiting job's live record is gone: only a cancelled one ends without a release. Returns whether there was
    /// such a job.
    pub fn remove_waiting_job(&mut self, id: &str) -> bool {
        if self.pipelines.waiting.remove(id).is_none() {
            return false;
        }
        self.pipelines.pending_writes.remove(id);
        self.mark_upstream_ended(id, Some(true));
        true
    }
}

fn new_waiting_job(record: WaitingRecord, version: u64) -> WaitingJob {
    WaitingJob {
        spec: Arc::new(record.waiting.job),
        accepted_at: record.accepted_at,
        version,
        upstream_ids: record.waiting.upstream_ids,
        downstream_demand: None,
        cancellation_recorded: false,
        write_in_flight: false,
        version_unknown: false,
    }
}

/// The record of a job that is released into a shard.
fn released_record(job: &WaitingJob, shard: u32, unix_time: u64) -> JobRecord {
    let mut record = JobRecord::new((*job.spec).clone(), job.accepted_at);
    record.ready_at = Some(unix_time.max(job.accepted_at));
    record.shard = shard;
    // The owner of another shard may know of jobs that go first.
    let watermark = match shard {
        0 => job.spec.tasks.min(RELEASE_WATERMARK),
        _ => 0,
    };
    record.watermark = Some(watermark);
    record
}

/// The record of a waiting job that is cancelled with one that it needs.
fn cancelled_record(job: &WaitingJob) -> WaitingRecord {
    let upstream = store::decode_job_ids(&job.upstream_ids);
    WaitingRecord::new((*job.spec).clone(), job.accepted_at, true, &upstream)
}
