//! The platform's settings file: read, checked, and explained when wrong.

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::sync::Arc;

use serde::Deserialize;

use crate::model::{Micros, Resources, Team, UNLIMITED, micros_from_seconds};
use crate::policy::{Policy, Setting};

/// What a controller may have of a processor: with less than a thousandth it would answer nobody in time.
const CORES: (f64, f64) = (0.001, 1024.0);
/// What it may hold: with less than this there is no room for its sockets and one answer of the state service.
const MEGABYTES: (f64, f64) = (16.0, 1_048_576.0);
/// Steps of deciding that a whole processor makes in a quarter of its time, at half a microsecond each. Passes take no
/// more than that part of the share, and plans as much: reports, renewals and users have the rest.
const STEPS_A_CORE: f64 = 500_000.0;

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

/// What users expect of a class of jobs, or of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    pub kind: String,
    pub class: Option<String>,
    pub within: Micros,
    pub share: f64,
    /// For deadlines: how many times the deadline counts as in time.
    pub times: f64,
}

/// What the state service allows a second, all controllers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    pub requests: f64,
    pub changes: f64,
}

#[derive(Clone, Debug)]
pub struct Peer {
    pub name: String,
    pub zone: String,
    pub addr: SocketAddrV4,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    pub zone: String,
    pub listen: SocketAddrV4,
    pub cluster_listen: SocketAddrV4,
    pub peers: Vec<Peer>,
    pub cloud: SocketAddrV4,
    pub state: SocketAddrV4,
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    pub objectives: Vec<Objective>,
    pub heartbeat_interval: Micros,
    pub lease_duration: Micros,
    pub gang_wait: Micros,
    pub gang_peer: Micros,
    pub cancel_timeout: Micros,
    pub state_rates: Rates,
    /// The state service goes over to these without notice.
    pub state_rates_next: Rates,
    pub value_bytes: usize,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag: Micros,
    pub max_connections: usize,
    /// How many bytes this controller may hold.
    pub memory_bytes: usize,
    /// The share of a processor that this controller has; `None`: it is not told.
    pub cores: Option<f64>,
    /// The operators' own settings.
    pub policy: Policy,
    /// Where a ledger is kept: how, and with which keys.
    pub ledger: Option<LedgerSetup>,
}

/// What the ledger goes by.
#[derive(Clone, Debug)]
pub struct LedgerSetup {
    pub settings: Arc<gannethub_ledger::Settings>,
    pub keys: Arc<gannethub_ledger::KeyRing>,
}

mod raw {
    use super::Deserialize;

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

    #[derive(Deserialize)]
    pub struct Sibling {
        pub host_name: String,
        #[serde(default)]
        pub area: String,
        pub peer_addr: String,
    }

    #[derive(Deserialize)]
    pub struct Outside {
        pub cloud: String,
        pub state: String,
    }

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

    section!(Workers {
        report_s: 2.0,
        lease_s: 15.0,
        gang_wait_s: 60.0,
        gang_peer_s: 5.0,
        cancel_s: 40.0,
    });
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
            let next = NextState::default();
            State {
                rps: 100.0,
                write_rps: 40.0,
                value_kb: 16.0,
                txn_ops: 16.0,
                next,
            }
        }
    }

    #[derive(Deserialize, Default)]
    #[serde(default)]
    pub struct NextState {
        pub rps: Option<f64>,
        pub write_rps: Option<f64>,
        pub value_kb: Option<f64>,
        pub txn_ops: Option<f64>,
    }

    section!(Cloud {
        rps: 3.0,
        list_lag_s: 5.0
    });

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
}

impl Settings {
    /// Checks a settings file's text. The second part of the result lists what is odd but usable.
    /// `file` is its name in what is said of it.
    pub fn parse(text: &str, file: &str) -> Result<(Settings, Vec<String>), SettingsError> {
        let raw: raw::File = toml::from_str(text).map_err(|e| SettingsError::Parse {
            file: file.to_string(),
            reason: e.to_string().trim_end().to_string(),
        })?;
        Check {
            file,
            warnings: Vec::new(),
        }
        .settings(raw)
    }

    /// The teams, with what each is due in a ledger that names none: in proportion to its guarantee.
    pub fn dues(&self) -> Vec<(String, f64)> {
        let due = |t: &Team| {
            (
                t.name.clone(),
                t.guarantee.cpu as f64 + 8.0 * t.guarantee.gpu as f64,
            )
        };
        self.teams.iter().map(due).collect()
    }

