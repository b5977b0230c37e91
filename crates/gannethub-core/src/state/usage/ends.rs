//! Ended attempts: they are charged to their owners, which may have to be looked up first.

use std::sync::Arc;

use gannethub_ledger::book::Book;
use gannethub_ledger::line::{AttemptCharge, ChargeGroup, Reason, Usefulness};
use gannethub_ledger::meter::EndObservation;

use super::record::{AttemptEnd, ChargeState, to_resource_amounts};
use crate::model::{AttemptId, JobId, MachineId, Micros, SECOND, Shape};
use crate::state::attempt::{Attempt, AttemptPhase};
use crate::state::cluster::Cluster;
use crate::state::job::Job;
use crate::state::machine::Machine;
use crate::wire::store::JobAccount;
use crate::wire::worker::ExitReason;

/// Maximum number of ended attempts kept in a worker's heartbeat, which has to stay below 64 KiB.
const MAX_ENDED_ATTEMPTS: usize = 200;
/// Time after which an owner that could not be read is queried again.
const OWNER_QUERY_INTERVAL: Micros = 3 * SECOND;
/// Maximum number of owners queried at a time.
const MAX_OWNER_QUERIES: usize = 5;

/// Returns the account that a job's attempts are charged to.
pub(crate) fn job_account(job: &Job) -> JobAccount {
    JobAccount {
        team: job.spec.team.clone(),
        class: job.spec.class.clone(),
        resources: job.spec.resources,
        is_service: job.spec.shape == Shape::Service,
    }
}

/// Converts the exit reason that a worker reports to the reason in the ledger.
pub fn end_reason(exit_reason: ExitReason) -> Reason {
    match exit_reason {
        ExitReason::Done => Reason::Done,
        ExitReason::Stopped => Reason::Stopped,
        ExitReason::PeersGone => Reason::PeersGone,
        ExitReason::Alone => Reason::Alone,
        ExitReason::Error => Reason::Error,
        ExitReason::InsufficientResources => Reason::NoRoom,
        ExitReason::OtherAttemptPresent => Reason::Busy,
        ExitReason::UnknownTask => Reason::Unknown,
        ExitReason::Other => Reason::Other,
    }
}

impl Cluster {
    /// Charges an attempt that has released its capacity, unless it was charged already.
    pub(crate) fn charge_attempt(
        &mut self,
        id: &MachineId,
        attempt: &AttemptId,
        reason: Reason,
        now: Micros,
    ) {
        let Some(end) = self.attempt_end(id, attempt, reason, now) else {
            return;
        };
        let record = self.usage_record_mut(id, attempt);
        let owner = record.and_then(|record| record.owner.clone());
        let charge = match self.charge_end(owner, end, now) {
            Some(ticket) => ChargeState::Charged(ticket),
            None => ChargeState::OwnerUnknown,
        };
        if let Some(record) = self.usage_record_mut(id, attempt) {
            record.charge = charge;
        }
    }

    /// Returns the end of an attempt whose charge is still open.
    fn attempt_end(
        &self,
        id: &MachineId,
        attempt: &AttemptId,
        reason: Reason,
        now: Micros,
    ) -> Option<AttemptEnd> {
        self.usage_ledger.as_ref()?;
        let machine = self.machines.get(id)?;
        let record = machine.attempts.get(attempt)?.usage_record.as_ref()?;
        if record.charge != ChargeState::Open {
            return None;
        }
        let observation = self.end_observation(machine, reason, now);
        Some(AttemptEnd {
            id: attempt.clone(),
            machine: id.clone(),
            rate: self.machine_rate(machine),
            reading: record.meter.end(now, observation),
            at: now,
            unix_time: self.time_of_day(now),
            reason,
            saved: record.saved,
        })
    }

    /// Returns how the end of an attempt on a machine was observed.
    fn end_observation(&self, machine: &Machine, reason: Reason, now: Micros) -> EndObservation {
        let worker = &machine.worker;
        if !matches!(reason, Reason::Lease | Reason::Machine) {
            return EndObservation::Reported {
                previous_heartbeat_at: worker.previous_heartbeat_at,
                missed_heartbeats: worker.missed_heartbeats,
            };
        }
        // A heartbeat of a new incarnation shows that the lease of the previous incarnation expired, most likely one
        // lease duration after its last heartbeat. For a silent machine, the time of the end is not known.
        match worker.last_heartbeat_at {
            Some(at) if at == now => EndObservation::Silence {
                last_heartbeat_at: worker.previous_heartbeat_at,
                likely_duration: self.settings.lease_duration,
            },
            last_heartbeat_at => EndObservation::Silence {
                last_heartbeat_at,
                likely_duration: self.settings.heartbeat_interval / 2,
            },
        }
    }

