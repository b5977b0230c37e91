//! The autoscaler: scale out, scale in, and the return of unusable machines.
//!
//! The autoscaler plans the calls to the cloud within the cloud's request rate; `reconcile::provisioning` processes
//! the answers. Only the owner of shard 0 provisions machines, for all shards.

use std::collections::{BTreeMap, HashMap};

use crate::model::{MachineId, Micros, SECOND, micros_from_seconds, seconds_from_micros};
use crate::policy::{Setting, Value};
use crate::state::cluster::Cluster;
use crate::state::fleet::{CloudCall, Offer, PendingProvision};
use crate::state::machine::Machine;
use crate::state::provisioning_times::{OVERDUE_FACTOR, ProvisioningTimes};

/// Minimum time that the cloud bills for a machine, however soon the machine is deleted.
const MIN_BILLED_TIME: Micros = 60 * SECOND;

/// Maximum number of machines in one provisioning request.
const MAX_MACHINES_PER_PROVISION: u32 = 50;
/// Maximum number of machines in one deletion request.
const MAX_MACHINES_PER_DELETION: usize = 100;

/// Interval between reads of the machine types.
const MACHINE_TYPES_INTERVAL: Micros = 30 * SECOND;
/// Interval between fleet summaries in the log.
const SUMMARY_INTERVAL: Micros = 10 * SECOND;

/// Assumed boot time of a machine of unknown type.
const UNKNOWN_TYPE_BOOT_TIME: Micros = 60 * SECOND;

/// Value in seconds that stands for "never" where a policy input is the time since an event.
const NEVER_S: f64 = 1e9;

/// An unreachable zone is tried with one machine once this time has passed since it was last found silent.
const UNREACHABLE_ZONE_RETRY: Micros = 30 * SECOND;
/// Time for which a refused offer stays blocked while none of the offer's machines, if there are any, has been returned
/// or reclaimed.
const REFUSAL_MEMORY: Micros = 120 * SECOND;

impl Cluster {
    /// Returns the calls to make to the cloud now.
    pub fn plan_cloud_calls(&mut self, now: Micros) -> Vec<CloudCall> {
        let steps_before = self.passes.steps.get();
        let mut calls = Vec::new();
        self.fleet.budget.refill(now);
        self.retry_calls(&mut calls);
        if now >= self.fleet.next_summary_at {
            self.fleet.next_summary_at = now + SUMMARY_INTERVAL;
            self.log_summary(now);
        }
        self.detect_unreachable_zones(now);
        self.return_unhealthy(now);
        let is_leader = self.shard.id == 0;
        if self.takeover.is_settled || self.all_workers_had_time_to_report(now) {
            if is_leader {
                self.scale_out(now, &mut calls);
            } else {
                self.machine_demand = self.compute_machine_demand(now);
            }
        }
        if is_leader {
            self.scale_out_for_shards(now, &mut calls, MAX_MACHINES_PER_PROVISION);
        }
        if self.takeover.is_settled {
            self.scale_in(now);
            self.consolidate(now);
        }
        self.delete_machines(&mut calls);
        if is_leader {
            self.poll_cloud(now, &mut calls);
        }
        let steps = self.passes.steps.get() - steps_before;
        self.passes.next_plan_at = now + self.pacing_delay(steps);
        let cost = &mut self.passes.cost;
        cost.plans += 1;
        cost.plan_steps += steps;
        cost.max_steps = cost.max_steps.max(steps);
        calls
    }

    /// Sends unanswered calls again, as far as the cloud's request rate allows.
    fn retry_calls(&mut self, calls: &mut Vec<CloudCall>) {
        while let Some(call) = self.fleet.calls_to_retry.pop() {
            if !self.fleet.budget.try_take(0.0) {
                self.fleet.calls_to_retry.push(call);
                return;
            }
            calls.push(call);
        }
    }

    /// Asks the cloud to delete the machines marked as deleting.
    fn delete_machines(&mut self, calls: &mut Vec<CloudCall>) {
        let deleting = self
            .machines
            .values()
            .filter(|machine| machine.lifecycle.deleting);
        let machines: Vec<String> = deleting
            .take(MAX_MACHINES_PER_DELETION)
            .map(|machine| machine.id.to_string())
            .collect();
        if !machines.is_empty() && !self.fleet.delete_in_flight && self.fleet.budget.try_take(0.0) {
            self.fleet.delete_in_flight = true;
            calls.push(CloudCall::Delete { machines });
        }
    }

    /// Asks the cloud at regular intervals for the list of machines and for the machine types.
    fn poll_cloud(&mut self, now: Micros, calls: &mut Vec<CloudCall>) {
        let fleet = &mut self.fleet;
        if !fleet.listing.in_flight && now >= fleet.listing.next_at && fleet.budget.try_take(1.0) {
            fleet.listing.in_flight = true;
            let after = fleet.listing.cursor.clone();
            calls.push(CloudCall::List { after });
        }
        if now >= fleet.next_machine_types_at && fleet.budget.try_take(1.0) {
            fleet.next_machine_types_at = now + MACHINE_TYPES_INTERVAL;
            calls.push(CloudCall::MachineTypes);
        }
    }

