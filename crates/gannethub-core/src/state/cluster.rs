//! The leader's view of jobs and machines, kept current by heartbeats and by the state service.
//!
//! Every task that could be on a machine counts as being on it: tasks whose launch may still arrive, tasks that
//! fetch, run, save or wait, and tasks on unreachable machines.

mod attempts;
mod capacity;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::announced_changes::AnnouncedChanges;
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

/// Margin added to every wait for a lease to expire.
const LEASE_MARGIN: Micros = 250_000;
/// Inverse of the maximum relative clock drift: clocks may differ in speed by one part in this many.
const MAX_CLOCK_DRIFT: Micros = 1000;
/// Number of changes that the end of a job takes; they must always fit into one transaction.
const MIN_TRANSACTION_CHANGES: usize = 2;

/// The complete view that a shard owner has of its shard.
///
/// Most of the state is owned by the types of the fields, each of which documents the code that changes it. The
/// following state spans several fields, which have to change together:
///
/// - the attempts on machines, the usage of machines and teams, and the capacity index. [`Cluster::adjust_usage`]
///   changes both usages and the index for every attempt that takes or gives back capacity. The only other change is
///   that `reconcile::configuration` adds to [`QuotaState::team_usage`] when a team becomes known;
/// - the live attempts of a job and the attempts on its machines, which refer to each other. [`Cluster::place_task`]
///   adds to both, and `reconcile::attempts` adopts and removes attempts;
/// - `passes.needed`, which has to be set by any code that changes an input of a scheduling pass.
///
/// The modules above this one add methods of their own. `scheduling` makes decisions: it changes the queue, the
/// passes, the calls of the fleet, and the contents of [`JobScheduling`](super::job::JobScheduling) and
/// [`PlacementState`](super::machine::PlacementState). `reconcile` applies heartbeats, stored records and
/// responses of the cloud, and so changes jobs, machines and pipelines. `controller` calls methods, and sets only the
/// time of day, `starts_paused`, `passes.needed`, `watermarks.not_required`, `store_writes.transaction_rejections` and
/// the state of other shards.
#[derive(Debug)]
pub struct Cluster {
    /// The term under which this controller owns the shard: the fencing token of all messages that it sends.
    pub term: u64,
    /// The settings, with the limits and guarantees that apply in this shard.
    pub settings: Arc<Settings>,
    pub machine_types: Arc<Vec<MachineType>>,
    /// The shard's durable record of its machines.
    pub shard: Shard,

    /// Time of the last step, on this process's clock.
    pub now: Micros,
    /// Time of day, in microseconds since 1970.
    pub unix_time: u64,

    /// Jobs that wait for no other job. Only these jobs can be placed.
    pub jobs: BTreeMap<JobId, Job>,
    /// Changes of jobs that were announced to this owner and that it has not read yet.
    pub announced_changes: AnnouncedChanges,
    /// Jobs that wait for other jobs.
    pub pipelines: Pipelines,
    /// All known machines of the shard, including machines that are still booting or unreachable.
    pub machines: BTreeMap<MachineId, Machine>,
    /// The same machines, indexed by their free capacity.
    pub capacity_index: CapacityIndex,
    /// The capacity of all machines that have booted.
    pub total_capacity: Resources,
    /// Time of the last scan of all machines for changes that depend on time alone, such as expired leases.
    pub(crate) machines_scanned_at: Micros,
    /// Number of attempts started in this term. The count numbers the attempts if no usage ledger is kept.
    pub(crate) attempts_started: u64,
    /// Whether placements and launches are paused because a newer configuration than the known one may exist.
    pub starts_paused: bool,

    /// All jobs in scheduling order.
    pub queue: Queue,
    /// State that scheduling passes leave for later passes.
    pub passes: PassState,
    /// Quota and usage of the teams.
    pub quota: QuotaState,
    /// Moving average of the ratio of run time to the user's estimate, by job class.
    pub runtime_ratios: HashMap<String, f64>,
    /// Progress of the takeover from an earlier term.
    pub takeover: Takeover,
    /// Reliability of the jobs' launch watermarks.
    pub watermarks: LaunchWatermarks,

