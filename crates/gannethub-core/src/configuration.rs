//! Configuration that operators change while the service runs: a versioned document on top of the platform's settings
//! file. This module defines the form of a document, checks a document, and applies it to the settings; controllers
//! follow the versions of the document.
//!
//! A document holds all changes that operators have made, so one version can be used without the others. Settings that
//! the document does not name have their values from the platform's file. The document has no fields for addresses, or
//! for times that safety depends on.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::model::{Resources, Team, UNLIMITED, micros_from_seconds};
use crate::policy::{Policy, Setting};
use crate::settings::{Objective, Settings, zero_as_unlimited};

/// Maximum number of teams, including removed teams, which keep their positions.
pub const MAX_TEAMS: usize = 2000;
/// Maximum of any amount in a document.
const MAX_AMOUNT: f64 = 1e9;
const MAX_NAME_BYTES: usize = 128;

/// Policy setting that cannot change while the service runs.
struct FixedSetting {
    name: &'static str,
    reason: &'static str,
}

const FIXED_SETTINGS: [FixedSetting; 3] = [
    FixedSetting {
        name: "grant_s",
        reason: "the expiry of leases in use was computed with it",
    },
    FixedSetting {
        name: "blocks",
        reason: "machines would have to move between blocks while limits change",
    },
    FixedSetting {
        name: "block_chunk",
        reason: "the layout of records that are being written depends on it",
    },
];

/// All configuration changes of operators, in the form in which operators write them and in which they are stored.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Teams that are new or differ from the platform's file.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamEntry>,
    /// All objectives, which replace the objectives of the platform's file.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub objectives: Option<Vec<ObjectiveEntry>>,
    /// Policy settings, which replace the platform's settings of the same names.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub policy: Option<String>,
    /// Treatment of running tasks that exceed a limit when the limit is lowered.
    #[serde(skip_serializing_if = "OverLimit::is_run")]
    pub over_limit: OverLimit,
}

/// Treatment of running tasks that exceed a limit when the limit is lowered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OverLimit {
    /// The tasks run until they finish.
    #[default]
    Run,
    /// The tasks are stopped, starting with those that have run for the shortest time.
    Stop,
}

impl OverLimit {
    fn is_run(&self) -> bool {
        *self == OverLimit::Run
    }
}

/// A team's guarantee and limit in CPUs and GPUs; a limit of 0 stands for no limit.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamEntry {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default, skip_serializing_if = "is_zero")]
    pub gpus: f64,
    #[serde(default, skip_serializing_if = "is_zero")]
    pub gpus_max: f64,
    #[serde(default, skip_serializing_if = "is_false")]
    /// Whether the team is removed. A removed team gets no new jobs, and its existing jobs finish.
    pub removed: bool,
}

fn is_zero(number: &f64) -> bool {
    *number == 0.0
}

fn is_false(flag: &bool) -> bool {
    !flag
}

/// Service level objective, in the same form as in the platform's file.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveEntry {
    pub kind: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
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

/// Reason why a document cannot be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct DocumentError {
    /// Path of the invalid field, such as `over_limit` or `teams[3].cpus`.
    pub field: String,
    pub reason: String,
}

fn invalid<T>(field: impl Into<String>, reason: impl Into<String>) -> Result<T, DocumentError> {
    Err(DocumentError {
        field: field.into(),
        reason: reason.into(),
    })
}

impl Document {
    /// Returns the document that follows this one when operators want `wanted`: teams that `wanted` no longer names are
    /// removed, unless the platform's file names them, and removed teams keep their last limit.
    pub fn successor(&self, mut wanted: Document, base: &Settings) -> Document {
        let named: BTreeSet<String> = wanted.teams.iter().map(|team| team.name.clone()).collect();
        let dropped = self
            .teams
            .iter()
            .filter(|team| !named.contains(&team.name) && base.team(&team.name).is_none());
        wanted.teams.extend(dropped.map(TeamEntry::to_removed));
        for team in wanted.teams.iter_mut().filter(|team| team.removed) {
            if let Some(last) = self.teams.iter().find(|last| last.name == team.name) {
                *team = last.to_removed();
            } else if let Some(index) = base.team(&team.name) {
                *team = TeamEntry::of(&base.teams[index]).to_removed();
            }
        }
        wanted
    }

    /// Returns the platform's settings, `base`, with this document applied. `current` are the settings in force, whose
    /// teams keep their positions; teams that neither the file nor the document names any more are removed.
    pub fn apply_to(&self, base: &Settings, current: &Settings) -> Result<Settings, DocumentError> {
        let mut settings = base.clone();
        settings.teams = self.effective_teams(base, current)?;
        if let Some(objectives) = &self.objectives {
            let entries = objectives.iter().enumerate();
            settings.objectives = entries
                .map(|(index, entry)| entry.objective(index))
                .collect::<Result<_, _>>()?;
        }
        if let Some(text) = &self.policy {
            settings.policy = overlay_policy(text, &base.policy)?;
        }
        check_team_changes(base, &settings)?;
        Ok(settings)
    }

