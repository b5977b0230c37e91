//! The leader's view of jobs and machines, kept true by reports and by the state service.
//!
//! Everything that could be on a machine counts: tasks whose launch may still arrive, tasks that
//! fetch, run, save or wait, and tasks of machines that cannot be reached.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::capacity_index::{CapacityIndex, MachineKind};
use super::fleet::{Fleet, Offer};
use super::kill_orders::KillOrders;
use super::pipeline::Pipelines;
use super::queue::Queue;
use super::records::{Attempt, AttemptPhase, Job, Machine, MachineId};
use super::shard::Shard;
use super::shard_load::{OutgoingTransfer, ShardLoad};
use super::unconfirmed::{LaunchRate, Unconfirmed};
use super::usage::UsageLedger;
use crate::configuration::OverLimit;
use crate::model::{JobId, MachineType, Micros, Priority, Resources, SECOND, Shape, TaskId, Team};
use crate::policy::Setting;
use crate::settings::Settings;
use crate::wire::store::{AssignmentKeys, MachineTransferRecord, assignment_keys};

/// Added to every lease that is waited out.
const LEASE_MARGIN: Micros = 250_000;

/// A duration as a clock that runs 0.1% fast against ours would need it.
fn with_clock_drift(d: Micros) -> Micros {
    d + d / 1000
}

/// What deciding has cost, in steps: looks at machines, jobs and lanes.
#[derive(Debug, Default)]
pub struct SchedulingCost {
    pub passes: u64,
    pub pass_steps: u64,
    pub plans: u64,
    pub plan_steps: u64,
    /// The most that one pass or plan took.
    pub max_steps: u64,
}

