//! The plan of the fleet: what has to be rented for the queue to be served in time.
//!
//! The plan plays the queue forward on the machines there are and those that are on their way.
//! Machines of one kind stand in a line. For tasks of one shape a book says of each line which machine has
//! room first, and all jobs of that shape read the same book; what a step takes is entered in all books
//! of its line. So a plan costs its steps and its machines, not the one times the other.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

use crate::model::{
    JobSpec, MachineId, Micros, Resources, SECOND, Shape, UNLIMITED, micros_from_seconds,
};
use crate::policy::Setting;
use crate::scheduling::autoscaler::max_boot_time;
use crate::scheduling::zones::{ZoneTaskCounts, is_zone_allowed};
use crate::state::cluster::Cluster;
use crate::state::fleet::{Offer, PendingProvision};

/// Steps of a plan, in queue order, and so many more for each machine there is: else a large cluster's
/// plan would end among the machines it has, and never come to what has to be rented. A plan is made
/// anew all the time. A step places all tasks of a job that start on one machine at one time.
const BASE_STEPS: usize = 3000;
const STEPS_PER_MACHINE: usize = 12;

/// Jobs behind the first that are looked at for what else a new machine would be used for.
const LOOKAHEAD_JOBS: usize = 32;

/// So many different needs have books of their own; of more, similar ones share one.
const MAX_EXACT_SHAPES: usize = 24;

/// The part of the time left that is counted on for work that will be released soon.
const UPCOMING_SLACK: f64 = 0.2;

/// Work of a job that found no room: how many tasks, and where its other tasks are.
struct PendingWork {
    spec: Arc<JobSpec>,
    tasks: i64,
    zones: ZoneTaskCounts,
    run_time: Micros,
    /// When its tasks can start at the earliest: those of a job that waits for others, at its release.
    earliest_start: Micros,
    /// When its tasks have to start, on our clock.
    latest_start: Micros,
}

/// A machine's future as the plan sees it: its room, and when more of it comes free.
struct MachineForecast {
    group: usize,
    zone: Arc<str>,
    free: Resources,
    available_at: Micros,
    /// The earliest last: when, how many tasks end, and the room of all of them.
    releases: Vec<(Micros, u32, Resources)>,
    /// The machine, if it is there.
    machine: Option<MachineId>,
    /// Counts what was taken: what a book says of an earlier state is out of date.
    version: u32,
}

impl MachineForecast {
    /// The earliest start of a task that needs `need`. Waiting for several tasks to end takes
    /// longer than each is expected to run: the last of k is late by about the logarithm of k.
    fn earliest_start(&self, need: &Resources, now: Micros) -> Micros {
        let mut free = self.free;
        if need.fits(&free) {
            return self.available_at;
        }
        let mut k = 0;
        for (at, tasks, room) in self.releases.iter().rev() {
            free += *room;
            k += tasks;
            if need.fits(&free) {
                if *at == Micros::MAX {
                    // Replicas run until they are cancelled; adding to their end would overflow.
                    return Micros::MAX;
                }
                let late = 1.0 + 0.25 * f64::from(k).log2();
                let wait = at.saturating_sub(now) as f64 * late;
                return (now + wait as Micros).max(self.available_at);
            }
        }
        Micros::MAX
    }

    /// Takes all the tasks that can start at `start`.
    fn reserve_tasks(&mut self, w: &mut PendingWork, start: Micros) {
        self.version += 1;
        while let Some((at, _, room)) = self.releases.last().copied() {
            if at > start || w.spec.resources.fits(&self.free) {
                break;
            }
            self.releases.pop();
            self.free += room;
        }
        self.available_at = self.available_at.max(start);
        let mut most = w.spec.resources.count_in(&self.free).min(w.tasks);
        if w.spec.spread {
            let here = w.zones.get(&self.zone).copied().unwrap_or(0);
            most = most.min(i64::from(w.spec.max_tasks_per_zone().saturating_sub(here)));
        }
        let most = most.max(1);
        let all = w.spec.resources.scaled_by(most);
        self.free -= all;
        // Replicas do not end, and the tasks of a gang need all their room at the same time: one
        // must not be planned to follow another.
        let ends = match w.spec.shape {
            Shape::Array => true,
            Shape::Gang => w.spec.tasks == 1,
            Shape::Service => false,
        };
        if ends {
            let end = start + w.run_time.max(SECOND);
            let place = self.releases.partition_point(|r| r.0 > end);
            self.releases.insert(place, (end, most as u32, all));
        }
        if w.spec.is_zone_constrained() {
            *w.zones.entry(self.zone.clone()).or_default() += most as u32;
        }
        w.tasks -= most;
    }
}

