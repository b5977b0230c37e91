//! How the cluster is divided among shards: what teams may use in each, which machines are provisioned for which, and which
//! jobs move to another shard before any of their tasks has been launched.
//!
//! A team's limit is never given out twice. What a shard other than 0 may use is stored under a key of its own; shard 0 has
//! what is left. A shard's own owner lowers its quota, and keeps to that from before it is stored; only the owner of shard 0
//! raises it, after it has taken the same from itself. So at any moment, whatever is late or lost, the shards' quotas add up
//! to the limit at most.

use std::collections::BTreeMap;

use crate::model::{JobId, Micros, Resources, SECOND, Shape};
use crate::state::cluster::Cluster;
use crate::state::fleet::{CloudCall, Offer};
use crate::state::job::Job;
use crate::state::shard_load::{ShardLoad, TeamLoad};

/// What a shard keeps beyond what it uses and waits for, as a part of that.
const HEADROOM_FRACTION: f64 = 0.1;

/// A quota is lowered only if that returns more than one part in so many: each change costs one of the state service's.
const MIN_RETURNED_PART: i64 = 8;

/// A job that nothing has been launched of looks for another shard after this time and a heartbeat's interval.
const MIN_WAIT_BEFORE_MOVE: u64 = 2 * SECOND;

/// Jobs that move to other shards at once.
const MAX_JOBS_MOVED_AT_ONCE: usize = 4;

/// What teams may use in each shard other than 0: CPU and GPU, in the settings' order of teams.
pub type ShardQuotas = BTreeMap<u32, Vec<Resources>>;

fn without_negatives(resources: Resources) -> Resources {
    Resources {
        cpu: resources.cpu.max(0),
        gpu: resources.gpu.max(0),
        memory: 0,
    }
}

/// What shard 0 may use: what is left of the whole limits.
pub fn remaining_quota(limits: &[Resources], quotas: &ShardQuotas) -> Vec<Resources> {
    let mut remaining = limits.to_vec();
    for quota in quotas.values() {
        for (remaining, used) in remaining.iter_mut().zip(quota) {
            *remaining -= *used;
        }
    }
    remaining
}

/// What the quotas of other shards are raised to, if they lack something and shard 0 has it to give. `own`: the load of each team
/// in shard 0; `loads`: that in other shards.
pub fn raised_quotas(
    limits: &[Resources],
    quotas: &ShardQuotas,
    own: &[TeamLoad],
    loads: &BTreeMap<u32, Vec<TeamLoad>>,
) -> ShardQuotas {
    let mut raised = ShardQuotas::new();
    let remaining = remaining_quota(limits, quotas).into_iter();
    for (team, (mut free, own)) in remaining.zip(own).enumerate() {
        free -= own.used;
        let shortages: Vec<(u32, Resources)> = loads
            .iter()
            .map(|(shard, teams)| (*shard, shortage(quotas.get(shard), teams, team)))
            .collect();
        let mut total = without_negatives(own.waiting);
        for (_, shortage) in &shortages {
            total += *shortage;
        }
        for (shard, shortage) in shortages {
            let more = Resources {
                cpu: proportional_share(free.cpu, shortage.cpu, total.cpu),
                gpu: proportional_share(free.gpu, shortage.gpu, total.gpu),
                memory: 0,
            };
            if more == Resources::default() {
                continue;
            }
            let quota = raised.entry(shard).or_insert_with(|| {
                let present = quotas.get(&shard).cloned();
                present.unwrap_or_else(|| vec![Resources::default(); limits.len()])
            });
            quota[team] += more;
        }
    }
    raised
}

/// What a team needs in a shard beyond its quota there.
fn shortage(quota: Option<&Vec<Resources>>, loads: &[TeamLoad], team: usize) -> Resources {
    let quota = quota.and_then(|quota| quota.get(team));
    let load = loads.get(team).copied().unwrap_or_default();
    let mut needed = load.used;
    needed += load.waiting;
    without_negatives(needed - quota.copied().unwrap_or_default())
}

/// The share of what is free that goes to one shortage of a total.
fn proportional_share(free: i64, shortage: i64, total: i64) -> i64 {
    if total == 0 {
        0
    } else if total <= free {
        shortage
    } else {
        (shortage as f64 / total as f64 * free.max(0) as f64) as i64
    }
}

/// What a shard's own quota is lowered to, if it has more than it uses and waits for.
pub fn lowered_quota(quota: &[Resources], loads: &[TeamLoad]) -> Option<Vec<Resources>> {
    let lower = |quota: i64, used: i64, waiting: i64| {
        let needed = used + waiting;
        let kept = needed + (needed as f64 * HEADROOM_FRACTION) as i64;
        if quota > kept + quota / MIN_RETURNED_PART {
            kept
        } else {
            quota
        }
    };
    let lowered: Vec<Resources> = quota
        .iter()
        .zip(loads)
        .map(|(quota, load)| Resources {
            cpu: lower(quota.cpu, load.used.cpu, load.waiting.cpu),
            gpu: lower(quota.gpu, load.used.gpu, load.waiting.gpu),
            memory: 0,
        })
        .collect();
    (lowered != quota).then_some(lowered)
}

impl Cluster {
    /// The load of this shard, as its owner tells it.
    pub fn shard_load(&self) -> ShardLoad {
        let machines = self.machines.values();
        let schedulable = machines
            .filter(|machine| machine.is_schedulable(self.now, self.settings.heartbeat_interval));
        let mut load = ShardLoad {
            shard: self.shard.id,
            term: self.term,
            teams: self.team_loads(),
            free_cpu: schedulable.map(|machine| machine.free().cpu.max(0)).sum(),
            machine_demand: self
                .machine_demand
                .iter()
                .map(|(offer, count)| (offer.clone(), *count))
                .collect(),
            ..ShardLoad::default()
        };
        for job in self.jobs.values().filter(|job| !job.cancelled) {
            let cpu = job.spec.resources.cpu;
            load.backlog_cpu += cpu * i64::from(job.spec.tasks - job.tasks.done.len());
            load.waiting_cpu += cpu * job.placeable_count() as i64;
        }
        load
    }

