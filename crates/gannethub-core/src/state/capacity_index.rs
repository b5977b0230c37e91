//! Where there is room: machines by kind, and within a kind by the CPU that is free on them.
//!
//! A pass, a report or a plan asks for room of some size, and must not look at every machine to find
//! it: what it costs to decide would then grow with the square of the cluster. The index only says
//! where to look. What is found there is still checked against the machine itself, so a machine
//! that has fallen silent since costs a look and breaks nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::model::MachineId;

/// What machines that cost the same and lie in one zone have in common.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct MachineKind {
    /// Number in the list of machine types.
    pub machine_type: usize,
    pub zone: Arc<str>,
    pub spot: bool,
}

/// The machines of a kind.
#[derive(Debug)]
pub struct CapacityBucket {
    pub kind: MachineKind,
    /// Every machine known, whatever its state.
    pub machines: BTreeSet<MachineId>,
    /// Those that tasks may be placed on, by free CPU in thousandths.
    pub(crate) schedulable: BTreeSet<(i64, MachineId)>,
}

impl CapacityBucket {
    /// Machines that may be placed on and have at least so much CPU free, the fullest first.
    pub fn with_cpu(&self, cpu: i64) -> impl DoubleEndedIterator<Item = &MachineId> {
        let none: MachineId = Arc::from("");
        self.schedulable.range((cpu, none)..).map(|(_, id)| id)
    }

    pub fn has_schedulable(&self) -> bool {
        !self.schedulable.is_empty()
    }
}

/// All kinds there are or have been. A machine keeps the number of its shelf.
#[derive(Debug, Default)]
pub struct CapacityIndex {
    pub buckets: Vec<CapacityBucket>,
    bucket_numbers: BTreeMap<MachineKind, usize>,
}

impl CapacityIndex {
    /// A machine is known from now on. Returns the number of its shelf.
    pub fn insert(&mut self, kind: MachineKind, id: MachineId) -> usize {
        let number = *self
            .bucket_numbers
            .entry(kind.clone())
            .or_insert(self.buckets.len());
        if number == self.buckets.len() {
            self.buckets.push(CapacityBucket {
                kind,
                machines: BTreeSet::new(),
                schedulable: BTreeSet::new(),
            });
        }
        self.buckets[number].machines.insert(id);
        number
    }

    /// A machine is gone, which stood open with so much free CPU.
    pub fn remove(&mut self, number: usize, id: &MachineId, open: Option<i64>) {
        self.update(number, id, open, None);
        self.buckets[number].machines.remove(id);
    }

    /// What is free on a machine has changed, or whether it may be placed on.
    pub fn update(&mut self, number: usize, id: &MachineId, old: Option<i64>, new: Option<i64>) {
        let open = &mut self.buckets[number].schedulable;
        if let Some(cpu) = old {
            open.remove(&(cpu, id.clone()));
        }
        if let Some(cpu) = new {
            open.insert((cpu, id.clone()));
        }
    }

    /// How many machines of a kind are known.
    pub fn machine_count(&self, flavor: usize, zone: &str, spot: bool) -> usize {
        let kind = MachineKind {
            machine_type: flavor,
            zone: zone.into(),
            spot,
        };
        self.bucket_numbers
            .get(&kind)
            .map_or(0, |n| self.buckets[*n].machines.len())
    }
}
