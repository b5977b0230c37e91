//! Operators of the world: they change the configuration, and the checker knows what may hold at any time.

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

/// By when no controller acts by an older version, and how long workers fetch the image of what they are told to launch.
const EVERYWHERE: u64 = 7 * SECOND;
const FETCH: u64 = SECOND;
/// How late an answer may be that a worker still takes.
pub const ANSWER: u64 = 4 * SECOND;

/// A version that was stored.
#[derive(Debug)]
pub struct Changed {
    /// By when the version before is acted on no more.
    by: u64,
    /// Teams' limits in processors.
    limits: BTreeMap<String, f64>,
}

/// A team of a document.
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
    /// Stores a document as the next version; in force everywhere within seven seconds, unless `late` more pass, as in an
    /// outage. Returns its number.
    pub fn configure(&mut self, wanted: Document, late: u64) -> u64 {
        let base = self.settings[0].clone();
        let document = self.document.followed_by(wanted, &base);
        let effective = document
            .effective(&base, &base)
            .expect("the test's document is valid");
        let parts = split_document(&document, base.value_bytes).expect("it fits");
        let version = self.changes.len() as u64 + 1;
        let record = VersionRecord {
            version,
            id: format!("{version}-story"),
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
        history.push(record.clone(), base.value_bytes);
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
            "the operator's transaction"
        );
        let limits = effective.teams.iter().filter(|t| !t.closed);
        let limits = limits
            .map(|t| (t.name.clone(), t.limit.cpu as f64 / 1000.0))
            .collect();
        self.changes.push(Changed {
            by: self.now + EVERYWHERE + FETCH + self.answers_late + late,
            limits,
        });
        self.document = document;
        version
    }

    /// While the state service answers nobody, a version that no controller has heard of cannot be in force.
    pub fn wait_out(&mut self, step: u64) {
        let now = self.now;
        if self.state.down {
            self.changes
                .iter_mut()
                .filter(|c| c.by > now)
                .for_each(|c| c.by += step);
        }
    }

    /// The number of the last version; 0: none was ever stored.
    pub fn last_version(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Limits of a team that a controller may go by now, or that a task which starts now was launched under. A removed
    /// team has the last one.
    fn limits_of(&self, team: &str) -> Vec<f64> {
        let base = self.settings[0].teams.iter().find(|t| t.name == team);
        let mut limit = base.map_or(0.0, |t| t.limit.cpu as f64 / 1000.0);
        let mut limits = Vec::new();
        for change in &self.changes {
            if change.by > self.now {
                limits.push(limit);
            }
            limit = change.limits.get(team).copied().unwrap_or(limit);
        }
        limits.push(limit);
        limits
    }

    /// The most that a team may use now.
    pub fn most_allowed(&self, team: &str) -> f64 {
        self.limits_of(team).into_iter().fold(0.0, f64::max)
    }

    /// What a team may use under any of the versions that may be acted on now.
    pub fn surely_allowed(&self, team: &str) -> f64 {
        self.limits_of(team)
            .into_iter()
            .fold(f64::INFINITY, f64::min)
    }

    /// The version in force at each controller that is there, and whether it may be acted on.
    pub fn versions(&self) -> Vec<ConfigurationState> {
        self.nodes
            .iter()
            .filter_map(|n| Some(n.controller.as_ref()?.configuration()))
            .collect()
    }

    /// This version is in force at all controllers that are there.
    pub fn in_force(&self, version: u64) -> bool {
        self.versions()
            .into_iter()
            .all(|state| state.version == version && state.is_fresh)
    }

    /// No controller that is there would act by another version than this.
    pub fn none_older(&self, version: u64) -> bool {
        self.versions()
            .into_iter()
            .all(|state| state.version == version || !state.is_fresh)
    }
}