    /// The load of each team in this shard: no more than it could start soon, however long its queue.
    fn team_loads(&self) -> Vec<TeamLoad> {
        let unconfirmed = &self.takeover.unconfirmed.possible_usage;
        let usage = self.quota.team_usage.iter().zip(unconfirmed);
        let mut loads: Vec<TeamLoad> = usage
            .map(|(used, unconfirmed)| {
                let mut held = *used;
                held += *unconfirmed;
                TeamLoad {
                    used: Resources { memory: 0, ..held },
                    waiting: Resources::default(),
                }
            })
            .collect();
        for job in self.jobs.values().filter(|job| !job.cancelled) {
            let waiting = job.placeable_count() as i64;
            if let Some(team) = job.team.filter(|_| waiting > 0) {
                loads[team].waiting += Resources {
                    memory: 0,
                    ..job.spec.resources.scaled_by(waiting)
                };
            }
        }
        for (team, load) in self.quota.cluster_teams.iter().zip(&mut loads) {
            let TeamLoad { used, waiting } = load;
            waiting.cpu = waiting.cpu.min((team.limit.cpu - used.cpu).max(0));
            waiting.gpu = waiting.gpu.min((team.limit.gpu - used.gpu).max(0));
        }
        loads
    }

    /// Asks the cloud for what other shards' plans lack, each one's in turn.
    pub(crate) fn scale_out_for_shards(
        &mut self,
        now: Micros,
        calls: &mut Vec<CloudCall>,
        max_machines: u32,
    ) {
        for (shard, demand) in std::mem::take(&mut self.other_shards.demand) {
            for (offer, wanted) in demand {
                let machine_type = self.machine_types[offer.machine_type].name.clone();
                let incoming =
                    self.incoming_machine_count(shard, &machine_type, &offer.zone, offer.spot);
                let count = wanted.saturating_sub(incoming).min(max_machines);
                if count == 0 || self.is_offer_blocked(&offer, now) {
                    continue;
                }
                if !self.fleet.budget.try_take(0.0) {
                    return;
                }
                let call = self.begin_provisioning(offer, count);
                if let CloudCall::Provision { name, .. } = &call {
                    let provisioning = &mut self.transfers.provisioning_for_shard;
                    provisioning.insert(name.clone(), shard);
                }
                calls.push(call);
            }
        }
    }

    /// Offers that the cloud has refused lately, and for how long they are left alone.
    pub fn refused_offers(&self) -> Vec<(Offer, Micros)> {
        let refusals = self.fleet.refusals.iter();
        refusals
            .filter(|(_, refusal)| refusal.until > self.now)
            .map(|(offer, refusal)| (offer.clone(), refusal.until - self.now))
            .collect()
    }

    /// Moves jobs that nothing was launched of and that find no capacity here to a shard that has some; all that can move, if
    /// this shard is to be given up.
    pub fn transfer_waiting_jobs(&mut self, give_up: bool) {
        if !self.takeover.settled || self.other_shards.loads.len() < 2 {
            return;
        }
        let queued = self.passes.placement_order.iter();
        let queued = queued.filter_map(|id| self.jobs.get(id));
        let all = self.jobs.values().filter(|_| give_up);
        let mut moves: Vec<(JobId, u32)> = Vec::new();
        for job in queued.chain(all) {
            if moves.len() >= MAX_JOBS_MOVED_AT_ONCE {
                break;
            }
            if self.may_transfer(job, give_up) {
                let shard = self.roomiest_other_shard(job, give_up);
                moves.extend(shard.map(|shard| (job.id.clone(), shard)));
            }
        }
        if !moves.is_empty() {
            self.passes.needed = true;
        }
        for (id, shard) in moves {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.scheduling.home_shard = Some(shard);
            }
            // Nothing more goes there until its owner tells its load again.
            let mut loads = self.other_shards.loads.iter_mut();
            if let Some(load) = loads.find(|load| load.shard == shard) {
                load.free_cpu = 0;
            }
        }
    }

    /// Whether a job may move to another shard: nothing was launched of it and its record is not being written.
    fn may_transfer(&self, job: &Job, give_up: bool) -> bool {
        let waited = self.unix_time.saturating_sub(job.ready_at);
        let has_waited = waited > MIN_WAIT_BEFORE_MOVE + self.settings.heartbeat_interval;
        let persistence = &job.persistence;
        job.has_no_launches()
            && !job.cancelled
            && !persistence.write_in_flight
            && !persistence.version_unknown
            && (give_up || (has_waited && job.spec.shape != Shape::Gang))
    }

    /// The other shard with the most free capacity, if that is enough for a job.
    fn roomiest_other_shard(&self, job: &Job, give_up: bool) -> Option<u32> {
        let needed_cpu = job.spec.resources.cpu * job.placeable_count() as i64;
        let unclaimed = |load: &ShardLoad| load.free_cpu - load.waiting_cpu;
        let loads = self.other_shards.loads.iter();
        loads
            .filter(|load| load.shard != self.shard.id)
            .filter(|load| give_up || unclaimed(load) >= needed_cpu)
            .max_by_key(|load| (unclaimed(load), load.shard))
            .map(|load| load.shard)
    }
}

#[cfg(test)]
mod tests;
