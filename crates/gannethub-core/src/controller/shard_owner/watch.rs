//! Following the changes of jobs that other controllers store: by a watch, by reads beside the watch, and by
//! announcements of peers.
//!
//! The watch alone is not enough. The watch may hang in a network partition while everything else works, and where
//! nothing changes, its answer proves knowledge only up to the time of its request. An owner must know which jobs are
//! cancelled, or step down.

use super::{ExpectedChange, ShardOwner};
use crate::controller::load_stage::LoadStage;
use crate::controller::outbox::Outbox;
use crate::controller::pending_request::OwnerRequest;
use crate::http::{Answer, CallResult, decode_ok};
use crate::model::{Micros, SECOND};
use crate::wire::budget::Urgency;
use crate::wire::configuration::CURRENT_VERSION_KEY;
use crate::wire::peer::{JobChangeKind, JobChanged};
use crate::wire::store::{self, Change, ChangeLog, LiveRecord, StoreRequest};

/// Time after a change's announcement by which the watch should have brought the change.
const WATCH_TIMEOUT: Micros = 400_000;
/// Minimum interval between watch requests, regardless of the write rate.
const MIN_WATCH_INTERVAL: Micros = 100_000;
/// Delay before a failed watch is opened again.
const WATCH_RETRY_INTERVAL: Micros = 500_000;
/// Minimum interval between reads of changes beside the watch.
const CATCH_UP_INTERVAL: Micros = SECOND;

impl ShardOwner {
    /// Opens the watch, unless the watch is already open or its next request is not due yet.
    pub(super) fn send_watch(&mut self, outbox: &mut Outbox) {
        let now = outbox.clock.now;
        if self.watch.in_flight || now < self.watch.next_at {
            return;
        }
        self.watch.in_flight = true;
        self.watch.sent_at = now;
        self.watch.next_at = now + MIN_WATCH_INTERVAL;
        let request = StoreRequest::watch(store::LIVE_JOB_PREFIX, self.watched_version);
        self.send_to_store(outbox, Urgency::Transaction, request, OwnerRequest::Watch);
    }

    pub(super) fn handle_watch_answer(&mut self, outbox: &mut Outbox, answer: &CallResult) {
        self.watch.in_flight = false;
        if matches!(answer, Ok(Answer { status: 410, .. })) {
            return self.reload_jobs(outbox);
        }
        match decode_ok::<ChangeLog>(answer) {
            Some(log) => self.apply_changes(outbox, log, self.watch.sent_at),
            None => self.watch.next_at = outbox.clock.now + WATCH_RETRY_INTERVAL,
        }
    }

    /// Reads all live jobs again, because the watch is too far behind: the state service no longer keeps the changes.
    /// Jobs that have ended in the meantime are found by rereading every job known to this owner.
    fn reload_jobs(&mut self, outbox: &mut Outbox) {
        tracing::info!("the watch fell behind; reading all jobs again");
        let waiting = self.cluster.pipelines.waiting.keys();
        let known = self.cluster.jobs.keys().chain(waiting);
        self.writes
            .keys_to_reread
            .extend(known.map(|id| store::live_job_key(id)));
        self.watched_version = 0;
        self.load.stage = LoadStage::Jobs;
        self.load_next(outbox, "");
    }

    /// Reads changes beside the watch if the owner's knowledge of changes has not been confirmed for a while.
    pub(super) fn catch_up(&mut self, outbox: &mut Outbox) {
        let now = outbox.clock.now;
        if self.watch.catch_up_in_flight
            || now < self.watch.catch_up_at
            || !self.lease.is_catch_up_due(now)
        {
            return;
        }
        self.watch.catch_up_in_flight = true;
        self.watch.catch_up_at = now + CATCH_UP_INTERVAL;
        let request = StoreRequest::changes_since(store::LIVE_JOB_PREFIX, self.watched_version);
        let pending = OwnerRequest::CatchUp { sent_at: now };
        self.send_to_store(outbox, Urgency::Renewal, request, pending);
    }

    pub(super) fn handle_catch_up_answer(
        &mut self,
        outbox: &mut Outbox,
        sent_at: Micros,
        answer: &CallResult,
    ) {
        self.watch.catch_up_in_flight = false;
        // A version too far behind for this read is also noticed and handled by the watch.
        if self.is_loaded()
            && let Some(log) = decode_ok::<ChangeLog>(answer)
        {
            self.apply_changes(outbox, log, sent_at);
        }
    }

