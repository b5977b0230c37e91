//! Holding: the machines of a block, what runs on them, and what is written of it, under one lease.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use gannethub_ledger::audit::Page;
use gannethub_ledger::book::Head;

use super::lease::ShardLease;
use super::outbox::{Effect, Outbox, PendingRequest};
use super::quota_partitioner::QuotaPartitioner;
use super::recovery::ALL_LOADED;
use crate::http::{Answer, CallResult, Response, decode_ok};
use crate::model::{JobId, Micros, SECOND};
use crate::reconcile::heartbeat::HeartbeatOutcome;
use crate::reconcile::kill_delivery::KillOrderDelivery;
use crate::state::cluster::Cluster;
use crate::state::fleet::CloudCall;
use crate::state::writes::WriteBatch;
use crate::wire::budget::Urgency;
use crate::wire::configuration::CURRENT_VERSION_KEY;
use crate::wire::peer::RunningJob;
use crate::wire::store::{
    self, ChangeLog, Committed, Conflict, FinishedJobRecord, LiveRecord, StoreRequest, StoredValue,
};
use crate::wire::worker::{CommandsRequest, HeartbeatResponse, WorkerHeartbeat};

/// A leader that hears neither workers nor siblings for this long makes way.
const ISOLATION_TIMEOUT: Micros = 3 * SECOND;
/// The watch should have brought a change by this time after it was told of.
const WATCH_TIMEOUT: Micros = 400_000;
/// Jobs that a heartbeat tells the progress of.
const MAX_RUNNING_JOBS_TOLD: usize = 2000;

#[derive(Debug)]
pub(super) struct ShardOwner {
    /// The answer to a report that asks for nothing to be done: most are.
    empty_answer: Bytes,
    pub lease: ShardLease,
    pub cluster: Cluster,
    /// Why it has to give its lease back, if it has to.
    pub end_reason: Option<&'static str>,
    /// That is because it hears nobody.
    pub is_isolated: bool,
    /// When it last heard a worker or a sibling.
    pub last_heard_at: Option<Micros>,
    /// The stage of reading the state; past the last one everything is loaded.
    pub(super) load_stage: usize,
    pub(super) loaded_once: bool,
    /// What has been read of the ledger.
    pub(super) ledger_head: Option<Head>,
    pub(super) ledger_pages: Vec<(Page, u64)>,
    pub(super) reload_at: Option<Micros>,
    pub(super) watched_version: u64,
    /// When reading everything began.
    pub(super) load_started_at: Micros,
    watch_in_flight: bool,
    watch_sent_at: Micros,
    /// Looking what has changed beside the watch.
    catch_up_in_flight: bool,
    catch_up_at: Micros,
    watch_at: Micros,
    write_in_flight: bool,
    write_at: Micros,
    keys_to_reread: BTreeSet<String>,
    reread_at: Micros,
    rereads_in_flight: usize,
    /// Changes that siblings told of: when the watch should have brought them, their versions and
    /// keys. They come in order of time.
    expected_changes: VecDeque<(Micros, u64, String)>,
    next_pass_at: Micros,
    next_plan_at: Micros,
    /// Its block's part of the teams' limits.
    pub quota_partitioner: QuotaPartitioner,
    /// When it was last looked for machines on their way here.
    pub(super) transfers_read_at: Micros,
}

/// What this controller holds, by block.
pub(super) type ShardOwners = BTreeMap<u32, Box<ShardOwner>>;

/// What a report is answered with.
pub(super) enum HeartbeatAnswer {
    Immediate(u16, Bytes),
    /// The machine is another block's; which one, block 0's holder knows.
    OtherShard(Option<u32>),
    /// Not before the state has been read.
    AfterLoad,
}

impl ShardOwner {
    pub fn new(lease: ShardLease, cluster: Cluster) -> ShardOwner {
        let nothing = HeartbeatResponse {
            token: lease.term,
            orders: &[],
        };
        ShardOwner {
            empty_answer: Response::json(200, &nothing).body,
            lease,
            cluster,
            end_reason: None,
            is_isolated: false,
            last_heard_at: None,
            load_stage: 0,
            loaded_once: false,
            ledger_head: None,
            ledger_pages: Vec::new(),
            reload_at: None,
            watched_version: 0,
            load_started_at: 0,
            watch_in_flight: false,
            watch_sent_at: 0,
            catch_up_in_flight: false,
            catch_up_at: 0,
            watch_at: 0,
            write_in_flight: false,
            write_at: 0,
            keys_to_reread: BTreeSet::new(),
            reread_at: 0,
            rereads_in_flight: 0,
            expected_changes: VecDeque::new(),
            next_pass_at: 0,
            next_plan_at: 0,
            quota_partitioner: QuotaPartitioner::default(),
            transfers_read_at: 0,
        }
    }

