//! What time alone changes: leases of silent machines run out, and a takeover settles.

use gannethub_ledger::line::Reason;

use crate::model::{MachineId, Micros, Resources, SECOND};
use crate::state::cluster::Cluster;
use crate::state::job::Job;

/// All machines are scanned this often for each machine there is, so that scanning costs a fixed share of the time ...
const SCAN_INTERVAL_PER_MACHINE: Micros = 50;
/// ... and at least this often.
const MAX_SCAN_INTERVAL: Micros = SECOND / 2;
/// A takeover does not wait for silent machines where at most one in this many is silent.
const MACHINES_PER_SILENT_ALLOWED: usize = 40;

impl Cluster {
    /// Expires leases of silent machines, and finds out whether a takeover has settled. `unix_time`: the time of day.
    pub fn tick(&mut self, now: Micros, unix_time: u64) {
        self.unix_time = unix_time;
        self.now = now;
        if !self.is_scan_due(now) {
            return;
        }
        self.machines_scanned_at = now;
        self.total_capacity = Resources::default();
        for machine in self.machines.values().filter(|m| m.lifecycle.is_up) {
            self.total_capacity += machine.capacity;
        }
        self.expire_leases(now);
        if !self.takeover.settled {
            self.settle_takeover(now);
        }
        self.reindex_changed_machines(now);
        self.charge_orphans_of_lost_machines(now);
        self.drop_empty_gang_attempts();
    }

    /// A large cluster is scanned less often, but every tick while placing waits for what a scan may find.
    fn is_scan_due(&self, now: Micros) -> bool {
        let interval = SCAN_INTERVAL_PER_MACHINE * self.machines.len() as Micros;
        let due_at = self.machines_scanned_at + interval.min(MAX_SCAN_INTERVAL);
        !self.takeover.settled || now >= due_at
    }

    /// Gives up what was on machines whose workers' leases are over.
    fn expire_leases(&mut self, now: Micros) {
        let bound = self.lease_expiry_bound();
        let expired: Vec<MachineId> = self
            .machines
            .values()
            .filter(|machine| now > machine.worker.last_answered_at + bound)
            .filter(|machine| !machine.worker.confirmed || !machine.attempts.is_empty())
            .map(|machine| machine.id.clone())
            .collect();
        for id in expired {
            self.lose_attempts(&id, now, Reason::Lease, "its lease ran out");
            self.charge_orphans(&id, Reason::Lease, now);
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.worker.lost_incarnation = machine
                    .worker
                    .lost_incarnation
                    .max(machine.worker.incarnation);
            }
        }
    }

    /// Settles the takeover once no machine may hold anything that this leader does not know of.
    fn settle_takeover(&mut self, now: Micros) {
        let unconfirmed = self.review_unconfirmed(now);
        self.return_few_silent_machines(now, unconfirmed);
        if unconfirmed == 0 {
            let (machines, jobs) = (self.machines.len(), self.jobs.len());
            tracing::info!(machines, jobs, "settled");
            self.takeover.settled = true;
        }
    }

    /// Returns machines that hold up a takeover, if they are few.
    ///
    /// Every worker has had the time to find this leader by then. When only a few are silent, they have most likely
    /// died, and deleting them is confirmed sooner than their leases end. Of a zone that is cut off more are silent,
    /// and their work goes on: they are waited for.
    fn return_few_silent_machines(&mut self, now: Micros, unconfirmed: usize) {
        let few = (self.machines.len() / MACHINES_PER_SILENT_ALLOWED).max(1);
        let all_heard_by = self.takeover.at + 2 * self.settings.heartbeat_interval + 2 * SECOND;
        if now <= all_heard_by || unconfirmed > few {
            return;
        }
        let bound = self.lease_expiry_bound();
        for machine in self.machines.values_mut() {
            if machine.is_unconfirmed(now, bound) && !machine.lifecycle.deleting {
                tracing::info!(machine = %machine.id, why = "it holds up a takeover", "returning");
                machine.lifecycle.deleting = true;
            }
        }
    }

    /// The next attempt of a gang is a new one once nothing of the last one is left.
    fn drop_empty_gang_attempts(&mut self) {
        let is_empty =
            |job: &&mut Job| job.tasks.live_attempts.is_empty() && job.tasks.gang_attempt.is_some();
        for job in self.jobs.values_mut().filter(is_empty) {
            job.tasks.gang_attempt = None;
        }
    }
}
