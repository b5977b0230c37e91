//! Waiting jobs, i.e. jobs that wait for upstream jobs: their records, and their release or cancellation when upstream
//! jobs end.
//!
//! Only the owner of shard 0 handles waiting jobs. A waiting job is released into the shard in which it will run.

use std::sync::Arc;

use super::job_writes::JOB_RECORD_BYTES;
use super::transaction::TransactionBuilder;
use crate::model::{JobId, seconds_from_micros};
use crate::state::cluster::Cluster;
use crate::state::dependencies::{PipelineEffects, UpstreamOutcome};
use crate::state::pipeline::WaitingJob;
use crate::state::shard_load;
use crate::state::writes::BatchedWrite;
use crate::wire::store::{self, FinishedJobRecord, JobRecord, WaitingRecord};

/// Launch watermark of a job released into shard 0: number of its tasks that may be launched without another write. A
/// released job is most likely to start at once.
const RELEASE_WATERMARK: u32 = 128;

/// Kind of a pending write for a waiting job. The order of the variants is the order in which writes are made.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WaitingJobWrite {
    /// All upstream jobs are done, so the job can start.
    Release,
    /// The job is cancelled together with an upstream job, and its users are already told so. The cancellation is
    /// recorded before the end of the job, so that a reader that follows only the job's own record sees the job end as
    /// cancelled. Earlier releases of this software are such readers.
    Cancellation,
    /// The job is recorded as cancelled and moves to the finished jobs.
    End,
}

impl WaitingJobWrite {
    /// Returns the number of puts and deletes that the write takes.
    fn change_count(self) -> usize {
        match self {
            WaitingJobWrite::Release | WaitingJobWrite::Cancellation => 1,
            WaitingJobWrite::End => 2,
        }
    }
}

impl Cluster {
    /// Applies the record of a waiting job at `version`.
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
            tracing::info!(job = %id, %class, %on, "job waits for upstream jobs");
        }
        self.queue_pipeline_writes(&id, effects);
    }

    /// Adds a waiting job to the dependency graph, with the locally known outcomes of its upstream jobs.
    fn add_to_dependencies(
        &mut self,
        id: &JobId,
        upstream: &[JobId],
        is_cancelled: bool,
    ) -> PipelineEffects {
        let (jobs, waiting) = (&self.jobs, &self.pipelines.waiting);
        let in_other_shards = &self.other_shards.jobs;
        let outcome = |id: &JobId| match jobs.get(id) {
            Some(job) if job.cancelled => UpstreamOutcome::Cancelled,
            Some(_) => UpstreamOutcome::Live,
            None if in_other_shards.contains_key(id) => UpstreamOutcome::Live,
            None if waiting.contains_key(id) => UpstreamOutcome::Live,
            None => UpstreamOutcome::Unknown,
        };
        self.pipelines
            .dependencies
            .add_waiting(id, upstream, is_cancelled, outcome)
    }

    /// Queues the writes that a change of the job `cause` leads to. The next transactions carry them.
    fn queue_pipeline_writes(&mut self, cause: &str, effects: PipelineEffects) {
        let PipelineEffects {
            released,
            cancelled,
        } = effects;
        if !cancelled.is_empty() {
            tracing::info!(
                job = cause,
                jobs = cancelled.len(),
                "waiting jobs cancelled"
            );
        }
        if !(released.is_empty() && cancelled.is_empty()) {
            self.pipelines.dependencies_changed = true;
        }
        self.pipelines.pending_writes.extend(released);
        self.pipelines.pending_writes.extend(cancelled);
    }

    /// Records that a user cancelled a job, which may be an upstream job of others.
    pub fn mark_upstream_cancelled(&mut self, id: &str) {
        let effects = self.pipelines.dependencies.cancel(&id.into());
        self.queue_pipeline_writes(id, effects);
    }

    /// Records that a job, which may be an upstream job of others, has finished. `cancelled` is the value in its
    /// finished record, if known.
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

    /// Records that a job's stored record shows the job as released.
    pub fn mark_upstream_released(&mut self, id: &JobId) {
        let pipelines = &mut self.pipelines;
        pipelines.dependencies.mark_live(id);
        if pipelines.waiting.remove(id).is_some() {
            pipelines.pending_writes.remove(id);
            pipelines.dependencies.mark_released(id);
            pipelines.dependencies_changed = true;
        }
    }

    /// Adds releases and cancellations to a transaction, as far as they fit. Writes that do not fit, and writes of jobs
    /// that already have a write in flight, are tried again with the next transaction.
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
                    let shard = shard_load::choose_target_shard(
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
                    builder.transaction.finish_job(&id, &record);
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

    /// Returns the due writes of waiting jobs, most important first. Empties the list of pending writes.
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
            // Any other job keeps waiting. Events of its upstream jobs add it to the pending writes again.
        }
        due.sort();
        due
    }

    /// Records that a waiting job's release was written at `version`.
    pub(super) fn job_released(&mut self, id: &JobId, record: JobRecord, version: u64) {
        let waited = self.unix_time.saturating_sub(record.accepted_at);
        let waited_s = seconds_from_micros(waited) as u32;
        tracing::info!(job = %id, class = %record.spec.class, waited_s, "released");
        self.apply_job_record(id, record, version);
    }

    /// Records that a waiting job's cancellation was written at `version`.
    pub(super) fn waiting_job_cancellation_written(&mut self, id: &JobId, version: u64) {
        if let Some(job) = self.pipelines.waiting.get_mut(id) {
            job.version = job.version.max(version);
            job.cancellation_recorded = true;
            job.write_in_flight = false;
        }
    }

    /// Records that a write of a waiting job was not carried out. `version_unknown`: the write may have been carried
    /// out after all, so the version of the job's record is unknown.
    pub(super) fn waiting_job_write_failed(&mut self, id: &JobId, version_unknown: bool) {
        if let Some(job) = self.pipelines.waiting.get_mut(id) {
            job.write_in_flight = false;
            job.version_unknown = version_unknown;
        }
    }

    /// Removes a waiting job whose live record was deleted. The job was cancelled, as only a cancelled job ends without
    /// a release. Returns whether the job was a waiting job.
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

/// Returns the record of a job that is released into `shard`.
fn released_record(job: &WaitingJob, shard: u32, unix_time: u64) -> JobRecord {
    let mut record = JobRecord::new((*job.spec).clone(), job.accepted_at);
    record.ready_at = Some(unix_time.max(job.accepted_at));
    record.shard = shard;
    // The owner of another shard may know of jobs that take precedence over this one.
    let watermark = match shard {
        0 => job.spec.tasks.min(RELEASE_WATERMARK),
        _ => 0,
    };
    record.watermark = Some(watermark);
    record
}

/// Returns the record of a waiting job that is cancelled together with an upstream job.
fn cancelled_record(job: &WaitingJob) -> WaitingRecord {
    let upstream = store::decode_job_ids(&job.upstream_ids);
    WaitingRecord::new((*job.spec).clone(), job.accepted_at, true, &upstream)
}
