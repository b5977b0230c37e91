//! The leader's view of jobs and machines, kept true by reports and by the state service.
//!
//! Everything that could be on a machine counts: tasks whose launch may still arrive, tasks that
//! fetch, run, save or wait, and tasks of machines that cannot be reached.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use crate::blame;
use crate::block::{Block, ChunkRecord, Member};
use crate::fleet::Fleet;
use crate::model::{
    Flavor, JobId, JobSpec, Micros, Priority, Ranges, Resources, SECOND, Shape, TaskId, seconds,
};
use crate::pipeline::{Pipelines, Pull};
use crate::policy::Setting;
use crate::queue::Queue;
use crate::room::{Kind, Rooms};
use crate::saga::{Action, Saga, State};
use crate::settings::Settings;
use crate::store::{self, Commit, JobRecord, LiveRecord, OverRecord, PART_TASKS, PartRecord};
use crate::worker::{ExitReason, Order, Report, TaskState};

pub type MachineId = Arc<str>;

/// Orders in one answer: keeps its line below 64 KiB.
const MAX_ORDERS: usize = 300;
/// A takeover does not wait for the silent when fewer than one in so many are.
const FEW_SILENT: usize = 40;
/// Added to every lease that is waited out.
const LEASE_MARGIN: Micros = 250_000;

/// All machines are looked over this often, for each machine there is, and at least so often.
const SCAN_EVERY: Micros = 50;
const SCAN_AT_LEAST: Micros = SECOND / 2;

/// A duration as a clock that runs 0.1% fast against ours would need it.
fn with_drift(d: Micros) -> Micros {
    d + d / 1000
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// Placed; the worker has not shown it yet.
    Starting,
    Fetching,
    Waiting,
    Running,
    Saving,
    Ended(ExitReason),
}

/// One start of a task, on one machine.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub phase: Phase,
    pub since: Micros,
    /// The worker has reported it.
    pub seen: bool,
    /// Told to stop, with this much time to save.
    pub stop: Option<Micros>,
    pub need: Resources,
    pub team: Option<usize>,
    /// It counts against its machine and its team.
    pub holds: bool,
}

/// Room of a machine kept for so many tasks of a job. It lapses unless it is asked for again.
#[derive(Debug, Clone)]
pub struct Kept {
    pub job: JobId,
    pub tasks: i64,
    pub until: Micros,
}

#[derive(Debug)]
pub struct Machine {
    pub id: MachineId,
    pub flavor: Option<usize>,
    pub size: Resources,
    pub zone: Arc<str>,
    pub spot: bool,
    /// In its block's record, durably.
    pub recorded: bool,
    /// Its worker has seen this term's token.
    pub confirmed: bool,
    pub session: u64,
    pub seq: u64,
    /// No task of this session or an earlier one can be left.
    pub lost_session: u64,
    pub heard_at: Option<Micros>,
    /// The last answer that could have renewed the worker's lease.
    pub answered_at: Micros,
    pub attempts: BTreeMap<(TaskId, u64), Attempt>,
    pub used: Resources,
    pub idle_since: Micros,
    pub known_since: Micros,
    /// When it was rented, as far as is known.
    pub rented_at: Micros,
    /// The worker has reported at all, so it is up.
    pub up: bool,
    /// It should have been up for long.
    pub late: bool,
    pub listed: bool,
    pub missed_lists: u32,
    pub notice: bool,
    pub deleting: bool,
    /// Its work is being moved elsewhere, so that it can be returned.
    pub leaving: bool,
    /// Not worth placing on: faulty, or of an unknown type.
    pub bad: bool,
    /// Jobs whose tasks have failed here since one last did well, and how often.
    pub failures: HashMap<JobId, u32>,
    pub images: HashSet<String>,
    /// Room that is being kept for a waiting job.
    pub kept: Option<Kept>,
    /// Work that will be released soon is planned here: it is not returned until then.
    pub awaited_until: Micros,
    pub refused_until: Micros,
    /// When work of high priority was last placed here.
    pub urgent_at: Option<Micros>,
    /// The tasks of the last report taken in, unless they have been told something since: a report
    /// of the same holds no news.
    pub digest: Option<u64>,
    /// Where it stands in [`Rooms`]: its shelf's number, and with how much free CPU, if it may be
    /// placed on.
    pub shelf: Option<usize>,
    pub open: Option<i64>,
}

/// What tells a report's tasks and their states from another's.
fn digest(report: &Report<'_>) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    report.tasks.len().hash(&mut hasher);
    for t in &report.tasks {
        (&t.task, t.attempt, t.state as u8, t.why.map(|w| w as u8)).hash(&mut hasher);
    }
    hasher.finish()
}

impl Machine {
    pub fn free(&self) -> Resources {
        self.size - self.used
    }

    /// Its room once everything that was told to stop has gone.
    pub fn free_after_stops(&self) -> Resources {
        let mut free = self.free();
        let stopping = self.attempts.values().filter(|a| a.holds && a.stop.is_some());
        stopping.for_each(|a| free += a.need);
        free
    }

    /// What is kept on it at this time.
    pub fn kept(&self, now: Micros) -> Option<&Kept> {
        self.kept.as_ref().filter(|k| k.until > now)
    }

    fn holds_any(&self) -> bool {
        self.attempts.values().any(|a| a.holds)
    }

    /// Whether new tasks may be placed here now.
    pub fn usable(&self, now: Micros, report: Micros) -> bool {
        let fresh = self.heard_at.is_some_and(|t| now < t + 2 * report + SECOND);
        self.confirmed
            && self.recorded
            && fresh
            && !self.deleting
            && !self.leaving
            && !self.bad
            && !self.notice
            && self.flavor.is_some()
            && self.refused_until <= now
    }
}

