//! A controller is one process of the service. [`Controller`] owns all state of the process. Its inputs are commands
//! and the time, its outputs are effects, and no code in this module does any I/O itself.
//!
//! | part | purpose |
//! | --- | --- |
//! | [`interface`] | the commands and effects |
//! | [`outbox`] | all outgoing requests, messages and replies |
//! | [`job_api`] | users' submissions, queries and cancellations, and the replica of all live jobs |
//! | [`membership`] | peers: their reachability, the leader, and this controller's eligibility to lead |
//! | [`shard_assignment`], [`quota_partitioner`] | with several shards: the shards' owners and quota partitions |
//! | [`shard_owner`] | under a [`lease`]: a shard's machines, the tasks on them, and all writes of their state |
//! | [`heartbeat_routing`] | workers' heartbeats: answered here, or relayed to the owner of the machine's shard |
//! | [`config_watch`] | the version of the configuration in force |
//!
//! The modules [`ticking`], [`requests`], [`peer_messages`],
//! [`store_answers`] and [`ownership`] dispatch each input to the part that handles it.

mod acceptance;
mod cancellation_confirmation;
mod cancellations;
mod config_status;
mod config_watch;
mod dependency_outcomes;
mod election;
mod end_reason;
mod heartbeat_routing;
mod interface;
mod job_api;
mod job_lookups;
mod job_views;
mod key_read;
mod lease;
mod lease_validity;
mod ledger_queries;
mod load_messages;
mod load_stage;
mod membership;
mod outbox;
mod ownership;
mod peer_messages;
mod pending_confirmations;
mod pending_heartbeats;
mod pending_request;
mod queries;
mod quota_partitioner;
mod requests;
mod shard_assignment;
mod shard_owner;
mod store_answers;
mod submissions;
mod ticking;

use std::sync::Arc;

pub use self::interface::{Clock, Command, Effect};
use self::job_api::JobApi;
pub use self::lease_validity::VOTE_DURATION;
use self::membership::Membership;
use self::outbox::Outbox;
use self::pending_heartbeats::PendingHeartbeats;
use self::shard_assignment::ShardAssignments;
use self::shard_owner::{ShardOwner, ShardOwners};
use crate::model::Micros;
use crate::settings::Settings;
use crate::state::cluster::Cluster;
use crate::state::usage_replica::UsageReplica;

/// Interval between ticks. A tick does all periodic work that is due.
const TICK_INTERVAL: Micros = 50_000;
/// Maximum time between two steps of a standby controller, which waits only for the next heartbeat of its peers.
const MAX_IDLE_TIME: Micros = 4 * TICK_INTERVAL;

/// State of the configuration on one controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationState {
    /// Version in force. 0: only the platform settings.
    pub version: u64,
    /// Whether the controller may act on this version now.
    pub is_fresh: bool,
}

/// All state of one controller process.
pub struct Controller {
    outbox: Outbox,
    membership: Membership,
    job_api: JobApi,
    shard_assignments: ShardAssignments,
    /// Shards that this controller owns. The owner of shard 0 is the leader.
    shard_owners: ShardOwners,
    heartbeats: PendingHeartbeats,
    /// Usage records that the leader has not charged yet.
    usage_replica: UsageReplica,
    /// Earliest time of the next request to the cloud for its machine types.
    machine_types_request_at: Micros,
    next_tick_at: Micros,
    /// Whether the state service has answered since the last tick. The resulting work is then still to be done.
    store_answered: bool,
}

impl Controller {
    /// Creates the controller of a process that starts now.
    pub fn new(settings: Arc<Settings>, clock: Clock) -> Controller {
        let outbox = Outbox::new(settings, clock);
        Controller {
            membership: Membership::new(&outbox),
            outbox,
            job_api: JobApi::default(),
            shard_assignments: ShardAssignments::default(),
            shard_owners: ShardOwners::new(),
            heartbeats: PendingHeartbeats::new(clock.unix_time),
            usage_replica: UsageReplica::default(),
            machine_types_request_at: 0,
            next_tick_at: 0,
            store_answered: false,
        }
    }

    /// Handles a batch of commands, ticks if a tick is due, and returns the resulting effects.
    pub fn step(
        &mut self,
        clock: Clock,
        commands: impl IntoIterator<Item = Command>,
    ) -> Vec<Effect> {
        self.outbox.clock = clock;
        self.check_leases();
        for command in commands {
            self.handle_command(command);
            self.announce_job_changes();
            self.step_down_ended();
            self.confirm_cancellations();
            self.answer_deferred_heartbeats();
        }
        if clock.now >= self.next_tick_at {
            self.next_tick_at = clock.now + TICK_INTERVAL;
            self.store_answered = false;
            self.tick();
            self.step_down_ended();
            self.confirm_cancellations();
        }
        self.send_kill_orders();
        if self
            .leader()
            .is_some_and(|leader| leader.cluster.has_urgent_usage())
        {
            self.send_usage_records();
        }
        self.job_api.send_accepts(&mut self.outbox);
        self.outbox.take_effects()
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::HttpRequest {
                connection,
                request,
            } => self.handle_request(connection, request),
            Command::StoreAnswer { id, answer } => {
                self.store_answered = true;
                self.handle_store_answer(id, answer);
            }
            Command::CloudAnswer { id, answer } => self.handle_cloud_answer(id, &answer),
            Command::PeerMessage(message) => self.handle_peer_message(message),
            Command::Tick => {}
        }
    }

    /// Returns how long [`Controller::step`] need not be called if no command arrives. Each call wakes up the
    /// process, and most controllers are on standby: a controller without shards that has a reachable leader, no
    /// waiting user and no queued request has nothing to do until its next heartbeat or probe.
    pub fn max_idle_time(&self) -> Micros {
        let outbox = &self.outbox;
        let is_standby = self.shard_owners.is_empty()
            && !outbox.is_sharded
            && !self.store_answered
            && outbox.reply_deadlines.is_empty()
            && outbox.budget.queued_requests() == 0
            && self.membership.leading_peer(outbox).is_some();
        if !is_standby {
            return TICK_INTERVAL;
        }
        let next_due_at = self.membership.next_due_at();
        next_due_at
            .saturating_sub(outbox.clock.now)
            .clamp(TICK_INTERVAL, MAX_IDLE_TIME)
    }

    /// Returns the leader's view of the cluster; `None` on every other controller.
    pub fn cluster(&self) -> Option<&Cluster> {
        self.leader().map(|leader| &leader.cluster)
    }

    /// Returns the clusters of all shards that this controller owns.
    pub fn clusters(&self) -> impl Iterator<Item = &Cluster> {
        self.shard_owners.values().map(|owner| &owner.cluster)
    }

    /// Returns the state of the configuration on this controller.
    pub fn configuration(&self) -> ConfigurationState {
        let configuration = &self.outbox.configuration;
        ConfigurationState {
            version: configuration.version(),
            is_fresh: configuration.is_fresh(self.outbox.clock.now),
        }
    }

    /// Returns the owner of shard 0 if this controller leads.
    fn leader(&self) -> Option<&ShardOwner> {
        self.shard_owners.get(&0).map(|leader| &**leader)
    }

    /// Returns the shard owner with this term, if this controller has one. An answer to a request from one of its
    /// earlier terms has no owner any more and is dropped.
    fn owner_of_term(owners: &mut ShardOwners, term: u64) -> Option<&mut ShardOwner> {
        owners
            .values_mut()
            .find(|owner| owner.lease.term == term)
            .map(|owner| &mut **owner)
    }
}
