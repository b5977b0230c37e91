//! What the state service holds: taking it in, and writing down what has changed.

use std::collections::BTreeMap;
use std::sync::Arc;

use gannethub_ledger::audit::Page;
use serde_json::value::RawValue;

use crate::model::{JobId, JobSpec, Micros, SECOND, TaskId, TaskSet, seconds_from_micros};
use crate::policy::Setting;
use crate::saga::AbortAction;
use crate::state::attempt::LiveAttempt;
use crate::state::cluster::Cluster;
use crate::state::job::Job;
use crate::state::shard::{ChunkRecord, ChunkWrite};
use crate::state::usage::{job_owner, log_damaged_page};
use crate::state::watermarks::ReliabilityRecord;
use crate::state::writes::{BatchedWrite, WriteBatch};
use crate::wire::store::{
    self, DonePartRecord, FinishedJobRecord, JobRecord, LeaseRecord, LiveRecord, TASKS_PER_PART,
    Transaction,
};

/// Why a job's value is to be written, in the order in which that is done.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WriteReason {
    Watermark,
    /// It goes to another block.
    Transfer,
    /// It is done, and its users wait to be told.
    Finished,
    /// It is cancelled, as its users know.
    Cancelled,
    Progress,
}

impl Cluster {
    /// Takes in a live job's record.
    pub fn apply_live_record(&mut self, id: &str, record: LiveRecord, stamp: u64) {
        match record {
            LiveRecord::Job(record) => self.apply_job_record(id, record, stamp),
            LiveRecord::Waiting(record) => self.apply_waiting_job(id, record, stamp),
        }
    }

    /// Takes in a job's record: a new job, a cancellation, or what was read back.
    pub fn apply_job_record(&mut self, id: &str, record: JobRecord, stamp: u64) {
        if record.shard != self.shard.id {
            return self.apply_foreign_job_record(id, &record, stamp);
        }
        self.other_shards.jobs.remove(id);
        if let Some(job) = self.jobs.get_mut(id) {
            if stamp > job.persistence.version {
                job.persistence.version = stamp;
            }
            job.persistence.version_unknown = false;
            job.persistence.durable_watermark = job
                .persistence
                .durable_watermark
                .max(record.effective_watermark());
            store::decode_done_part(&record.done, 0, &mut job.persistence.durable_done);
            if record.cancelled && !job.cancelled {
                self.cancel_job(id);
            }
            return;
        }
        if self.store_writes.has_tombstone(id, stamp) {
            return;
        }
        self.mark_upstream_released(&id.into());
        // What was there before this term may be on machines of which nothing is known yet.
        let possibly_launched = match self.takeover.unconfirmed.loading {
            true if self.watermarks.reliable => record.effective_watermark(),
            true => record.spec.tasks,
            false => 0,
        };
        let cancelled = record.cancelled;
        let team = self.settings.team(&record.spec.team);
        let mut job = Job::from_record(id.into(), record, stamp, team, possibly_launched);
        if job.spec.spot {
            let within = self.fits_guarantee(&job);
            let facts = self.policy_inputs(&job, within, self.latest_start(&job, within));
            let spot = self.settings.policy.truth(Setting::UseSpot, &facts);
            if !spot {
                job.spec = Arc::new(JobSpec {
                    spot,
                    ..(*job.submitted_spec).clone()
                });
            }
        }
        self.queue.add_arrival(job.id.clone());
        self.jobs.insert(job.id.clone(), job);
        self.passes.needed = true;
        if cancelled {
            self.cancel_job(id);
        }
    }

    /// A job whose tasks run in another block. Block 0's holder keeps track of it, for jobs that wait for it.
    fn apply_foreign_job_record(&mut self, id: &str, record: &JobRecord, stamp: u64) {
        if self.jobs.remove(id).is_some() {
            tracing::info!(job = id, block = record.shard, "goes to another block");
        }
        if self.shard.id != 0 || self.store_writes.has_tombstone(id, stamp) {
            return;
        }
        let known = self.other_shards.jobs.insert(id.into(), stamp).is_some();
        if !known {
            self.mark_upstream_released(&id.into());
        }
        if record.cancelled {
            self.mark_upstream_cancelled(id);
        }
    }

