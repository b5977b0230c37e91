//! What holders of blocks tell each other, and where a new job goes by that.

use super::fleet::Offer;
use crate::model::{JobSpec, Resources, Shape};
use crate::wire::store::MoveRecord;

/// A new machine on its way to another block.
#[derive(Clone, Debug)]
pub struct Giving {
    pub to: u32,
    pub record: MoveRecord,
    /// The transaction that says so is under way.
    pub writing: bool,
}

/// How a block stands, as its holder last told.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    pub block: u32,
    pub term: u64,
    /// Its holder, as a sibling's number; `None`: this controller.
    pub holder: Option<usize>,
    /// CPU that its unfinished jobs ask for, in thousandths; the part of it that waits for a machine; and what is
    /// free on its machines.
    pub backlog: i64,
    pub waiting: i64,
    pub free: i64,
    /// What each team may have on its machines now, and what it waits for, in the settings' order of teams.
    pub teams: Vec<(Resources, Resources)>,
    /// Machines that its plan asks for.
    pub wants: Vec<(Offer, u32)>,
}

/// The block, of those below `most`, that a new job goes to: the one with the least work before it, which from then
/// on has more. Gangs all go to block 0: what they need at once, several blocks would each have a part of. So does
/// everything as long as block 0's holder is not known to share out machines and limits.
pub fn home(loads: &mut [Load], most: u32, spec: &JobSpec) -> u32 {
    let work = spec.need.cpu.saturating_mul(i64::from(spec.tasks));
    if loads.iter().all(|l| l.block != 0) {
        return 0;
    }
    if spec.shape == Shape::Gang {
        loads
            .iter_mut()
            .filter(|l| l.block == 0)
            .for_each(|l| l.backlog += work);
        return 0;
    }
    let open = loads.iter_mut().filter(|l| l.block < most);
    let Some(load) = open.min_by_key(|l| (l.backlog, l.block)) else {
        return 0;
    };
    load.backlog += work;
    load.block
}