#[derive(Debug)]
pub struct Gang {
    pub attempt: u64,
    /// The attempt's own saga: its tasks are vital to it, it is not vital to its job.
    pub saga: Saga<u32>,
    pub running: bool,
    pub stopping: bool,
}

#[derive(Debug)]
pub struct Job {
    pub id: JobId,
    /// What placing goes by: as submitted, but for what policy forbids.
    pub spec: Arc<JobSpec>,
    submitted: Arc<JobSpec>,
    pub team: Option<usize>,
    /// Time of day at acceptance: deadlines count from here ...
    pub at: u64,
    /// ... and everything else from here, when the last job that it waited for was done.
    pub ready: u64,
    /// What jobs that wait for it ask of it.
    pub pull: Option<Pull>,
    pub stamp: u64,
    pub done: Ranges,
    /// The part of `done` that the state service holds.
    pub flushed: Ranges,
    pub cancelled: bool,
    /// The job's own saga. [`Pipelines`] holds the one that it shares with what waits for it.
    pub saga: Saga<u32>,
    pub pending: Ranges,
    pub live: HashMap<u32, (MachineId, u64)>,
    pub gang: Option<Gang>,
    /// How long tasks ran before they were stopped and saved, as far as this leader has seen.
    pub progress: HashMap<u32, Micros>,
    /// Tasks that wait after a failure, and how often they failed.
    pub backoff: HashMap<u32, (Micros, u32)>,
    pub blame: blame::Record,
    dirty_parts: BTreeSet<u32>,
    dirty_since: Option<Micros>,
    /// Finished tasks of its first part are kept in a key of their own: its value has no room.
    outgrown: bool,
    writing: bool,
    /// Its version is unknown until it has been read again.
    pub unsure: bool,
    /// All that its team may run of it at once has been placed.
    pub placed: bool,
    /// It lay within its team's guarantee when the queue was last put in order.
    pub within: bool,
    /// When room was last gathered or made for it.
    pub gathered_at: Option<Micros>,
    /// When other work was last stopped to make room for it.
    pub made_at: Option<Micros>,
    /// No room is kept for it after this.
    pub kept_until: Micros,
    /// The last pass that found it in the queue with work to place.
    pub queued: u64,
}

impl Job {
    pub fn finished(&self) -> bool {
        self.spec.shape != Shape::Service && self.done.len() == self.spec.tasks
    }

    /// Its record is to be written again.
    pub fn note(&mut self, now: Micros) {
        self.dirty_parts.insert(0);
        self.dirty_since.get_or_insert(now);
    }

    /// Its own priority, or that of a job that needs it.
    pub fn priority(&self) -> Priority {
        self.pull.as_ref().map_or(self.spec.priority, |p| p.priority.max(self.spec.priority))
    }

    pub fn running(&self) -> u32 {
        self.live.len() as u32
    }
}

/// What a report is answered with.
#[derive(Debug, PartialEq)]
pub enum Outcome {
    Orders(Vec<Order>),
    /// An old message, or one that must not renew anything.
    Stale,
    /// The worker has seen a higher token: this controller has been replaced.
    Deposed,
}

/// Part of a transaction in flight.
#[derive(Debug, Clone)]
pub enum Item {
    Job {
        id: JobId,
        parts: BTreeMap<u32, Ranges>,
        whole: bool,
    },
    /// `late_s`: by how much it missed its deadline.
    Over {
        id: JobId,
        cancelled: bool,
        late_s: Option<u32>,
    },
    /// A job that waited for others is released.
    Release {
        id: JobId,
        record: Box<JobRecord>,
    },
    /// A waiting job is cancelled with one that it needs.
    Mark {
        id: JobId,
    },
    Chunk {
        index: usize,
        members: Vec<String>,
    },
    Drop,
}

#[derive(Debug, Default)]
pub struct Batch {
    items: Vec<Item>,
    keys: Vec<String>,
}

impl Batch {
    pub fn push(&mut self, item: Item, key: String) {
        self.items.push(item);
        self.keys.push(key);
    }

