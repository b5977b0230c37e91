//! The fleet: renting, returning, and noticing machines that have gone bad.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use crate::model::{
    AttemptId, MachineId, Micros, Resources, SECOND, Shape, TaskId, micros_from_seconds,
    seconds_from_micros,
};
use crate::policy::{Setting, Value};
use crate::scheduling::zones::ZoneTaskCounts;
use crate::state::attempt::{Attempt, AttemptPhase};
use crate::state::cluster::Cluster;
use crate::state::fleet::{CloudCall, Offer, PendingProvision};
use crate::state::job::Job;
use crate::state::machine::Machine;
use crate::state::pass_state::SchedulingCost;
use crate::state::provisioning_times::OVERDUE_FACTOR;

/// What the cloud charges at least for a machine that is deleted.
const MIN_BILLED_TIME: Micros = 60 * SECOND;
const MAX_MACHINES_PER_RENTAL: u32 = 50;
const MAX_MACHINES_PER_DELETION: usize = 100;
/// A zone from which nothing was heard for this long is tried with one machine.
const UNREACHABLE_ZONE_RETRY: Micros = 30 * SECOND;
/// How often work is looked over for machines to empty, and what part of those that could be are
/// emptied at once.
const CONSOLIDATION_INTERVAL: Micros = 3 * SECOND;
const CONSOLIDATION_FRACTION: usize = 8;
/// A task that has run for less is left alone.
const MIN_RUN_TIME_BEFORE_MOVE: Micros = 35 * SECOND;
/// What a move takes beside saving and fetching: reports on both sides.
const MOVE_OVERHEAD: Micros = 5 * SECOND;
/// Machines that are looked at to find one for a task that is to be moved.
const MAX_HOSTS_EXAMINED: usize = 50;
/// How long a refusal is remembered while nothing has been given back.
const REFUSAL_MEMORY: Micros = 120 * SECOND;

/// Room beside what runs, by machine and by free CPU.
#[derive(Default)]
struct SpareCapacity {
    free: HashMap<MachineId, Resources>,
    by_cpu: BTreeSet<(i64, MachineId)>,
}

impl SpareCapacity {
    fn insert(&mut self, id: MachineId, free: Resources) {
        self.by_cpu.insert((free.cpu, id.clone()));
        self.free.insert(id, free);
    }

    fn remove(&mut self, id: &MachineId) -> Option<Resources> {
        let free = self.free.remove(id)?;
        self.by_cpu.remove(&(free.cpu, id.clone()));
        Some(free)
    }
}

