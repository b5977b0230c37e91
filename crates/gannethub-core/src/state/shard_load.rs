//! What the owners of shards tell each other of their load, and where a new job goes by that.

use super::fleet::Offer;
use crate::model::{JobSpec, Resources, Shape};

/// The load of a shard, as its owner last told it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardLoad {
    pub shard: u32,
    pub term: u64,
    /// The shard's owner, as the index of a peer; `None`: this controller.
    pub owner: Option<usize>,
    /// CPU that the shard's unfinished jobs ask for, in thousandths.
    pub backlog_cpu: i64,
    /// The part of the backlog that waits for a machine.
    pub waiting_cpu: i64,
    /// CPU that is free on its machines.
    pub free_cpu: i64,
    /// In the settings' order of teams.
    pub teams: Vec<TeamLoad>,
    /// Machines that its provisioning plan asks for.
    pub machine_demand: Vec<(Offer, u32)>,
}

/// The CPU and GPU of a team in a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamLoad {
    /// What the team may have on the shard's machines now.
    pub used: Resources,
    /// What its tasks that wait for a machine ask for, as far as its limit allows.
    pub waiting: Resources,
}

/// The home shard of a new job, of those below `shard_count`: the one with the smallest backlog, which grows by
/// the job.
///
/// Gangs all go to shard 0: what they need at once, several shards would each have a part of. So does everything
/// as long as the owner of shard 0 is not known to distribute machines and limits.
pub fn choose_home_shard(loads: &mut [ShardLoad], shard_count: u32, spec: &JobSpec) -> u32 {
    if loads.iter().all(|load| load.shard != 0) {
        return 0;
    }
    let work = spec.resources.cpu.saturating_mul(i64::from(spec.tasks));
    if spec.shape == Shape::Gang {
        let first_shard = loads.iter_mut().filter(|load| load.shard == 0);
        first_shard.for_each(|load| load.backlog_cpu += work);
        return 0;
    }
    let candidates = loads.iter_mut().filter(|load| load.shard < shard_count);
    let Some(load) = candidates.min_by_key(|load| (load.backlog_cpu, load.shard)) else {
        return 0;
    };
    load.backlog_cpu += work;
    load.shard
}
