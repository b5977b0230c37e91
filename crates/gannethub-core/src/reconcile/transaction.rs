//! Construction of the next transaction, which writes changes of the state to the state service, most important first.
//!
//! Every transaction is guarded by the version of the shard owner's key, so no transaction of a deposed owner is
//! carried out, however late it arrives. One transaction is in flight at a time.

use serde_json::value::RawValue;

use crate::model::Micros;
use crate::state::cluster::Cluster;
use crate::state::shard::ChunkWrite;
use crate::state::watermarks::ReliabilityRecord;
use crate::state::writes::{BatchedWrite, WriteBatch};
use crate::wire::store::{self, LeaseRecord, Transaction};

/// Approximate maximum size of a transaction's body, below the 64 KiB that the state service accepts.
const MAX_BYTES: usize = 40_000;
/// Maximum size of a transaction's body without its writes.
const ENVELOPE_BYTES: usize = 512;
/// Maximum size of a write's key, guard and JSON frame.
const WRITE_OVERHEAD_BYTES: usize = 200;
/// Maximum size of a deletion without its key.
const DELETION_OVERHEAD_BYTES: usize = 20;

/// Transaction under construction, with an estimate of its size.
pub(super) struct TransactionBuilder {
    pub transaction: Transaction,
    /// The writes of the transaction, which are needed when its outcome is known.
    pub batch: WriteBatch,
    bytes: usize,
    max_changes: usize,
}

impl TransactionBuilder {
    fn new(max_changes: usize) -> TransactionBuilder {
        TransactionBuilder {
            transaction: Transaction::default(),
            batch: WriteBatch::default(),
            bytes: ENVELOPE_BYTES,
            max_changes,
        }
    }

    /// Counts a write of about `bytes` bytes.
    pub fn add_bytes(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    /// Counts a write whose value has `bytes` bytes.
    pub fn add_value_bytes(&mut self, bytes: usize) {
        self.bytes += bytes + WRITE_OVERHEAD_BYTES;
    }

    /// Returns the number of changes that the transaction can still take.
    pub fn remaining_changes(&self) -> usize {
        self.max_changes
            .saturating_sub(self.transaction.change_count())
    }

    /// Whether `changes` more changes fit.
    pub fn fits(&self, changes: usize) -> bool {
        changes <= self.remaining_changes() && !self.is_too_large()
    }

    /// Whether the transaction's body is too large for further changes.
    pub fn is_too_large(&self) -> bool {
        self.bytes > MAX_BYTES
    }

    /// Whether the transaction's body is still below its maximum size.
    fn has_spare_bytes(&self) -> bool {
        self.bytes < MAX_BYTES
    }

    fn is_empty(&self) -> bool {
        self.transaction.change_count() == 0
    }
}

impl Cluster {
    /// Returns the next transaction and its writes, or `None` if there is nothing to write. `owner_version`: version of
    /// the shard owner's key, which guards the transaction.
    pub fn next_transaction(
        &mut self,
        now: Micros,
        owner_version: u64,
    ) -> Option<(Transaction, WriteBatch)> {
        let max_changes = self.max_transaction_changes();
        let mut builder = TransactionBuilder::new(max_changes);
        builder
            .transaction
            .guard(&self.store_writes.assignment_keys.owner, owner_version);
        // Machine records leave room for the end of a job, which users wait for.
        let max_machine_changes = (max_changes / 2).max(1);
        self.add_shard_chunks(&mut builder, max_machine_changes, false);
        self.add_ledger_page(&mut builder, now);
        self.add_machine_transfers(&mut builder, max_machine_changes);
        self.add_pipeline_writes(&mut builder);
        self.add_job_writes(&mut builder, now);
        self.add_watermarks_reliable(&mut builder);
        self.add_stale_key_deletions(&mut builder);
        if builder.is_empty() {
            self.add_shard_chunks(&mut builder, max_changes, true);
        }
        (!builder.is_empty()).then_some((builder.transaction, builder.batch))
    }

    /// Adds changed chunks of the shard's machine records, until the transaction has `max_changes` changes. `idle`:
    /// there is nothing else to write, so chunks that only lost a few machines, which can wait, are added as well.
    fn add_shard_chunks(
        &mut self,
        builder: &mut TransactionBuilder,
        max_changes: usize,
        idle: bool,
    ) {
        while builder.transaction.change_count() < max_changes && builder.has_spare_bytes() {
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
            builder.add_value_bytes(value.get().len());
            builder.transaction.guard(&key, version);
            builder.transaction.put(&key, value, None);
            self.shard.mark_write_in_flight(index);
            let members = record.machines.into_keys().collect();
            let write = BatchedWrite::ShardChunk { index, members };
            builder.batch.push(write, key);
        }
    }

    /// Adds the next page of the ledger if a page is due and fits.
    fn add_ledger_page(&mut self, builder: &mut TransactionBuilder, now: Micros) {
        let Some(ledger) = &mut self.usage_ledger else {
            return;
        };
        let max_changes = builder.remaining_changes();
        let Some(write) = ledger.book.next_write(now, self.unix_time, max_changes) else {
            return;
        };
        let key = store::ledger_page_key(write.page);
        builder.add_value_bytes(write.value.len());
        builder.transaction.guard(&key, write.version);
        // The page is built as JSON, so the conversion succeeds.
        let value = RawValue::from_string(write.value).unwrap_or_default();
        builder.transaction.put(&key, value, None);
        if let Some(head) = &write.head {
            let value = store::to_raw_value(head);
            builder.transaction.put(store::LEDGER_HEAD_KEY, value, None);
        }
        for page in write.deleted_pages {
            builder.transaction.delete(&store::ledger_page_key(page));
        }
        builder.batch.push(BatchedWrite::LedgerPage, key);
    }

    /// Records for successors that the jobs' launch watermarks cover all launches, as soon as they do.
    fn add_watermarks_reliable(&mut self, builder: &mut TransactionBuilder) {
        if self.watermarks.recorded != ReliabilityRecord::Missing
            || builder.remaining_changes() == 0
            || !self.watermarks_cover_all_launches()
        {
            return;
        }
        let record = LeaseRecord {
            owner: self.settings.name.clone(),
            term: self.term,
            watermarks_reliable: true,
        };
        let value = store::to_raw_value(&record);
        builder
            .transaction
            .put(&self.store_writes.assignment_keys.term, value, None);
        builder.batch.writes.push(BatchedWrite::WatermarksReliable);
        self.watermarks.recorded = ReliabilityRecord::WriteInFlight;
    }

    /// Adds deletions of stale keys, as far as the transaction has room for them.
    fn add_stale_key_deletions(&mut self, builder: &mut TransactionBuilder) {
        while builder.remaining_changes() > 0 && builder.has_spare_bytes() {
            let Some(key) = self.store_writes.stale_keys.pop() else {
                break;
            };
            builder.transaction.delete(&key);
            builder.add_bytes(key.len() + DELETION_OVERHEAD_BYTES);
            builder.batch.writes.push(BatchedWrite::StaleKeyDeletion);
        }
    }
}
