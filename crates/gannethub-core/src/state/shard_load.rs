//! Load reports that shard owners exchange, and the choice of a new job's target shard by these reports.

use super::fleet::Offer;
use crate::model::{JobSpec, Resources, Shape};

/// The load of a shard, as its owner last reported it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardLoad {
    pub shard: u32,
    pub term: u64,
    /// Index of the peer that owns the shard. `None`: this controller owns it.
    pub owner: Option<usize>,
    /// CPU requested by the shard's unfinished jobs, in thousandths.
    pub backlog_cpu: i64,
    /// Part of the backlog that waits for a machine, in thousandths of a CPU.
    pub waiting_cpu: i64,
    /// Free CPU on the shard's machines, in thousandths.
    pub free_cpu: i64,
    /// Load of each team, in the order of teams in the settings.
    pub teams: Vec<TeamLoad>,
    /// Machines that the shard's provisioning plan requests.
    pub machine_demand: Vec<(Offer, u32)>,
}

/// CPU and GPU of a team in a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamLoad {
    /// Resources that the team may be holding on the shard's machines now.
    pub used: Resources,
    /// Resources requested by the team's tasks that wait for a machine, as far as the team's limit allows.
    pub waiting: Resources,
}

/// Chooses the target shard of a new job among the shards below `shard_count`: the shard with the smallest backlog,
/// which then grows by the work of the job.
///
/// All gangs go to shard 0, because a gang needs its resources at once and each of several shards would have only a
/// part of them. All other jobs also go to shard 0 as long as the owner of shard 0 is not known to distribute
/// machines and limits.
pub fn choose_target_shard(loads: &mut [ShardLoad], shard_count: u32, spec: &JobSpec) -> u32 {
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
