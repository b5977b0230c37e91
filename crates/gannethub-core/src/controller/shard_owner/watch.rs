//! Following the changes of jobs that other controllers store: by a watch, by reads beside it, and by what peers tell.
//!
//! The watch alone is not enough. It may hang in a network partition while everything else works, and where nothing
//! changes its answer is as old as its question; but an owner must know which jobs are cancelled, or step down.

use super::{ExpectedChange, ShardOwner};
use crate::controller::load_stage::LoadStage;
use crate::controller::outbox::Outbox;
use crate::controller::pending_request::OwnerRequest;
use crate::http::{Answer, CallResult, decode_ok};
use crate::model::{Micros, SECOND};
use crate::wire::budget::Urgency;
use crate::wire::configuration::CURRENT_VERSION_KEY;
use crate::wire::store::{self, Change, ChangeLog, LiveRecord, StoreRequest};

/// The watch should have brought a change by this time after a peer told of it.
const WATCH_TIMEOUT: Micros = 400_000;
/// The watch is opened at most this often, however much is written.
const MIN_WATCH_INTERVAL: Micros = 100_000;
/// A watch that failed is opened again after this time.
const WATCH_RETRY_INTERVAL: Micros = 500_000;
/// Changes are read beside the watch at most this often.
const CATCH_UP_INTERVAL: Micros = SECOND;

impl ShardOwner {
    /// Opens the watch, unless it is open.
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

    /// The watch is too far behind: the state service does not keep the changes any more. All live jobs are read again;
    /// those that have ended meanwhile are found by reading back every job that is known here.
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

    /// Reads what has changed when that has not been known for a while.
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
        // If it is too far behind, the watch finds that out.
        if self.is_loaded()
            && let Some(log) = decode_ok::<ChangeLog>(answer)
        {
            self.apply_changes(outbox, log, sent_at);
        }
    }

    /// Applies what has changed up to an answer whose request was sent at `sent_at`. The watch and the reads beside it may
    /// overtake each other, so changes that were applied already are skipped.
    fn apply_changes(&mut self, outbox: &mut Outbox, log: ChangeLog, sent_at: Micros) {
        outbox.configuration.apply_changes(&log.changes);
        outbox.configuration.confirm_newest(sent_at);
        let watched_version = self.watched_version;
        let changes = log.changes.iter();
        let of_jobs = changes.filter(|change| change.key() != Some(CURRENT_VERSION_KEY));
        for change in of_jobs.filter(|change| change.version > watched_version) {
            self.apply_job_change(change, outbox.clock.now);
        }
        self.watched_version = self.watched_version.max(log.version);
        self.cluster
            .store_writes
            .prune_tombstones(self.watched_version);
        self.lease.cancellations_known(sent_at);
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
                // New work is planned for at once: a machine takes long enough to boot.
                self.next_plan_at = now;
                self.cluster.apply_live_record(id, record, change.version);
            }
            Err(e) => tracing::error!(job = id, error = %e, "a job's value is not ours"),
        }
        self.cluster.passes.needed = true;
    }

    /// A peer, or a user of this controller, has changed a job in this version of the state service. The job is read if the
    /// watch does not bring the change soon.
    pub fn expect_change(&mut self, outbox: &Outbox, id: &str, version: u64) {
        if self.watched_version < version {
            self.watch.expected_changes.push_back(ExpectedChange {
                due: outbox.clock.now + WATCH_TIMEOUT,
                version,
                key: store::live_job_key(id),
            });
        }
    }

    /// Has the jobs read whose changes the watch should have brought by now.
    pub(super) fn check_expected_changes(&mut self, now: Micros) {
        while let Some(change) = self.watch.expected_changes.front() {
            let has_come = self.watched_version >= change.version;
            if !has_come && now < change.due {
                break;
            }
            let overdue = self
                .watch
                .expected_changes
                .pop_front()
                .filter(|_| !has_come);
            self.writes
                .keys_to_reread
                .extend(overdue.map(|change| change.key));
        }
    }
}

/// The job whose live record is under this key.
fn live_job_id(key: Option<&str>) -> Option<&str> {
    key?.strip_prefix(store::LIVE_JOB_PREFIX)
}
