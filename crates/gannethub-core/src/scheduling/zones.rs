//! Zones that a job's zone constraints allow for its tasks.

use std::collections::HashMap;
use std::sync::Arc;

use crate::model::JobSpec;

/// Number of a job's tasks on machines in each zone.
pub type ZoneTaskCounts = HashMap<Arc<str>, u32>;

/// Whether the job's zone constraints allow one more task in `zone`.
pub fn is_zone_allowed(spec: &JobSpec, zones: &ZoneTaskCounts, zone: &str) -> bool {
    zone_allowance(spec, zones, zone) > 0
}

/// Returns how many more tasks the job's zone constraints allow in `zone`.
pub fn zone_allowance(spec: &JobSpec, zones: &ZoneTaskCounts, zone: &str) -> u32 {
    let has_other_zone = zones.keys().any(|other| **other != *zone);
    if spec.single_zone && has_other_zone {
        return 0;
    }
    let in_zone = zones.get(zone).copied().unwrap_or(0);
    spec.max_tasks_per_zone().saturating_sub(in_zone)
}
