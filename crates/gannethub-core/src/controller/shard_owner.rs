//! Owning a shard: the machines of the shard, what runs on them, and what is written of it, under one lease.
//!
//! | part | what it does |
//! | --- | --- |
//! | [`recovery`] | reads the shard's state from the state service after a takeover |
//! | [`watch`] | follows changes of jobs that other controllers make |
//! | [`writes`] | writes what has changed in memory, and reads back what is in doubt |

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
use crate::wire::peer::RunningJob;
use crate::wire::store::StoreRequest;
use crate::wire::worker::{CommandsRequest, HeartbeatResponse, WorkerHeartbeat};

/// An owner that hears neither workers nor peers for this long steps down.
const ISOLATION_TIMEOUT: Micros = 3 * SECOND;
/// Jobs whose progress one heartbeat to the peers tells.
const MAX_RUNNING_JOBS_TOLD: usize = 2000;
/// Scheduling passes and plans of the fleet are made at most this often.
const MIN_PASS_INTERVAL: Micros = 100_000;
const MIN_PLAN_INTERVAL: Micros = 500_000;
/// A scheduling pass is made at least this often, even if nothing calls for one.
const MAX_PASS_INTERVAL: Micros = SECOND;

/// The owner of one shard for as long as its lease lasts.
#[derive(Debug)]
pub(super) struct ShardOwner {
    /// The answer to a heartbeat that leads to no order: most do not.
    empty_response: Response,
    pub lease: ShardLease,
    pub cluster: Cluster,
    /// Why it has to step down, if it has to.
    pub end_reason: Option<EndReason>,
    /// When it last heard a worker or a peer.
    pub last_heard_at: Option<Micros>,
    load: LoadProgress,
    /// All changes of jobs up to this version of the state service have been applied.
    pub watched_version: u64,
    watch: JobWatch,
    writes: WriteProgress,
    next_pass_at: Micros,
    next_plan_at: Micros,
    /// The shard's part of the teams' limits.
    quota_partitioner: QuotaPartitioner,
}

/// How far the reading of the shard's state is.
#[derive(Debug, Default)]
struct LoadProgress {
    /// What is being read.
    stage: LoadStage,
    /// Everything has been read once. Later reads are of jobs alone.
    was_loaded: bool,
    started_at: Micros,
    /// When a read that failed is to be made again.
    retry_at: Option<Micros>,
    /// What has been read of the ledger before it can be opened.
    ledger_head: Option<Head>,
    ledger_pages: Vec<(Page, u64)>,
    /// When machines that were given to the shard are to be read again.
    transfers_read_at: Micros,
}

/// How changes of jobs come in that other controllers make.
#[derive(Debug, Default)]
struct JobWatch {
    in_flight: bool,
    sent_at: Micros,
    next_at: Micros,
    /// A read of changes beside the watch is under way, and when the next one may be made.
    catch_up_in_flight: bool,
    catch_up_at: Micros,
    /// Changes that peers told of and that the watch has not brought yet, in the order in which they were told.
    expected_changes: VecDeque<ExpectedChange>,
}

/// A change that a peer told of.
#[derive(Debug)]
struct ExpectedChange {
    /// When the watch should have brought it.
    due: Micros,
    /// The version of the state service in which it was stored.
    version: u64,
    key: String,
}

/// How changes in memory get into the state service.
#[derive(Debug, Default)]
struct WriteProgress {
    /// A transaction is under way, and when the next one may be sent.
    in_flight: bool,
    next_at: Micros,
    /// Keys whose stored values are in doubt, and when they may be read.
    keys_to_reread: BTreeSet<String>,
    reread_at: Micros,
    rereads_in_flight: usize,
}

/// The shards that this controller owns, by their number. The owner of shard 0 is the leader.
pub(super) type ShardOwners = BTreeMap<u32, Box<ShardOwner>>;

/// What becomes of a worker's heartbeat at a shard's owner.
pub(super) enum HeartbeatAnswer {
    /// It is answered.
    Answered(Response),
    /// Its machine is another shard's; `None` if it is not known which one.
    OtherShard(Option<u32>),
    /// It can be answered only once the shard's state has been read.
    AfterLoad,
}

impl ShardOwner {
    /// The owner of a shard that was just taken over. Nothing of the shard's state has been read yet.
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

    /// Whether all that was stored at the takeover has been read.
    pub fn is_loaded(&self) -> bool {
        self.load.stage == LoadStage::Loaded
    }

