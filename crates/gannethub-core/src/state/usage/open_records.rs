//! Records of attempts that are placed, found on a machine, or change their phase.

use std::sync::Arc;

use gannethub_ledger::meter::{Meter, Stage};

use super::ends::job_account;
use super::record::{ChargeState, MachineRate, OrphanedAttempt, UsageRecord, ledger_key};
use crate::model::{AttemptId, MachineId, Micros, SECOND};
use crate::state::attempt::AttemptPhase;
use crate::state::cluster::Cluster;
use crate::state::machine::Machine;
use crate::wire::worker::ExitReason;

/// Number of time bits in an attempt number: the term is above them, the milliseconds since [`EPOCH_MS`] are in them.
const TIME_BITS: u32 = 42;
/// First term that leaves no room for a time in an attempt number.
const TERM_LIMIT: u64 = 1 << 21;
/// The start of 2020, in milliseconds since 1970.
const EPOCH_MS: u64 = 1_577_836_800_000;
/// Time after which a worker that gets no response sends its next heartbeat.
const LOST_RESPONSE_DELAY: Micros = 5 * SECOND;

/// Estimated time since an attempt was placed, with its maximum error.
#[derive(Clone, Copy)]
struct EstimatedAge {
    age: Micros,
    uncertainty: Micros,
}

/// Returns the stage in which an attempt in this phase is metered.
fn stage(phase: AttemptPhase) -> Stage {
    match phase {
        AttemptPhase::Starting => Stage::Starting,
        AttemptPhase::Fetching => Stage::Fetching,
        AttemptPhase::Waiting => Stage::Waiting,
        AttemptPhase::Running => Stage::Running,
        AttemptPhase::Saving => Stage::Saving,
        // Time before the attempt was found is attributed to the stage that the attempt most likely was in last.
        AttemptPhase::Ended(
            ExitReason::InsufficientResources
            | ExitReason::OtherAttemptPresent
            | ExitReason::UnknownTask,
        ) => Stage::Starting,
        AttemptPhase::Ended(ExitReason::Alone) => Stage::Waiting,
        AttemptPhase::Ended(_) => Stage::Running,
    }
}

impl Cluster {
    /// Opens the record of an attempt that is placed now.
    pub(crate) fn open_usage_record(
        &mut self,
        attempt: &AttemptId,
        machine: &MachineId,
        now: Micros,
    ) -> Option<Box<UsageRecord>> {
        let ledger = self.usage_ledger.as_mut()?;
        let job = self.jobs.get(&attempt.task.job)?;
        ledger.replication.mark_changed(machine, attempt);
        Some(Box::new(UsageRecord {
            meter: Meter::new(now),
            owner: Some(Arc::new(job_account(job))),
            charge: ChargeState::Open,
            saved: false,
        }))
    }

    /// Returns the record of an attempt that is launched again on its machine: its open record, or a new one if the end
    /// was charged.
    pub(crate) fn relaunched_usage_record(
        &mut self,
        attempt: &AttemptId,
        machine: &MachineId,
        now: Micros,
    ) -> Option<Box<UsageRecord>> {
        let record = self.usage_record_mut(machine, attempt);
        match record.filter(|record| record.charge == ChargeState::Open) {
            Some(open) => Some(Box::new(open.clone())),
            None => self.open_usage_record(attempt, machine, now),
        }
    }

    /// Returns the record of an attempt that another leader started and that is found on a machine.
    pub(crate) fn adopt_usage_record(
        &mut self,
        id: &MachineId,
        attempt: &AttemptId,
        phase: AttemptPhase,
    ) -> Option<Box<UsageRecord>> {
        let ledger = self.usage_ledger.as_mut()?;
        ledger.replication.mark_changed(id, attempt);
        let orphans = ledger.orphans.get_mut(id);
        let orphan = orphans.and_then(|orphans| orphans.remove(attempt));
        let incarnation = self
            .machines
            .get(id)
            .map_or(0, |machine| machine.worker.incarnation);
        let record = match orphan.filter(|orphan| orphan.incarnation == incarnation) {
            Some(orphan) => self.resume_record(orphan, attempt, phase),
            None => self.estimate_record(id, attempt, phase)?,
        };
        Some(Box::new(record))
    }

