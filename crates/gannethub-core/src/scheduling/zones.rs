//! Where a job's zone constraints let its tasks go.

use std::collections::HashMap;
use std::sync::Arc;

use crate::model::JobSpec;

/// How many of a job's tasks are on machines in each zone.
pub type ZoneTaskCounts = HashMap<Arc<str>, u32>;

/// Whether the job's zone constraints let another task into `zone`.
pub fn is_zone_allowed(spec: &JobSpec, zones: &ZoneTaskCounts, zone: &str) -> bool {
    zone_allowance(spec, zones, zone) > 0
}

/// How many more tasks the job's zone constraints let into `zone`.
pub fn zone_allowance(spec: &JobSpec, zones: &ZoneTaskCounts, zone: &str) -> u32 {
    let is_elsewhere = zones.keys().any(|other| **other != *zone);
    if spec.single_zone && is_elsewhere {
        return 0;
    }
    let in_zone = zones.get(zone).copied().unwrap_or(0);
    spec.max_tasks_per_zone().saturating_sub(in_zone)
}
