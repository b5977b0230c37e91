//! The leader's view of jobs and machines, kept true by heartbeats and by the state service.
//!
//! Everything that could be on a machine counts as there: tasks whose launch may still arrive, tasks that fetch,
//! run, save or wait, and tasks of machines that cannot be reached.

mod attempts;
mod capacity;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::capacity_index::CapacityIndex;
use super::fleet::{Fleet, Offer};
use super::job::Job;
use super::kill_orders::KillOrders;
use super::machine::{Machine, NewMachine};
use super::pass_state::PassState;
use super::pipeline::Pipelines;
use super::queue::Queue;
use super::quota::{QuotaState, partition_teams};
use super::shard::Shard;
use super::shard_transfers::{OtherShards, ShardTransfers};
use super::unconfirmed::Takeover;
use super::usage::ledger::UsageLedger;
use super::watermarks::LaunchWatermarks;
use super::writes::StoreWrites;
use super::zones::ZoneReachability;
use crate::model::{JobId, MachineId, MachineType, Micros, Resources};
use crate::policy::Setting;
use crate::settings::Settings;
use crate::wire::store::assignment_keys;

/// Added to every lease that is waited out.
const LEASE_MARGIN: Micros = 250_000;
/// Clocks may differ in speed by one part in so many.
const MAX_CLOCK_DRIFT: Micros = 1000;
/// The end of a job takes this many changes, and must always fit into a transaction.
const MIN_TRANSACTION_CHANGES: usize = 2;

/// All that the owner of a shard knows of it.
///
/// Much of it is owned by the types of its fields, each of which says who changes it. What still spans several of
/// them, and has to be changed together:
///
/// - the attempts on machines, what machines and teams use, and the capacity index. [`Cluster::adjust_usage`] changes
///   the latter three for every attempt that takes or gives back capacity; only `reconcile::configuration` adds to
///   [`QuotaState::team_usage`] beside it, when a team becomes known;
/// - the live attempts of a job and those on its machines, which name each other. [`Cluster::place_task`] adds to
///   both, `reconcile::attempts` adopts and removes;
/// - `passes.needed`, which whoever changes what a pass decides by has to set.
///
/// The folders above this one add methods of their own. `scheduling` decides: it changes the queue, the passes, the
/// fleet's calls, and what [`JobScheduling`](super::job::JobScheduling) and
/// [`PlacementState`](super::machine::PlacementState) keep. `reconcile` takes in heartbeats, stored records and
/// answers of the cloud, and with them changes jobs, machines and pipelines. `controller` calls methods, and sets
/// only `starts_paused`, `watermarks.not_required` and what other shards tell.
#[derive(Debug)]
pub struct Cluster {
    /// The term under which this controller owns the shard: the fencing token of all that it sends.
    pub term: u64,
    /// The settings, with the limits and guarantees that hold in this shard.
    pub settings: Arc<Settings>,
    pub machine_types: Arc<Vec<MachineType>>,
    /// The shard's durable record of its machines.
    pub shard: Shard,

    /// The time of the last step, on this process's clock.
    pub now: Micros,
    /// The time of day, in microseconds since 1970.
    pub unix_time: u64,

    /// Jobs that wait for no other: only these can be placed.
    pub jobs: BTreeMap<JobId, Job>,
    /// Jobs that wait for others.
    pub pipelines: Pipelines,
    /// All machines of the shard that are known, also those that are not up yet or cannot be reached.
    pub machines: BTreeMap<MachineId, Machine>,
    /// The same machines by their free capacity.
    pub capacity_index: CapacityIndex,
    /// The capacity of all machines that are up.
    pub total_capacity: Resources,
    /// When all machines were last looked through for what time alone changes, as leases that run out.
    pub(crate) machines_scanned_at: Micros,
    /// Attempts that this term has started, which numbers them where no usage ledger is kept.
    pub(crate) attempts_started: u64,
    /// Nothing is placed or launched, as there may be a newer configuration than is known here.
    pub starts_paused: bool,

    /// All jobs in the order in which they are served.
    pub queue: Queue,
    /// What scheduling passes leave for the next ones.
    pub passes: PassState,
    /// What teams may use and do use.
    pub quota: QuotaState,
    /// How long tasks of a class run, as a ratio to their users' estimates: a moving average.
    pub runtime_ratios: HashMap<String, f64>,
    /// How far the takeover from an earlier term has come.
    pub takeover: Takeover,
    /// How far the jobs' launch watermarks can be relied on.
    pub watermarks: LaunchWatermarks,

    /// Calls to the cloud.
    pub fleet: Fleet,
    /// Machines that this shard's provisioning plan asks for.
    pub machine_demand: BTreeMap<Offer, u32>,
    /// Zones that cannot be reached.
    pub zones: ZoneReachability,
    /// Machines on their way between shards.
    pub transfers: ShardTransfers,
    /// What is known of the other shards.
    pub other_shards: OtherShards,