impl Cluster {
    /// The calls to make to the cloud now.
    pub fn plan_cloud_calls(&mut self, now: Micros) -> Vec<CloudCall> {
        let before = self.passes.steps.get();
        let earned = now.saturating_sub(self.fleet.refilled_at) as f64 / SECOND as f64;
        self.fleet.rate_tokens = (self.fleet.rate_tokens + earned * self.fleet.rate)
            .min((self.fleet.rate * 2.0).max(1.0));
        self.fleet.refilled_at = now;
        let mut calls = Vec::new();
        if now < self.fleet.paused_until {
            // Nothing can be asked for; what is there is still planned with.
            self.fleet.rate_tokens = 0.0;
        }
        while let Some(call) = self.fleet.calls_to_retry.pop() {
            if !self.fleet.try_take_token(0.0) {
                self.fleet.calls_to_retry.push(call);
                break;
            }
            calls.push(call);
        }
        if now >= self.fleet.next_summary_at {
            self.fleet.next_summary_at = now + 10 * SECOND;
            self.log_summary(now);
        }
        self.detect_unreachable_zones(now);
        self.return_unhealthy(now);
        let leads = self.shard.id == 0;
        if self.takeover.settled || self.all_workers_had_time_to_report(now) {
            match leads {
                true => self.scale_out(now, &mut calls),
                // Block 0's holder rents for all.
                false => self.machine_demand = self.machines_wanted(now),
            }
        }
        if leads {
            self.scale_out_for_shards(now, &mut calls, MAX_MACHINES_PER_RENTAL);
        }
        if self.takeover.settled {
            self.scale_in(now);
            self.consolidate(now);
        }
        let doomed: Vec<String> = self
            .machines
            .values()
            .filter(|m| m.lifecycle.deleting)
            .map(|m| m.id.to_string())
            .collect();
        if !doomed.is_empty() && !self.fleet.delete_in_flight && self.fleet.try_take_token(0.0) {
            self.fleet.delete_in_flight = true;
            let machines = doomed.into_iter().take(MAX_MACHINES_PER_DELETION).collect();
            calls.push(CloudCall::Delete { machines });
        }
        if leads
            && !self.fleet.listing_in_flight
            && now >= self.fleet.next_listing_at
            && self.fleet.try_take_token(1.0)
        {
            self.fleet.listing_in_flight = true;
            calls.push(CloudCall::List {
                after: self.fleet.listing_cursor.clone(),
            });
        }
        if leads && now >= self.fleet.next_machine_types_at && self.fleet.try_take_token(1.0) {
            self.fleet.next_machine_types_at = now + 30 * SECOND;
            calls.push(CloudCall::MachineTypes);
        }
        let steps = self.passes.steps.get() - before;
        self.passes.next_plan_at = now + self.pacing_delay(steps);
        self.passes.cost.plans += 1;
        self.passes.cost.plan_steps += steps;
        self.passes.cost.max_steps = self.passes.cost.max_steps.max(steps);
        calls
    }

    /// Asks for what the plan wants, one request for each offer and then more of them, as far as the
    /// cloud's rate goes: a large cluster's plans are too far apart to ask for the rest next time.
    fn scale_out(&mut self, now: Micros, calls: &mut Vec<CloudCall>) {
        let mut wanted = self.machines_wanted(now);
        while !wanted.is_empty() {
            let mut rest = BTreeMap::new();
            for (offer, count) in wanted {
                if !self.fleet.try_take_token(0.0) {
                    return;
                }
                // One machine is enough to try a zone that was cut off.
                let dark = self.zones.unreachable.contains_key(&*offer.zone);
                let now = count.min(if dark { 1 } else { MAX_MACHINES_PER_RENTAL });
                if count > now && !dark {
                    rest.insert(offer.clone(), count - now);
                }
                calls.push(self.rent(offer, now));
            }
            wanted = rest;
        }
    }

    /// A request for machines of an offer.
    pub(crate) fn rent(&mut self, offer: Offer, count: u32) -> CloudCall {
        self.fleet.request_count += 1;
        // The term in the name keeps it from ever being used by another leader.
        let name = format!("r-{}-{}", self.fleet.term, self.fleet.request_count);
        tracing::info!(%name, flavor = %self.machine_types[offer.machine_type].name, zone = %offer.zone,
            spot = offer.spot, count, "renting");
        let pending = PendingProvision {
            offer: offer.clone(),
            count,
        };
        self.fleet.pending_provisions.insert(name.clone(), pending);
        CloudCall::Provision {
            name,
            offer,
            count,
            tries: 0,
        }
    }

