//! Configuration changes by operators, and the team limits that the checker allows at any time.

use std::collections::BTreeMap;

use gannethub_core::configuration::{Document, TeamEntry};
use gannethub_core::controller::ConfigurationState;
use gannethub_core::wire::configuration::{
    CURRENT_VERSION_KEY, HISTORY_KEY, HistoryRecord, VersionRecord, split_document,
};
use gannethub_core::wire::store::{Transaction, to_raw_value};
use gannethub_emulators::state::Outcome;
use serde_json::Value;

use super::{SECOND, World};

/// Maximum time until no controller acts on an older version.
const ROLLOUT_TIME: u64 = 7 * SECOND;
/// Time that a worker takes to fetch the image of a task before the task starts.
const FETCH_TIME: u64 = SECOND;
/// Maximum age of a controller's answer that a worker still accepts.
pub const MAX_ANSWER_DELAY: u64 = 4 * SECOND;

/// A configuration version that an operator has stored.
#[derive(Debug)]
pub struct StoredVersion {
    /// Time from which no controller acts on the previous version any more, and no task that was launched under it
    /// starts.
    predecessor_ends_at: u64,
    /// Teams' limits in CPUs.
    limits: BTreeMap<String, f64>,
}

/// Returns a team entry for a configuration document.
pub fn team(name: &str, cpus: f64, cpus_max: f64) -> TeamEntry {
    let (gpus, gpus_max) = (2.0, 8.0);
    TeamEntry {
        name: name.into(),
        cpus,
        cpus_max,
        gpus,
        gpus_max,
        removed: false,
    }
}

pub fn teams(teams: Vec<TeamEntry>) -> Document {
    Document {
        teams,
        ..Document::default()
    }
}

impl World {
    /// Stores a document as the next version and returns its number. The version must be in force at all controllers
    /// within seven seconds plus `late` microseconds, the allowance for an outage.
    pub fn store_configuration(&mut self, wanted: Document, late: u64) -> u64 {
        let base = self.settings[0].clone();
        let document = self.document.successor(wanted, &base);
        let effective = document
            .apply_to(&base, &base)
            .expect("the test's document is valid");
        let parts =
            split_document(&document, base.max_value_bytes).expect("the document fits into values");
        let version = self.config_versions.len() as u64 + 1;
        let record = VersionRecord {
            version,
            id: format!("{version}-tests"),
            parts: parts.len() as u32,
            ..VersionRecord::default()
        };
        let mut commit = Transaction::default();
        for (i, part) in parts.iter().enumerate() {
            commit.put(&record.part_key(i), to_raw_value(part), None);
        }
        let history = self
            .state
            .value(HISTORY_KEY)
            .cloned()
            .unwrap_or(Value::Null);
        let mut history: HistoryRecord = serde_json::from_value(history).unwrap_or_default();
        history.push(record.clone(), base.max_value_bytes);
        commit.put(CURRENT_VERSION_KEY, to_raw_value(&record), None);
        commit.put(HISTORY_KEY, to_raw_value(&history), None);
        let request = commit.to_request();
        let stored = self.state.handle(
            request.method.as_str(),
            &request.path,
            &request.body,
            self.now,
        );
        assert!(
            matches!(stored, Outcome::Answer(200, _)),
            "the operator's transaction was not stored"
        );
        let limits = effective.teams.iter().filter(|t| !t.is_removed);
        let limits = limits
            .map(|t| (t.name.clone(), t.limit.cpu as f64 / 1000.0))
            .collect();
        self.config_versions.push(StoredVersion {
            predecessor_ends_at: self.now
                + ROLLOUT_TIME
                + FETCH_TIME
                + self.max_answer_delay
                + late,
            limits,
        });
        self.document = document;
        version
    }

    /// Extends the rollout deadlines during an outage of the state service: controllers cannot learn of a new version
    /// while the state service does not answer.
    pub fn extend_rollouts_in_outage(&mut self, step: u64) {
        let now = self.now;
        if self.state.down {
            self.config_versions
                .iter_mut()
                .filter(|c| c.predecessor_ends_at > now)
                .for_each(|c| c.predecessor_ends_at += step);
        }
    }

    /// Returns the number of the last version, or 0 if no version was ever stored.
    pub fn last_version(&self) -> u64 {
        self.config_versions.len() as u64
    }

    /// Returns the limits, in CPUs, that a controller may apply to a team now, and those under which a task that
    /// starts now may have been launched. A removed team keeps its last limit.
    fn possible_limits(&self, team: &str) -> Vec<f64> {
        let base = self.settings[0].teams.iter().find(|t| t.name == team);
        let mut limit = base.map_or(0.0, |t| t.limit.cpu as f64 / 1000.0);
        let mut limits = Vec::new();
        for version in &self.config_versions {
            if version.predecessor_ends_at > self.now {
                limits.push(limit);
            }
            limit = version.limits.get(team).copied().unwrap_or(limit);
        }
        limits.push(limit);
        limits
    }

    /// Returns the largest limit of a team, in CPUs, under any version that may be acted on now.
    pub fn max_possible_limit(&self, team: &str) -> f64 {
        self.possible_limits(team).into_iter().fold(0.0, f64::max)
    }

    /// Returns the smallest limit of a team, in CPUs, under any version that may be acted on now. All of these versions
    /// allow usage up to this limit.
    pub fn min_possible_limit(&self, team: &str) -> f64 {
        self.possible_limits(team)
            .into_iter()
            .fold(f64::INFINITY, f64::min)
    }

    /// Returns the version in force at each running controller, and whether the controller may act on it.
    pub fn versions(&self) -> Vec<ConfigurationState> {
        self.nodes
            .iter()
            .filter_map(|n| Some(n.controller.as_ref()?.configuration()))
            .collect()
    }

    /// Whether this version is in force at all running controllers.
    pub fn in_force(&self, version: u64) -> bool {
        self.versions()
            .into_iter()
            .all(|state| state.version == version && state.is_fresh)
    }

    /// Whether no running controller would act on a version other than this one.
    pub fn no_other_version_in_force(&self, version: u64) -> bool {
        self.versions()
            .into_iter()
            .all(|state| state.version == version || !state.is_fresh)
    }
}
