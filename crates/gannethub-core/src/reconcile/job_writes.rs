//! Writes of job records: ends, launch watermarks, transfers to other shards, progress.

use std::collections::BTreeMap;

use serde_json::value::RawValue;

use super::transaction::TransactionBuilder;
use crate::model::{JobId, Micros, SECOND, TaskSet, seconds_from_micros};
use crate::state::cluster::Cluster;
use crate::state::job::Job;
use crate::state::usage::job_account;
use crate::state::writes::BatchedWrite;
use crate::wire::store::{
    self, DonePartRecord, FinishedJobRecord, JobRecord, TASKS_PER_PART, VALUE_SLACK_BYTES,
};

/// Delay between progress of a job and its write. Until the write the worker keeps the result.
const PROGRESS_WRITE_DELAY: Micros = 2 * SECOND;
/// Approximate size of the write of a job's record in a transaction.
pub(super) const JOB_RECORD_BYTES: usize = 1500;
/// Approximate size of the write of a job's end in a transaction.
const JOB_END_BYTES: usize = 400;

/// Reason for writing a job's record. The order of the variants is the order in which writes are made.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WriteReason {
    /// Launches wait for a higher launch watermark.
    Watermark,
    /// The job is transferred to another shard.
    Transfer,
    /// All tasks of the job are done, and its users wait for its end.
    Finished,
    /// The job was cancelled, which its users already know, and none of its tasks runs any more.
    Cancelled,
    /// Tasks of the job were completed.
    Progress,
}

/// Due write of a job's record. Sorts by urgency.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueWrite {
    reason: WriteReason,
    /// Time of the change. Among jobs that are written for the same reason, those that changed first come first. In the
    /// order of ids, a job with a high id would wait for as long as more jobs change than can be written.
    since: Micros,
    id: JobId,
}

impl Cluster {
    /// Adds writes of job records to a transaction, as far as they fit.
    pub(super) fn add_job_writes(&mut self, builder: &mut TransactionBuilder, now: Micros) {
        let jobs = self.jobs.values();
        let writable =
            jobs.filter(|job| !job.persistence.write_in_flight && !job.persistence.version_unknown);
        let mut due: Vec<DueWrite> = writable
            .filter_map(|job| self.due_write(job, now))
            .collect();
        due.sort();
        for DueWrite { reason, id, .. } in due {
            let fitted = match reason {
                WriteReason::Transfer => self.add_job_transfer(builder, id),
                WriteReason::Finished | WriteReason::Cancelled => self.add_job_end(builder, id),
                WriteReason::Watermark | WriteReason::Progress => {
                    self.add_job_progress(builder, id)
                }
            };
            if !fitted {
                break;
            }
        }
    }

    /// Returns the write of a job's record that is due now, if any.
    fn due_write(&self, job: &Job, now: Micros) -> Option<DueWrite> {
        let due = |reason, since| {
            let id = job.id.clone();
            Some(DueWrite { reason, since, id })
        };
        let is_transferred_away = job
            .scheduling
            .target_shard
            .is_some_and(|target| target != self.shard.id);
        if is_transferred_away && job.has_no_launches() {
            return due(WriteReason::Transfer, 0);
        }
        if job.is_finished() {
            return due(
                WriteReason::Finished,
                job.persistence.dirty_since.unwrap_or(0),
            );
        }
        if job.cancelled && job.tasks.live_attempts.is_empty() && self.takeover.is_settled {
            return due(WriteReason::Cancelled, 0);
        }
        if job.persistence.requested_watermark > job.persistence.durable_watermark
            && !self.watermarks.not_required
        {
            return due(WriteReason::Watermark, 0);
        }
        let dirty_since = job
            .persistence
            .dirty_since
            .filter(|_| !job.persistence.dirty_parts.is_empty())?;
        if now < dirty_since + PROGRESS_WRITE_DELAY {
            return None;
        }
        due(WriteReason::Progress, dirty_since)
    }