/// Machines of one kind.
struct MachineGroup {
    flavor: usize,
    zone: Arc<str>,
    spot: bool,
    /// Per hour and thousandth of a CPU.
    price: f64,
    members: Vec<usize>,
}

/// Of each line, when its lanes have room for a task of a shape, the soonest first, with the lanes'
/// versions. `None`: no job has asked yet.
type ShapeIndex = Vec<Option<BinaryHeap<Reverse<(Micros, usize, u32)>>>>;

/// Tasks whose needs differ by less than an eighth read the same book, made for the least of them.
fn coarse_shape(need: &Resources) -> Resources {
    let coarse = |x: i64| {
        let bits = 63 - x.max(1).leading_zeros();
        let step = 1i64 << bits.saturating_sub(3);
        x / step * step
    };
    Resources {
        cpu: coarse(need.cpu),
        gpu: coarse(need.gpu),
        memory: coarse(need.memory),
    }
}

/// The machines there are and that will be, as the plan sees them.
#[derive(Default)]
struct Forecast {
    groups: Vec<MachineGroup>,
    group_index: HashMap<(usize, Arc<str>, bool), usize>,
    machines: Vec<MachineForecast>,
    shape_indexes: HashMap<Resources, ShapeIndex>,
    now: Micros,
    steps: u64,
}

/// Where a job's next tasks would start.
struct PlacementChoice {
    start: Micros,
    machine: usize,
    line: usize,
}

/// What a job has read from a book and not used: one for each line, at the most.
type GroupCandidates = Vec<BinaryHeap<Reverse<(Micros, usize, Micros)>>>;

impl Forecast {
    /// The line of a kind.
    fn group_for(&mut self, flavor: usize, zone: &Arc<str>, spot: bool, price: f64) -> usize {
        let next = self.groups.len();
        let line = *self
            .group_index
            .entry((flavor, zone.clone(), spot))
            .or_insert(next);
        if line == next {
            let zone = zone.clone();
            self.groups.push(MachineGroup {
                flavor,
                zone,
                spot,
                price,
                members: Vec::new(),
            });
            self.shape_indexes.values_mut().for_each(|b| b.push(None));
        }
        line
    }

    fn add_machine(&mut self, lane: MachineForecast) -> usize {
        let i = self.machines.len();
        self.groups[lane.group].members.push(i);
        self.machines.push(lane);
        self.index_machine(i);
        i
    }

    /// Enters a lane in all books of its line that have been opened.
    fn index_machine(&mut self, i: usize) {
        let lane = &self.machines[i];
        for (need, book) in &mut self.shape_indexes {
            if let Some(Some(heap)) = book.get_mut(lane.group) {
                self.steps += 1;
                let start = lane.earliest_start(need, self.now);
                if start < Micros::MAX {
                    heap.push(Reverse((start, i, lane.version)));
                }
            }
        }
    }

    /// Reads on in a line's book until nothing in it can be sooner than the soonest read.
    fn read_group(
        &mut self,
        line: usize,
        key: &Resources,
        w: &PendingWork,
        read: &mut GroupCandidates,
    ) {
        let lines = self.groups.len();
        let book = self
            .shape_indexes
            .entry(*key)
            .or_insert_with(|| (0..lines).map(|_| None).collect());
        let heap = book[line].get_or_insert_with(|| {
            let open = self.groups[line].members.iter().map(|i| {
                Reverse((
                    self.machines[*i].earliest_start(key, self.now),
                    *i,
                    self.machines[*i].version,
                ))
            });
            self.steps += self.groups[line].members.len() as u64;
            open.filter(|e| e.0.0 < Micros::MAX).collect()
        });
        let mine = &mut read[line];
        while let Some(Reverse((least, i, version))) = heap.peek().copied() {
            // Those that have room before the job is released are as good as one another.
            if mine
                .peek()
                .is_some_and(|Reverse(m)| (m.0, m.1) <= (least.max(w.earliest_start), i))
            {
                break;
            }
            heap.pop();
            self.steps += 1;
            if self.machines[i].version == version {
                // One that never has room for this job may have some for the next of its shape: it is
                // put back with the others.
                let start = self.machines[i]
                    .earliest_start(&w.spec.resources, self.now)
                    .max(w.earliest_start);
                mine.push(Reverse((start, i, least)));
            }
        }
    }

