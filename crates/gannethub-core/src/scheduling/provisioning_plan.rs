//! The provisioning plan: the number of machines of each offer that are needed to serve the queue in time.
//!
//! The plan simulates the queue on a [`Forecast`] of the present machines and of the machines that boot or are
//! requested. Work that would start too late in the simulation gets a new machine, of the offer with the lowest price
//! for the capacity that this work and the jobs behind it use.

mod machines;
mod whole_job;
mod work;

use std::collections::{BTreeMap, HashSet};

use crate::model::{JobId, JobSpec, MachineId, Micros, Resources, SECOND};
use crate::scheduling::autoscaler::max_boot_time;
use crate::scheduling::forecast::{
    Candidates, Forecast, MachineGroupKey, PendingWork, coarse_shape,
};
use crate::state::cluster::Cluster;
use crate::state::fleet::Offer;
use crate::state::job::{PlannedZone, ZoneChoice};

/// Maximum number of placements of a plan, in queue order. A placement covers all tasks of a job that start on one
/// machine at one time. Work that a plan does not reach is left to the next plans, which are computed all the time.
const BASE_PLACEMENTS: usize = 3000;
/// Number of further placements for each machine in the forecast. Otherwise the plan of a large cluster would end among
/// the present machines and never reach the work that needs new machines.
const PLACEMENTS_PER_MACHINE: usize = 12;

/// Maximum number of jobs behind the first that are examined for other uses of a new machine.
const LOOKAHEAD_JOBS: usize = 32;

/// Maximum number of different shapes with indexes of their own; with more shapes, similar shapes share an index.
const MAX_EXACT_SHAPES: usize = 24;

/// Time for which a machine that the plan needs for upcoming work is kept.
const PLANNED_WORK: Micros = 2 * SECOND;

/// Time for which placement follows the zone that a plan has chosen for a job, unless a later plan chooses again.
const PLANNED_ZONE: Micros = 10 * SECOND;

/// An offer with the price that the plan assumes.
struct PricedOffer {
    offer: Offer,
    /// Price for an hour, raised by the expected loss while the machine boots.
    price: f64,
}

/// A plan under construction.
struct Plan<'a> {
    cluster: &'a Cluster,
    forecast: Forecast,
    offers: &'a [PricedOffer],
    /// Minimum of each resource over all jobs of the plan.
    min_resources: Resources,
    /// Whether each shape has an index of its own. Capacity that is too small for one job is then not read again by
    /// all other jobs of its shape.
    has_exact_shapes: bool,
    placements_left: usize,
    result: PlanResult,
}

/// The result of a plan.
#[derive(Default)]
struct PlanResult {
    /// Number of further machines of each offer.
    wanted: BTreeMap<Offer, u32>,
    /// Machines on which upcoming work is planned.
    planned_machines: HashSet<MachineId>,
    /// Choices of zones for jobs whose tasks all have to be in one zone.
    zone_choices: Vec<(JobId, ZoneChoice)>,
    /// Gangs for which there is too little capacity.
    unplannable: HashSet<JobId>,
    /// Whether a team's limit, of which unplannable gangs have a part, keeps other jobs out of the plan.
    is_limited_by_unplannable: bool,
}

/// What the tasks of a job need in the plan.
#[derive(Default)]
struct TaskPlan {
    /// The offer of each new machine.
    new_machines: Vec<Offer>,
    /// Present machines on which upcoming work is planned.
    planned_machines: Vec<MachineId>,
    last_start: Micros,
    /// Whether tasks start late because there is no offer for them.
    is_late: bool,
}

/// The best offer for a job, if it is known.
enum BestOffer<'a> {
    Unknown,
    Known(Option<&'a PricedOffer>),
}