    /// State of the calls to the cloud.
    pub fleet: Fleet,
    /// Machines that this shard's provisioning plan requests.
    pub machine_demand: BTreeMap<Offer, u32>,
    /// Unreachable zones.
    pub zones: ZoneReachability,
    /// Machines in transfer between shards.
    pub transfers: ShardTransfers,
    /// Known state of the other shards.
    pub other_shards: OtherShards,

    /// Attempts of cancelled jobs whose workers have to be notified at once.
    pub(crate) kill_orders: KillOrders,
    /// State of the writes to the state service.
    pub store_writes: StoreWrites,
    /// Metered and charged usage. `None`: no usage ledger is kept.
    pub usage_ledger: Option<Box<UsageLedger>>,
}

impl Cluster {
    /// Returns the view of shard 0 before any record has been read. [`Cluster::assign_shard`] selects another shard.
    pub fn new(
        term: u64,
        settings: Arc<Settings>,
        machine_types: Arc<Vec<MachineType>>,
        now: Micros,
        unix_time: u64,
    ) -> Cluster {
        let chunk_size = settings.policy.number(Setting::ShardChunkSize, &[]) as usize;
        let kill_order_rate = settings.policy.number(Setting::KillOrderRate, &[]);
        Cluster {
            term,
            shard: Shard::new(
                0,
                term,
                &settings.name,
                settings.max_value_bytes,
                chunk_size,
            ),
            now,
            unix_time,
            jobs: BTreeMap::new(),
            announced_changes: AnnouncedChanges::default(),
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

    /// Assigns another shard than shard 0. Must be called before any record is read.
    pub fn assign_shard(&mut self, shard: u32) {
        let chunk_size = self.settings.policy.number(Setting::ShardChunkSize, &[]) as usize;
        let Settings {
            name,
            max_value_bytes,
            ..
        } = &*self.settings;
        self.shard = Shard::new(shard, self.term, name, *max_value_bytes, chunk_size);
        self.store_writes.assignment_keys = assignment_keys(shard);
    }

    /// Sets the team limits of this shard. Guarantees scale in proportion to the limits.
    pub fn apply_team_limits(&mut self, limits: &[Resources]) {
        let mut settings = (*self.settings).clone();
        partition_teams(&self.quota.cluster_teams, &mut settings.teams, limits);
        self.settings = Arc::new(settings);
        self.passes.needed = true;
    }

    /// Returns the newest known version of a live job's record.
    pub fn record_version(&self, id: &str) -> Option<u64> {
        match self.jobs.get(id) {
            Some(job) => Some(job.persistence.version),
            None => self.waiting_job_version(id),
        }
    }

    pub fn waiting_job_version(&self, id: &str) -> Option<u64> {
        let waiting = self.pipelines.waiting.get(id);
        waiting.map(|job| job.version)
    }

    pub fn detect_unreachable_zones(&mut self, now: Micros) {
        let heartbeat_interval = self.settings.heartbeat_interval;
        let machines = self.machines.values();
        self.zones.detect(machines, heartbeat_interval, now);
    }

    /// Returns the time without a response after which a worker's lease has expired, even if the worker's clock runs
    /// slow by the maximum drift.
    pub fn lease_expiry_bound(&self) -> Micros {
        let lease = self.settings.lease_duration;
        lease + lease / MAX_CLOCK_DRIFT + LEASE_MARGIN
    }

    /// Returns the machine with this name, adopting an unknown machine first.
    pub fn get_or_adopt_machine(
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

    /// Returns the maximum number of changes in a transaction. Each consecutive rejection by the state service halves
    /// the maximum, down to a lower bound.
    pub fn max_transaction_changes(&self) -> usize {
        let halvings = self.store_writes.transaction_rejections.min(8);
        (self.settings.max_transaction_operations >> halvings).max(MIN_TRANSACTION_CHANGES)
    }
}