    /// The best place for a job's next tasks: in time at the least price, else the soonest.
    fn best_choice(
        &mut self,
        w: &PendingWork,
        key: &Resources,
        allowed: &[usize],
        read: &mut GroupCandidates,
    ) -> Option<PlacementChoice> {
        let mut best: Option<((bool, u64, u64, usize), PlacementChoice)> = None;
        for line in allowed.iter().copied() {
            if !is_zone_allowed(&w.spec, &w.zones, &self.groups[line].zone) {
                continue;
            }
            self.read_group(line, key, w, read);
            let soonest = read[line]
                .peek()
                .copied()
                .filter(|Reverse(r)| r.0 < Micros::MAX);
            let Some(Reverse((start, lane, _))) = soonest else {
                continue;
            };
            // Prices are positive, and such numbers are in the order of their bits.
            let price = self.groups[line].price.max(0.0).to_bits();
            let late = start > w.latest_start;
            let rank = if late {
                (late, start, price, lane)
            } else {
                (late, price, start, lane)
            };
            if best.as_ref().is_none_or(|(r, _)| rank < *r) {
                best = Some((
                    rank,
                    PlacementChoice {
                        start,
                        machine: lane,
                        line,
                    },
                ));
            }
        }
        best.map(|b| b.1)
    }

    /// Puts back what a job has read and not used.
    fn return_candidates(&mut self, key: &Resources, read: GroupCandidates) {
        let Some(book) = self.shape_indexes.get_mut(key) else {
            return;
        };
        for (heap, mine) in book.iter_mut().zip(read) {
            for Reverse((_, i, least)) in mine {
                let entry = Reverse((least, i, self.machines[i].version));
                heap.iter_mut().for_each(|h| h.push(entry));
            }
        }
    }
}

/// An offer as a plan sees it.
struct PricedOffer {
    offer: Offer,
    /// Its price, dearer by what is lost while it boots.
    price: f64,
}

impl Cluster {
    /// Work that has no room now and may run under its team's limit, in queue order.
    fn pending_work(&self, now: Micros) -> Vec<PendingWork> {
        let mut spare: Vec<Resources> = (0..self.quota.team_usage.len())
            .map(|t| self.remaining_quota(t))
            .collect();
        let mut out = Vec::new();
        for (id, within) in self.queue.jobs() {
            self.passes.add_steps(1);
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let Some(t) = job.team else { continue };
            let pending = job.placeable_count() as i64;
            if pending == 0 {
                continue;
            }
            spare[t].memory = UNLIMITED;
            let need = Resources {
                memory: 0,
                ..job.spec.resources
            };
            let backing = job
                .tasks
                .backoff
                .values()
                .filter(|b| b.until > now + 10 * SECOND)
                .count() as i64;
            let mut tasks = (pending - backing).min(need.count_in(&spare[t]));
            tasks = tasks.min(
                job.tasks_worth_provisioning(now)
                    .saturating_sub(job.tasks.live_attempts.len() as i64),
            );
            if job.spec.shape == Shape::Gang && tasks < i64::from(job.tasks.pending.len()) {
                // Of one that is in doubt, or has no room under its team's limit, nothing is planned.
                tasks = 0;
            }
            if tasks <= 0 {
                continue;
            }
            spare[t] -= need.scaled_by(tasks);
            let zones = self.zones_in_use(job);
            let run = self.expected_run(&job.spec);
            // Estimates are rough: only a part of the time left is counted on.
            let latest = self.latest_start(job, within);
            let facts = self.policy_inputs(job, within, latest);
            let policy = &self.settings.policy;
            let slack = match latest {
                Some(t) => {
                    let part = policy.number(Setting::PlanSlack, &facts);
                    (t.saturating_sub(self.unix_time) as f64 * part) as Micros
                }
                None => {
                    let patience = policy.number(Setting::Patience, &facts);
                    (job.ready_at + micros_from_seconds(patience)).saturating_sub(self.unix_time)
                }
            };
            let limit = now + slack;
            let spec = job.spec.clone();
            out.push(PendingWork {
                spec,
                tasks,
                zones,
                run_time: run,
                earliest_start: now,
                latest_start: limit,
            });
        }
        self.add_upcoming_work(&mut out, &mut spare, now);
        out
    }

