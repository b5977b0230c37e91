//! How the cluster is shared out among blocks: what teams may use in each, which machines are rented for whom, and
//! which jobs go elsewhere before any of their tasks has been launched.
//!
//! A team's limit is never given out twice. What a block other than 0 may use is written under its own key; block 0
//! has what is left. A block's own holder lowers that, and keeps to it from before it is written; only block 0's
//! holder raises it, after it has taken the same from itself. So at any moment, whatever is late or lost, the blocks'
//! parts add up to the limit at most.

use std::collections::BTreeMap;

use crate::model::{JobId, Micros, Resources, SECOND, Shape};
use crate::state::cluster::Cluster;
use crate::state::fleet::{CloudCall, Offer};
use crate::state::job::Job;
use crate::state::shard_load::{ShardLoad, TeamLoad};

/// What a block keeps beyond what it uses and waits for, as a part of that.
const HEADROOM_FRACTION: f64 = 0.1;
/// A job that nothing has been launched of looks for a better place after this time.
const MIN_WAIT_BEFORE_MOVE: u64 = 2 * SECOND;
/// Jobs that go elsewhere at once.
const MAX_JOBS_MOVED_AT_ONCE: usize = 4;

/// Amounts of CPU and GPU that teams may use in each block other than 0.
pub type ShardQuotas = BTreeMap<u32, Vec<Resources>>;

fn without_negatives(r: Resources) -> Resources {
    Resources {
        cpu: r.cpu.max(0),
        gpu: r.gpu.max(0),
        memory: 0,
    }
}

/// What block 0 may use: what is left of the whole limits.
pub fn remaining_quota(whole: &[Resources], parts: &ShardQuotas) -> Vec<Resources> {
    let mut rest = whole.to_vec();
    for part in parts.values() {
        rest.iter_mut().zip(part).for_each(|(r, p)| *r -= *p);
    }
    rest
}

/// What the parts of other blocks are raised to. `own`: what each team may have in block 0 now and waits for there;
/// `told`: the same of other blocks.
pub fn raised_quotas(
    whole: &[Resources],
    parts: &ShardQuotas,
    own: &[TeamLoad],
    told: &BTreeMap<u32, Vec<TeamLoad>>,
) -> ShardQuotas {
    let mut raised = ShardQuotas::new();
    for (t, (mut left, own)) in remaining_quota(whole, parts)
        .into_iter()
        .zip(own)
        .enumerate()
    {
        left -= own.used;
        let lacks = |block: &u32, teams: &Vec<TeamLoad>| {
            let part = parts
                .get(block)
                .and_then(|p| p.get(t))
                .copied()
                .unwrap_or_default();
            let team = teams.get(t).copied().unwrap_or_default();
            let mut wish = team.used;
            wish += team.waiting;
            without_negatives(wish - part)
        };
        let lacking: Vec<(u32, Resources)> = told
            .iter()
            .map(|(b, teams)| (*b, lacks(b, teams)))
            .collect();
        let mut all = without_negatives(own.waiting);
        lacking.iter().for_each(|(_, l)| all += *l);
        for (block, lack) in lacking {
            // Each gets its part of what is free, by what it lacks.
            let share = |free: i64, lack: i64, all: i64| match all {
                0 => 0,
                _ if all <= free => lack,
                _ => (lack as f64 / all as f64 * free.max(0) as f64) as i64,
            };
            let more = Resources {
                cpu: share(left.cpu, lack.cpu, all.cpu),
                gpu: share(left.gpu, lack.gpu, all.gpu),
                memory: 0,
            };
            if more == Resources::default() {
                continue;
            }
            let part = parts.get(&block).cloned();
            let none = || vec![Resources::default(); whole.len()];
            let new = raised
                .entry(block)
                .or_insert_with(|| part.unwrap_or_else(none));
            new[t] += more;
        }
    }
    raised
}

/// What a block's own part is lowered to, if it has more than it uses and waits for.
pub fn lowered_quota(part: &[Resources], teams: &[TeamLoad]) -> Option<Vec<Resources>> {
    let keep = |part: i64, used: i64, waiting: i64| {
        let wish = used + waiting;
        let most = wish + (wish as f64 * HEADROOM_FRACTION) as i64;
        // Little is left alone: each change costs one of the state service's.
        if part > most + part / 8 { most } else { part }
    };
    let lowered: Vec<Resources> = part
        .iter()
        .zip(teams)
        .map(|(p, team)| Resources {
            cpu: keep(p.cpu, team.used.cpu, team.waiting.cpu),
            gpu: keep(p.gpu, team.used.gpu, team.waiting.gpu),
            memory: 0,
        })
        .collect();
    (lowered != part).then_some(lowered)
}

