//! Attempts of cancelled jobs whose workers are to be told at once.

use std::collections::BTreeMap;

use super::records::MachineId;
use crate::model::{Micros, TaskId};
use crate::wire::budget::Bucket;

/// Attempts to be halted on one machine.
#[derive(Debug, Default)]
pub struct Halt {
    /// When the last of them was called off.
    pub since: Micros,
    pub attempts: Vec<(TaskId, u64)>,
    /// One of them does not run yet, and would start after its user was told.
    pub starting: bool,
}

/// All that is to be told, and how many machines may be told.
#[derive(Debug)]
pub(crate) struct Halts {
    pub due: BTreeMap<MachineId, Halt>,
    pub may: Bucket,
}

impl Halts {
    /// So many machines may be told a second.
    pub fn new(rate: f64) -> Halts {
        Halts {
            due: BTreeMap::new(),
            may: Bucket::new(rate),
        }
    }
}
