//! The leader's view of jobs and machines, kept true by reports and by the state service.
//!
//! Everything that could be on a machine counts: tasks whose launch may still arrive, tasks that
//! fetch, run, save or wait, and tasks of machines that cannot be reached.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::capacity_index::{Kind, Rooms};
use super::fleet::{Fleet, Offer};
use super::kill_orders::Halts;
use super::pipeline::Pipelines;
use super::queue::Queue;
use super::records::{Attempt, Job, Machine, MachineId, Phase};
use super::shard::Block;
use super::shard_load::{Giving, Load};
use super::unconfirmed::{Doubt, Pace};
use super::usage::Ledger;
use crate::configuration::OverLimit;
use crate::model::{Flavor, JobId, Micros, Priority, Resources, SECOND, Shape, TaskId, Team};
use crate::policy::Setting;
use crate::settings::Settings;
use crate::wire::store::{MoveRecord, seat_keys};

/// Added to every lease that is waited out.
const LEASE_MARGIN: Micros = 250_000;

/// A duration as a clock that runs 0.1% fast against ours would need it.
fn with_drift(d: Micros) -> Micros {
    d + d / 1000
}

/// What deciding has cost, in steps: looks at machines, jobs and lanes.
#[derive(Debug, Default)]
pub struct Spent {
    pub passes: u64,
    pub pass_steps: u64,
    pub plans: u64,
    pub plan_steps: u64,
    /// The most that one pass or plan took.
    pub most: u64,
}

#[derive(Debug)]
pub struct Cluster {
    pub term: u64,
    /// With the limits and guarantees that hold in this block.
    pub settings: Arc<Settings>,
    /// Teams as they are in the whole cluster.
    pub whole: Vec<Team>,
    pub flavors: Arc<Vec<Flavor>>,
    /// Jobs that wait for no other: only these can be placed.
    pub jobs: BTreeMap<JobId, Job>,
    /// Jobs that wait for others.
    pub pipelines: Pipelines,
    pub machines: BTreeMap<MachineId, Machine>,
    /// The same machines by where there is room.
    pub rooms: Rooms,
    pub used: Vec<Resources>,
    /// The size of all machines that are up.
    pub size: Resources,
    pub block: Block,
    /// The keys of this block's holder and last term.
    pub keys: (String, String),
    /// Machines that are in another block, or on their way there; only block 0's holder keeps track.
    pub elsewhere: BTreeMap<String, u32>,
    /// Jobs of other blocks, and their versions; the same.
    pub foreign: BTreeMap<JobId, u64>,
    /// New machines that are to go to other blocks, and the requests that are to bring them.
    pub giving: BTreeMap<String, Giving>,
    pub renting_for: BTreeMap<String, u32>,
    /// What has been given to other blocks lately, and until when it counts as on its way.
    pub(crate) arriving: BTreeMap<u32, Vec<(Micros, MoveRecord)>>,
    /// Machines that are being taken over from their way here.
    pub taking: HashSet<String>,
    /// Machines that this block's plan asks for.
    pub wants: BTreeMap<Offer, u32>,
    /// What other blocks' plans ask for, as far as it is not under way.
    pub orders: BTreeMap<u32, BTreeMap<Offer, u32>>,
    /// How the other blocks stand, for homes of jobs.
    pub loads: Vec<Load>,
    pub fleet: Fleet,
    /// Every machine of the block has reported to this term, or its lease has run out: nothing is in doubt.
    pub settled: bool,
    /// What may be on machines for which neither is so yet.
    pub doubt: Doubt,
    /// The jobs' marks of earlier terms say what was launched then.
    pub trusted: bool,
    /// The state service holds that whatever is launched is covered by marks; being written: `None`.
    pub marked: Option<bool>,
    /// Launches go out without marks: all siblings know that.
    pub unmarked: bool,
    /// How fast tasks are launched, which tells how far marks have to be ahead.
    pub launching: Pace,
    pub(crate) taken_at: Micros,
    pub(crate) attempts: u64,
    pub(crate) drops: Vec<String>,
    /// Learned: how long tasks of a class run, as a share of their owners' estimates.
    pub pace: HashMap<String, f64>,
    pub wall: u64,
    /// Jobs that are over, and the version at which they ended: a watch may still bring older news.
    pub(crate) buried: HashMap<JobId, u64>,
    /// Attempts of cancelled jobs that their workers are to be told of at once.
    pub(crate) halts: Halts,
    /// Room came free since the last report was answered.
    pub(crate) freed: bool,
    /// Something changed that a pass over the whole queue should see.
    pub stirred: bool,
    /// All jobs in the order in which they are served.
    pub queue: Queue,
    /// Jobs with work to place, in queue order, as of the last pass.
    pub order: Vec<JobId>,
    pub last_pass: Micros,
    /// Kinds of machines with room, in first-fit order, as of the last pass.
    pub tiers: Vec<Vec<usize>>,
    /// How many passes there have been; when the next one may begin, and the next plan.
    pub passes: u64,
    pub next_pass: Micros,
    pub next_plan: Micros,
    /// The last pass did not come to all that ask for room to be made.
    pub behind: bool,
    /// When room was last gathered for all gangs that wait.
    pub gathered_at: Micros,
    /// When all machines were last looked over for what time alone changes.
    pub(crate) scanned_at: Micros,
    /// The time of the last step.
    pub now: Micros,
    /// Zones whose machines have all fallen silent while others are heard, and when that was last
    /// seen.
    pub dark: HashMap<Arc<str>, Micros>,
    /// Looks at machines, jobs and lanes: what deciding costs.
    pub looks: Cell<u64>,
    /// What passes and plans have cost since that was last logged.
    pub spent: Spent,
    /// Transactions in a row that the state service called malformed or too large.
    pub refusals: u32,
    /// What becomes of tasks above a limit that was lowered.
    pub over_limit: OverLimit,
    /// Nothing is placed or launched: there may be a newer configuration than is known here.
    pub holds_starts: bool,
    /// Usage as it is charged, where a ledger is kept.
    pub ledger: Option<Box<Ledger>>,
}

