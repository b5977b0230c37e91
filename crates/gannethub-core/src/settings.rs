//! The settings of the platform, the same for as long as a process runs except for what a version of the configuration
//! changes.
//!
//! [`Settings::parse`] reads the text of a settings file: `file` has its form, and `validation` turns that into
//! [`Settings`] or explains what is wrong.

mod file;
mod validation;

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::model::{Micros, Resources, Team, UNLIMITED};
use crate::policy::{Policy, Setting};

/// Scheduling steps that a whole processor makes in a quarter of its time, at half a microsecond each. Scheduling passes
/// take no more than that part of the controller's share, and planning as much: heartbeats, renewals and users have the
/// rest.
const STEPS_PER_CORE: f64 = 500_000.0;
/// How many CPUs a GPU counts as where the ledger's settings name no shares.
const CPUS_PER_GPU: f64 = 8.0;

/// Why a settings file cannot be used.
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

/// A service level objective: what users expect of a class of jobs, or of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    pub kind: String,
    /// The class of jobs that it is about; `None`: all.
    pub class: Option<String>,
    /// The time that it allows.
    pub within: Micros,
    /// The share of cases, 0 to 1, that have to meet it.
    pub share: f64,
    /// For deadlines: how many times the deadline counts as in time.
    pub times: f64,
}

/// The rates that the state service allows per second, of all controllers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    pub requests: f64,
    /// Puts and deletes.
    pub changes: f64,
}

/// Another controller of the cluster.
#[derive(Clone, Debug)]
pub struct Peer {
    pub name: String,
    pub zone: String,
    /// Where it listens for its peers.
    pub addr: SocketAddrV4,
}

/// The settings of one controller. Values come checked from [`Settings::parse`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// This controller's name, which no peer has.
    pub name: String,
    pub zone: String,
    /// Where users and workers connect to.
    pub listen: SocketAddrV4,
    /// Where peers connect to.
    pub cluster_listen: SocketAddrV4,
    /// The other controllers. Peer messages name them by their position here.
    pub peers: Vec<Peer>,
    pub cloud: SocketAddrV4,
    pub state: SocketAddrV4,
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    pub objectives: Vec<Objective>,
    /// A worker sends a heartbeat this often.
    pub heartbeat_interval: Micros,
    /// A worker stops its tasks when it sent its last answered heartbeat longer ago than this.
    pub lease_duration: Micros,
    /// A worker waits this long for the rest of a gang to be placed.
    pub gang_wait: Micros,
    /// The members of a gang notice within this time that one of them is gone.
    pub gang_peer: Micros,
    /// The tasks of a cancelled job have ended after this time at the latest, also where a worker cannot be reached.
    pub cancel_timeout: Micros,
    pub state_rates: Rates,
    /// The state service goes over to these without notice.
    pub state_rates_next: Rates,
    /// The largest value that the state service takes now and later.
    pub value_bytes: usize,
    /// The most operations that the state service takes in one transaction, now and later.
    pub txn_ops: usize,
    /// Requests that the cloud allows per second.
    pub cloud_rps: f64,
    /// How old what the cloud's listing says may be.
    pub list_lag: Micros,
    pub max_connections: usize,
    /// How many bytes of memory this controller may hold.
    pub memory_bytes: usize,
    /// The share of a processor that this controller has; `None`: unknown.
    pub cores: Option<f64>,
    /// The operators' own settings.
    pub policy: Policy,
    /// How a ledger is kept, if one is.
    pub ledger: Option<LedgerSetup>,
}

/// How a ledger is kept, and with which keys.
#[derive(Clone, Debug)]
pub struct LedgerSetup {
    pub settings: Arc<gannethub_ledger::Settings>,
    pub keys: Arc<gannethub_ledger::KeyRing>,
}

impl Settings {
    /// The teams, with what each is due in a ledger that names no shares: in proportion to its guarantee.
    pub fn dues(&self) -> Vec<(String, f64)> {
        let due =
            |guarantee: &Resources| guarantee.cpu as f64 + CPUS_PER_GPU * guarantee.gpu as f64;
        self.teams
            .iter()
            .map(|team| (team.name.clone(), due(&team.guarantee)))
            .collect()
    }

    /// How many steps scheduling may take per second: as many as the policy says, but no more than the controller's share
    /// of a processor allows.
    pub fn decide_steps(&self) -> f64 {
        let wanted = self.policy.number(Setting::DecideSteps, &[]);
        match self.cores {
            Some(cores) => wanted.min(cores * STEPS_PER_CORE),
            None => wanted,
        }
    }

    /// The position of the team with this name.
    pub fn team(&self, name: &str) -> Option<usize> {
        self.teams.iter().position(|team| team.name == name)
    }
}

/// The limit that a file means: there zero stands for no limit. A team without a guarantee and a limit gets what the
/// others leave.
pub(crate) fn unlimited(limit: Resources) -> Resources {
    let or_unlimited = |amount: i64| if amount == 0 { UNLIMITED } else { amount };
    Resources {
        cpu: or_unlimited(limit.cpu),
        gpu: or_unlimited(limit.gpu),
        memory: 0,
    }
}

#[cfg(test)]
pub(crate) mod tests;