    /// Adds the work of jobs that will be released before a machine rented now is up.
    fn add_upcoming_work(&self, out: &mut Vec<PendingWork>, spare: &mut [Resources], now: Micros) {
        // The boot of the cheapest room that a task fits into: most likely it is what will be rented.
        let boot = |spec: &JobSpec| {
            let fits = |f: &usize| spec.resources.fits(&self.machine_types[*f].size);
            let price = |f: &usize| self.price_per_millicpu(*f, spec.spot);
            let f = (0..self.machine_types.len())
                .filter(fits)
                .min_by(|a, b| price(a).total_cmp(&price(b)))?;
            let flavor = &self.machine_types[f];
            let zones = flavor.zones.iter();
            zones
                .map(|z| {
                    self.fleet
                        .provisioning_times
                        .expected_boot_time(f, z, flavor.boot_time, now)
                })
                .min()
        };
        let longest = self
            .machine_types
            .iter()
            .map(|f| 2 * f.boot_time)
            .max()
            .unwrap_or(0);
        for (from, _, w) in self.upcoming_releases(now, now + longest) {
            if boot(&w.spec).is_none_or(|boot| from > now + boot) {
                continue;
            }
            let Some(t) = self.settings.team(&w.spec.team) else {
                continue;
            };
            spare[t].memory = UNLIMITED;
            let need = Resources {
                memory: 0,
                ..w.spec.resources
            };
            let all = i64::from(w.spec.tasks);
            let mut tasks = all.min(need.count_in(&spare[t]));
            if w.spec.shape == Shape::Gang && tasks < all {
                tasks = 0;
            }
            if tasks <= 0 {
                continue;
            }
            spare[t] -= need.scaled_by(tasks);
            let ready = self.unix_time + (from - now);
            let latest = self.latest_start_for(
                &w.spec,
                w.accepted_at,
                ready,
                w.downstream_demand.as_ref(),
                false,
            );
            let slack = latest.map_or(0, |t| t.saturating_sub(ready));
            out.push(PendingWork {
                spec: w.spec.clone(),
                tasks,
                zones: ZoneTaskCounts::new(),
                run_time: self.expected_run(&w.spec),
                earliest_start: from,
                latest_start: from + (slack as f64 * UPCOMING_SLACK) as Micros,
            });
        }
    }

