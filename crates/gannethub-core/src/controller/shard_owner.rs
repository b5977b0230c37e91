//! Ownership of one shard under one lease: the shard's machines, the tasks on them, and all writes of their state.
//!
//! | part | purpose |
//! | --- | --- |
//! | [`recovery`] | reads the shard's state from the state service after a takeover |
//! | [`watch`] | follows changes of jobs that other controllers make |
//! | [`writes`] | writes changes in memory to the state service, and rereads keys whose stored values are in doubt |

mod recovery;
mod watch;
mod writes;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use gannethub_ledger::audit::Page;
use gannethub_ledger::book::Head;

use super::end_reason::EndReason;
use super::job_views::JobProgress;
use super::lease::ShardLease;
use super::load_stage::LoadStage;
use super::outbox::Outbox;
use super::pending_request::{OwnerRequest, PendingRequest};
use super::quota_partitioner::QuotaPartitioner;
use crate::http::{CallResult, Response};
use crate::model::{JobId, Micros, SECOND};
use crate::reconcile::heartbeat::HeartbeatOutcome;
use crate::reconcile::kill_delivery::KillOrderDelivery;
use crate::state::cluster::Cluster;
use crate::state::fleet::CloudCall;
use crate::state::usage_replica::UsageReplica;
use crate::wire::budget::Urgency;
use crate::wire::peer::RunningJobProgress;
use crate::wire::store::StoreRequest;
use crate::wire::worker::{CommandsRequest, HeartbeatResponse, WorkerHeartbeat};

/// Time without a message from any worker or peer after which an owner steps down.
const ISOLATION_TIMEOUT: Micros = 3 * SECOND;
/// Maximum number of running jobs of one shard in a heartbeat to the peers.
const MAX_REPORTED_RUNNING_JOBS: usize = 2000;
/// Minimum interval between scheduling passes.
const MIN_PASS_INTERVAL: Micros = 100_000;
/// Minimum interval between plans of the fleet.
const MIN_PLAN_INTERVAL: Micros = 500_000;
/// Maximum interval between scheduling passes, even if no change requires a pass.
const MAX_PASS_INTERVAL: Micros = SECOND;

/// The owner of one shard. Exists only while the lease lasts.
#[derive(Debug)]
pub(super) struct ShardOwner {
    /// Answer to a heartbeat that results in no orders, as most heartbeats do.
    empty_response: Response,
    pub lease: ShardLease,
    pub cluster: Cluster,
    /// Reason for which the owner has to step down, if there is one.
    pub end_reason: Option<EndReason>,
    /// Time of the last message from a worker or a peer.
    pub last_heard_at: Option<Micros>,
    load: LoadProgress,
    /// Version of the state service up to which all changes of jobs have been applied.
    pub watched_version: u64,
    watch: JobWatch,
    writes: WriteProgress,
    next_pass_at: Micros,
    next_plan_at: Micros,
    /// Maintains the shard's part of the teams' limits.
    quota_partitioner: QuotaPartitioner,
}

/// Progress of reading the shard's state.
#[derive(Debug, Default)]
struct LoadProgress {
    /// Stage that is being read.
    stage: LoadStage,
    /// Whether the whole state has been read once. Later reads concern jobs alone.
    was_loaded: bool,
    started_at: Micros,
    /// Time at which to retry a failed read.
    retry_at: Option<Micros>,
    /// Head of the ledger, kept until all pages have been read and the ledger can be opened.
    ledger_head: Option<Head>,
    /// Pages of the ledger with their versions, read so far.
    ledger_pages: Vec<(Page, u64)>,
    /// Time of the next read of machines that were transferred to the shard.
    transfers_read_at: Micros,
}

/// Progress of following the changes of jobs that other controllers store.
#[derive(Debug, Default)]
struct JobWatch {
    in_flight: bool,
    sent_at: Micros,
    next_at: Micros,
    /// Whether a read of changes beside the watch is under way.
    catch_up_in_flight: bool,
    /// Earliest time of the next read of changes beside the watch.
    catch_up_at: Micros,
    /// Changes that were announced and that the watch has not brought yet, in the order of their announcement.
    expected_changes: VecDeque<ExpectedChange>,
}

