//! Scheduling passes: the jobs of the queue are placed in order, each as far as there is capacity.
//!
//! The cost of a pass is counted in scheduling steps: about one step for each job or machine examined. The next pass
//! begins no sooner than the steps of the last pass allow. Scheduling therefore takes the same part of the processor
//! for any size of the cluster and any length of the queue, and does not delay heartbeats, lease renewals and users'
//! requests.

use crate::configuration::OverLimit;
use crate::model::{JobId, JobSpec, MachineId, Micros, SECOND, Shape, seconds_from_micros};
use crate::scheduling::gang::GangPass;
use crate::scheduling::placement::UnplaceableJobs;
use crate::state::capacity_index::CapacityBucket;
use crate::state::cluster::Cluster;
use crate::state::job::Job;
use crate::state::machine::Machine;

/// Capacity up to this many times as expensive as the cheapest capacity of its price rank counts as equally expensive.
const SIMILAR_PRICE: f64 = 1.5;

/// Minimum interval, in microseconds for each machine, between passes over the whole queue that are started by
/// heartbeats which free capacity. The interval grows with the cluster so that the work of passes does not.
const PASS_INTERVAL_PER_MACHINE: Micros = 250;

/// Maximum number of jobs to which capacity freed by a heartbeat is offered. Capacity that none of them can use is
/// left to the next pass.
const MAX_JOBS_OFFERED: usize = 100;

/// Results that a pass keeps so that it need not compute them again.
#[derive(Debug, Default)]
struct SchedulingPass {
    unplaceable: UnplaceableJobs,
    gangs: GangPass,
}

/// A bucket of the capacity index with its sort key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RankedBucket {
    price_rank: usize,
    machine_cpu: i64,
    index: usize,
}

impl Cluster {
    /// Places the tasks for which there is capacity now, and preempts for tasks that must not wait. After a failover
    /// the pass places tasks on confirmed machines only and preempts nothing until all machines are confirmed, since
    /// there may be enough capacity then.
    pub fn run_scheduling_pass(&mut self, now: Micros) {
        let steps_before = self.passes.steps.get();
        if self.quota.over_limit == OverLimit::Stop {
            // Each pass enforces the limits, since a new leader learns of running attempts only as machines report
            // them.
            self.enforce_limits(now);
        }
        self.propagate_downstream_demand(now);
        self.update_queue_order(now);
        self.rank_buckets();
        let queue = self.begin_pass(now);
        let mut pass = SchedulingPass {
            gangs: self.begin_gang_pass(now),
            ..SchedulingPass::default()
        };
        for id in queue {
            self.schedule_job(&id, &mut pass, now);
        }
        self.raise_watermarks_ahead(now);
        let steps = self.passes.steps.get() - steps_before;
        self.passes.next_at = now + self.pacing_delay(steps);
        let cost = &mut self.passes.cost;
        cost.passes += 1;
        cost.pass_steps += steps;
        cost.max_steps = cost.max_steps.max(steps);
    }

    /// Records for each job whether it is within its team's guarantee, and returns the queue in order.
    fn begin_pass(&mut self, now: Micros) -> Vec<JobId> {
        let mut queue = Vec::new();
        for (id, within_guarantee) in self.queue.jobs() {
            if let Some(job) = self.jobs.get_mut(id) {
                job.scheduling.within_guarantee = within_guarantee;
            }
            queue.push(id.clone());
        }
        let passes = &mut self.passes;
        passes.add_steps(queue.len() as u64);
        passes.needed = false;
        passes.last_at = now;
        passes.count += 1;
        passes.placement_order.clear();
        queue
    }

    /// Places as many of a job's pending tasks as possible.
    fn schedule_job(&mut self, id: &JobId, pass: &mut SchedulingPass, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.tasks.pending.is_empty() {
            return;
        }
        job.scheduling.last_queued_pass = self.passes.count;
        self.passes.placement_order.push(id.clone());
        let Some(job) = self.jobs.get(id) else { return };
        if self.tasks_within_quota(job) <= 0 {
            return;
        }
        match job.spec.shape {
            Shape::Gang => self.place_gang(id, &mut pass.unplaceable, &mut pass.gangs, now),
            Shape::Array | Shape::Service => {
                let crash_looping = job.is_crash_looping();
                let unplaced = self.place_tasks(id, &mut pass.unplaceable, None, now);
                if unplaced > 0 && !crash_looping {
                    self.preempt_for(id, unplaced, &mut pass.gangs.preemption, now);
                    self.reserve_for_stage(id, unplaced, now);
                }
            }
        }
        self.log_if_fully_placed(id);
    }

