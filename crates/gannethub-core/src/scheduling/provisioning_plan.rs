//! The provisioning plan: the number of machines of each offer that are needed to serve the queue in time.
//!
//! The plan simulates the queue on a [`Forecast`] of the present machines and of the machines that boot or are
//! requested. Work that would start too late in the simulation gets a new machine, of the offer with the lowest price
//! for the capacity that this work and the jobs behind it use.

mod whole_job;

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet};

use crate::model::{
    JobId, JobSpec, MachineId, Micros, Resources, SECOND, Shape, UNLIMITED, micros_from_seconds,
};
use crate::policy::Setting;
use crate::scheduling::autoscaler::max_boot_time;
use crate::scheduling::estimates::JobTimes;
use crate::scheduling::forecast::{
    Candidates, Forecast, MachineForecast, MachineGroupKey, PendingWork, Release, coarse_shape,
};
use crate::scheduling::zones::ZoneTaskCounts;
use crate::state::cluster::Cluster;
use crate::state::fleet::{Offer, PendingProvision};
use crate::state::job::{Job, PlannedZone, ZoneChoice};
use crate::state::machine::Machine;

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

/// Upcoming work may wait in the plan for this fraction of the time between its release and its latest start.
const UPCOMING_SLACK: f64 = 0.2;

