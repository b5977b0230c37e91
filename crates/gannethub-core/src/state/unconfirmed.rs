//! Unconfirmed machines: machines that a new leader took over and whose tasks it does not know yet.

use super::capacity_index::MachineKind;
use crate::model::{Micros, Resources};

/// Progress of the takeover from an earlier term.
#[derive(Debug)]
pub struct Takeover {
    /// Time at which this leader took over, on this process's clock. Leases of recorded machines are counted from
    /// this time.
    pub(crate) started_at: Micros,
    /// Whether every machine of the shard has confirmed this term or its lease has expired, so nothing is unconfirmed
    /// any more.
    pub is_settled: bool,
    /// Possible contents of the machines that have not confirmed this term and whose leases have not expired.
    pub unconfirmed: Unconfirmed,
}

/// Possible contents of the machines that have not confirmed this term and whose leases have not expired.
///
/// `scheduling::failover` updates this state as machines confirm the term or lose their leases.
#[derive(Debug, Default)]
pub struct Unconfirmed {
    /// Number of machines of each kind that may still hold tasks. `None`: machines of unknown type, which may hold any
    /// task.
    pub machine_counts: Vec<(Option<MachineKind>, i64)>,
    /// Maximum usage of each team's tasks on these machines, which counts against the team's limit.
    pub possible_usage: Vec<Resources>,
    /// Whether records are being read. The tasks in these records existed before this term.
    pub loading: bool,
}

impl Takeover {
    /// Returns a takeover that begins at `now`, while the records are still to be read.
    pub fn new(now: Micros, team_count: usize) -> Takeover {
        Takeover {
            started_at: now,
            is_settled: false,
            unconfirmed: Unconfirmed {
                machine_counts: Vec::new(),
                possible_usage: vec![Resources::default(); team_count],
                loading: true,
            },
        }
    }
}
