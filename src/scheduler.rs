//! What runs where: queue order, quota, first-fit placement, gangs and preemption.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::cluster::{Attempt, Cluster, Gang, Job, Kept, Machine, MachineId, Phase};
use crate::model::{
    JobId, JobSpec, Micros, Priority, Resources, SECOND, Shape, TaskId, Team, UNLIMITED, micros,
    seconds,
};
use crate::pipeline::Pull;
use crate::policy::{Setting, Value};
use crate::saga::Saga;

/// Room up to this many times as dear as the cheapest of its rank counts as costing the same.
const SIMILAR_PRICE: f64 = 1.5;

/// A report that frees room leads to a pass over the whole queue at most this often, for each
/// machine there is: so that the work of passes does not grow with the cluster.
const PASS_EVERY: Micros = 250;
/// Room kept for a gang is looked over this often, for each machine, and always again before the
/// room lapses.
const GATHER_EVERY: Micros = 800;
const GATHER_AT_LEAST: Micros = 500_000;

/// Room held for a stage of a pipeline lapses unless a pass holds it again.
const HELD: Micros = 2 * SECOND;

/// A machine's room that tasks can be placed in.
#[derive(Clone, Debug)]
pub struct Slot {
    pub machine: MachineId,
    /// The type's CPUs, in thousandths.
    pub flavor_size: i64,
    pub flavor_name: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub free: Resources,
    /// The job that room is kept for, and how much of it.
    pub reserved: Option<(JobId, Resources)>,
    /// Slots of one rank cost the same; the cheapest room has the lowest rank.
    pub price_rank: usize,
    /// Per hour and thousandth of a CPU.
    pub price: f64,
}

impl Slot {
    pub fn takes(&self, job: &JobId, spec: &JobSpec) -> bool {
        spec.need.fits(&self.free)
            && spec.allows(&self.flavor_name, &self.zone, self.spot)
            && self
                .reserved
                .as_ref()
                .is_none_or(|(holder, kept)| holder == job || spec.need.fits(&(self.free - *kept)))
    }
}

/// How many of a job's tasks are on machines in each zone.
pub type Zones = HashMap<Arc<str>, u32>;

/// Whether the job's zone rules let another task into `zone`.
pub fn zone_ok(spec: &JobSpec, zones: &Zones, zone: &str) -> bool {
    (!spec.one_zone || zones.keys().all(|z| **z == *zone))
        && zones.get(zone).copied().unwrap_or(0) < spec.zone_cap()
}

impl Cluster {
    /// Live jobs in the order in which they are served: priority first, then work within its
    /// team's guarantee, then what can still be in time; among these the time left until a task
    /// has to start, lengthened by the work the job brings, and at last the order in which they
    /// became ready. With each comes whether it lies within its team's guarantee.
    pub fn queue(&self) -> Vec<(JobId, bool)> {
        let mut ready: Vec<&Job> = self.jobs.values().filter(|j| !j.cancelled).collect();
        ready.sort_by_key(|j| (j.ready, j.id.clone()));
        let within = self.within_guarantee(&ready);
        let mut keyed: Vec<_> = ready
            .into_iter()
            .map(|j| {
                let within = within.contains(&j.id);
                let latest = self.latest_start(j, within);
                let facts = self.facts(j, within, latest);
                let weight = self.settings.policy.number(Setting::QueueWeight, &facts);
                // As whole thousandths, so that the order is total.
                let weight = (weight * 1000.0) as i64;
                (Reverse(j.priority()), !within, latest.is_none(), weight, j.ready, j.id.clone())
            })
            .collect();
        keyed.sort();
        keyed.into_iter().map(|k| (k.5, !k.1)).collect()
    }