    /// Requests the machines that the plan wants: one request for each offer, then further requests, as far as the
    /// cloud's request rate allows. The rest is not left to the next plan, since the plans of a large cluster are too
    /// far apart for that.
    fn scale_out(&mut self, now: Micros, calls: &mut Vec<CloudCall>) {
        let mut wanted = self.compute_machine_demand(now);
        while !wanted.is_empty() {
            let mut remaining = BTreeMap::new();
            for (offer, count) in wanted {
                if !self.fleet.budget.try_take(0.0) {
                    return;
                }
                // One machine is enough to test an unreachable zone.
                let is_unreachable = self.zones.unreachable.contains_key(&*offer.zone);
                let max_count = if is_unreachable {
                    1
                } else {
                    MAX_MACHINES_PER_PROVISION
                };
                let requested = count.min(max_count);
                if count > requested && !is_unreachable {
                    remaining.insert(offer.clone(), count - requested);
                }
                calls.push(self.begin_provisioning(offer, requested));
            }
            wanted = remaining;
        }
    }

    /// Creates a provisioning request for machines of an offer. The request's name contains the term, so no other
    /// leader can ever use the same name.
    pub(crate) fn begin_provisioning(&mut self, offer: Offer, count: u32) -> CloudCall {
        self.fleet.request_count += 1;
        let name = format!("r-{}-{}", self.fleet.term, self.fleet.request_count);
        let machine_type = &self.machine_types[offer.machine_type].name;
        let (zone, spot) = (&offer.zone, offer.spot);
        tracing::info!(%name, %machine_type, %zone, spot, count, "provisioning");
        let pending = PendingProvision {
            offer: offer.clone(),
            count,
        };
        self.fleet.pending_provisions.insert(name.clone(), pending);
        CloudCall::Provision {
            name,
            offer,
            count,
            tries: 0,
        }
    }

    /// Marks a machine for return if it does not boot in time, if its lease has expired, or if it holds no work and is
    /// quarantined, draining or under a preemption notice.
    fn return_unhealthy(&mut self, now: Micros) {
        let lease_expiry = self.lease_expiry_bound();
        let times = &mut self.fleet.provisioning_times;
        let machines = self.machines.values_mut();
        for machine in machines.filter(|machine| !machine.lifecycle.deleting) {
            let type_index = machine.machine_type;
            let usual_boot = type_index.map_or(UNKNOWN_TYPE_BOOT_TIME, |index| {
                self.machine_types[index].boot_time
            });
            let is_zone_reachable = !self.zones.unreachable.contains_key(&machine.zone);
            let is_stuck = !machine.lifecycle.has_booted
                && check_boot(machine, times, usual_boot, is_zone_reachable, now);
            if let Some(why) = reason_to_return(machine, is_stuck, lease_expiry, now) {
                tracing::info!(machine = %machine.id, why, "returning");
                machine.lifecycle.deleting = true;
            }
        }
    }