    /// Applies the changes in the answer to a request that was sent at `sent_at`. The watch and the reads beside it
    /// may overtake each other, so changes that were already applied are skipped.
    fn apply_changes(&mut self, outbox: &mut Outbox, log: ChangeLog, sent_at: Micros) {
        outbox.configuration.apply_changes(&log.changes);
        outbox.configuration.confirm_newest(sent_at);
        let watched_version = self.watched_version;
        let changes = log.changes.iter();
        let job_changes = changes.filter(|change| change.key() != Some(CURRENT_VERSION_KEY));
        for change in job_changes.filter(|change| change.version > watched_version) {
            self.apply_job_change(change, outbox.clock.now);
        }
        self.watched_version = self.watched_version.max(log.version);
        self.cluster
            .store_writes
            .prune_tombstones(self.watched_version);
        let announced_changes = &mut self.cluster.announced_changes;
        self.cluster.passes.needed |= announced_changes.apply_read(self.watched_version, sent_at);
        self.lease.record_cancellations_known(sent_at);
    }

    fn apply_job_change(&mut self, change: &Change, now: Micros) {
        if let Some(id) = live_job_id(change.deleted_key.as_deref()) {
            self.cluster.apply_job_end(id, change.version, None);
        }
        let written = live_job_id(change.written_key.as_deref());
        let (Some(id), Some(value)) = (written, &change.value) else {
            return;
        };
        let known_version = self.cluster.record_version(id);
        if known_version.is_some_and(|known| known >= change.version) {
            return;
        }
        match LiveRecord::parse(value.get()) {
            Ok(record) => {
                // The fleet is planned for new jobs without delay, because the boot of a machine takes long enough
                // already.
                self.next_plan_at = now;
                self.cluster.apply_live_record(id, record, change.version);
            }
            Err(e) => tracing::error!(job = id, error = %e, "cannot parse job record"),
        }
        self.cluster.passes.needed = true;
    }

    /// Records that all cancellations confirmed by this time have been applied, although they may not have been read.
    pub fn record_cancellations_known(&mut self, at: Micros) {
        self.lease.record_cancellations_known(at);
        let is_released = self.cluster.announced_changes.release_held_by(at);
        self.cluster.passes.needed |= is_released;
    }

    /// Handles the announcement of a peer that it has stored a change of a job, or has read that a job is cancelled. The
    /// owner obeys a cancellation at once, and starts no task of a job whose change may be a cancellation until it has
    /// read the change.
    pub fn handle_announced_change(&mut self, outbox: &Outbox, change: &JobChanged) {
        let now = outbox.clock.now;
        let JobChanged { job, version, .. } = change;
        match change.kind() {
            JobChangeKind::Accepted => {}
            JobChangeKind::Cancelled => {
                self.cluster.apply_remote_cancellation(job, *version, now);
            }
            JobChangeKind::Unspecified if self.watched_version < *version => {
                let id = job.as_str().into();
                self.cluster
                    .announced_changes
                    .record_unread_change(id, *version, now);
            }
            JobChangeKind::Unspecified => {}
        }
        self.expect_change(outbox, job, *version);
    }

    /// Records the announcement that a peer, or a user of this controller, has changed a job in this version of the
    /// state service. The job is reread if the watch does not bring the change within [`WATCH_TIMEOUT`].
    pub fn expect_change(&mut self, outbox: &Outbox, id: &str, version: u64) {
        if self.watched_version < version {
            self.watch.expected_changes.push_back(ExpectedChange {
                due: outbox.clock.now + WATCH_TIMEOUT,
                version,
                key: store::live_job_key(id),
            });
        }
    }

    /// Marks jobs to be reread whose announced changes the watch should have brought by now.
    pub(super) fn check_expected_changes(&mut self, now: Micros) {
        while let Some(change) = self.watch.expected_changes.front() {
            let has_arrived = self.watched_version >= change.version;
            if !has_arrived && now < change.due {
                break;
            }
            let overdue = self
                .watch
                .expected_changes
                .pop_front()
                .filter(|_| !has_arrived);
            self.writes
                .keys_to_reread
                .extend(overdue.map(|change| change.key));
        }
    }
}

/// Returns the job whose live record is stored under this key.
fn live_job_id(key: Option<&str>) -> Option<&str> {
    key?.strip_prefix(store::LIVE_JOB_PREFIX)
}
