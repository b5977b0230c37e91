//! Writing changes in memory to the state service, one transaction at a time, and rereading every key whose stored
//! value is in doubt after a transaction that failed or got no answer.

use super::ShardOwner;
use crate::controller::end_reason::EndReason;
use crate::controller::key_read::KeyRead;
use crate::controller::outbox::Outbox;
use crate::controller::pending_request::OwnerRequest;
use crate::http::{Answer, CallResult};
use crate::model::{JobId, Micros, SECOND};
use crate::state::writes::WriteBatch;
use crate::wire::budget::Urgency;
use crate::wire::store::{self, Committed, Conflict, FinishedJobRecord, StoreRequest};

/// Minimum interval between transactions, so that changes that occur together are written together.
const MIN_WRITE_INTERVAL: Micros = 100_000;
/// Delay after a transaction that the state service refused with status 429 or 503.
const WRITE_RETRY_INTERVAL: Micros = 300_000;
/// Minimum interval between reads of the keys in doubt, unless a transaction fails: its keys are read without delay.
const MIN_REREAD_INTERVAL: Micros = 300_000;
/// Maximum number of doublings of the delay after a rejected transaction. The delay doubles with each consecutive
/// rejection.
const MAX_REJECTION_DOUBLINGS: u32 = 6;

impl ShardOwner {
    /// Sends the next transaction, unless a transaction is under way or the next one is not due yet.
    pub(super) fn write_batch(&mut self, outbox: &mut Outbox) {
        let now = outbox.clock.now;
        if self.writes.in_flight || now < self.writes.next_at {
            return;
        }
        let next = self.cluster.next_transaction(now, self.lease.key_version);
        if let Some((transaction, batch)) = next {
            self.writes.in_flight = true;
            self.writes.next_at = now + MIN_WRITE_INTERVAL;
            let request = transaction.to_request();
            let pending = OwnerRequest::Write { batch };
            self.send_to_store(outbox, Urgency::Transaction, request, pending);
        }
    }

    pub(super) fn handle_write_answer(
        &mut self,
        outbox: &Outbox,
        batch: WriteBatch,
        answer: CallResult,
    ) {
        let now = outbox.clock.now;
        self.writes.in_flight = false;
        match answer {
            Ok(answer) if answer.is_ok() => match answer.decode::<Committed>() {
                Some(committed) => {
                    self.cluster.passes.needed = true;
                    self.cluster.transaction_committed(batch, committed.version);
                }
                None => self.write_failed(now, batch),
            },
            Ok(answer) if answer.status == 409 => self.handle_write_conflict(now, batch, &answer),
            Ok(Answer {
                status: 429 | 503, ..
            }) => {
                self.cluster.transaction_failed(&batch, false, now);
                self.writes.next_at = now + WRITE_RETRY_INTERVAL;
            }
            Ok(answer) => self.handle_write_rejection(now, batch, &answer),
            Err(_) => self.write_failed(now, batch),
        }
    }

    fn handle_write_conflict(&mut self, now: Micros, batch: WriteBatch, answer: &Answer) {
        let owner_key = &self.cluster.store_writes.assignment_keys.owner;
        let conflict = answer.decode::<Conflict>();
        if conflict.is_some_and(|conflict| conflict.failed_keys.contains(owner_key)) {
            self.end_reason = Some(EndReason::KeyLost);
            return;
        }
        self.write_failed(now, batch);
    }

    /// Handles the rejection of a transaction by the state service. Smaller transactions are tried at growing
    /// intervals, because the limits of the state service may be lower than the limits known here.
    fn handle_write_rejection(&mut self, now: Micros, batch: WriteBatch, answer: &Answer) {
        let (status, reason) = (answer.status, String::from_utf8_lossy(&answer.body));
        let reason = reason.into_owned();
        tracing::error!(status, reason, "state service rejected transaction");
        self.cluster.store_writes.transaction_rejections += 1;
        let doublings = self
            .cluster
            .store_writes
            .transaction_rejections
            .min(MAX_REJECTION_DOUBLINGS);
        self.writes.next_at = now + (SECOND << doublings) / 2;
        self.write_failed(now, batch);
    }

    /// Marks all keys of a transaction to be reread. The transaction failed or got no usable answer, so the stored
    /// values of its keys are in doubt.
    fn write_failed(&mut self, now: Micros, batch: WriteBatch) {
        self.cluster.transaction_failed(&batch, true, now);
        self.writes
            .keys_to_reread
            .extend(batch.keys().iter().cloned());
        self.writes.reread_at = now;
    }

    // ---- Keys in doubt ----