/// Tasks whose remaining backoff exceeds this time are not planned.
const MAX_PLANNED_BACKOFF: Micros = 10 * SECOND;

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
    wanted: BTreeMap<Offer, u32>,
    /// Machines on which upcoming work is planned.
    planned_machines: HashSet<MachineId>,
    /// Choices of zones for jobs whose tasks all have to be in one zone.
    zone_choices: Vec<(JobId, ZoneChoice)>,
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
        let mut pending = self.pending_work(now);
        if pending.is_empty() {
            return BTreeMap::new();
        }
        let offers = self.available_offers(now);
        let mut plan = Plan::new(self, &pending, &offers, now);
        for position in 0..pending.len() {
            if plan.placements_left == 0 {
                break;
            }
            let (head, behind) = pending.split_at_mut(position + 1);
            plan.add_work(&mut head[position], behind);
        }
        let Plan {
            forecast,
            wanted,
            planned_machines,
            zone_choices,
            ..
        } = plan;
        self.passes.add_steps(forecast.steps);
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

    /// Returns the work, in queue order, that has no capacity now and may run under its team's limit, and the work
    /// that will be released before a new machine is up.
    fn pending_work(&self, now: Micros) -> Vec<PendingWork> {
        let teams = 0..self.quota.team_usage.len();
        let mut quota: Vec<Resources> = teams.map(|team| self.remaining_quota(team)).collect();
        let mut pending = Vec::new();
        for (id, within_guarantee) in self.queue.jobs() {
            self.passes.add_steps(1);
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let Some(team) = job.team else { continue };
            let tasks = tasks_to_plan(job, &mut quota[team], now);
            if tasks == 0 {
                continue;
            }
            pending.push(PendingWork {
                job: (!job.is_crash_looping()).then(|| id.clone()),
                spec: job.spec.clone(),
                tasks,
                zones: self.zones_in_use(job),
                excluded_zones: Vec::new(),
                run_time: self.expected_run_time(&job.spec),
                earliest_start: now,
                latest_start: now + self.planned_slack(job, within_guarantee),
            });
        }
        self.add_upcoming_work(&mut pending, &mut quota, now);
        pending
    }

    /// Returns the time that a job's tasks may wait before a new machine is worth its price. Estimates are rough, so
    /// only a part of the time that the job's objectives leave is used.
    fn planned_slack(&self, job: &Job, within_guarantee: bool) -> Micros {
        let latest_start = self.latest_start(job, within_guarantee);
        let inputs = self.policy_inputs(job, within_guarantee, latest_start);
        let policy = &self.settings.policy;
        match latest_start {
            Some(start) => {
                let fraction = policy.number(Setting::PlanSlack, &inputs);
                (start.saturating_sub(self.unix_time) as f64 * fraction) as Micros
            }
            None => {
                let patience = micros_from_seconds(policy.number(Setting::Patience, &inputs));
                (job.ready_at + patience).saturating_sub(self.unix_time)
            }
        }
    }

    /// Adds the work of waiting jobs that will be released before a machine provisioned now is up.
    fn add_upcoming_work(
        &self,
        pending: &mut Vec<PendingWork>,
        quota: &mut [Resources],
        now: Micros,
    ) {
        let boot_times = self.machine_types.iter().map(|kind| 2 * kind.boot_time);
        let horizon = now + boot_times.max().unwrap_or(0);
        for (release_at, _, waiting) in self.upcoming_releases(now, horizon) {
            let spec = &waiting.spec;
            let boot_time = self.expected_boot_time_for(spec, now);
            if boot_time.is_none_or(|boot_time| release_at > now + boot_time) {
                continue;
            }
            let Some(team) = self.settings.team(&spec.team) else {
                continue;
            };
            let tasks = take_quota(spec, i64::from(spec.tasks), spec.tasks, &mut quota[team]);
            if tasks == 0 {
                continue;
            }
            let ready_at = self.unix_time + (release_at - now);
            let times = JobTimes {
                accepted_at: waiting.accepted_at,
                ready_at,
            };
            let demand = waiting.downstream_demand.as_ref();
            let latest_start = self.latest_start_for(spec, times, demand, false);
            let slack = latest_start.map_or(0, |start| start.saturating_sub(ready_at));
            pending.push(PendingWork {
                job: None,
                spec: spec.clone(),
                tasks,
                zones: ZoneTaskCounts::new(),
                excluded_zones: Vec::new(),
                run_time: self.expected_run_time(spec),
                earliest_start: release_at,
                latest_start: release_at + (slack as f64 * UPCOMING_SLACK) as Micros,
            });
        }
    }

    /// Returns the boot time of the machine that a job would most likely get: a machine of the cheapest type that
    /// fits its tasks, in the zone with the shortest boot time.
    fn expected_boot_time_for(&self, spec: &JobSpec, now: Micros) -> Option<Micros> {
        let price = |index: &usize| self.price_per_millicpu(*index, spec.spot);
        let index = (0..self.machine_types.len())
            .filter(|index| spec.resources.fits(&self.machine_types[*index].capacity))
            .min_by(|a, b| price(a).total_cmp(&price(b)))?;
        let machine_type = &self.machine_types[index];
        let times = &self.fleet.provisioning_times;
        let zones = machine_type.zones.iter();
        zones
            .map(|zone| times.expected_boot_time(index, zone, machine_type.boot_time, now))
            .min()
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

    /// Builds the forecast from the present machines and the machines that boot or are requested, with the times at
    /// which their capacity becomes free.
    fn forecast(&self, now: Micros) -> Forecast {
        let mut forecast = Forecast::new(now);
        for machine in self.machines.values() {
            self.add_machine_forecast(&mut forecast, machine, now);
        }
        for PendingProvision { offer, count } in self.fleet.pending_provisions.values() {
            let available_at = self.expected_boot_end(offer, now);
            let key = MachineGroupKey::from(offer);
            let group = self.forecast_group(&mut forecast, &key);
            for _ in 0..*count {
                forecast.add_machine(self.empty_machine(group, &key, available_at));
            }
        }
        forecast
    }

    fn add_machine_forecast(&self, forecast: &mut Forecast, machine: &Machine, now: Micros) {
        let Some(machine_type) = machine.machine_type else {
            return;
        };
        let lifecycle = &machine.lifecycle;
        if lifecycle.deleting
            || lifecycle.draining
            || lifecycle.quarantined
            || lifecycle.preemption_notice
            || machine.has_lost_responses(now)
        {
            return;
        }
        forecast.steps += 1 + machine.attempts.len() as u64 / 2;
        let key = MachineGroupKey {
            machine_type,
            zone: machine.zone.clone(),
            spot: machine.spot,
        };
        let group = self.forecast_group(forecast, &key);
        if !lifecycle.has_booted {
            if let Some(available_at) = self.expected_up_at(machine, now) {
                forecast.add_machine(self.empty_machine(group, &key, available_at));
            }
            return;
        }
        let mut machine_forecast = self.empty_machine(group, &key, now);
        machine_forecast.free = machine.free();
        machine_forecast.machine = Some(machine.id.clone());
        let failures = machine.placement.failures_by_job.iter();
        machine_forecast.avoided_by = failures
            .filter(|(_, failures)| now < failures.avoid_until)
            .map(|(job, _)| job.clone())
            .collect();
        let holding = machine
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.holds_capacity);
        machine_forecast
            .releases
            .extend(holding.map(|(id, attempt)| Release {
                at: self.expected_end(&id.task, attempt, now),
                tasks: 1,
                resources: attempt.resources,
            }));
        machine_forecast
            .releases
            .sort_by_key(|release| Reverse(release.at));
        forecast.add_machine(machine_forecast);
    }

    /// Returns the forecast's group of a kind of machines.
    fn forecast_group(&self, forecast: &mut Forecast, key: &MachineGroupKey) -> usize {
        let price = self.price_per_millicpu(key.machine_type, key.spot);
        forecast.group_for(key, price)
    }

    /// Returns the forecast of a machine without attempts.
    fn empty_machine(
        &self,
        group: usize,
        key: &MachineGroupKey,
        available_at: Micros,
    ) -> MachineForecast {
        MachineForecast {
            group,
            zone: key.zone.clone(),
            free: self.machine_types[key.machine_type].capacity,
            available_at,
            releases: Vec::new(),
            machine: None,
            avoided_by: Vec::new(),
            version: 0,
        }
    }

    /// Returns the time at which a machine provisioned now is expected to be up.
    fn expected_boot_end(&self, offer: &Offer, now: Micros) -> Micros {
        let usual = self.machine_types[offer.machine_type].boot_time;
        let times = &self.fleet.provisioning_times;
        now + times.expected_boot_time(offer.machine_type, &offer.zone, usual, now)
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
            wanted: BTreeMap::new(),
            planned_machines: HashSet::new(),
            zone_choices: Vec::new(),
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
            *self.wanted.entry(offer).or_default() += 1;
        }
        self.planned_machines.extend(plan.planned_machines);
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