#[derive(Debug)]
pub struct Cluster {
    pub term: u64,
    /// With the limits and guarantees that hold in this block.
    pub settings: Arc<Settings>,
    /// Teams as they are in the whole cluster.
    pub cluster_teams: Vec<Team>,
    pub machine_types: Arc<Vec<MachineType>>,
    /// Jobs that wait for no other: only these can be placed.
    pub jobs: BTreeMap<JobId, Job>,
    /// Jobs that wait for others.
    pub pipelines: Pipelines,
    pub machines: BTreeMap<MachineId, Machine>,
    /// The same machines by where there is room.
    pub capacity_index: CapacityIndex,
    pub team_usage: Vec<Resources>,
    /// The size of all machines that are up.
    pub total_capacity: Resources,
    pub shard: Shard,
    /// The keys of this block's holder and last term.
    pub assignment_keys: AssignmentKeys,
    /// Machines that are in another block, or on their way there; only block 0's holder keeps track.
    pub machines_in_other_shards: BTreeMap<String, u32>,
    /// Jobs of other blocks, and their versions; the same.
    pub jobs_in_other_shards: BTreeMap<JobId, u64>,
    /// New machines that are to go to other blocks, and the requests that are to bring them.
    pub outgoing_transfers: BTreeMap<String, OutgoingTransfer>,
    pub provisioning_for_shard: BTreeMap<String, u32>,
    /// What has been given to other blocks lately, and until when it counts as on its way.
    pub(crate) recent_transfers: BTreeMap<u32, Vec<(Micros, MachineTransferRecord)>>,
    /// Machines that are being taken over from their way here.
    pub accepting_transfers: HashSet<String>,
    /// Machines that this block's plan asks for.
    pub machine_demand: BTreeMap<Offer, u32>,
    /// What other blocks' plans ask for, as far as it is not under way.
    pub other_shards_demand: BTreeMap<u32, BTreeMap<Offer, u32>>,
    /// How the other blocks stand, for homes of jobs.
    pub shard_loads: Vec<ShardLoad>,
    pub fleet: Fleet,
    /// Every machine of the block has reported to this term, or its lease has run out: nothing is in doubt.
    pub settled: bool,
    /// What may be on machines for which neither is so yet.
    pub unconfirmed: Unconfirmed,
    /// The jobs' marks of earlier terms say what was launched then.
    pub watermarks_reliable: bool,
    /// The state service holds that whatever is launched is covered by marks; being written: `None`.
    pub watermarks_recorded: Option<bool>,
    /// Launches go out without marks: all siblings know that.
    pub launches_without_watermark: bool,
    /// How fast tasks are launched, which tells how far marks have to be ahead.
    pub launch_rate: LaunchRate,
    pub(crate) took_over_at: Micros,
    pub(crate) attempts_started: u64,
    pub(crate) stale_keys: Vec<String>,
    /// Learned: how long tasks of a class run, as a share of their owners' estimates.
    pub runtime_ratios: HashMap<String, f64>,
    pub unix_time: u64,
    /// Jobs that are over, and the version at which they ended: a watch may still bring older news.
    pub(crate) tombstones: HashMap<JobId, u64>,
    /// Attempts of cancelled jobs that their workers are to be told of at once.
    pub(crate) kill_orders: KillOrders,
    /// Room came free since the last report was answered.
    pub(crate) capacity_freed: bool,
    /// Something changed that a pass over the whole queue should see.
    pub pass_needed: bool,
    /// All jobs in the order in which they are served.
    pub queue: Queue,
    /// Jobs with work to place, in queue order, as of the last pass.
    pub placement_order: Vec<JobId>,
    pub last_pass_at: Micros,
    /// Kinds of machines with room, in first-fit order, as of the last pass.
    pub bucket_tiers: Vec<Vec<usize>>,
    /// How many passes there have been; when the next one may begin, and the next plan.
    pub pass_count: u64,
    pub next_pass_at: Micros,
    pub next_plan_at: Micros,
    /// The last pass did not come to all that ask for room to be made.
    pub gang_requests_deferred: bool,
    /// When room was last gathered for all gangs that wait.
    pub gang_round_at: Micros,
    /// When all machines were last looked over for what time alone changes.
    pub(crate) machines_scanned_at: Micros,
    /// The time of the last step.
    pub now: Micros,
    /// Zones whose machines have all fallen silent while others are heard, and when that was last
    /// seen.
    pub unreachable_zones: HashMap<Arc<str>, Micros>,
    /// Looks at machines, jobs and lanes: what deciding costs.
    pub scheduling_steps: Cell<u64>,
    /// What passes and plans have cost since that was last logged.
    pub scheduling_cost: SchedulingCost,
    /// Transactions in a row that the state service called malformed or too large.
    pub transaction_rejections: u32,
    /// What becomes of tasks above a limit that was lowered.
    pub over_limit: OverLimit,
    /// Nothing is placed or launched: there may be a newer configuration than is known here.
    pub starts_paused: bool,
    /// Usage as it is charged, where a ledger is kept.
    pub usage_ledger: Option<Box<UsageLedger>>,
}

impl Cluster {
    pub fn new(
        term: u64,
        settings: Arc<Settings>,
        machine_types: Arc<Vec<MachineType>>,
        now: Micros,
        unix_time: u64,
    ) -> Cluster {
        let chunk = settings.policy.number(Setting::BlockChunk, &[]) as usize;
        let shard = Shard::new(0, term, &settings.name, settings.value_bytes, chunk);
        let unconfirmed = Unconfirmed::new(settings.teams.len());
        let kill_orders = KillOrders::new(settings.policy.number(Setting::Halts, &[]));
        Cluster {
            term,
            team_usage: vec![Resources::default(); settings.teams.len()],
            total_capacity: Resources::default(),
            fleet: Fleet::new(term, settings.cloud_rps),
            cluster_teams: settings.teams.clone(),
            settings,
            machine_types,
            jobs: BTreeMap::new(),
            pipelines: Pipelines::default(),
            machines: BTreeMap::new(),
            capacity_index: CapacityIndex::default(),
            shard,
            assignment_keys: assignment_keys(0),
            machines_in_other_shards: BTreeMap::new(),
            jobs_in_other_shards: BTreeMap::new(),
            outgoing_transfers: BTreeMap::new(),
            provisioning_for_shard: BTreeMap::new(),
            recent_transfers: BTreeMap::new(),
            accepting_transfers: HashSet::new(),
            machine_demand: BTreeMap::new(),
            other_shards_demand: BTreeMap::new(),
            shard_loads: Vec::new(),
            settled: false,
            unconfirmed,
            watermarks_reliable: false,
            watermarks_recorded: Some(false),
            launches_without_watermark: false,
            launch_rate: LaunchRate::default(),
            took_over_at: now,
            attempts_started: 0,
            stale_keys: Vec::new(),
            runtime_ratios: HashMap::new(),
            unix_time,
            tombstones: HashMap::new(),
            kill_orders,
            capacity_freed: false,
            pass_needed: true,
            queue: Queue::default(),
            placement_order: Vec::new(),
            last_pass_at: 0,
            bucket_tiers: Vec::new(),
            pass_count: 0,
            next_pass_at: 0,
            next_plan_at: 0,
            gang_requests_deferred: false,
            gang_round_at: 0,
            machines_scanned_at: 0,
            now,
            unreachable_zones: HashMap::new(),
            scheduling_steps: Cell::new(0),
            scheduling_cost: SchedulingCost::default(),
            transaction_rejections: 0,
            over_limit: OverLimit::default(),
            starts_paused: false,
            usage_ledger: None,
        }
    }

