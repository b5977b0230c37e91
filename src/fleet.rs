//! The fleet: renting, returning, and noticing machines that have gone bad.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

use crate::boots::{Boots, LATE_AFTER};
use crate::cloud::{CloudRequest, Listed};
use crate::cluster::{Attempt, Cluster, Job, Machine, MachineId, Phase};
use crate::model::{JobSpec, Micros, Resources, SECOND, Shape, TaskId, UNLIMITED, micros, seconds};
use crate::policy::{Setting, Value};
use crate::scheduler::{Zones, zone_ok};

/// What the cloud charges at least for a machine that is deleted.
const MIN_CHARGE: Micros = 60 * SECOND;
const MAX_RENT: u32 = 50;
const MAX_DELETE: usize = 100;
/// Steps of a plan, in queue order; it is made anew all the time. A step places all tasks of a job
/// that start on one machine at one time.
const PLANNED_STEPS: usize = 3000;

/// The part of the time left that is counted on for work that will be released soon.
const FORESEEN_SLACK: f64 = 0.2;

/// A zone from which nothing was heard for this long is tried with one machine.
const DARK: Micros = 30 * SECOND;

/// How often work is looked over for machines to empty, and what part of those that could be are
/// emptied at once.
const MOVE_EVERY: Micros = 3 * SECOND;
const MOVE_PART: usize = 8;
/// A task that has run for less is left alone.
const MOVE_AFTER: Micros = 35 * SECOND;
/// What a move takes beside saving and fetching: reports on both sides.
const MOVE_COST: Micros = 5 * SECOND;

/// Nothing of a deleted machine comes later than this.
const GHOSTS: Micros = 900 * SECOND;

/// How long a refusal is remembered while nothing has been given back.
const MAX_REFUSAL: Micros = 120 * SECOND;

/// When the cloud last had no machine for an offer.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    at: Micros,
    until: Micros,
    times: u32,
    /// How many machines of the offer were rented then.
    held: usize,
}

/// A kind of machine that can be asked for.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct Offer {
    pub flavor: usize,
    pub zone: String,
    pub spot: bool,
}

/// A call to the cloud and what it is for.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudCall {
    Flavors,
    List { after: String },
    Rent { name: String, offer: Offer, count: u32, tries: u32 },
    Delete { machines: Vec<String> },
}

#[derive(Debug)]
pub struct Fleet {
    term: u64,
    requests: u64,
    tokens: f64,
    rate: f64,
    refilled: Micros,
    pub renting: BTreeMap<String, (Offer, u32)>,
    refusals: HashMap<Offer, Refusal>,
    paused_until: Micros,
    listing: bool,
    next_list: Micros,
    next_flavors: Micros,
    next_summary: Micros,
    list_after: String,
    list_seen: Vec<Listed>,
    retry: Vec<CloudCall>,
    deleting: bool,
    next_move: Micros,
    pub boots: Boots,
    /// Machines confirmed as deleted, and when: a lagging list may still show them, and reports
    /// that were held back in the network may come minutes later.
    pub removed: HashMap<String, Micros>,
}

impl Fleet {
    pub fn new(term: u64, rps: f64) -> Fleet {
        Fleet {
            term,
            requests: 0,
            tokens: rps,
            // Siblings may ask for the machine types now and then.
            rate: rps * 0.85,
            refilled: 0,
            renting: BTreeMap::new(),
            refusals: HashMap::new(),
            paused_until: 0,
            listing: false,
            next_list: 0,
            next_flavors: 0,
            next_summary: 0,
            list_after: String::new(),
            list_seen: Vec::new(),
            retry: Vec::new(),
            deleting: false,
            next_move: 0,
            boots: Boots::default(),
            removed: HashMap::new(),
        }
    }

    /// Takes a request's worth of the rate, leaving `keep` for more urgent calls.
    fn may_call(&mut self, keep: f64) -> bool {
        if self.tokens >= 1.0 + keep {
            self.tokens -= 1.0;
            return true;
        }
        false
    }
}

impl CloudCall {
    pub fn request(&self, cluster: &Cluster) -> CloudRequest {
        match self {
            CloudCall::Flavors => CloudRequest::flavors(),
            CloudCall::List { after } => CloudRequest::list(after),
            CloudCall::Delete { machines } => CloudRequest::delete(machines),
            CloudCall::Rent { name, offer, count, .. } => {
                let flavor = &cluster.flavors[offer.flavor].name;
                CloudRequest::rent(name, flavor, &offer.zone, offer.spot, *count)
            }
        }
    }
}