    /// Plays the queue forward on the machines there are. What would start too late gets a new one.
    /// Returns how many machines of each offer that takes.
    pub fn machines_wanted(&mut self, now: Micros) -> BTreeMap<Offer, u32> {
        self.order_queue(now);
        let mut waiting = self.pending_work(now);
        let mut wanted: BTreeMap<Offer, u32> = BTreeMap::new();
        if waiting.is_empty() {
            return wanted;
        }
        let mut future = self.forecast(now);
        let offers = self.available_offers(now);
        let mut least = waiting[0].spec.resources;
        for w in &waiting {
            let need = &w.spec.resources;
            least = Resources {
                cpu: least.cpu.min(need.cpu),
                gpu: least.gpu.min(need.gpu),
                memory: least.memory.min(need.memory),
            };
        }
        // Of few shapes each has a book of its own: what is too little for one job is then not read
        // again by all others of its shape.
        let needs: HashSet<Resources> = waiting.iter().map(|w| w.spec.resources).collect();
        let exact = needs.len() <= MAX_EXACT_SHAPES;
        let mut budget = BASE_STEPS + STEPS_PER_MACHINE * future.machines.len();
        let mut awaited: HashSet<MachineId> = HashSet::new();
        for i in 0..waiting.len() {
            if budget == 0 {
                break;
            }
            let (head, rest) = waiting.split_at_mut(i + 1);
            let w = &mut head[i];
            let key = if exact {
                w.spec.resources
            } else {
                coarse_shape(&w.spec.resources)
            };
            let allows = |line: &MachineGroup| {
                let flavor = &self.machine_types[line.flavor];
                w.spec.resources.fits(&flavor.size)
                    && w.spec.allows(&flavor.name, &line.zone, line.spot)
            };
            let mut allowed: Vec<usize> = (0..future.groups.len())
                .filter(|l| allows(&future.groups[*l]))
                .collect();
            let mut read: GroupCandidates = (0..future.groups.len())
                .map(|_| BinaryHeap::new())
                .collect();
            // The offer that is best for it, once that is known and as long as it stays the best.
            let mut offer: Option<Option<&PricedOffer>> = None;
            while w.tasks > 0 && budget > 0 {
                budget -= 1;
                if let Some(c) = future.best_choice(w, &key, &allowed, &mut read) {
                    let late = c.start > w.latest_start;
                    let new = match late {
                        true => {
                            *offer.get_or_insert_with(|| self.best_offer(w, rest, &least, &offers))
                        }
                        false => None,
                    };
                    // A new machine would be there no sooner than the room there is.
                    if new.is_none_or(|n| c.start <= self.expected_boot_end(&n.offer, now)) {
                        if w.earliest_start > now {
                            awaited.extend(future.machines[c.machine].machine.clone());
                        }
                        read[c.line].pop();
                        future.machines[c.machine].reserve_tasks(w, c.start);
                        future.index_machine(c.machine);
                        continue;
                    }
                }
                let found = offer
                    .take()
                    .unwrap_or_else(|| self.best_offer(w, rest, &least, &offers));
                let Some(found) = found else { break };
                let Offer {
                    machine_type: flavor,
                    zone,
                    spot,
                } = &found.offer;
                let ready = self
                    .expected_boot_end(&found.offer, now)
                    .max(w.earliest_start);
                let price = self.price_per_millicpu(*flavor, *spot);
                let zone: Arc<str> = zone.as_str().into();
                let line = future.group_for(*flavor, &zone, *spot, price);
                if line == read.len() {
                    read.push(BinaryHeap::new());
                    allowed.push(line);
                }
                let mut lane = self.empty_machine_forecast(line, *flavor, zone, ready);
                lane.reserve_tasks(w, ready);
                future.add_machine(lane);
                *wanted.entry(found.offer.clone()).or_default() += 1;
                // As long as its own tasks fill a whole machine, another one is as good.
                if !w.spec.is_zone_constrained()
                    && w.tasks >= w.spec.resources.count_in(&self.machine_types[*flavor].size)
                {
                    offer = Some(Some(found));
                }
            }
            future.return_candidates(&key, read);
        }
        self.passes.add_steps(future.steps);
        for id in awaited {
            if let Some(m) = self.machines.get_mut(&id) {
                m.placement.planned_work_until = now + 2 * SECOND;
            }
        }
        wanted
    }

    /// What can be rented now.
    fn available_offers(&self, now: Micros) -> Vec<PricedOffer> {
        let mut offers = Vec::new();
        for (i, flavor) in self.machine_types.iter().enumerate() {
            for (zone, spot) in flavor.zones.iter().flat_map(|z| [(z, false), (z, true)]) {
                let offer = Offer {
                    machine_type: i,
                    zone: zone.clone(),
                    spot,
                };
                if !self.is_offer_blocked(&offer, now) {
                    let boots = &self.fleet.provisioning_times;
                    let dearer = boots.price_factor(
                        i,
                        zone,
                        flavor.boot_time,
                        max_boot_time(flavor.boot_time),
                        now,
                    );
                    offers.push(PricedOffer {
                        offer,
                        price: flavor.price_of(spot) * dearer,
                    });
                }
            }
        }
        offers
    }