    /// Reads all keys that are in doubt, once all earlier reads have been answered.
    pub(super) fn reread_keys(&mut self, outbox: &mut Outbox) {
        let now = outbox.clock.now;
        self.check_expected_changes(now);
        if self.writes.rereads_in_flight > 0
            || now < self.writes.reread_at
            || self.writes.keys_to_reread.is_empty()
        {
            return;
        }
        self.writes.reread_at = now + MIN_REREAD_INTERVAL;
        let keys = std::mem::take(&mut self.writes.keys_to_reread);
        self.writes.rereads_in_flight = keys.len();
        for key in keys {
            let request = StoreRequest::get(&key);
            let pending = OwnerRequest::Reread { key, sent_at: now };
            self.send_to_store(outbox, Urgency::Transaction, request, pending);
        }
    }

    pub(super) fn handle_reread_answer(
        &mut self,
        outbox: &mut Outbox,
        key: String,
        sent_at: Micros,
        answer: &CallResult,
    ) {
        self.writes.rereads_in_flight = self.writes.rereads_in_flight.saturating_sub(1);
        self.cluster.passes.needed = true;
        let read = KeyRead::from(answer);
        if matches!(read, KeyRead::Failed | KeyRead::Unreadable) {
            self.writes.keys_to_reread.insert(key);
        } else if let Some(chunk) = self.cluster.shard.parse_chunk_key(&key) {
            let version = match &read {
                KeyRead::Found(item) => item.version,
                _ => 0,
            };
            self.cluster.shard.mark_write_unknown(chunk, version);
        } else if key.starts_with(store::LEDGER_PAGE_PREFIX) {
            let page = match &read {
                KeyRead::Found(item) => Some(item),
                _ => None,
            };
            self.cluster.ledger_page_reread(page);
        } else {
            let id = JobId::from(key.trim_start_matches(store::LIVE_JOB_PREFIX));
            self.handle_job_reread(outbox, id, sent_at, &read);
        }
    }

    /// Handles the reread of a job whose record was in doubt, by a request that was sent at `sent_at`. A job without a
    /// live record has ended, and its outcome is read next.
    fn handle_job_reread(
        &mut self,
        outbox: &mut Outbox,
        id: JobId,
        sent_at: Micros,
        read: &KeyRead,
    ) {
        let version = match read {
            KeyRead::Found(item) => item.version,
            _ => 0,
        };
        self.cluster
            .announced_changes
            .release(&id, version, sent_at);
        if let KeyRead::Found(item) = read {
            if let Some(record) = item.as_live_record() {
                self.cluster.apply_live_record(&id, record, item.version);
            }
            return;
        }
        self.writes.rereads_in_flight += 1;
        let request = StoreRequest::get(&store::finished_job_key(&id));
        let pending = OwnerRequest::ReadFinishedJob { job: id };
        self.send_to_store(outbox, Urgency::Transaction, request, pending);
    }

    pub(super) fn handle_finished_job_answer(&mut self, id: &JobId, answer: &CallResult) {
        self.writes.rereads_in_flight = self.writes.rereads_in_flight.saturating_sub(1);
        let (version, end) = match KeyRead::from(answer) {
            KeyRead::Found(item) => (item.version, item.decode::<FinishedJobRecord>()),
            KeyRead::Unreadable => (u64::MAX, None),
            KeyRead::Absent { .. } => return,
            KeyRead::Failed => {
                let key = store::live_job_key(id);
                self.writes.keys_to_reread.insert(key);
                return;
            }
        };
        self.cluster
            .apply_job_end(id, version, end.map(|end| end.cancelled));
    }

    // ---- Owners of finished jobs ----

    /// Reads the owners of jobs that finished before the end of one of their attempts was found. The ledger charges
    /// the attempt to the job's owner.
    pub(super) fn read_job_owners(&mut self, outbox: &mut Outbox) {
        for job in self.cluster.owners_to_read(outbox.clock.now) {
            let request = StoreRequest::get(&store::finished_job_key(&job));
            let pending = OwnerRequest::ReadJobOwner { job };
            self.send_to_store(outbox, Urgency::Background, request, pending);
        }
    }

    pub(super) fn handle_job_owner_answer(
        &mut self,
        outbox: &Outbox,
        job: &JobId,
        answer: &CallResult,
    ) {
        let owner = match KeyRead::from(answer) {
            KeyRead::Found(item) => item.decode::<FinishedJobRecord>().and_then(|end| end.owner),
            KeyRead::Unreadable | KeyRead::Absent { .. } => None,
            // The read is repeated by a later tick.
            KeyRead::Failed => return,
        };
        self.cluster.apply_usage_owner(job, owner, outbox.clock.now);
    }
}