    /// Logs what the machines of each offer are used for, and what deciding has cost.
    fn log_summary(&mut self, now: Micros) {
        let SchedulingCost {
            passes,
            pass_steps,
            plans,
            plan_steps,
            max_steps: most,
        } = std::mem::take(&mut self.passes.cost);
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let (jobs, machines) = (self.jobs.len(), self.machines.len());
        tracing::debug!(
            passes, pass_steps, plans, plan_steps, most, jobs, machines, "deciding"
        );
        #[derive(Default)]
        struct MachineGroupUse {
            booting: u32,
            up: u32,
            idle: u32,
            kept: u32,
            cpus: i64,
            running: i64,
            fetching: i64,
        }
        let mut by_kind: BTreeMap<(usize, bool), MachineGroupUse> = BTreeMap::new();
        for m in self.machines.values() {
            let Some(flavor) = m.machine_type else {
                continue;
            };
            let used = by_kind.entry((flavor, m.spot)).or_default();
            if !m.lifecycle.is_up {
                used.booting += 1;
                continue;
            }
            used.up += 1;
            used.idle += u32::from(m.attempts.is_empty());
            used.kept += u32::from(m.active_reservation(now).is_some());
            used.cpus += m.capacity.cpu / 1000;
            for a in m.attempts.values().filter(|a| a.holds_capacity) {
                match a.phase {
                    AttemptPhase::Running | AttemptPhase::Saving => {
                        used.running += a.resources.cpu / 1000
                    }
                    _ => used.fetching += a.resources.cpu / 1000,
                }
            }
        }
        for ((flavor, spot), u) in by_kind {
            let MachineGroupUse {
                booting,
                up,
                idle,
                kept,
                cpus,
                running,
                fetching,
            } = u;
            let flavor = &self.machine_types[flavor].name;
            tracing::debug!(%flavor, spot, booting, up, idle, kept, cpus, running, fetching, "fleet");
        }
    }

    /// Machines that stay silent, never boot or have been judged faulty are given back.
    fn return_unhealthy(&mut self, now: Micros) {
        let limit = self.lease_expiry_bound();
        let boots = &mut self.fleet.provisioning_times;
        for m in self.machines.values_mut().filter(|m| !m.lifecycle.deleting) {
            let usual = m
                .machine_type
                .map_or(60 * SECOND, |f| self.machine_types[f].boot_time);
            let expected = m
                .machine_type
                .map(|f| boots.expected_boot_time(f, &m.zone, usual, now));
            let boot = usual.max(expected.unwrap_or(0));
            // What boots in a zone that is cut off is of no use, but its first minute is paid.
            let dark = self.zones.unreachable.contains_key(&m.zone);
            let most = if dark {
                MIN_BILLED_TIME.max(2 * boot)
            } else {
                max_boot_time(boot)
            };
            let age = now.saturating_sub(m.lifecycle.provisioned_at.max(m.lifecycle.known_since));
            let stuck = !m.lifecycle.is_up && age > most;
            if let Some(f) = m.machine_type.filter(|_| !m.lifecycle.is_up && !dark) {
                if stuck {
                    boots.record_lost(f, &m.zone, now);
                } else if !m.lifecycle.boot_overdue && age as f64 > OVERDUE_FACTOR * boot as f64 {
                    m.lifecycle.boot_overdue = true;
                    boots.record_overdue(f, &m.zone, now);
                    tracing::debug!(machine = %m.id, age_s = seconds_from_micros(age) as u32, "late to boot");
                }
            }
            // The lease has run out, so nothing is lost with a machine that stays silent.
            let silent = m.lifecycle.is_up && now > m.worker.last_answered_at + limit;
            let idle = m.attempts.values().all(|a| !a.holds_capacity);
            let useless =
                (m.lifecycle.quarantined || m.lifecycle.preemption_notice || m.lifecycle.draining)
                    && idle
                    && m.lifecycle.is_up;
            if stuck || silent || useless {
                let why = if stuck {
                    "it does not boot"
                } else if silent {
                    "it is silent"
                } else if m.lifecycle.quarantined {
                    "it is faulty"
                } else if m.lifecycle.draining {
                    "its work has been moved"
                } else {
                    "the cloud takes it back"
                };
                tracing::info!(machine = %m.id, why, "returning");
                m.lifecycle.deleting = true;
            }
        }
    }