impl Cluster {
    /// Returns the number of machines of each offer that the queue needs in addition to the machines that are up,
    /// booting or requested.
    pub fn compute_machine_demand(&mut self, now: Micros) -> BTreeMap<Offer, u32> {
        self.update_queue_order(now);
        let offers = self.available_offers(now);
        let none = HashSet::new();
        let mut result = self.plan_queue(&offers, &none, now);
        if result.is_limited_by_unplannable && !offers.is_empty() {
            // Gangs that cannot run must not use up what their teams' limits leave for other jobs.
            let unplannable = std::mem::take(&mut result.unplannable);
            result = self.plan_queue(&offers, &unplannable, now);
        }
        let PlanResult {
            wanted,
            planned_machines,
            zone_choices,
            ..
        } = result;
        for id in planned_machines {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.placement.planned_work_until = now + PLANNED_WORK;
            }
        }
        for (id, choice) in zone_choices {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.scheduling.planned_zone = Some(PlannedZone {
                    choice,
                    expires_at: now + PLANNED_ZONE,
                });
            }
        }
        wanted
    }

    /// Plans the queue without the jobs that are known to be unplannable.
    fn plan_queue(
        &self,
        offers: &[PricedOffer],
        unplannable: &HashSet<JobId>,
        now: Micros,
    ) -> PlanResult {
        let list = self.pending_work(unplannable, now);
        let mut pending = list.work;
        if pending.is_empty() {
            return PlanResult::default();
        }
        let mut plan = Plan::new(self, &pending, offers, now);
        for position in 0..pending.len() {
            if plan.placements_left == 0 {
                break;
            }
            let (head, behind) = pending.split_at_mut(position + 1);
            plan.add_work(&mut head[position], behind);
        }
        self.passes.add_steps(plan.forecast.steps);
        let team_of = |id: &JobId| self.jobs.get(id).and_then(|job| job.team);
        let mut teams = plan.result.unplannable.iter().filter_map(team_of);
        plan.result.is_limited_by_unplannable =
            teams.any(|team| list.limited_teams.contains(&team));
        plan.result
    }

    /// Returns the offers that can be provisioned now.
    fn available_offers(&self, now: Micros) -> Vec<PricedOffer> {
        let mut offers = Vec::new();
        for (index, machine_type) in self.machine_types.iter().enumerate() {
            let markets = machine_type
                .zones
                .iter()
                .flat_map(|zone| [(zone, false), (zone, true)]);
            for (zone, spot) in markets {
                let offer = Offer {
                    machine_type: index,
                    zone: zone.clone(),
                    spot,
                };
                if self.is_offer_blocked(&offer, now) {
                    continue;
                }
                let usual_boot = machine_type.boot_time;
                let max_boot = max_boot_time(usual_boot);
                let times = &self.fleet.provisioning_times;
                let factor = times.price_factor(index, zone, usual_boot, max_boot, now);
                offers.push(PricedOffer {
                    offer,
                    price: machine_type.price_of(spot) * factor,
                });
            }
        }
        offers
    }
}