    /// Continues the record that the previous leader sent.
    fn resume_record(
        &self,
        orphan: OrphanedAttempt,
        attempt: &AttemptId,
        phase: AttemptPhase,
    ) -> UsageRecord {
        let now = self.now;
        let mut record = orphan.record;
        let meter = &mut record.meter;
        meter.add_unobserved_time(orphan.transit_time);
        if phase.is_ended() {
            // The attempt may have ended at any time since it was last known: on average, halfway.
            let unseen = now.saturating_sub(orphan.last_known_at);
            meter.since = meter.since.max(orphan.last_known_at + unseen / 2);
            meter.begin_uncertainty += unseen + orphan.transit_time;
        } else if stage(phase) != meter.stage {
            meter.enter_stage(stage(phase), now);
        }
        let job = self.jobs.get(&attempt.task.job);
        record.owner = record
            .owner
            .or_else(|| job.map(|job| Arc::new(job_account(job))));
        record
    }

    /// Estimates the record of an attempt for which the previous leader sent no record of this incarnation. The
    /// attempt's age is derived from its number.
    fn estimate_record(
        &self,
        id: &MachineId,
        attempt: &AttemptId,
        phase: AttemptPhase,
    ) -> Option<UsageRecord> {
        let ledger = self.usage_ledger.as_ref()?;
        let job = self.jobs.get(&attempt.task.job);
        // The release time of a job that is over is not known here.
        let ready_at = job.map_or(0, |job| job.ready_at);
        let EstimatedAge {
            mut age,
            mut uncertainty,
        } = self.estimate_age(attempt.number, ready_at);
        let has_ended = phase.is_ended();
        let key = ledger_key(id, attempt);
        let inherited_ticket = ledger.inherited_tickets.get(&key);
        let was_charged = inherited_ticket.is_some() || ledger.charged_before.contains(&key);
        if was_charged && !has_ended {
            // A charged attempt has ended. An attempt that still exists is a later start under the same number, for
            // example a gang's task that was replaced on the same machine. The number is as old as the first start.
            uncertainty += age;
            age = 0;
        }
        let charge = match inherited_ticket.filter(|_| has_ended) {
            Some(ticket) => ChargeState::Charged(*ticket),
            None if has_ended && was_charged => ChargeState::ChargedBefore,
            None => ChargeState::Open,
        };
        // The delay of the launch is unknown: the launch came with the response to a heartbeat or, if that response was
        // lost, with the response to the next heartbeat.
        uncertainty += 2 * self.settings.heartbeat_interval + LOST_RESPONSE_DELAY;
        let meter = match has_ended {
            true => Meter::adopted(age / 2, uncertainty + age, stage(phase), self.now),
            false => Meter::adopted(age, uncertainty, stage(phase), self.now),
        };
        Some(UsageRecord {
            meter,
            owner: job.map(|job| Arc::new(job_account(job))),
            charge,
            saved: false,
        })
    }

    /// Estimates the time since an attempt of another term was placed. `ready_at`: time at which its job was
    /// released.
    fn estimate_age(&self, number: u64, ready_at: Micros) -> EstimatedAge {
        let setup = self.settings.ledger.as_ref();
        let max_clock_offset = setup.map_or(0, |setup| setup.settings.max_clock_offset);
        let ms = number & ((1 << TIME_BITS) - 1);
        let has_time = number >> TIME_BITS > 0;
        let placed_at = has_time.then_some((EPOCH_MS + ms) * 1000);
        // A number in another format yields an impossible time.
        let is_possible = |at: &u64| {
            *at <= self.unix_time + max_clock_offset && *at + max_clock_offset >= ready_at
        };
        match placed_at.filter(is_possible) {
            Some(at) => EstimatedAge {
                age: self.unix_time.saturating_sub(at),
                uncertainty: max_clock_offset,
            },
            None => EstimatedAge {
                age: 0,
                uncertainty: self.unix_time.saturating_sub(ready_at),
            },
        }
    }

