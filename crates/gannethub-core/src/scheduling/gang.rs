//! Room for what needs much of it at once: gathered as it comes free, or made by stopping other work.
//!
//! Gangs of one shape look for the same room, so when it comes free is worked out once for all of
//! them, and each takes what it keeps out of that book. All gangs that wait gather in the same
//! passes, in queue order, so none is offered what one before it has taken.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use crate::model::{JobId, JobSpec, Micros, Priority, Resources, SECOND, Shape, TaskId, Team};
use crate::scheduling::zones::{Zones, zone_ok, zone_room};
use crate::state::cluster::Cluster;
use crate::state::records::{Job, Kept, Machine, MachineId, Phase};

/// Room kept for gangs is looked over this often, for each machine, and always again before the
/// room lapses.
const GATHER_EVERY: Micros = 800;
const GATHER_AT_LEAST: Micros = 500_000;
/// Gathered room lapses after this time unless it is gathered again.
const GATHERED: Micros = 2 * SECOND;
/// The same of room that was made by stopping work.
const MADE: Micros = 15 * SECOND;
/// A pass makes room for as long as this would take at the rate of steps that policy allows.
const MAKING: Micros = 500_000;
/// After a pass that did not come to all gangs, those that had room made for them make way for so long.
const MADE_ANEW: Micros = 3 * SECOND;
/// Tasks of a gang that are looked for on one machine.
const MOST_TASKS: i64 = 4096;

/// What tells gangs that look for the same room from others.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Site {
    need: Resources,
    types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
}

impl Site {
    fn of(spec: &JobSpec) -> Site {
        let JobSpec {
            need,
            types,
            zone,
            spot,
            ..
        } = spec;
        Site {
            need: *need,
            types: types.clone(),
            zone: zone.clone(),
            spot: *spot,
        }
    }
}

/// What tells jobs that may stop the same work for the same room from others.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Who {
    site: Site,
    shape: Shape,
    priority: Priority,
    team: Option<usize>,
    within: bool,
}

/// Work that some jobs may have stopped, by machine, and the room that makes: what is lost stands for the
/// time.
#[derive(Debug, Default)]
struct Made {
    book: Book,
    victims: HashMap<MachineId, Vec<Victim>>,
}

/// Room for tasks of a shape, by zone: when it will be there, the soonest first, and where.
type Book = BTreeMap<Arc<str>, VecDeque<(Micros, MachineId)>>;

/// Entries of a zone's list in a [`Book`], with their places there.
type Entries = VecDeque<(Micros, MachineId, usize)>;

/// A job that asks for room to be made.
#[derive(Debug)]
struct Asks {
    spec: Arc<JobSpec>,
    team: Option<usize>,
    within: bool,
    tasks: usize,
}

impl Asks {
    /// Where no room can be made for this one, none can be made for the other either.
    fn covers(&self, other: &Asks) -> bool {
        let (a, b) = (&self.spec, &other.spec);
        self.tasks <= other.tasks
            && (self.team, self.within) == (other.team, other.within)
            && a.shape == b.shape
            && a.priority == b.priority
            && a.need.fits(&b.need)
            && (&a.types, &a.zone, a.spot) == (&b.types, &b.zone, b.spot)
            && (a.one_zone, a.spread) == (b.one_zone, b.spread)
    }
}

/// What a pass knows of room that is gathered and made.
#[derive(Debug, Default)]
pub struct Gathering {
    /// All gangs that wait gather anew; else only those that never have.
    round: bool,
    books: HashMap<Site, Book>,
    borrowed: Option<Borrowed>,
    /// Steps beyond which no more room is made.
    until: u64,
    /// The last round did not come to all gangs.
    behind: bool,
    hopeless: Vec<Asks>,
    made: HashMap<Who, Made>,
}

impl Cluster {
    /// What is gathered in a pass that begins now.
    pub fn begin_gathering(&mut self, now: Micros) -> Gathering {
        let every = (GATHER_EVERY * self.machines.len() as Micros).min(GATHER_AT_LEAST);
        let round = now >= self.gathered_at + every;
        if round {
            self.gathered_at = now;
        }
        let steps = MAKING as f64 / self.cost_of(1).max(1) as f64;
        let until = self.looks.get() + steps as u64;
        let behind = round && std::mem::take(&mut self.behind);
        Gathering {
            round,
            until,
            behind,
            ..Gathering::default()
        }
    }