    /// Attempts of cancelled jobs that their workers are to be told of at once.
    pub(crate) kill_orders: KillOrders,
    /// What has to be remembered about writes to the state service.
    pub store_writes: StoreWrites,
    /// Usage that is metered and charged. `None`: no usage ledger is kept.
    pub usage_ledger: Option<Box<UsageLedger>>,
}

impl Cluster {
    /// The view of shard 0 before anything has been read; see [`Cluster::assign_shard`] for the others.
    pub fn new(
        term: u64,
        settings: Arc<Settings>,
        machine_types: Arc<Vec<MachineType>>,
        now: Micros,
        unix_time: u64,
    ) -> Cluster {
        let chunk_size = settings.policy.number(Setting::BlockChunk, &[]) as usize;
        let kill_order_rate = settings.policy.number(Setting::Halts, &[]);
        Cluster {
            term,
            shard: Shard::new(0, term, &settings.name, settings.value_bytes, chunk_size),
            now,
            unix_time,
            jobs: BTreeMap::new(),
            pipelines: Pipelines::default(),
            machines: BTreeMap::new(),
            capacity_index: CapacityIndex::default(),
            total_capacity: Resources::default(),
            machines_scanned_at: 0,
            attempts_started: 0,
            starts_paused: false,
            queue: Queue::default(),
            passes: PassState::default(),
            quota: QuotaState::new(settings.teams.clone()),
            runtime_ratios: HashMap::new(),
            takeover: Takeover::new(now, settings.teams.len()),
            watermarks: LaunchWatermarks::default(),
            fleet: Fleet::new(term, settings.cloud_rps),
            machine_demand: BTreeMap::new(),
            zones: ZoneReachability::default(),
            transfers: ShardTransfers::default(),
            other_shards: OtherShards::default(),
            kill_orders: KillOrders::new(kill_order_rate),
            store_writes: StoreWrites::new(assignment_keys(0)),
            usage_ledger: None,
            settings,
            machine_types,
        }
    }

    /// Makes this the view of another shard than shard 0. It has to come before anything is read.
    pub fn assign_shard(&mut self, shard: u32) {
        let chunk_size = self.settings.policy.number(Setting::BlockChunk, &[]) as usize;
        let Settings {
            name, value_bytes, ..
        } = &*self.settings;
        self.shard = Shard::new(shard, self.term, name, *value_bytes, chunk_size);
        self.store_writes.assignment_keys = assignment_keys(shard);
    }

    /// Sets what teams may use in this shard. Guarantees follow their limits in proportion.
    pub fn apply_team_limits(&mut self, limits: &[Resources]) {
        let mut settings = (*self.settings).clone();
        partition_teams(&self.quota.cluster_teams, &mut settings.teams, limits);
        self.settings = Arc::new(settings);
        self.passes.needed = true;
    }

    /// The newest version of a live record that is known here.
    pub fn record_version(&self, id: &str) -> Option<u64> {
        match self.jobs.get(id) {
            Some(job) => Some(job.persistence.version),
            None => self.waiting_job_version(id),
        }
    }

    /// The version of a waiting job's record.
    pub fn waiting_job_version(&self, id: &str) -> Option<u64> {
        let waiting = self.pipelines.waiting.get(id);
        waiting.map(|job| job.version)
    }

    /// Looks for zones that have become unreachable.
    pub fn detect_unreachable_zones(&mut self, now: Micros) {
        let heartbeat_interval = self.settings.heartbeat_interval;
        let machines = self.machines.values();
        self.zones.detect(machines, heartbeat_interval, now);
    }

    /// After this long without an answer a worker's lease has run out, whatever its clock.
    pub fn lease_expiry_bound(&self) -> Micros {
        let lease = self.settings.lease_duration;
        lease + lease / MAX_CLOCK_DRIFT + LEASE_MARGIN
    }

    /// The machine of that name; one that is not known yet is adopted.
    pub fn machine_or_adopt(
        &mut self,
        name: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        now: Micros,
    ) -> &mut Machine {
        let id = self
            .machines
            .get(name)
            .map_or_else(|| name.into(), |machine| machine.id.clone());
        let (machine_types, capacity_index) = (&self.machine_types, &mut self.capacity_index);
        let new_machine = NewMachine {
            machine_type,
            zone,
            spot,
        };
        self.machines.entry(id).or_insert_with_key(|id| {
            Machine::new(id.clone(), machine_types, new_machine, capacity_index, now)
        })
    }

    /// How many changes a transaction may have. What the state service has rejected as too large is tried again in
    /// smaller transactions.
    pub fn max_transaction_changes(&self) -> usize {
        let halvings = self.store_writes.transaction_rejections.min(8);
        (self.settings.txn_ops >> halvings).max(MIN_TRANSACTION_CHANGES)
    }
}
