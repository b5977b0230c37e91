//! Division of the cluster among shards: the quota of each team in each shard, the machines provisioned for each
//! shard, and the jobs that are transferred to another shard before any of their tasks has been launched.
//!
//! A team's limit is never given out twice. The quota of a shard other than 0 is stored under a key of its own; shard
//! 0 has the rest of the limit. A shard's quota is lowered only by the shard's own owner, which keeps to the lower
//! quota even before storing it. A quota is raised only by the owner of shard 0, after this owner has deducted the
//! same amount from its own quota. So at any moment the shards' quotas add up to the limit at most, whichever messages
//! are late or lost.

use std::collections::BTreeMap;

use crate::model::{JobId, Micros, Resources, SECOND, Shape};
use crate::state::cluster::Cluster;
use crate::state::fleet::{CloudCall, Offer};
use crate::state::job::Job;
use crate::state::shard_load::{ShardLoad, TeamLoad};

/// Fraction of its used and waiting resources that a shard keeps in addition to them.
const HEADROOM_FRACTION: f64 = 0.1;

/// A quota is lowered only if that returns more than one part in this many, since each change costs a write to the
/// state service.
const MIN_RETURNED_PART: i64 = 8;

/// Unless its shard is given up, a job without launches is transferred to another shard only after it has waited for
/// this time and a heartbeat interval.
const MIN_WAIT_BEFORE_TRANSFER: u64 = 2 * SECOND;

/// Maximum number of jobs that are transferred to other shards at once.
const MAX_JOBS_TRANSFERRED_AT_ONCE: usize = 4;

/// Quotas of the teams in each shard other than 0: CPU and GPU, in the order of the teams in the settings.
pub type ShardQuotas = BTreeMap<u32, Vec<Resources>>;

fn without_negatives(resources: Resources) -> Resources {
    Resources {
        cpu: resources.cpu.max(0),
        gpu: resources.gpu.max(0),
        memory: 0,
    }
}

/// Returns the quotas of shard 0: the rest of the limits.
pub fn shard_0_quotas(limits: &[Resources], quotas: &ShardQuotas) -> Vec<Resources> {
    let mut remaining = limits.to_vec();
    for quota in quotas.values() {
        for (remaining, assigned) in remaining.iter_mut().zip(quota) {
            *remaining -= *assigned;
        }
    }
    remaining
}

/// Returns the raised quotas of other shards that lack quota, as far as shard 0 has some left. `own`: the load of
/// each team in shard 0; `loads`: the loads of the teams in other shards.
pub fn raised_quotas(
    limits: &[Resources],
    quotas: &ShardQuotas,
    own: &[TeamLoad],
    loads: &BTreeMap<u32, Vec<TeamLoad>>,
) -> ShardQuotas {
    let mut raised = ShardQuotas::new();
    let remaining = shard_0_quotas(limits, quotas).into_iter();
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

/// Returns the resources that a team needs in a shard beyond its quota there.
fn shortage(quota: Option<&Vec<Resources>>, loads: &[TeamLoad], team: usize) -> Resources {
    let quota = quota.and_then(|quota| quota.get(team));
    let load = loads.get(team).copied().unwrap_or_default();
    let mut needed = load.used;
    needed += load.waiting;
    without_negatives(needed - quota.copied().unwrap_or_default())
}

/// Returns the share of the free quota that one shortage gets, out of the total of all shortages.
fn proportional_share(free: i64, shortage: i64, total: i64) -> i64 {
    if total == 0 {
        0
    } else if total <= free {
        shortage
    } else {
        (shortage as f64 / total as f64 * free.max(0) as f64) as i64
    }
}

/// Returns the lowered quota of a shard that has more than it uses and waits for.
pub fn lowered_quota(quota: &[Resources], loads: &[TeamLoad]) -> Option<Vec<Resources>> {
    let lower_amount = |quota: i64, used: i64, waiting: i64| {
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
            cpu: lower_amount(quota.cpu, load.used.cpu, load.waiting.cpu),
            gpu: lower_amount(quota.gpu, load.used.gpu, load.waiting.gpu),
            memory: 0,
        })
        .collect();
    (lowered != quota).then_some(lowered)
}

impl Cluster {
    /// Returns the load of this shard, as its owner reports it to peers.
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

    /// Returns the load of each team in this shard: the waiting part is no more than the team's limit lets it start,
    /// however long its queue.
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

    /// Requests the machines that the plans of other shards lack, for one shard after another.
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

    /// Returns the offers that the cloud has refused recently, with the remaining time for which each is not
    /// requested again.
    pub fn refused_offers(&self) -> Vec<(Offer, Micros)> {
        let refusals = self.fleet.refusals.iter();
        refusals
            .filter(|(_, refusal)| refusal.retry_at > self.now)
            .map(|(offer, refusal)| (offer.clone(), refusal.retry_at - self.now))
            .collect()
    }

    /// Transfers jobs that have no launches and find no capacity here to a shard with free capacity. If this shard is
    /// to be given up, all jobs that can be transferred are, a few at a time.
    pub fn transfer_waiting_jobs(&mut self, is_surplus: bool) {
        if !self.takeover.is_settled || self.other_shards.loads.len() < 2 {
            return;
        }
        let queued = self.passes.placement_order.iter();
        let queued = queued.filter_map(|id| self.jobs.get(id));
        let all = self.jobs.values().filter(|_| is_surplus);
        let mut transfers: Vec<(JobId, u32)> = Vec::new();
        for job in queued.chain(all) {
            if transfers.len() >= MAX_JOBS_TRANSFERRED_AT_ONCE {
                break;
            }
            if self.may_transfer(job, is_surplus) {
                let shard = self.shard_with_most_free_cpu(job, is_surplus);
                transfers.extend(shard.map(|shard| (job.id.clone(), shard)));
            }
        }
        if !transfers.is_empty() {
            self.passes.needed = true;
        }
        for (id, shard) in transfers {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.scheduling.target_shard = Some(shard);
            }
            // No further job is transferred to the shard until its owner reports its load again.
            let mut loads = self.other_shards.loads.iter_mut();
            if let Some(load) = loads.find(|load| load.shard == shard) {
                load.free_cpu = 0;
            }
        }
    }

    /// Whether a job may be transferred to another shard: none of its tasks has been launched, and its record is not
    /// being written. Unless this shard is given up, the job must also have waited long enough and must not be a gang.
    fn may_transfer(&self, job: &Job, is_surplus: bool) -> bool {
        let waited = self.unix_time.saturating_sub(job.ready_at);
        let has_waited = waited > MIN_WAIT_BEFORE_TRANSFER + self.settings.heartbeat_interval;
        let persistence = &job.persistence;
        job.has_no_launches()
            && !job.cancelled
            && !persistence.write_in_flight
            && !persistence.version_unknown
            && (is_surplus || (has_waited && job.spec.shape != Shape::Gang))
    }

    /// Returns the other shard with the most free capacity, if that is enough for a job or if this shard is given up.
    fn shard_with_most_free_cpu(&self, job: &Job, is_surplus: bool) -> Option<u32> {
        let needed_cpu = job.spec.resources.cpu * job.placeable_count() as i64;
        let unclaimed = |load: &ShardLoad| load.free_cpu - load.waiting_cpu;
        let loads = self.other_shards.loads.iter();
        loads
            .filter(|load| load.shard != self.shard.id)
            .filter(|load| is_surplus || unclaimed(load) >= needed_cpu)
            .max_by_key(|load| (unclaimed(load), load.shard))
            .map(|load| load.shard)
    }
}

#[cfg(test)]
mod tests;