    /// It is of another block than the leader's.
    pub fn assign_shard(&mut self, block: u32) {
        let chunk = self.settings.policy.number(Setting::BlockChunk, &[]) as usize;
        let (name, bytes) = (&self.settings.name, self.settings.value_bytes);
        self.shard = Shard::new(block, self.term, name, bytes, chunk);
        self.assignment_keys = assignment_keys(block);
    }

    /// What teams may use in this block. Guarantees follow their limits in proportion.
    pub fn apply_team_limits(&mut self, limits: &[Resources]) {
        let mut settings = (*self.settings).clone();
        let teams = settings.teams.iter_mut().zip(&self.cluster_teams);
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
        self.pass_needed = true;
    }

    /// Goes by the marks of earlier terms, or does not.
    pub fn set_watermarks_reliable(&mut self, trusted: bool) {
        self.watermarks_reliable = trusted;
        self.watermarks_recorded = Some(trusted);
    }

    /// The newest version of a live record that is known here.
    pub fn record_version(&self, id: &str) -> Option<u64> {
        self.jobs
            .get(id)
            .map(|j| j.version)
            .or_else(|| self.waiting_job_version(id))
    }

    /// The job was over at this version.
    pub fn has_tombstone(&self, id: &str, stamp: u64) -> bool {
        self.tombstones.get(id).is_some_and(|over| *over >= stamp)
    }

    /// The watch has reached this version: nothing older can come.
    pub fn prune_tombstones(&mut self, stamp: u64) {
        self.tombstones.retain(|_, over| *over > stamp);
    }

    /// Looks for zones that are cut off: machines rented there would not be heard either.
    pub fn detect_unreachable_zones(&mut self, now: Micros) {
        let quiet = 3 * self.settings.report + 2 * SECOND;
        let mut silent: HashMap<Arc<str>, (u32, u32)> = HashMap::new();
        for m in self.machines.values().filter(|m| m.is_up) {
            let (all, mute) = silent.entry(m.zone.clone()).or_default();
            *all += 1;
            *mute += u32::from(now > m.last_heartbeat_at.unwrap_or(m.last_answered_at) + quiet);
        }
        // That one machine or two fall silent at a time is nothing unusual.
        let dark = |(all, mute): (u32, u32)| all > 2 && mute == all;
        if silent.values().all(|s| dark(*s)) {
            return;
        }
        for (zone, _) in silent.into_iter().filter(|s| dark(s.1)) {
            if self.unreachable_zones.insert(zone.clone(), now).is_none() {
                tracing::info!(%zone, "no machine of a zone is heard");
            }
        }
    }

    /// After this long without an answer a worker's lease has run out, whatever its clock.
    pub fn lease_expiry_bound(&self) -> Micros {
        with_clock_drift(self.settings.lease) + LEASE_MARGIN
    }