/// A change of a job that a peer or a user of this controller announced.
#[derive(Debug)]
struct ExpectedChange {
    /// Time by which the watch should have brought the change.
    due: Micros,
    /// Version of the state service in which the change was stored.
    version: u64,
    key: String,
}

/// Progress of writing changes in memory to the state service.
#[derive(Debug, Default)]
struct WriteProgress {
    /// Whether a transaction is under way.
    in_flight: bool,
    /// Earliest time of the next transaction.
    next_at: Micros,
    /// Keys whose stored values are in doubt.
    keys_to_reread: BTreeSet<String>,
    /// Earliest time to read the keys in doubt.
    reread_at: Micros,
    rereads_in_flight: usize,
}

/// Owners of the shards that this controller owns, by shard number. The owner of shard 0 is the leader.
pub(super) type ShardOwners = BTreeMap<u32, Box<ShardOwner>>;

/// Outcome of a worker's heartbeat at a shard owner.
pub(super) enum HeartbeatAnswer {
    /// The heartbeat is answered with this response.
    Answered(Response),
    /// The machine belongs to another shard; `None` if that shard is not known.
    OtherShard(Option<u32>),
    /// The heartbeat can be answered only after the shard's state has been read.
    AfterLoad,
}

impl ShardOwner {
    /// Creates the owner of a shard that was just taken over, before any of the shard's state has been read.
    pub fn new(lease: ShardLease, cluster: Cluster) -> ShardOwner {
        let no_orders = HeartbeatResponse {
            token: lease.term,
            orders: &[],
        };
        ShardOwner {
            empty_response: Response::json(200, &no_orders),
            lease,
            cluster,
            end_reason: None,
            last_heard_at: None,
            load: LoadProgress::default(),
            watched_version: 0,
            watch: JobWatch::default(),
            writes: WriteProgress::default(),
            next_pass_at: 0,
            next_plan_at: 0,
            quota_partitioner: QuotaPartitioner::default(),
        }
    }

    /// Whether the shard's stored state has been read completely.
    pub fn is_loaded(&self) -> bool {
        self.load.stage == LoadStage::Loaded
    }

    /// Returns the version up to which this owner has applied all changes of jobs; 0 while it still reads the state.
    pub fn applied_version(&self) -> u64 {
        match self.load.stage {
            LoadStage::Loaded => self.watched_version,
            _ => 0,
        }
    }

    /// Whether the machine belongs to this shard.
    pub fn owns_machine(&self, machine: &str) -> bool {
        self.cluster.machines.contains_key(machine)
    }

    /// Returns the jobs with tasks on machines, so that peers can report their progress to users.
    pub fn running_jobs(&self) -> Vec<RunningJobProgress> {
        let running = self.cluster.jobs.values();
        let running = running.filter(|job| job.live_count() > 0);
        let reported = running
            .take(MAX_REPORTED_RUNNING_JOBS)
            .map(|job| RunningJobProgress {
                job: job.id.to_string(),
                tasks: job.live_count(),
                done: job.tasks.done.len(),
            });
        reported.collect()
    }

    /// Returns the progress of a job of this shard.
    pub fn progress(&self, id: &JobId) -> Option<JobProgress> {
        self.cluster.jobs.get(id).map(|job| JobProgress {
            running: job.live_count(),
            done: job.tasks.done.len(),
        })
    }

    /// Queues a request to the state service. Its answer returns to [`ShardOwner::handle_store_answer`].
    fn send_to_store(
        &self,
        outbox: &mut Outbox,
        urgency: Urgency,
        request: StoreRequest,
        pending: OwnerRequest,
    ) {
        let pending = PendingRequest::ShardOwner {
            term: self.lease.term,
            request: pending,
        };
        outbox.send_to_store(urgency, request, pending);
    }