    /// The last pass has found work to place of this job, before any that it has yet to look at.
    fn in_queue(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|j| j.queued == self.passes)
    }

    /// Gathers room for a gang that found none, and makes it where waiting would be too late.
    pub fn gather_or_make(
        &mut self,
        id: &JobId,
        tasks: usize,
        gathering: &mut Gathering,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| !j.suspect()) else {
            return;
        };
        if !gathering.round && job.gathered {
            return;
        }
        job.gathered = true;
        // Work is stopped only where waiting for it to end would be too late.
        let soon = self.gather(id, tasks, gathering, now);
        let Some(job) = self.jobs.get(id) else { return };
        let slack = self
            .latest_start(job, job.within)
            .map_or(0, |t| t.saturating_sub(self.wall));
        if soon.is_none_or(|at| at > now + slack.max(2 * self.settings.report)) {
            self.make_room(id, tasks, gathering, now);
        }
    }

    /// Gathers room for a waiting gang, on the machines that will have it soonest: what comes free
    /// there, or boots, is kept for it. No machine's room is kept for two gangs, and all of a gang's
    /// room is kept where its zone rules let it be used together, so that gangs never hold half of
    /// what each needs. Returns when the last of its tasks will have room.
    fn gather(
        &mut self,
        id: &JobId,
        tasks: usize,
        gathering: &mut Gathering,
        now: Micros,
    ) -> Option<Micros> {
        let job = self.jobs.get(id)?;
        let spec = job.spec.clone();
        let zones = self.zones_of(job);
        let book = gathering
            .books
            .entry(Site::of(&spec))
            .or_insert_with(|| self.book(&spec, now));
        let (keep, last) = self.choose_soonest(book, id, &spec, zones, tasks, now)?;
        let found: i64 = keep.values().sum();
        for (machine, tasks) in keep {
            let Some(m) = self.machines.get(&machine) else {
                continue;
            };
            let until = m.kept.as_ref().map_or(0, |k| k.until).max(now + GATHERED);
            self.keep(
                &machine,
                Kept {
                    job: id.clone(),
                    tasks,
                    until,
                },
            );
        }
        (found == tasks as i64).then_some(last)
    }

    /// When and where there will be room for tasks like this job's.
    fn book(&self, spec: &JobSpec, now: Micros) -> Book {
        let mut book = Book::new();
        for shelf in self
            .rooms
            .shelves
            .iter()
            .filter(|s| self.allowed(spec, &s.kind))
        {
            let list = book.entry(shelf.kind.zone.clone()).or_default();
            for m in shelf.all.iter().filter_map(|m| self.machines.get(m)) {
                self.looks
                    .set(self.looks.get() + 1 + m.attempts.len() as u64 / 4);
                let times = self.room_times(m, spec, now);
                list.extend(times.into_iter().map(|at| (at, m.id.clone())));
            }
        }
        book.values_mut()
            .for_each(|list| list.make_contiguous().sort_unstable());
        book
    }

    /// Takes the soonest room out of the book that a job's zone rules let it use together: how many tasks
    /// on each machine, and when the last has room.
    fn choose_soonest(
        &self,
        book: &mut Book,
        id: &JobId,
        spec: &JobSpec,
        mut zones: Zones,
        tasks: usize,
        now: Micros,
    ) -> Option<(BTreeMap<MachineId, i64>, Micros)> {
        // In each zone, the places of the first entries that it may have.
        let mut firsts: Vec<(&Arc<str>, Entries)> = Vec::new();
        for (zone, list) in book.iter_mut().filter(|(z, _)| zone_ok(spec, &zones, z)) {
            let mut mine = VecDeque::new();
            let mut i = 0;
            while i < list.len() && mine.len() < tasks {
                let (at, machine) = &list[i];
                self.looks.set(self.looks.get() + 1);
                let m = self.machines.get(machine);
                // What is kept for a gang further down the queue can be had: else each of two gangs
                // may long hold a machine that is ready beside one that is not.
                let kept = m.and_then(|m| m.kept(now)).filter(|k| k.job != *id);
                if kept.is_some_and(|k| self.in_queue(&k.job)) {
                    list.remove(i);
                    continue;
                }
                if m.is_some_and(|m| !m.failures.contains_key(id)) {
                    mine.push_back((*at, machine.clone(), i));
                }
                i += 1;
            }
            firsts.push((zone, mine));
        }
        if spec.one_zone && zones.is_empty() {
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
                .filter(|f| zone_room(spec, &zones, f.0) > 0);
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
    fn room_times(&self, m: &Machine, spec: &JobSpec, now: Micros) -> Vec<Micros> {
        let most = spec.need.times_in(&m.size).min(MOST_TASKS) as usize;
        if !m.up {
            let at = self.up_at(m, now).filter(|_| !m.deleting && !m.bad);
            return at.map_or_else(Vec::new, |at| vec![at; most]);
        }
        if !m.usable(now, self.settings.report) {
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
                let Some((end, need)) = ends.next() else {
                    return times;
                };
                free += need;
                at = end;
            }
            free -= spec.need;
            times.push(at);
        }
        times
    }

    /// Whether the job's team has no guarantee: all that it uses is borrowed.
    pub fn guest(&self, job: &Job) -> bool {
        job.team
            .is_some_and(|t| self.settings.teams[t].guarantee == Resources::default())
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
    pub fn make_room(&mut self, id: &JobId, tasks: usize, gathering: &mut Gathering, now: Micros) {
        let Some(job) = self.jobs.get(id).filter(|_| self.settled) else {
            return;
        };
        let spec = job.spec.clone();
        let urgent = spec.priority >= Priority::High;
        let gang = spec.shape == Shape::Gang;
        // An array's tasks find room as others end; stopping as many others only moves the work.
        // Only guests, whose teams have no guarantee at all, make way for them, where they save.
        if !(urgent || job.within) {
            return;
        }
        if gathering.behind && job.made_at.is_some_and(|t| now < t + MADE_ANEW) {
            return;
        }
        if self.looks.get() > gathering.until {
            self.behind = true;
            return;
        }
        let guests_only = !urgent && !gang;
        let none = Resources::default();
        if guests_only && self.settings.teams.iter().all(|t| t.guarantee != none) {
            return;
        }
        let most = self.headroom(job).clamp(0, 1000) as usize;
        // Enough room may be being made already.
        let kept = job.kept_until > now;
        let making: i64 = if kept && !gang {
            let kept = self.machines.values().filter_map(|m| m.kept(now));
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
        let zones = self.zones_of(job);
        let asks = Asks {
            spec: spec.clone(),
            team: job.team,
            within: job.within,
            tasks: if gang { tasks } else { 1 },
        };
        let fresh = zones.is_empty() && !kept && job.blame.machines.is_empty();
        if fresh && gathering.hopeless.iter().any(|h| h.covers(&asks)) {
            return;
        }
        let borrowed = gathering.borrowed.get_or_insert_with(|| self.borrowed());
        let who = Who {
            site: Site::of(&spec),
            shape: spec.shape,
            priority: spec.priority,
            team: job.team,
            within: job.within,
        };
        // Jobs that may stop the same work look for it in one book.
        let mut made = match gathering.made.remove(&who) {
            Some(made) => made,
            None => self.victims(job, guests_only, borrowed, now),
        };
        let chosen = self.choose_soonest(&mut made.book, id, &spec, zones, tasks, now);
        let keep = chosen.map(|c| c.0).unwrap_or_default();
        let found: i64 = keep.values().sum();
        if found == 0 || (gang && found < tasks as i64) {
            // The book is made anew for the next: some of it may have been taken out.
            if fresh {
                gathering.hopeless.push(asks);
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
        gathering.made.insert(who, made);
        if let Some(job) = self.jobs.get_mut(id) {
            job.made_at = Some(now);
        }
        for (machine, tasks) in keep {
            self.keep(
                &machine,
                Kept {
                    job: id.clone(),
                    tasks,
                    until: now + MADE,
                },
            );
        }
        if !stops.is_empty() {
            tracing::info!(job = %id, stopped = stops.len(), tasks, urgent, "making room");
        }
        for task in stops {
            self.evict(&task.job, task.index);
        }
    }

    /// What may be stopped for a job, and where that would make room for its tasks, by what is lost.
    fn victims(&self, job: &Job, guests_only: bool, borrowed: &Borrowed, now: Micros) -> Made {
        let spec = &job.spec;
        let urgent = spec.priority >= Priority::High;
        let gang = spec.shape == Shape::Gang;
        let mut made = Made::default();
        for shelf in self
            .rooms
            .shelves
            .iter()
            .filter(|s| self.allowed(spec, &s.kind))
        {
            let list = made.book.entry(shelf.kind.zone.clone()).or_default();
            for m in shelf.all.iter().filter_map(|m| self.machines.get(m)) {
                self.looks
                    .set(self.looks.get() + 1 + m.attempts.len() as u64 / 4);
                if !m.usable(now, self.settings.report) || (!gang && m.kept(now).is_some()) {
                    continue;
                }
                let mut victims = Vec::new();
                let mut free = m.free_after_stops();
                for ((task, _), a) in m
                    .attempts
                    .iter()
                    .filter(|(_, a)| a.holds && a.stop.is_none())
                {
                    let victim = self
                        .jobs
                        .get(&task.job)
                        .filter(|j| j.spec.shape != Shape::Gang);
                    let Some(j) = victim else { continue };
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
                        let ran = if running {
                            now.saturating_sub(a.since)
                        } else {
                            0
                        };
                        let loss = if j.spec.checkpoint_every > 0 {
                            ran.min(j.spec.save)
                        } else {
                            ran
                        };
                        let team = a.team.filter(|_| !lower);
                        victims.push(Victim {
                            loss,
                            task: task.clone(),
                            need: a.need,
                            team,
                        });
                    }
                }
                victims.sort_by_key(|v| (v.loss, v.task.index));
                let mut loss = 0;
                let mut used = victims.iter();
                for _ in 0..spec.need.times_in(&m.size).min(MOST_TASKS) {
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
                    list.push_back((loss - before, m.id.clone()));
                }
                made.victims.insert(m.id.clone(), victims);
            }
        }
        made.book
            .values_mut()
            .for_each(|list| list.make_contiguous().sort_unstable());
        made
    }
}

/// What each team runs above its guarantee.
type Borrowed = Vec<Resources>;

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
