//! Settings of the platform. They stay the same while a process runs, except for values that a configuration version
//! changes.
//!
//! [`Settings::parse`] reads the text of a settings file: `file` defines the form of the file, and `validation`
//! converts it to [`Settings`] or reports the first invalid field.

mod file;
mod validation;

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::model::{Micros, Resources, Team, UNLIMITED};
use crate::policy::{Policy, Setting};

/// Number of scheduling steps per second that a whole core makes in a quarter of its time, at 0.5 µs per step.
/// Scheduling passes take no more than this part of the controller's share of a core, and planning takes as much. The
/// rest is left for heartbeats, lease renewals and user requests.
const STEPS_PER_CORE: f64 = 500_000.0;
/// Number of CPUs that a GPU counts as if the ledger's settings define no shares.
const CPUS_PER_GPU: f64 = 8.0;

/// Reason why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{file}: {reason}")]
    Parse { file: String, reason: String },
    #[error("{file}: {field}: {reason}")]
    Field {
        file: String,
        field: String,
        reason: String,
    },
}

/// Service level objective that users expect of a class of jobs or of the whole service.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    pub kind: String,
    /// Class of jobs that the objective applies to; `None`: all jobs.
    pub class: Option<String>,
    /// Time limit of the objective.
    pub within: Micros,
    /// Share of cases, from 0 to 1, that have to meet the objective.
    pub share: f64,
    /// For deadline objectives: the multiple of the deadline that still counts as in time.
    pub deadline_factor: f64,
}

/// Maximum rates per second that the state service allows for all controllers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    pub requests: f64,
    /// Puts and deletes per second.
    pub changes: f64,
}

/// Another controller of the cluster.
#[derive(Clone, Debug)]
pub struct Peer {
    pub name: String,
    pub zone: String,
    /// Address at which the controller listens for its peers.
    pub addr: SocketAddrV4,
}

/// Settings of one controller. [`Settings::parse`] checks the values.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this controller, which differs from the names of all peers.
    pub name: String,
    pub zone: String,
    /// Address that users and workers connect to.
    pub listen: SocketAddrV4,
    /// Address that peers connect to.
    pub cluster_listen: SocketAddrV4,
    /// The other controllers. Inside this process a peer is identified by its position in this list.
    pub peers: Vec<Peer>,
    pub cloud_addr: SocketAddrV4,
    pub store_addr: SocketAddrV4,
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    pub objectives: Vec<Objective>,
    /// Interval between the heartbeats of a worker.
    pub heartbeat_interval: Micros,
    /// Maximum time since a worker sent its last answered heartbeat. When the time is exceeded, the worker stops its
    /// tasks.
    pub lease_duration: Micros,
    /// Maximum time for which a worker waits for the rest of a gang to be placed.
    pub gang_wait_timeout: Micros,
    /// Maximum time until the members of a gang notice that one of them is gone.
    pub gang_peer_timeout: Micros,
    /// Maximum time until the tasks of a cancelled job have ended, even if a worker cannot be reached.
    pub cancel_timeout: Micros,
    pub store_rates: Rates,
    /// Rates that the state service will switch to without notice, or `store_rates` where those are lower.
    pub next_store_rates: Rates,
    /// Maximum size of a value that the state service accepts, now and after it switches to its next limits.
    pub max_value_bytes: usize,
    /// Maximum number of operations in a transaction that the state service accepts, now and after it switches to its
    /// next limits.
    pub max_transaction_operations: usize,
    /// Maximum number of requests per second that the cloud allows.
    pub cloud_rps: f64,
    /// Maximum age of the data in the cloud's listings.
    pub max_listing_lag: Micros,
    pub max_connections: usize,
    /// Maximum number of bytes of memory that this controller may hold.
    pub memory_bytes: usize,
    /// Number of processor cores, or share of a core, that this controller has; `None`: unknown.
    pub cores: Option<f64>,
    /// Policy settings of the operators.
    pub policy: Policy,
    /// Setup of the usage ledger; `None`: no ledger is kept.
    pub ledger: Option<LedgerSetup>,
}

/// Settings and keys with which a usage ledger is kept.
#[derive(Clone, Debug)]
pub struct LedgerSetup {
    pub settings: Arc<gannethub_ledger::Settings>,
    pub keys: Arc<gannethub_ledger::KeyRing>,
}

impl Settings {
    /// Returns the teams with their shares for a ledger whose settings define no shares. The shares are in proportion
    /// to the teams' guarantees.
    pub fn default_ledger_shares(&self) -> Vec<(String, f64)> {
        let due =
            |guarantee: &Resources| guarantee.cpu as f64 + CPUS_PER_GPU * guarantee.gpu as f64;
        self.teams
            .iter()
            .map(|team| (team.name.clone(), due(&team.guarantee)))
            .collect()
    }

    /// Returns the maximum number of scheduling steps per second: the number in the policy, but no more than the
    /// controller's share of a core allows.
    pub fn max_scheduling_steps_per_s(&self) -> f64 {
        let policy_steps = self.policy.number(Setting::SchedulingStepRate, &[]);
        match self.cores {
            Some(cores) => policy_steps.min(cores * STEPS_PER_CORE),
            None => policy_steps,
        }
    }

    /// Returns the position of the team with this name.
    pub fn team(&self, name: &str) -> Option<usize> {
        self.teams.iter().position(|team| team.name == name)
    }
}

/// Converts a limit from a file, where zero stands for no limit. A team with neither a guarantee nor a limit gets the
/// capacity that the other teams leave.
pub(crate) fn zero_as_unlimited(limit: Resources) -> Resources {
    let or_unlimited = |amount: i64| if amount == 0 { UNLIMITED } else { amount };
    Resources {
        cpu: or_unlimited(limit.cpu),
        gpu: or_unlimited(limit.gpu),
        memory: 0,
    }
}

#[cfg(test)]
pub(crate) mod tests;