    /// Handles the answer to a request of this owner. `usage_replica` holds this controller's knowledge of usage that
    /// earlier leaders had not charged yet.
    pub fn handle_store_answer(
        &mut self,
        outbox: &mut Outbox,
        usage_replica: &mut UsageReplica,
        request: OwnerRequest,
        answer: CallResult,
    ) {
        match request {
            OwnerRequest::RenewLease { sent_at } => self.handle_renewal(outbox, sent_at, &answer),
            OwnerRequest::Load { stage } => {
                self.handle_load_answer(outbox, usage_replica, stage, &answer);
            }
            OwnerRequest::LoadLedgerHead => {
                self.handle_ledger_head_answer(outbox, usage_replica, &answer);
            }
            OwnerRequest::Watch => self.handle_watch_answer(outbox, &answer),
            OwnerRequest::CatchUp { sent_at } => {
                self.handle_catch_up_answer(outbox, sent_at, &answer);
            }
            OwnerRequest::Write { batch } => self.handle_write_answer(outbox, batch, answer),
            OwnerRequest::Reread { key, sent_at } => {
                self.handle_reread_answer(outbox, key, sent_at, &answer);
            }
            OwnerRequest::ReadFinishedJob { job } => {
                self.handle_finished_job_answer(&job, &answer);
            }
            OwnerRequest::ReadJobOwner { job } => {
                self.handle_job_owner_answer(outbox, &job, &answer);
            }
            OwnerRequest::ReadTransfers => self.handle_transfers_answer(outbox, &answer),
            OwnerRequest::ReadQuotaPartitions => self.quota_partitioner.handle_read_answer(
                outbox,
                &self.lease,
                &mut self.cluster,
                &answer,
            ),
            OwnerRequest::WriteQuotaPartitions => {
                let status = answer.ok().map(|answer| answer.status);
                self.quota_partitioner
                    .handle_write_answer(outbox.clock.now, status);
            }
        }
    }

    fn handle_renewal(&mut self, outbox: &Outbox, sent_at: Micros, answer: &CallResult) {
        let status = answer.as_ref().ok().map(|answer| answer.status);
        let still_held = self.lease.handle_renewal(sent_at, status, outbox.clock.now);
        if !still_held {
            self.end_reason = Some(EndReason::StoreLeaseExpired);
        }
    }

    /// Pauses the start of tasks while there may be a newer configuration than the one known here.
    pub fn update_starts_paused(&mut self, outbox: &Outbox) {
        self.cluster.starts_paused = outbox.configuration.must_pause_starts(outbox.clock.now);
    }

    // ---- Workers ----

