//! Periodic work of a controller, and the information that its parts share on a tick.

use std::collections::{BTreeMap, BTreeSet};

use super::Controller;
use super::end_reason::EndReason;
use super::job_api::JobChange;
use crate::model::{Micros, SECOND};
use crate::state::fleet::CloudCall;
use crate::wire::cloud::CloudRequest;
use crate::wire::peer::Body;

/// Interval between requests to the cloud for its machine types, until the cloud has answered.
const MACHINE_TYPES_RETRY_INTERVAL: Micros = 2 * SECOND;

impl Controller {
    /// Does all periodic work that is due.
    pub(super) fn tick(&mut self) {
        self.refuse_overdue_requests();
        self.outbox.recover_rate();
        self.job_api.refresh(&mut self.outbox);
        self.send_configuration_read();
        self.read_dependency_outcomes();
        if self
            .membership
            .send_heartbeats(&mut self.outbox, &self.shard_owners)
        {
            self.send_usage_records();
            self.share_shard_loads();
        }
        self.request_machine_types();
        if !self.shard_owners.contains_key(&0) {
            self.membership.tick(&mut self.outbox);
        }
        for owner in self.shard_owners.values_mut() {
            owner.tick(&mut self.outbox);
        }
        self.shard_assignments
            .tick(&mut self.outbox, &self.membership, &self.shard_owners);
        let transferred = self.shard_assignments.shard_to_transfer(
            &self.outbox,
            &self.membership,
            &self.shard_owners,
        );
        if let Some(shard) = transferred {
            self.step_down(shard, EndReason::Transferred);
        }
    }

    fn refuse_overdue_requests(&mut self) {
        let now = self.outbox.clock.now;
        let deadlines = self.outbox.reply_deadlines.iter();
        let overdue = deadlines.filter(|(_, deadline)| **deadline <= now);
        let overdue: BTreeSet<u64> = overdue.map(|(connection, _)| *connection).collect();
        for connection in overdue {
            self.job_api
                .refuse_overdue_request(&mut self.outbox, connection);
        }
        self.heartbeats.drop_expired_relays(now);
    }

    fn request_machine_types(&mut self) {
        let now = self.outbox.clock.now;
        if self.outbox.machine_types.is_empty() && now >= self.machine_types_request_at {
            self.machine_types_request_at = now + MACHINE_TYPES_RETRY_INTERVAL;
            let request = CloudRequest::machine_types();
            self.outbox
                .call_cloud(None, CloudCall::MachineTypes, request);
        }
    }

    /// Reads the outcomes, where unknown, of upstream jobs for which downstream jobs wait.
    pub(super) fn read_dependency_outcomes(&mut self) {
        let leader = self.shard_owners.get(&0).map(|leader| &**leader);
        self.job_api
            .read_dependency_outcomes(&mut self.outbox, leader);
    }

    /// Sends kill orders for cancelled tasks to workers without delay.
    pub(super) fn send_kill_orders(&mut self) {
        let owners = self.shard_owners.values_mut();
        for owner in owners.filter(|owner| owner.is_loaded()) {
            owner.send_kill_orders(&mut self.outbox);
        }
    }

    /// Sends to the peers the usage records that the leader has not charged yet.
    pub(super) fn send_usage_records(&mut self) {
        let now = self.outbox.clock.now;
        let Some(leader) = self.shard_owners.get_mut(&0) else {
            return;
        };
        for message in leader.cluster.usage_messages(now) {
            let records = Body::UsageRecords(message.records);
            self.outbox.send_to_peer(message.peer, records);
        }
    }

    // ---- Changes of jobs ----

    /// Announces the changes of jobs that users made through this controller to the shards' owners.
    pub(super) fn announce_job_changes(&mut self) {
        for change in std::mem::take(&mut self.job_api.job_changes) {
            self.announce_job_change(&change);
        }
        // Users get their answers from the job replica, which may be ahead of an owner's watch. From the moment users
        // may be told of a cancellation, this controller must not launch the job.
        let now = self.outbox.clock.now;
        for (job, version) in self.job_api.job_replica.take_new_cancellations() {
            for owner in self.shard_owners.values_mut() {
                owner.cluster.apply_remote_cancellation(&job, version, now);
            }
        }
    }

    /// Announces a change to the leader, or to all peers if there are several shards or the leader is not known. The
    /// owner's watch may not bring the change: it may hang, and the state service may refuse the owner.
    fn announce_job_change(&mut self, change: &JobChange) {
        let now = self.outbox.clock.now;
        for owner in self.shard_owners.values_mut() {
            owner.expect_change(&self.outbox, &change.job, change.version);
        }
        let message = change.to_message();
        let leader = self.membership.leading_peer(&self.outbox);
        match leader {
            _ if self.outbox.is_sharded => self.outbox.send_to_all_peers(&message),
            _ if !self.shard_owners.is_empty() => {}
            Some(leader) => self.outbox.send_to_peer(leader, message),
            None => self.outbox.send_to_all_peers(&message),
        }
        self.job_api
            .confirmations
            .record_announced(&change.job, now);
    }

    // ---- Loads of shards ----

    /// Shares the loads of all shards within the controller: the job API chooses the shards of new jobs by the loads,
    /// shard owners transfer jobs that find no capacity, and the leader provides machines that other shards request.
    fn share_shard_loads(&mut self) {
        if !self.outbox.is_sharded {
            return;
        }
        let now = self.outbox.clock.now;
        let mut loads = self.membership.shard_loads(&self.outbox);
        self.outbox.shard_loads.clone_from(&loads);
        let mut refused = Vec::new();
        if let Some(leader) = self.shard_owners.get_mut(&0) {
            let others = loads.iter().filter(|load| load.shard > 0);
            let with_demand = others.filter(|load| !load.machine_demand.is_empty());
            let demand =
                with_demand.map(|load| (load.shard, load.machine_demand.iter().cloned().collect()));
            leader.cluster.other_shards.demand = demand.collect::<BTreeMap<_, _>>();
            refused = leader.cluster.refused_offers();
        }
        // A surplus shard gets no more jobs, and transfers the jobs it has to other shards.
        let shard_count = self.outbox.shard_count();
        loads.retain(|load| load.shard < shard_count);
        for (shard, owner) in &mut self.shard_owners {
            if *shard > 0 {
                owner.cluster.apply_refused_offers(refused.clone(), now);
            }
            owner.cluster.other_shards.loads.clone_from(&loads);
            owner.cluster.transfer_waiting_jobs(*shard >= shard_count);
        }
    }
}
