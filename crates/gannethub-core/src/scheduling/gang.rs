//! Room for what needs much of it at once: gathered as it comes free, or made by stopping other work.
//!
//! Gangs of one shape look for the same room, so when it comes free is worked out once for all of
//! them, and each takes what it keeps out of that book. All gangs that wait gather in the same
//! passes, in queue order, so none is offered what one before it has taken.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use crate::model::{
    JobId, JobSpec, MachineId, Micros, Priority, Resources, SECOND, Shape, TaskId, Team,
};
use crate::scheduling::zones::{ZoneTaskCounts, is_zone_allowed, zone_allowance};
use crate::state::attempt::AttemptPhase;
use crate::state::cluster::Cluster;
use crate::state::job::Job;
use crate::state::machine::{Machine, Reservation};

/// Room kept for gangs is looked over this often, for each machine, and always again before the
/// room lapses.
const GATHER_INTERVAL_PER_MACHINE: Micros = 800;
const MAX_GATHER_INTERVAL: Micros = 500_000;
/// Gathered room lapses after this time unless it is gathered again.
const GATHERED_RESERVATION: Micros = 2 * SECOND;
/// The same of room that was made by stopping work.
const PREEMPTED_RESERVATION: Micros = 15 * SECOND;
/// A pass makes room for as long as this would take at the rate of steps that policy allows.
const PREEMPTION_STEP_BUDGET: Micros = 500_000;
/// After a pass that did not come to all gangs, those that had room made for them make way for so long.
const PREEMPTION_RETRY: Micros = 3 * SECOND;
/// Tasks of a gang that are looked for on one machine.
const MAX_TASKS_PER_MACHINE: i64 = 4096;

/// What tells gangs that look for the same room from others.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct PlacementConstraints {
    need: Resources,
    types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
}

impl PlacementConstraints {
    fn of(spec: &JobSpec) -> PlacementConstraints {
        let JobSpec {
            resources: need,
            machine_types: types,
            zone,
            spot,
            ..
        } = spec;
        PlacementConstraints {
            need: *need,
            types: types.clone(),
            zone: zone.clone(),
            spot: *spot,
        }
    }
}

/// What tells jobs that may stop the same work for the same room from others.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct PreemptionClass {
    constraints: PlacementConstraints,
    shape: Shape,
    priority: Priority,
    team: Option<usize>,
    within: bool,
}

/// Work that some jobs may have stopped, by machine, and the room that makes: what is lost stands for the
/// time.
#[derive(Debug, Default)]
struct PreemptionPlan {
    timeline: CapacityTimeline,
    victims: HashMap<MachineId, Vec<Victim>>,
}

/// Room for tasks of a shape, by zone: when it will be there, the soonest first, and where.
type CapacityTimeline = BTreeMap<Arc<str>, VecDeque<(Micros, MachineId)>>;

/// Entries of a zone's list in a [`Book`], with their places there.
type IndexedEntries = VecDeque<(Micros, MachineId, usize)>;

/// A job that asks for room to be made.
#[derive(Debug)]
struct PreemptionRequest {
    spec: Arc<JobSpec>,
    team: Option<usize>,
    within: bool,
    tasks: usize,
}

impl PreemptionRequest {
    /// Where no room can be made for this one, none can be made for the other either.
    fn implies_infeasible(&self, other: &PreemptionRequest) -> bool {
        let (a, b) = (&self.spec, &other.spec);
        self.tasks <= other.tasks
            && (self.team, self.within) == (other.team, other.within)
            && a.shape == b.shape
            && a.priority == b.priority
            && a.resources.fits(&b.resources)
            && (&a.machine_types, &a.zone, a.spot) == (&b.machine_types, &b.zone, b.spot)
            && (a.single_zone, a.spread) == (b.single_zone, b.spread)
    }
}

/// What a pass knows of room that is gathered and made.
#[derive(Debug, Default)]
pub struct GangPass {
    /// All gangs that wait gather anew; else only those that never have.
    regather_all: bool,
    timelines: HashMap<PlacementConstraints, CapacityTimeline>,
    borrowed: Option<BorrowedQuota>,
    /// Steps beyond which no more room is made.
    step_limit: u64,
    /// The last round did not come to all gangs.
    catching_up: bool,
    infeasible: Vec<PreemptionRequest>,
    preemption_plans: HashMap<PreemptionClass, PreemptionPlan>,
}

