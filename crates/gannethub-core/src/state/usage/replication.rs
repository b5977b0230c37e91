//! Replication of the open records to peers, so that a peer can continue with the records.

use gannethub_ledger::line::Reason;
use gannethub_ledger::meter::{MeteredUsage, StageTimes};

use super::record::{AttemptEnd, ChargeState, MachineRate, UsageRecord};
use crate::model::{AttemptId, MachineId, Micros, Resources, TaskId};
use crate::state::cluster::Cluster;
use crate::wire::peer::{AttemptKey, OpenUsageRecord, UsageAccount, UsageRecords};
use crate::wire::store::JobAccount;

/// Maximum number of records in one message to a peer, which keeps the message below its size limit.
const MAX_RECORDS_PER_MESSAGE: usize = 400;
/// Maximum number of keys of ended attempts in one message to a peer.
const MAX_CLOSED_PER_MESSAGE: usize = 4 * MAX_RECORDS_PER_MESSAGE;
/// End reasons in the order in which peers number them, starting at 1.
const END_REASONS: [Reason; 12] = [
    Reason::Done,
    Reason::Stopped,
    Reason::PeersGone,
    Reason::Alone,
    Reason::Error,
    Reason::NoRoom,
    Reason::Busy,
    Reason::Unknown,
    Reason::Other,
    Reason::Missing,
    Reason::Lease,
    Reason::Machine,
];

/// A message to a peer.
#[derive(Debug)]
pub struct UsageMessage {
    /// The peer's index in the settings.
    pub peer: usize,
    pub records: UsageRecords,
}

impl Cluster {
    /// Returns all records that are not charged yet or not durable yet.
    pub fn all_usage_records(&self, now: Micros) -> Vec<OpenUsageRecord> {
        let Some(ledger) = &self.usage_ledger else {
            return Vec::new();
        };
        let placed = self.machines.iter().flat_map(|(id, machine)| {
            machine.attempts.iter().filter_map(|(attempt, entry)| {
                let record = entry.usage_record.as_deref()?;
                self.open_record_message(id, attempt, record, now)
            })
        });
        let orphans = ledger.orphans.iter().flat_map(|(id, orphans)| {
            let attempts = orphans.keys();
            attempts.filter_map(|attempt| self.record_message(id, attempt, now))
        });
        let non_durable = ledger
            .non_durable_ends
            .values()
            .map(|(owner, end)| end_message(Some(&**owner), end, now));
        let unowned = ledger
            .unowned_ends
            .values()
            .flatten()
            .map(|end| end_message(None, end, now));
        placed
            .chain(orphans)
            .chain(non_durable)
            .chain(unowned)
            .collect()
    }

    /// Returns the records that have changed since the last messages to peers.
    fn changed_usage_records(&self, now: Micros) -> Vec<OpenUsageRecord> {
        let Some(ledger) = &self.usage_ledger else {
            return Vec::new();
        };
        let changed = ledger
            .replication
            .changed
            .iter()
            .filter_map(|(id, attempt)| self.record_message(id, attempt, now));
        let ended = ledger
            .replication
            .ended
            .iter()
            .filter_map(|ticket| ledger.non_durable_ends.get(ticket));
        let ended = ended.map(|(owner, end)| end_message(Some(&**owner), end, now));
        changed.chain(ended).collect()
    }

    /// Returns the messages that are to be sent to the peers now.
    pub fn usage_messages(&mut self, now: Micros) -> Vec<UsageMessage> {
        let lagging = self.usage_ledger.as_ref().is_some_and(|ledger| {
            let mut peers = ledger.replication.peers.iter();
            peers.any(|peer| peer.needs_all)
        });
        let all_records = match lagging {
            true => self.all_usage_records(now),
            false => Vec::new(),
        };
        let changed_records = self.changed_usage_records(now);
        let (term, sent_at) = (self.term, self.unix_time);
        let Some(ledger) = &mut self.usage_ledger else {
            return Vec::new();
        };
        let replication = &mut ledger.replication;
        replication.changed.clear();
        replication.is_urgent = false;
        replication.ended.clear();
        let closed_keys = std::mem::take(&mut replication.closed);
        let mut messages = Vec::new();
        for (peer, progress) in replication.peers.iter_mut().enumerate() {
            let is_full = std::mem::take(&mut progress.needs_all);
            let parts = match is_full {
                true => split_message(&all_records, &[], true),
                false => split_message(&changed_records, &closed_keys, false),
            };
            for part in parts {
                let records = UsageRecords {
                    term,
                    sequence: progress.next_sequence,
                    sent_at,
                    ..part
                };
                progress.next_sequence += 1;
                messages.push(UsageMessage { peer, records });
            }
        }
        messages
    }