    /// Takes in finished tasks of a large array.
    pub fn apply_done_part(&mut self, key: &str, record: &DonePartRecord) {
        let parsed = key
            .strip_prefix(store::DONE_PART_PREFIX)
            .and_then(|k| k.rsplit_once('/'));
        let Some((id, part)) = parsed.and_then(|(j, n)| Some((j, n.parse::<u32>().ok()?))) else {
            return;
        };
        match self.jobs.get_mut(id) {
            Some(job) if part < 100 => {
                job.persistence.overflow |= part == 0;
                let mut done = TaskSet::default();
                store::decode_done_part(&record.done, part, &mut done);
                for x in done.iter().filter(|x| *x < job.spec.tasks) {
                    job.tasks.done.insert(x);
                    job.persistence.durable_done.insert(x);
                    job.tasks.pending.remove(x);
                    job.tasks.unconfirmed.remove(x);
                }
            }
            // What belongs to no job is left over from one that is over.
            _ if self.shard.id == 0 && !self.other_shards.jobs.contains_key(id) => {
                self.store_writes.stale_keys.push(key.to_string());
            }
            _ => {}
        }
    }

    /// Takes in a part of the block's record. Its machines may hold tasks of an earlier term.
    pub fn apply_shard_chunk(&mut self, key: &str, record: ChunkRecord, stamp: u64) {
        let Some(index) = self.shard.parse_chunk_key(key) else {
            let block = key
                .strip_prefix(store::SHARD_PREFIX)
                .and_then(|k| k.split_once('/'));
            if let Some(block) = block.and_then(|(b, _)| b.parse().ok()) {
                self.other_shards
                    .machines
                    .extend(record.machines.into_keys().map(|m| (m, block)));
            }
            return;
        };
        for (name, member) in &record.machines {
            let taken = self.takeover.at;
            let machine =
                self.machine_or_adopt(name, &member.machine_type, &member.zone, member.spot, taken);
            machine.lifecycle.recorded = true;
            machine.worker.last_answered_at = taken;
            machine.lifecycle.is_up = true;
        }
        self.shard.load_chunk(index, record, stamp);
    }

    /// Another controller has told its users that the job is cancelled. What is stored of it is read all the same.
    pub fn apply_remote_cancellation(&mut self, id: &str) {
        if self.jobs.get(id).is_some_and(|j| !j.cancelled) {
            self.cancel_job(id);
        } else if self.pipelines.waiting.contains_key(id) || self.other_shards.jobs.contains_key(id)
        {
            self.mark_upstream_cancelled(id);
        } else {
            return;
        }
        self.passes.needed = true;
    }

    /// The user cancelled: the pipeline's saga aborts. Nothing of it starts from here on.
    fn cancel_job(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.cancelled = true;
        job.tasks.pending = TaskSet::default();
        job.persistence.dirty_since = Some(0);
        let actions = job.saga.abort();
        let live: Vec<_> = job
            .tasks
            .live_attempts
            .iter()
            .map(|(i, p)| (*i, p.clone()))
            .collect();
        tracing::info!(job = id, tasks = live.len(), "cancelled");
        self.mark_upstream_cancelled(id);
        if actions.contains(&AbortAction::Cancel(0)) {
            for (index, attempt) in live {
                let LiveAttempt { machine, number } = attempt;
                self.stop_attempt(id, index, &machine, number, 0);
                self.queue_kill_order(
                    &machine,
                    TaskId {
                        job: id.into(),
                        index,
                    },
                    number,
                );
            }
        }
    }