    /// The machine of that name; one not known yet is adopted.
    pub fn machine_or_adopt(
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
        let (flavors, rooms) = (&self.machine_types, &mut self.capacity_index);
        self.machines.entry(id).or_insert_with_key(|id| {
            let flavor = flavors.iter().position(|f| *f.name == *flavor);
            Machine {
                capacity_bucket: flavor.map(|flavor| {
                    rooms.insert(
                        MachineKind {
                            machine_type: flavor,
                            zone: zone.into(),
                            spot,
                        },
                        id.clone(),
                    )
                }),
                indexed_free_cpu: None,
                id: id.clone(),
                machine_type: flavor,
                capacity: flavor.map(|i| flavors[i].size).unwrap_or_default(),
                zone: zone.into(),
                spot,
                recorded: false,
                confirmed: false,
                incarnation: 0,
                sequence: 0,
                lost_incarnation: 0,
                last_heartbeat_at: None,
                previous_heartbeat_at: None,
                missed_heartbeats: false,
                last_answered_at: now,
                address: None,
                attempts: BTreeMap::new(),
                used: Resources::default(),
                idle_since: now,
                known_since: now,
                provisioned_at: now,
                is_up: false,
                boot_overdue: false,
                in_listing: false,
                missed_listings: 0,
                preemption_notice: false,
                deleting: false,
                draining: false,
                quarantined: flavor.is_none(),
                failures_by_job: HashMap::new(),
                cached_images: HashSet::new(),
                reservation: None,
                planned_work_until: 0,
                unschedulable_until: 0,
                unanswered_incarnations: 0,
                high_priority_placed_at: None,
                heartbeat_digest: None,
            }
        })
    }

    /// Changes that a transaction may have. What the state service has called too large is asked
    /// for in smaller ones; the end of a job takes two.
    pub fn max_transaction_changes(&self) -> usize {
        (self.settings.txn_ops >> self.transaction_rejections.min(8)).max(2)
    }

    /// Tells one attempt to stop. A shorter grace replaces a longer one.
    pub(crate) fn stop_attempt(
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
        m.heartbeat_digest = None;
        if let Some(a) = m.attempts.get_mut(&key) {
            a.stop_grace = Some(a.stop_grace.map_or(grace, |g| g.min(grace)));
        }
    }

    /// Stops a task so that it saves if it can; a gang is stopped whole, and in order.
    pub fn preempt(&mut self, job: &JobId, index: u32) {
        let Some(j) = self.jobs.get_mut(job) else {
            return;
        };
        let saves = j.spec.checkpoint_every > 0;
        let grace = if saves { j.spec.save + 2 * SECOND } else { 0 };
        let targets: Vec<u32> = match &mut j.gang_attempt {
            Some(g) if g.stopping => return,
            Some(g) => {
                g.stopping = true;
                j.live_attempts.keys().copied().collect()
            }
            None => vec![index],
        };
        let live: Vec<_> = targets
            .iter()
            .filter_map(|i| Some((*i, j.live_attempts.get(i)?.clone())))
            .collect();
        for (i, (machine, attempt)) in live {
            self.stop_attempt(job, i, &machine, attempt, grace);
        }
    }

    /// Moves off a machine what can save its work.
    pub fn drain_machine(&mut self, id: &MachineId) {
        let Some(m) = self.machines.get(id) else {
            return;
        };
        let tasks: Vec<TaskId> = m
            .attempts
            .iter()
            .filter(|(_, a)| a.holds_capacity && a.stop_grace.is_none())
            .map(|(k, _)| k.0.clone())
            .collect();
        for t in tasks {
            let Some(j) = self.jobs.get(&t.job) else {
                continue;
            };
            if j.spec.checkpoint_every > 0 || j.spec.shape == Shape::Service {
                self.preempt(&t.job, t.index);
            }
        }
    }

    /// Puts a task on a machine; the launch goes out with the answer to its next report.
    pub fn place_task(
        &mut self,
        job: &JobId,
        index: u32,
        machine: &MachineId,
        attempt: u64,
        now: Micros,
    ) {
        let tab = self.open_usage_record(job, index, machine, attempt, now);
        let (Some(j), Some(m)) = (self.jobs.get_mut(job), self.machines.get_mut(machine)) else {
            return;
        };
        j.pending.remove(index);
        j.live_attempts.insert(index, (machine.clone(), attempt));
        j.request_watermark(index + 1);
        self.launch_rate.record_placed();
        let need = j.spec.need;
        if j.effective_priority() >= Priority::High {
            m.high_priority_placed_at = Some(now);
        }
        if let Some(kept) = m.reservation.as_mut().filter(|k| k.job == *job) {
            kept.tasks -= 1;
            if kept.tasks <= 0 {
                m.reservation = None;
            }
        }
        let entry = Attempt {
            phase: AttemptPhase::Starting,
            phase_since: now,
            reported: false,
            stop_grace: None,
            resources: need,
            team: j.team,
            holds_capacity: true,
            usage_record: tab,
        };
        let team = j.team;
        m.heartbeat_digest = None;
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
        self.adjust_usage(machine, team, need, now);
    }