    /// How many steps a second deciding may take: what policy says, but no more than the share of a processor allows.
    pub fn decide_steps(&self) -> f64 {
        let wanted = self.policy.number(Setting::DecideSteps, &[]);
        self.cores
            .map_or(wanted, |cores| wanted.min(cores * STEPS_A_CORE))
    }

    pub fn team(&self, name: &str) -> Option<usize> {
        self.teams.iter().position(|t| t.name == name)
    }
}

/// In the settings file a limit of zero means that there is none: a guest team has no guarantee,
/// no limit, and what others leave.
pub(crate) fn unlimited(limit: Resources) -> Resources {
    let none = |x: i64| if x == 0 { UNLIMITED } else { x };
    Resources {
        cpu: none(limit.cpu),
        gpu: none(limit.gpu),
        memory: 0,
    }
}

struct Check<'a> {
    file: &'a str,
    warnings: Vec<String>,
}

impl Check<'_> {
    fn bad<T>(&self, field: &str, reason: impl Into<String>) -> Result<T, SettingsError> {
        Err(SettingsError::Field {
            file: self.file.to_string(),
            field: field.to_string(),
            reason: reason.into(),
        })
    }

    fn addr(&self, field: &str, text: &str) -> Result<SocketAddrV4, SettingsError> {
        match text.parse::<SocketAddrV4>() {
            Ok(a) if a.port() != 0 => Ok(a),
            _ => self.bad(
                field,
                format!("{text:?} is not an IPv4 address with a port"),
            ),
        }
    }

    fn amount(&self, field: &str, x: f64) -> Result<f64, SettingsError> {
        if x.is_finite() && (0.0..=1e9).contains(&x) {
            Ok(x)
        } else {
            self.bad(field, format!("{x} is not a usable amount"))
        }
    }

    fn positive(&self, field: &str, x: f64) -> Result<f64, SettingsError> {
        if self.amount(field, x)? > 0.0 {
            Ok(x)
        } else {
            self.bad(field, "must be above zero")
        }
    }

    fn within(&self, field: &str, x: f64, (least, most): (f64, f64)) -> Result<f64, SettingsError> {
        if (least..=most).contains(&x) {
            Ok(x)
        } else {
            self.bad(field, format!("{x} is not between {least} and {most}"))
        }
    }

    fn name(&self, field: &str, x: &str) -> Result<String, SettingsError> {
        if x.is_empty() {
            self.bad(field, "must not be empty")
        } else {
            Ok(x.to_string())
        }
    }

    fn settings(mut self, raw: raw::File) -> Result<(Settings, Vec<String>), SettingsError> {
        let name = self.name("host_name", &raw.host_name)?;
        let mut names = HashSet::from([name.clone()]);
        let mut siblings = Vec::new();
        for (i, s) in raw.siblings.iter().enumerate() {
            let at = |f: &str| format!("siblings[{i}].{f}");
            if s.host_name == name {
                return self.bad(&at("host_name"), "is this controller's own name");
            }
            if !names.insert(s.host_name.clone()) {
                return self.bad(&at("host_name"), format!("{:?} appears twice", s.host_name));
            }
            siblings.push(Peer {
                name: self.name(&at("host_name"), &s.host_name)?,
                zone: s.area.clone(),
                addr: self.addr(&at("peer_addr"), &s.peer_addr)?,
            });
        }
        let c = raw.cluster;
        if !c.zones.is_empty() {
            let own = std::iter::once((&raw.host_name, &raw.area));
            let all = own.chain(raw.siblings.iter().map(|s| (&s.host_name, &s.area)));
            for (n, z) in all.filter(|(_, z)| !c.zones.contains(z)) {
                self.warnings
                    .push(format!("controller {n} is in the unlisted zone {z:?}"));
            }
        }
        let mut teams: Vec<Team> = Vec::new();
        for (i, t) in c.teams.iter().enumerate() {
            let at = |f: &str| format!("cluster.teams[{i}].{f}");
            if teams.iter().any(|x| x.name == t.name) {
                return self.bad(&at("name"), format!("{:?} appears twice", t.name));
            }
            let team = Team {
                name: self.name(&at("name"), &t.name)?,
                guarantee: Resources::new(
                    self.amount(&at("cpus"), t.cpus)?,
                    self.amount(&at("gpus"), t.gpus)?,
                    0.0,
                ),
                limit: unlimited(Resources::new(
                    self.amount(&at("cpus_max"), t.cpus_max)?,
                    self.amount(&at("gpus_max"), t.gpus_max)?,
                    0.0,
                )),
                closed: false,
            };
            if !Team::within(&team.limit, &Resources::default(), &team.guarantee) {
                self.warnings
                    .push(format!("team {}: the guarantee is above the limit", t.name));
            }
            teams.push(team);
        }
        if teams.is_empty() {
            self.warnings
                .push("no teams: every submission will be refused".into());
        }
        let mut objectives = Vec::new();
        for (i, o) in c.objectives.iter().enumerate() {
            let at = |f: &str| format!("cluster.objectives[{i}].{f}");
            objectives.push(Objective {
                kind: o.kind.clone(),
                class: o.class.clone(),
                within: micros_from_seconds(self.amount(&at("within_s"), o.within_s)?),
                share: self.amount(&at("share"), o.share)?,
                times: self.amount(&at("times"), o.times)?,
            });
        }
        // The state service goes over to its next limits without notice. What it would call too
        // large is never written; rates are kept to once it has been heard of.
        let both = |check: &Self, name: &str, now: f64, next: Option<f64>| {
            let now = check.positive(&format!("cluster.state.{name}"), now)?;
            let next = next.map(|x| check.positive(&format!("cluster.state.next.{name}"), x));
            Ok::<f64, SettingsError>(next.transpose()?.map_or(now, |next| next.min(now)))
        };
        let (state, next) = (&c.state, &c.state.next);
        let w = &c.workers;
        let duration =
            |check: &Self, f: &str, x: f64| check.positive(f, x).map(micros_from_seconds);
        let settings = Settings {
            name,
            zone: raw.area,
            listen: self.addr("bind", &raw.bind)?,
            cluster_listen: self.addr("cluster_listen", &raw.cluster_listen)?,
            peers: siblings,
            cloud: self.addr("outside.cloud", &raw.outside.cloud)?,
            state: self.addr("outside.state", &raw.outside.state)?,
            zones: c.zones,
            teams,
            objectives,
            heartbeat_interval: duration(&self, "cluster.workers.report_s", w.report_s)?,
            lease_duration: duration(&self, "cluster.workers.lease_s", w.lease_s)?,
            gang_wait: duration(&self, "cluster.workers.gang_wait_s", w.gang_wait_s)?,
            gang_peer: duration(&self, "cluster.workers.gang_peer_s", w.gang_peer_s)?,
            cancel_timeout: duration(&self, "cluster.workers.cancel_s", w.cancel_s)?,
            state_rates: Rates {
                requests: both(&self, "rps", state.rps, None)?,
                changes: both(&self, "write_rps", state.write_rps, None)?,
            },
            state_rates_next: Rates {
                requests: both(&self, "rps", state.rps, next.rps)?,
                changes: both(&self, "write_rps", state.write_rps, next.write_rps)?,
            },
            value_bytes: (both(&self, "value_kb", state.value_kb, next.value_kb)? * 1024.0)
                as usize,
            txn_ops: both(&self, "txn_ops", state.txn_ops, next.txn_ops)? as usize,
            cloud_rps: self.positive("cluster.cloud.rps", c.cloud.rps)?,
            list_lag: micros_from_seconds(
                self.amount("cluster.cloud.list_lag_s", c.cloud.list_lag_s)?,
            ),
            max_connections: self
                .positive("cluster.quota.max_connections", c.quota.max_connections)?
                as usize,
            memory_bytes: (self.within("cluster.quota.memory_mb", c.quota.memory_mb, MEGABYTES)?
                * 1024.0
                * 1024.0) as usize,
            cores: c
                .quota
                .cores
                .map(|x| self.within("cluster.quota.cores", x, CORES))
                .transpose()?,
            policy: Policy::default(),
            ledger: None,
        };
        if settings.value_bytes < 2048 {
            return self.bad("cluster.state.value_kb", "below 2 KiB no job fits");
        }
        if settings.txn_ops < 2 {
            return self.bad(
                "cluster.state.txn_ops",
                "a takeover writes two keys at once",
            );
        }
        if settings.cancel_timeout < settings.lease_duration {
            self.warnings.push(
                "cancel_s is below lease_s: a silent machine may keep cancelled tasks too long"
                    .into(),
            );
        }
        Ok((settings, self.warnings))
    }
}

#[cfg(test)]
pub(crate) mod tests;