impl Cluster {
    /// What is gathered in a pass that begins now.
    pub fn begin_gang_pass(&mut self, now: Micros) -> GangPass {
        let every =
            (GATHER_INTERVAL_PER_MACHINE * self.machines.len() as Micros).min(MAX_GATHER_INTERVAL);
        let round = now >= self.passes.gang_round_at + every;
        if round {
            self.passes.gang_round_at = now;
        }
        let steps = PREEMPTION_STEP_BUDGET as f64 / self.pacing_delay(1).max(1) as f64;
        let until = self.passes.steps.get() + steps as u64;
        let behind = round && std::mem::take(&mut self.passes.gang_requests_deferred);
        GangPass {
            regather_all: round,
            step_limit: until,
            catching_up: behind,
            ..GangPass::default()
        }
    }

    /// The last pass has found work to place of this job, before any that it has yet to look at.
    fn is_still_queued(&self, id: &JobId) -> bool {
        self.jobs
            .get(id)
            .is_some_and(|j| j.scheduling.last_queued_pass == self.passes.count)
    }

    /// Gathers room for a gang that found none, and makes it where waiting would be too late.
    pub fn gather_or_preempt(
        &mut self,
        id: &JobId,
        tasks: usize,
        gathering: &mut GangPass,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| !j.is_crash_looping()) else {
            return;
        };
        if !gathering.regather_all && job.scheduling.gang_placement_tried {
            return;
        }
        job.scheduling.gang_placement_tried = true;
        // Work is stopped only where waiting for it to end would be too late.
        let soon = self.gather_capacity(id, tasks, gathering, now);
        let Some(job) = self.jobs.get(id) else { return };
        let slack = self
            .latest_start(job, job.scheduling.within_guarantee)
            .map_or(0, |t| t.saturating_sub(self.unix_time));
        if soon.is_none_or(|at| at > now + slack.max(2 * self.settings.report)) {
            self.preempt_for(id, tasks, gathering, now);
        }
    }

    /// Gathers room for a waiting gang, on the machines that will have it soonest: what comes free
    /// there, or boots, is kept for it. No machine's room is kept for two gangs, and all of a gang's
    /// room is kept where its zone rules let it be used together, so that gangs never hold half of
    /// what each needs. Returns when the last of its tasks will have room.
    fn gather_capacity(
        &mut self,
        id: &JobId,
        tasks: usize,
        gathering: &mut GangPass,
        now: Micros,
    ) -> Option<Micros> {
        let job = self.jobs.get(id)?;
        let spec = job.spec.clone();
        let zones = self.zones_in_use(job);
        let book = gathering
            .timelines
            .entry(PlacementConstraints::of(&spec))
            .or_insert_with(|| self.capacity_timeline(&spec, now));
        let (keep, last) = self.choose_earliest_capacity(book, id, &spec, zones, tasks, now)?;
        let found: i64 = keep.values().sum();
        for (machine, tasks) in keep {
            let Some(m) = self.machines.get(&machine) else {
                continue;
            };
            let until = m
                .placement
                .reservation
                .as_ref()
                .map_or(0, |k| k.expires_at)
                .max(now + GATHERED_RESERVATION);
            self.reserve(
                &machine,
                Reservation {
                    job: id.clone(),
                    tasks,
                    expires_at: until,
                },
            );
        }
        (found == tasks as i64).then_some(last)
    }

    /// When and where there will be room for tasks like this job's.
    fn capacity_timeline(&self, spec: &JobSpec, now: Micros) -> CapacityTimeline {
        let mut book = CapacityTimeline::new();
        for shelf in self
            .capacity_index
            .buckets
            .iter()
            .filter(|s| self.is_eligible_bucket(spec, &s.kind))
        {
            let list = book.entry(shelf.kind.zone.clone()).or_default();
            for m in shelf.machines.iter().filter_map(|m| self.machines.get(m)) {
                self.passes.add_steps(1 + m.attempts.len() as u64 / 4);
                let times = self.capacity_times(m, spec, now);
                list.extend(times.into_iter().map(|at| (at, m.id.clone())));
            }
        }
        book.values_mut()
            .for_each(|list| list.make_contiguous().sort_unstable());
        book
    }

    /// Takes the soonest room out of the book that a job's zone rules let it use together: how many tasks
    /// on each machine, and when the last has room.
    fn choose_earliest_capacity(
        &self,
        book: &mut CapacityTimeline,
        id: &JobId,
        spec: &JobSpec,
        mut zones: ZoneTaskCounts,
        tasks: usize,
        now: Micros,
    ) -> Option<(BTreeMap<MachineId, i64>, Micros)> {
        // In each zone, the places of the first entries that it may have.
        let mut firsts: Vec<(&Arc<str>, IndexedEntries)> = Vec::new();
        for (zone, list) in book
            .iter_mut()
            .filter(|(z, _)| is_zone_allowed(spec, &zones, z))
        {
            let mut mine = VecDeque::new();
            let mut i = 0;
            while i < list.len() && mine.len() < tasks {
                let (at, machine) = &list[i];
                self.passes.add_steps(1);
                let m = self.machines.get(machine);
                // What is kept for a gang further down the queue can be had: else each of two gangs
                // may long hold a machine that is ready beside one that is not.
                let kept = m
                    .and_then(|m| m.active_reservation(now))
                    .filter(|k| k.job != *id);
                if kept.is_some_and(|k| self.is_still_queued(&k.job)) {
                    list.remove(i);
                    continue;
                }
                if m.is_some_and(|m| !m.placement.failures_by_job.contains_key(id)) {
                    mine.push_back((*at, machine.clone(), i));
                }
                i += 1;
            }
            firsts.push((zone, mine));
        }
        if spec.single_zone && zones.is_empty() {
            // The first zone that has room for all.
            let full = firsts.iter().filter(|f| f.1.len() == tasks);
            let (zone, _) = full.min_by_key(|f| f.1.back().map(|l| (l.0, &l.1)))?;
            zones.insert((*zone).clone(), 0);
        }
        let mut chosen: BTreeMap<MachineId, i64> = BTreeMap::new();
        let mut taken: Vec<(Arc<str>, usize)> = Vec::new();
        let mut last = 0;
        while taken.len() < tasks {
            let open = firsts
                .iter_mut()
                .filter(|f| zone_allowance(spec, &zones, f.0) > 0);
            let next = open
                .filter_map(|f| Some((f.1.front()?.clone(), f)))
                .min_by(|a, b| {
                    let key = |(f, _): &((Micros, MachineId, usize), _)| (f.0, f.1.clone());
                    key(a).cmp(&key(b))
                });
            let Some(((at, machine, place), from)) = next else {
                break;
            };
            from.1.pop_front();
            *zones.entry(from.0.clone()).or_default() += 1;
            *chosen.entry(machine).or_default() += 1;
            taken.push((from.0.clone(), place));
            last = at;
        }
        for (zone, place) in taken.into_iter().rev() {
            // Of each zone the later places come out first, so the others stay where they are.
            book.get_mut(&zone).and_then(|list| list.remove(place));
        }
        Some((chosen, last))
    }

    /// When a machine will have room for the first, the second, ... of a job's tasks.
    fn capacity_times(&self, m: &Machine, spec: &JobSpec, now: Micros) -> Vec<Micros> {
        let most = spec
            .resources
            .count_in(&m.capacity)
            .min(MAX_TASKS_PER_MACHINE) as usize;
        if !m.lifecycle.is_up {
            let at = self
                .expected_up_at(m, now)
                .filter(|_| !m.lifecycle.deleting && !m.lifecycle.quarantined);
            return at.map_or_else(Vec::new, |at| vec![at; most]);
        }
        if !m.is_schedulable(now, self.settings.report) {
            return Vec::new();
        }
        let mut ends: Vec<(Micros, Resources)> = m
            .attempts
            .iter()
            .filter(|(_, a)| a.holds_capacity)
            .map(|(id, a)| (self.expected_end(&id.task, a, now), a.resources))
            .collect();
        ends.sort_by_key(|e| e.0);
        let mut ends = ends.into_iter();
        let (mut free, mut at) = (m.free(), now);
        let mut times = Vec::new();
        for _ in 0..most {
            while !spec.resources.fits(&free) {
                let Some((end, need)) = ends.next() else {
                    return times;
                };
                free += need;
                at = end;
            }
            free -= spec.resources;
            times.push(at);
        }
        times
    }

    /// Whether the job's team has no guarantee: all that it uses is borrowed.
    pub fn has_no_guarantee(&self, job: &Job) -> bool {
        job.team
            .is_some_and(|t| self.settings.teams[t].guarantee == Resources::default())
    }

    /// What each team runs above its guarantee, less what has been told to stop.
    fn borrowed_quota(&self) -> BorrowedQuota {
        let mut out: BorrowedQuota = Vec::with_capacity(self.quota.team_usage.len());
        for (used, team) in self.quota.team_usage.iter().zip(&self.settings.teams) {
            out.push(*used - team.guarantee);
        }
        for a in self.machines.values().flat_map(|m| m.attempts.values()) {
            if let (Some(t), true, true) = (a.team, a.holds_capacity, a.stop_grace.is_some()) {
                out[t] -= a.resources;
            }
        }
        out
    }

    /// Preemption: makes room for a job of high priority by stopping work of lower priority, and
    /// for a job within its team's guarantee by stopping work that other teams run above theirs.
    /// What loses least is stopped first, and the room is kept for the job.
    pub fn preempt_for(&mut self, id: &JobId, tasks: usize, gathering: &mut GangPass, now: Micros) {
        let Some(job) = self.jobs.get(id).filter(|_| self.takeover.settled) else {
            return;
        };
        let spec = job.spec.clone();
        let urgent = spec.priority >= Priority::High;
        let gang = spec.shape == Shape::Gang;
        // An array's tasks find room as others end; stopping as many others only moves the work.
        // Only guests, whose teams have no guarantee at all, make way for them, where they save.
        if !(urgent || job.scheduling.within_guarantee) {
            return;
        }
        if gathering.catching_up
            && job
                .scheduling
                .preempted_for_at
                .is_some_and(|t| now < t + PREEMPTION_RETRY)
        {
            return;
        }
        if self.passes.steps.get() > gathering.step_limit {
            self.passes.gang_requests_deferred = true;
            return;
        }
        let guests_only = !urgent && !gang;
        let none = Resources::default();
        if guests_only && self.settings.teams.iter().all(|t| t.guarantee != none) {
            return;
        }
        let most = self.tasks_within_quota(job).clamp(0, 1000) as usize;
        // Enough room may be being made already.
        let kept = job.scheduling.reserved_until > now;
        let making: i64 = if kept && !gang {
            let kept = self
                .machines
                .values()
                .filter_map(|m| m.active_reservation(now));
            kept.filter(|k| k.job == *id).map(|k| k.tasks).sum()
        } else {
            0
        };
        let tasks = if gang {
            tasks
        } else {
            tasks.min(most).saturating_sub(making as usize)
        };
        if tasks == 0 {
            return;
        }
        let zones = self.zones_in_use(job);
        let asks = PreemptionRequest {
            spec: spec.clone(),
            team: job.team,
            within: job.scheduling.within_guarantee,
            tasks: if gang { tasks } else { 1 },
        };
        let fresh = zones.is_empty() && !kept && job.failure_tracking.failed_machines.is_empty();
        if fresh
            && gathering
                .infeasible
                .iter()
                .any(|h| h.implies_infeasible(&asks))
        {
            return;
        }
        let borrowed = gathering
            .borrowed
            .get_or_insert_with(|| self.borrowed_quota());
        let who = PreemptionClass {
            constraints: PlacementConstraints::of(&spec),
            shape: spec.shape,
            priority: spec.priority,
            team: job.team,
            within: job.scheduling.within_guarantee,
        };
        // Jobs that may stop the same work look for it in one book.
        let mut made = match gathering.preemption_plans.remove(&who) {
            Some(made) => made,
            None => self.preemption_plan(job, guests_only, borrowed, now),
        };
        let chosen =
            self.choose_earliest_capacity(&mut made.timeline, id, &spec, zones, tasks, now);
        let keep = chosen.map(|c| c.0).unwrap_or_default();
        let found: i64 = keep.values().sum();
        if found == 0 || (gang && found < tasks as i64) {
            // The book is made anew for the next: some of it may have been taken out.
            if fresh {
                gathering.infeasible.push(asks);
            }
            return;
        }
        let mut left = borrowed.clone();
        let mut stops = Vec::new();
        for (machine, n) in &keep {
            let Some(m) = self.machines.get(machine) else {
                continue;
            };
            let mut free = m.free_after_stops();
            for v in made.victims.remove(machine).into_iter().flatten() {
                if spec.resources.scaled_by(*n).fits(&free) {
                    break;
                }
                if let Some(t) = v.team {
                    // Never more than the team has borrowed.
                    if !Team::within(&left[t], &Resources::default(), &v.need) {
                        continue;
                    }
                    left[t] -= v.need;
                }
                free += v.need;
                stops.push(v.task);
            }
            // Half of a gang's room is of no use to it: then nothing is stopped.
            if gang && !spec.resources.scaled_by(*n).fits(&free) {
                return;
            }
        }
        *borrowed = left;
        gathering.preemption_plans.insert(who, made);
        if let Some(job) = self.jobs.get_mut(id) {
            job.scheduling.preempted_for_at = Some(now);
        }
        for (machine, tasks) in keep {
            self.reserve(
                &machine,
                Reservation {
                    job: id.clone(),
                    tasks,
                    expires_at: now + PREEMPTED_RESERVATION,
                },
            );
        }
        if !stops.is_empty() {
            tracing::info!(job = %id, stopped = stops.len(), tasks, urgent, "making room");
        }
        for task in stops {
            self.preempt(&task.job, task.index);
        }
    }

    /// What may be stopped for a job, and where that would make room for its tasks, by what is lost.
    fn preemption_plan(
        &self,
        job: &Job,
        guests_only: bool,
        borrowed: &BorrowedQuota,
        now: Micros,
    ) -> PreemptionPlan {
        let spec = &job.spec;
        let urgent = spec.priority >= Priority::High;
        let gang = spec.shape == Shape::Gang;
        let mut made = PreemptionPlan::default();
        for shelf in self
            .capacity_index
            .buckets
            .iter()
            .filter(|s| self.is_eligible_bucket(spec, &s.kind))
        {
            let list = made.timeline.entry(shelf.kind.zone.clone()).or_default();
            for m in shelf.machines.iter().filter_map(|m| self.machines.get(m)) {
                self.passes.add_steps(1 + m.attempts.len() as u64 / 4);
                if !m.is_schedulable(now, self.settings.report)
                    || (!gang && m.active_reservation(now).is_some())
                {
                    continue;
                }
                let mut victims = Vec::new();
                let mut free = m.free_after_stops();
                for (id, a) in m
                    .attempts
                    .iter()
                    .filter(|(_, a)| a.holds_capacity && a.stop_grace.is_none())
                {
                    let victim = self
                        .jobs
                        .get(&id.task.job)
                        .filter(|j| j.spec.shape != Shape::Gang);
                    let Some(j) = victim else { continue };
                    let lower = urgent && j.effective_priority() < spec.priority;
                    let above = job.scheduling.within_guarantee
                        && !j.scheduling.within_guarantee
                        && j.team != job.team
                        && (!guests_only
                            || self.has_no_guarantee(j) && j.spec.checkpoint_interval > 0)
                        && a.team.is_some_and(|t| {
                            Team::within(&borrowed[t], &Resources::default(), &a.resources)
                        });
                    if lower || above {
                        // A task that can save loses only its saving time.
                        let running = a.phase == AttemptPhase::Running;
                        let ran = if running {
                            now.saturating_sub(a.phase_since)
                        } else {
                            0
                        };
                        let loss = if j.spec.checkpoint_interval > 0 {
                            ran.min(j.spec.save_time)
                        } else {
                            ran
                        };
                        let team = a.team.filter(|_| !lower);
                        victims.push(Victim {
                            loss,
                            task: id.task.clone(),
                            need: a.resources,
                            team,
                        });
                    }
                }
                victims.sort_by_key(|v| (v.loss, v.task.index));
                let mut loss = 0;
                let mut used = victims.iter();
                for _ in 0..spec
                    .resources
                    .count_in(&m.capacity)
                    .min(MAX_TASKS_PER_MACHINE)
                {
                    let before = loss;
                    let mut enough = true;
                    while !spec.resources.fits(&free) {
                        let Some(v) = used.next() else {
                            enough = false;
                            break;
                        };
                        free += v.need;
                        loss += v.loss + 1;
                    }
                    // Room that is there already needs no making: what keeps an array off it is
                    // another rule. A gang needs it together with what is made.
                    if !enough || (!gang && loss == before) {
                        break;
                    }
                    free -= spec.resources;
                    list.push_back((loss - before, m.id.clone()));
                }
                made.victims.insert(m.id.clone(), victims);
            }
        }
        made.timeline
            .values_mut()
            .for_each(|list| list.make_contiguous().sort_unstable());
        made
    }
}

/// What each team runs above its guarantee.
type BorrowedQuota = Vec<Resources>;

/// A task that may be stopped to make room.
#[derive(Debug)]
struct Victim {
    /// The work that stopping it throws away.
    loss: Micros,
    task: TaskId,
    need: Resources,
    /// The team that has borrowed the room, if that is why it may be stopped.
    team: Option<usize>,
}
