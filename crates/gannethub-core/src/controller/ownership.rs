//! Takeover of shards and stepping down from them. The owner of shard 0 is the leader.

use super::Controller;
use super::end_reason::EndReason;
use super::lease::ShardLease;
use super::outbox::Outbox;
use super::pending_request::Takeover;
use super::shard_assignment::StepDownKind;
use super::shard_owner::ShardOwner;
use crate::http::{CallResult, decode_ok};
use crate::state::cluster::Cluster;
use crate::state::usage_replica::UsageReplica;
use crate::wire::store::Committed;

impl Controller {
    // ---- Stepping down ----

    /// Steps down from every shard whose lease has ended.
    pub(super) fn check_leases(&mut self) {
        let now = self.outbox.clock.now;
        for owner in self.shard_owners.values_mut() {
            owner.end_reason = owner.end_reason.or(owner.lease.end_reason(now));
        }
        self.step_down_ended();
    }

    /// Steps down from every shard whose owner has an end reason.
    pub(super) fn step_down_ended(&mut self) {
        while let Some((shard, reason)) = self
            .shard_owners
            .iter()
            .find_map(|(shard, owner)| Some((*shard, owner.end_reason?)))
        {
            self.step_down(shard, reason);
        }
    }

    pub(super) fn step_down(&mut self, shard: u32, reason: EndReason) {
        let Some(owner) = self.shard_owners.remove(&shard) else {
            return;
        };
        let (term, store_lease) = (owner.lease.term, owner.lease.store_lease);
        let why = reason.to_string();
        if shard > 0 {
            tracing::info!(shard, term, why, "gives up a shard");
            let kind = match reason {
                EndReason::Transferred => StepDownKind::Transferred,
                EndReason::Isolated => StepDownKind::Isolated,
                _ => StepDownKind::Ended,
            };
            return self.shard_assignments.handle_step_down(
                &mut self.outbox,
                shard,
                store_lease,
                kind,
            );
        }
        tracing::info!(term, why, "no longer leading");
        if owner.cluster.usage_ledger.is_some() {
            let now = self.outbox.clock.now;
            let records = owner.cluster.all_usage_records(now);
            self.usage_replica = UsageReplica::from_own_records(term, records, now);
        }
        self.outbox.set_leader(false);
        let was_isolated = reason == EndReason::Isolated;
        self.membership
            .handle_step_down(&mut self.outbox, store_lease, was_isolated);
    }

    // ---- Taking over ----

    /// Handles the answer to the takeover of shard 0.
    pub(super) fn handle_leader_takeover(&mut self, takeover: Takeover, answer: &CallResult) {
        let outbox = &mut self.outbox;
        let Takeover { lease, record } = takeover;
        self.membership.election.attempt_in_progress = false;
        let Some(committed) = decode_ok::<Committed>(answer) else {
            let status = answer.as_ref().ok().map(|answer| answer.status);
            return self
                .membership
                .takeover_failed(outbox, lease.store_lease, status);
        };
        let (term, watermarks_reliable) = (record.term, record.watermarks_reliable);
        tracing::info!(term, watermarks_reliable, "leading");
        let lease = ShardLease::new(lease, term, committed.version, outbox);
        self.membership
            .election
            .takeover_succeeded(record, committed.version);
        let mut owner = new_owner(outbox, lease, watermarks_reliable);
        outbox.set_leader(true);
        self.membership.send_heartbeats_soon(outbox.clock.now);
        owner.load_next(outbox, "");
        self.shard_owners.insert(0, Box::new(owner));
        self.tick();
    }

    /// Handles the answer to the takeover of a shard other than 0.
    pub(super) fn handle_shard_takeover(&mut self, takeover: Takeover, answer: &CallResult) {
        let outbox = &mut self.outbox;
        let Takeover { lease, record } = takeover;
        let shard = lease.shard;
        let Some(election) = self.shard_assignments.election_mut(shard) else {
            return;
        };
        election.attempt_in_progress = false;
        let Some(committed) = decode_ok::<Committed>(answer) else {
            let status = answer.as_ref().ok().map(|answer| answer.status);
            return self
                .shard_assignments
                .takeover_failed(outbox, lease, status);
        };
        let (term, watermarks_reliable) = (record.term, record.watermarks_reliable);
        tracing::info!(shard, term, watermarks_reliable, "holds a shard");
        election.takeover_succeeded(record, committed.version);
        let lease = ShardLease::new(lease, term, committed.version, outbox);
        let mut owner = new_owner(outbox, lease, watermarks_reliable);
        owner.load_next(outbox, "");
        self.membership.send_heartbeats_soon(outbox.clock.now);
        self.shard_owners.insert(shard, Box::new(owner));
    }
}

/// Creates the owner of a shard that was just taken over.
fn new_owner(outbox: &Outbox, lease: ShardLease, watermarks_reliable: bool) -> ShardOwner {
    let mut cluster = Cluster::new(
        lease.term,
        outbox.settings.clone(),
        outbox.machine_types.clone(),
        outbox.clock.now,
        outbox.clock.unix_time,
    );
    if lease.shard > 0 {
        cluster.assign_shard(lease.shard);
    }
    cluster.watermarks.set_reliable(watermarks_reliable);
    ShardOwner::new(lease, cluster)
}
