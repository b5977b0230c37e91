//! Preemption: freeing capacity for a job by stopping less important work.
//!
//! A job of high priority may stop work of lower priority, and a job within its team's guarantee may stop work that
//! other teams run above theirs. Victims are chosen in order of least lost work. A job within its team's guarantee
//! never takes more from another team than that team has borrowed. A gang is never a victim, and nothing is preempted
//! for a gang unless the freed capacity is enough for the whole gang. The freed capacity is reserved for the job.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::model::{
    JobId, JobSpec, MachineId, Micros, Priority, Resources, SECOND, Shape, TaskId, Team,
};
use crate::scheduling::capacity_timeline::{
    CapacityTimeline, ChosenCapacity, MAX_TASKS_PER_MACHINE, PlacementConstraints, TaskCapacity,
};
use crate::scheduling::estimates::running_time;
use crate::state::attempt::Attempt;
use crate::state::cluster::Cluster;
use crate::state::job::Job;
use crate::state::machine::{Machine, Reservation};

/// A reservation of capacity that preemption has freed expires after this time.
const PREEMPTED_RESERVATION: Micros = 15 * SECOND;

/// Time budget of a pass for preemption, in microseconds, converted to steps at the rate of steps that policy allows.
const PREEMPTION_STEP_BUDGET: Micros = 500_000;

/// After a pass that ran out of its budget for preemption, jobs for which capacity was preempted yield to the others
/// for this time.
const PREEMPTION_RETRY: Micros = 3 * SECOND;

/// Maximum number of tasks of an array for which capacity is preempted at once.
const MAX_ARRAY_TASKS: i64 = 1000;

/// No resources: the guarantee of a team without a guarantee.
const NO_RESOURCES: Resources = Resources {
    cpu: 0,
    gpu: 0,
    memory: 0,
};

/// Resources that each team, by index, uses above its guarantee.
type BorrowedQuota = Vec<Resources>;

/// Capacity that preemption can free, as far as a pass has computed it.
#[derive(Debug, Default)]
pub(super) struct PreemptionPass {
    borrowed: Option<BorrowedQuota>,
    /// Number of scheduling steps after which nothing more is preempted in this pass.
    step_limit: u64,
    /// Whether all gangs gather capacity again in this pass, and an earlier pass ran out of its budget for preemption.
    catching_up: bool,
    /// Requests for which preemption cannot free enough capacity.
    infeasible: Vec<PreemptionRequest>,
    plans: HashMap<PreemptionClass, PreemptionPlan>,
}

/// Class of jobs that may preempt the same work for the same capacity.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct PreemptionClass {
    constraints: PlacementConstraints,
    shape: Shape,
    priority: Priority,
    team: Option<usize>,
    within_guarantee: bool,
}

/// Work that jobs of a class may preempt, and the capacity that these preemptions free. The timeline of this capacity
/// is ordered by lost work instead of time.
#[derive(Debug, Default)]
struct PreemptionPlan {
    timeline: CapacityTimeline,
    victims: HashMap<MachineId, Vec<Victim>>,
}

/// A task that may be preempted.
#[derive(Debug)]
struct Victim {
    /// Run time that is lost with the task, in microseconds.
    loss: Micros,
    task: TaskId,
    resources: Resources,
    /// Team that has borrowed the capacity; `None` if the task may be preempted because of its lower priority.
    borrower: Option<usize>,
}

/// A request for freed capacity for tasks of a job.
#[derive(Debug)]
struct PreemptionRequest {
    spec: Arc<JobSpec>,
    team: Option<usize>,
    within_guarantee: bool,
    tasks: usize,
}

impl PreemptionRequest {
    /// Whether `other` is certain to be infeasible if this request is.
    fn implies_infeasible(&self, other: &PreemptionRequest) -> bool {
        let (a, b) = (&self.spec, &other.spec);
        self.tasks <= other.tasks
            && (self.team, self.within_guarantee) == (other.team, other.within_guarantee)
            && a.shape == b.shape
            && a.priority == b.priority
            && a.resources.fits(&b.resources)
            && (&a.machine_types, &a.zone, a.spot) == (&b.machine_types, &b.zone, b.spot)
            && (a.single_zone, a.spread) == (b.single_zone, b.spread)
    }
}

/// The job for which other work is preempted.
#[derive(Clone, Copy)]
struct Preemptor<'a> {
    job: &'a Job,
    is_urgent: bool,
    is_gang: bool,
    /// Whether victims may only be tasks that save checkpoints and belong to teams without a guarantee.
    only_without_guarantee: bool,
}