    /// The offer that serves a waiting job at the least price for the room that it and those
    /// behind it use. `least`: no waiting task needs less of anything.
    fn best_offer<'a>(
        &self,
        first: &PendingWork,
        rest: &[PendingWork],
        least: &Resources,
        offers: &'a [PricedOffer],
    ) -> Option<&'a PricedOffer> {
        let mut best: Option<(f64, &PricedOffer)> = None;
        for priced in offers {
            let Offer {
                machine_type: flavor,
                zone,
                spot,
            } = &priced.offer;
            let flavor = &self.machine_types[*flavor];
            if !first.spec.resources.fits(&flavor.size)
                || !first.spec.allows(&flavor.name, zone, *spot)
                || !is_zone_allowed(&first.spec, &first.zones, zone)
            {
                continue;
            }
            let mut free = flavor.size;
            let mut used = 0;
            for w in std::iter::once(first).chain(rest.iter().take(LOOKAHEAD_JOBS)) {
                if !least.fits(&free) {
                    break;
                }
                self.passes.add_steps(1);
                if w.spec.allows(&flavor.name, zone, *spot) {
                    let n = w.spec.resources.count_in(&free).min(w.tasks);
                    free -= w.spec.resources.scaled_by(n);
                    used += w.spec.resources.cpu.max(1) * n;
                }
            }
            let score = priced.price / used.max(1) as f64;
            if best.as_ref().is_none_or(|(s, _)| score < *s) {
                best = Some((score, priced));
            }
        }
        best.map(|b| b.1)
    }

    fn empty_machine_forecast(
        &self,
        line: usize,
        flavor: usize,
        zone: Arc<str>,
        ready: Micros,
    ) -> MachineForecast {
        MachineForecast {
            group: line,
            zone,
            free: self.machine_types[flavor].size,
            available_at: ready,
            releases: Vec::new(),
            machine: None,
            version: 0,
        }
    }

    /// The machines there are or that are on their way, and when their room comes free.
    fn forecast(&self, now: Micros) -> Forecast {
        let mut future = Forecast {
            now,
            ..Forecast::default()
        };
        for m in self.machines.values() {
            let Some(flavor) = m.machine_type else {
                continue;
            };
            if m.lifecycle.deleting
                || m.lifecycle.draining
                || m.lifecycle.quarantined
                || m.lifecycle.preemption_notice
                || m.is_unanswered(now)
            {
                continue;
            }
            future.steps += 1 + m.attempts.len() as u64 / 2;
            let price = self.price_per_millicpu(flavor, m.spot);
            let line = future.group_for(flavor, &m.zone, m.spot, price);
            if !m.lifecycle.is_up {
                if let Some(ready) = self.expected_up_at(m, now) {
                    future.add_machine(self.empty_machine_forecast(
                        line,
                        flavor,
                        m.zone.clone(),
                        ready,
                    ));
                }
                continue;
            }
            let mut lane = self.empty_machine_forecast(line, flavor, m.zone.clone(), now);
            lane.free = m.free();
            lane.machine = Some(m.id.clone());
            let held = m.attempts.iter().filter(|(_, a)| a.holds_capacity);
            lane.releases
                .extend(held.map(|(id, a)| (self.expected_end(&id.task, a, now), 1, a.resources)));
            lane.releases.sort_by_key(|r| Reverse(r.0));
            future.add_machine(lane);
        }
        for PendingProvision { offer, count } in self.fleet.pending_provisions.values() {
            let ready = self.expected_boot_end(offer, now);
            let zone: Arc<str> = offer.zone.as_str().into();
            let price = self.price_per_millicpu(offer.machine_type, offer.spot);
            let line = future.group_for(offer.machine_type, &zone, offer.spot, price);
            for _ in 0..*count {
                future.add_machine(self.empty_machine_forecast(
                    line,
                    offer.machine_type,
                    zone.clone(),
                    ready,
                ));
            }
        }
        future
    }

    /// When a machine rented now is expected to be up.
    fn expected_boot_end(&self, offer: &Offer, now: Micros) -> Micros {
        let usual = self.machine_types[offer.machine_type].boot_time;
        now + self.fleet.provisioning_times.expected_boot_time(
            offer.machine_type,
            &offer.zone,
            usual,
            now,
        )
    }
}

#[cfg(test)]
mod tests;
