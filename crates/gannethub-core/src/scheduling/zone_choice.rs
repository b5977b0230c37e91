//! The choice of the zone for all tasks of an array or service that has to be in one zone.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use crate::model::{JobId, JobSpec, MachineId, Micros, SECOND};
use crate::state::cluster::Cluster;
use crate::state::job::{JobScheduling, ZoneChoice};

/// A job waits at most this long for the provisioning plan to look for a zone for all of its tasks.
const MAX_WAIT_FOR_PLAN: Micros = 10 * SECOND;
/// A job waits at most this long for the cloud's answers about machines in the zone for all of its tasks. No job is to
/// wait for 90 s beside capacity that it can use.
const MAX_WAIT_FOR_CLOUD: Micros = 60 * SECOND;

impl Cluster {
    /// Chooses the zone for all tasks of a job, and records how long the job has been waiting for the choice. While the
    /// plan knows a zone, the job does not wait for the choice but for machines that boot, and while no zone has
    /// capacity, it waits for capacity.
    pub(super) fn zone_for_all_tasks(
        &mut self,
        id: &JobId,
        wanted: usize,
        only: Option<&MachineId>,
        now: Micros,
    ) -> Option<Arc<str>> {
        let job = self.jobs.get(id)?;
        let Some((zone, tasks)) = self.zone_with_most_capacity(id, &job.spec, only, now) else {
            if only.is_none() {
                self.jobs.get_mut(id)?.scheduling.zone_wanted_since = None;
            }
            return None;
        };
        // Capacity that was freed or reserved for the job was chosen for all of its tasks.
        if tasks >= wanted as i64 || self.has_reservation(id) {
            return Some(zone);
        }
        let scheduling = &mut self.jobs.get_mut(id)?.scheduling;
        if let Some(ZoneChoice::Zone(planned)) = scheduling.current_zone_choice(now) {
            let planned = planned.clone();
            scheduling.zone_wanted_since = None;
            return Some(planned);
        }
        let wanted_since = *scheduling.zone_wanted_since.get_or_insert(now);
        may_choose_alone(scheduling, now.saturating_sub(wanted_since), now).then_some(zone)
    }

    /// Returns the zone with the most free capacity for a job, and the number of tasks that fit there.
    fn zone_with_most_capacity(
        &self,
        id: &JobId,
        spec: &JobSpec,
        only: Option<&MachineId>,
        now: Micros,
    ) -> Option<(Arc<str>, i64)> {
        let mut tasks_by_zone: HashMap<&Arc<str>, i64> = HashMap::new();
        for bucket in self.eligible_buckets(spec) {
            let machines = bucket.with_cpu(spec.resources.cpu);
            for machine in machines.filter_map(|id| self.machines.get(id)) {
                if only.is_none_or(|only| *only == machine.id) {
                    let tasks = self.tasks_that_fit(machine, id, spec, false, now);
                    *tasks_by_zone.entry(&machine.zone).or_default() += tasks;
                }
            }
        }
        let best = tasks_by_zone
            .into_iter()
            .filter(|(_, tasks)| *tasks > 0)
            .max_by_key(|(zone, tasks)| (*tasks, Reverse(*zone)));
        best.map(|(zone, tasks)| (zone.clone(), tasks))
    }
}

/// Whether a job that has waited for `waited` microseconds may choose a zone with capacity for some of its tasks only. Such
/// a zone may never have any for the others, so the choice is left to the provisioning plan, which knows what can be
/// provisioned, unless the plan knows no zone or has not decided for too long.
fn may_choose_alone(scheduling: &JobScheduling, waited: Micros, now: Micros) -> bool {
    match scheduling.current_zone_choice(now) {
        Some(ZoneChoice::Zone(_)) => false,
        Some(ZoneChoice::Undecided) => waited >= MAX_WAIT_FOR_CLOUD,
        Some(ZoneChoice::NoZone) => true,
        None => waited >= MAX_WAIT_FOR_PLAN,
    }
}