/// Work of a job that found no room: how many tasks, and where its other tasks are.
struct Waiting {
    spec: Arc<JobSpec>,
    tasks: i64,
    zones: Zones,
    run: Micros,
    /// When its tasks can start at the earliest: those of a job that waits for others, at its release.
    from: Micros,
    /// When its tasks have to start, on our clock.
    limit: Micros,
}

/// A machine's future as the plan sees it: its room, and when more of it comes free.
struct Lane {
    flavor: usize,
    zone: Arc<str>,
    spot: bool,
    /// Per hour and thousandth of a CPU.
    price: f64,
    free: Resources,
    ready: Micros,
    /// The earliest last: when, how many tasks end, and the room of all of them.
    releases: Vec<(Micros, u32, Resources)>,
    /// The machine, if it is there.
    machine: Option<MachineId>,
}

impl Lane {
    /// The earliest start of a task that needs `need`. Waiting for several tasks to end takes
    /// longer than each is expected to run: the last of k is late by about the logarithm of k.
    fn earliest(&self, need: &Resources, now: Micros) -> Micros {
        let mut free = self.free;
        if need.fits(&free) {
            return self.ready;
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
                return (now + wait as Micros).max(self.ready);
            }
        }
        Micros::MAX
    }

    /// Takes all the tasks that can start at `start`.
    fn take(&mut self, w: &mut Waiting, start: Micros) {
        while let Some((at, _, room)) = self.releases.last().copied() {
            if at > start || w.spec.need.fits(&self.free) {
                break;
            }
            self.releases.pop();
            self.free += room;
        }
        self.ready = self.ready.max(start);
        let mut most = w.spec.need.times_in(&self.free).min(w.tasks);
        if w.spec.spread {
            let here = w.zones.get(&self.zone).copied().unwrap_or(0);
            most = most.min(i64::from(w.spec.zone_cap().saturating_sub(here)));
        }
        let most = most.max(1);
        let all = w.spec.need.times(most);
        self.free -= all;
        // Replicas do not end, and the tasks of a gang need all their room at the same time: one
        // must not be planned to follow another.
        let ends = match w.spec.shape {
            Shape::Array => true,
            Shape::Gang => w.spec.tasks == 1,
            Shape::Service => false,
        };
        if ends {
            let end = start + w.run.max(SECOND);
            let place = self.releases.partition_point(|r| r.0 > end);
            self.releases.insert(place, (end, most as u32, all));
        }
        if w.spec.zoned() {
            *w.zones.entry(self.zone.clone()).or_default() += most as u32;
        }
        w.tasks -= most;
    }
}

/// Lanes that a job may use, the best first: those in time by price, then the others by time.
type Choices = BinaryHeap<Reverse<(bool, u64, u64, usize)>>;

impl Cluster {
    /// The calls to make to the cloud now.
    pub fn plan_fleet(&mut self, now: Micros) -> Vec<CloudCall> {
        let earned = now.saturating_sub(self.fleet.refilled) as f64 / SECOND as f64;
        self.fleet.tokens =
            (self.fleet.tokens + earned * self.fleet.rate).min(self.fleet.rate * 2.0);
        self.fleet.refilled = now;
        let mut calls = Vec::new();
        if now < self.fleet.paused_until {
            // Nothing can be asked for; what is there is still planned with.
            self.fleet.tokens = 0.0;
        }
        while let Some(call) = self.fleet.retry.pop() {
            if !self.fleet.may_call(0.0) {
                self.fleet.retry.push(call);
                break;
            }
            calls.push(call);
        }
        if now >= self.fleet.next_summary {
            self.fleet.next_summary = now + 10 * SECOND;
            self.summarize(now);
        }
        self.watch_zones(now);
        self.find_bad(now);
        if self.settled {
            self.return_idle(now);
            self.rent(now, &mut calls);
            self.consolidate(now);
        }
        let doomed: Vec<String> =
            self.machines.values().filter(|m| m.deleting).map(|m| m.id.to_string()).collect();
        if !doomed.is_empty() && !self.fleet.deleting && self.fleet.may_call(0.0) {
            self.fleet.deleting = true;
            let machines = doomed.into_iter().take(MAX_DELETE).collect();
            calls.push(CloudCall::Delete { machines });
        }
        if !self.fleet.listing && now >= self.fleet.next_list && self.fleet.may_call(1.0) {
            self.fleet.listing = true;
            calls.push(CloudCall::List { after: self.fleet.list_after.clone() });
        }
        if now >= self.fleet.next_flavors && self.fleet.may_call(1.0) {
            self.fleet.next_flavors = now + 30 * SECOND;
            calls.push(CloudCall::Flavors);
        }
        calls
    }

