//! Form of the settings file: field names, sections and defaults.
//!
//! Values are not checked here, but in [`super::validation`]. Numbers are in the units that end the field names.

use serde::Deserialize;

/// The whole settings file. Unknown fields are ignored, so that an older release can read a newer file.
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

/// Addresses of the cloud and of the state service.
#[derive(Deserialize)]
pub struct Outside {
    pub cloud: String,
    pub state: String,
}

/// Settings that all controllers of the cluster share.
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

/// A team's guarantees and limits; a limit of zero stands for no limit.
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

/// Service level objective.
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

/// Defines a section of numbers, each with the default that applies if the file does not name the number.
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

// Times that apply to workers.
section!(Workers {
    report_s: 2.0,
    lease_s: 15.0,
    gang_wait_s: 60.0,
    gang_peer_s: 5.0,
    cancel_s: 40.0,
});

/// Limits of the state service.
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

/// Limits that the state service will switch to. Limits that are not named stay as they are.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct NextState {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<f64>,
}

// Limits of the cloud.
section!(Cloud {
    rps: 3.0,
    list_lag_s: 5.0
});

/// Maximum resources that one controller may use of its machine.
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