impl Cluster {
    pub fn new(
        term: u64,
        settings: Arc<Settings>,
        flavors: Arc<Vec<Flavor>>,
        now: Micros,
        wall: u64,
    ) -> Cluster {
        let chunk = settings.policy.number(Setting::BlockChunk, &[]) as usize;
        let block = Block::new(0, term, &settings.name, settings.value_bytes, chunk);
        let doubt = Doubt::new(settings.teams.len());
        let halts = Halts::new(settings.policy.number(Setting::Halts, &[]));
        Cluster {
            term,
            used: vec![Resources::default(); settings.teams.len()],
            size: Resources::default(),
            fleet: Fleet::new(term, settings.cloud_rps),
            whole: settings.teams.clone(),
            settings,
            flavors,
            jobs: BTreeMap::new(),
            pipelines: Pipelines::default(),
            machines: BTreeMap::new(),
            rooms: Rooms::default(),
            block,
            keys: seat_keys(0),
            elsewhere: BTreeMap::new(),
            foreign: BTreeMap::new(),
            giving: BTreeMap::new(),
            renting_for: BTreeMap::new(),
            arriving: BTreeMap::new(),
            taking: HashSet::new(),
            wants: BTreeMap::new(),
            orders: BTreeMap::new(),
            loads: Vec::new(),
            settled: false,
            doubt,
            trusted: false,
            marked: Some(false),
            unmarked: false,
            launching: Pace::default(),
            taken_at: now,
            attempts: 0,
            drops: Vec::new(),
            pace: HashMap::new(),
            wall,
            buried: HashMap::new(),
            halts,
            freed: false,
            stirred: true,
            queue: Queue::default(),
            order: Vec::new(),
            last_pass: 0,
            tiers: Vec::new(),
            passes: 0,
            next_pass: 0,
            next_plan: 0,
            behind: false,
            gathered_at: 0,
            scanned_at: 0,
            now,
            dark: HashMap::new(),
            looks: Cell::new(0),
            spent: Spent::default(),
            refusals: 0,
            over_limit: OverLimit::default(),
            holds_starts: false,
            ledger: None,
        }
    }