    /// All that was there when it took over has been read.
    pub fn is_loaded(&self) -> bool {
        self.load_stage >= ALL_LOADED
    }

    /// Jobs with tasks on machines, for siblings to tell users of.
    pub fn running_jobs(&self) -> Vec<RunningJob> {
        let running = self
            .cluster
            .jobs
            .values()
            .filter(|j| j.live_count() > 0)
            .take(MAX_RUNNING_JOBS_TOLD);
        let told = running.map(|job| RunningJob {
            job: job.id.to_string(),
            tasks: job.live_count(),
            done: job.tasks.done.len(),
        });
        told.collect()
    }

    /// What a job has on machines, and has done.
    pub fn progress(&self, id: &JobId) -> Option<(u32, u32)> {
        self.cluster
            .jobs
            .get(id)
            .map(|job| (job.live_count(), job.tasks.done.len()))
    }

    /// How a job ended that was no longer alive when it was read.
    pub fn handle_finished_job_answer(&mut self, key: &str, answer: CallResult) {
        self.rereads_in_flight = self.rereads_in_flight.saturating_sub(1);
        let id = key.trim_start_matches(store::FINISHED_JOB_PREFIX);
        match answer {
            Ok(Answer { status: 200, body }) => {
                let item = serde_json::from_slice::<StoredValue>(&body).ok();
                let end = item.as_ref().and_then(|i| i.decode::<FinishedJobRecord>());
                let stamp = item.map_or(u64::MAX, |i| i.version);
                self.cluster
                    .apply_job_end(id, stamp, end.map(|e| e.cancelled));
            }
            Ok(Answer { status: 404, .. }) => {}
            _ => {
                self.keys_to_reread
                    .insert(format!("{}{id}", store::LIVE_JOB_PREFIX));
            }
        }
    }

    /// It is its block's.
    pub fn owns_machine(&self, machine: &str) -> bool {
        self.cluster.machines.contains_key(machine)
    }

    /// Asks the cloud for what the plan wants.
    fn plan_fleet(&mut self, port: &mut Outbox) {
        let now = port.clock.now;
        if now < self.next_plan_at.max(self.cluster.passes.next_plan_at) {
            return;
        }
        self.next_plan_at = now + 500_000;
        for call in self.cluster.plan_cloud_calls(now) {
            let request = call.to_request(&self.cluster.machine_types);
            port.call_cloud(self.lease.term, call, request);
        }
    }

    /// Takes in an answer of the cloud.
    pub fn handle_cloud_answer(&mut self, port: &Outbox, call: CloudCall, answer: CallResult) {
        let now = port.clock.now;
        if matches!(call, CloudCall::Provision { .. }) {
            // A refusal leads to the next best offer without delay.
            self.next_plan_at = now;
        }
        self.cluster.apply_cloud_answer(call, &answer, now);
        self.cluster.passes.needed = true;
    }

    /// Reads whose jobs were that were over before an attempt's end was found.
    pub(super) fn read_job_owners(&mut self, port: &mut Outbox) {
        let now = port.clock.now;
        let (term, wanted) = (self.lease.term, self.cluster.owners_to_read(now));
        for job in wanted {
            let key = format!("{}{job}", store::FINISHED_JOB_PREFIX);
            port.send_to_store(
                Urgency::Background,
                StoreRequest::get(&key),
                PendingRequest::ReadJobOwner { term, job },
            );
        }
    }

    pub(super) fn handle_job_owner_answer(
        &mut self,
        port: &Outbox,
        job: &JobId,
        answer: CallResult,
    ) {
        let now = port.clock.now;
        match answer {
            Ok(Answer { status: 200, body }) => {
                let over = serde_json::from_slice::<StoredValue>(&body).ok();
                let over = over.and_then(|i| i.decode::<FinishedJobRecord>());
                self.cluster
                    .usage_owner_read(job, over.and_then(|o| o.owner), now);
            }
            Ok(Answer { status: 404, .. }) => self.cluster.usage_owner_read(job, None, now),
            // It is asked for again.
            _ => {}
        }
    }

    pub(super) fn watch(&mut self, port: &mut Outbox) {
        let now = port.clock.now;
        if self.watch_in_flight || now < self.watch_at {
            return;
        }
        self.watch_in_flight = true;
        self.watch_sent_at = now;
        // Bounds how often the watch is opened when much is written.
        self.watch_at = now + 100_000;
        let (term, from) = (self.lease.term, self.watched_version);
        port.send_to_store(
            Urgency::Transaction,
            StoreRequest::watch(store::LIVE_JOB_PREFIX, from),
            PendingRequest::Watch { term },
        );
    }