    /// What a policy may know of a job, in the order of [`JOB_FIELDS`](crate::policy::JOB_FIELDS).
    /// `latest` is what [`Cluster::latest_start`] says of it.
    pub fn facts<'a>(&self, job: &'a Job, within: bool, latest: Option<u64>) -> [Value<'a>; 12] {
        let spec = &job.spec;
        let priority = match job.priority() {
            Priority::Low => "low",
            Priority::Normal => "normal",
            Priority::High => "high",
            Priority::Production => "production",
        };
        let number = |t: Micros| Value::Number(seconds(t));
        [
            Value::Text(&spec.class),
            Value::Text(&spec.team),
            Value::Text(priority),
            Value::Number(f64::from(spec.tasks)),
            Value::Number(f64::from(job.done.len())),
            Value::Number(spec.need.cpu as f64 / 1000.0),
            number(self.wall.saturating_sub(job.ready)),
            number(latest.unwrap_or(0).saturating_sub(self.wall)),
            number(self.share_of_work(job)),
            number(self.expected_run(spec)),
            Value::Bool(latest.is_none()),
            Value::Bool(within),
        ]
    }

    /// Jobs that fit into their teams' guarantees together with the teams' earlier jobs.
    pub fn within_guarantee(&self, ready: &[&Job]) -> HashSet<JobId> {
        let mut left: Vec<Resources> = self.settings.teams.iter().map(|t| t.guarantee).collect();
        let mut within = HashSet::new();
        for j in ready {
            let Some(t) = j.team.filter(|_| !j.suspect()) else { continue };
            let all = j.spec.need.times(i64::from(j.spec.tasks - j.done.len()));
            if Team::within(&left[t], &Resources::default(), &all) {
                within.insert(j.id.clone());
            }
            left[t] -= all;
        }
        within
    }

    /// How long one of the job's tasks is expected to run: its owner's estimate, corrected by what
    /// tasks of its class have shown.
    pub fn expected_run(&self, spec: &JobSpec) -> Micros {
        let pace = self.pace.get(&spec.class).copied().unwrap_or(1.0);
        (spec.estimate as f64 * pace) as Micros
    }

    /// How long a machine without the job's image takes to fetch it.
    pub fn fetch_time(&self, spec: &JobSpec) -> Micros {
        let fits = self.flavors.iter().filter(|f| spec.need.fits(&f.size));
        let rate = fits.map(|f| f.fetch_gb_per_s).fold(f64::INFINITY, f64::min);
        micros(spec.image_gb / rate)
    }

    /// The time of day by which the job's tasks have to start to meet the next objective that can
    /// still be met; `None` if none can.
    pub fn latest_start(&self, job: &Job, within: bool) -> Option<u64> {
        self.latest(&job.spec, job.at, job.ready, job.pull.as_ref(), within)
    }

    /// The same for a job that was accepted and is released at these times of day.
    pub fn latest(
        &self,
        spec: &JobSpec,
        at: u64,
        ready: u64,
        pull: Option<&Pull>,
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
        let pulled = pull.iter().flat_map(|p| &p.due).flatten();
        let pulled = pulled.filter_map(|due| due.start(stage, self.wall));
        let own = starts.map(|t| t.saturating_sub(fetch)).filter(|t| *t >= self.wall);
        own.chain(pulled).min()
    }

    /// The time the job's remaining work takes when its team uses all that it may.
    fn share_of_work(&self, job: &Job) -> Micros {
        let Some(t) = job.team else { return 0 };
        let limit = &self.settings.teams[t].limit;
        // No team can use more than there is.
        let part =
            |need: i64, limit: i64, all: i64| need as f64 / limit.min(all.max(need)).max(1) as f64;
        let need = &job.spec.need;
        let each =
            part(need.cpu, limit.cpu, self.size.cpu).max(part(need.gpu, limit.gpu, self.size.gpu));
        let left = f64::from(job.spec.tasks - job.done.len());
        (left * each * self.expected_run(&job.spec) as f64) as Micros
    }

    /// What a thousandth of a CPU of such a machine costs an hour.
    pub fn room_price(&self, flavor: usize, spot: bool) -> f64 {
        let f = &self.flavors[flavor];
        f.price_of(spot) / f.size.cpu.max(1) as f64
    }

    fn slot(&self, m: &Machine, now: Micros) -> Option<Slot> {
        let f = m.flavor?;
        Some(Slot {
            machine: m.id.clone(),
            flavor_size: self.flavors[f].size.cpu,
            flavor_name: self.flavors[f].name.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            free: m.free(),
            reserved: m.kept(now).and_then(|k| {
                Some((k.job.clone(), self.jobs.get(&k.job)?.spec.need.times(k.tasks)))
            }),
            price_rank: 0,
            price: self.room_price(f, m.spot),
        })
    }

    /// Usable machines in first-fit order: the cheapest room first, so that the dear ones empty.
    fn slots(&self, now: Micros) -> Vec<Slot> {
        let usable = |m: &&Machine| m.usable(now, self.settings.report);
        let mut slots: Vec<Slot> =
            self.machines.values().filter(usable).filter_map(|m| self.slot(m, now)).collect();
        slots.sort_by(|a, b| a.price.total_cmp(&b.price));
        let mut first = 0;
        for i in 1..slots.len() {
            let same = slots[i].price <= slots[first].price * SIMILAR_PRICE;
            if !same {
                first = i;
            }
            slots[i].price_rank = slots[i - 1].price_rank + usize::from(!same);
        }
        // Among room of a price, small machines first: large tasks need the large ones whole.
        slots.sort_by(|a, b| {
            (a.price_rank, a.flavor_size, &a.machine).cmp(&(
                b.price_rank,
                b.flavor_size,
                &b.machine,
            ))
        });
        slots
    }

    /// Where the job's tasks are, tasks that still have to exit included; nothing for a job
    /// without zone rules.
    pub fn zones_of(&self, job: &Job) -> Zones {
        let mut zones = Zones::new();
        if !job.spec.zoned() {
            return zones;
        }
        for (machine, _) in job.live.values() {
            if let Some(m) = self.machines.get(machine) {
                *zones.entry(m.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    /// How many more of the job's tasks its team's limit allows.
    pub fn headroom(&self, job: &Job) -> i64 {
        let Some(t) = job.team else { return 0 };
        let mut free = self.settings.teams[t].limit - self.used[t];
        free.mem = UNLIMITED;
        let need = Resources { mem: 0, ..job.spec.need };
        need.times_in(&free)
    }

    /// Places what can be placed now, and makes room for what must not wait.
    pub fn schedule(&mut self, now: Micros) {
        if !self.settled {
            return;
        }
        self.pull(now);
        let mut slots = self.slots(now);
        let queue = self.queue();
        for (id, within) in &queue {
            if let Some(job) = self.jobs.get_mut(id) {
                job.within = *within;
            }
        }
        self.stirred = false;
        self.last_pass = now;
        self.order.clear();
        let mut borrowed = None;
        for (id, within) in queue {
            let Some(job) = self.jobs.get(&id) else { continue };
            if !job.pending.is_empty() {
                self.order.push(id.clone());
            }
            if job.pending.is_empty() || self.headroom(job) <= 0 {
                continue;
            }
            match job.spec.shape {
                Shape::Gang => self.place_gang(&id, &mut slots, &mut borrowed, now),
                Shape::Array | Shape::Service => {
                    let suspect = job.suspect();
                    let short = self.place_tasks(&id, &mut slots, now);
                    if short > 0 && !suspect {
                        self.make_room(&id, short, &mut borrowed, now);
                        self.hold_room(&id, short, &mut slots, now);
                    }
                }
            }
            let Some(job) = self.jobs.get(&id) else { continue };
            if !job.placed && (job.pending.is_empty() || self.headroom(job) <= 0) {
                let waited_s = seconds(self.wall.saturating_sub(job.ready)) as u32;
                let (class, team, tasks) = (&job.spec.class, &job.spec.team, job.spec.tasks);
                // The time it could still have waited, for its own sake and for what waits for it.
                let latest = self.latest_start(job, within);
                let slack_s = latest.map(|t| seconds(t.saturating_sub(self.wall)) as u32);
                tracing::info!(job = %id, %class, %team, tasks, within, waited_s, slack_s, "placed");
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.placed = true;
                }
            }
        }
    }

    /// Uses the room that came free on one machine: with a whole pass, if none was made just now,
    /// else in the order of the last one. A gang that may want it needs room elsewhere too, and is
    /// left to the next pass.
    pub fn fill(&mut self, id: &MachineId, now: Micros) {
        if !self.settled {
            return;
        }
        if now >= self.last_pass + PASS_EVERY * self.machines.len() as Micros {
            return self.schedule(now);
        }
        let report = self.settings.report;
        let Some(machine) = self.machines.get(id).filter(|m| m.usable(now, report)) else { return };
        let Some(slot) = self.slot(machine, now) else { return };
        let candidates = || {
            self.order.iter().filter_map(|j| self.jobs.get(j)).filter(|job| {
                !job.pending.is_empty()
                    && !job.cancelled
                    && job.spec.need.fits(&slot.free)
                    && job.spec.allows(&slot.flavor_name, &slot.zone, slot.spot)
            })
        };
        let Some(first) = candidates().find(|job| self.headroom(job) > 0) else { return };
        if let Some((holder, _)) = &slot.reserved {
            let array = self.jobs.get(holder).filter(|j| j.spec.shape == Shape::Array);
            return match array.map(|j| (j.id.clone(), j.spec.need.fits(&slot.free))) {
                Some((holder, true)) => drop(self.place_tasks(&holder, &mut [slot], now)),
                // What came free is held until there is enough of it.
                Some((_, false)) => {}
                None => self.schedule(now),
            };
        }
        // Cheaper room elsewhere, or a smaller machine's, is to be used first: so that dear and
        // large machines empty, a pass decides.
        let price = slot.price;
        let ahead = |m: &Machine, spec: &JobSpec| {
            let Some(f) = m.flavor.filter(|_| spec.need.fits(&m.free())) else { return false };
            let theirs = self.room_price(f, m.spot);
            let better = theirs * SIMILAR_PRICE < price
                || (m.size.cpu < slot.flavor_size && theirs <= price * SIMILAR_PRICE);
            better
                && m.kept(now).is_none()
                && m.usable(now, report)
                && spec.allows(&self.flavors[f].name, &m.zone, m.spot)
        };
        let gang = |job: &Job| {
            job.spec.shape == Shape::Gang
                && !job.gang.as_ref().is_some_and(|g| g.running || g.stopping)
        };
        self.looks.set(self.looks.get() + self.machines.len() as u64);
        let room_ahead = self.machines.values().any(|m| ahead(m, &first.spec));
        if room_ahead || candidates().any(gang) {
            return;
        }
        let mut slots = [slot];
        for job in std::mem::take(&mut self.order) {
            let Some(j) = self.jobs.get(&job) else { continue };
            if j.pending.is_empty() || j.cancelled {
                continue;
            }
            if j.spec.shape != Shape::Gang
                && !j.spec.zoned()
                && j.spec.need.fits(&slots[0].free)
                && self.headroom(j) > 0
            {
                self.place_tasks(&job, &mut slots, now);
            }
            self.order.push(job);
        }
    }

    /// Places what it can of a job in these slots; returns how many tasks found no room.
    fn place_tasks(&mut self, id: &JobId, slots: &mut [Slot], now: Micros) -> usize {
        let Some(job) = self.jobs.get(id) else { return 0 };
        let spec = job.spec.clone();
        let limit = self.headroom(job).min(job.trials(now).saturating_sub(job.live.len() as i64));
        let mut zones = self.zones_of(job);
        if spec.one_zone && zones.is_empty() {
            // The zone with the most room for it.
            let mut room: HashMap<&str, i64> = HashMap::new();
            for s in slots.iter().filter(|s| s.takes(id, &spec)) {
                *room.entry(&s.zone).or_default() += spec.need.times_in(&s.free);
            }
            let best = room.into_iter().max_by_key(|(z, n)| (*n, Reverse(*z)));
            let Some((zone, _)) = best else { return 0 };
            zones.insert(zone.into(), 0);
        }
        // A huge array must cost no more than the room there is for it.
        let ready = |x: &u32| job.backoff.get(x).is_none_or(|b| b.0 <= now);
        let waiting = job.backoff.values().filter(|b| b.0 > now).count();
        let wanted =
            (job.pending.len() as usize).saturating_sub(waiting).min(limit.max(0) as usize);
        let taken = self.fit(id, &spec, slots, &mut zones, wanted);
        let short = wanted - taken.len();
        let tasks: Vec<u32> = job.pending.iter().filter(ready).take(taken.len()).collect();
        for (index, machine) in tasks.into_iter().zip(taken) {
            let attempt = self.next_attempt();
            self.place(id, index, &slots[machine].machine, attempt, now);
        }
        short
    }

    /// Smaller tasks further down the queue would take all room as it comes free, bit by bit, and a
    /// task that needs more would never find any. For a stage of a pipeline, what is free and too little
    /// is held on the machines where most can end next.
    fn hold_room(&mut self, id: &JobId, tasks: usize, slots: &mut [Slot], now: Micros) {
        let Some(job) = self.jobs.get(id).filter(|j| j.pull.is_some() && !j.spec.zoned()) else {
            return;
        };
        let spec = job.spec.clone();
        let mut choices: Vec<(usize, usize)> = Vec::new();
        for (i, s) in slots.iter().enumerate() {
            let some = s.free.cpu > 0 && !spec.need.fits(&s.free) && s.reserved.is_none();
            let Some(m) = self.machines.get(&s.machine).filter(|_| some) else { continue };
            if spec.need.fits(&m.size) && self.may_host(m, id, &spec, &Zones::new(), now) {
                choices.push((m.attempts.len(), i));
            }
        }
        choices.sort_by_key(|c| Reverse(c.0));
        for (_, i) in choices.into_iter().take(tasks) {
            let slot = &mut slots[i];
            slot.reserved = Some((id.clone(), spec.need));
            if let Some(m) = self.machines.get_mut(&slot.machine) {
                m.kept = Some(Kept { job: id.clone(), tasks: 1, until: now + HELD });
            }
        }
    }

    /// Takes room for up to `n` tasks of a job, first-fit in the order of [`Cluster::slots`]; among
    /// machines whose room costs the same, those that hold the job's image come first. Returns a
    /// slot for each task.
    fn fit(
        &self,
        id: &JobId,
        spec: &JobSpec,
        slots: &mut [Slot],
        zones: &mut Zones,
        n: usize,
    ) -> Vec<usize> {
        let mut taken = Vec::new();
        let suspect = self.jobs.get(id).is_some_and(Job::suspect);
        let mut order: Vec<(usize, i64, bool, usize)> = Vec::with_capacity(slots.len());
        self.looks.set(self.looks.get() + slots.len() as u64);
        for (i, slot) in slots.iter().enumerate() {
            // Most machines are full most of the time: only the others are looked at closely.
            if !slot.takes(id, spec) {
                continue;
            }
            let Some(m) = self.machines.get(&slot.machine) else { continue };
            // A suspect job is tried anywhere: it may have met faulty machines only.
            if suspect || !m.failures.contains_key(id) {
                let cached = m.images.contains(&spec.image);
                order.push((slot.price_rank, slot.flavor_size, !cached, i));
            }
        }
        order.sort();
        for (.., i) in order {
            let slot = &mut slots[i];
            while taken.len() < n && slot.takes(id, spec) && zone_ok(spec, zones, &slot.zone) {
                slot.free -= spec.need;
                if spec.zoned() {
                    *zones.entry(slot.zone.clone()).or_default() += 1;
                }
                taken.push(i);
            }
        }
        taken
    }

    /// Places all missing tasks of a gang's attempt, or none.
    fn place_gang(
        &mut self,
        id: &JobId,
        slots: &mut [Slot],
        borrowed: &mut Option<Borrowed>,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        // The next attempt begins only when nothing of the last one is on a machine any more.
        let fresh = job.gang.is_none();
        if (fresh && !job.live.is_empty())
            || job.gang.as_ref().is_some_and(|g| g.stopping || g.running)
            || job.backoff.values().any(|b| b.0 > now)
            || job.trials(now) == 0
        {
            return;
        }
        let missing: Vec<u32> = job.pending.iter().collect();
        if self.headroom(job) < missing.len() as i64 {
            return;
        }
        let zones = self.zones_of(job);
        let mut choices: Vec<Option<Arc<str>>> = vec![None];
        if spec.one_zone && zones.is_empty() {
            let mut all: Vec<Arc<str>> = slots.iter().map(|s| s.zone.clone()).collect();
            all.sort();
            all.dedup();
            choices = all.into_iter().map(Some).collect();
        }
        for only in choices {
            let mut zones = zones.clone();
            if let Some(z) = &only {
                zones.insert(z.clone(), 0);
            }
            let taken = self.fit(id, &spec, slots, &mut zones, missing.len());
            if taken.len() < missing.len() {
                taken.into_iter().for_each(|i| slots[i].free += spec.need);
                continue;
            }
            let attempt = match self.jobs.get(id).and_then(|j| j.gang.as_ref()) {
                Some(g) => g.attempt,
                None => self.next_attempt(),
            };
            if let Some(j) = self.jobs.get_mut(id).filter(|j| j.gang.is_none()) {
                let saga = Saga::flat(spec.tasks);
                j.gang = Some(Gang { attempt, saga, running: false, stopping: false });
            }
            for (index, slot) in missing.iter().copied().zip(taken) {
                self.place(id, index, &slots[slot].machine, attempt, now);
            }
            return;
        }
        let machines = self.machines.len() as Micros;
        let Some(job) = self.jobs.get_mut(id).filter(|j| !j.suspect()) else { return };
        let every = (GATHER_EVERY * machines).min(GATHER_AT_LEAST);
        if job.gathered_at.is_some_and(|t| now < t + every) {
            return;
        }
        job.gathered_at = Some(now);
        // Work is stopped only where waiting for it to end would be too late.
        let soon = self.gather(id, missing.len(), now);
        let Some(job) = self.jobs.get(id) else { return };
        let slack = self.latest_start(job, job.within).map_or(0, |t| t.saturating_sub(self.wall));
        if soon.is_none_or(|at| at > now + slack.max(2 * self.settings.report)) {
            self.make_room(id, missing.len(), borrowed, now);
        }
    }

    /// Gathers room for a waiting gang, on the machines that will have it soonest: what comes free
    /// there, or boots, is kept for it. No machine's room is kept for two gangs, and all of a gang's
    /// room is kept where its zone rules let it be used together, so that gangs never hold half of
    /// what each needs. Returns when the last of its tasks will have room.
    fn gather(&mut self, id: &JobId, tasks: usize, now: Micros) -> Option<Micros> {
        let job = self.jobs.get(id)?;
        let spec = job.spec.clone();
        let zones = self.zones_of(job);
        let mut soonest: Vec<(Micros, MachineId)> = Vec::new();
        for m in self.machines.values() {
            // What is kept for a gang further down the queue can be had: else each of two gangs may
            // long hold a machine that is ready beside one that is not.
            let mine = |k: &Kept| k.job == *id || !self.order.contains(&k.job);
            if spec.need.fits(&m.size) && m.kept(now).is_none_or(mine) {
                let times = self.room_times(m, id, &spec, &zones, tasks, now);
                soonest.extend(times.into_iter().map(|at| (at, m.id.clone())));
            }
        }
        let (keep, last) = self.choose_room(&spec, zones, tasks, soonest)?;
        let found: i64 = keep.values().sum();
        for (machine, tasks) in keep {
            let Some(m) = self.machines.get_mut(&machine) else { continue };
            let until = m.kept.as_ref().map_or(0, |k| k.until).max(now + 2 * SECOND);
            m.kept = Some(Kept { job: id.clone(), tasks, until });
        }
        (found == tasks as i64).then_some(last)
    }

    /// The cheapest of the offered room that the job's zone rules let it use together, for at most
    /// `tasks` tasks: how many on each machine, and the cost of the dearest. Room beyond that
    /// would never be given back, and the cloud would have none left where the job still needs some.
    fn choose_room(
        &self,
        spec: &JobSpec,
        mut zones: Zones,
        tasks: usize,
        mut room: Vec<(u64, MachineId)>,
    ) -> Option<(HashMap<MachineId, i64>, u64)> {
        room.sort();
        if spec.one_zone && zones.is_empty() {
            // The first zone that has room for all.
            let mut counts: HashMap<&str, usize> = HashMap::new();
            let zone = room.iter().find_map(|(_, machine)| {
                let zone: &str = &self.machines.get(machine)?.zone;
                let n = counts.entry(zone).or_default();
                *n += 1;
                (*n == tasks).then(|| zone.into())
            });
            zones.insert(zone?, 0);
        }
        let mut left = tasks;
        let mut last = 0;
        let mut chosen: HashMap<MachineId, i64> = HashMap::new();
        for (cost, machine) in room {
            let Some(m) = self.machines.get(&machine) else { continue };
            if left == 0 {
                break;
            }
            if zone_ok(spec, &zones, &m.zone) {
                *zones.entry(m.zone.clone()).or_default() += 1;
                *chosen.entry(machine).or_default() += 1;
                last = cost;
                left -= 1;
            }
        }
        Some((chosen, last))
    }

    /// When a machine will have room for the first, the second, ... of `tasks` tasks of a job.
    fn room_times(
        &self,
        m: &Machine,
        id: &JobId,
        spec: &JobSpec,
        zones: &Zones,
        tasks: usize,
        now: Micros,
    ) -> Vec<Micros> {
        let most = spec.need.times_in(&m.size).min(tasks as i64) as usize;
        if !m.up {
            let at = self.up_at(m, now);
            let at = at.filter(|_| self.suits(m, spec, zones) && !m.deleting && !m.bad);
            return at.map_or_else(Vec::new, |at| vec![at; most]);
        }
        if !self.may_host(m, id, spec, zones, now) {
            return Vec::new();
        }
        let mut ends: Vec<(Micros, Resources)> = m
            .attempts
            .iter()
            .filter(|(_, a)| a.holds)
            .map(|((t, _), a)| (self.expected_end(t, a, now), a.need))
            .collect();
        ends.sort_by_key(|e| e.0);
        let mut ends = ends.into_iter();
        let (mut free, mut at) = (m.free(), now);
        let mut times = Vec::new();
        for _ in 0..most {
            while !spec.need.fits(&free) {
                let Some((end, need)) = ends.next() else { return times };
                free += need;
                at = end;
            }
            free -= spec.need;
            times.push(at);
        }
        times
    }

    /// When a booting machine is expected to be up. One that is overdue is expected to take as long
    /// again as it is late; after twice the expected time it is no longer counted on.
    pub fn up_at(&self, m: &Machine, now: Micros) -> Option<Micros> {
        if self.dark.contains_key(&m.zone) {
            return None;
        }
        let f = m.flavor?;
        let usual = self.flavors[f].boot;
        let boot = self.fleet.boots.expected(f, &m.zone, usual, now);
        let expected = m.rented_at + boot;
        let late = now.saturating_sub(expected);
        (late <= boot.max(usual)).then(|| expected.max(now + late.max(2 * SECOND)))
    }

    /// Whether the job's own rules let its tasks go to a machine.
    fn suits(&self, m: &Machine, spec: &JobSpec, zones: &Zones) -> bool {
        m.flavor.is_some_and(|f| spec.allows(&self.flavors[f].name, &m.zone, m.spot))
            && zone_ok(spec, zones, &m.zone)
    }

    /// Whether the job's tasks may go to a machine once it has room.
    pub fn may_host(
        &self,
        m: &Machine,
        id: &JobId,
        spec: &JobSpec,
        zones: &Zones,
        now: Micros,
    ) -> bool {
        m.usable(now, self.settings.report)
            && !m.failures.contains_key(id)
            && self.suits(m, spec, zones)
    }

    /// When an attempt is expected to end.
    pub fn expected_end(&self, task: &TaskId, attempt: &Attempt, now: Micros) -> Micros {
        let Some(job) = self.jobs.get(&task.job) else { return now };
        if job.spec.shape == Shape::Service {
            return Micros::MAX;
        }
        let running = attempt.phase == Phase::Running;
        let ran = if running { now.saturating_sub(attempt.since) } else { 0 };
        let ran = ran + job.progress.get(&task.index).copied().unwrap_or(0);
        // What runs longer than expected is expected to run for a while yet.
        now + self.expected_run(&job.spec).saturating_sub(ran).max(ran / 4)
    }

    /// Whether the job's team has no guarantee: all that it uses is borrowed.
    pub fn guest(&self, job: &Job) -> bool {
        job.team.is_some_and(|t| self.settings.teams[t].guarantee == Resources::default())
    }

    /// What each team runs above its guarantee, less what has been told to stop.
    fn borrowed(&self) -> Borrowed {
        let mut out: Borrowed = Vec::with_capacity(self.used.len());
        for (used, team) in self.used.iter().zip(&self.settings.teams) {
            out.push(*used - team.guarantee);
        }
        for a in self.machines.values().flat_map(|m| m.attempts.values()) {
            if let (Some(t), true, true) = (a.team, a.holds, a.stop.is_some()) {
                out[t] -= a.need;
            }
        }
        out
    }

    /// Preemption: makes room for a job of high priority by stopping work of lower priority, and
    /// for a job within its team's guarantee by stopping work that other teams run above theirs.
    /// What loses least is stopped first, and the room is kept for the job.
    fn make_room(
        &mut self,
        id: &JobId,
        tasks: usize,
        borrowed: &mut Option<Borrowed>,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        let urgent = spec.priority >= Priority::High;
        let gang = spec.shape == Shape::Gang;
        // An array's tasks find room as others end; stopping as many others only moves the work.
        // Only guests, whose teams have no guarantee at all, make way for them, where they save.
        if !(urgent || job.within) {
            return;
        }
        let guests_only = !urgent && !gang;
        let most = self.headroom(job).clamp(0, 1000) as usize;
        // Enough room may be being made already.
        let making: i64 = self
            .machines
            .values()
            .filter_map(|m| m.kept(now))
            .filter(|k| k.job == *id)
            .map(|k| k.tasks)
            .sum();
        let tasks = if gang { tasks } else { tasks.min(most).saturating_sub(making as usize) };
        if tasks == 0 {
            return;
        }
        let zones = self.zones_of(job);
        let borrowed = borrowed.get_or_insert_with(|| self.borrowed());
        // What may be stopped on a machine, what loses least first.
        let mut options: HashMap<MachineId, Vec<Victim>> = HashMap::new();
        let mut room: Vec<(u64, MachineId)> = Vec::new();
        for m in self.machines.values() {
            let kept = m.kept(now);
            if !spec.need.fits(&m.size)
                || kept.is_some_and(|k| !gang || (k.job != *id && self.order.contains(&k.job)))
                || !self.may_host(m, id, &spec, &zones, now)
            {
                continue;
            }
            let mut victims = Vec::new();
            let mut free = m.free_after_stops();
            for ((task, _), a) in m.attempts.iter().filter(|(_, a)| a.holds && a.stop.is_none()) {
                let victim = self.jobs.get(&task.job).filter(|j| j.spec.shape != Shape::Gang);
                if let Some(j) = victim {
                    let lower = urgent && j.priority() < spec.priority;
                    let above = job.within
                        && !j.within
                        && j.team != job.team
                        && (!guests_only || self.guest(j) && j.spec.checkpoint_every > 0)
                        && a.team.is_some_and(|t| {
                            Team::within(&borrowed[t], &Resources::default(), &a.need)
                        });
                    if lower || above {
                        // A task that can save loses only its saving time.
                        let running = a.phase == Phase::Running;
                        let ran = if running { now.saturating_sub(a.since) } else { 0 };
                        let loss =
                            if j.spec.checkpoint_every > 0 { ran.min(j.spec.save) } else { ran };
                        let team = a.team.filter(|_| !lower);
                        victims.push(Victim { loss, task: task.clone(), need: a.need, team });
                    }
                }
            }
            victims.sort_by_key(|v| (v.loss, v.task.index));
            let mut loss = 0;
            let mut used = victims.iter();
            for _ in 0..spec.need.times_in(&m.size).min(tasks as i64) {
                let before = loss;
                let mut enough = true;
                while !spec.need.fits(&free) {
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
                free -= spec.need;
                room.push((loss - before, m.id.clone()));
            }
            options.insert(m.id.clone(), victims);
        }
        let Some((keep, _)) = self.choose_room(&spec, zones, tasks, room) else { return };
        if gang && keep.values().sum::<i64>() < tasks as i64 {
            return;
        }
        let mut left = borrowed.clone();
        let mut stops = Vec::new();
        for (machine, n) in &keep {
            let Some(m) = self.machines.get(machine) else { continue };
            let mut free = m.free_after_stops();
            for v in options.remove(machine).into_iter().flatten() {
                if spec.need.times(*n).fits(&free) {
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
            if gang && !spec.need.times(*n).fits(&free) {
                return;
            }
        }
        *borrowed = left;
        for (machine, tasks) in keep {
            if let Some(m) = self.machines.get_mut(&machine) {
                m.kept = Some(Kept { job: id.clone(), tasks, until: now + 15 * SECOND });
            }
        }
        if !stops.is_empty() {
            tracing::info!(job = %id, stopped = stops.len(), tasks, urgent, "making room");
        }
        for task in stops {
            self.evict(&task.job, task.index);
        }
    }
}

/// What each team runs above its guarantee.
type Borrowed = Vec<Resources>;

/// A task that may be stopped to make room.
struct Victim {
    /// The work that stopping it throws away.
    loss: Micros,
    task: TaskId,
    need: Resources,
    /// The team that has borrowed the room, if that is why it may be stopped.
    team: Option<usize>,
}