impl<'a> Preemptor<'a> {
    fn new(job: &'a Job) -> Preemptor<'a> {
        let is_urgent = job.spec.priority >= Priority::High;
        let is_gang = job.spec.shape == Shape::Gang;
        Preemptor {
            job,
            is_urgent,
            is_gang,
            // The tasks of an array find capacity as other tasks end, so stopping as many other tasks would only
            // move the work.
            only_without_guarantee: !is_urgent && !is_gang,
        }
    }

    fn class(&self) -> PreemptionClass {
        PreemptionClass {
            constraints: PlacementConstraints::from(&*self.job.spec),
            shape: self.job.spec.shape,
            priority: self.job.spec.priority,
            team: self.job.team,
            within_guarantee: self.job.scheduling.within_guarantee,
        }
    }
}

/// The tasks to stop, and the borrowed resources after the stops.
struct Preemptions {
    tasks: Vec<TaskId>,
    borrowed: BorrowedQuota,
}

impl Cluster {
    /// Prepares the preemption state of a pass that begins now. `regather_all`: whether all gangs gather capacity again
    /// in the pass.
    pub(super) fn begin_preemption_pass(&mut self, regather_all: bool) -> PreemptionPass {
        let steps = PREEMPTION_STEP_BUDGET as f64 / self.pacing_delay(1).max(1) as f64;
        PreemptionPass {
            step_limit: self.passes.steps.get() + steps as u64,
            catching_up: regather_all
                && std::mem::take(&mut self.passes.preemption_requests_deferred),
            ..PreemptionPass::default()
        }
    }

    /// Whether the job's team has no guarantee, so that all its usage is borrowed.
    fn has_no_guarantee(&self, job: &Job) -> bool {
        job.team
            .is_some_and(|team| self.settings.teams[team].guarantee == NO_RESOURCES)
    }

    fn has_team_without_guarantee(&self) -> bool {
        let mut teams = self.settings.teams.iter();
        teams.any(|team| team.guarantee == NO_RESOURCES)
    }

    /// Returns the resources that each team uses above its guarantee, less the attempts that have been told to stop.
    fn borrowed_quota(&self) -> BorrowedQuota {
        let teams = self.quota.team_usage.iter().zip(&self.settings.teams);
        let mut borrowed: BorrowedQuota =
            teams.map(|(used, team)| *used - team.guarantee).collect();
        let machines = self.machines.values();
        for attempt in machines.flat_map(|machine| machine.attempts.values()) {
            let is_stopping = attempt.holds_capacity && attempt.stop_grace.is_some();
            if let Some(team) = attempt.team.filter(|_| is_stopping) {
                borrowed[team] -= attempt.resources;
            }
        }
        borrowed
    }

    /// Frees capacity for tasks of a job, if the job may preempt others, and reserves it.
    pub(super) fn preempt_for(
        &mut self,
        id: &JobId,
        tasks: usize,
        pass: &mut PreemptionPass,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get(id).filter(|_| self.takeover.is_settled) else {
            return;
        };
        let preemptor = Preemptor::new(job);
        if !may_preempt(&preemptor, pass, now) {
            return;
        }
        if self.passes.steps.get() > pass.step_limit {
            self.passes.preemption_requests_deferred = true;
            return;
        }
        if preemptor.only_without_guarantee && !self.has_team_without_guarantee() {
            return;
        }
        let tasks = self.tasks_to_preempt_for(&preemptor, tasks, now);
        if tasks == 0 {
            return;
        }
        let urgent = preemptor.is_urgent;
        let Some((chosen, victims)) = self.plan_preemption(&preemptor, tasks, pass, now) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(id) {
            job.scheduling.last_preemption_at = Some(now);
        }
        for (machine, tasks) in chosen.tasks_by_machine {
            let reservation = Reservation {
                job: id.clone(),
                tasks,
                expires_at: now + PREEMPTED_RESERVATION,
            };
            self.reserve(&machine, reservation);
        }
        if !victims.is_empty() {
            let preempted = victims.len();
            tracing::info!(job = %id, preempted, tasks, urgent, "preempting");
        }
        for task in victims {
            self.preempt(&task.job, task.index);
        }
    }