    /// Logs a job once, when all of its tasks, or all tasks that its team's limit allows, are placed.
    fn log_if_fully_placed(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let is_limited = self.takeover.is_settled && self.tasks_within_quota(job) <= 0;
        if job.scheduling.fully_placed || !(job.tasks.pending.is_empty() || is_limited) {
            return;
        }
        let seconds = |time: Micros| seconds_from_micros(time) as u32;
        let within = job.scheduling.within_guarantee;
        // Time for which the job could still have waited, for its own objectives and for those of its downstream
        // jobs.
        let latest_start = self.latest_start(job, within);
        let slack_s = latest_start.map(|start| seconds(start.saturating_sub(self.unix_time)));
        let waited_s = seconds(self.unix_time.saturating_sub(job.ready_at));
        let (class, team, tasks) = (&job.spec.class, &job.spec.team, job.spec.tasks);
        tracing::info!(job = %id, %class, %team, tasks, within, waited_s, slack_s, "placed");
        if let Some(job) = self.jobs.get_mut(id) {
            job.scheduling.fully_placed = true;
        }
    }

    /// Returns the minimum delay before the next pass after a pass of `steps` steps, or before the next plan after a
    /// plan of as many. Policy and the process's share of a processor set the number of steps that scheduling may take
    /// in a second.
    pub fn pacing_delay(&self, steps: u64) -> Micros {
        (steps as f64 * SECOND as f64 / self.settings.max_scheduling_steps_per_s()) as Micros
    }

    /// Sorts the buckets of the capacity index into tiers, in first-fit order. The cheapest capacity comes first, so
    /// that expensive machines empty. Among capacity of similar price small machines come first, since large tasks
    /// need large machines whole. Buckets of equal rank share a tier.
    fn rank_buckets(&mut self) {
        let buckets = self.capacity_index.buckets.iter().enumerate();
        let mut priced: Vec<(f64, RankedBucket)> = buckets
            .filter(|(_, bucket)| bucket.has_schedulable())
            .map(|(index, bucket)| {
                let kind = &bucket.kind;
                let ranked = RankedBucket {
                    price_rank: 0,
                    machine_cpu: self.machine_types[kind.machine_type].capacity.cpu,
                    index,
                };
                (
                    self.price_per_millicpu(kind.machine_type, kind.spot),
                    ranked,
                )
            })
            .collect();
        priced.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut price_rank = 0;
        let mut cheapest_of_rank = priced.first().map_or(0.0, |(price, _)| *price);
        let mut ranked: Vec<RankedBucket> = Vec::with_capacity(priced.len());
        for (price, bucket) in priced {
            if price > cheapest_of_rank * SIMILAR_PRICE {
                price_rank += 1;
                cheapest_of_rank = price;
            }
            ranked.push(RankedBucket {
                price_rank,
                ..bucket
            });
        }
        ranked.sort();
        let tier_of = |bucket: &RankedBucket| (bucket.price_rank, bucket.machine_cpu);
        self.passes.bucket_tiers = ranked
            .chunk_by(|a, b| tier_of(a) == tier_of(b))
            .map(|tier| tier.iter().map(|bucket| bucket.index).collect())
            .collect();
    }

    /// Uses the capacity that became free on one machine: with a whole pass, or in the order of the last pass if that
    /// pass was too recent. A gang that may use the capacity also needs capacity elsewhere, and is left to the next
    /// pass.
    pub fn use_freed_capacity(&mut self, id: &MachineId, now: Micros) {
        let next_full_pass_at =
            self.passes.last_at + PASS_INTERVAL_PER_MACHINE * self.machines.len() as Micros;
        if now >= next_full_pass_at.max(self.passes.next_at) {
            return self.run_scheduling_pass(now);
        }
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let Some(machine_type) = machine.machine_type else {
            return;
        };
        if !machine.is_schedulable(now, self.settings.heartbeat_interval) {
            return;
        }
        let first = self
            .jobs_that_fit(machine)
            .find(|job| self.tasks_within_quota(job) > 0);
        let Some(first) = first else { return };
        if let Some(reservation) = machine.active_reservation(now) {
            let job = reservation.job.clone();
            return self.use_reserved_capacity(id, &job, now);
        }
        // If there is cheaper capacity elsewhere, or capacity on smaller machines, the next pass decides: such capacity
        // is used first, so that expensive and large machines empty.
        if self.has_preferred_capacity(machine_type, machine.spot, &first.spec, now) {
            return;
        }
        if self.jobs_that_fit(machine).any(is_waiting_gang) {
            return;
        }
        self.offer_machine(id, now);
    }

