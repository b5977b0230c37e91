//! Reservations for gangs after a failover, while machines are confirmed one by one.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::GangPass;
use crate::model::{JobId, JobSpec, MachineId, Micros};
use crate::scheduling::capacity_timeline::PlacementConstraints;
use crate::scheduling::placement::{CANDIDATES_PER_BUCKET, STAGE_RESERVATION};
use crate::scheduling::zones::{ZoneTaskCounts, is_zone_allowed, zone_allowance};
use crate::state::cluster::Cluster;
use crate::state::machine::Reservation;

/// A confirmed machine on which a gang may reserve capacity. In sorted order, machines reserved for this gang already
/// come before unreserved machines.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ConfirmedMachine<'a> {
    is_unreserved: bool,
    machine: &'a MachineId,
    max_tasks: i64,
}

impl Cluster {
    /// Reserves confirmed machines for a gang, in the zone with capacity for the most tasks. After a failover
    /// a gang rarely finds capacity for all its tasks at once, as machines are confirmed one by one. Without the
    /// reservations, smaller tasks would take the confirmed capacity bit by bit and hold it for as long as they run.
    /// Nothing is reserved if the whole gang would not fit within its horizon even if all unconfirmed machines were
    /// empty.
    pub(super) fn reserve_on_confirmed_machines(
        &mut self,
        id: &JobId,
        spec: &JobSpec,
        zones: &ZoneTaskCounts,
        tasks: usize,
        gangs: &mut GangPass,
        now: Micros,
    ) {
        let timeline = gangs
            .timelines
            .entry(PlacementConstraints::from(spec))
            .or_insert_with(|| self.capacity_timeline(spec, now));
        let mut attainable = timeline.tasks_until(now + self.reservation_horizon(id));
        for (zone, unconfirmed) in self.max_unconfirmed_tasks_by_zone(spec) {
            let in_zone = attainable.entry(zone).or_default();
            *in_zone = in_zone.saturating_add(unconfirmed);
        }
        if !is_enough_for_gang(&attainable, spec, zones, tasks) {
            return;
        }
        let is_candidate = |zone: &Arc<str>| {
            !spec.single_zone || attainable.get(zone).is_some_and(|max| *max >= tasks as i64)
        };
        let mut by_zone = self.confirmed_machines(id, spec, zones, now);
        by_zone.retain(|zone, _| is_candidate(zone));
        for (machine, tasks) in choose_confirmed_machines(by_zone, tasks) {
            let reservation = Reservation {
                job: id.clone(),
                tasks,
                expires_at: now + STAGE_RESERVATION,
            };
            self.reserve(&machine, reservation);
        }
    }

    /// Returns, by zone, the confirmed machines that have capacity for a gang and are not reserved for another job.
    fn confirmed_machines(
        &self,
        id: &JobId,
        spec: &JobSpec,
        allowed_zones: &ZoneTaskCounts,
        now: Micros,
    ) -> BTreeMap<&Arc<str>, Vec<ConfirmedMachine<'_>>> {
        let mut zones: BTreeMap<&Arc<str>, Vec<ConfirmedMachine<'_>>> = BTreeMap::new();
        for bucket in self.eligible_buckets(spec) {
            if !is_zone_allowed(spec, allowed_zones, &bucket.kind.zone) {
                continue;
            }
            let machines = bucket
                .with_cpu(spec.resources.cpu)
                .take(CANDIDATES_PER_BUCKET);
            for machine in machines.filter_map(|id| self.machines.get(id)) {
                let reservation = machine.active_reservation(now);
                if reservation.is_some_and(|reservation| reservation.job != *id) {
                    continue;
                }
                let max_tasks = self.tasks_that_fit(machine, id, spec, false, now);
                if max_tasks > 0 {
                    zones
                        .entry(&machine.zone)
                        .or_default()
                        .push(ConfirmedMachine {
                            is_unreserved: reservation.is_none(),
                            machine: &machine.id,
                            max_tasks,
                        });
                }
            }
        }
        zones
    }
}

/// Whether the zones that a gang may use have capacity for all its missing tasks together. `attainable`: the number of
/// tasks for which each zone may have capacity.
fn is_enough_for_gang(
    attainable: &BTreeMap<Arc<str>, i64>,
    spec: &JobSpec,
    zones: &ZoneTaskCounts,
    tasks: usize,
) -> bool {
    let allowed = attainable
        .iter()
        .map(|(zone, max)| (*max).min(i64::from(zone_allowance(spec, zones, zone))));
    let total = if spec.single_zone {
        allowed.max().unwrap_or(0)
    } else {
        allowed.fold(0, i64::saturating_add)
    };
    total >= tasks as i64
}

/// Chooses machines for up to `tasks` tasks of a gang, in the zone with capacity for the most tasks. Returns the number
/// of tasks on each of them.
fn choose_confirmed_machines(
    by_zone: BTreeMap<&Arc<str>, Vec<ConfirmedMachine<'_>>>,
    tasks: usize,
) -> Vec<(MachineId, i64)> {
    let total = |machines: &Vec<ConfirmedMachine<'_>>| -> i64 {
        machines.iter().map(|machine| machine.max_tasks).sum()
    };
    let mut machines = by_zone.into_values().max_by_key(total).unwrap_or_default();
    machines.sort_unstable();
    let mut remaining = tasks as i64;
    let mut chosen = Vec::new();
    for ConfirmedMachine {
        machine, max_tasks, ..
    } in machines
    {
        if remaining <= 0 {
            break;
        }
        chosen.push((machine.clone(), max_tasks.min(remaining)));
        remaining -= max_tasks;
    }
    chosen
}