    /// Gives back machines that have been idle for as long as policy keeps them.
    fn scale_in(&mut self, now: Micros) {
        let empty = |m: &&Machine| {
            let awaited = now < m.placement.planned_work_until;
            m.lifecycle.is_up
                && !m.lifecycle.deleting
                && m.attempts.is_empty()
                && m.active_reservation(now).is_none()
                && !awaited
        };
        // The shortest idle first: the others have that many spares beside them.
        let mut idle: Vec<(Micros, MachineId)> = self
            .machines
            .values()
            .filter(empty)
            .map(|m| (m.placement.idle_since, m.id.clone()))
            .collect();
        idle.sort_by(|a, b| b.cmp(a));
        let mut spares: HashMap<(usize, bool), u32> = HashMap::new();
        for (_, id) in idle {
            let Some(m) = self.machines.get_mut(&id) else {
                continue;
            };
            let Some(f) = m.machine_type else { continue };
            let others = spares.entry((f, m.spot)).or_default();
            *others += 1;
            // The first minute is charged anyway.
            if now + SECOND <= m.lifecycle.provisioned_at + MIN_BILLED_TIME {
                continue;
            }
            let flavor = &self.machine_types[f];
            let boot = self
                .fleet
                .provisioning_times
                .expected_boot_time(f, &m.zone, flavor.boot_time, now)
                .max(flavor.boot_time);
            let urgent = m
                .placement
                .high_priority_placed_at
                .map_or(1e9, |t| seconds_from_micros(now.saturating_sub(t)));
            let facts = [
                Value::Text(&flavor.name),
                Value::Text(&m.zone),
                Value::Bool(m.spot),
                Value::Number(flavor.size.cpu as f64 / 1000.0),
                Value::Number(flavor.price_of(m.spot)),
                Value::Number(seconds_from_micros(boot)),
                Value::Number(urgent),
                Value::Number(f64::from(*others - 1)),
            ];
            let keep = micros_from_seconds(self.settings.policy.number(Setting::Idle, &facts));
            if now > m.placement.idle_since + keep {
                tracing::info!(machine = %m.id, why = "it is idle", "returning");
                m.lifecycle.deleting = true;
            }
        }
    }

    /// Long tasks that can save are moved together when nothing waits for room: a machine that would
    /// be held by a few of them for long is emptied and returned.
    fn consolidate(&mut self, now: Micros) {
        if now < self.fleet.next_move_at {
            return;
        }
        self.fleet.next_move_at = now + CONSOLIDATION_INTERVAL;
        let waits =
            |j: &Job| !j.cancelled && !j.tasks.pending.is_empty() && self.tasks_within_quota(j) > 0;
        let moving = self
            .machines
            .values()
            .any(|m| m.lifecycle.draining && !m.lifecycle.deleting);
        if moving || self.jobs.values().any(waits) {
            return;
        }
        // Room beside what runs, on machines that stay.
        let mut room = SpareCapacity::default();
        let mut sources: Vec<(f64, MachineId, Vec<TaskId>)> = Vec::new();
        for m in self.machines.values() {
            if !m.is_schedulable(now, self.settings.report) || m.attempts.is_empty() {
                continue;
            }
            self.passes.add_steps(1);
            if m.free().cpu > 0 && m.active_reservation(now).is_none() {
                room.insert(m.id.clone(), m.free());
            }
            let task = |(id, a): (&AttemptId, &Attempt)| {
                self.is_worth_moving(m, &id.task, a, now)
                    .then(|| id.task.clone())
            };
            let tasks: Option<Vec<_>> = m.attempts.iter().map(task).collect();
            if let (Some(tasks), Some(f)) = (tasks, m.machine_type) {
                let price = self.machine_types[f].price_of(m.spot);
                sources.push((price / m.used.cpu.max(1) as f64, m.id.clone(), tasks));
            }
        }
        // What saves most for the work that is moved goes first.
        sources.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        let most = sources.len().div_ceil(CONSOLIDATION_FRACTION);
        let mut hosts: HashSet<MachineId> = HashSet::new();
        let mut leaving = Vec::new();
        for (_, id, tasks) in sources {
            if leaving.len() >= most {
                break;
            }
            // One that others are moved to stays.
            if hosts.contains(&id) {
                continue;
            }
            let own = room.remove(&id);
            let taken: Vec<_> = tasks
                .iter()
                .map_while(|t| self.reserve_host(t, &mut room, now))
                .collect();
            if taken.len() == tasks.len() {
                hosts.extend(taken.into_iter().map(|t| t.0));
                leaving.push((id, tasks));
                continue;
            }
            for (to, need) in taken {
                let free = room.remove(&to).unwrap_or_default();
                room.insert(to, free - need.scaled_by(-1));
            }
            if let Some(free) = own {
                room.insert(id, free);
            }
        }
        for (id, tasks) in leaving {
            tracing::info!(machine = %id, tasks = tasks.len(), "moving its work elsewhere");
            if let Some(m) = self.machines.get_mut(&id) {
                m.lifecycle.draining = true;
            }
            tasks.iter().for_each(|t| self.preempt(&t.job, t.index));
        }
    }

