//! Orphaned attempts: attempts that an earlier leader reported and that no worker has reported since.

use std::collections::BTreeMap;
use std::sync::Arc;

use gannethub_ledger::line::Reason;
use gannethub_ledger::meter::{EndObservation, Meter, MeteredUsage, Stage};

use super::record::{AttemptEnd, ChargeState, OrphanedAttempt, UsageRecord, ledger_key};
use super::replication::{read_attempt_key, read_end_reason, read_owner, read_rate, read_usage};
use crate::model::{AttemptId, MachineId, Micros};
use crate::state::cluster::Cluster;
use crate::state::usage_replica::ReplicatedRecord;

impl Cluster {
    /// Continues the records that the previous leader sent and had not made durable.
    pub(super) fn take_over_usage(&mut self, records: Vec<ReplicatedRecord>, now: Micros) {
        for replicated in records {
            self.take_over_record(&replicated, now);
        }
    }

    fn take_over_record(&mut self, replicated: &ReplicatedRecord, now: Micros) {
        let record = &replicated.record;
        let Some(key) = &record.key else { return };
        let (machine, attempt) = read_attempt_key(key);
        let Some(ledger) = &self.usage_ledger else {
            return;
        };
        if ledger
            .charged_before
            .contains(&ledger_key(&machine, &attempt))
        {
            return;
        }
        let Some(reading) = read_usage(record) else {
            return;
        };
        if let Some(reason) = read_end_reason(record) {
            let end = self.taken_over_end(machine, attempt, replicated, reading, reason, now);
            self.charge_taken_over_end(end, replicated, now);
        } else {
            self.adopt_orphan(machine, attempt, replicated, reading);
        }
    }

    fn taken_over_end(
        &self,
        machine: MachineId,
        id: AttemptId,
        replicated: &ReplicatedRecord,
        reading: MeteredUsage,
        reason: Reason,
        now: Micros,
    ) -> AttemptEnd {
        let record = &replicated.record;
        // This process may have started after the attempt ended.
        let ended_ago = now
            .saturating_sub(replicated.received_at)
            .saturating_add(record.end_age)
            .saturating_add(replicated.transit_time);
        AttemptEnd {
            id,
            machine,
            rate: read_rate(record),
            reading,
            at: replicated.received_at.saturating_sub(record.end_age),
            unix_time: self.time_of_day(now).saturating_sub(ended_ago),
            reason,
            saved: record.saved,
        }
    }

    fn charge_taken_over_end(
        &mut self,
        end: AttemptEnd,
        replicated: &ReplicatedRecord,
        now: Micros,
    ) {
        let key = ledger_key(&end.machine, &end.id);
        let account = replicated.record.account.as_ref();
        let account = account.map(|account| Arc::new(read_owner(account)));
        if let Some(ticket) = self.charge_end(account, end, now)
            && let Some(ledger) = &mut self.usage_ledger
        {
            ledger.inherited_tickets.insert(key, ticket);
        }
    }

    /// Keeps the record of an attempt that had not ended. The record is kept until the worker reports the attempt, or
    /// until the attempt is known to be lost.
    fn adopt_orphan(
        &mut self,
        machine: MachineId,
        attempt: AttemptId,
        replicated: &ReplicatedRecord,
        reading: MeteredUsage,
    ) {
        let record = &replicated.record;
        let Some(stage) = Stage::from_index(record.stage as usize) else {
            return;
        };
        let received_at = replicated.received_at;
        let mut stage_times = reading.stage_times;
        stage_times.0[stage.index()] += record.stage_age;
        let meter = Meter {
            stage,
            since: received_at,
            // The record does not say whether the launch was sent.
            launch_sent_at: Some((received_at.saturating_sub(record.stage_age), received_at)),
            stage_times,
            // The machine may have been lost before the leader was, without the leader knowing of it yet.
            begin_uncertainty: record.begin_uncertainty + replicated.current_until - received_at,
            begin_estimated: record.begin_estimated,
        };
        let account = record.account.as_ref();
        let orphan = OrphanedAttempt {
            record: UsageRecord {
                meter,
                owner: account.map(|account| Arc::new(read_owner(account))),
                charge: ChargeState::Open,
                saved: record.saved,
            },
            rate: read_rate(record),
            incarnation: record.incarnation,
            last_known_at: replicated.current_until,
            transit_time: replicated.transit_time,
        };
        if let Some(ledger) = &mut self.usage_ledger {
            ledger.replication.mark_changed(&machine, &attempt);
            let orphans = ledger.orphans.entry(machine).or_default();
            orphans.insert(attempt, orphan);
        }
    }