impl<'a> Plan<'a> {
    fn new(
        cluster: &'a Cluster,
        pending: &[PendingWork],
        offers: &'a [PricedOffer],
        now: Micros,
    ) -> Plan<'a> {
        let forecast = cluster.forecast(now);
        let shapes: HashSet<Resources> = pending.iter().map(|work| work.spec.resources).collect();
        let min = |a: Resources, b: Resources| Resources {
            cpu: a.cpu.min(b.cpu),
            gpu: a.gpu.min(b.gpu),
            memory: a.memory.min(b.memory),
        };
        let resources = pending.iter().map(|work| work.spec.resources);
        Plan {
            cluster,
            offers,
            min_resources: resources.reduce(min).unwrap_or_default(),
            has_exact_shapes: shapes.len() <= MAX_EXACT_SHAPES,
            placements_left: BASE_PLACEMENTS + PLACEMENTS_PER_MACHINE * forecast.machines.len(),
            forecast,
            result: PlanResult::default(),
        }
    }

    /// Simulates a job's tasks. `behind`: the jobs after it in the queue.
    fn add_work(&mut self, work: &mut PendingWork, behind: &[PendingWork]) {
        if work.needs_capacity_together() {
            return self.add_whole_job(work, behind);
        }
        let plan = self.add_tasks(work, behind);
        self.keep(plan);
    }

    /// Adds what the tasks of a job need to the demand.
    fn keep(&mut self, plan: TaskPlan) {
        for offer in plan.new_machines {
            *self.result.wanted.entry(offer).or_default() += 1;
        }
        self.result.planned_machines.extend(plan.planned_machines);
    }

    /// Simulates a job's tasks one by one, as far as they find capacity.
    fn add_tasks(&mut self, work: &mut PendingWork, behind: &[PendingWork]) -> TaskPlan {
        let now = self.forecast.now;
        let mut plan = TaskPlan::default();
        let shape = match self.has_exact_shapes {
            true => work.spec.resources,
            false => coarse_shape(&work.spec.resources),
        };
        let mut candidates = Candidates::new(shape, self.eligible_groups(&work.spec));
        candidates.resize(self.forecast.groups.len());
        // The best offer for the job, kept while it is known to stay the best.
        let mut best_offer = BestOffer::Unknown;
        while work.tasks > 0 && self.placements_left > 0 {
            self.placements_left -= 1;
            if let Some(choice) = self.forecast.best_choice(work, &mut candidates) {
                let is_late = choice.start > work.latest_start;
                let offer = match (is_late, &best_offer) {
                    (false, _) => None,
                    (true, BestOffer::Known(offer)) => *offer,
                    (true, BestOffer::Unknown) => {
                        let offer = self.best_offer(work, behind);
                        best_offer = BestOffer::Known(offer);
                        offer
                    }
                };
                let new_machine_at =
                    offer.map(|priced| self.cluster.expected_boot_end(&priced.offer, now));
                // The choice is taken if it is in time, if there is no offer, or if a new machine would be up no sooner
                // than the capacity of the choice is free.
                if new_machine_at.is_none_or(|at| choice.start <= at) {
                    if work.earliest_start > now {
                        let machine = &self.forecast.machines[choice.machine];
                        plan.planned_machines.extend(machine.machine.clone());
                    }
                    plan.is_late |= is_late && offer.is_none();
                    plan.last_start = plan.last_start.max(choice.start);
                    self.forecast.take(choice, work, &mut candidates);
                    continue;
                }
            }
            let offer = match std::mem::replace(&mut best_offer, BestOffer::Unknown) {
                BestOffer::Known(offer) => offer,
                BestOffer::Unknown => self.best_offer(work, behind),
            };
            let Some(offer) = offer else { break };
            let available_at = self.add_new_machine(offer, work, &mut candidates);
            plan.new_machines.push(offer.offer.clone());
            plan.last_start = plan.last_start.max(available_at);
            // While the job's own tasks fill a whole machine, another machine of the same offer is just as good.
            let capacity = &self.cluster.machine_types[offer.offer.machine_type].capacity;
            if !work.spec.is_zone_constrained()
                && work.tasks >= work.spec.resources.times_fitting_in(capacity)
            {
                best_offer = BestOffer::Known(Some(offer));
            }
        }
        self.forecast.return_candidates(candidates);
        plan
    }

    /// Returns the groups of machines that may run a job's tasks.
    fn eligible_groups(&self, spec: &JobSpec) -> Vec<usize> {
        let groups = self.forecast.groups.iter().enumerate();
        groups
            .filter(|(_, group)| {
                let key = &group.key;
                let machine_type = &self.cluster.machine_types[key.machine_type];
                spec.resources.fits(&machine_type.capacity)
                    && spec.allows(&machine_type.name, &key.zone, key.spot)
            })
            .map(|(index, _)| index)
            .collect()
    }

    /// Plans a new machine, and on it as many of the job's remaining tasks as fit. Returns the time at which the machine
    /// is available.
    fn add_new_machine(
        &mut self,
        priced: &PricedOffer,
        work: &mut PendingWork,
        candidates: &mut Candidates,
    ) -> Micros {
        let (cluster, offer) = (self.cluster, &priced.offer);
        let boot_end = cluster.expected_boot_end(offer, self.forecast.now);
        let available_at = boot_end.max(work.earliest_start);
        let key = MachineGroupKey::from(offer);
        let group = cluster.forecast_group(&mut self.forecast, &key);
        candidates.add_group(group);
        let mut machine = cluster.empty_machine(group, &key, available_at);
        machine.reserve_tasks(work, available_at);
        self.forecast.add_machine(machine);
        available_at
    }

    /// Returns the offer that serves a job at the lowest price for the capacity that the job and the jobs behind it
    /// use.
    fn best_offer(&self, first: &PendingWork, behind: &[PendingWork]) -> Option<&'a PricedOffer> {
        let mut best: Option<(f64, &PricedOffer)> = None;
        for priced in self.offers {
            let Offer {
                machine_type,
                zone,
                spot,
            } = &priced.offer;
            let machine_type = &self.cluster.machine_types[*machine_type];
            let spec = &first.spec;
            if !spec.resources.fits(&machine_type.capacity)
                || !spec.allows(&machine_type.name, zone, *spot)
                || !first.is_zone_allowed(zone)
            {
                continue;
            }
            let mut free = machine_type.capacity;
            let mut used_cpu = 0;
            for work in std::iter::once(first).chain(behind.iter().take(LOOKAHEAD_JOBS)) {
                if !self.min_resources.fits(&free) {
                    break;
                }
                self.cluster.passes.add_steps(1);
                let spec = &work.spec;
                if spec.allows(&machine_type.name, zone, *spot) {
                    let tasks = spec.resources.times_fitting_in(&free).min(work.tasks);
                    free -= spec.resources.scaled_by(tasks);
                    used_cpu += spec.resources.cpu.max(1) * tasks;
                }
            }
            let score = priced.price / used_cpu.max(1) as f64;
            if best.is_none_or(|(best_score, _)| score < best_score) {
                best = Some((score, priced));
            }
        }
        best.map(|(_, priced)| priced)
    }
}
