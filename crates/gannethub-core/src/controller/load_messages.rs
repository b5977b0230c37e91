//! Loads of shards and offers of the cloud as peers tell them to each other. Machine types go by their names: two
//! controllers may have them in another order.

use crate::model::{MachineType, Resources};
use crate::state::fleet::Offer;
use crate::state::shard_load::{ShardLoad, TeamLoad};
use crate::wire::peer::{OfferAmount, ShardStatus, TeamStatus};

/// An offer and an amount that goes with it.
pub(super) fn encode_offer(
    machine_types: &[MachineType],
    offer: &Offer,
    amount: u64,
) -> OfferAmount {
    let machine_type = machine_types
        .get(offer.machine_type)
        .map_or(String::new(), |machine_type| machine_type.name.to_string());
    OfferAmount {
        machine_type,
        zone: offer.zone.clone(),
        spot: offer.spot,
        amount,
    }
}

/// The offer that a peer means, if its machine type is known here.
pub(super) fn decode_offer(machine_types: &[MachineType], told: &OfferAmount) -> Option<Offer> {
    let machine_type = machine_types
        .iter()
        .position(|machine_type| *machine_type.name == *told.machine_type)?;
    Some(Offer {
        machine_type,
        zone: told.zone.clone(),
        spot: told.spot,
    })
}

/// The load of a shard that this controller owns.
pub(super) fn encode_shard_load(machine_types: &[MachineType], load: &ShardLoad) -> ShardStatus {
    let teams = load.teams.iter().map(|team| TeamStatus {
        used_cpu: team.used.cpu,
        used_gpu: team.used.gpu,
        waiting_cpu: team.waiting.cpu,
        waiting_gpu: team.waiting.gpu,
    });
    let demand = load.machine_demand.iter();
    let demand = demand.map(|(offer, count)| encode_offer(machine_types, offer, u64::from(*count)));
    ShardStatus {
        shard: load.shard,
        term: load.term,
        backlog_cpu: load.backlog_cpu,
        waiting_cpu: load.waiting_cpu,
        free_cpu: load.free_cpu,
        teams: teams.collect(),
        machine_demand: demand.collect(),
    }
}

/// The load of a shard that the peer with this index owns.
pub(super) fn decode_shard_load(
    machine_types: &[MachineType],
    told: &ShardStatus,
    peer: usize,
) -> ShardLoad {
    let teams = told.teams.iter().map(|team| TeamLoad {
        used: amount(team.used_cpu, team.used_gpu),
        waiting: amount(team.waiting_cpu, team.waiting_gpu),
    });
    let demand = told.machine_demand.iter().filter_map(|told| {
        let count = u32::try_from(told.amount).ok();
        decode_offer(machine_types, told).zip(count)
    });
    ShardLoad {
        shard: told.shard,
        term: told.term,
        owner: Some(peer),
        backlog_cpu: told.backlog_cpu,
        waiting_cpu: told.waiting_cpu,
        free_cpu: told.free_cpu,
        teams: teams.collect(),
        machine_demand: demand.collect(),
    }
}

/// CPU and GPU as a peer told them, and nothing negative.
fn amount(cpu: i64, gpu: i64) -> Resources {
    Resources {
        cpu: cpu.max(0),
        gpu: gpu.max(0),
        memory: 0,
    }
}
