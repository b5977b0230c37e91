//! The settings file as it is written: field names, sections and defaults.
//!
//! Nothing here is checked; [`super::validation`] does that. Numbers are in the units that the names end with.

use serde::Deserialize;

/// The whole file. Fields that are not known are ignored, so that a newer file can be read by an older release.
#[derive(Deserialize)]
pub struct File {
    pub host_name: String,
    #[serde(default)]
    pub area: String,
    pub bind: String,
    pub cluster_listen: String,
    #[serde(default)]
    pub siblings: Vec<Sibling>,
    pub outside: Outside,
    #[serde(default)]
    pub cluster: Cluster,
}

/// Another controller of the cluster.
#[derive(Deserialize)]
pub struct Sibling {
    pub host_name: String,
    #[serde(default)]
    pub area: String,
    pub peer_addr: String,
}

/// The addresses of the other services.
#[derive(Deserialize)]
pub struct Outside {
    pub cloud: String,
    pub state: String,
}

/// What all controllers of the cluster share.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Cluster {
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: State,
    pub cloud: Cloud,
    pub quota: Quota,
}

/// A team's guarantees, and its limits where they are not zero.
#[derive(Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service level objective.
#[derive(Deserialize)]
pub struct Objective {
    pub kind: String,
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: f64,
    #[serde(default)]
    pub share: f64,
    #[serde(default = "one")]
    pub times: f64,
}

fn one() -> f64 {
    1.0
}

/// A section of numbers, each with the default that holds where the file does not name it.
macro_rules! section {
    ($name:ident { $($field:ident: $default:expr),* $(,)? }) => {
        #[derive(Deserialize)]
        #[serde(default)]
        pub struct $name { $(pub $field: f64),* }
        impl Default for $name {
            fn default() -> Self { $name { $($field: $default),* } }
        }
    };
}

// Times that concern workers.
section!(Workers {
    report_s: 2.0,
    lease_s: 15.0,
    gang_wait_s: 60.0,
    gang_peer_s: 5.0,
    cancel_s: 40.0,
});

/// The limits of the state service.
#[derive(Deserialize)]
#[serde(default)]
pub struct State {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: f64,
    pub next: NextState,
}

impl Default for State {
    fn default() -> State {
        State {
            rps: 100.0,
            write_rps: 40.0,
            value_kb: 16.0,
            txn_ops: 16.0,
            next: NextState::default(),
        }
    }
}

/// The limits that the state service will go over to; those not named stay as they are.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct NextState {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<f64>,
}

// The limits of the cloud.
section!(Cloud {
    rps: 3.0,
    list_lag_s: 5.0
});

/// What one controller may use of its machine.
#[derive(Deserialize)]
#[serde(default)]
pub struct Quota {
    pub max_connections: f64,
    pub cores: Option<f64>,
    pub memory_mb: f64,
}

impl Default for Quota {
    fn default() -> Quota {
        Quota {
            max_connections: 1000.0,
            cores: None,
            memory_mb: 512.0,
        }
    }
}