impl Cluster {
    /// How this block stands.
    pub fn shard_load(&self) -> ShardLoad {
        let mut load = ShardLoad {
            shard: self.shard.id,
            term: self.term,
            ..ShardLoad::default()
        };
        let held = self
            .quota
            .team_usage
            .iter()
            .zip(&self.takeover.unconfirmed.possible_usage);
        load.teams = held
            .map(|(used, doubted)| {
                let mut all = *used;
                all += *doubted;
                TeamLoad {
                    used: Resources { memory: 0, ..all },
                    waiting: Resources::default(),
                }
            })
            .collect();
        for job in self.jobs.values().filter(|j| !j.cancelled) {
            let waiting = job.placeable_count() as i64;
            load.backlog_cpu +=
                job.spec.resources.cpu * i64::from(job.spec.tasks - job.tasks.done.len());
            load.waiting_cpu += job.spec.resources.cpu * waiting;
            if let Some(t) = job.team.filter(|_| waiting > 0) {
                // No more than it could start soon, however long its queue.
                load.teams[t].waiting += Resources {
                    memory: 0,
                    ..job.spec.resources.scaled_by(waiting)
                };
            }
        }
        for (t, team) in self.quota.cluster_teams.iter().enumerate() {
            let TeamLoad { used, waiting } = &mut load.teams[t];
            waiting.cpu = waiting.cpu.min((team.limit.cpu - used.cpu).max(0));
            waiting.gpu = waiting.gpu.min((team.limit.gpu - used.gpu).max(0));
        }
        let usable = self
            .machines
            .values()
            .filter(|m| m.is_schedulable(self.now, self.settings.report));
        load.free_cpu = usable.map(|m| m.free().cpu.max(0)).sum();
        load.machine_demand = self
            .machine_demand
            .iter()
            .map(|(offer, n)| (offer.clone(), *n))
            .collect();
        load
    }

    /// Asks the cloud for what other blocks' plans lack, each one's in turn.
    pub(crate) fn scale_out_for_shards(
        &mut self,
        now: Micros,
        calls: &mut Vec<CloudCall>,
        most: u32,
    ) {
        for (block, wants) in std::mem::take(&mut self.other_shards.demand) {
            for (offer, wanted) in wants {
                let flavor = self.machine_types[offer.machine_type].name.clone();
                let coming = self.incoming_machine_count(block, &flavor, &offer.zone, offer.spot);
                let count = wanted.saturating_sub(coming).min(most);
                if count == 0 || self.is_offer_blocked(&offer, now) {
                    continue;
                }
                if !self.fleet.budget.try_take(0.0) {
                    return;
                }
                let call = self.rent(offer, count);
                if let CloudCall::Provision { name, .. } = &call {
                    self.transfers
                        .provisioning_for_shard
                        .insert(name.clone(), block);
                }
                calls.push(call);
            }
        }
    }

    /// Offers that the cloud has refused lately, and for how long they are left alone.
    pub fn refused_offers(&self) -> Vec<(Offer, Micros)> {
        let refused = self
            .fleet
            .refusals
            .iter()
            .filter(|(_, r)| r.until > self.now);
        refused
            .map(|(offer, r)| (offer.clone(), r.until - self.now))
            .collect()
    }

    /// Sends jobs that nothing was launched of, and that have no room here, to a block that has; all that can go, if
    /// this block is to be given up.
    pub fn transfer_waiting_jobs(&mut self, give_up: bool) {
        if !self.takeover.settled || self.other_shards.loads.len() < 2 {
            return;
        }
        let own = self.shard.id;
        let best = |need: i64| {
            let others = self.other_shards.loads.iter().filter(|l| l.shard != own);
            let roomy = others.filter(|l| give_up || l.free_cpu - l.waiting_cpu >= need);
            roomy
                .max_by_key(|l| (l.free_cpu - l.waiting_cpu, l.shard))
                .map(|l| l.shard)
        };
        let waits = |j: &&Job| {
            let waited = self.unix_time.saturating_sub(j.ready_at)
                > MIN_WAIT_BEFORE_MOVE + self.settings.report;
            let moves = give_up || (waited && j.spec.shape != Shape::Gang);
            j.has_no_launches()
                && !j.cancelled
                && !j.persistence.write_in_flight
                && !j.persistence.version_unknown
                && moves
        };
        let mut leave: Vec<(JobId, u32)> = Vec::new();
        let queue = self
            .passes
            .placement_order
            .iter()
            .filter_map(|id| self.jobs.get(id));
        let all = self.jobs.values().filter(|_| give_up);
        for job in queue.chain(all).filter(waits) {
            if leave.len() >= MAX_JOBS_MOVED_AT_ONCE {
                break;
            }
            let need = job.spec.resources.cpu * job.placeable_count() as i64;
            leave.extend(best(need).map(|to| (job.id.clone(), to)));
        }
        if !leave.is_empty() {
            self.passes.needed = true;
        }
        for (id, to) in leave {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.scheduling.home_shard = Some(to);
            }
            // Until the other holder says how it stands now.
            if let Some(load) = self.other_shards.loads.iter_mut().find(|l| l.shard == to) {
                load.free_cpu = 0;
            }
        }
    }
}

#[cfg(test)]
mod tests;
