//! Application of transaction outcomes: committed, failed or unknown.

use std::collections::BTreeMap;

use gannethub_ledger::audit::Page;

use crate::model::{JobId, Micros, TaskSet};
use crate::state::cluster::Cluster;
use crate::state::usage::log_damaged_page;
use crate::state::watermarks::ReliabilityRecord;
use crate::state::writes::{BatchedWrite, WriteBatch};
use crate::wire::store::{self, StoredValue};

impl Cluster {
    /// Applies the writes of a transaction that was carried out at `version`.
    pub fn transaction_committed(&mut self, batch: WriteBatch, version: u64) {
        self.store_writes.transaction_rejections = 0;
        for write in batch.writes {
            match write {
                BatchedWrite::JobProgress {
                    id,
                    done_parts,
                    watermark,
                } => self.job_progress_written(&id, &done_parts, watermark, version),
                BatchedWrite::JobEnd {
                    id,
                    cancelled,
                    deadline_missed_by_s,
                } => {
                    match deadline_missed_by_s {
                        Some(late_s) => tracing::info!(job = %id, late_s, "over"),
                        None => tracing::info!(job = %id, cancelled, "over"),
                    }
                    self.apply_job_end(&id, version, Some(cancelled));
                }
                BatchedWrite::JobRelease { id, record } => {
                    self.job_released(&id, *record, version);
                }
                BatchedWrite::WaitingJobCancellation { id } => {
                    self.waiting_job_cancellation_written(&id, version);
                }
                BatchedWrite::JobTransfer { id, record } => {
                    self.apply_job_record(&id, *record, version);
                }
                BatchedWrite::ShardChunk { index, members } => {
                    self.shard_chunk_written(index, members, version);
                }
                BatchedWrite::MachineTransfer { machine } => self.machine_transferred(&machine),
                BatchedWrite::LedgerPage => self.ledger_page_written(version),
                BatchedWrite::WatermarksReliable => {
                    tracing::info!(
                        term = self.term,
                        "launch watermarks are reliable for a successor"
                    );
                    self.watermarks.recorded = ReliabilityRecord::Durable;
                }
                BatchedWrite::StaleKeyDeletion => {}
            }
        }
    }

    fn job_progress_written(
        &mut self,
        id: &JobId,
        done_parts: &BTreeMap<u32, TaskSet>,
        watermark: u32,
        version: u64,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.persistence.write_in_flight = false;
        job.persistence.version = job.persistence.version.max(version);
        job.persistence.durable_watermark = job.persistence.durable_watermark.max(watermark);
        for index in done_parts.values().flat_map(TaskSet::iter) {
            job.persistence.durable_done.insert(index);
        }
    }

    /// Marks the machines of a written chunk as recorded. Tasks may be placed on them from now on.
    fn shard_chunk_written(&mut self, index: usize, members: Vec<String>, version: u64) {
        self.shard.mark_written(index, version);
        for name in members {
            if self.transfers.incoming.remove(&name) {
                // The transfer record may be deleted from now on, as the machine is in this shard's record.
                let key = store::machine_transfer_key(self.shard.id, &name);
                self.store_writes.stale_keys.push(key);
            }
            if let Some(machine) = self.machines.get_mut(name.as_str()) {
                machine.lifecycle.recorded = true;
                let id = machine.id.clone();
                self.reindex_machine(&id, self.now);
            }
        }
    }

    fn ledger_page_written(&mut self, version: u64) {
        let ledger = self.usage_ledger.as_mut();
        let tickets = ledger.map_or_else(Vec::new, |ledger| ledger.book.write_succeeded(version));
        self.usage_page_written(tickets);
    }

    /// Applies a page of the ledger that was read again because its write had no response. `stored`: `None` if there is
    /// no such page.
    pub fn ledger_page_reread(&mut self, stored: Option<&StoredValue>) {
        let Some(ledger) = &mut self.usage_ledger else {
            return;
        };
        let page = stored.and_then(|stored| Some((stored.decode::<Page>()?, stored.version)));
        let is_unreadable = stored.is_some() && page.is_none();
        let found = page.as_ref().map(|(page, version)| (page, *version));
        let result = match is_unreadable {
            true => Err(ledger.book.abandon_page()),
            false => ledger.book.page_reread(found),
        };
        match result {
            Ok(tickets) => self.usage_page_written(tickets),
            Err(damaged) => log_damaged_page(damaged),
        }
    }

    /// Applies the failure of a transaction. `version_unknown`: the transaction may have been carried out after all, or
    /// its guards had wrong versions. Its keys then have to be read again, and nothing is assumed about them before.
    pub fn transaction_failed(&mut self, batch: &WriteBatch, version_unknown: bool, now: Micros) {
        for write in &batch.writes {
            match write {
                BatchedWrite::JobProgress { id, done_parts, .. } => {
                    self.job_write_failed(id, version_unknown);
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.persistence.dirty_parts.extend(done_parts.keys());
                        job.persistence.dirty_since.get_or_insert(now);
                    }
                }
                BatchedWrite::JobTransfer { id, .. } => self.job_write_failed(id, version_unknown),
                BatchedWrite::JobEnd { id, .. }
                | BatchedWrite::JobRelease { id, .. }
                | BatchedWrite::WaitingJobCancellation { id } => {
                    self.job_write_failed(id, version_unknown);
                    self.waiting_job_write_failed(id, version_unknown);
                }
                BatchedWrite::MachineTransfer { machine } => self.machine_transfer_failed(machine),
                BatchedWrite::LedgerPage => {
                    if let Some(ledger) = &mut self.usage_ledger {
                        ledger.book.write_failed(version_unknown);
                    }
                }
                // If the record was written although no response arrived, its content is true.
                BatchedWrite::WatermarksReliable => {
                    self.watermarks.recorded = ReliabilityRecord::Missing
                }
                BatchedWrite::ShardChunk { index, .. } if !version_unknown => {
                    self.shard.mark_write_failed(*index);
                }
                // A stale key that was not deleted is found and deleted at the next takeover.
                BatchedWrite::ShardChunk { .. } | BatchedWrite::StaleKeyDeletion => {}
            }
        }
    }

    fn job_write_failed(&mut self, id: &JobId, version_unknown: bool) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.persistence.write_in_flight = false;
            job.persistence.version_unknown = version_unknown;
        }
    }
}
