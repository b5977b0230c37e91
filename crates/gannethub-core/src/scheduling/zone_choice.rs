//! The choice of the zone for all tasks of an array or service that has to be in one zone.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use crate::model::{JobId, JobSpec, MachineId, Micros, SECOND};
use crate::state::cluster::Cluster;
use crate::state::job::{Job, ZoneChoice};

/// A job waits at most this long for the provisioning plan to look for a zone for all of its tasks.
const MAX_WAIT_FOR_PLAN: Micros = 10 * SECOND;
/// A job waits at most this long for the cloud's answers about machines in the zone for all of its tasks. No job is to
/// wait for 90 s beside capacity that it can use.
const MAX_WAIT_FOR_CLOUD: Micros = 60 * SECOND;

impl Cluster {
    /// Chooses the zone for all tasks of a job, and records how long the job has been waiting for the choice. While the
    /// plan knows a zone, the job does not wait for the choice but for machines that boot.
    pub(super) fn zone_for_all_tasks(
        &mut self,
        id: &JobId,
        wanted: usize,
        only: Option<&MachineId>,
        now: Micros,
    ) -> Option<Arc<str>> {
        let scheduling = &mut self.jobs.get_mut(id)?.scheduling;
        if let Some(ZoneChoice::Zone(_)) = scheduling.current_zone_choice(now) {
            scheduling.zone_wanted_since = None;
        }
        let wanted_since = *scheduling.zone_wanted_since.get_or_insert(now);
        let job = self.jobs.get(id)?;
        self.choose_zone(job, wanted, only, now.saturating_sub(wanted_since), now)
    }

    /// Chooses the zone for all tasks of a job that has waited for `waited` microseconds. A zone that has capacity for some tasks only may never have any for the
    /// others, so the choice is left to the provisioning plan, which knows what can be provisioned. `None`: there is no
    /// capacity, or the plan has not decided yet.
    fn choose_zone(
        &self,
        job: &Job,
        wanted: usize,
        only: Option<&MachineId>,
        waited: Micros,
        now: Micros,
    ) -> Option<Arc<str>> {
        let (zone, tasks) = self.zone_with_most_capacity(&job.id, &job.spec, only, now)?;
        // Capacity that was freed or reserved for the job was chosen for all of its tasks.
        if tasks >= wanted as i64 || self.has_reservation(&job.id) {
            return Some(zone);
        }
        match job.scheduling.current_zone_choice(now) {
            Some(ZoneChoice::Zone(planned)) => Some(planned.clone()),
            Some(ZoneChoice::Undecided) => (waited >= MAX_WAIT_FOR_CLOUD).then_some(zone),
            Some(ZoneChoice::NoZone) => Some(zone),
            None => (waited >= MAX_WAIT_FOR_PLAN).then_some(zone),
        }
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
