//! What a new leader does not know yet of the machines that it took over.

use super::capacity_index::MachineKind;
use crate::model::{Micros, Resources};

/// How far the takeover from an earlier term has come.
#[derive(Debug)]
pub struct Takeover {
    /// When this leader took over, on this process's clock. Leases of recorded machines are counted from here.
    pub(crate) at: Micros,
    /// Every machine of the shard has confirmed this term or its lease has run out, so nothing is unconfirmed any
    /// more.
    pub settled: bool,
    /// What may be on the machines of which neither is true yet.
    pub unconfirmed: Unconfirmed,
}

/// What machines may hold that have not confirmed this term and whose leases have not run out.
///
/// It is reviewed by `scheduling::failover` as machines confirm or lose their leases.
#[derive(Debug, Default)]
pub struct Unconfirmed {
    /// How many machines of each kind may still hold something. A kind that is not known may hold anything.
    pub silent_machines: Vec<(Option<MachineKind>, i64)>,
    /// The most that each team's tasks may use on them, which counts against the team's limit.
    pub possible_usage: Vec<Resources>,
    /// Records are being read: what they show was there before this term.
    pub loading: bool,
}

impl Takeover {
    /// A takeover that begins now, while the records are yet to be read.
    pub fn new(now: Micros, team_count: usize) -> Takeover {
        Takeover {
            at: now,
            settled: false,
            unconfirmed: Unconfirmed {
                silent_machines: Vec::new(),
                possible_usage: vec![Resources::default(); team_count],
                loading: true,
            },
        }
    }
}