    /// A live key is gone: the job is over, whoever wrote that. `cancelled`: what its end says,
    /// where that was read or written here. Else it is read if another job waits for it.
    pub fn apply_job_end(&mut self, id: &str, stamp: u64, cancelled: Option<bool>) {
        if self.record_version(id).is_some_and(|known| known >= stamp) {
            return;
        }
        self.store_writes.add_tombstone(id.into(), stamp);
        self.other_shards.jobs.remove(id);
        if self.remove_waiting_job(id) {
            return;
        }
        self.mark_upstream_ended(id, cancelled);
        if let Some(job) = self.jobs.remove(id) {
            let first = u32::from(!job.persistence.overflow);
            for part in first..job.spec.tasks.div_ceil(TASKS_PER_PART) {
                self.store_writes
                    .stale_keys
                    .push(format!("{}{id}/{part}", store::DONE_PART_PREFIX));
            }
        }
    }

    /// Everything has been read; leases of recorded machines are counted from here.
    pub fn finish_loading(&mut self, now: Micros) {
        self.takeover.at = now;
        self.takeover.unconfirmed.loading = false;
        self.shard.finish_loading();
        self.machines
            .values_mut()
            .for_each(|m| m.worker.last_answered_at = now);
        // A report may come before the next tick: limits count what is in doubt from here on.
        self.review_unconfirmed(now);
    }