    pub(super) fn write_batch(&mut self, port: &mut Outbox) {
        let now = port.clock.now;
        if self.write_in_flight || now < self.write_at {
            return;
        }
        if let Some((commit, batch)) = self.cluster.next_transaction(now, self.lease.key_version) {
            self.write_in_flight = true;
            self.write_at = now + 100_000;
            let term = self.lease.term;
            port.send_to_store(
                Urgency::Transaction,
                commit.to_request(),
                PendingRequest::Write { term, batch },
            );
        }
    }

    pub(super) fn reread_keys(&mut self, port: &mut Outbox) {
        let now = port.clock.now;
        while let Some((due, stamp, _)) = self.expected_changes.front() {
            let come = self.watched_version >= *stamp;
            if !come && now < *due {
                break;
            }
            self.keys_to_reread.extend(
                self.expected_changes
                    .pop_front()
                    .filter(|_| !come)
                    .map(|e| e.2),
            );
        }
        if self.rereads_in_flight > 0 || now < self.reread_at || self.keys_to_reread.is_empty() {
            return;
        }
        self.reread_at = now + 300_000;
        let keys = std::mem::take(&mut self.keys_to_reread);
        self.rereads_in_flight = keys.len();
        let term = self.lease.term;
        for key in keys {
            port.send_to_store(
                Urgency::Transaction,
                StoreRequest::get(&key),
                PendingRequest::Reread { term, key },
            );
        }
    }

    pub(super) fn expect_change(&mut self, port: &Outbox, id: &str, stamp: u64) {
        let due = port.clock.now + WATCH_TIMEOUT;
        if self.watched_version < stamp {
            self.expected_changes.push_back((
                due,
                stamp,
                format!("{}{id}", store::LIVE_JOB_PREFIX),
            ));
        }
    }

    /// Looks what has changed, when that has not been known for a while: a watch may hang, and where nothing changes its
    /// answer is as old as its question.
    fn catch_up(&mut self, port: &mut Outbox) {
        let now = port.clock.now;
        if self.catch_up_in_flight || now < self.catch_up_at || !self.lease.is_catch_up_due(now) {
            return;
        }
        self.catch_up_in_flight = true;
        self.catch_up_at = now + SECOND;
        let request = StoreRequest::changes_since(store::LIVE_JOB_PREFIX, self.watched_version);
        let purpose = PendingRequest::CatchUp {
            term: self.lease.term,
            sent_at: now,
        };
        port.send_to_store(Urgency::Renewal, request, purpose);
    }

    pub(super) fn handle_catch_up_answer(
        &mut self,
        port: &mut Outbox,
        sent: Micros,
        answer: CallResult,
    ) {
        self.catch_up_in_flight = false;
        // The watch finds out if it is too far behind.
        if self.is_loaded()
            && let Some(followed) = decode_ok::<ChangeLog>(&answer)
        {
            self.apply_changes(port, followed, sent);
        }
    }

    /// Tells workers of cancelled tasks at once.
    pub fn send_kill_orders(&mut self, port: &mut Outbox) {
        for KillOrderDelivery {
            address: addr,
            incarnation: session,
            orders,
        } in self.cluster.next_kill_orders(port.clock.now)
        {
            let commands = CommandsRequest {
                token: self.lease.term,
                incarnation: session,
                orders: &orders,
            };
            let body = Response::json(200, &commands).body;
            port.effects.push(Effect::WorkerCommands { addr, body });
        }
    }

    /// Starts nothing while there may be a newer configuration than is known here.
    pub(super) fn update_start_hold(&mut self, port: &Outbox) {
        self.cluster.starts_paused = port.configuration.must_hold_starts(port.clock.now);
    }