    fn effective_teams(
        &self,
        base: &Settings,
        current: &Settings,
    ) -> Result<Vec<Team>, DocumentError> {
        let mut teams = current.teams.clone();
        for team in &mut teams {
            match base.team(&team.name) {
                Some(index) => team.clone_from(&base.teams[index]),
                None => team.close(),
            }
        }
        let mut names = BTreeSet::new();
        for (index, entry) in self.teams.iter().enumerate() {
            let team = entry.team(&format!("teams[{index}]"))?;
            if !names.insert(entry.name.as_str()) {
                let reason = format!("{:?} appears twice", entry.name);
                return invalid(format!("teams[{index}].name"), reason);
            }
            match teams.iter_mut().find(|known| known.name == team.name) {
                Some(known) => *known = team,
                None => teams.push(team),
            }
        }
        if teams.len() > MAX_TEAMS {
            let reason = format!("{} teams exceed the maximum of {MAX_TEAMS}", teams.len());
            return invalid("teams", reason);
        }
        Ok(teams)
    }
}

/// Refuses changes of teams that need a restart. If limits are divided among shards, or a ledger is kept, other records
/// depend on the teams.
fn check_team_changes(base: &Settings, settings: &Settings) -> Result<(), DocumentError> {
    let shards = base.policy.number(Setting::ShardCount, &[]) as u32;
    if shards > 1 && settings.teams != base.teams {
        return invalid(
            "teams",
            "cannot change while limits are divided among blocks; a restart is needed",
        );
    }
    if base.ledger.is_none() {
        return Ok(());
    }
    let mut teams = settings.teams.iter();
    match teams.find(|team| base.team(&team.name).is_none()) {
        Some(Team { name, .. }) => {
            let reason = format!("the ledger has no team {name:?}; a restart is needed");
            invalid("teams", reason)
        }
        None => Ok(()),
    }
}

fn check_amount(field: &str, amount: f64) -> Result<(), DocumentError> {
    if (0.0..=MAX_AMOUNT).contains(&amount) {
        Ok(())
    } else {
        invalid(field, format!("{amount} is not between 0 and {MAX_AMOUNT}"))
    }
}

impl TeamEntry {
    /// Returns the entry with the current values of a team.
    pub fn of(team: &Team) -> TeamEntry {
        let amount = |thousandths: i64| {
            if thousandths >= UNLIMITED {
                0.0
            } else {
                thousandths as f64 / 1e3
            }
        };
        TeamEntry {
            name: team.name.clone(),
            cpus: amount(team.guarantee.cpu),
            cpus_max: amount(team.limit.cpu),
            gpus: amount(team.guarantee.gpu),
            gpus_max: amount(team.limit.gpu),
            removed: team.is_removed,
        }
    }

    /// Returns the entry of the same team as removed. The team keeps its limit for the jobs that it still has.
    fn to_removed(&self) -> TeamEntry {
        TeamEntry {
            cpus: 0.0,
            gpus: 0.0,
            removed: true,
            ..self.clone()
        }
    }

    /// Checks the entry and converts it to a team. `path` is the path of the entry in errors.
    fn team(&self, path: &str) -> Result<Team, DocumentError> {
        if self.name.is_empty() || self.name.len() > MAX_NAME_BYTES {
            return invalid(
                format!("{path}.name"),
                format!("must have 1 to {MAX_NAME_BYTES} bytes"),
            );
        }
        check_quota(&format!("{path}.cpus"), self.cpus, self.cpus_max)?;
        check_quota(&format!("{path}.gpus"), self.gpus, self.gpus_max)?;
        let mut team = Team {
            name: self.name.clone(),
            guarantee: Resources::new(self.cpus, self.gpus, 0.0),
            limit: zero_as_unlimited(Resources::new(self.cpus_max, self.gpus_max, 0.0)),
            is_removed: false,
        };
        if self.removed {
            team.close();
        }
        Ok(team)
    }
}

/// Checks a team's guarantee and limit of one resource. A limit of zero stands for no limit and allows any guarantee.
fn check_quota(field: &str, guarantee: f64, limit: f64) -> Result<(), DocumentError> {
    check_amount(field, guarantee)?;
    check_amount(&format!("{field}_max"), limit)?;
    if limit > 0.0 && guarantee > limit {
        let reason = format!("the guarantee {guarantee} is above the limit {limit}");
        return invalid(field, reason);
    }
    Ok(())
}

impl ObjectiveEntry {
    /// Checks the entry and converts it to an objective. `index` is the position of the entry in errors.
    fn objective(&self, index: usize) -> Result<Objective, DocumentError> {
        let field = |name: &str| format!("objectives[{index}].{name}");
        check_amount(&field("within_s"), self.within_s)?;
        check_amount(&field("share"), self.share)?;
        check_amount(&field("times"), self.times)?;
        Ok(Objective {
            kind: self.kind.clone(),
            class: self.class.clone(),
            within: micros_from_seconds(self.within_s),
            share: self.share,
            deadline_factor: self.times,
        })
    }
}

/// Returns the platform's policy with the policy settings of a document applied.
fn overlay_policy(text: &str, base: &Policy) -> Result<Policy, DocumentError> {
    let setting_names = Policy::setting_names(text);
    for FixedSetting { name, reason } in FIXED_SETTINGS {
        if setting_names.iter().any(|setting| setting == name) {
            return invalid("policy", format!("{name} needs a restart: {reason}"));
        }
    }
    base.with_overrides(text)
        .or_else(|error| invalid("policy", error.to_string()))
}

impl Team {
    /// Ends the team's guarantee and refuses it new jobs.
    fn close(&mut self) {
        self.is_removed = true;
        self.guarantee = Resources::default();
    }
}

#[cfg(test)]
mod tests;