    /// It is of another block than the leader's.
    pub fn of_block(&mut self, block: u32) {
        let chunk = self.settings.policy.number(Setting::BlockChunk, &[]) as usize;
        let (name, bytes) = (&self.settings.name, self.settings.value_bytes);
        self.block = Block::new(block, self.term, name, bytes, chunk);
        self.keys = seat_keys(block);
    }

    /// What teams may use in this block. Guarantees follow their limits in proportion.
    pub fn allow(&mut self, limits: &[Resources]) {
        let mut settings = (*self.settings).clone();
        let teams = settings.teams.iter_mut().zip(&self.whole);
        for ((team, whole), limit) in teams.zip(limits) {
            let part = |limit: i64, whole: i64, guarantee: i64| match whole {
                0 => 0,
                _ => (limit as f64 / whole as f64 * guarantee as f64) as i64,
            };
            team.limit = *limit;
            team.guarantee = Resources {
                cpu: part(limit.cpu, whole.limit.cpu, whole.guarantee.cpu),
                gpu: part(limit.gpu, whole.limit.gpu, whole.guarantee.gpu),
                mem: whole.guarantee.mem,
            };
        }
        self.settings = Arc::new(settings);
        self.stirred = true;
    }

    /// Goes by the marks of earlier terms, or does not.
    pub fn trust(&mut self, trusted: bool) {
        self.trusted = trusted;
        self.marked = Some(trusted);
    }

    /// The newest version of a live record that is known here.
    pub fn stamp_of(&self, id: &str) -> Option<u64> {
        self.jobs
            .get(id)
            .map(|j| j.stamp)
            .or_else(|| self.waiting_stamp(id))
    }

    /// The job was over at this version.
    pub fn buried(&self, id: &str, stamp: u64) -> bool {
        self.buried.get(id).is_some_and(|over| *over >= stamp)
    }

    /// The watch has reached this version: nothing older can come.
    pub fn watched(&mut self, stamp: u64) {
        self.buried.retain(|_, over| *over > stamp);
    }

    /// Looks for zones that are cut off: machines rented there would not be heard either.
    pub fn watch_zones(&mut self, now: Micros) {
        let quiet = 3 * self.settings.report + 2 * SECOND;
        let mut silent: HashMap<Arc<str>, (u32, u32)> = HashMap::new();
        for m in self.machines.values().filter(|m| m.up) {
            let (all, mute) = silent.entry(m.zone.clone()).or_default();
            *all += 1;
            *mute += u32::from(now > m.heard_at.unwrap_or(m.answered_at) + quiet);
        }
        // That one machine or two fall silent at a time is nothing unusual.
        let dark = |(all, mute): (u32, u32)| all > 2 && mute == all;
        if silent.values().all(|s| dark(*s)) {
            return;
        }
        for (zone, _) in silent.into_iter().filter(|s| dark(s.1)) {
            if self.dark.insert(zone.clone(), now).is_none() {
                tracing::info!(%zone, "no machine of a zone is heard");
            }
        }
    }

    /// After this long without an answer a worker's lease has run out, whatever its clock.
    pub fn lease_limit(&self) -> Micros {
        with_drift(self.settings.lease) + LEASE_MARGIN
    }