    /// The next transaction, if anything needs to be written. `holder` is the leader key's version.
    pub fn next_transaction(
        &mut self,
        now: Micros,
        holder: u64,
    ) -> Option<(Transaction, WriteBatch)> {
        let (ops, limit) = (self.max_transaction_changes(), self.settings.value_bytes);
        let mut commit = Transaction::default();
        let mut batch = WriteBatch::default();
        let mut bytes = 512;
        commit.guard(&self.store_writes.assignment_keys.0, holder);
        // A transaction must be able to carry the end of a job beside machines.
        let most = (ops / 2).max(1);
        self.add_shard_chunks(&mut commit, &mut batch, &mut bytes, most, false);
        self.add_ledger_page(&mut commit, &mut batch, &mut bytes, now);
        self.add_machine_transfers(&mut commit, &mut batch, &mut bytes, most);
        self.add_pipeline_writes(&mut commit, &mut batch, &mut bytes);
        let mut due: Vec<(WriteReason, Micros, JobId)> = Vec::new();
        for job in self
            .jobs
            .values_mut()
            .filter(|j| !j.persistence.write_in_flight && !j.persistence.version_unknown)
        {
            if job
                .scheduling
                .home_shard
                .is_some_and(|home| home != self.shard.id)
                && job.has_no_launches()
            {
                due.push((WriteReason::Transfer, 0, job.id.clone()));
                continue;
            }
            let over = job.is_finished()
                || (job.cancelled && job.tasks.live_attempts.is_empty() && self.takeover.settled);
            match job.persistence.dirty_since {
                // In the order in which they ended: in that of their names one of a high number would wait for as long as
                // more end than may be written.
                since if job.is_finished() => {
                    due.push((WriteReason::Finished, since.unwrap_or(0), job.id.clone()));
                }
                _ if over => due.push((WriteReason::Cancelled, 0, job.id.clone())),
                // Launches wait for it.
                _ if job.persistence.requested_watermark > job.persistence.durable_watermark
                    && !self.watermarks.not_required =>
                {
                    due.push((WriteReason::Watermark, 0, job.id.clone()));
                }
                // Progress can wait: until it is written, the worker keeps the result.
                Some(t) if now >= t + 2 * SECOND && !job.persistence.dirty_parts.is_empty() => {
                    due.push((WriteReason::Progress, t, job.id.clone()));
                }
                _ => {}
            }
        }
        due.sort();
        for (what, _, id) in due {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let live = format!("{}{id}", store::LIVE_JOB_PREFIX);
            let room = ops - commit.change_count();
            if let (WriteReason::Transfer, Some(home)) = (what, job.scheduling.home_shard) {
                if room == 0 || bytes > 40_000 {
                    break;
                }
                let mut r = JobRecord::new((*job.submitted_spec).clone(), job.accepted_at);
                r.ready_at = (job.ready_at != job.accepted_at).then_some(job.ready_at);
                (r.cancelled, r.crash_looping, r.shard) =
                    (job.cancelled, job.is_crash_looping(), home);
                commit.guard(&live, job.persistence.version);
                commit.put(&live, r.to_value(), None);
                bytes += 1500;
                job.persistence.write_in_flight = true;
                batch.push(
                    BatchedWrite::JobTransfer {
                        id,
                        record: Box::new(r),
                    },
                    live,
                );
                continue;
            }
            if matches!(what, WriteReason::Finished | WriteReason::Cancelled) {
                if room < 2 || bytes > 40_000 {
                    break;
                }
                let cancelled = job.cancelled;
                commit.guard(&live, job.persistence.version);
                let owner = self.usage_ledger.as_ref().map(|_| job_owner(job));
                commit.end_job(
                    &id,
                    &FinishedJobRecord {
                        cancelled,
                        tasks: job.spec.tasks,
                        owner,
                    },
                );
                bytes += 400;
                job.persistence.write_in_flight = true;
                let due = job
                    .submitted_spec
                    .deadline
                    .filter(|_| !cancelled)
                    .map(|d| job.accepted_at + d);
                let late = due.and_then(|due| self.unix_time.checked_sub(due));
                let late_s = late.map(|t| seconds_from_micros(t) as u32);
                batch.push(
                    BatchedWrite::JobEnd {
                        id,
                        cancelled,
                        deadline_missed_by_s: late_s,
                    },
                    live,
                );
                continue;
            }
            // Every write of a job's ends changes its live value and is guarded by that one's version: a transaction of
            // parts alone, carried out late, would take back ends that were written since.
            let spec = (*job.submitted_spec).clone();
            let mut r = JobRecord::new(spec, job.accepted_at);
            r.ready_at = (job.ready_at != job.accepted_at).then_some(job.ready_at);
            (r.cancelled, r.crash_looping) = (job.cancelled, job.is_crash_looping());
            (r.watermark, r.shard) = (Some(job.persistence.requested_watermark), self.shard.id);
            r.done = store::encode_done_part(&job.tasks.done, 0);
            let mut value = r.to_value();
            let outgrew =
                !job.persistence.overflow && value.get().len() + store::VALUE_SLACK_BYTES > limit;
            if outgrew {
                job.persistence.overflow = true;
                job.persistence.dirty_parts.insert(0);
            }
            if job.persistence.overflow {
                // Both change in one transaction. Whoever reads the parts, the version before as well, takes part 0 for
                // what it is.
                r.done.clear();
                value = r.to_value();
            }
            let in_parts = job
                .persistence
                .dirty_parts
                .iter()
                .any(|part| *part > 0 || job.persistence.overflow);
            if room < 1 + usize::from(in_parts) || bytes > 40_000 {
                break;
            }
            commit.guard(&live, job.persistence.version);
            commit.put(&live, value, None);
            bytes += 1500;
            let mut parts = BTreeMap::new();
            if !job.persistence.overflow {
                job.persistence.dirty_parts.remove(&0);
                parts.insert(0, job.tasks.done.slice(0, TASKS_PER_PART));
            }
            for part in job
                .persistence
                .dirty_parts
                .iter()
                .copied()
                .take(room - 1)
                .collect::<Vec<_>>()
            {
                let done = store::encode_done_part(&job.tasks.done, part);
                job.persistence.dirty_parts.remove(&part);
                bytes += done.len() + 200;
                let lo = part * TASKS_PER_PART;
                parts.insert(part, job.tasks.done.slice(lo, lo + TASKS_PER_PART));
                let key = format!("{}{id}/{part}", store::DONE_PART_PREFIX);
                commit.put(&key, store::to_raw_value(&DonePartRecord { done }), None);
            }
            if job.persistence.dirty_parts.is_empty() {
                job.persistence.dirty_since = None;
            }
            job.persistence.write_in_flight = true;
            batch.push(
                BatchedWrite::JobProgress {
                    id,
                    done_parts: parts,
                    watermark: job.persistence.requested_watermark,
                },
                live,
            );
        }
        if self.watermarks.recorded == ReliabilityRecord::Missing
            && commit.change_count() < ops
            && self.watermarks_cover_all_launches()
        {
            let holder = self.settings.name.clone();
            let record = LeaseRecord {
                owner: holder,
                term: self.term,
                watermarks_reliable: true,
            };
            commit.put(
                &self.store_writes.assignment_keys.1,
                store::to_raw_value(&record),
                None,
            );
            batch.writes.push(BatchedWrite::WatermarksReliable);
            self.watermarks.recorded = ReliabilityRecord::WriteInFlight;
        }
        while commit.change_count() < ops && bytes < 40_000 {
            let Some(key) = self.store_writes.stale_keys.pop() else {
                break;
            };
            commit.delete(&key);
            bytes += key.len() + 20;
            batch.writes.push(BatchedWrite::StaleKeyDeletion);
        }
        if commit.change_count() == 0 {
            self.add_shard_chunks(&mut commit, &mut batch, &mut bytes, ops, true);
        }
        (commit.change_count() > 0).then_some((commit, batch))
    }