    /// The leader's answer to a report.
    pub(super) fn handle_heartbeat(&mut self, port: &Outbox, body: &Bytes) -> HeartbeatAnswer {
        let now = port.clock.now;
        let error = |status: u16, why: &str| {
            HeartbeatAnswer::Immediate(status, Response::error(status, why).body)
        };
        self.last_heard_at = Some(now);
        self.cluster.unix_time = port.clock.unix_time;
        self.update_start_hold(port);
        let report: WorkerHeartbeat<'_> = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(e) => {
                tracing::debug!(error = %e, "a report makes no sense");
                return error(400, "not a report");
            }
        };
        if !self.is_loaded() && self.lease.shard != 0 {
            // Whether the machine is this block's is not known yet.
            return error(503, "the state is being read");
        }
        if !self.is_loaded() && report.token <= self.lease.term {
            // What it runs may be cancelled, and an answer would renew its lease all the same.
            return HeartbeatAnswer::AfterLoad;
        }
        match self.cluster.apply_heartbeat(now, &report) {
            HeartbeatOutcome::Orders(orders) if orders.is_empty() => {
                HeartbeatAnswer::Immediate(200, self.empty_answer.clone())
            }
            HeartbeatOutcome::Orders(orders) => {
                let body = HeartbeatResponse {
                    token: self.lease.term,
                    orders: &orders,
                };
                HeartbeatAnswer::Immediate(200, Response::json(200, &body).body)
            }
            HeartbeatOutcome::OtherShard(block) => HeartbeatAnswer::OtherShard(block),
            HeartbeatOutcome::Stale => error(503, "an old report"),
            HeartbeatOutcome::Deposed => {
                self.end_reason = Some("a worker has seen a higher token");
                error(503, "not leading")
            }
        }
    }

    pub(super) fn handle_watch_answer(&mut self, port: &mut Outbox, answer: CallResult) {
        let now = port.clock.now;
        self.watch_in_flight = false;
        let followed = match answer {
            Ok(Answer { status: 200, body }) => serde_json::from_slice::<ChangeLog>(&body).ok(),
            Ok(Answer { status: 410, .. }) => {
                // Too far behind: read everything live again. What ended is found by reading back.
                tracing::info!("the watch fell behind; reading all jobs again");
                let waiting = self.cluster.pipelines.waiting.keys();
                let known = self.cluster.jobs.keys().chain(waiting);
                self.keys_to_reread
                    .extend(known.map(|id| format!("{}{id}", store::LIVE_JOB_PREFIX)));
                self.watched_version = 0;
                self.load_stage = 0;
                return self.load_next(port, "");
            }
            _ => None,
        };
        let Some(followed) = followed else {
            self.watch_at = now + 500_000;
            return;
        };
        self.apply_changes(port, followed, self.watch_sent_at);
    }

    /// Takes in what has changed, as was asked for then. The watch and what is read beside it may overtake each other.
    fn apply_changes(&mut self, port: &mut Outbox, followed: ChangeLog, sent: Micros) {
        let now = port.clock.now;
        port.configuration.apply_changes(&followed.changes);
        port.configuration.confirm_newest(sent);
        let jobs = followed
            .changes
            .into_iter()
            .filter(|c| c.key() != Some(CURRENT_VERSION_KEY));
        for change in jobs.filter(|c| c.version > self.watched_version) {
            if let Some(id) = change
                .deleted_key
                .as_deref()
                .and_then(|k| k.strip_prefix(store::LIVE_JOB_PREFIX))
            {
                self.cluster.apply_job_end(id, change.version, None);
            }
            let key = change
                .written_key
                .as_deref()
                .and_then(|k| k.strip_prefix(store::LIVE_JOB_PREFIX));
            let (Some(id), Some(v)) = (key, &change.value) else {
                continue;
            };
            if self
                .cluster
                .record_version(id)
                .is_some_and(|known| known >= change.version)
            {
                continue;
            }
            match LiveRecord::parse(v.get()) {
                Ok(record) => {
                    // New work is planned for at once: a machine takes long enough to boot.
                    self.next_plan_at = now;
                    self.cluster.apply_live_record(id, record, change.version);
                }
                Err(e) => tracing::error!(job = id, error = %e, "a job's value is not ours"),
            }
            self.cluster.passes.needed = true;
        }
        self.watched_version = self.watched_version.max(followed.version);
        self.cluster
            .store_writes
            .prune_tombstones(self.watched_version);
        self.lease.cancellations_known(sent);
    }

    pub(super) fn handle_write_answer(
        &mut self,
        port: &Outbox,
        batch: WriteBatch,
        answer: CallResult,
    ) {
        let now = port.clock.now;
        self.write_in_flight = false;
        match answer {
            Ok(Answer { status: 200, body }) => match serde_json::from_slice::<Committed>(&body) {
                Ok(done) => {
                    self.cluster.passes.needed = true;
                    self.cluster.transaction_committed(batch, done.version);
                }
                Err(_) => self.write_failed(port, batch),
            },
            Ok(Answer { status: 409, body }) => {
                let conflict = serde_json::from_slice::<Conflict>(&body);
                if conflict.is_ok_and(|c| {
                    c.failed_keys
                        .contains(&self.cluster.store_writes.assignment_keys.owner)
                }) {
                    self.end_reason = Some("its key is gone");
                    return;
                }
                self.write_failed(port, batch);
            }
            Ok(Answer {
                status: 429 | 503, ..
            }) => {
                self.cluster.transaction_failed(&batch, false, now);
                self.write_at = now + 300_000;
            }
            Ok(Answer { status, body }) => {
                let reason = String::from_utf8_lossy(&body).into_owned();
                tracing::error!(status, reason, "the state service refuses a transaction");
                // Smaller ones are tried, and more and more rarely: it may allow less than we know.
                self.cluster.store_writes.transaction_rejections += 1;
                self.write_at =
                    now + (SECOND << self.cluster.store_writes.transaction_rejections.min(6)) / 2;
                self.write_failed(port, batch);
            }
            Err(_) => self.write_failed(port, batch),
        }
    }

    pub(super) fn write_failed(&mut self, port: &Outbox, batch: WriteBatch) {
        let now = port.clock.now;
        self.cluster.transaction_failed(&batch, true, now);
        self.keys_to_reread.extend(batch.keys().iter().cloned());
        self.reread_at = now;
    }

    pub(super) fn handle_reread_answer(
        &mut self,
        port: &mut Outbox,
        key: String,
        answer: CallResult,
    ) {
        self.rereads_in_flight = self.rereads_in_flight.saturating_sub(1);
        self.cluster.passes.needed = true;
        let item = match &answer {
            Ok(Answer { status: 200, body }) => serde_json::from_slice::<StoredValue>(body).ok(),
            _ => None,
        };
        if let Some(chunk) = self.cluster.shard.parse_chunk_key(&key) {
            match (item, answer) {
                (Some(item), _) => self.cluster.shard.mark_write_unknown(chunk, item.version),
                (None, Ok(Answer { status: 404, .. })) => {
                    self.cluster.shard.mark_write_unknown(chunk, 0)
                }
                _ => {
                    self.keys_to_reread.insert(key);
                }
            }
            return;
        }
        if key.starts_with(store::LEDGER_PAGE_PREFIX) {
            match (item, answer) {
                (Some(item), _) => self.cluster.ledger_page_reread(Some(&item)),
                (None, Ok(Answer { status: 404, .. })) => self.cluster.ledger_page_reread(None),
                _ => {
                    self.keys_to_reread.insert(key);
                }
            }
            return;
        }
        let id = key.trim_start_matches(store::LIVE_JOB_PREFIX).to_string();
        match (item, answer) {
            (Some(item), _) => {
                if let Some(record) = item.as_live_record() {
                    self.cluster.apply_live_record(&id, record, item.version);
                }
            }
            (None, Ok(Answer { status: 404, .. })) => {
                self.rereads_in_flight += 1;
                let key = format!("{}{id}", store::FINISHED_JOB_PREFIX);
                let purpose = PendingRequest::ReadFinishedJob {
                    term: self.lease.term,
                    key: key.clone(),
                };
                port.send_to_store(Urgency::Transaction, StoreRequest::get(&key), purpose);
            }
            _ => {
                self.keys_to_reread.insert(key);
            }
        }
    }

    pub(super) fn tick(&mut self, port: &mut Outbox) {
        let now = port.clock.now;
        self.update_start_hold(port);
        let wall = port.clock.unix_time;
        let siblings = port.settings.siblings.len();
        if siblings > 0
            && self
                .last_heard_at
                .is_some_and(|t| now > t + ISOLATION_TIMEOUT)
        {
            self.is_isolated = true;
            self.end_reason = Some("it hears neither workers nor siblings");
            return;
        }
        self.lease.maintain(
            port,
            if self.is_loaded() {
                self.watched_version
            } else {
                0
            },
        );
        if !self.is_loaded() {
            if self.reload_at.is_some_and(|t| t <= now) {
                self.reload_at = None;
                self.load_next(port, "");
            }
            return;
        }
        self.cluster.tick(now, wall);
        self.read_transfers(port);
        self.quota_partitioner.tick(port, &self.lease);
        let due = self.cluster.passes.needed || now >= self.cluster.passes.last_at + SECOND;
        // Passes and plans are spaced by what they cost: reports, renewals and users come first.
        if now >= self.next_pass_at.max(self.cluster.passes.next_at) && due {
            self.next_pass_at = now + 100_000;
            self.cluster.run_scheduling_pass(now);
        }
        self.plan_fleet(port);
        self.watch(port);
        self.catch_up(port);
        self.write_batch(port);
        self.reread_keys(port);
        self.read_job_owners(port);
    }
}