    /// Logs what the machines of each offer are used for.
    fn summarize(&self, now: Micros) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        #[derive(Default)]
        struct Use {
            booting: u32,
            up: u32,
            idle: u32,
            kept: u32,
            cpus: i64,
            running: i64,
            fetching: i64,
        }
        let mut by_kind: BTreeMap<(usize, bool), Use> = BTreeMap::new();
        for m in self.machines.values() {
            let Some(flavor) = m.flavor else { continue };
            let used = by_kind.entry((flavor, m.spot)).or_default();
            if !m.up {
                used.booting += 1;
                continue;
            }
            used.up += 1;
            used.idle += u32::from(m.attempts.is_empty());
            used.kept += u32::from(m.kept(now).is_some());
            used.cpus += m.size.cpu / 1000;
            for a in m.attempts.values().filter(|a| a.holds) {
                match a.phase {
                    Phase::Running | Phase::Saving => used.running += a.need.cpu / 1000,
                    _ => used.fetching += a.need.cpu / 1000,
                }
            }
        }
        for ((flavor, spot), u) in by_kind {
            let Use { booting, up, idle, kept, cpus, running, fetching } = u;
            let flavor = &self.flavors[flavor].name;
            tracing::debug!(%flavor, spot, booting, up, idle, kept, cpus, running, fetching, "fleet");
        }
    }

    /// Machines that stay silent, never boot or have been judged faulty are given back.
    fn find_bad(&mut self, now: Micros) {
        let limit = self.lease_limit();
        let boots = &mut self.fleet.boots;
        for m in self.machines.values_mut().filter(|m| !m.deleting) {
            let usual = m.flavor.map_or(60 * SECOND, |f| self.flavors[f].boot);
            let expected = m.flavor.map(|f| boots.expected(f, &m.zone, usual, now));
            let boot = usual.max(expected.unwrap_or(0));
            // What boots in a zone that is cut off is of no use, but its first minute is paid.
            let dark = self.dark.contains_key(&m.zone);
            let most = if dark { MIN_CHARGE.max(2 * boot) } else { patience(boot) };
            let age = now.saturating_sub(m.rented_at.max(m.known_since));
            let stuck = !m.up && age > most;
            if let Some(f) = m.flavor.filter(|_| !m.up && !dark) {
                if stuck {
                    boots.lost(f, &m.zone, now);
                } else if !m.late && age as f64 > LATE_AFTER * boot as f64 {
                    m.late = true;
                    boots.late(f, &m.zone, now);
                    tracing::debug!(machine = %m.id, age_s = seconds(age) as u32, "late to boot");
                }
            }
            // The lease has run out, so nothing is lost with a machine that stays silent.
            let silent = m.up && now > m.answered_at + limit;
            let idle = m.attempts.values().all(|a| !a.holds);
            let useless = (m.bad || m.notice || m.leaving) && idle && m.up;
            if stuck || silent || useless {
                let why = if stuck {
                    "it does not boot"
                } else if silent {
                    "it is silent"
                } else if m.bad {
                    "it is faulty"
                } else if m.leaving {
                    "its work has been moved"
                } else {
                    "the cloud takes it back"
                };
                tracing::info!(machine = %m.id, why, "returning");
                m.deleting = true;
            }
        }
    }

    /// Gives back machines that have been idle for as long as policy keeps them.
    fn return_idle(&mut self, now: Micros) {
        let empty = |m: &&Machine| {
            let awaited = now < m.awaited_until;
            m.up && !m.deleting && m.attempts.is_empty() && m.kept(now).is_none() && !awaited
        };
        // The shortest idle first: the others have that many spares beside them.
        let mut idle: Vec<(Micros, MachineId)> =
            self.machines.values().filter(empty).map(|m| (m.idle_since, m.id.clone())).collect();
        idle.sort_by(|a, b| b.cmp(a));
        let mut spares: HashMap<(usize, bool), u32> = HashMap::new();
        for (_, id) in idle {
            let Some(m) = self.machines.get_mut(&id) else { continue };
            let Some(f) = m.flavor else { continue };
            let others = spares.entry((f, m.spot)).or_default();
            *others += 1;
            // The first minute is charged anyway.
            if now + SECOND <= m.rented_at + MIN_CHARGE {
                continue;
            }
            let flavor = &self.flavors[f];
            let boot = self.fleet.boots.expected(f, &m.zone, flavor.boot, now).max(flavor.boot);
            let urgent = m.urgent_at.map_or(1e9, |t| seconds(now.saturating_sub(t)));
            let facts = [
                Value::Text(&flavor.name),
                Value::Text(&m.zone),
                Value::Bool(m.spot),
                Value::Number(flavor.size.cpu as f64 / 1000.0),
                Value::Number(flavor.price_of(m.spot)),
                Value::Number(seconds(boot)),
                Value::Number(urgent),
                Value::Number(f64::from(*others - 1)),
            ];
            let keep = micros(self.settings.policy.number(Setting::Idle, &facts));
            if now > m.idle_since + keep {
                tracing::info!(machine = %m.id, why = "it is idle", "returning");
                m.deleting = true;
            }
        }
    }

    /// Long tasks that can save are moved together when nothing waits for room: a machine that would
    /// be held by a few of them for long is emptied and returned.
    fn consolidate(&mut self, now: Micros) {
        if now < self.fleet.next_move {
            return;
        }
        self.fleet.next_move = now + MOVE_EVERY;
        let waits = |j: &Job| !j.cancelled && !j.pending.is_empty() && self.headroom(j) > 0;
        let moving = self.machines.values().any(|m| m.leaving && !m.deleting);
        if moving || self.jobs.values().any(waits) {
            return;
        }
        // Room beside what runs, on machines that stay.
        let mut room: BTreeMap<MachineId, Resources> = BTreeMap::new();
        let mut sources: Vec<(f64, MachineId, Vec<TaskId>)> = Vec::new();
        for m in self.machines.values() {
            if !m.usable(now, self.settings.report) || m.attempts.is_empty() {
                continue;
            }
            if m.free().cpu > 0 && m.kept(now).is_none() {
                room.insert(m.id.clone(), m.free());
            }
            let task = |((t, _), a): (&(TaskId, u64), &Attempt)| {
                self.movable(m, t, a, now).then(|| t.clone())
            };
            let tasks: Option<Vec<_>> = m.attempts.iter().map(task).collect();
            if let (Some(tasks), Some(f)) = (tasks, m.flavor) {
                let price = self.flavors[f].price_of(m.spot);
                sources.push((price / m.used.cpu.max(1) as f64, m.id.clone(), tasks));
            }
        }
        // What saves most for the work that is moved goes first.
        sources.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        let most = sources.len().div_ceil(MOVE_PART);
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
            let taken: Vec<_> = tasks.iter().map_while(|t| self.host(t, &mut room, now)).collect();
            if taken.len() == tasks.len() {
                hosts.extend(taken.into_iter().map(|t| t.0));
                leaving.push((id, tasks));
                continue;
            }
            for (to, need) in taken {
                if let Some(free) = room.get_mut(&to) {
                    *free += need;
                }
            }
            own.map(|free| room.insert(id, free));
        }
        for (id, tasks) in leaving {
            tracing::info!(machine = %id, tasks = tasks.len(), "moving its work elsewhere");
            if let Some(m) = self.machines.get_mut(&id) {
                m.leaving = true;
            }
            tasks.iter().for_each(|t| self.evict(&t.job, t.index));
        }
    }

    /// Takes room for a task that is to be moved.
    fn host(
        &self,
        task: &TaskId,
        room: &mut BTreeMap<MachineId, Resources>,
        now: Micros,
    ) -> Option<(MachineId, Resources)> {
        let spec = &self.jobs.get(&task.job)?.spec;
        let (to, free) = room.iter_mut().find(|(to, free)| {
            let may = |m| self.may_host(m, &task.job, spec, &Zones::new(), now);
            spec.need.fits(free) && self.machines.get(*to).is_some_and(may)
        })?;
        *free -= spec.need;
        Some((to.clone(), spec.need))
    }

    /// Whether stopping a task here and going on with it elsewhere costs little against the time
    /// that it still holds its machine.
    fn movable(&self, m: &Machine, task: &TaskId, attempt: &Attempt, now: Micros) -> bool {
        let (Some(job), Some(f)) = (self.jobs.get(&task.job), m.flavor) else { return false };
        let spec = &job.spec;
        let cost = spec.save + self.fetch_time(spec) + MOVE_COST;
        spec.shape == Shape::Array
            && !spec.zoned()
            && spec.checkpoint_every > 0
            && attempt.phase == Phase::Running
            && attempt.stop.is_none()
            && now > attempt.since + MOVE_AFTER
            && self.expected_end(task, attempt, now) > now + 4 * cost + self.flavors[f].boot
    }

    /// Work that has no room now and may run under its team's limit, in queue order.
    fn waiting(&self, now: Micros) -> Vec<Waiting> {
        let mut spare: Vec<Resources> =
            (0..self.used.len()).map(|t| self.settings.teams[t].limit - self.used[t]).collect();
        let mut out = Vec::new();
        for (id, within) in self.queue() {
            let Some(job) = self.jobs.get(&id) else { continue };
            let Some(t) = job.team else { continue };
            if job.pending.is_empty() {
                continue;
            }
            spare[t].mem = UNLIMITED;
            let need = Resources { mem: 0, ..job.spec.need };
            let backing = job.backoff.values().filter(|b| b.0 > now + 10 * SECOND).count() as i64;
            let mut tasks = (i64::from(job.pending.len()) - backing).min(need.times_in(&spare[t]));
            tasks = tasks.min(job.worth_renting(now).saturating_sub(job.live.len() as i64));
            if job.spec.shape == Shape::Gang && tasks < i64::from(job.pending.len()) {
                tasks = 0;
            }
            if tasks <= 0 {
                continue;
            }
            spare[t] -= need.times(tasks);
            let zones = self.zones_of(job);
            let run = self.expected_run(&job.spec);
            // Estimates are rough: only a part of the time left is counted on.
            let latest = self.latest_start(job, within);
            let facts = self.facts(job, within, latest);
            let policy = &self.settings.policy;
            let slack = match latest {
                Some(t) => {
                    let part = policy.number(Setting::PlanSlack, &facts);
                    (t.saturating_sub(self.wall) as f64 * part) as Micros
                }
                None => {
                    let patience = policy.number(Setting::Patience, &facts);
                    (job.ready + micros(patience)).saturating_sub(self.wall)
                }
            };
            let limit = now + slack;
            let spec = job.spec.clone();
            out.push(Waiting { spec, tasks, zones, run, from: now, limit });
        }
        self.foresee(&mut out, &mut spare, now);
        out
    }

    /// Adds the work of jobs that will be released before a machine rented now is up.
    fn foresee(&self, out: &mut Vec<Waiting>, spare: &mut [Resources], now: Micros) {
        // The boot of the cheapest room that a task fits into: most likely it is what will be rented.
        let boot = |spec: &JobSpec| {
            let fits = |f: &usize| spec.need.fits(&self.flavors[*f].size);
            let price = |f: &usize| self.room_price(*f, spec.spot);
            let f = (0..self.flavors.len())
                .filter(fits)
                .min_by(|a, b| price(a).total_cmp(&price(b)))?;
            let flavor = &self.flavors[f];
            let zones = flavor.zones.iter();
            zones.map(|z| self.fleet.boots.expected(f, z, flavor.boot, now)).min()
        };
        let longest = self.flavors.iter().map(|f| 2 * f.boot).max().unwrap_or(0);
        for (from, _, w) in self.foreseen(now, now + longest) {
            if boot(&w.spec).is_none_or(|boot| from > now + boot) {
                continue;
            }
            let Some(t) = self.settings.team(&w.spec.team) else { continue };
            spare[t].mem = UNLIMITED;
            let need = Resources { mem: 0, ..w.spec.need };
            let all = i64::from(w.spec.tasks);
            let mut tasks = all.min(need.times_in(&spare[t]));
            if w.spec.shape == Shape::Gang && tasks < all {
                tasks = 0;
            }
            if tasks <= 0 {
                continue;
            }
            spare[t] -= need.times(tasks);
            let ready = self.wall + (from - now);
            let latest = self.latest(&w.spec, w.at, ready, w.pull.as_ref(), false);
            let slack = latest.map_or(0, |t| t.saturating_sub(ready));
            out.push(Waiting {
                spec: w.spec.clone(),
                tasks,
                zones: Zones::new(),
                run: self.expected_run(&w.spec),
                from,
                limit: from + (slack as f64 * FORESEEN_SLACK) as Micros,
            });
        }
    }

    fn lane(&self, flavor: usize, zone: &Arc<str>, spot: bool, ready: Micros) -> Lane {
        Lane {
            flavor,
            zone: zone.clone(),
            spot,
            price: self.room_price(flavor, spot),
            free: self.flavors[flavor].size,
            ready,
            releases: Vec::new(),
            machine: None,
        }
    }

    fn lane_allows(&self, lane: &Lane, w: &Waiting) -> bool {
        w.spec.allows(&self.flavors[lane.flavor].name, &lane.zone, lane.spot)
            && zone_ok(&w.spec, &w.zones, &lane.zone)
    }

    /// Enters a lane among a job's choices, unless the job never fits there.
    fn choose(&self, choices: &mut Choices, lanes: &[Lane], i: usize, w: &Waiting, now: Micros) {
        let lane = &lanes[i];
        if !w.spec.need.fits(&self.flavors[lane.flavor].size) || !self.lane_allows(lane, w) {
            return;
        }
        let start = lane.earliest(&w.spec.need, now).max(w.from);
        // Prices are positive, and such numbers are in the order of their bits.
        let price = lane.price.max(0.0).to_bits();
        let late = start > w.limit;
        if start < Micros::MAX {
            let (a, b) = if late { (start, price) } else { (price, start) };
            choices.push(Reverse((late, a, b, i)));
        }
    }

    /// The machines there are or that are on their way, and when their room comes free.
    fn lanes(&self, now: Micros) -> Vec<Lane> {
        let mut lanes = Vec::new();
        for m in self.machines.values() {
            let Some(flavor) = m.flavor else { continue };
            if m.deleting || m.leaving || m.bad || m.notice {
                continue;
            }
            if !m.up {
                if let Some(ready) = self.up_at(m, now) {
                    lanes.push(self.lane(flavor, &m.zone, m.spot, ready));
                }
                continue;
            }
            let mut lane = self.lane(flavor, &m.zone, m.spot, now);
            lane.free = m.free();
            lane.machine = Some(m.id.clone());
            for ((task, _), a) in m.attempts.iter().filter(|(_, a)| a.holds) {
                lane.releases.push((self.expected_end(task, a, now), 1, a.need));
            }
            lane.releases.sort_by_key(|r| Reverse(r.0));
            lanes.push(lane);
        }
        for (offer, count) in self.fleet.renting.values() {
            let ready = self.boots(offer, now);
            let zone: Arc<str> = offer.zone.as_str().into();
            let lane = || self.lane(offer.flavor, &zone, offer.spot, ready);
            (0..*count).for_each(|_| lanes.push(lane()));
        }
        lanes
    }

    /// Plays the queue forward on the machines there are. What would start too late gets a new one.
    fn rent(&mut self, now: Micros, calls: &mut Vec<CloudCall>) {
        let mut waiting = self.waiting(now);
        let mut lanes = self.lanes(now);
        let mut wanted: BTreeMap<Offer, u32> = BTreeMap::new();
        let mut budget = PLANNED_STEPS;
        let mut awaited: HashSet<MachineId> = HashSet::new();
        for i in 0..waiting.len() {
            let (head, rest) = waiting.split_at_mut(i + 1);
            let w = &mut head[i];
            let mut choices = Choices::with_capacity(lanes.len());
            (0..lanes.len()).for_each(|l| self.choose(&mut choices, &lanes, l, w, now));
            let mut offer = None;
            while w.tasks > 0 && budget > 0 {
                budget -= 1;
                let best = choices.pop().map(|Reverse((late, a, b, l))| {
                    let start = if late { a } else { b };
                    (late, start, l)
                });
                if let Some((late, start, l)) = best {
                    if !self.lane_allows(&lanes[l], w) {
                        continue;
                    }
                    if late && offer.is_none() {
                        offer = Some(self.best_offer(w, rest, now));
                    }
                    let ready = offer.iter().flatten().next().map(|o: &Offer| self.boots(o, now));
                    // A new machine would be there no sooner than the room there is.
                    if !late || ready.is_none_or(|r| start <= r) {
                        if w.from > now {
                            awaited.extend(lanes[l].machine.clone());
                        }
                        lanes[l].take(w, start);
                        self.choose(&mut choices, &lanes, l, w, now);
                        continue;
                    }
                    choices.push(Reverse((late, start, lanes[l].price.max(0.0).to_bits(), l)));
                }
                let found = offer.take().unwrap_or_else(|| self.best_offer(w, rest, now));
                let Some(found) = found else { break };
                let ready = self.boots(&found, now).max(w.from);
                let mut lane =
                    self.lane(found.flavor, &found.zone.as_str().into(), found.spot, ready);
                lane.take(w, ready);
                lanes.push(lane);
                self.choose(&mut choices, &lanes, lanes.len() - 1, w, now);
                *wanted.entry(found).or_default() += 1;
            }
        }
        for id in awaited {
            if let Some(m) = self.machines.get_mut(&id) {
                m.awaited_until = now + 2 * SECOND;
            }
        }
        for (offer, count) in wanted {
            if !self.fleet.may_call(0.0) {
                break;
            }
            // What is wanted beyond one request is asked for when the answer shows that there is
            // more; one machine is enough to try a zone that was cut off.
            let most = if self.dark.contains_key(&*offer.zone) { 1 } else { MAX_RENT };
            let count = count.min(most);
            self.fleet.requests += 1;
            // The term in the name keeps it from ever being used by another leader.
            let name = format!("r-{}-{}", self.fleet.term, self.fleet.requests);
            tracing::info!(%name, flavor = %self.flavors[offer.flavor].name, zone = %offer.zone,
                spot = offer.spot, count, "renting");
            self.fleet.renting.insert(name.clone(), (offer.clone(), count));
            calls.push(CloudCall::Rent { name, offer, count, tries: 0 });
        }
    }

    /// When a machine rented now is expected to be up.
    fn boots(&self, offer: &Offer, now: Micros) -> Micros {
        let usual = self.flavors[offer.flavor].boot;
        now + self.fleet.boots.expected(offer.flavor, &offer.zone, usual, now)
    }

    /// The offer that serves a waiting job at the least price for the room that it and those
    /// behind it use.
    fn best_offer(&self, first: &Waiting, rest: &[Waiting], now: Micros) -> Option<Offer> {
        let mut best: Option<(f64, Offer)> = None;
        for (i, flavor) in self.flavors.iter().enumerate() {
            if !first.spec.need.fits(&flavor.size) {
                continue;
            }
            for (zone, spot) in flavor.zones.iter().flat_map(|z| [(z, false), (z, true)]) {
                let offer = Offer { flavor: i, zone: zone.clone(), spot };
                let blocked = self.blocked(&offer, now);
                if blocked
                    || !first.spec.allows(&flavor.name, zone, spot)
                    || !zone_ok(&first.spec, &first.zones, zone)
                {
                    continue;
                }
                let mut free = flavor.size;
                let mut used = 0;
                for w in std::iter::once(first).chain(rest) {
                    if w.spec.allows(&flavor.name, zone, spot) {
                        let n = w.spec.need.times_in(&free).min(w.tasks);
                        free -= w.spec.need.times(n);
                        used += w.spec.need.cpu.max(1) * n;
                    }
                }
                let dearer =
                    self.fleet.boots.dearer(i, zone, flavor.boot, patience(flavor.boot), now);
                let score = flavor.price_of(spot) * dearer / used.max(1) as f64;
                if best.as_ref().is_none_or(|(s, _)| score < *s) {
                    best = Some((score, offer));
                }
            }
        }
        best.map(|b| b.1)
    }

    /// Takes in an answer of the cloud. `None`: no answer came.
    pub fn cloud_answer(&mut self, call: CloudCall, answer: Option<(u16, &[u8])>, now: Micros) {
        if matches!(answer, Some((429 | 503, _))) && !no_capacity(answer) {
            self.fleet.paused_until = now + SECOND;
        }
        match call {
            CloudCall::Flavors => {
                let flavors =
                    answer.filter(|a| a.0 == 200).and_then(|a| crate::cloud::parse_flavors(a.1));
                match flavors {
                    // Indices into the list are kept, so its order and names must not change.
                    Some(f) if same_names(&f, &self.flavors) => self.flavors = Arc::new(f),
                    Some(_) => tracing::info!("machine types changed: used after a takeover"),
                    None => self.fleet.next_flavors = now + 5 * SECOND,
                }
            }
            CloudCall::List { .. } => self.listed(answer, now),
            CloudCall::Delete { machines } => {
                self.fleet.deleting = false;
                if answer.is_some_and(|a| a.0 == 200) {
                    for name in machines {
                        self.fleet.removed.insert(name.clone(), now);
                        self.remove_machine(&name.as_str().into(), now, "it was returned");
                    }
                }
            }
            CloudCall::Rent { name, offer, count, tries } => {
                let rented = answer
                    .filter(|a| a.0 == 200)
                    .and_then(|a| serde_json::from_slice::<crate::cloud::Rented>(a.1).ok());
                if let Some(rented) = rented {
                    self.fleet.renting.remove(&name);
                    if rented.machines.len() < count as usize {
                        self.refused(&offer, now);
                    } else {
                        self.fleet.refusals.remove(&offer);
                    }
                    let flavor = self.flavors[offer.flavor].name.clone();
                    for m in rented.machines {
                        self.machine(&m, &flavor, &offer.zone, offer.spot, now);
                    }
                } else if no_capacity(answer) || tries >= 4 {
                    self.fleet.renting.remove(&name);
                    self.refused(&offer, now);
                } else if matches!(answer, Some((400, _))) {
                    tracing::error!(%name, "the cloud calls a rental request malformed");
                    self.fleet.renting.remove(&name);
                    self.refused(&offer, now);
                } else {
                    // The same name again: it rents once, however often it is carried out.
                    let again = CloudCall::Rent { name, offer, count, tries: tries + 1 };
                    self.fleet.retry.push(again);
                }
            }
        }
    }

    fn refused(&mut self, offer: &Offer, now: Micros) {
        let times = self.fleet.refusals.get(offer).map_or(0, |r| r.times);
        let until = now + ((8 * SECOND) << times.min(2));
        let refusal = Refusal { at: now, until, times: times + 1, held: self.held(offer) };
        self.fleet.refusals.insert(offer.clone(), refusal);
    }

    /// Machines of an offer that are rented now.
    fn held(&self, offer: &Offer) -> usize {
        let same = |m: &&Machine| {
            m.flavor == Some(offer.flavor) && m.spot == offer.spot && *m.zone == *offer.zone
        };
        self.machines.values().filter(same).count()
    }

    /// Whether an offer was refused lately. As long as no machine of it has been given back or
    /// taken since, the cloud most likely still has none.
    fn blocked(&self, offer: &Offer, now: Micros) -> bool {
        if let Some(at) = self.dark.get(&*offer.zone) {
            // Tried with one machine now and then.
            let tried = self.machines.values().any(|m| !m.up && *m.zone == *offer.zone)
                || self.fleet.renting.values().any(|r| r.0.zone == offer.zone);
            if tried || now < at + DARK {
                return true;
            }
        }
        self.fleet.refusals.get(offer).is_some_and(|r| {
            now < r.until || (now < r.at + MAX_REFUSAL && self.held(offer) >= r.held.max(1))
        })
    }

    fn listed(&mut self, answer: Option<(u16, &[u8])>, now: Micros) {
        self.fleet.listing = false;
        let list = answer
            .filter(|a| a.0 == 200)
            .and_then(|a| serde_json::from_slice::<crate::cloud::MachineList>(a.1).ok());
        let Some(list) = list else {
            self.fleet.list_after.clear();
            self.fleet.list_seen.clear();
            self.fleet.next_list = now + 2 * SECOND;
            return;
        };
        let last = list.machines.last().map(|m| m.id.clone());
        self.fleet.list_seen.extend(list.machines);
        if let (true, Some(last)) = (list.truncated, last) {
            self.fleet.list_after = last;
            return;
        }
        self.fleet.list_after.clear();
        self.fleet.next_list = now + 4 * SECOND;
        let seen = std::mem::take(&mut self.fleet.list_seen);
        let lag = 2 * self.settings.list_lag;
        let limit = self.lease_limit();
        let mut gone: Vec<MachineId> = Vec::new();
        let names: HashSet<&str> = seen.iter().map(|l| l.id.as_str()).collect();
        for m in self.machines.values_mut().filter(|m| !names.contains(&*m.id)) {
            m.missed_lists += 1;
            // Lists lag and may be older than the one before; a machine counts as gone only when
            // it has long been silent as well, so that nothing can be left on it.
            let old = now > m.known_since + lag + 2 * SECOND;
            if old && m.missed_lists >= 3 && now > m.answered_at + limit {
                gone.push(m.id.clone());
            }
        }
        for id in gone {
            tracing::info!(machine = %id, "machine is gone from the list");
            self.remove_machine(&id, now, "it is gone");
        }
        self.fleet.removed.retain(|_, at| now < *at + GHOSTS + lag);
        let mut adopted = 0;
        for l in &seen {
            if !self.machines.contains_key(l.id.as_str()) {
                // A list may still show what was deleted a moment ago.
                if self.fleet.removed.contains_key(&l.id) {
                    continue;
                }
                adopted += 1;
            }
            let age = micros(l.age_s);
            let m = self.machine(&l.id, &l.flavor, &l.zone, l.spot, now);
            m.missed_lists = 0;
            if !m.listed {
                m.listed = true;
                m.rented_at = m.rented_at.min(now.saturating_sub(age));
            }
            if l.status == "failed" && !m.deleting {
                tracing::info!(machine = %m.id, why = "it failed", "returning");
                m.deleting = true;
            }
        }
        if adopted > 0 {
            tracing::info!(machines = adopted, "adopted from the list");
        }
    }
}

/// How long a machine may take to boot before it is given up.
fn patience(boot: Micros) -> Micros {
    3 * boot + 20 * SECOND
}

fn same_names(a: &[crate::model::Flavor], b: &[crate::model::Flavor]) -> bool {
    a.len() == b.len() && a.iter().zip(b).all(|(x, y)| x.name == y.name)
}

fn no_capacity(answer: Option<(u16, &[u8])>) -> bool {
    #[derive(serde::Deserialize)]
    struct Reason {
        #[serde(default)]
        error: String,
    }
    answer.filter(|a| a.0 == 503).is_some_and(|a| {
        serde_json::from_slice::<Reason>(a.1).is_ok_and(|r| r.error == "no capacity")
    })
}