    /// Returns the number of tasks for which capacity is to be freed: all tasks of a gang, and the tasks of an array
    /// for which no capacity is reserved yet.
    fn tasks_to_preempt_for(&self, preemptor: &Preemptor<'_>, tasks: usize, now: Micros) -> usize {
        if preemptor.is_gang {
            return tasks;
        }
        let job = preemptor.job;
        let within_quota = self.tasks_within_quota(job).clamp(0, MAX_ARRAY_TASKS) as usize;
        let mut reserved = 0;
        if job.scheduling.reserved_until > now {
            reserved = self
                .machines
                .values()
                .filter_map(|machine| machine.active_reservation(now))
                .filter(|reservation| reservation.job == job.id)
                .map(|reservation| reservation.tasks)
                .sum::<i64>();
        }
        tasks.min(within_quota).saturating_sub(reserved as usize)
    }

    /// Chooses machines and their victims, in order of least lost work. Returns `None` if too little capacity can be
    /// freed.
    fn plan_preemption(
        &self,
        preemptor: &Preemptor<'_>,
        tasks: usize,
        pass: &mut PreemptionPass,
        now: Micros,
    ) -> Option<(ChosenCapacity, Vec<TaskId>)> {
        let job = preemptor.job;
        let zones = self.zones_in_use(job);
        let request = PreemptionRequest {
            spec: job.spec.clone(),
            team: job.team,
            within_guarantee: job.scheduling.within_guarantee,
            tasks: if preemptor.is_gang { tasks } else { 1 },
        };
        // The result for a typical job also holds for similar jobs.
        let is_typical =
            zones.is_empty() && job.scheduling.reserved_until <= now && !job.avoids_machines(now);
        let mut infeasible = pass.infeasible.iter();
        if is_typical && infeasible.any(|known| known.implies_infeasible(&request)) {
            return None;
        }
        let borrowed = pass.borrowed.get_or_insert_with(|| self.borrowed_quota());
        let class = preemptor.class();
        let mut plan = match pass.plans.remove(&class) {
            Some(plan) => plan,
            None => self.preemption_plan(preemptor, borrowed, now),
        };
        let timeline = &mut plan.timeline;
        let chosen = self.choose_earliest_capacity(timeline, &job.id, &job.spec, zones, tasks, now);
        let is_enough = |chosen: &ChosenCapacity| match preemptor.is_gang {
            true => chosen.tasks() >= (tasks as i64).max(1),
            false => chosen.tasks() > 0,
        };
        let Some(chosen) = chosen.filter(is_enough) else {
            // The plan is rebuilt for the next job, since parts of it may have been removed.
            if is_typical {
                pass.infeasible.push(request);
            }
            return None;
        };
        let preemptions = self.choose_victims(preemptor, &chosen, &mut plan, borrowed)?;
        *borrowed = preemptions.borrowed;
        pass.plans.insert(class, plan);
        Some((chosen, preemptions.tasks))
    }

    /// Chooses victims on the chosen machines, and removes these machines' victims from the plan. Returns `None` if a
    /// gang would get only a part of the capacity that it needs, which is of no use to the gang.
    fn choose_victims(
        &self,
        preemptor: &Preemptor<'_>,
        chosen: &ChosenCapacity,
        plan: &mut PreemptionPlan,
        borrowed: &BorrowedQuota,
    ) -> Option<Preemptions> {
        let mut preemptions = Preemptions {
            tasks: Vec::new(),
            borrowed: borrowed.clone(),
        };
        for (id, tasks) in &chosen.tasks_by_machine {
            let Some(machine) = self.machines.get(id) else {
                continue;
            };
            let needed = preemptor.job.spec.resources.scaled_by(*tasks);
            let mut free = machine.free_after_stops();
            for victim in plan.victims.remove(id).into_iter().flatten() {
                if needed.fits(&free) {
                    break;
                }
                if let Some(borrower) = victim.borrower {
                    let left = &mut preemptions.borrowed[borrower];
                    // A team's victims together never hold more than the team has borrowed.
                    if !Team::fits_within(left, &NO_RESOURCES, &victim.resources) {
                        continue;
                    }
                    *left -= victim.resources;
                }
                free += victim.resources;
                preemptions.tasks.push(victim.task);
            }
            if preemptor.is_gang && !needed.fits(&free) {
                return None;
            }
        }
        Some(preemptions)
    }

