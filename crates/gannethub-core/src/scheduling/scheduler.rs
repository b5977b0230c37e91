//! What runs where: quota, first-fit placement, gangs, and the passes over the queue.
//!
//! A pass asks the index of room ([`Rooms`](crate::state::capacity_index::Rooms)) for what each job needs, and what it
//! costs is counted in steps: a job or a machine that is looked at. The next pass begins no sooner than
//! its steps allow, so that deciding takes the same part of the processor however large the cluster
//! and however long the queue, and reports, renewals and users are never late behind it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::configuration::OverLimit;
use crate::model::{
    AttemptId, JobId, JobSpec, MachineId, Micros, Priority, Resources, SECOND, Shape, TaskId,
    UNLIMITED, micros_from_seconds, seconds_from_micros,
};
use crate::policy::Value;
use crate::saga::Saga;
use crate::scheduling::gang::GangPass;
use crate::scheduling::zones::{ZoneTaskCounts, is_zone_allowed, zone_allowance};
use crate::state::attempt::{Attempt, AttemptPhase, GangAttempt};
use crate::state::capacity_index::MachineKind;
use crate::state::cluster::Cluster;
use crate::state::deadline::DownstreamDemand;
use crate::state::job::Job;
use crate::state::machine::{Machine, Reservation};

/// Room up to this many times as dear as the cheapest of its rank counts as costing the same.
const SIMILAR_PRICE: f64 = 1.5;

/// A report that frees room leads to a pass over the whole queue at most this often, for each
/// machine there is: so that the work of passes does not grow with the cluster.
const PASS_INTERVAL_PER_MACHINE: Micros = 250;
/// Jobs that a report's room is offered to; what none of them can use is left to the next pass.
const MAX_JOBS_OFFERED: usize = 100;

/// Of each kind a job chooses among so many machines with room, and so many more for each of its tasks, the
/// fullest first: an empty cluster, as after a takeover, must not be read whole for every job.
const CANDIDATES_PER_BUCKET: usize = 512;
const CANDIDATES_PER_TASK: usize = 4;

/// Room held for a stage of a pipeline lapses unless a pass holds it again.
const STAGE_RESERVATION: Micros = 2 * SECOND;

/// Machines and how many tasks each is to take.
type Placements = Vec<(MachineId, usize)>;

/// What a pass has found out, so that it need not find it out again.
#[derive(Debug, Default)]
pub struct SchedulingPass {
    /// Jobs for which there was not enough room, with how many tasks wanted some: during a pass
    /// room only gets less.
    unplaceable: Vec<(Arc<JobSpec>, usize)>,
    /// Gathering and making room for gangs.
    pub gangs: GangPass,
}

impl SchedulingPass {
    /// So many tasks of a job have found no room.
    fn record_unplaceable(&mut self, spec: &Arc<JobSpec>, tasks: usize) {
        self.unplaceable.push((spec.clone(), tasks));
    }

    /// A job that asks for as much and may go to no other machines has found no room already.
    fn is_known_unplaceable(&self, spec: &JobSpec, wanted: usize) -> bool {
        self.unplaceable.iter().any(|(other, least)| {
            wanted >= *least
                && other.resources.fits(&spec.resources)
                && (other.spot || !spec.spot)
                && (other.zone.is_none() || other.zone == spec.zone)
                && (other.machine_types.is_none() || other.machine_types == spec.machine_types)
                && (!other.single_zone || spec.single_zone)
                && (!other.spread || (spec.spread && spec.tasks <= other.tasks))
        })
    }
}