    /// Charges the orphans of a worker that has reported all its tasks to this leader for the first time: orphans
    /// that the worker did not report have ended.
    pub(crate) fn charge_unreported_orphans(
        &mut self,
        id: &MachineId,
        incarnation: u64,
        now: Micros,
    ) {
        let ledger = self.usage_ledger.as_ref();
        if !ledger.is_some_and(|ledger| ledger.orphans.contains_key(id)) {
            return;
        }
        // The machine is alive: tasks of another incarnation were lost when its lease expired.
        let (lease, heartbeat_interval) = (
            self.settings.lease_duration,
            self.settings.heartbeat_interval,
        );
        let is_other_incarnation = |orphan: &OrphanedAttempt| orphan.incarnation != incarnation;
        self.charge_orphans_where(id, Reason::Lease, now, lease, is_other_incarnation);
        self.charge_orphans_where(id, Reason::Missing, now, heartbeat_interval / 2, |_| true);
    }

    /// Charges all orphans of a machine that is gone or whose worker's lease has expired.
    pub(crate) fn charge_orphans(&mut self, id: &MachineId, reason: Reason, now: Micros) {
        let likely_continuation = self.settings.heartbeat_interval / 2;
        self.charge_orphans_where(id, reason, now, likely_continuation, |_| true);
    }

    /// Charges the orphans of machines that no longer exist, once no task of an earlier term can still exist.
    pub(crate) fn charge_orphans_of_lost_machines(&mut self, now: Micros) {
        if now <= self.takeover.started_at + self.lease_expiry_bound() {
            return;
        }
        let Some(ledger) = &self.usage_ledger else {
            return;
        };
        let machines = ledger.orphans.keys();
        let lost: Vec<MachineId> = machines
            .filter(|id| !self.machines.contains_key(*id))
            .cloned()
            .collect();
        lost.iter()
            .for_each(|id| self.charge_orphans(id, Reason::Machine, now));
    }

    /// Charges the orphans of a machine for which `is_ended` holds. `likely_continuation`: the most likely time for
    /// which the orphans continued after they were last known.
    fn charge_orphans_where(
        &mut self,
        id: &MachineId,
        reason: Reason,
        now: Micros,
        likely_continuation: Micros,
        is_ended: impl Fn(&OrphanedAttempt) -> bool,
    ) {
        let Some(ledger) = &mut self.usage_ledger else {
            return;
        };
        let Some(orphans) = ledger.orphans.remove(id) else {
            return;
        };
        let (ended, remaining): (BTreeMap<_, _>, BTreeMap<_, _>) = orphans
            .into_iter()
            .partition(|(_, orphan)| is_ended(orphan));
        if !remaining.is_empty() {
            ledger.orphans.insert(id.clone(), remaining);
        }
        for (attempt, orphan) in ended {
            let observation = EndObservation::Silence {
                last_heartbeat_at: Some(orphan.last_known_at),
                likely_duration: likely_continuation,
            };
            // No worker reported the end, so its time is estimated from when the orphan was last known.
            let reading = orphan.record.meter.end(now, observation);
            let end = AttemptEnd {
                id: attempt,
                machine: id.clone(),
                rate: orphan.rate,
                reading: reading.extend_silence(orphan.transit_time),
                at: now,
                unix_time: self.time_of_day(now),
                reason,
                saved: orphan.record.saved,
            };
            self.charge_end(orphan.record.owner, end, now);
        }
    }
}