    /// Answers a worker's heartbeat.
    pub fn handle_heartbeat(&mut self, outbox: &Outbox, body: &Bytes) -> HeartbeatAnswer {
        let now = outbox.clock.now;
        let error =
            |status, reason: &str| HeartbeatAnswer::Answered(Response::error(status, reason));
        self.last_heard_at = Some(now);
        self.cluster.unix_time = outbox.clock.unix_time;
        self.update_starts_paused(outbox);
        let heartbeat: WorkerHeartbeat<'_> = match serde_json::from_slice(body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => {
                tracing::debug!(error = %e, "cannot parse heartbeat");
                return error(400, "cannot parse heartbeat");
            }
        };
        if !self.is_loaded() && self.lease.shard != 0 {
            // The owner does not know yet whether the machine belongs to this shard.
            return error(503, "the shard's state is still being read");
        }
        if !self.is_loaded() && heartbeat.token <= self.lease.term {
            // The worker's tasks may be cancelled, and an answer would renew the worker's lease nevertheless.
            return HeartbeatAnswer::AfterLoad;
        }
        match self.cluster.apply_heartbeat(now, &heartbeat) {
            HeartbeatOutcome::Orders(orders) if orders.is_empty() => {
                HeartbeatAnswer::Answered(self.empty_response.clone())
            }
            HeartbeatOutcome::Orders(orders) => {
                let body = HeartbeatResponse {
                    token: self.lease.term,
                    orders: &orders,
                };
                HeartbeatAnswer::Answered(Response::json(200, &body))
            }
            HeartbeatOutcome::OtherShard(shard) => HeartbeatAnswer::OtherShard(shard),
            HeartbeatOutcome::Stale => error(503, "heartbeat is out of date"),
            HeartbeatOutcome::Deposed => {
                self.end_reason = Some(EndReason::HigherToken);
                error(503, "this controller no longer owns the shard")
            }
        }
    }

    /// Sends kill orders for cancelled tasks to workers without delay, besides the answers to their heartbeats.
    pub fn send_kill_orders(&mut self, outbox: &mut Outbox) {
        for delivery in self.cluster.next_kill_orders(outbox.clock.now) {
            let KillOrderDelivery {
                address,
                incarnation,
                orders,
            } = delivery;
            let commands = CommandsRequest {
                token: self.lease.term,
                incarnation,
                orders: &orders,
            };
            outbox.send_worker_commands(address, Response::json(200, &commands).body);
        }
    }

    // ---- The fleet ----

    /// Plans the fleet if a plan is due, and makes the resulting calls to the cloud.
    fn plan_fleet(&mut self, outbox: &mut Outbox) {
        let now = outbox.clock.now;
        if now < self.next_plan_at.max(self.cluster.passes.next_plan_at) {
            return;
        }
        self.next_plan_at = now + MIN_PLAN_INTERVAL;
        for call in self.cluster.plan_cloud_calls(now) {
            let request = call.to_request(&self.cluster.machine_types);
            outbox.call_cloud(Some(self.lease.term), call, request);
        }
    }

    /// Handles the cloud's answer to a call of this owner.
    pub fn handle_cloud_answer(&mut self, outbox: &Outbox, call: CloudCall, answer: &CallResult) {
        let now = outbox.clock.now;
        if matches!(call, CloudCall::Provision { .. }) {
            // After a refusal, the next best offer is tried without delay.
            self.next_plan_at = now;
        }
        self.cluster.apply_cloud_answer(call, answer, now);
        self.cluster.passes.needed = true;
    }

    // ---- Time ----

    /// Does all periodic work that is due.
    pub fn tick(&mut self, outbox: &mut Outbox) {
        let now = outbox.clock.now;
        self.update_starts_paused(outbox);
        if self.is_isolated(outbox) {
            self.end_reason = Some(EndReason::Isolated);
            return;
        }
        let known_version = self.applied_version();
        self.lease.maintain(outbox, known_version);
        if !self.is_loaded() {
            self.retry_load(outbox);
            return;
        }
        self.cluster.tick(now, outbox.clock.unix_time);
        self.read_transfers(outbox);
        self.quota_partitioner.tick(outbox, &self.lease);
        self.schedule(now);
        self.plan_fleet(outbox);
        self.send_watch(outbox);
        self.catch_up(outbox);
        self.write_batch(outbox);
        self.reread_keys(outbox);
        self.read_job_owners(outbox);
    }

    fn is_isolated(&self, outbox: &Outbox) -> bool {
        let has_peers = !outbox.settings.peers.is_empty();
        let is_silent = |heard_at: Micros| outbox.clock.now > heard_at + ISOLATION_TIMEOUT;
        has_peers && self.last_heard_at.is_some_and(is_silent)
    }

    /// Runs a scheduling pass if one is due. Passes are spaced according to their cost, because heartbeats,
    /// renewals and users' requests take precedence.
    fn schedule(&mut self, now: Micros) {
        let is_due =
            self.cluster.passes.needed || now >= self.cluster.passes.last_at + MAX_PASS_INTERVAL;
        if is_due && now >= self.next_pass_at.max(self.cluster.passes.next_at) {
            self.next_pass_at = now + MIN_PASS_INTERVAL;
            self.cluster.run_scheduling_pass(now);
        }
    }
}