    /// Returns the number of an attempt that is placed now, if attempt numbers contain a time.
    pub(crate) fn timestamped_attempt_number(&mut self) -> Option<u64> {
        let ms = (self.unix_time / 1000)
            .checked_sub(EPOCH_MS)
            .filter(|ms| *ms < 1 << TIME_BITS)?;
        let term = self.term;
        let ledger = self.usage_ledger.as_mut().filter(|_| term < TERM_LIMIT)?;
        // The clock may step back; an attempt must never get the number of an earlier attempt of its task.
        let number = (term << TIME_BITS) + ms;
        ledger.last_attempt_number = ledger.last_attempt_number.max(number);
        Some(ledger.last_attempt_number)
    }

    /// Records that an attempt has changed its phase. An end is not recorded here but charged.
    pub(crate) fn usage_phase_changed(
        &mut self,
        id: &MachineId,
        attempt: &AttemptId,
        phase: AttemptPhase,
        now: Micros,
    ) {
        if phase.is_ended() {
            return;
        }
        let Some(ledger) = &mut self.usage_ledger else {
            return;
        };
        ledger.replication.mark_changed(id, attempt);
        if let Some(record) = self.usage_record_mut(id, attempt) {
            record.meter.enter_stage(stage(phase), now);
        }
    }

    /// Records that an attempt has ended and is to be launched again on its machine.
    pub(crate) fn pause_usage(&mut self, id: &MachineId, attempt: &AttemptId, now: Micros) {
        let Some(ledger) = &mut self.usage_ledger else {
            return;
        };
        ledger.replication.mark_changed(id, attempt);
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let (previous, missed) = (
            machine.worker.previous_heartbeat_at,
            machine.worker.missed_heartbeats,
        );
        let attempt = machine.attempts.get_mut(attempt);
        if let Some(record) = attempt.and_then(|attempt| attempt.usage_record.as_deref_mut()) {
            record.meter.pause(now, previous, missed);
        }
    }

    /// Records that the launches pending on a machine are sent with the response to its heartbeat.
    pub(crate) fn launches_sent(&mut self, id: &MachineId, now: Micros) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let is_sent = |attempt: &&AttemptId| {
            let job = self.jobs.get(&attempt.task.job);
            job.is_some_and(|job| self.may_launch(job, attempt.task.index))
        };
        let attempts = machine.attempts.iter();
        let starting = attempts.filter(|(_, attempt)| attempt.phase == AttemptPhase::Starting);
        let sent: Vec<AttemptId> = starting
            .map(|(attempt, _)| attempt)
            .filter(is_sent)
            .cloned()
            .collect();
        if let Some(ledger) = &mut self.usage_ledger {
            let replication = &mut ledger.replication;
            let changed = &replication.changed;
            let is_unreplicated =
                |attempt: &AttemptId| changed.contains(&(id.clone(), attempt.clone()));
            replication.is_urgent |= sent.iter().any(is_unreplicated);
        }
        for attempt in &sent {
            if let Some(record) = self.usage_record_mut(id, attempt) {
                record.meter.record_launch_sent(now);
            }
        }
    }

    /// Returns the record of an attempt on a machine.
    pub(super) fn usage_record_mut(
        &mut self,
        id: &MachineId,
        attempt: &AttemptId,
    ) -> Option<&mut UsageRecord> {
        let attempts = &mut self.machines.get_mut(id)?.attempts;
        attempts.get_mut(attempt)?.usage_record.as_deref_mut()
    }

    /// Returns the price of a machine.
    pub(super) fn machine_rate(&self, machine: &Machine) -> MachineRate {
        let machine_type = machine
            .machine_type
            .and_then(|index| self.machine_types.get(index));
        let hourly_price = machine_type.map_or(0.0, |known| known.price_of(machine.spot));
        MachineRate {
            machine_type: machine_type.map_or(String::new(), |known| known.name.to_string()),
            zone: machine.zone.to_string(),
            spot: machine.spot,
            hourly_price: (hourly_price * 1e6) as u64,
        }
    }
}