    /// Whether launches are being sent that no peer has been told of. Such a launch is urgent: if its machine were
    /// lost just after this leader, nobody would know of the launch, and a successor would take its copy for
    /// complete.
    pub fn has_urgent_usage(&self) -> bool {
        self.usage_ledger
            .as_ref()
            .is_some_and(|ledger| ledger.replication.is_urgent)
    }

    /// Schedules all records to be sent again to a peer that has missed a message.
    pub fn resend_all_usage(&mut self, peer: usize) {
        let Some(ledger) = &mut self.usage_ledger else {
            return;
        };
        if let Some(progress) = ledger.replication.peers.get_mut(peer) {
            progress.needs_all = true;
        }
    }

    /// Returns the record of an attempt as sent to peers. Charged attempts have none: their ends are sent by ticket.
    fn record_message(
        &self,
        id: &MachineId,
        attempt: &AttemptId,
        now: Micros,
    ) -> Option<OpenUsageRecord> {
        let ledger = self.usage_ledger.as_ref()?;
        let unowned = ledger.unowned_ends.get(&attempt.task.job);
        let mut unowned = unowned.into_iter().flatten();
        if let Some(end) = unowned.find(|end| end.id == *attempt && end.machine == *id) {
            return Some(end_message(None, end, now));
        }
        let orphans = ledger.orphans.get(id);
        if let Some(orphan) = orphans.and_then(|orphans| orphans.get(attempt)) {
            let mut record = orphan.record.clone();
            record.meter.add_unobserved_time(orphan.transit_time);
            let key = attempt_key(id, attempt);
            let message = open_message(key, &record, &orphan.rate, orphan.incarnation, now);
            return Some(message);
        }
        let entry = self.machines.get(id)?.attempts.get(attempt)?;
        self.open_record_message(id, attempt, entry.usage_record.as_deref()?, now)
    }

    fn open_record_message(
        &self,
        id: &MachineId,
        attempt: &AttemptId,
        record: &UsageRecord,
        now: Micros,
    ) -> Option<OpenUsageRecord> {
        if record.charge != ChargeState::Open {
            return None;
        }
        let machine = self.machines.get(id)?;
        let (key, rate) = (attempt_key(id, attempt), self.machine_rate(machine));
        let incarnation = machine.worker.incarnation;
        Some(open_message(key, record, &rate, incarnation, now))
    }
}

/// Splits the data for a peer into messages below the size limit. A transmission of all records has at least one
/// message.
fn split_message(
    records: &[OpenUsageRecord],
    closed_keys: &[AttemptKey],
    is_full: bool,
) -> Vec<UsageRecords> {
    let mut records = records.chunks(MAX_RECORDS_PER_MESSAGE);
    let mut closed_keys = closed_keys.chunks(MAX_CLOSED_PER_MESSAGE);
    let count = records
        .len()
        .max(closed_keys.len())
        .max(usize::from(is_full));
    let part = |index| UsageRecords {
        is_first: is_full && index == 0,
        is_last: is_full && index + 1 == count,
        open_records: records.next().unwrap_or_default().to_vec(),
        closed_keys: closed_keys.next().unwrap_or_default().to_vec(),
        ..UsageRecords::default()
    };
    (0..count).map(part).collect()
}

