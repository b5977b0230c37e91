//! The next transaction: what has changed in the state is written to the state service, most important first.
//!
//! Every transaction is guarded by the version of the shard owner's key, so nothing that a deposed owner sends is
//! carried out, however late it arrives. One is in flight at a time.

use serde_json::value::RawValue;

use crate::model::Micros;
use crate::state::cluster::Cluster;
use crate::state::shard::ChunkWrite;
use crate::state::watermarks::ReliabilityRecord;
use crate::state::writes::{BatchedWrite, WriteBatch};
use crate::wire::store::{self, LeaseRecord, Transaction};

/// A transaction's body is kept to about this many bytes, below the 64 KiB that the state service takes.
const MAX_BYTES: usize = 40_000;
/// What a transaction's body has beside its writes, at most.
const ENVELOPE_BYTES: usize = 512;
/// What a write's key, guard and frame take, at most.
const WRITE_OVERHEAD_BYTES: usize = 200;
/// The same of a deletion, beside its key.
const DELETION_OVERHEAD_BYTES: usize = 20;

/// A transaction that is being filled, with an estimate of its size.
pub(super) struct TransactionBuilder {
    pub transaction: Transaction,
    /// What is in it, for when it was carried out or was not.
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

    /// Counts a write of about so many bytes.
    pub fn add_bytes(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    /// Counts a write whose value has so many bytes.
    pub fn add_value_bytes(&mut self, bytes: usize) {
        self.bytes += bytes + WRITE_OVERHEAD_BYTES;
    }

    /// How many more changes it may have.
    pub fn remaining_changes(&self) -> usize {
        self.max_changes
            .saturating_sub(self.transaction.change_count())
    }

    /// Whether so many more changes fit.
    pub fn fits(&self, changes: usize) -> bool {
        changes <= self.remaining_changes() && !self.is_too_large()
    }

    /// Whether its body is too large for anything else.
    pub fn is_too_large(&self) -> bool {
        self.bytes > MAX_BYTES
    }

    /// Whether changes that can wait may be added.
    fn has_spare_bytes(&self) -> bool {
        self.bytes < MAX_BYTES
    }

    fn is_empty(&self) -> bool {
        self.transaction.change_count() == 0
    }
}

impl Cluster {
    /// The next transaction, if anything needs to be written, and what is in it. `owner_version`: the version of the
    /// shard owner's key, which guards it.
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
        // Machines leave room for the end of a job, which users wait for.
        let max_for_machines = (max_changes / 2).max(1);
        self.add_shard_chunks(&mut builder, max_for_machines, false);
        self.add_ledger_page(&mut builder, now);
        self.add_machine_transfers(&mut builder, max_for_machines);
        self.add_pipeline_writes(&mut builder);
        self.add_job_writes(&mut builder, now);
        self.add_watermarks_reliable(&mut builder);
        self.add_stale_key_deletions(&mut builder);
        if builder.is_empty() {
            self.add_shard_chunks(&mut builder, max_changes, true);
        }
        (!builder.is_empty()).then_some((builder.transaction, builder.batch))
    }

    /// Adds changed chunks of the shard's machines, until the transaction has `max_changes`. `idle`: also those that
    /// only lost machines, which can wait.
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

    /// Adds the ledger's next page, if one is due and fits.
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
        // The page is built as JSON. Were it not, the state service would refuse it, and it would be read again.
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

    /// Records for successors that the jobs' watermarks cover all launches, as soon as they do.
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

    /// Deletes keys that are left over, with the changes that are left.
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
