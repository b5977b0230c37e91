//! Index of machines by free capacity: machines in buckets of like kind, and within a bucket by their free CPU.
//!
//! A pass, a heartbeat or a plan asks for free capacity of some size, and must not look at every machine to find
//! it: the cost of deciding would then grow with the square of the cluster. The index only says where to look.
//! What is found there is still checked against the machine itself, so a machine that has fallen silent since then
//! costs one look and breaks nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::model::MachineId;

/// What machines that cost the same and are in one zone have in common.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct MachineKind {
    /// Index into the list of machine types.
    pub machine_type: usize,
    pub zone: Arc<str>,
    pub spot: bool,
}

/// The machines of one kind.
#[derive(Debug)]
pub struct CapacityBucket {
    pub kind: MachineKind,
    /// Every machine known, whatever its state.
    pub machines: BTreeSet<MachineId>,
    /// Those that tasks may be placed on, by free CPU in thousandths.
    pub(crate) schedulable: BTreeSet<(i64, MachineId)>,
}

impl CapacityBucket {
    fn new(kind: MachineKind) -> CapacityBucket {
        CapacityBucket {
            kind,
            machines: BTreeSet::new(),
            schedulable: BTreeSet::new(),
        }
    }

    /// Machines that may be placed on and have at least `cpu` free, the fullest first.
    pub fn with_cpu(&self, cpu: i64) -> impl DoubleEndedIterator<Item = &MachineId> {
        // The empty name comes before every other: the range begins with the first machine that has so much.
        let first_id: MachineId = Arc::from("");
        self.schedulable.range((cpu, first_id)..).map(|(_, id)| id)
    }

    /// Whether any of its machines may be placed on.
    pub fn has_schedulable(&self) -> bool {
        !self.schedulable.is_empty()
    }
}

/// The buckets of all kinds there are or have been. A machine keeps the index of its bucket, so buckets are never
/// removed.
#[derive(Debug, Default)]
pub struct CapacityIndex {
    /// A machine's bucket is at the index that [`CapacityIndex::insert`] returned.
    pub buckets: Vec<CapacityBucket>,
    bucket_numbers: BTreeMap<MachineKind, usize>,
}

impl CapacityIndex {
    /// Adds a machine that may not be placed on yet. Returns the index of its bucket.
    pub fn insert(&mut self, kind: MachineKind, id: MachineId) -> usize {
        let next = self.buckets.len();
        let bucket = *self.bucket_numbers.entry(kind.clone()).or_insert(next);
        if bucket == next {
            self.buckets.push(CapacityBucket::new(kind));
        }
        self.buckets[bucket].machines.insert(id);
        bucket
    }

    /// Removes a machine that was last indexed with this much free CPU.
    pub fn remove(&mut self, bucket: usize, id: &MachineId, indexed_cpu: Option<i64>) {
        self.update(bucket, id, indexed_cpu, None);
        self.buckets[bucket].machines.remove(id);
    }

    /// The free CPU of a machine has changed, or whether it may be placed on, for which `None` stands.
    pub fn update(&mut self, bucket: usize, id: &MachineId, old: Option<i64>, new: Option<i64>) {
        let schedulable = &mut self.buckets[bucket].schedulable;
        if let Some(cpu) = old {
            schedulable.remove(&(cpu, id.clone()));
        }
        if let Some(cpu) = new {
            schedulable.insert((cpu, id.clone()));
        }
    }

    /// How many machines of a kind are known.
    pub fn machine_count(&self, machine_type: usize, zone: &str, spot: bool) -> usize {
        let kind = MachineKind {
            machine_type,
            zone: zone.into(),
            spot,
        };
        match self.bucket_numbers.get(&kind) {
            Some(bucket) => self.buckets[*bucket].machines.len(),
            None => 0,
        }
    }
}
