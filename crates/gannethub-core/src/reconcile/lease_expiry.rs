//! Changes that passing time alone causes: leases of silent machines expire, and a takeover settles.

use gannethub_ledger::line::Reason;

use crate::model::{MachineId, Micros, Resources, SECOND};
use crate::state::cluster::Cluster;
use crate::state::job::Job;

/// Interval between scans of all machines, in microseconds per machine of the cluster. With an interval in proportion
/// to the number of machines, scanning costs a fixed share of the time.
const SCAN_INTERVAL_PER_MACHINE: Micros = 50;
/// Maximum interval between scans of all machines.
const MAX_SCAN_INTERVAL: Micros = SECOND / 2;
/// Divisor of the number of all machines. The quotient, but at least 1, is the maximum number of silent machines for
/// which a takeover does not wait.
const MACHINES_PER_SILENT_ALLOWED: usize = 40;

impl Cluster {
    /// Expires leases of silent machines, and settles a takeover once all machines are accounted for. `unix_time`: time
    /// of day in microseconds.
    pub fn tick(&mut self, now: Micros, unix_time: u64) {
        self.unix_time = unix_time;
        self.now = now;
        if !self.is_scan_due(now) {
            return;
        }
        self.machines_scanned_at = now;
        self.total_capacity = Resources::default();
        for machine in self.machines.values().filter(|m| m.lifecycle.has_booted) {
            self.total_capacity += machine.capacity;
        }
        self.expire_leases(now);
        if !self.takeover.is_settled {
            self.settle_takeover(now);
        }
        self.reindex_changed_machines(now);
        self.charge_orphans_of_lost_machines(now);
        self.drop_empty_gang_attempts();
    }

    /// Whether a scan of all machines is due. A large cluster is scanned less often, but the scan is due at every tick
    /// until the takeover has settled, as placement waits for the results of the scan.
    fn is_scan_due(&self, now: Micros) -> bool {
        let interval = SCAN_INTERVAL_PER_MACHINE * self.machines.len() as Micros;
        let due_at = self.machines_scanned_at + interval.min(MAX_SCAN_INTERVAL);
        !self.takeover.is_settled || now >= due_at
    }

    /// Gives up the attempts on machines whose workers' leases have expired.
    fn expire_leases(&mut self, now: Micros) {
        let bound = self.lease_expiry_bound();
        let expired: Vec<MachineId> = self
            .machines
            .values()
            .filter(|machine| now > machine.worker.last_response_at + bound)
            .filter(|machine| !machine.worker.confirmed || !machine.attempts.is_empty())
            .map(|machine| machine.id.clone())
            .collect();
        for id in expired {
            self.lose_attempts(&id, now, Reason::Lease, "worker lease expired");
            self.charge_orphans(&id, Reason::Lease, now);
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.worker.lost_incarnation = machine
                    .worker
                    .lost_incarnation
                    .max(machine.worker.incarnation);
            }
        }
    }

    /// Settles the takeover once no machine may hold a task that this leader does not know of.
    fn settle_takeover(&mut self, now: Micros) {
        let unconfirmed = self.update_unconfirmed(now);
        self.return_silent_machines(now, unconfirmed);
        if unconfirmed == 0 {
            let (machines, jobs) = (self.machines.len(), self.jobs.len());
            tracing::info!(machines, jobs, "settled");
            self.takeover.is_settled = true;
        }
    }

    /// Returns silent machines to the cloud if they delay a takeover and are few.
    ///
    /// Before machines are returned, every worker has had the time to find this leader. If only a few machines are
    /// silent, they have most likely failed, and the cloud confirms their deletion before their leases end. If a zone
    /// is cut off, more machines are silent and their tasks go on: the takeover waits for such machines.
    fn return_silent_machines(&mut self, now: Micros, unconfirmed: usize) {
        let max_silent = (self.machines.len() / MACHINES_PER_SILENT_ALLOWED).max(1);
        let all_heard_by =
            self.takeover.started_at + 2 * self.settings.heartbeat_interval + 2 * SECOND;
        if now <= all_heard_by || unconfirmed > max_silent {
            return;
        }
        let bound = self.lease_expiry_bound();
        for machine in self.machines.values_mut() {
            if machine.is_unconfirmed(now, bound) && !machine.lifecycle.deleting {
                tracing::info!(
                    machine = %machine.id,
                    why = "machine delays takeover",
                    "returning"
                );
                machine.lifecycle.deleting = true;
            }
        }
    }

    /// Drops gang attempts without live attempts, so that the next gang attempt of the job is a new one.
    fn drop_empty_gang_attempts(&mut self) {
        let is_empty =
            |job: &&mut Job| job.tasks.live_attempts.is_empty() && job.tasks.gang_attempt.is_some();
        for job in self.jobs.values_mut().filter(is_empty) {
            job.tasks.gang_attempt = None;
        }
    }
}