    /// Whether the launch of a task may go out: its mark covers it, or no successor relies on marks.
    pub fn may_launch(&self, job: &Job, index: u32) -> bool {
        !self.starts_paused && (index < job.durable_watermark || self.launches_without_watermark)
    }

    /// A number that no other start of the same task has, in this term or another.
    pub fn next_attempt_number(&mut self) -> u64 {
        if let Some(number) = self.timestamped_attempt_number() {
            return number;
        }
        self.attempts_started += 1;
        (self.term << 24) + self.attempts_started
    }

    /// The stamp of a waiting job's record.
    pub fn waiting_job_version(&self, id: &str) -> Option<u64> {
        self.pipelines.waiting.get(id).map(|w| w.version)
    }
}

impl Cluster {
    /// Brings a machine's place in the index up to date.
    pub fn reindex_machine(&mut self, id: &MachineId, now: Micros) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let Some(number) = m.capacity_bucket else {
            return;
        };
        let free = m.free();
        let open =
            (m.is_schedulable(now, self.settings.report) && free.cpu >= 0).then_some(free.cpu);
        if open != m.indexed_free_cpu {
            let old = std::mem::replace(&mut m.indexed_free_cpu, open);
            self.capacity_index.update(number, id, old, open);
        }
    }

    /// An attempt takes its place on a machine and in its team's quota, or gives it back.
    pub fn adjust_usage(
        &mut self,
        id: &MachineId,
        team: Option<usize>,
        need: Resources,
        now: Micros,
    ) {
        if let Some(m) = self.machines.get_mut(id) {
            m.used += need;
        }
        if let Some(t) = team {
            self.team_usage[t] += need;
        }
        self.reindex_machine(id, now);
    }

    /// Machines whose state has changed with time alone, as when they fall silent, find their place.
    pub fn reindex_changed_machines(&mut self, now: Micros) {
        let report = self.settings.report;
        let moved = |m: &&Machine| {
            m.capacity_bucket.is_some()
                && m.indexed_free_cpu.is_some()
                    != (m.is_schedulable(now, report) && m.free().cpu >= 0)
        };
        let moved: Vec<MachineId> = self
            .machines
            .values()
            .filter(moved)
            .map(|m| m.id.clone())
            .collect();
        moved.iter().for_each(|id| self.reindex_machine(id, now));
    }

    /// What differs between the index and the machines themselves: nothing, ever. For tests.
    pub fn index_inconsistencies(&self) -> Vec<String> {
        let mut wrong = Vec::new();
        for m in self.machines.values() {
            let Some(shelf) = m.capacity_bucket.map(|n| &self.capacity_index.buckets[n]) else {
                continue;
            };
            let here = shelf.schedulable.iter().filter(|(_, id)| *id == m.id);
            let cpus: Vec<i64> = here.map(|(cpu, _)| *cpu).collect();
            if !shelf.machines.contains(&m.id) || cpus != Vec::from_iter(m.indexed_free_cpu) {
                wrong.push(format!("{}: {cpus:?} for {:?}", m.id, m.indexed_free_cpu));
            }
            if m.indexed_free_cpu.is_some_and(|cpu| cpu != m.free().cpu) {
                wrong.push(format!(
                    "{}: {:?} with {:?} free",
                    m.id,
                    m.indexed_free_cpu,
                    m.free()
                ));
            }
        }
        let known: usize = self
            .capacity_index
            .buckets
            .iter()
            .map(|s| s.machines.len())
            .sum();
        let shelved = self
            .machines
            .values()
            .filter(|m| m.capacity_bucket.is_some())
            .count();
        if known != shelved {
            wrong.push(format!("{known} in the index, {shelved} machines"));
        }
        wrong
    }
}