    /// Adds the transfer of a job to another shard. Like `add_job_end` and `add_job_progress`, returns `false` if the
    /// write does not fit into the transaction.
    fn add_job_transfer(&mut self, builder: &mut TransactionBuilder, id: JobId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return true;
        };
        let Some(target_shard) = job.scheduling.target_shard else {
            return true;
        };
        if !builder.fits(1) {
            return false;
        }
        let record = job_record(job, target_shard);
        let key = store::live_job_key(&id);
        builder.transaction.guard(&key, job.persistence.version);
        builder.transaction.put(&key, record.to_value(), None);
        builder.add_bytes(JOB_RECORD_BYTES);
        job.persistence.write_in_flight = true;
        let record = Box::new(record);
        let write = BatchedWrite::JobTransfer { id, record };
        builder.batch.push(write, key);
        true
    }

    /// Adds the end of a job, which moves the job from the live to the finished jobs.
    fn add_job_end(&mut self, builder: &mut TransactionBuilder, id: JobId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return true;
        };
        if !builder.fits(2) {
            return false;
        }
        let cancelled = job.cancelled;
        let key = store::live_job_key(&id);
        builder.transaction.guard(&key, job.persistence.version);
        let record = FinishedJobRecord {
            cancelled,
            tasks: job.spec.tasks,
            owner: self.usage_ledger.as_ref().map(|_| job_account(job)),
        };
        builder.transaction.finish_job(&id, &record);
        builder.add_bytes(JOB_END_BYTES);
        job.persistence.write_in_flight = true;
        let write = BatchedWrite::JobEnd {
            id,
            cancelled,
            deadline_missed_by_s: deadline_missed_by_s(job, self.unix_time),
        };
        builder.batch.push(write, key);
        true
    }

    /// Adds the write of a job's record, and of those changed parts of its finished tasks that have keys of their own.
    ///
    /// Every write of finished tasks changes the live record and is guarded by the record's version. A transaction of
    /// parts alone, carried out late, would overwrite finished tasks that were written since.
    fn add_job_progress(&mut self, builder: &mut TransactionBuilder, id: JobId) -> bool {
        let max_value_bytes = self.settings.max_value_bytes;
        let Some(job) = self.jobs.get_mut(&id) else {
            return true;
        };
        let value = progress_value(job, self.shard.id, max_value_bytes);
        let has_dirty_parts = job
            .persistence
            .dirty_parts
            .iter()
            .any(|part| *part > 0 || job.persistence.overflow);
        if !builder.fits(1 + usize::from(has_dirty_parts)) {
            return false;
        }
        let max_parts = builder.remaining_changes() - 1;
        let key = store::live_job_key(&id);
        builder.transaction.guard(&key, job.persistence.version);
        builder.transaction.put(&key, value, None);
        builder.add_bytes(JOB_RECORD_BYTES);
        let done_parts = add_done_parts(builder, job, max_parts);
        if job.persistence.dirty_parts.is_empty() {
            job.persistence.dirty_since = None;
        }
        job.persistence.write_in_flight = true;
        let write = BatchedWrite::JobProgress {
            id,
            done_parts,
            watermark: job.persistence.requested_watermark,
        };
        builder.batch.push(write, key);
        true
    }
}

/// Returns a job's record for `shard`, without finished tasks.
fn job_record(job: &Job, shard: u32) -> JobRecord {
    let mut record = JobRecord::new((*job.submitted_spec).clone(), job.accepted_at);
    record.ready_at = (job.ready_at != job.accepted_at).then_some(job.ready_at);
    record.cancelled = job.cancelled;
    record.crash_looping = job.is_crash_looping();
    record.shard = shard;
    record
}

/// Returns the value of a job's record. The record contains the first part of the finished tasks, unless that makes the
/// value too large: from then on the job overflows, and the first part has a key of its own like all other parts.
fn progress_value(job: &mut Job, shard: u32, max_value_bytes: usize) -> Box<RawValue> {
    let mut record = job_record(job, shard);
    record.watermark = Some(job.persistence.requested_watermark);
    record.done = store::encode_done_part(&job.tasks.done, 0);
    let value = record.to_value();
    if !job.persistence.overflow && value.get().len() + VALUE_SLACK_BYTES > max_value_bytes {
        job.persistence.overflow = true;
        job.persistence.dirty_parts.insert(0);
    }
    if !job.persistence.overflow {
        return value;
    }
    // Both keys change in one transaction. Every reader of the parts, including earlier releases of this software,
    // handles a part with the number 0.
    record.done.clear();
    record.to_value()
}

/// Adds up to `max_parts` changed parts of a job's finished tasks. Returns the tasks that the transaction makes
/// durable, including those in the job's own record, by part.
fn add_done_parts(
    builder: &mut TransactionBuilder,
    job: &mut Job,
    max_parts: usize,
) -> BTreeMap<u32, TaskSet> {
    let mut written = BTreeMap::new();
    if !job.persistence.overflow {
        job.persistence.dirty_parts.remove(&0);
        written.insert(0, job.tasks.done.slice(0, TASKS_PER_PART));
    }
    let parts: Vec<u32> = job
        .persistence
        .dirty_parts
        .iter()
        .copied()
        .take(max_parts)
        .collect();
    for part in parts {
        let done = store::encode_done_part(&job.tasks.done, part);
        job.persistence.dirty_parts.remove(&part);
        builder.add_value_bytes(done.len());
        let first = part * TASKS_PER_PART;
        written.insert(part, job.tasks.done.slice(first, first + TASKS_PER_PART));
        let key = store::done_part_key(&job.id, part);
        let value = store::to_raw_value(&DonePartRecord { done });
        builder.transaction.put(&key, value, None);
    }
    written
}

/// Returns the number of seconds by which a job that ends now misses its deadline, if it does.
fn deadline_missed_by_s(job: &Job, unix_time: u64) -> Option<u32> {
    let deadline = job.submitted_spec.deadline.filter(|_| !job.cancelled)?;
    let late = unix_time.checked_sub(job.accepted_at + deadline)?;
    Some(seconds_from_micros(late) as u32)
}