    /// The machine of that name; one not known yet is adopted.
    pub fn machine(
        &mut self,
        name: &str,
        flavor: &str,
        zone: &str,
        spot: bool,
        now: Micros,
    ) -> &mut Machine {
        let id = self
            .machines
            .get(name)
            .map_or_else(|| name.into(), |m| m.id.clone());
        let (flavors, rooms) = (&self.flavors, &mut self.rooms);
        self.machines.entry(id).or_insert_with_key(|id| {
            let flavor = flavors.iter().position(|f| *f.name == *flavor);
            Machine {
                shelf: flavor.map(|flavor| {
                    rooms.enter(
                        Kind {
                            flavor,
                            zone: zone.into(),
                            spot,
                        },
                        id.clone(),
                    )
                }),
                open: None,
                id: id.clone(),
                flavor,
                size: flavor.map(|i| flavors[i].size).unwrap_or_default(),
                zone: zone.into(),
                spot,
                recorded: false,
                confirmed: false,
                session: 0,
                seq: 0,
                lost_session: 0,
                heard_at: None,
                heard_before: None,
                missed: false,
                answered_at: now,
                addr: None,
                attempts: BTreeMap::new(),
                used: Resources::default(),
                idle_since: now,
                known_since: now,
                rented_at: now,
                up: false,
                late: false,
                listed: false,
                missed_lists: 0,
                notice: false,
                deleting: false,
                leaving: false,
                bad: flavor.is_none(),
                failures: HashMap::new(),
                images: HashSet::new(),
                kept: None,
                awaited_until: 0,
                refused_until: 0,
                unheard: 0,
                urgent_at: None,
                digest: None,
            }
        })
    }

    /// Changes that a transaction may have. What the state service has called too large is asked
    /// for in smaller ones; the end of a job takes two.
    pub fn most_changes(&self) -> usize {
        (self.settings.txn_ops >> self.refusals.min(8)).max(2)
    }

    /// Tells one attempt to stop. A shorter grace replaces a longer one.
    pub(crate) fn stop(
        &mut self,
        job: &str,
        index: u32,
        machine: &str,
        attempt: u64,
        grace: Micros,
    ) {
        let key = (
            TaskId {
                job: job.into(),
                index,
            },
            attempt,
        );
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        m.digest = None;
        if let Some(a) = m.attempts.get_mut(&key) {
            a.stop = Some(a.stop.map_or(grace, |g| g.min(grace)));
        }
    }

    /// Stops a task so that it saves if it can; a gang is stopped whole, and in order.
    pub fn evict(&mut self, job: &JobId, index: u32) {
        let Some(j) = self.jobs.get_mut(job) else {
            return;
        };
        let saves = j.spec.checkpoint_every > 0;
        let grace = if saves { j.spec.save + 2 * SECOND } else { 0 };
        let targets: Vec<u32> = match &mut j.gang {
            Some(g) if g.stopping => return,
            Some(g) => {
                g.stopping = true;
                j.live.keys().copied().collect()
            }
            None => vec![index],
        };
        let live: Vec<_> = targets
            .iter()
            .filter_map(|i| Some((*i, j.live.get(i)?.clone())))
            .collect();
        for (i, (machine, attempt)) in live {
            self.stop(job, i, &machine, attempt, grace);
        }
    }

    /// Moves off a machine what can save its work.
    pub fn drain(&mut self, id: &MachineId) {
        let Some(m) = self.machines.get(id) else {
            return;
        };
        let tasks: Vec<TaskId> = m
            .attempts
            .iter()
            .filter(|(_, a)| a.holds && a.stop.is_none())
            .map(|(k, _)| k.0.clone())
            .collect();
        for t in tasks {
            let Some(j) = self.jobs.get(&t.job) else {
                continue;
            };
            if j.spec.checkpoint_every > 0 || j.spec.shape == Shape::Service {
                self.evict(&t.job, t.index);
            }
        }
    }