    /// Charges an end to its owner, or keeps the end until the owner is known. Returns the ticket of the charge.
    pub(super) fn charge_end(
        &mut self,
        owner: Option<Arc<JobAccount>>,
        end: AttemptEnd,
        now: Micros,
    ) -> Option<u64> {
        let job_id = &end.id.task.job;
        let job = self.jobs.get(job_id);
        let owner = owner.or_else(|| job.map(|job| Arc::new(job_account(job))));
        let ledger = self.usage_ledger.as_mut()?;
        let Some(owner) = owner else {
            ledger.replication.mark_changed(&end.machine, &end.id);
            let unowned = ledger.unowned_ends.entry(job_id.clone()).or_default();
            unowned.push(end);
            return None;
        };
        let ticket = charge_to(&mut ledger.book, &owner, &end, now);
        ledger.non_durable_ends.insert(ticket, (owner, end));
        ledger.replication.ended.push(ticket);
        Some(ticket)
    }

    /// Returns jobs whose owners are to be read from the stored records of their ends.
    pub fn owners_to_read(&mut self, now: Micros) -> Vec<JobId> {
        let Some(ledger) = &mut self.usage_ledger else {
            return Vec::new();
        };
        let queries = &mut ledger.owner_queries;
        queries.retain(|_, queried_at| now < *queried_at + OWNER_QUERY_INTERVAL);
        let unqueried = ledger
            .unowned_ends
            .keys()
            .filter(|job| !queries.contains_key(*job));
        let jobs: Vec<JobId> = unqueried.take(MAX_OWNER_QUERIES).cloned().collect();
        queries.extend(jobs.iter().map(|job| (job.clone(), now)));
        jobs
    }

    /// Charges the ends of a job that is over to its stored owner. If no owner is stored, the ends are charged to an
    /// empty owner.
    pub fn apply_usage_owner(&mut self, job: &JobId, owner: Option<JobAccount>, now: Micros) {
        let Some(ledger) = &mut self.usage_ledger else {
            return;
        };
        let owner = Arc::new(owner.unwrap_or_default());
        for end in ledger.unowned_ends.remove(job).unwrap_or_default() {
            let (machine, attempt) = (end.machine.clone(), end.id.clone());
            let Some(ticket) = self.charge_end(Some(owner.clone()), end, now) else {
                continue;
            };
            if let Some(record) = self.usage_record_mut(&machine, &attempt) {
                record.charge = ChargeState::Charged(ticket);
            }
        }
    }

    /// Whether a worker may forget an ended attempt, as far as the ledger is concerned.
    pub(crate) fn is_usage_settled(&self, machine: &Machine, attempt: &AttemptId) -> bool {
        let Some(ledger) = &self.usage_ledger else {
            return true;
        };
        let record = machine
            .attempts
            .get(attempt)
            .and_then(|entry| entry.usage_record.as_ref());
        let is_durable = match record.map(|record| record.charge) {
            None | Some(ChargeState::ChargedBefore) => true,
            Some(ChargeState::Charged(ticket)) => ledger.book.is_written(ticket),
            // The record of a task that waits again goes on.
            Some(ChargeState::Open) => machine.attempts.get(attempt).is_some_and(Attempt::is_live),
            Some(ChargeState::OwnerUnknown) => false,
        };
        // A worker that still reports the end would refuse the next start of the task on this machine, and a
        // heartbeat must not exceed its size limit. In these cases the end stays only in this leader's memory.
        is_durable || is_replaced(machine, attempt) || has_too_many_ends(machine)
    }
}

/// Whether another attempt of the same task waits to be launched on the machine.
fn is_replaced(machine: &Machine, attempt: &AttemptId) -> bool {
    machine.attempts.iter().any(|(other, entry)| {
        other.task == attempt.task
            && other.number != attempt.number
            && entry.phase == AttemptPhase::Starting
    })
}

fn has_too_many_ends(machine: &Machine) -> bool {
    let ended = machine
        .attempts
        .values()
        .filter(|entry| entry.phase.is_ended());
    ended.count() > MAX_ENDED_ATTEMPTS
}

/// Charges an end. Returns the ticket of the charge.
fn charge_to(book: &mut Book, owner: &JobAccount, end: &AttemptEnd, now: Micros) -> u64 {
    let end_usefulness = match (end.reason, end.saved) {
        (Reason::Done, _) => Usefulness::Useful,
        _ if owner.is_service => Usefulness::Useful,
        (_, true) => Usefulness::Saved,
        _ => Usefulness::Lost,
    };
    let AttemptId { task, number } = &end.id;
    let rate = end.rate.clone();
    let charge_group = ChargeGroup {
        team: owner.team.clone(),
        class: owner.class.clone(),
        job: task.job.to_string(),
        resources: to_resource_amounts(owner.resources),
        machine_type: rate.machine_type,
        zone: rate.zone,
        spot: rate.spot,
        price: rate.hourly_price,
        reason: end.reason,
        usefulness: end_usefulness,
    };
    let entry = AttemptCharge {
        task: task.index,
        attempt: *number,
        machine: end.machine.to_string(),
        begin: end
            .unix_time
            .saturating_sub(end.reading.stage_times.total()),
        stage_times: end.reading.stage_times,
        max_error: end.reading.max_error,
        is_estimate: end.reading.is_estimate,
    };
    book.charge(charge_group, entry, now)
}
