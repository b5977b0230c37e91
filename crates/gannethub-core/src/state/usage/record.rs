//! What is charged of one attempt, from its placement to its end.

use std::sync::Arc;

use gannethub_ledger::book::ChargedAttempt;
use gannethub_ledger::line::{Reason, ResourceAmounts};
use gannethub_ledger::meter::{Meter, MeteredUsage};

use crate::model::{AttemptId, MachineId, Micros, Resources};
use crate::wire::store::JobOwner;

/// What is charged of one attempt.
#[derive(Debug, Clone)]
pub struct UsageRecord {
    /// The time that the attempt has spent in each stage.
    pub meter: Meter,
    /// Whom it is charged to. Not known of an attempt whose job is over and that this leader did not start.
    pub(super) owner: Option<Arc<JobOwner>>,
    pub(super) charge: ChargeState,
    /// Its worker says that its progress was saved.
    pub saved: bool,
}

/// How far the charge of an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChargeState {
    /// It has not ended, or its end has not been seen.
    Open,
    /// It has ended, and whose it was is not known yet.
    OwnerUnknown,
    /// It is charged under this ticket of the ledger, which tells whether that is durable.
    Charged(u64),
    /// An earlier leader has charged it.
    ChargedBefore,
}

/// What a machine costs.
#[derive(Debug, Clone)]
pub(super) struct MachineRate {
    /// The name of its type; empty if that is unknown.
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// The price of an hour, in millionths.
    pub hourly_price: u64,
}

/// The end of an attempt.
#[derive(Debug, Clone)]
pub(super) struct AttemptEnd {
    pub id: AttemptId,
    pub machine: MachineId,
    pub rate: MachineRate,
    pub reading: MeteredUsage,
    /// When its capacity came free, on this process's clock.
    pub at: Micros,
    /// The same as a time of day.
    pub unix_time: Micros,
    pub reason: Reason,
    pub saved: bool,
}

/// An attempt that an earlier leader told of, and that no worker has shown since.
#[derive(Debug)]
pub(super) struct OrphanedAttempt {
    pub record: UsageRecord,
    pub rate: MachineRate,
    /// The worker's incarnation that it was started in.
    pub incarnation: u64,
    /// Until when it is known to have been there, on this process's clock.
    pub last_known_at: Micros,
    /// How long the message that told of it had been on its way.
    pub transit_time: Micros,
}

/// A team's share of all usage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageShare {
    /// The team's part of all usage.
    pub of_total: f64,
    /// That part, as a multiple of what the team is due.
    pub over_due: f64,
}

impl Default for UsageShare {
    /// A team that has used nothing and has what it is due.
    fn default() -> UsageShare {
        UsageShare {
            of_total: 0.0,
            over_due: 1.0,
        }
    }
}

/// Resources as the ledger writes them.
pub(super) fn to_need(resources: Resources) -> ResourceAmounts {
    let amount = |milli: i64| u64::try_from(milli).unwrap_or(0);
    ResourceAmounts(
        amount(resources.cpu),
        amount(resources.gpu),
        amount(resources.memory),
    )
}

/// The name of an attempt in the ledger.
pub(super) fn ledger_key(machine: &MachineId, attempt: &AttemptId) -> ChargedAttempt {
    let AttemptId { task, number } = attempt;
    (
        task.job.to_string(),
        task.index,
        *number,
        machine.to_string(),
    )
}
