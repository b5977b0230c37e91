//! What holders of blocks tell each other, and where a new job goes by that.

use super::fleet::Offer;
use crate::model::{JobSpec, Resources, Shape};
use crate::wire::store::MachineTransferRecord;

/// A new machine on its way to another block.
#[derive(Clone, Debug)]
pub struct OutgoingTransfer {
    pub to_shard: u32,
    pub record: MachineTransferRecord,
    /// The transaction that says so is under way.
    pub write_in_flight: bool,
}

/// How a block stands, as its holder last told.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardLoad {
    pub shard: u32,
    pub term: u64,
    /// Its holder, as a sibling's number; `None`: this controller.
    pub owner: Option<usize>,
    /// CPU that its unfinished jobs ask for, in thousandths; the part of it that waits for a machine; and what is
    /// free on its machines.
    pub backlog_cpu: i64,
    pub waiting_cpu: i64,
    pub free_cpu: i64,
    /// What each team may have on its machines now, and what it waits for, in the settings' order of teams.
    pub teams: Vec<(Resources, Resources)>,
    /// Machines that its plan asks for.
    pub machine_demand: Vec<(Offer, u32)>,
}

/// The block, of those below `most`, that a new job goes to: the one with the least work before it, which from then
/// on has more. Gangs all go to block 0: what they need at once, several blocks would each have a part of. So does
/// everything as long as block 0's holder is not known to share out machines and limits.
pub fn choose_home_shard(loads: &mut [ShardLoad], most: u32, spec: &JobSpec) -> u32 {
    let work = spec.need.cpu.saturating_mul(i64::from(spec.tasks));
    if loads.iter().all(|l| l.shard != 0) {
        return 0;
    }
    if spec.shape == Shape::Gang {
        loads
            .iter_mut()
            .filter(|l| l.shard == 0)
            .for_each(|l| l.backlog_cpu += work);
        return 0;
    }
    let open = loads.iter_mut().filter(|l| l.shard < most);
    let Some(load) = open.min_by_key(|l| (l.backlog_cpu, l.shard)) else {
        return 0;
    };
    load.backlog_cpu += work;
    load.shard
}