    /// Adds parts of the block's record to a transaction, until it has `most` changes.
    fn add_shard_chunks(
        &mut self,
        commit: &mut Transaction,
        batch: &mut WriteBatch,
        bytes: &mut usize,
        most: usize,
        idle: bool,
    ) {
        while commit.change_count() < most && *bytes < 40_000 {
            let Some(write) = self.shard.next_dirty_chunk(idle) else {
                break;
            };
            let ChunkWrite {
                index,
                version,
                record,
            } = write;
            let key = self.shard.chunk_key(index);
            let value = store::to_raw_value(&record);
            *bytes += value.get().len() + 200;
            commit.guard(&key, version);
            commit.put(&key, value, None);
            self.shard.mark_write_in_flight(index);
            let members = record.machines.into_keys().collect();
            batch.push(BatchedWrite::ShardChunk { index, members }, key);
        }
    }

    /// Adds the ledger's next page to a transaction, if one is due and fits.
    fn add_ledger_page(
        &mut self,
        commit: &mut Transaction,
        batch: &mut WriteBatch,
        bytes: &mut usize,
        now: Micros,
    ) {
        let room = self.max_transaction_changes()
            - commit.change_count().min(self.max_transaction_changes());
        let Some(ledger) = &mut self.usage_ledger else {
            return;
        };
        let Some(write) = ledger.book.write(now, self.unix_time, room) else {
            return;
        };
        let key = store::ledger_page_key(write.page);
        *bytes += write.value.len() + 200;
        commit.guard(&key, write.stamp);
        // It is built as JSON; what is not would be refused and read back.
        commit.put(
            &key,
            RawValue::from_string(write.value).unwrap_or_default(),
            None,
        );
        if let Some(head) = &write.head {
            commit.put(store::LEDGER_HEAD_KEY, store::to_raw_value(head), None);
        }
        for page in write.deletes {
            commit.delete(&store::ledger_page_key(page));
        }
        batch.push(BatchedWrite::LedgerPage, key);
    }

    /// A page of the ledger has been read again, as its write had no answer.
    pub fn ledger_page_reread(&mut self, item: Option<&store::StoredValue>) {
        let Some(ledger) = &mut self.usage_ledger else {
            return;
        };
        let page = item.and_then(|i| Some((i.decode::<Page>()?, i.version)));
        let unreadable = item.is_some() && page.is_none();
        let found = page.as_ref().map(|(p, stamp)| (p, *stamp));
        let result = match unreadable {
            true => Err(ledger.book.abandon()),
            false => ledger.book.reread(found),
        };
        match result {
            Ok(tickets) => self.usage_page_written(tickets),
            Err(damaged) => log_damaged_page(damaged),
        }
    }

