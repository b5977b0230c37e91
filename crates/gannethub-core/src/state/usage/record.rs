//! Usage records: the charged usage of one attempt, from its placement to its end.

use std::sync::Arc;

use gannethub_ledger::book::ChargedAttempt;
use gannethub_ledger::line::{Reason, ResourceAmounts};
use gannethub_ledger::meter::{Meter, MeteredUsage};

use crate::model::{AttemptId, MachineId, Micros, Resources};
use crate::wire::store::JobAccount;

/// The charged usage of one attempt.
#[derive(Debug, Clone)]
pub struct UsageRecord {
    /// Time that the attempt has spent in each stage.
    pub meter: Meter,
    /// The owner that is charged. `None` for an attempt of a job that is over, if this leader did not start the
    /// attempt.
    pub(super) owner: Option<Arc<JobAccount>>,
    pub(super) charge: ChargeState,
    /// Whether the attempt's worker reports that the attempt's progress was saved.
    pub saved: bool,
}

/// State of an attempt's charge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChargeState {
    /// The attempt has not ended, or its end has not been observed.
    Open,
    /// The attempt has ended, and its owner is not known yet.
    OwnerUnknown,
    /// The attempt is charged under this ticket of the ledger, which tells whether the charge is durable.
    Charged(u64),
    /// An earlier leader has charged the attempt.
    ChargedBefore,
}

/// The price of a machine, with the properties that determine the price.
#[derive(Debug, Clone)]
pub(super) struct MachineRate {
    /// Name of the machine type; empty if the type is unknown.
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// Price per hour, in millionths.
    pub hourly_price: u64,
}

/// The end of an attempt.
#[derive(Debug, Clone)]
pub(super) struct AttemptEnd {
    pub id: AttemptId,
    pub machine: MachineId,
    pub rate: MachineRate,
    pub reading: MeteredUsage,
    /// Time at which the attempt's capacity was freed, on this process's clock.
    pub at: Micros,
    /// Time of day at which the attempt's capacity was freed, in microseconds since 1970.
    pub unix_time: Micros,
    pub reason: Reason,
    pub saved: bool,
}

/// An attempt that an earlier leader reported and that no worker has reported since.
#[derive(Debug)]
pub(super) struct OrphanedAttempt {
    pub record: UsageRecord,
    pub rate: MachineRate,
    /// The worker incarnation in which the attempt was started.
    pub incarnation: u64,
    /// Time until which the attempt is known to have existed, on this process's clock.
    pub last_known_at: Micros,
    /// Time that the message with the attempt's record spent in transit.
    pub transit_time: Micros,
}

/// A team's share of all usage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageShare {
    /// The team's part of all usage.
    pub of_total: f64,
    /// The team's part of all usage, as a multiple of the part that the team is due.
    pub ratio_to_due_share: f64,
}

impl Default for UsageShare {
    /// Returns the share of a team that has used nothing and has exactly its due part.
    fn default() -> UsageShare {
        UsageShare {
            of_total: 0.0,
            ratio_to_due_share: 1.0,
        }
    }
}

/// Converts resources to the ledger's representation.
pub(super) fn to_resource_amounts(resources: Resources) -> ResourceAmounts {
    let amount = |milli: i64| u64::try_from(milli).unwrap_or(0);
    ResourceAmounts(
        amount(resources.cpu),
        amount(resources.gpu),
        amount(resources.memory),
    )
}

/// Returns the key that identifies an attempt in the ledger.
pub(super) fn ledger_key(machine: &MachineId, attempt: &AttemptId) -> ChargedAttempt {
    let AttemptId { task, number } = attempt;
    (
        task.job.to_string(),
        task.index,
        *number,
        machine.to_string(),
    )
}