    /// Puts a task on a machine; the launch goes out with the answer to its next report.
    pub fn place(
        &mut self,
        job: &JobId,
        index: u32,
        machine: &MachineId,
        attempt: u64,
        now: Micros,
    ) {
        let tab = self.tab(job, index, machine, attempt, now);
        let (Some(j), Some(m)) = (self.jobs.get_mut(job), self.machines.get_mut(machine)) else {
            return;
        };
        j.pending.remove(index);
        j.live.insert(index, (machine.clone(), attempt));
        j.open_to(index + 1);
        self.launching.placed();
        let need = j.spec.need;
        if j.priority() >= Priority::High {
            m.urgent_at = Some(now);
        }
        if let Some(kept) = m.kept.as_mut().filter(|k| k.job == *job) {
            kept.tasks -= 1;
            if kept.tasks <= 0 {
                m.kept = None;
            }
        }
        let entry = Attempt {
            phase: Phase::Starting,
            since: now,
            seen: false,
            stop: None,
            need,
            team: j.team,
            holds: true,
            tab,
        };
        let team = j.team;
        m.digest = None;
        m.attempts.insert(
            (
                TaskId {
                    job: job.clone(),
                    index,
                },
                attempt,
            ),
            entry,
        );
        self.occupy(machine, team, need, now);
    }

    /// Whether the launch of a task may go out: its mark covers it, or no successor relies on marks.
    pub fn may_launch(&self, job: &Job, index: u32) -> bool {
        !self.holds_starts && (index < job.opened || self.unmarked)
    }

    /// A number that no other start of the same task has, in this term or another.
    pub fn next_attempt(&mut self) -> u64 {
        if let Some(number) = self.number_now() {
            return number;
        }
        self.attempts += 1;
        (self.term << 24) + self.attempts
    }

    /// The stamp of a waiting job's record.
    pub fn waiting_stamp(&self, id: &str) -> Option<u64> {
        self.pipelines.waiting.get(id).map(|w| w.stamp)
    }
}

impl Cluster {
    /// Brings a machine's place in the index up to date.
    pub fn reshelve(&mut self, id: &MachineId, now: Micros) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let Some(number) = m.shelf else { return };
        let free = m.free();
        let open = (m.usable(now, self.settings.report) && free.cpu >= 0).then_some(free.cpu);
        if open != m.open {
            let old = std::mem::replace(&mut m.open, open);
            self.rooms.shift(number, id, old, open);
        }
    }

    /// An attempt takes its place on a machine and in its team's quota, or gives it back.
    pub fn occupy(&mut self, id: &MachineId, team: Option<usize>, need: Resources, now: Micros) {
        if let Some(m) = self.machines.get_mut(id) {
            m.used += need;
        }
        if let Some(t) = team {
            self.used[t] += need;
        }
        self.reshelve(id, now);
    }

    /// Machines whose state has changed with time alone, as when they fall silent, find their place.
    pub fn reshelve_all(&mut self, now: Micros) {
        let report = self.settings.report;
        let moved = |m: &&Machine| {
            m.shelf.is_some() && m.open.is_some() != (m.usable(now, report) && m.free().cpu >= 0)
        };
        let moved: Vec<MachineId> = self
            .machines
            .values()
            .filter(moved)
            .map(|m| m.id.clone())
            .collect();
        moved.iter().for_each(|id| self.reshelve(id, now));
    }

    /// What differs between the index and the machines themselves: nothing, ever. For tests.
    pub fn misplaced(&self) -> Vec<String> {
        let mut wrong = Vec::new();
        for m in self.machines.values() {
            let Some(shelf) = m.shelf.map(|n| &self.rooms.shelves[n]) else {
                continue;
            };
            let here = shelf.open.iter().filter(|(_, id)| *id == m.id);
            let cpus: Vec<i64> = here.map(|(cpu, _)| *cpu).collect();
            if !shelf.all.contains(&m.id) || cpus != Vec::from_iter(m.open) {
                wrong.push(format!("{}: {cpus:?} for {:?}", m.id, m.open));
            }
            if m.open.is_some_and(|cpu| cpu != m.free().cpu) {
                wrong.push(format!("{}: {:?} with {:?} free", m.id, m.open, m.free()));
            }
        }
        let known: usize = self.rooms.shelves.iter().map(|s| s.all.len()).sum();
        let shelved = self.machines.values().filter(|m| m.shelf.is_some()).count();
        if known != shelved {
            wrong.push(format!("{known} in the index, {shelved} machines"));
        }
        wrong
    }
}