    /// A transaction was carried out.
    pub fn transaction_committed(&mut self, batch: WriteBatch, stamp: u64) {
        self.store_writes.transaction_rejections = 0;
        for item in batch.writes {
            match item {
                BatchedWrite::JobProgress {
                    id,
                    done_parts: parts,
                    watermark: open,
                } => {
                    let Some(job) = self.jobs.get_mut(&id) else {
                        continue;
                    };
                    job.persistence.write_in_flight = false;
                    job.persistence.version = job.persistence.version.max(stamp);
                    job.persistence.durable_watermark = job.persistence.durable_watermark.max(open);
                    for x in parts.values().flat_map(TaskSet::iter) {
                        job.persistence.durable_done.insert(x);
                    }
                }
                BatchedWrite::JobEnd {
                    id,
                    cancelled,
                    deadline_missed_by_s: late_s,
                } => {
                    match late_s {
                        Some(late_s) => tracing::info!(job = %id, late_s, "over"),
                        None => tracing::info!(job = %id, cancelled, "over"),
                    }
                    self.apply_job_end(&id, stamp, Some(cancelled));
                }
                BatchedWrite::JobRelease { .. } | BatchedWrite::WaitingJobCancellation { .. } => {
                    self.apply_pipeline_write(&item, stamp)
                }
                BatchedWrite::ShardChunk { index, members } => {
                    self.shard.mark_written(index, stamp);
                    for name in members {
                        if self.transfers.incoming.remove(&name) {
                            // Only now that it is on this block's record may that of its way here go.
                            self.store_writes.stale_keys.push(format!(
                                "{}{}/{name}",
                                store::MACHINE_TRANSFER_PREFIX,
                                self.shard.id
                            ));
                        }
                        if let Some(m) = self.machines.get_mut(name.as_str()) {
                            m.lifecycle.recorded = true;
                            let id = m.id.clone();
                            self.reindex_machine(&id, self.now);
                        }
                    }
                }
                BatchedWrite::LedgerPage => {
                    let book = self.usage_ledger.as_mut().map(|l| &mut l.book);
                    let tickets = book.map_or_else(Vec::new, |b| b.written(stamp));
                    self.usage_page_written(tickets);
                }
                BatchedWrite::JobTransfer { id, record } => {
                    self.apply_job_record(&id, *record, stamp)
                }
                BatchedWrite::MachineTransfer { machine } => self.machine_transferred(&machine),
                BatchedWrite::WatermarksReliable => {
                    tracing::info!(term = self.term, "a successor can go by the jobs' marks");
                    self.watermarks.recorded = ReliabilityRecord::Durable;
                }
                BatchedWrite::StaleKeyDeletion => {}
            }
        }
    }

    /// A transaction was not carried out. `unsure`: perhaps it was, or its versions were wrong; its
    /// keys are then to be read back, never assumed.
    pub fn transaction_failed(&mut self, batch: &WriteBatch, unsure: bool, now: Micros) {
        for item in &batch.writes {
            match item {
                BatchedWrite::JobTransfer { id, .. } => {
                    if let Some(job) = self.jobs.get_mut(id) {
                        (
                            job.persistence.write_in_flight,
                            job.persistence.version_unknown,
                        ) = (false, unsure);
                    }
                }
                BatchedWrite::MachineTransfer { machine } => self.machine_transfer_failed(machine),
                BatchedWrite::JobProgress {
                    id,
                    done_parts: parts,
                    ..
                } => {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.persistence.write_in_flight = false;
                        job.persistence.version_unknown = unsure;
                        job.persistence.dirty_parts.extend(parts.keys());
                        job.persistence.dirty_since.get_or_insert(now);
                    }
                }
                BatchedWrite::JobEnd { id, .. }
                | BatchedWrite::JobRelease { id, .. }
                | BatchedWrite::WaitingJobCancellation { id } => {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.persistence.write_in_flight = false;
                        job.persistence.version_unknown = unsure;
                    }
                    self.pipeline_write_failed(id, unsure);
                }
                BatchedWrite::LedgerPage => {
                    if let Some(ledger) = &mut self.usage_ledger {
                        ledger.book.not_written(unsure);
                    }
                }
                // That it may say so, though it was not told, is true all the same.
                BatchedWrite::WatermarksReliable => {
                    self.watermarks.recorded = ReliabilityRecord::Missing
                }
                BatchedWrite::ShardChunk { index, .. } if !unsure => {
                    self.shard.mark_write_failed(*index)
                }
                // A dropped key that stays is found and dropped again at the next takeover.
                BatchedWrite::ShardChunk { .. } | BatchedWrite::StaleKeyDeletion => {}
            }
        }
    }
}
