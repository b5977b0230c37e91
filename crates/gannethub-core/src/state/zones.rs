//! Detection of unreachable zones.

use std::collections::HashMap;
use std::sync::Arc;

use super::machine::Machine;
use crate::model::{Micros, SECOND};

/// Minimum number of machines in an unreachable zone. One or two machines that fall silent together are not unusual.
const MIN_MACHINES: u32 = 3;

/// Zones whose machines have all fallen silent while machines in other zones are heard.
///
/// A machine provisioned in such a zone would not be heard either, so the autoscaler avoids these zones. A heartbeat
/// from the zone makes it reachable again.
#[derive(Debug, Default)]
pub struct ZoneReachability {
    /// The unreachable zones, and the time at which each zone was last found to be silent.
    pub unreachable: HashMap<Arc<str>, Micros>,
}

#[derive(Clone, Copy, Default)]
struct ZoneHeartbeats {
    machines: u32,
    silent: u32,
}

impl ZoneHeartbeats {
    fn is_silent(&self) -> bool {
        self.machines >= MIN_MACHINES && self.silent == self.machines
    }
}

impl ZoneReachability {
    /// Detects zones that have become unreachable. If no zone is heard, this controller itself is cut off, and no
    /// conclusion is drawn.
    pub fn detect<'a>(
        &mut self,
        machines: impl Iterator<Item = &'a Machine>,
        heartbeat_interval: Micros,
        now: Micros,
    ) {
        let max_silence = 3 * heartbeat_interval + 2 * SECOND;
        let mut zones: HashMap<Arc<str>, ZoneHeartbeats> = HashMap::new();
        for machine in machines.filter(|machine| machine.lifecycle.has_booted) {
            let worker = &machine.worker;
            let heard_at = worker.last_heartbeat_at.unwrap_or(worker.last_response_at);
            let zone = zones.entry(machine.zone.clone()).or_default();
            zone.machines += 1;
            zone.silent += u32::from(now > heard_at + max_silence);
        }
        if zones.values().all(ZoneHeartbeats::is_silent) {
            return;
        }
        for (zone, _) in zones.into_iter().filter(|(_, zone)| zone.is_silent()) {
            if self.unreachable.insert(zone.clone(), now).is_none() {
                tracing::info!(%zone, "no heartbeat from any machine in zone");
            }
        }
    }
}
