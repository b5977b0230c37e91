//! Where a job's zone rules let its tasks go.

use std::collections::HashMap;
use std::sync::Arc;

use crate::model::JobSpec;

/// How many of a job's tasks are on machines in each zone.
pub type ZoneTaskCounts = HashMap<Arc<str>, u32>;

/// Whether the job's zone rules let another task into `zone`.
pub fn is_zone_allowed(spec: &JobSpec, zones: &ZoneTaskCounts, zone: &str) -> bool {
    zone_allowance(spec, zones, zone) > 0
}

/// How many more tasks the job's zone rules let into `zone`.
pub fn zone_allowance(spec: &JobSpec, zones: &ZoneTaskCounts, zone: &str) -> u32 {
    if spec.single_zone && zones.keys().any(|z| **z != *zone) {
        return 0;
    }
    spec.max_tasks_per_zone()
        .saturating_sub(zones.get(zone).copied().unwrap_or(0))
}