    /// Marks a machine for return if its idle time exceeds the policy's limit.
    fn scale_in(&mut self, now: Micros) {
        // Machines with the shortest idle time come first: each machine counts the machines before it as spares.
        let mut idle: Vec<(Micros, MachineId)> = self
            .machines
            .values()
            .filter(|machine| is_idle(machine, now))
            .map(|machine| (machine.placement.idle_since, machine.id.clone()))
            .collect();
        idle.sort_by(|a, b| b.cmp(a));
        let mut spares: HashMap<(usize, bool), u32> = HashMap::new();
        for (idle_since, id) in idle {
            let Some(machine) = self.machines.get(&id) else {
                continue;
            };
            let Some(machine_type) = machine.machine_type else {
                continue;
            };
            let other_spares = spares.entry((machine_type, machine.spot)).or_default();
            let max_idle = self.max_idle_time(machine, machine_type, *other_spares, now);
            *other_spares += 1;
            // A machine is kept for the minimum billed time, which is charged anyway.
            let is_within_billed_time =
                now + SECOND <= machine.lifecycle.provisioned_at + MIN_BILLED_TIME;
            if is_within_billed_time || now <= idle_since + max_idle {
                continue;
            }
            tracing::info!(machine = %id, why = "idle", "returning");
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.lifecycle.deleting = true;
            }
        }
    }

    /// Maximum time for which policy keeps an idle machine while `other_spares` other machines of its type and market
    /// are idle.
    fn max_idle_time(
        &self,
        machine: &Machine,
        type_index: usize,
        other_spares: u32,
        now: Micros,
    ) -> Micros {
        let machine_type = &self.machine_types[type_index];
        let times = &self.fleet.provisioning_times;
        let usual_boot = machine_type.boot_time;
        let boot_time = times
            .expected_boot_time(type_index, &machine.zone, usual_boot, now)
            .max(usual_boot);
        let since_high_priority = machine
            .placement
            .high_priority_placed_at
            .map_or(NEVER_S, |at| seconds_from_micros(now.saturating_sub(at)));
        let inputs = [
            Value::Text(&machine_type.name),
            Value::Text(&machine.zone),
            Value::Bool(machine.spot),
            Value::Number(machine_type.capacity.cpu as f64 / 1000.0),
            Value::Number(machine_type.price_of(machine.spot)),
            Value::Number(seconds_from_micros(boot_time)),
            Value::Number(since_high_priority),
            Value::Number(f64::from(other_spares)),
        ];
        micros_from_seconds(self.settings.policy.number(Setting::MaxIdleTime, &inputs))
    }

    /// Returns the number of machines of an offer.
    pub(crate) fn machine_count_of_offer(&self, offer: &Offer) -> usize {
        self.capacity_index
            .machine_count(offer.machine_type, &offer.zone, offer.spot)
    }

    /// Whether an offer was refused recently, or its zone is unreachable and not due for a retry. While no machine of
    /// the offer has been returned or reclaimed by the cloud since the refusal, the cloud most likely still has none.
    pub fn is_offer_blocked(&self, offer: &Offer, now: Micros) -> bool {
        if let Some(unreachable_at) = self.zones.unreachable.get(&*offer.zone) {
            let may_retry = now >= unreachable_at + UNREACHABLE_ZONE_RETRY;
            if !may_retry || self.is_provisioning_in(&offer.zone) {
                return true;
            }
        }
        self.fleet.refusals.get(offer).is_some_and(|refusal| {
            let is_unchanged = self.machine_count_of_offer(offer) >= refusal.machines_held.max(1);
            now < refusal.retry_at || (now < refusal.refused_at + REFUSAL_MEMORY && is_unchanged)
        })
    }

    /// Whether a machine in a zone is booting or has been requested.
    fn is_provisioning_in(&self, zone: &str) -> bool {
        let mut machines = self.machines.values();
        let mut pending = self.fleet.pending_provisions.values();
        machines.any(|machine| !machine.lifecycle.has_booted && *machine.zone == *zone)
            || pending.any(|pending| pending.offer.zone == *zone)
    }
}

/// Records an overdue boot. Returns whether the machine is given up.
fn check_boot(
    machine: &mut Machine,
    times: &mut ProvisioningTimes,
    usual_boot: Micros,
    is_zone_reachable: bool,
    now: Micros,
) -> bool {
    let type_index = machine.machine_type;
    let expected =
        type_index.map(|index| times.expected_boot_time(index, &machine.zone, usual_boot, now));
    let boot_time = usual_boot.max(expected.unwrap_or(0));
    // A machine that boots in an unreachable zone is useless, but its minimum billed time is charged anyway.
    let max_age = if is_zone_reachable {
        max_boot_time(boot_time)
    } else {
        MIN_BILLED_TIME.max(2 * boot_time)
    };
    let lifecycle = &mut machine.lifecycle;
    let age = now.saturating_sub(lifecycle.provisioned_at.max(lifecycle.known_since));
    let is_stuck = age > max_age;
    let Some(type_index) = type_index.filter(|_| is_zone_reachable) else {
        return is_stuck;
    };
    if is_stuck {
        times.record_failed_boot(type_index, &machine.zone, now);
    } else if !lifecycle.boot_overdue && age as f64 > OVERDUE_FACTOR * boot_time as f64 {
        lifecycle.boot_overdue = true;
        times.record_overdue(type_index, &machine.zone, now);
        let age_s = seconds_from_micros(age) as u32;
        tracing::debug!(machine = %machine.id, age_s, "machine boot is overdue");
    }
    is_stuck
}

/// Returns the reason for returning a machine, or `None` if the machine is kept.
fn reason_to_return(
    machine: &Machine,
    is_stuck: bool,
    lease_expiry: Micros,
    now: Micros,
) -> Option<&'static str> {
    if is_stuck {
        return Some("boot timed out");
    }
    let lifecycle = &machine.lifecycle;
    if !lifecycle.has_booted {
        return None;
    }
    // The lease has expired, so no work is lost by returning a machine that sends no heartbeats.
    if now > machine.worker.last_response_at + lease_expiry {
        return Some("lease expired");
    }
    let mut attempts = machine.attempts.values();
    if attempts.any(|attempt| attempt.holds_capacity) {
        return None;
    }
    if lifecycle.quarantined {
        Some("quarantined")
    } else if lifecycle.draining {
        Some("drained")
    } else if lifecycle.preemption_notice {
        Some("preemption notice")
    } else {
        None
    }
}

/// Whether a machine is up and has no attempts, no active reservation and no planned work.
fn is_idle(machine: &Machine, now: Micros) -> bool {
    machine.lifecycle.has_booted
        && !machine.lifecycle.deleting
        && machine.attempts.is_empty()
        && machine.active_reservation(now).is_none()
        && now >= machine.placement.planned_work_until
}

/// Returns the time after which a machine that does not boot is given up, for an expected boot time of `boot_time`.
pub fn max_boot_time(boot_time: Micros) -> Micros {
    3 * boot_time + 20 * SECOND
}