    /// Returns all work that a job may preempt, and the capacity that these preemptions free for its tasks, ordered
    /// by lost work.
    fn preemption_plan(
        &self,
        preemptor: &Preemptor<'_>,
        borrowed: &BorrowedQuota,
        now: Micros,
    ) -> PreemptionPlan {
        let spec = &preemptor.job.spec;
        let mut plan = PreemptionPlan::default();
        for bucket in self.eligible_buckets(spec) {
            let list = plan.timeline.zone_mut(&bucket.kind.zone);
            for machine in bucket
                .machines
                .iter()
                .filter_map(|id| self.machines.get(id))
            {
                self.count_machine_steps(machine);
                let is_reserved = machine.active_reservation(now).is_some();
                if !machine.is_schedulable(now, self.settings.heartbeat_interval)
                    || (!preemptor.is_gang && is_reserved)
                {
                    continue;
                }
                let mut victims = self.victims_on(machine, preemptor, borrowed, now);
                victims.sort_by_key(|victim| (victim.loss, victim.task.index));
                add_preemptible_capacity(machine, preemptor, &victims, list);
                plan.victims.insert(machine.id.clone(), victims);
            }
        }
        plan.timeline.sort();
        plan
    }

    /// Returns the tasks on a machine that a job may preempt.
    fn victims_on(
        &self,
        machine: &Machine,
        preemptor: &Preemptor<'_>,
        borrowed: &BorrowedQuota,
        now: Micros,
    ) -> Vec<Victim> {
        let mut victims = Vec::new();
        for (id, attempt) in &machine.attempts {
            if !attempt.holds_capacity || attempt.stop_grace.is_some() {
                continue;
            }
            let Some(job) = self.jobs.get(&id.task.job) else {
                continue;
            };
            if job.spec.shape == Shape::Gang {
                continue;
            }
            let has_lower_priority =
                preemptor.is_urgent && job.effective_priority() < preemptor.job.spec.priority;
            if !has_lower_priority && !self.is_reclaimable(preemptor, job, attempt, borrowed) {
                continue;
            }
            victims.push(Victim {
                loss: work_lost(job, attempt, now),
                task: id.task.clone(),
                resources: attempt.resources,
                borrower: attempt.team.filter(|_| !has_lower_priority),
            });
        }
        victims
    }

    /// Whether an attempt runs on capacity that its team has borrowed and that the preemptor's team is guaranteed.
    fn is_reclaimable(
        &self,
        preemptor: &Preemptor<'_>,
        job: &Job,
        attempt: &Attempt,
        borrowed: &BorrowedQuota,
    ) -> bool {
        let is_allowed_victim = !preemptor.only_without_guarantee
            || self.has_no_guarantee(job) && job.spec.checkpoint_interval > 0;
        preemptor.job.scheduling.within_guarantee
            && !job.scheduling.within_guarantee
            && job.team != preemptor.job.team
            && is_allowed_victim
            && attempt.team.is_some_and(|team| {
                Team::fits_within(&borrowed[team], &NO_RESOURCES, &attempt.resources)
            })
    }
}

/// Whether a job may preempt at all in this pass.
fn may_preempt(preemptor: &Preemptor<'_>, pass: &PreemptionPass, now: Micros) -> bool {
    let scheduling = &preemptor.job.scheduling;
    let was_just_served = scheduling
        .last_preemption_at
        .is_some_and(|at| now < at + PREEMPTION_RETRY);
    (preemptor.is_urgent || scheduling.within_guarantee) && !(pass.catching_up && was_just_served)
}

/// Returns the run time that is lost if an attempt is stopped now. An attempt that saves checkpoints loses at
/// most the time that saving takes.
fn work_lost(job: &Job, attempt: &Attempt, now: Micros) -> Micros {
    let ran = running_time(attempt, now);
    if job.spec.checkpoint_interval > 0 {
        ran.min(job.spec.save_time)
    } else {
        ran
    }
}

/// Adds the capacity that preempting a machine's victims frees, one entry for each task of the preemptor that fits
/// then.
fn add_preemptible_capacity(
    machine: &Machine,
    preemptor: &Preemptor<'_>,
    victims: &[Victim],
    list: &mut VecDeque<TaskCapacity>,
) {
    let needed = preemptor.job.spec.resources;
    let max_tasks = needed
        .times_fitting_in(&machine.capacity)
        .min(MAX_TASKS_PER_MACHINE);
    let mut free = machine.free_after_stops();
    let mut victims = victims.iter();
    for _ in 0..max_tasks {
        let mut loss = 0;
        while !needed.fits(&free) {
            let Some(victim) = victims.next() else {
                return;
            };
            free += victim.resources;
            loss += victim.loss + 1;
        }
        // Free capacity needs no preemption: if an array does not use free capacity, some other rule prevents the use.
        // A gang needs the free capacity together with the freed capacity.
        if !preemptor.is_gang && loss == 0 {
            return;
        }
        free -= needed;
        list.push_back(TaskCapacity {
            at: loss,
            machine: machine.id.clone(),
        });
    }
}
