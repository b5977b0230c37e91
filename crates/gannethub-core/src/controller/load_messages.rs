//! Encoding of shard loads and cloud offers in messages between peers. Messages identify machine types by name,
//! because two controllers may hold the machine types in a different order.

use crate::model::{MachineType, Resources};
use crate::state::fleet::Offer;
use crate::state::shard_load::{ShardLoad, TeamLoad};
use crate::wire::peer::{OfferAmount, ShardStatus, TeamStatus};

/// Encodes an offer and its amount.
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

/// Decodes a peer's offer, if its machine type is known here.
pub(super) fn decode_offer(machine_types: &[MachineType], reported: &OfferAmount) -> Option<Offer> {
    let machine_type = machine_types
        .iter()
        .position(|machine_type| *machine_type.name == *reported.machine_type)?;
    Some(Offer {
        machine_type,
        zone: reported.zone.clone(),
        spot: reported.spot,
    })
}

/// Encodes the load of a shard that this controller owns, without the version up to which changes are applied.
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
        applied_version: 0,
    }
}

/// Decodes the load of a shard that the peer with this index owns.
pub(super) fn decode_shard_load(
    machine_types: &[MachineType],
    reported: &ShardStatus,
    peer: usize,
) -> ShardLoad {
    let teams = reported.teams.iter().map(|team| TeamLoad {
        used: amount(team.used_cpu, team.used_gpu),
        waiting: amount(team.waiting_cpu, team.waiting_gpu),
    });
    let demand = reported.machine_demand.iter().filter_map(|offer| {
        let count = u32::try_from(offer.amount).ok();
        decode_offer(machine_types, offer).zip(count)
    });
    ShardLoad {
        shard: reported.shard,
        term: reported.term,
        owner: Some(peer),
        backlog_cpu: reported.backlog_cpu,
        waiting_cpu: reported.waiting_cpu,
        free_cpu: reported.free_cpu,
        teams: teams.collect(),
        machine_demand: demand.collect(),
    }
}

/// Returns CPU and GPU amounts as a peer reported them, with negative values replaced by 0.
fn amount(cpu: i64, gpu: i64) -> Resources {
    Resources {
        cpu: cpu.max(0),
        gpu: gpu.max(0),
        memory: 0,
    }
}
