//! Index of machines by free capacity: machines in buckets of the same kind, and within a bucket by free CPU.
//!
//! A scheduling pass, a heartbeat or a provisioning plan searches for free capacity of some size, and must not
//! examine every machine to find it: the cost of decisions would then grow with the square of the cluster size. The
//! index only yields candidates. Each candidate is still checked against the machine itself, so a machine that has
//! since fallen silent costs one check and breaks nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::model::MachineId;

/// The properties that machines of equal cost in one zone share.
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
    /// All known machines of the kind, whatever their state.
    pub machines: BTreeSet<MachineId>,
    /// Machines on which tasks may be placed, by free CPU in thousandths.
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

    /// Returns the schedulable machines with at least `cpu` thousandths of a CPU free, the fullest first.
    pub fn with_cpu(&self, cpu: i64) -> impl DoubleEndedIterator<Item = &MachineId> {
        // The empty name sorts before every other name: the range begins with the first machine that has `cpu` free.
        let first_id: MachineId = Arc::from("");
        self.schedulable.range((cpu, first_id)..).map(|(_, id)| id)
    }

    /// Whether the bucket has a schedulable machine.
    pub fn has_schedulable(&self) -> bool {
        !self.schedulable.is_empty()
    }
}

/// The buckets of all kinds that exist or have existed. A machine keeps the index of its bucket, so buckets are never
/// removed.
#[derive(Debug, Default)]
pub struct CapacityIndex {
    /// A machine's bucket is at the index that [`CapacityIndex::insert`] returned.
    pub buckets: Vec<CapacityBucket>,
    bucket_numbers: BTreeMap<MachineKind, usize>,
}

impl CapacityIndex {
    /// Adds a machine that is not schedulable yet. Returns the index of its bucket.
    pub fn insert(&mut self, kind: MachineKind, id: MachineId) -> usize {
        let next = self.buckets.len();
        let bucket = *self.bucket_numbers.entry(kind.clone()).or_insert(next);
        if bucket == next {
            self.buckets.push(CapacityBucket::new(kind));
        }
        self.buckets[bucket].machines.insert(id);
        bucket
    }

    /// Removes a machine that was last indexed with `indexed_cpu` thousandths of a CPU free.
    pub fn remove(&mut self, bucket: usize, id: &MachineId, indexed_cpu: Option<i64>) {
        self.update(bucket, id, indexed_cpu, None);
        self.buckets[bucket].machines.remove(id);
    }

    /// Updates the free CPU of a machine from `old` to `new`, in thousandths. `None`: the machine is not schedulable.
    pub fn update(&mut self, bucket: usize, id: &MachineId, old: Option<i64>, new: Option<i64>) {
        let schedulable = &mut self.buckets[bucket].schedulable;
        if let Some(cpu) = old {
            schedulable.remove(&(cpu, id.clone()));
        }
        if let Some(cpu) = new {
            schedulable.insert((cpu, id.clone()));
        }
    }

    /// Returns the number of known machines of a kind.
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