/// Returns the number of tasks of a job to plan, and deducts them from the team's quota.
fn tasks_to_plan(job: &Job, quota: &mut Resources, now: Micros) -> i64 {
    let placeable = job.placeable_count() as i64;
    if placeable == 0 {
        return 0;
    }
    let backing_off = job
        .tasks
        .backoff
        .values()
        .filter(|backoff| backoff.until > now + MAX_PLANNED_BACKOFF)
        .count() as i64;
    let live = job.tasks.live_attempts.len() as i64;
    let worth_it = job.tasks_worth_provisioning(now).saturating_sub(live);
    let tasks = (placeable - backing_off).min(worth_it);
    // A gang is not planned if some of its tasks are unconfirmed or if it does not fit its team's limit.
    take_quota(&job.spec, tasks, job.tasks.pending.len(), quota)
}

/// Deducts up to `tasks` tasks of a job from a team's quota. Returns the number of tasks deducted: for a gang all its
/// missing tasks or none.
fn take_quota(spec: &JobSpec, tasks: i64, gang_tasks: u32, quota: &mut Resources) -> i64 {
    quota.memory = UNLIMITED;
    let needed = Resources {
        memory: 0,
        ..spec.resources
    };
    let tasks = tasks.min(needed.times_fitting_in(quota));
    let is_partial_gang = spec.shape == Shape::Gang && tasks < i64::from(gang_tasks);
    if tasks <= 0 || is_partial_gang {
        return 0;
    }
    *quota -= needed.scaled_by(tasks);
    tasks
}