    /// Returns those of the first jobs in the order of the last pass that have tasks to place and whose tasks fit a
    /// machine.
    fn jobs_that_fit(&self, machine: &Machine) -> impl Iterator<Item = &Job> {
        let free = machine.free();
        let offered = self.passes.placement_order.iter().take(MAX_JOBS_OFFERED);
        offered
            .filter_map(|id| self.jobs.get(id))
            .filter(move |job| {
                job.placeable_count() > 0
                    && !job.cancelled
                    && job.spec.resources.fits(&free)
                    && self.is_eligible_machine(machine, &job.spec)
            })
    }

    /// Uses the capacity that became free on a machine that is reserved for a job.
    fn use_reserved_capacity(&mut self, machine: &MachineId, id: &JobId, now: Micros) {
        let array = self
            .jobs
            .get(id)
            .filter(|job| job.spec.shape == Shape::Array);
        let Some(job) = array else {
            if now >= self.passes.next_at {
                self.run_scheduling_pass(now);
            }
            return;
        };
        let free = self.machines.get(machine).map(Machine::free);
        // Capacity that is too small for a task stays reserved until there is enough.
        if free.is_some_and(|free| job.spec.resources.fits(&free)) {
            self.place_tasks(id, &mut UnplaceableJobs::default(), Some(machine), now);
        }
    }

    /// Offers a machine to the jobs of the last pass, in the order of that pass.
    fn offer_machine(&mut self, id: &MachineId, now: Micros) {
        for position in 0..self.passes.placement_order.len().min(MAX_JOBS_OFFERED) {
            let Some(job) = self.jobs.get(&self.passes.placement_order[position]) else {
                continue;
            };
            let Some(machine) = self.machines.get(id) else {
                return;
            };
            if job.placeable_count() > 0
                && !job.cancelled
                && job.spec.shape != Shape::Gang
                && !job.spec.is_zone_constrained()
                && job.spec.resources.fits(&machine.free())
                && self.tasks_within_quota(job) > 0
            {
                let job = job.id.clone();
                self.place_tasks(&job, &mut UnplaceableJobs::default(), Some(id), now);
            }
        }
    }

    /// Whether there is capacity for a job's task that is preferred to the capacity of a machine of this type and
    /// market.
    fn has_preferred_capacity(
        &self,
        machine_type: usize,
        spot: bool,
        spec: &JobSpec,
        now: Micros,
    ) -> bool {
        let price = self.price_per_millicpu(machine_type, spot);
        let cpu = self.machine_types[machine_type].capacity.cpu;
        let is_preferred = |bucket: &CapacityBucket| {
            let kind = &bucket.kind;
            let bucket_price = self.price_per_millicpu(kind.machine_type, kind.spot);
            let is_smaller = self.machine_types[kind.machine_type].capacity.cpu < cpu;
            bucket_price * SIMILAR_PRICE < price
                || (is_smaller && bucket_price <= price * SIMILAR_PRICE)
        };
        let has_capacity = |id: &MachineId| {
            self.passes.add_steps(1);
            self.machines.get(id).is_some_and(|machine| {
                spec.resources.fits(&machine.free())
                    && machine.active_reservation(now).is_none()
                    && machine.is_schedulable(now, self.settings.heartbeat_interval)
            })
        };
        self.capacity_index.buckets.iter().any(|bucket| {
            is_preferred(bucket)
                && self.is_eligible_bucket(spec, &bucket.kind)
                && bucket.with_cpu(spec.resources.cpu).any(has_capacity)
        })
    }
}

/// Whether a job is a gang whose attempt is neither running nor stopping.
fn is_waiting_gang(job: &Job) -> bool {
    let attempt = job.tasks.gang_attempt.as_ref();
    let is_under_way = attempt.is_some_and(|attempt| attempt.running || attempt.stopping);
    job.spec.shape == Shape::Gang && !is_under_way
}
