//! A controller: one process of the service. [`Controller`] owns all of its state; commands and the time go in, effects come
//! out, and nothing in here does any input or output itself.
//!
//! | part | what it is for |
//! | --- | --- |
//! | [`interface`] | the commands and effects |
//! | [`outbox`] | what all parts ask of the outside |
//! | [`job_api`] | users: submissions, queries, cancellations, and the replica of all live jobs |
//! | [`membership`] | peers: who is heard, who leads, and this controller's own chances of leading |
//! | [`shard_assignment`], [`quota_partitioner`] | where there are several shards: who owns which, and what teams may use in each |
//! | [`shard_owner`] | under a [`lease`]: a shard's machines, what runs on them, and what is written of it |
//! | [`heartbeat_routing`] | workers' heartbeats: answered here, or passed on to the owner of the machine's shard |
//! | [`config_watch`] | which version of the configuration is in force |
//!
//! The modules [`ticking`], [`requests`], [`peer_messages`],
//! [`store_answers`] and [`ownership`] hand each input to the part that it is for.

mod acceptance;
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

/// What is due is done this often.
const TICK_INTERVAL: Micros = 50_000;
/// A controller that waits for nothing but the next heartbeat of its peers looks at its clock at least this often.
const MAX_IDLE_TIME: Micros = 4 * TICK_INTERVAL;

/// The configuration as one controller has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationState {
    /// The version in force; 0: the platform's settings alone.
    pub version: u64,
    /// Whether it may be acted on now.
    pub is_fresh: bool,
}

/// See the [module](self).
pub struct Controller {
    outbox: Outbox,
    membership: Membership,
    job_api: JobApi,
    shard_assignments: ShardAssignments,
    /// The shards that this controller owns. The owner of shard 0 is the leader.
    shard_owners: ShardOwners,
    heartbeats: PendingHeartbeats,
    /// Usage that the leader has not charged yet.
    usage_replica: UsageReplica,
    /// When the cloud may be asked again for its machine types.
    machine_types_request_at: Micros,
    next_tick_at: Micros,
    /// The state service has answered since the last tick, and what follows from that has not been done.
    store_answered: bool,
}

impl Controller {
    /// A controller whose process begins now.
    pub fn new(settings: Arc<Settings>, clock: Clock) -> Controller {
        let outbox = Outbox::new(settings, clock);
        Controller {
            membership: Membership::new(&outbox),
            outbox,
            job_api: JobApi::default(),
            shard_assignments: ShardAssignments::default(),
            shard_owners: ShardOwners::new(),
            heartbeats: PendingHeartbeats::default(),
            usage_replica: UsageReplica::default(),
            machine_types_request_at: 0,
            next_tick_at: 0,
            store_answered: false,
        }
    }

    /// Works through a batch of commands, and does what is due.
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
            self.answer_deferred_heartbeats();
        }
        if clock.now >= self.next_tick_at {
            self.next_tick_at = clock.now + TICK_INTERVAL;
            self.store_answered = false;
            self.tick();
            self.step_down_ended();
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

    /// How long [`Controller::step`] need not be called if no command comes. Each look at the clock is a wake-up of the
    /// process, and most controllers stand by: one that hears a leader, has nobody waiting and has asked for nothing has
    /// nothing to do until its next heartbeat or probe.
    pub fn max_idle_time(&self) -> Micros {
        let outbox = &self.outbox;
        let stands_by = self.shard_owners.is_empty()
            && !outbox.is_sharded
            && !self.store_answered
            && outbox.reply_deadlines.is_empty()
            && outbox.budget.queued_requests() == 0
            && self.membership.leading_peer(outbox).is_some();
        if !stands_by {
            return TICK_INTERVAL;
        }
        let next_due_at = self.membership.next_due_at();
        next_due_at
            .saturating_sub(outbox.clock.now)
            .clamp(TICK_INTERVAL, MAX_IDLE_TIME)
    }

    /// The cluster as the leader sees it; `None` on every other controller.
    pub fn cluster(&self) -> Option<&Cluster> {
        self.leader().map(|leader| &leader.cluster)
    }

    /// The clusters of all shards that this controller owns.
    pub fn clusters(&self) -> impl Iterator<Item = &Cluster> {
        self.shard_owners.values().map(|owner| &owner.cluster)
    }

    /// The configuration as this controller has it.
    pub fn configuration(&self) -> ConfigurationState {
        let configuration = &self.outbox.configuration;
        ConfigurationState {
            version: configuration.version(),
            is_fresh: configuration.is_fresh(self.outbox.clock.now),
        }
    }

    /// The owner of shard 0, if it is this controller.
    fn leader(&self) -> Option<&ShardOwner> {
        self.shard_owners.get(&0).map(|leader| &**leader)
    }

    /// The owner of a shard in this term, if it is this controller. Answers to an earlier term of its own are nobody's any
    /// more.
    fn owner_of_term(owners: &mut ShardOwners, term: u64) -> Option<&mut ShardOwner> {
        owners
            .values_mut()
            .find(|owner| owner.lease.term == term)
            .map(|owner| &mut **owner)
    }
}