/// Returns the record of an attempt that has not ended, as sent to peers.
fn open_message(
    key: AttemptKey,
    record: &UsageRecord,
    rate: &MachineRate,
    incarnation: u64,
    now: Micros,
) -> OpenUsageRecord {
    let meter = &record.meter;
    let rate = rate.clone();
    OpenUsageRecord {
        key: Some(key),
        account: record.owner.as_deref().map(write_owner),
        machine_type: rate.machine_type,
        zone: rate.zone,
        spot: rate.spot,
        price: rate.hourly_price,
        incarnation,
        stage: meter.stage.index() as u32,
        stage_age: now.saturating_sub(meter.since),
        stage_times: meter.stage_times.0.to_vec(),
        begin_uncertainty: meter.begin_uncertainty,
        begin_estimated: meter.begin_estimated,
        saved: record.saved,
        ..OpenUsageRecord::default()
    }
}

/// Returns the record of an attempt that has ended and is not durable, as sent to peers.
fn end_message(owner: Option<&JobAccount>, end: &AttemptEnd, now: Micros) -> OpenUsageRecord {
    let rate = end.rate.clone();
    let reason = END_REASONS.iter().position(|known| *known == end.reason);
    OpenUsageRecord {
        key: Some(attempt_key(&end.machine, &end.id)),
        account: owner.map(write_owner),
        machine_type: rate.machine_type,
        zone: rate.zone,
        spot: rate.spot,
        price: rate.hourly_price,
        stage_times: end.reading.stage_times.0.to_vec(),
        begin_estimated: end.reading.is_estimate,
        saved: end.saved,
        end_reason: reason.unwrap_or(0) as u32 + 1,
        end_age: now.saturating_sub(end.at),
        time_uncertainty: end.reading.max_error,
        ..OpenUsageRecord::default()
    }
}

/// Returns the key that identifies an attempt in messages between controllers.
pub(super) fn attempt_key(machine: &MachineId, attempt: &AttemptId) -> AttemptKey {
    let AttemptId { task, number } = attempt;
    AttemptKey {
        machine: machine.to_string(),
        job: task.job.to_string(),
        task: task.index,
        attempt: *number,
    }
}

/// Parses the machine and the attempt from a peer's key.
pub(super) fn read_attempt_key(key: &AttemptKey) -> (MachineId, AttemptId) {
    let task = TaskId {
        job: key.job.as_str().into(),
        index: key.task,
    };
    let number = key.attempt;
    (key.machine.as_str().into(), AttemptId { task, number })
}

fn write_owner(owner: &JobAccount) -> UsageAccount {
    let Resources {
        cpu,
        gpu,
        memory: mem,
    } = owner.resources;
    UsageAccount {
        team: owner.team.clone(),
        class: owner.class.clone(),
        cpu,
        gpu,
        mem,
        is_service: owner.is_service,
    }
}

pub(super) fn read_owner(owner: &UsageAccount) -> JobAccount {
    let UsageAccount { cpu, gpu, mem, .. } = *owner;
    JobAccount {
        team: owner.team.clone(),
        class: owner.class.clone(),
        resources: Resources {
            cpu,
            gpu,
            memory: mem,
        },
        is_service: owner.is_service,
    }
}

/// Parses the reason of an attempt's end from a peer's record. `None`: the attempt has not ended.
pub(super) fn read_end_reason(record: &OpenUsageRecord) -> Option<Reason> {
    let index = (record.end_reason as usize).checked_sub(1)?;
    END_REASONS.get(index).copied()
}

/// Parses the stage times of a peer's record. `None`: the times are malformed.
pub(super) fn read_usage(record: &OpenUsageRecord) -> Option<MeteredUsage> {
    let stage_times: [Micros; 6] = record.stage_times.clone().try_into().ok()?;
    Some(MeteredUsage {
        stage_times: StageTimes(stage_times),
        max_error: record.time_uncertainty,
        is_estimate: record.begin_estimated,
    })
}

/// Reads the machine's price from a peer's record.
pub(super) fn read_rate(record: &OpenUsageRecord) -> MachineRate {
    MachineRate {
        machine_type: record.machine_type.clone(),
        zone: record.zone.clone(),
        spot: record.spot,
        hourly_price: record.price,
    }
}