    /// Takes room for a task that is to be moved, where the least is left over.
    fn reserve_host(
        &self,
        task: &TaskId,
        room: &mut SpareCapacity,
        now: Micros,
    ) -> Option<(MachineId, Resources)> {
        let spec = &self.jobs.get(&task.job)?.spec;
        let may = |to: &MachineId| {
            self.passes.add_steps(1);
            let free = room
                .free
                .get(to)
                .is_some_and(|free| spec.resources.fits(free));
            let m = self.machines.get(to).filter(|_| free);
            m.is_some_and(|m| self.can_host(m, &task.job, spec, &ZoneTaskCounts::new(), now))
        };
        let none: MachineId = Arc::from("");
        let mut roomy = room
            .by_cpu
            .range((spec.resources.cpu, none)..)
            .take(MAX_HOSTS_EXAMINED);
        let to = roomy.find(|(_, to)| may(to))?.1.clone();
        let free = room.remove(&to)?;
        room.insert(to.clone(), free - spec.resources);
        Some((to, spec.resources))
    }

    /// Whether stopping a task here and going on with it elsewhere costs little against the time
    /// that it still holds its machine.
    fn is_worth_moving(&self, m: &Machine, task: &TaskId, attempt: &Attempt, now: Micros) -> bool {
        let (Some(job), Some(f)) = (self.jobs.get(&task.job), m.machine_type) else {
            return false;
        };
        let spec = &job.spec;
        let cost = spec.save_time + self.fetch_time(spec) + MOVE_OVERHEAD;
        spec.shape == Shape::Array
            && !spec.is_zone_constrained()
            && spec.checkpoint_interval > 0
            && attempt.phase == AttemptPhase::Running
            && attempt.stop_grace.is_none()
            && now > attempt.phase_since + MIN_RUN_TIME_BEFORE_MOVE
            && self.expected_end(task, attempt, now)
                > now + 4 * cost + self.machine_types[f].boot_time
    }

    /// Machines of an offer that are rented now.
    pub(crate) fn machines_of_offer(&self, offer: &Offer) -> usize {
        self.capacity_index
            .machine_count(offer.machine_type, &offer.zone, offer.spot)
    }

    /// Whether an offer was refused lately. As long as no machine of it has been given back or
    /// taken since, the cloud most likely still has none.
    pub fn is_offer_blocked(&self, offer: &Offer, now: Micros) -> bool {
        if let Some(at) = self.zones.unreachable.get(&*offer.zone) {
            // Tried with one machine now and then.
            let tried = self
                .machines
                .values()
                .any(|m| !m.lifecycle.is_up && *m.zone == *offer.zone)
                || self
                    .fleet
                    .pending_provisions
                    .values()
                    .any(|pending| pending.offer.zone == offer.zone);
            if tried || now < at + UNREACHABLE_ZONE_RETRY {
                return true;
            }
        }
        self.fleet.refusals.get(offer).is_some_and(|r| {
            now < r.until
                || (now < r.at + REFUSAL_MEMORY
                    && self.machines_of_offer(offer) >= r.machines_held.max(1))
        })
    }
}

/// How long a machine may take to boot before it is given up.
pub fn max_boot_time(boot: Micros) -> Micros {
    3 * boot + 20 * SECOND
}