    /// Keys whose versions are unsure when the transaction's fate is.
    pub fn keys(&self) -> &[String] {
        &self.keys
    }
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
    pub settings: Arc<Settings>,
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
    pub fleet: Fleet,
    /// Every machine of the block has reported to this term, or its lease has run out.
    pub settled: bool,
    taken_at: Micros,
    attempts: u64,
    drops: Vec<String>,
    /// Learned: how long tasks of a class run, as a share of their owners' estimates.
    pub pace: HashMap<String, f64>,
    pub wall: u64,
    /// Jobs that are over, and the version at which they ended: a watch may still bring older news.
    buried: HashMap<JobId, u64>,
    /// Room came free since the last report was answered.
    freed: bool,
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
    scanned_at: Micros,
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
        Cluster {
            term,
            used: vec![Resources::default(); settings.teams.len()],
            size: Resources::default(),
            fleet: Fleet::new(term, settings.cloud_rps),
            settings,
            flavors,
            jobs: BTreeMap::new(),
            pipelines: Pipelines::default(),
            machines: BTreeMap::new(),
            rooms: Rooms::default(),
            block,
            settled: false,
            taken_at: now,
            attempts: 0,
            drops: Vec::new(),
            pace: HashMap::new(),
            wall,
            buried: HashMap::new(),
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
        }
    }

    // ---- Loading and following the state service ----

    /// Takes in a live job's record.
    pub fn live_record(&mut self, id: &str, record: LiveRecord, stamp: u64) {
        match record {
            LiveRecord::Job(record) => self.job_record(id, record, stamp),
            LiveRecord::Waiting(record) => self.waiting_record(id, record, stamp),
        }
    }

    /// The newest version of a live record that is known here.
    pub fn stamp_of(&self, id: &str) -> Option<u64> {
        self.jobs.get(id).map(|j| j.stamp).or_else(|| self.waiting_stamp(id))
    }

    /// The job was over at this version.
    pub fn buried(&self, id: &str, stamp: u64) -> bool {
        self.buried.get(id).is_some_and(|over| *over >= stamp)
    }

    /// Takes in a job's record: a new job, a cancellation, or what was read back.
    pub fn job_record(&mut self, id: &str, record: JobRecord, stamp: u64) {
        if let Some(job) = self.jobs.get_mut(id) {
            if stamp > job.stamp {
                job.stamp = stamp;
            }
            job.unsure = false;
            store::decode_done(&record.done, 0, &mut job.flushed);
            if record.cancelled && !job.cancelled {
                self.cancel(id);
            }
            return;
        }
        if self.buried(id, stamp) {
            return;
        }
        self.upstream_released(&id.into());
        let spec = Arc::new(record.spec);
        let mut done = Ranges::default();
        store::decode_done(&record.done, 0, &mut done);
        let mut pending = Ranges::up_to(spec.tasks);
        done.iter().for_each(|x| {
            pending.remove(x);
        });
        let submitted = spec.clone();
        let mut job = Job {
            id: id.into(),
            submitted,
            team: self.settings.team(&spec.team),
            at: record.at,
            ready: record.ready.unwrap_or(record.at),
            pull: None,
            stamp,
            flushed: done.clone(),
            done,
            cancelled: false,
            saga: Saga::flat(1),
            pending,
            live: HashMap::new(),
            gang: None,
            progress: HashMap::new(),
            backoff: HashMap::new(),
            blame: blame::Record::new(record.failing),
            dirty_parts: BTreeSet::new(),
            dirty_since: None,
            outgrown: false,
            writing: false,
            unsure: false,
            placed: false,
            within: false,
            gathered_at: None,
            made_at: None,
            kept_until: 0,
            queued: 0,
            spec,
        };
        if job.spec.spot {
            let within = self.fits_guarantee(&job);
            let facts = self.facts(&job, within, self.latest_start(&job, within));
            let spot = self.settings.policy.truth(Setting::UseSpot, &facts);
            if !spot {
                job.spec = Arc::new(JobSpec { spot, ..(*job.submitted).clone() });
            }
        }
        self.queue.arrived(job.id.clone());
        self.jobs.insert(job.id.clone(), job);
        self.stirred = true;
        if record.cancelled {
            self.cancel(id);
        }
    }

    /// Takes in finished tasks of a large array.
    pub fn part_record(&mut self, key: &str, record: &PartRecord) {
        let parsed = key.strip_prefix(store::PART).and_then(|k| k.rsplit_once('/'));
        let Some((id, part)) = parsed.and_then(|(j, n)| Some((j, n.parse::<u32>().ok()?))) else {
            return;
        };
        match self.jobs.get_mut(id) {
            Some(job) if part < 100 => {
                job.outgrown |= part == 0;
                let mut done = Ranges::default();
                store::decode_done(&record.done, part, &mut done);
                for x in done.iter().filter(|x| *x < job.spec.tasks) {
                    job.done.insert(x);
                    job.flushed.insert(x);
                    job.pending.remove(x);
                }
            }
            _ => self.drops.push(key.to_string()),
        }
    }

    /// Takes in a part of the block's record. Its machines may hold tasks of an earlier term.
    pub fn chunk_record(&mut self, key: &str, record: ChunkRecord, stamp: u64) {
        let Some(index) = self.block.chunk_of_key(key) else { return };
        for (name, member) in &record.machines {
            let taken = self.taken_at;
            let machine = self.machine(name, &member.flavor, &member.zone, member.spot, taken);
            machine.recorded = true;
            machine.answered_at = taken;
            machine.up = true;
        }
        self.block.load(index, record, stamp);
    }

    /// The user cancelled: the pipeline's saga aborts. Nothing of it starts from here on.
    fn cancel(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.cancelled = true;
        job.pending = Ranges::default();
        job.dirty_since = Some(0);
        let actions = job.saga.abort();
        let live: Vec<_> = job.live.iter().map(|(i, p)| (*i, p.clone())).collect();
        tracing::info!(job = id, tasks = live.len(), "cancelled");
        self.upstream_cancelled(id);
        if actions.contains(&Action::Cancel(0)) {
            for (index, (machine, attempt)) in live {
                self.stop(id, index, &machine, attempt, 0);
            }
        }
    }

    /// A live key is gone: the job is over, whoever wrote that. `cancelled`: what its end says,
    /// where that was read or written here. Else it is read if another job waits for it.
    pub fn job_gone(&mut self, id: &str, stamp: u64, cancelled: Option<bool>) {
        if self.stamp_of(id).is_some_and(|known| known >= stamp) {
            return;
        }
        self.buried.insert(id.into(), stamp);
        if self.waiting_gone(id) {
            return;
        }
        self.upstream_over(id, cancelled);
        if let Some(job) = self.jobs.remove(id) {
            let first = u32::from(!job.outgrown);
            for part in first..job.spec.tasks.div_ceil(PART_TASKS) {
                self.drops.push(format!("{}{id}/{part}", store::PART));
            }
        }
    }

    /// The watch has reached this version: nothing older can come.
    pub fn watched(&mut self, stamp: u64) {
        self.buried.retain(|_, over| *over > stamp);
    }

    /// Everything has been read; leases of recorded machines are counted from here.
    pub fn loaded(&mut self, now: Micros) {
        self.taken_at = now;
        self.block.loaded();
        self.machines.values_mut().for_each(|m| m.answered_at = now);
    }

    /// The next transaction, if anything needs to be written. `holder` is the leader key's version.
    pub fn next_commit(&mut self, now: Micros, holder: u64) -> Option<(Commit, Batch)> {
        let (ops, limit) = (self.most_changes(), self.settings.value_bytes);
        let mut commit = Commit::default();
        let mut batch = Batch::default();
        let mut bytes = 512;
        commit.guard(store::HOLDER, holder);
        // A transaction must be able to carry the end of a job beside machines.
        let most = (ops / 2).max(1);
        self.write_block(&mut commit, &mut batch, &mut bytes, most, false);
        self.write_pipelines(&mut commit, &mut batch, &mut bytes);
        let mut due: Vec<(bool, Micros, JobId)> = Vec::new();
        for job in self.jobs.values().filter(|j| !j.writing && !j.unsure) {
            let over = job.finished() || (job.cancelled && job.live.is_empty() && self.settled);
            match job.dirty_since {
                _ if over => due.push((false, 0, job.id.clone())),
                // Progress can wait: until it is written, the worker keeps the result.
                Some(t) if now >= t + 2 * SECOND && !job.dirty_parts.is_empty() => {
                    due.push((true, t, job.id.clone()));
                }
                _ => {}
            }
        }
        due.sort();
        for (progress, _, id) in due {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let live = format!("{}{id}", store::LIVE);
            let room = ops - commit.changes();
            if !progress {
                if room < 2 || bytes > 40_000 {
                    break;
                }
                let cancelled = job.cancelled;
                commit.guard(&live, job.stamp);
                commit.end(&id, &OverRecord { cancelled, tasks: job.spec.tasks });
                bytes += 400;
                job.writing = true;
                let due = job.submitted.deadline.filter(|_| !cancelled).map(|d| job.at + d);
                let late = due.and_then(|due| self.wall.checked_sub(due));
                let late_s = late.map(|t| seconds(t) as u32);
                batch.push(Item::Over { id, cancelled, late_s }, live);
                continue;
            }
            if room == 0 || bytes > 40_000 {
                break;
            }
            let mut parts = BTreeMap::new();
            let mut whole = false;
            let mut room = room;
            for part in job.dirty_parts.iter().copied().collect::<Vec<_>>() {
                let done = store::encode_done(&job.done, part);
                let mut record = None;
                if part == 0 {
                    let spec = (*job.submitted).clone();
                    let mut r = JobRecord::new(spec, job.at);
                    r.ready = (job.ready != job.at).then_some(job.ready);
                    (r.cancelled, r.failing) = (job.cancelled, job.suspect());
                    r.done.clone_from(&done);
                    let value = store::raw(&r);
                    job.outgrown |= value.get().len() + store::SLACK > limit;
                    // Both change in one transaction. Whoever reads the parts, the version before
                    // as well, takes part 0 for what it is.
                    record = Some(if job.outgrown {
                        r.done.clear();
                        store::raw(&r)
                    } else {
                        value
                    });
                }
                let in_part = part > 0 || job.outgrown;
                let changes = usize::from(in_part) + usize::from(record.is_some());
                if changes > room {
                    break;
                }
                room -= changes;
                job.dirty_parts.remove(&part);
                bytes += done.len() + 200;
                let lo = part * PART_TASKS;
                parts.insert(part, job.done.slice(lo, lo + PART_TASKS));
                if in_part {
                    // Each part is a growing set on its own, so parts need not change together;
                    // the leader's key, guarded above, keeps other writers out.
                    let key = format!("{}{id}/{part}", store::PART);
                    commit.put(&key, store::raw(&PartRecord { done }), None);
                }
                if let Some(record) = record {
                    whole = true;
                    commit.guard(&live, job.stamp);
                    commit.put(&live, record, None);
                    bytes += 1500;
                }
            }
            if parts.is_empty() {
                break;
            }
            if job.dirty_parts.is_empty() {
                job.dirty_since = None;
            }
            job.writing = true;
            batch.push(Item::Job { id, parts, whole }, live);
        }
        while commit.changes() < ops && bytes < 40_000 {
            let Some(key) = self.drops.pop() else { break };
            commit.delete(&key);
            bytes += key.len() + 20;
            batch.items.push(Item::Drop);
        }
        if commit.changes() == 0 {
            self.write_block(&mut commit, &mut batch, &mut bytes, ops, true);
        }
        (commit.changes() > 0).then_some((commit, batch))
    }

    /// Adds parts of the block's record to a transaction, until it has `most` changes.
    fn write_block(
        &mut self,
        commit: &mut Commit,
        batch: &mut Batch,
        bytes: &mut usize,
        most: usize,
        idle: bool,
    ) {
        while commit.changes() < most && *bytes < 40_000 {
            let Some((index, stamp, record)) = self.block.dirty(idle) else { break };
            let key = self.block.key(index);
            let value = store::raw(&record);
            *bytes += value.get().len() + 200;
            commit.guard(&key, stamp);
            commit.put(&key, value, None);
            self.block.writing(index);
            let members = record.machines.into_keys().collect();
            batch.push(Item::Chunk { index, members }, key);
        }
    }

    /// Changes that a transaction may have. What the state service has called too large is asked
    /// for in smaller ones; the end of a job takes two.
    pub fn most_changes(&self) -> usize {
        (self.settings.txn_ops >> self.refusals.min(8)).max(2)
    }

    /// A transaction was carried out.
    pub fn committed(&mut self, batch: Batch, stamp: u64) {
        self.refusals = 0;
        for item in batch.items {
            match item {
                Item::Job { id, parts, whole } => {
                    let Some(job) = self.jobs.get_mut(&id) else { continue };
                    job.writing = false;
                    if whole {
                        job.stamp = job.stamp.max(stamp);
                    }
                    for x in parts.values().flat_map(Ranges::iter) {
                        job.flushed.insert(x);
                    }
                }
                Item::Over { id, cancelled, late_s } => {
                    match late_s {
                        Some(late_s) => tracing::info!(job = %id, late_s, "over"),
                        None => tracing::info!(job = %id, cancelled, "over"),
                    }
                    self.job_gone(&id, stamp, Some(cancelled));
                }
                Item::Release { .. } | Item::Mark { .. } => self.pipeline_written(&item, stamp),
                Item::Chunk { index, members } => {
                    self.block.written(index, stamp);
                    for name in members {
                        if let Some(m) = self.machines.get_mut(name.as_str()) {
                            m.recorded = true;
                            let id = m.id.clone();
                            self.reshelve(&id, self.now);
                        }
                    }
                }
                Item::Drop => {}
            }
        }
    }

    /// A transaction was not carried out. `unsure`: perhaps it was, or its versions were wrong; its
    /// keys are then to be read back, never assumed.
    pub fn uncommitted(&mut self, batch: &Batch, unsure: bool, now: Micros) {
        for item in &batch.items {
            match item {
                Item::Job { id, parts, .. } => {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.writing = false;
                        job.unsure = unsure;
                        job.dirty_parts.extend(parts.keys());
                        job.dirty_since.get_or_insert(now);
                    }
                }
                Item::Over { id, .. } | Item::Release { id, .. } | Item::Mark { id } => {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.writing = false;
                        job.unsure = unsure;
                    }
                    self.pipeline_unwritten(id, unsure);
                }
                Item::Chunk { index, .. } if !unsure => self.block.unwritten(*index),
                // A dropped key that stays is found and dropped again at the next takeover.
                Item::Chunk { .. } | Item::Drop => {}
            }
        }
    }

    // ---- Machines ----

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
        let flavor = self.flavors.iter().position(|f| *f.name == *flavor);
        let size = flavor.map(|i| self.flavors[i].size).unwrap_or_default();
        let id: MachineId = name.into();
        let rooms = &mut self.rooms;
        self.machines.entry(id.clone()).or_insert_with(|| Machine {
            shelf: flavor
                .map(|flavor| rooms.enter(Kind { flavor, zone: zone.into(), spot }, id.clone())),
            open: None,
            id,
            flavor,
            size,
            zone: zone.into(),
            spot,
            recorded: false,
            confirmed: false,
            session: 0,
            seq: 0,
            lost_session: 0,
            heard_at: None,
            answered_at: now,
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
            urgent_at: None,
            digest: None,
        })
    }

    /// Answers a worker's report. The caller has checked that this controller may act.
    pub fn report(&mut self, now: Micros, report: &Report<'_>) -> Outcome {
        self.now = now;
        if report.token > self.term {
            return Outcome::Deposed;
        }
        let known = self.machines.contains_key(&*report.machine);
        if !known && self.fleet.removed.contains_key(&*report.machine) {
            // The machine is known to be gone: its tasks, shown by a report that was held back,
            // must not hold up their successors for another lease.
            return Outcome::Stale;
        }
        let machine = self.machine(&report.machine, &report.flavor, &report.zone, report.spot, now);
        let id = machine.id.clone();
        let zone = machine.zone.clone();
        if (report.session, report.seq) <= (machine.session, machine.seq)
            || report.session <= machine.lost_session
        {
            return Outcome::Stale;
        }
        let mut booted = None;
        if !machine.up {
            let took = now.saturating_sub(machine.rented_at);
            tracing::info!(machine = %id, known, boot_s = seconds(took) as u32, "machine is up");
            machine.up = true;
            machine.idle_since = now;
            // Of a machine that nobody knew of, nobody knows when it was rented.
            booted = machine.flavor.filter(|_| known).map(|f| (f, took));
        }
        let new_session = report.session > machine.session;
        let news = new_session || !machine.confirmed;
        machine.session = report.session;
        machine.seq = report.seq;
        machine.heard_at = Some(now);
        machine.answered_at = now;
        let notice = report.notice_s.is_some() && !machine.notice;
        machine.notice |= notice;
        let member = Member {
            flavor: report.flavor.to_string(),
            zone: report.zone.to_string(),
            spot: report.spot,
        };
        if !machine.recorded && !machine.deleting && !self.block.contains(&id) {
            self.block.add(&id, member, None);
        }
        if let Some((f, took)) = booted {
            self.fleet.boots.up(f, &zone, self.flavors[f].boot, took, now);
        }
        self.stirred |= news;
        if new_session {
            // The worker killed and forgot all it had when its lease ended.
            self.lose(&id, now, "its session ended");
        }
        if report.token < self.term {
            // A report held back in the network may be older than another leader's launches.
            // Only a worker that has seen this term's token tells us all that it holds.
            return Outcome::Orders(Vec::new());
        }
        if let Some(m) = self.machines.get_mut(&id) {
            m.confirmed = true;
        }
        if notice {
            tracing::info!(machine = %id, "spot notice");
            self.stirred = true;
        }
        if self.dark.remove(&zone).is_some() {
            tracing::info!(%zone, "a zone is heard again");
        }
        let digest = digest(report);
        if self.machines.get(&id).is_some_and(|m| m.digest != Some(digest)) {
            self.reconcile(&id, now, report);
            if let Some(m) = self.machines.get_mut(&id) {
                m.digest = Some(digest);
            }
        }
        if self.machines.get(&id).is_some_and(|m| m.notice) {
            self.drain(&id);
        }
        self.reshelve(&id, now);
        if std::mem::take(&mut self.freed) {
            // What came free is used at once: the launches go out with this very answer.
            self.fill(&id, now);
        }
        Outcome::Orders(self.orders(&id))
    }

    fn reconcile(&mut self, id: &MachineId, now: Micros, report: &Report<'_>) {
        let mut reported: HashSet<(TaskId, u64)> = HashSet::with_capacity(report.tasks.len());
        for t in &report.tasks {
            let Some(task) = TaskId::parse(&t.task) else { continue };
            let key = (task, t.attempt);
            reported.insert(key.clone());
            let phase = match t.state {
                TaskState::Fetching => Phase::Fetching,
                TaskState::Waiting => Phase::Waiting,
                TaskState::Running => Phase::Running,
                TaskState::Saving => Phase::Saving,
                TaskState::Exited => Phase::Ended(t.why.unwrap_or(ExitReason::Other)),
            };
            let Some(machine) = self.machines.get(id) else { return };
            match machine.attempts.get(&key).map(|a| a.phase) {
                None => self.found(id, key, phase, now),
                Some(old) if old != phase => self.moved(id, &key, phase, now),
                Some(_) => {}
            }
        }
        let Some(machine) = self.machines.get(id) else { return };
        let missing: Vec<_> =
            machine.attempts.keys().filter(|k| !reported.contains(*k)).cloned().collect();
        for key in missing {
            let Some(machine) = self.machines.get_mut(id) else { return };
            let Some(a) = machine.attempts.get(&key) else { continue };
            match a.phase {
                Phase::Ended(_) => {
                    machine.attempts.remove(&key);
                }
                // The answer with the launch was lost, and workers drop late answers: ask again.
                Phase::Starting if a.stop.is_none() => {}
                _ => {
                    self.release(id, &key, now);
                    self.gone(&key, id, None, now);
                    if let Some(m) = self.machines.get_mut(id) {
                        m.attempts.remove(&key);
                    }
                }
            }
        }
    }

    /// A worker shows an attempt that this leader did not start.
    fn found(&mut self, id: &MachineId, key: (TaskId, u64), phase: Phase, now: Micros) {
        let (task, attempt) = key.clone();
        let ended = matches!(phase, Phase::Ended(_));
        let mut entry = Attempt {
            phase,
            since: now,
            seen: true,
            stop: None,
            need: Resources::default(),
            team: None,
            holds: !ended,
        };
        if let Some(job) = self.jobs.get_mut(&task.job) {
            entry.need = job.spec.need;
            entry.team = job.team;
            let free = !job.live.contains_key(&task.index) && !job.done.contains(task.index);
            if phase == Phase::Ended(ExitReason::Done) {
                self.complete(&task, now);
            } else if !ended && free && task.index < job.spec.tasks {
                job.live.insert(task.index, (id.clone(), attempt));
                job.pending.remove(task.index);
                if job.cancelled {
                    entry.stop = Some(0);
                } else if job.spec.shape == Shape::Gang {
                    let tasks = job.spec.tasks;
                    let gang = job.gang.get_or_insert_with(|| Gang {
                        attempt,
                        saga: Saga::flat(tasks),
                        running: false,
                        stopping: false,
                    });
                    gang.running |= matches!(phase, Phase::Running | Phase::Saving);
                    if gang.attempt != attempt {
                        entry.stop = Some(0);
                    }
                }
            } else if !ended {
                entry.stop = Some(0);
            }
        } else if !ended {
            // No such pipeline any more: it is over, so this must end.
            entry.stop = Some(0);
        }
        let holds = entry.holds;
        let (need, team) = (entry.need, entry.team);
        if let Some(m) = self.machines.get_mut(id) {
            m.attempts.insert(key, entry);
        }
        if holds {
            self.occupy(id, team, need, now);
        }
    }

    /// An attempt changed its phase.
    fn moved(&mut self, id: &MachineId, key: &(TaskId, u64), phase: Phase, now: Micros) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let Some(a) = machine.attempts.get_mut(key) else { return };
        let old = std::mem::replace(&mut a.phase, phase);
        let ran = if old == Phase::Running { now.saturating_sub(a.since) } else { 0 };
        a.since = now;
        a.seen = true;
        let Some(job) = self.jobs.get_mut(&key.0.job) else {
            if matches!(phase, Phase::Ended(_)) {
                self.release(id, key, now);
            }
            return;
        };
        match phase {
            Phase::Running | Phase::Waiting => {
                machine.images.insert(job.spec.image.clone());
                if let Some(g) = job.gang.as_mut().filter(|g| g.attempt == key.1) {
                    g.running |= phase == Phase::Running;
                }
            }
            Phase::Ended(why) => {
                if why == ExitReason::Done {
                    machine.images.insert(job.spec.image.clone());
                    machine.failures.clear();
                    if ran > 0 && job.spec.estimate > 0 {
                        let ran = ran + job.progress.remove(&key.0.index).unwrap_or(0);
                        let ratio = (ran as f64 / job.spec.estimate as f64).clamp(0.1, 10.0);
                        let pace = self.pace.entry(job.spec.class.clone()).or_insert(1.0);
                        *pace += 0.05 * (ratio - *pace);
                    }
                }
                self.release(id, key, now);
                self.gone(key, id, Some(why), now);
            }
            Phase::Saving => *job.progress.entry(key.0.index).or_default() += ran,
            _ => {}
        }
    }

    /// Gives back what an attempt held.
    fn release(&mut self, id: &MachineId, key: &(TaskId, u64), now: Micros) {
        let Some(m) = self.machines.get_mut(id) else { return };
        let Some(a) = m.attempts.get_mut(key).filter(|a| a.holds) else { return };
        a.holds = false;
        self.freed = true;
        self.stirred = true;
        let (need, team) = (a.need, a.team);
        if !m.holds_any() {
            m.idle_since = now;
        }
        self.occupy(id, team, need.times(-1), now);
    }

    /// A task is done: its saga commits, and with the last one its job's does.
    fn complete(&mut self, task: &TaskId, now: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if job.cancelled || job.spec.shape == Shape::Service || task.index >= job.spec.tasks {
            return;
        }
        let first = job.done.is_empty();
        // The tasks of a gang complete together: one done means every one is.
        let range = match job.spec.shape {
            Shape::Gang => 0..job.spec.tasks,
            _ => task.index..task.index + 1,
        };
        for x in range {
            job.done.insert(x);
            job.pending.remove(x);
            job.backoff.remove(&x);
            job.dirty_parts.insert(x / PART_TASKS);
            if let Some(g) = &mut job.gang {
                g.saga.commit(&x);
            }
        }
        job.dirty_since.get_or_insert(now);
        if job.finished() {
            job.saga.commit(&0);
            debug_assert_eq!(job.saga.state(), State::Committed);
        }
        if first {
            self.cleared(&task.job, now);
        }
    }

    /// An attempt is known to be gone. `why` is `None` when it vanished with its machine.
    fn gone(&mut self, key: &(TaskId, u64), id: &MachineId, why: Option<ExitReason>, now: Micros) {
        let (task, attempt) = key;
        if why == Some(ExitReason::Done) {
            self.complete(task, now);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if job.live.get(&task.index).is_none_or(|p| p.1 != *attempt || p.0 != *id) {
            return;
        }
        job.live.remove(&task.index);
        if job.cancelled || job.done.contains(task.index) {
            return;
        }
        job.pending.insert(task.index);
        match why {
            Some(ExitReason::Error) => self.failed(task, id, now),
            Some(ExitReason::NoRoom | ExitReason::Busy | ExitReason::Unknown) => {
                tracing::info!(task = %task, machine = %id, ?why, "launch refused");
                let wait = if why == Some(ExitReason::Unknown) { 5 * SECOND } else { SECOND };
                let n = job.backoff.get(&task.index).map_or(0, |b| b.1);
                job.backoff.insert(task.index, (now + wait, n));
                if let Some(m) = self.machines.get_mut(id) {
                    m.refused_until = now + 3 * SECOND;
                }
            }
            _ => {}
        }
        self.gang_lost(task, *attempt, why);
    }

    /// A task of a gang is gone without being done.
    fn gang_lost(&mut self, task: &TaskId, attempt: u64, why: Option<ExitReason>) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(gang) = job.gang.as_mut().filter(|g| g.attempt == attempt) else { return };
        // Before the start a replacement with the same attempt number completes the gang.
        let replace = !gang.running
            && !gang.stopping
            && matches!(why, None | Some(ExitReason::NoRoom | ExitReason::Error));
        let mut cancels = Vec::new();
        if !replace && !gang.stopping {
            cancels = gang.saga.abort_element(&task.index);
            gang.stopping = true;
        }
        if job.live.is_empty() {
            job.gang = None;
        }
        let id = task.job.clone();
        for action in cancels {
            let Action::Cancel(i) = action else { continue };
            let live = self.jobs.get(&id).and_then(|j| j.live.get(&i).cloned());
            if let Some((machine, attempt)) = live {
                self.stop(&id, i, &machine, attempt, 0);
            }
        }
    }

    /// Tells one attempt to stop. A shorter grace replaces a longer one.
    fn stop(&mut self, job: &str, index: u32, machine: &str, attempt: u64, grace: Micros) {
        let key = (TaskId { job: job.into(), index }, attempt);
        let Some(m) = self.machines.get_mut(machine) else { return };
        m.digest = None;
        if let Some(a) = m.attempts.get_mut(&key) {
            a.stop = Some(a.stop.map_or(grace, |g| g.min(grace)));
        }
    }

    /// Stops a task so that it saves if it can; a gang is stopped whole, and in order.
    pub fn evict(&mut self, job: &JobId, index: u32) {
        let Some(j) = self.jobs.get_mut(job) else { return };
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
        let live: Vec<_> =
            targets.iter().filter_map(|i| Some((*i, j.live.get(i)?.clone()))).collect();
        for (i, (machine, attempt)) in live {
            self.stop(job, i, &machine, attempt, grace);
        }
    }

    /// Moves off a machine what can save its work.
    pub fn drain(&mut self, id: &MachineId) {
        let Some(m) = self.machines.get(id) else { return };
        let tasks: Vec<TaskId> = m
            .attempts
            .iter()
            .filter(|(_, a)| a.holds && a.stop.is_none())
            .map(|(k, _)| k.0.clone())
            .collect();
        for t in tasks {
            let Some(j) = self.jobs.get(&t.job) else { continue };
            if j.spec.checkpoint_every > 0 || j.spec.shape == Shape::Service {
                self.evict(&t.job, t.index);
            }
        }
    }

    /// Everything that was on the machine is gone.
    pub fn lose(&mut self, id: &MachineId, now: Micros, why: &str) {
        let Some(m) = self.machines.get_mut(id) else { return };
        m.digest = None;
        let keys: Vec<_> = m.attempts.keys().cloned().collect();
        let held = m.attempts.values().filter(|a| a.holds).count();
        if held > 0 {
            tracing::info!(machine = %id, tasks = held, why, "tasks lost");
        }
        for key in keys {
            self.release(id, &key, now);
            let ended = self.machines.get_mut(id).and_then(|m| m.attempts.remove(&key));
            if ended.is_some_and(|a| !matches!(a.phase, Phase::Ended(_))) {
                self.gone(&key, id, None, now);
            }
        }
    }

    /// The cloud has confirmed that the machine is gone, or it can no longer exist.
    pub fn remove_machine(&mut self, id: &MachineId, now: Micros, why: &str) {
        self.lose(id, now, why);
        self.block.remove(id);
        if let Some(m) = self.machines.remove(id)
            && let Some(number) = m.shelf
        {
            self.rooms.leave(number, id, m.open);
        }
    }

    fn orders(&mut self, id: &MachineId) -> Vec<Order> {
        let Some(machine) = self.machines.get(id) else { return Vec::new() };
        let mut starts = Vec::new();
        let mut orders = Vec::new();
        for ((task, attempt), a) in &machine.attempts {
            let (name, attempt) = (|| task.to_string(), *attempt);
            // What belongs to no live pipeline has to end.
            let stop = if self.jobs.contains_key(&task.job) { a.stop } else { Some(0) };
            match (a.phase, stop) {
                (Phase::Ended(why), _) => {
                    // A completion must be in the state service before the worker forgets it.
                    let durable = why != ExitReason::Done
                        || self.jobs.get(&task.job).is_none_or(|j| {
                            j.cancelled
                                || j.flushed.contains(task.index)
                                || j.spec.shape == Shape::Service
                        });
                    if durable {
                        orders.push(Order::Forget { task: name(), attempt });
                    }
                }
                (Phase::Saving, Some(grace)) if grace > 0 => {}
                (_, Some(grace)) if a.seen => {
                    let grace_s = grace as f64 / SECOND as f64;
                    orders.push(Order::Stop { task: name(), attempt, grace_s });
                }
                (Phase::Starting, None) => starts.push(Order::Start { task: name(), attempt }),
                _ => {}
            }
        }
        orders.append(&mut starts);
        orders.truncate(MAX_ORDERS);
        orders
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
        let (Some(j), Some(m)) = (self.jobs.get_mut(job), self.machines.get_mut(machine)) else {
            return;
        };
        j.pending.remove(index);
        j.live.insert(index, (machine.clone(), attempt));
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
        };
        let team = j.team;
        m.digest = None;
        m.attempts.insert((TaskId { job: job.clone(), index }, attempt), entry);
        self.occupy(machine, team, need, now);
    }

    /// A number that no other start of any task has, in this term or another.
    pub fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        (self.term << 24) + self.attempts
    }

    /// Runs out leases of silent machines, and finds out whether placing may begin.
    pub fn tick(&mut self, now: Micros, wall: u64) {
        self.wall = wall;
        self.now = now;
        // What time alone changes is looked for less often in a large cluster, but at once while
        // placing waits for it.
        let every = (SCAN_EVERY * self.machines.len() as Micros).min(SCAN_AT_LEAST);
        if self.settled && now < self.scanned_at + every {
            return;
        }
        self.scanned_at = now;
        let limit = self.lease_limit();
        self.size = Resources::default();
        self.machines.values().filter(|m| m.up).for_each(|m| self.size += m.size);
        let silent: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| now > m.answered_at + limit && (!m.confirmed || !m.attempts.is_empty()))
            .map(|m| m.id.clone())
            .collect();
        for id in silent {
            self.lose(&id, now, "its lease ran out");
            if let Some(m) = self.machines.get_mut(&id) {
                m.lost_session = m.lost_session.max(m.session);
            }
        }
        if !self.settled {
            let waits = |m: &Machine| m.recorded && !m.confirmed && now <= m.answered_at + limit;
            let waiting = self.machines.values().filter(|m| waits(m)).count();
            // Every worker has had the time to find this leader. When only a few are silent they
            // have most likely died, and deleting them is sooner known than their leases' ends. Of
            // a zone that is cut off more are silent, and their work goes on: they are waited for.
            let few = (self.machines.len() / FEW_SILENT).max(1);
            if now > self.taken_at + 2 * self.settings.report + 2 * SECOND && waiting <= few {
                for m in self.machines.values_mut().filter(|m| waits(m) && !m.deleting) {
                    tracing::info!(machine = %m.id, why = "it holds up a takeover", "returning");
                    m.deleting = true;
                }
            }
            if waiting == 0 {
                tracing::info!(machines = self.machines.len(), jobs = self.jobs.len(), "settled");
                self.settled = true;
            }
        }
        self.reshelve_all(now);
        let empty = |j: &&mut Job| j.live.is_empty() && j.gang.is_some();
        self.jobs.values_mut().filter(empty).for_each(|j| j.gang = None);
    }
}