    /// Whether the machine is this shard's.
    pub fn owns_machine(&self, machine: &str) -> bool {
        self.cluster.machines.contains_key(machine)
    }

    /// Jobs with tasks on machines, for peers to tell users of.
    pub fn running_jobs(&self) -> Vec<RunningJob> {
        let running = self.cluster.jobs.values();
        let running = running.filter(|job| job.live_count() > 0);
        let told = running.take(MAX_RUNNING_JOBS_TOLD).map(|job| RunningJob {
            job: job.id.to_string(),
            tasks: job.live_count(),
            done: job.tasks.done.len(),
        });
        told.collect()
    }

    /// How far a job of this shard is.
    pub fn progress(&self, id: &JobId) -> Option<JobProgress> {
        self.cluster.jobs.get(id).map(|job| JobProgress {
            running: job.live_count(),
            done: job.tasks.done.len(),
        })
    }

    /// Queues a request to the state service whose answer comes back to [`ShardOwner::handle_store_answer`].
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

    /// Takes in the answer to a request of this owner. `usage_replica` is what this controller knows of usage that earlier
    /// leaders had not charged yet.
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
            OwnerRequest::Reread { key } => self.handle_reread_answer(outbox, key, &answer),
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

    /// Starts nothing while there may be a newer configuration than is known here.
    pub fn update_start_hold(&mut self, outbox: &Outbox) {
        self.cluster.starts_paused = outbox.configuration.must_hold_starts(outbox.clock.now);
    }

    // ---- Workers ----

    /// Answers a worker's heartbeat.
    pub fn handle_heartbeat(&mut self, outbox: &Outbox, body: &Bytes) -> HeartbeatAnswer {
        let now = outbox.clock.now;
        let error =
            |status, reason: &str| HeartbeatAnswer::Answered(Response::error(status, reason));
        self.last_heard_at = Some(now);
        self.cluster.unix_time = outbox.clock.unix_time;
        self.update_start_hold(outbox);
        let heartbeat: WorkerHeartbeat<'_> = match serde_json::from_slice(body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => {
                tracing::debug!(error = %e, "a heartbeat cannot be parsed");
                return error(400, "not a report");
            }
        };
        if !self.is_loaded() && self.lease.shard != 0 {
            // Whether the machine is this shard's is not known yet.
            return error(503, "the state is being read");
        }
        if !self.is_loaded() && heartbeat.token <= self.lease.term {
            // What it runs may be cancelled, and an answer would renew its lease all the same.
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
            HeartbeatOutcome::Stale => error(503, "an old report"),
            HeartbeatOutcome::Deposed => {
                self.end_reason = Some(EndReason::HigherToken);
                error(503, "not leading")
            }
        }
    }

    /// Tells workers of cancelled tasks at once, beside the answers to their heartbeats.
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
            outbox.command_worker(address, Response::json(200, &commands).body);
        }
    }

    // ---- The fleet ----

    /// Makes the calls to the cloud that the plan of the fleet asks for.
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

    /// Takes in an answer of the cloud.
    pub fn handle_cloud_answer(&mut self, outbox: &Outbox, call: CloudCall, answer: &CallResult) {
        let now = outbox.clock.now;
        if matches!(call, CloudCall::Provision { .. }) {
            // A refusal leads to the next best offer without delay.
            self.next_plan_at = now;
        }
        self.cluster.apply_cloud_answer(call, answer, now);
        self.cluster.passes.needed = true;
    }

    // ---- Time ----

    /// Does what is due.
    pub fn tick(&mut self, outbox: &mut Outbox) {
        let now = outbox.clock.now;
        self.update_start_hold(outbox);
        if self.is_isolated(outbox) {
            self.end_reason = Some(EndReason::Isolated);
            return;
        }
        let known_version = match self.load.stage {
            LoadStage::Loaded => self.watched_version,
            _ => 0,
        };
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

    /// Makes a scheduling pass if one is due. Passes are spaced by what they cost: heartbeats, renewals and users come
    /// first.
    fn schedule(&mut self, now: Micros) {
        let is_due =
            self.cluster.passes.needed || now >= self.cluster.passes.last_at + MAX_PASS_INTERVAL;
        if is_due && now >= self.next_pass_at.max(self.cluster.passes.next_at) {
            self.next_pass_at = now + MIN_PASS_INTERVAL;
            self.cluster.run_scheduling_pass(now);
        }
    }
}