impl Cluster {
    /// What a policy may know of a job, in the order of [`JOB_FIELDS`](crate::policy::JOB_FIELDS).
    /// `latest` is what [`Cluster::latest_start`] says of it.
    pub fn policy_inputs<'a>(
        &self,
        job: &'a Job,
        within: bool,
        latest: Option<u64>,
    ) -> [Value<'a>; 14] {
        let spec = &job.spec;
        let share = self.team_usage_share(job.team);
        let priority = match job.effective_priority() {
            Priority::Low => "low",
            Priority::Normal => "normal",
            Priority::High => "high",
            Priority::Production => "production",
        };
        let number = |t: Micros| Value::Number(seconds_from_micros(t));
        [
            Value::Text(&spec.class),
            Value::Text(&spec.team),
            Value::Text(priority),
            Value::Number(f64::from(spec.tasks)),
            Value::Number(f64::from(job.tasks.done.len())),
            Value::Number(spec.resources.cpu as f64 / 1000.0),
            number(self.unix_time.saturating_sub(job.ready_at)),
            number(latest.unwrap_or(0).saturating_sub(self.unix_time)),
            number(self.remaining_work_at_quota(job)),
            number(self.expected_run(spec)),
            Value::Bool(latest.is_none()),
            Value::Bool(within),
            Value::Number(share.of_total),
            Value::Number(share.over_due),
        ]
    }

    /// How long one of the job's tasks is expected to run: its owner's estimate, corrected by what
    /// tasks of its class have shown.
    pub fn expected_run(&self, spec: &JobSpec) -> Micros {
        let pace = self.runtime_ratios.get(&spec.class).copied().unwrap_or(1.0);
        (spec.run_time_estimate as f64 * pace) as Micros
    }

    /// How long a machine without the job's image takes to fetch it.
    pub fn fetch_time(&self, spec: &JobSpec) -> Micros {
        let fits = self
            .machine_types
            .iter()
            .filter(|f| spec.resources.fits(&f.size));
        let rate = fits.map(|f| f.fetch_gb_per_s).fold(f64::INFINITY, f64::min);
        micros_from_seconds(spec.image_size_gb / rate)
    }

    /// The time of day by which the job's tasks have to start to meet the next objective that can
    /// still be met; `None` if none can.
    pub fn latest_start(&self, job: &Job, within: bool) -> Option<u64> {
        self.latest_start_for(
            &job.spec,
            job.accepted_at,
            job.ready_at,
            job.scheduling.downstream_demand.as_ref(),
            within,
        )
    }

    /// The same for a job that was accepted and is released at these times of day.
    pub fn latest_start_for(
        &self,
        spec: &JobSpec,
        at: u64,
        ready: u64,
        pull: Option<&DownstreamDemand>,
        within: bool,
    ) -> Option<u64> {
        let run = self.expected_run(spec) * 5 / 4;
        let fetch = self.fetch_time(spec);
        let starts = self.settings.objectives.iter().filter_map(|o| {
            if o.class.as_ref().is_some_and(|c| *c != spec.class) {
                return None;
            }
            match o.kind.as_str() {
                "wait" => Some(ready + o.within),
                "guarantee" if within => Some(ready + o.within),
                "finished" => Some((ready + o.within).saturating_sub(run)),
                "deadline" => {
                    let due = (spec.deadline? as f64 * o.times) as Micros;
                    Some((at + due).saturating_sub(run))
                }
                _ => None,
            }
        });
        // What waits for it has to be in time as well.
        let stage = self.run_time(spec);
        let pulled = pull.iter().flat_map(|p| &p.deadlines).flatten();
        let pulled = pulled.filter_map(|due| due.start_by(stage, self.unix_time));
        let own = starts
            .map(|t| t.saturating_sub(fetch))
            .filter(|t| *t >= self.unix_time);
        own.chain(pulled).min()
    }

    /// The time the job's remaining work takes when its team uses all that it may.
    fn remaining_work_at_quota(&self, job: &Job) -> Micros {
        let Some(t) = job.team else { return 0 };
        let limit = &self.settings.teams[t].limit;
        // No team can use more than there is.
        let part =
            |need: i64, limit: i64, all: i64| need as f64 / limit.min(all.max(need)).max(1) as f64;
        let need = &job.spec.resources;
        let each = part(need.cpu, limit.cpu, self.total_capacity.cpu).max(part(
            need.gpu,
            limit.gpu,
            self.total_capacity.gpu,
        ));
        let left = f64::from(job.spec.tasks - job.tasks.done.len());
        (left * each * self.expected_run(&job.spec) as f64) as Micros
    }

    /// What a thousandth of a CPU of such a machine costs an hour.
    pub fn price_per_millicpu(&self, flavor: usize, spot: bool) -> f64 {
        let f = &self.machine_types[flavor];
        f.price_of(spot) / f.size.cpu.max(1) as f64
    }

    /// Where the job's tasks are, tasks that still have to exit included; nothing for a job
    /// without zone rules.
    pub fn zones_in_use(&self, job: &Job) -> ZoneTaskCounts {
        let mut zones = ZoneTaskCounts::new();
        if !job.spec.is_zone_constrained() {
            return zones;
        }
        for live in job.tasks.live_attempts.values() {
            if let Some(m) = self.machines.get(&live.machine) {
                *zones.entry(m.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    /// What a team may still use, counting all that it may have on machines.
    pub fn remaining_quota(&self, team: usize) -> Resources {
        self.settings.teams[team].limit
            - self.quota.team_usage[team]
            - self.takeover.unconfirmed.possible_usage[team]
    }

    /// How many more of the job's tasks its team's limit allows.
    pub fn tasks_within_quota(&self, job: &Job) -> i64 {
        let Some(t) = job.team.filter(|_| !self.starts_paused) else {
            return 0;
        };
        let mut free = self.remaining_quota(t);
        free.memory = UNLIMITED;
        let need = Resources {
            memory: 0,
            ..job.spec.resources
        };
        need.count_in(&free)
    }

    /// Kinds in first-fit order: the cheapest room first, so that the dear ones empty; among room of
    /// a price, small machines first, since large tasks need the large ones whole. Kinds that
    /// are as good as one another share a tier.
    fn rank_buckets(&mut self) {
        let shelves = self
            .capacity_index
            .buckets
            .iter()
            .enumerate()
            .filter(|(_, s)| s.has_schedulable());
        let mut priced: Vec<(f64, i64, usize)> = shelves
            .map(|(i, s)| {
                let price = self.price_per_millicpu(s.kind.machine_type, s.kind.spot);
                (price, self.machine_types[s.kind.machine_type].size.cpu, i)
            })
            .collect();
        priced.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut ranked: Vec<(usize, i64, usize)> = Vec::with_capacity(priced.len());
        let (mut rank, mut first) = (0, f64::NAN);
        for (price, size, shelf) in priced {
            if first.is_nan() || price > first * SIMILAR_PRICE {
                rank += usize::from(!first.is_nan());
                first = price;
            }
            ranked.push((rank, size, shelf));
        }
        ranked.sort();
        let same = |a: &(usize, i64, usize), b: &(usize, i64, usize)| (a.0, a.1) == (b.0, b.1);
        let tiers = ranked
            .chunk_by(same)
            .map(|tier| tier.iter().map(|r| r.2).collect());
        self.passes.bucket_tiers = tiers.collect();
    }

    /// Places what can be placed now, and makes room for what must not wait. At a takeover it places on what
    /// has been heard, and stops nothing: there may be room enough.
    pub fn run_scheduling_pass(&mut self, now: Micros) {
        let before = self.passes.steps.get();
        if self.quota.over_limit == OverLimit::Stop {
            // A new leader learns of what runs as it is reported.
            self.enforce_limits(now);
        }
        self.propagate_downstream_demand(now);
        self.order_queue(now);
        self.rank_buckets();
        let queue: Vec<(JobId, bool)> = self
            .queue
            .jobs()
            .map(|(id, within)| (id.clone(), within))
            .collect();
        for (id, within) in &queue {
            if let Some(job) = self.jobs.get_mut(id) {
                job.scheduling.within_guarantee = *within;
            }
        }
        self.passes.add_steps(queue.len() as u64);
        self.passes.needed = false;
        self.passes.last_at = now;
        self.passes.count += 1;
        self.passes.placement_order.clear();
        let mut pass = SchedulingPass {
            gangs: self.begin_gang_pass(now),
            ..SchedulingPass::default()
        };
        for (id, within) in queue {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.tasks.pending.is_empty() {
                continue;
            }
            job.scheduling.last_queued_pass = self.passes.count;
            self.passes.placement_order.push(id.clone());
            let Some(job) = self
                .jobs
                .get(&id)
                .filter(|j| self.tasks_within_quota(j) > 0)
            else {
                continue;
            };
            match job.spec.shape {
                Shape::Gang => self.place_gang(&id, &mut pass, now),
                Shape::Array | Shape::Service => {
                    let suspect = job.is_crash_looping();
                    let short = self.place_tasks(&id, &mut pass, None, now);
                    if short > 0 && !suspect {
                        self.preempt_for(&id, short, &mut pass.gangs, now);
                        self.reserve_for_stage(&id, short, now);
                    }
                }
            }
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let limited = self.takeover.settled && self.tasks_within_quota(job) <= 0;
            if !job.scheduling.fully_placed && (job.tasks.pending.is_empty() || limited) {
                let waited_s =
                    seconds_from_micros(self.unix_time.saturating_sub(job.ready_at)) as u32;
                let (class, team, tasks) = (&job.spec.class, &job.spec.team, job.spec.tasks);
                // The time it could still have waited, for its own sake and for what waits for it.
                let latest = self.latest_start(job, within);
                let slack_s =
                    latest.map(|t| seconds_from_micros(t.saturating_sub(self.unix_time)) as u32);
                tracing::info!(job = %id, %class, %team, tasks, within, waited_s, slack_s, "placed");
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.scheduling.fully_placed = true;
                }
            }
        }
        self.raise_watermarks_ahead(now);
        let steps = self.passes.steps.get() - before;
        self.passes.next_at = now + self.pacing_delay(steps);
        self.passes.cost.passes += 1;
        self.passes.cost.pass_steps += steps;
        self.passes.cost.max_steps = self.passes.cost.max_steps.max(steps);
    }

    /// How long so many steps are to be the only ones: a step is a look at a machine or a job, and
    /// policy and the share of a processor say how many of them a second deciding may take.
    pub fn pacing_delay(&self, steps: u64) -> Micros {
        (steps as f64 * SECOND as f64 / self.settings.decide_steps()) as Micros
    }

    /// Uses the room that came free on one machine: with a whole pass, if none was made just now,
    /// else in the order of the last one. A gang that may want it needs room elsewhere too, and is
    /// left to the next pass.
    pub fn use_freed_capacity(&mut self, id: &MachineId, now: Micros) {
        let paced = self.passes.last_at + PASS_INTERVAL_PER_MACHINE * self.machines.len() as Micros;
        if now >= paced.max(self.passes.next_at) {
            return self.run_scheduling_pass(now);
        }
        let report = self.settings.report;
        let Some(machine) = self
            .machines
            .get(id)
            .filter(|m| m.is_schedulable(now, report))
        else {
            return;
        };
        let Some(flavor) = machine.machine_type else {
            return;
        };
        let free = machine.free();
        let candidates = || {
            let offered = self
                .passes
                .placement_order
                .iter()
                .take(MAX_JOBS_OFFERED)
                .filter_map(|j| self.jobs.get(j));
            offered.filter(|job| {
                job.placeable_count() > 0
                    && !job.cancelled
                    && job.spec.resources.fits(&free)
                    && self.is_eligible_machine(machine, &job.spec)
            })
        };
        let Some(first) = candidates().find(|job| self.tasks_within_quota(job) > 0) else {
            return;
        };
        if let Some(kept) = machine.active_reservation(now) {
            let array = self
                .jobs
                .get(&kept.job)
                .filter(|j| j.spec.shape == Shape::Array);
            return match array.map(|j| (j.id.clone(), j.spec.resources.fits(&free))) {
                Some((holder, true)) => {
                    self.place_tasks(&holder, &mut SchedulingPass::default(), Some(id), now);
                }
                // What came free is held until there is enough of it.
                Some((_, false)) => {}
                None if now >= self.passes.next_at => self.run_scheduling_pass(now),
                None => {}
            };
        }
        // Cheaper room elsewhere, or a smaller machine's, is to be used first: so that dear and
        // large machines empty, a pass decides.
        if self.has_cheaper_capacity(flavor, machine.spot, &first.spec, now) {
            return;
        }
        let gang = |job: &Job| {
            job.spec.shape == Shape::Gang
                && !job
                    .tasks
                    .gang_attempt
                    .as_ref()
                    .is_some_and(|g| g.running || g.stopping)
        };
        if candidates().any(gang) {
            return;
        }
        for i in 0..self.passes.placement_order.len().min(MAX_JOBS_OFFERED) {
            let Some(j) = self.jobs.get(&self.passes.placement_order[i]) else {
                continue;
            };
            let Some(m) = self.machines.get(id) else {
                return;
            };
            if j.placeable_count() > 0
                && !j.cancelled
                && j.spec.shape != Shape::Gang
                && !j.spec.is_zone_constrained()
                && j.spec.resources.fits(&m.free())
                && self.tasks_within_quota(j) > 0
            {
                let job = j.id.clone();
                self.place_tasks(&job, &mut SchedulingPass::default(), Some(id), now);
            }
        }
    }

    /// Whether there is room for a job's task that is to be used before that of such a machine.
    fn has_cheaper_capacity(&self, flavor: usize, spot: bool, spec: &JobSpec, now: Micros) -> bool {
        let (price, size) = (
            self.price_per_millicpu(flavor, spot),
            self.machine_types[flavor].size.cpu,
        );
        self.capacity_index.buckets.iter().any(|shelf| {
            let theirs = self.price_per_millicpu(shelf.kind.machine_type, shelf.kind.spot);
            let better = theirs * SIMILAR_PRICE < price
                || (self.machine_types[shelf.kind.machine_type].size.cpu < size
                    && theirs <= price * SIMILAR_PRICE);
            let mut open = shelf.with_cpu(spec.resources.cpu);
            better
                && self.is_eligible_bucket(spec, &shelf.kind)
                && open.any(|id| {
                    self.passes.add_steps(1);
                    self.machines.get(id).is_some_and(|m| {
                        spec.resources.fits(&m.free())
                            && m.active_reservation(now).is_none()
                            && m.is_schedulable(now, self.settings.report)
                    })
                })
        })
    }

    /// Whether machines of a kind may run the job's tasks at all.
    pub fn is_eligible_bucket(&self, spec: &JobSpec, kind: &MachineKind) -> bool {
        let flavor = &self.machine_types[kind.machine_type];
        spec.resources.fits(&flavor.size) && spec.allows(&flavor.name, &kind.zone, kind.spot)
    }

    /// How many of a job's tasks may be placed on a machine now.
    fn tasks_that_fit(
        &self,
        m: &Machine,
        id: &JobId,
        spec: &JobSpec,
        suspect: bool,
        now: Micros,
    ) -> i64 {
        self.passes.add_steps(1);
        // A suspect job is tried anywhere: it may have met faulty machines only.
        if !m.is_schedulable(now, self.settings.report)
            || (!suspect && m.placement.failures_by_job.contains_key(id))
        {
            return 0;
        }
        let mut free = m.free();
        if let Some(kept) = m.active_reservation(now).filter(|k| k.job != *id)
            && let Some(holder) = self.jobs.get(&kept.job)
        {
            free -= holder.spec.resources.scaled_by(kept.tasks);
        }
        if spec.resources.fits(&free) {
            spec.resources.count_in(&free)
        } else {
            0
        }
    }

    /// Places what it can of a job, on one machine or on all; returns how many tasks found no room.
    fn place_tasks(
        &mut self,
        id: &JobId,
        pass: &mut SchedulingPass,
        only: Option<&MachineId>,
        now: Micros,
    ) -> usize {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let spec = job.spec.clone();
        let limit = self.tasks_within_quota(job).min(
            job.allowed_probes(now)
                .saturating_sub(job.tasks.live_attempts.len() as i64),
        );
        // A huge array must cost no more than the room there is for it.
        let waiting = job.tasks.backoff.values().filter(|b| b.until > now).count();
        if spec.is_zone_constrained() && !job.tasks.unconfirmed.is_empty() {
            // Where those are decides where the others may go.
            return 0;
        }
        let wanted = job
            .placeable_count()
            .saturating_sub(waiting)
            .min(limit.max(0) as usize);
        let simple = !spec.is_zone_constrained() && job.failure_tracking.failed_machines.is_empty();
        if wanted == 0
            || (simple && !self.has_reservation(id) && pass.is_known_unplaceable(&spec, 1))
        {
            return wanted;
        }
        let mut zones = self.zones_in_use(job);
        if spec.single_zone && zones.is_empty() {
            let Some(zone) = self.zone_with_most_capacity(id, &spec, only, now) else {
                return wanted;
            };
            zones.insert(zone, 0);
        }
        let seats = match only {
            Some(machine) => self.fit_on_machine(machine, id, &spec, &mut zones, wanted, now),
            None => self.first_fit(id, &spec, &mut zones, wanted, now),
        };
        let found: usize = seats.iter().map(|s| s.1).sum();
        // An array takes what there is, so only where there was none is there none for the next.
        if only.is_none() && simple && found == 0 {
            pass.record_unplaceable(&spec, 1);
        }
        let ready = |x: &u32| {
            job.tasks.backoff.get(x).is_none_or(|b| b.until <= now)
                && !job.tasks.unconfirmed.contains(*x)
        };
        let tasks: Vec<u32> = job.tasks.pending.iter().filter(ready).take(found).collect();
        let places = seats.iter().flat_map(|(m, n)| std::iter::repeat_n(m, *n));
        for (index, machine) in tasks.into_iter().zip(places) {
            let attempt = AttemptId::new(id.clone(), index, self.next_attempt_number());
            self.place_task(attempt, machine, now);
        }
        wanted - found
    }

    /// Whether room is kept for a job somewhere, as far as is known.
    fn has_reservation(&self, id: &JobId) -> bool {
        self.jobs
            .get(id)
            .is_some_and(|j| j.scheduling.reserved_until > self.now)
    }

    /// The zone with the most room for a job.
    fn zone_with_most_capacity(
        &self,
        id: &JobId,
        spec: &JobSpec,
        only: Option<&MachineId>,
        now: Micros,
    ) -> Option<Arc<str>> {
        let mut room: HashMap<&Arc<str>, i64> = HashMap::new();
        for shelf in self
            .capacity_index
            .buckets
            .iter()
            .filter(|s| self.is_eligible_bucket(spec, &s.kind))
        {
            let open = shelf.with_cpu(spec.resources.cpu);
            for m in open.filter_map(|m| self.machines.get(m)) {
                if only.is_none_or(|o| *o == m.id) {
                    *room.entry(&m.zone).or_default() +=
                        self.tasks_that_fit(m, id, spec, false, now);
                }
            }
        }
        let best = room
            .into_iter()
            .filter(|r| r.1 > 0)
            .max_by_key(|(z, n)| (*n, Reverse(*z)));
        best.map(|(zone, _)| zone.clone())
    }

    /// Takes the room that one machine has for up to `n` tasks of a job.
    fn fit_on_machine(
        &self,
        machine: &MachineId,
        id: &JobId,
        spec: &JobSpec,
        zones: &mut ZoneTaskCounts,
        n: usize,
        now: Micros,
    ) -> Placements {
        let Some(m) = self.machines.get(machine) else {
            return Placements::new();
        };
        let suspect = self.jobs.get(id).is_some_and(Job::is_crash_looping);
        let most = if self.is_eligible_machine(m, spec) {
            self.tasks_that_fit(m, id, spec, suspect, now)
        } else {
            0
        };
        let most = (most as usize)
            .min(n)
            .min(zone_allowance(spec, zones, &m.zone) as usize);
        if most == 0 {
            return Placements::new();
        }
        if spec.is_zone_constrained() {
            *zones.entry(m.zone.clone()).or_default() += most as u32;
        }
        vec![(machine.clone(), most)]
    }

    /// Takes room for up to `n` tasks of a job, first-fit in the order of kinds; among machines
    /// whose room costs the same, those that hold the job's image come first.
    fn first_fit(
        &self,
        id: &JobId,
        spec: &JobSpec,
        zones: &mut ZoneTaskCounts,
        n: usize,
        now: Micros,
    ) -> Placements {
        let suspect = self.jobs.get(id).is_some_and(Job::is_crash_looping);
        let mut seats = Placements::new();
        let mut left = n;
        let mut found: Vec<(bool, &Machine, i64)> = Vec::new();
        for tier in &self.passes.bucket_tiers {
            if left == 0 {
                break;
            }
            found.clear();
            for shelf in tier.iter().map(|i| &self.capacity_index.buckets[*i]) {
                if !self.is_eligible_bucket(spec, &shelf.kind)
                    || !is_zone_allowed(spec, zones, &shelf.kind.zone)
                {
                    continue;
                }
                let open = shelf
                    .with_cpu(spec.resources.cpu)
                    .filter_map(|m| self.machines.get(m));
                let seen = found.len() + CANDIDATES_PER_BUCKET + CANDIDATES_PER_TASK * left;
                for m in open {
                    let most = self.tasks_that_fit(m, id, spec, suspect, now);
                    if most > 0 {
                        found.push((!m.placement.cached_images.contains(&spec.image), m, most));
                        if found.len() >= seen {
                            break;
                        }
                    }
                }
            }
            found.sort_unstable_by(|a, b| (a.0, &a.1.id).cmp(&(b.0, &b.1.id)));
            for (_, m, most) in &found {
                let most = (*most as usize).min(left);
                let most = most.min(zone_allowance(spec, zones, &m.zone) as usize);
                if most == 0 {
                    continue;
                }
                if spec.is_zone_constrained() {
                    *zones.entry(m.zone.clone()).or_default() += most as u32;
                }
                seats.push((m.id.clone(), most));
                left -= most;
                if left == 0 {
                    break;
                }
            }
        }
        seats
    }

    /// Smaller tasks further down the queue would take all room as it comes free, bit by bit, and a
    /// task that needs more would never find any. For a stage of a pipeline, what is free and too little
    /// is held on the machines where most can end next.
    fn reserve_for_stage(&mut self, id: &JobId, tasks: usize, now: Micros) {
        let Some(job) = self
            .jobs
            .get(id)
            .filter(|j| j.scheduling.downstream_demand.is_some() && !j.spec.is_zone_constrained())
        else {
            return;
        };
        let spec = job.spec.clone();
        let mut choices: Vec<(Reverse<usize>, &MachineId)> = Vec::new();
        for shelf in self
            .capacity_index
            .buckets
            .iter()
            .filter(|s| self.is_eligible_bucket(&spec, &s.kind))
        {
            for m in shelf.with_cpu(1).filter_map(|m| self.machines.get(m)) {
                self.passes.add_steps(1);
                if !spec.resources.fits(&m.free())
                    && m.active_reservation(now).is_none()
                    && self.can_host(m, id, &spec, &ZoneTaskCounts::new(), now)
                {
                    choices.push((Reverse(m.attempts.len()), &m.id));
                }
            }
        }
        choices.sort();
        let held: Vec<MachineId> = choices
            .into_iter()
            .take(tasks)
            .map(|c| c.1.clone())
            .collect();
        for machine in held {
            self.reserve(
                &machine,
                Reservation {
                    job: id.clone(),
                    tasks: 1,
                    expires_at: now + STAGE_RESERVATION,
                },
            );
        }
    }

    /// Keeps a machine's room for a job.
    pub fn reserve(&mut self, machine: &MachineId, kept: Reservation) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&kept.job) {
            job.scheduling.reserved_until = job.scheduling.reserved_until.max(kept.expires_at);
        }
        m.placement.reservation = Some(kept);
    }

    /// Places all missing tasks of a gang's attempt, or none.
    fn place_gang(&mut self, id: &JobId, pass: &mut SchedulingPass, now: Micros) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        // The next attempt begins only when nothing of the last one is on a machine any more.
        let fresh = job.tasks.gang_attempt.is_none();
        if (fresh && !job.tasks.live_attempts.is_empty())
            || job.tasks.gang_attempt.as_ref().is_some_and(|g| g.stopping || g.running)
            || job.tasks.backoff.values().any(|b| b.until > now)
            || job.allowed_probes(now) == 0
            // Its attempt may go on, on machines that have not been heard yet.
            || !job.tasks.unconfirmed.is_empty()
        {
            return;
        }
        let missing: Vec<u32> = job.tasks.pending.iter().collect();
        if self.tasks_within_quota(job) < missing.len() as i64 {
            return;
        }
        let zones = self.zones_in_use(job);
        let simple = fresh && job.failure_tracking.failed_machines.is_empty();
        let searched =
            !simple || self.has_reservation(id) || !pass.is_known_unplaceable(&spec, missing.len());
        if searched && let Some(seats) = self.fit_whole_gang(id, &spec, &zones, missing.len(), now)
        {
            let attempt = match self
                .jobs
                .get(id)
                .and_then(|j| j.tasks.gang_attempt.as_ref())
            {
                Some(g) => g.attempt,
                None => self.next_attempt_number(),
            };
            if let Some(j) = self
                .jobs
                .get_mut(id)
                .filter(|j| j.tasks.gang_attempt.is_none())
            {
                let saga = Saga::independent(spec.tasks);
                j.tasks.gang_attempt = Some(GangAttempt {
                    attempt,
                    saga,
                    running: false,
                    stopping: false,
                });
            }
            let places = seats.iter().flat_map(|(m, n)| std::iter::repeat_n(m, *n));
            for (index, machine) in missing.iter().copied().zip(places) {
                let attempt = AttemptId::new(id.clone(), index, attempt);
                self.place_task(attempt, machine, now);
            }
            return;
        }
        if searched && simple {
            pass.record_unplaceable(&spec, missing.len());
        }
        if !self.takeover.settled {
            return self.reserve_on_confirmed_machines(id, &spec, missing.len(), now);
        }
        self.gather_or_preempt(id, missing.len(), &mut pass.gangs, now);
    }

    /// At a takeover a gang rarely finds room for all of it at once, as machines are heard one by one. What has
    /// been heard is kept for it, most of it in one zone: smaller tasks would take it, bit by bit, for as long as
    /// they run.
    fn reserve_on_confirmed_machines(
        &mut self,
        id: &JobId,
        spec: &JobSpec,
        tasks: usize,
        now: Micros,
    ) {
        let mut zones: BTreeMap<&Arc<str>, Vec<(bool, &MachineId, i64)>> = BTreeMap::new();
        for shelf in self
            .capacity_index
            .buckets
            .iter()
            .filter(|s| self.is_eligible_bucket(spec, &s.kind))
        {
            let open = shelf
                .with_cpu(spec.resources.cpu)
                .take(CANDIDATES_PER_BUCKET);
            for m in open.filter_map(|m| self.machines.get(m)) {
                let other = m.active_reservation(now).is_some_and(|k| k.job != *id);
                let most = if other {
                    0
                } else {
                    self.tasks_that_fit(m, id, spec, false, now)
                };
                if most > 0 {
                    let entry = (m.active_reservation(now).is_none(), &m.id, most);
                    zones.entry(&m.zone).or_default().push(entry);
                }
            }
        }
        let all = zones
            .into_values()
            .max_by_key(|z| z.iter().map(|m| m.2).sum::<i64>());
        let mut found = all.unwrap_or_default();
        found.sort_unstable();
        let mut left = tasks as i64;
        let mut keep: Vec<(MachineId, i64)> = Vec::new();
        for (_, machine, most) in found {
            if left <= 0 {
                break;
            }
            keep.push((machine.clone(), most.min(left)));
            left -= most;
        }
        for (machine, tasks) in keep {
            self.reserve(
                &machine,
                Reservation {
                    job: id.clone(),
                    tasks,
                    expires_at: now + STAGE_RESERVATION,
                },
            );
        }
    }

    /// Room for all of a gang's missing tasks, where its zone rules let them be together.
    fn fit_whole_gang(
        &self,
        id: &JobId,
        spec: &JobSpec,
        zones: &ZoneTaskCounts,
        tasks: usize,
        now: Micros,
    ) -> Option<Placements> {
        let mut choices: Vec<Option<Arc<str>>> = vec![None];
        if spec.single_zone && zones.is_empty() {
            let open = self
                .capacity_index
                .buckets
                .iter()
                .filter(|s| s.has_schedulable());
            let mut all: Vec<Arc<str>> = open.map(|s| s.kind.zone.clone()).collect();
            all.sort();
            all.dedup();
            choices = all.into_iter().map(Some).collect();
        }
        choices.into_iter().find_map(|only| {
            let mut zones = zones.clone();
            zones.extend(only.map(|z| (z, 0)));
            let seats = self.first_fit(id, spec, &mut zones, tasks, now);
            (seats.iter().map(|s| s.1).sum::<usize>() == tasks).then_some(seats)
        })
    }

    /// When a booting machine is expected to be up. One that is overdue is expected to take as long
    /// again as it is late; after twice the expected time it is no longer counted on.
    pub fn expected_up_at(&self, m: &Machine, now: Micros) -> Option<Micros> {
        if self.zones.unreachable.contains_key(&m.zone) {
            return None;
        }
        let f = m.machine_type?;
        let usual = self.machine_types[f].boot_time;
        let boot = self
            .fleet
            .provisioning_times
            .expected_boot_time(f, &m.zone, usual, now);
        let expected = m.lifecycle.provisioned_at + boot;
        let late = now.saturating_sub(expected);
        (late <= boot.max(usual)).then(|| expected.max(now + late.max(2 * SECOND)))
    }

    /// Whether the job's own rules let its tasks go to a machine, wherever its others are.
    pub fn is_eligible_machine(&self, m: &Machine, spec: &JobSpec) -> bool {
        m.machine_type
            .is_some_and(|f| spec.allows(&self.machine_types[f].name, &m.zone, m.spot))
    }

    /// Whether the job's tasks may go to a machine once it has room.
    pub fn can_host(
        &self,
        m: &Machine,
        id: &JobId,
        spec: &JobSpec,
        zones: &ZoneTaskCounts,
        now: Micros,
    ) -> bool {
        m.is_schedulable(now, self.settings.report)
            && !m.placement.failures_by_job.contains_key(id)
            && self.is_eligible_machine(m, spec)
            && is_zone_allowed(spec, zones, &m.zone)
    }

    /// When an attempt is expected to end.
    pub fn expected_end(&self, task: &TaskId, attempt: &Attempt, now: Micros) -> Micros {
        let Some(job) = self.jobs.get(&task.job) else {
            return now;
        };
        if job.spec.shape == Shape::Service {
            return Micros::MAX;
        }
        let running = attempt.phase == AttemptPhase::Running;
        let ran = if running {
            now.saturating_sub(attempt.phase_since)
        } else {
            0
        };
        let ran = ran
            + job
                .tasks
                .saved_progress
                .get(&task.index)
                .copied()
                .unwrap_or(0);
        // What runs longer than expected is expected to run for a while yet.
        now + self
            .expected_run(&job.spec)
            .saturating_sub(ran)
            .max(ran / 4)
    }
}
