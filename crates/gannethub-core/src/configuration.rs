//! Configuration that operators change while the service runs: a versioned document on top of the platform's settings
//! file. Here is what a document may say, how it is checked, and what comes of it; controllers follow its versions.
//!
//! A document holds the whole of what operators have changed, so one version needs no other to be understood. What it
//! does not name is as the platform's file has it. What would touch the timing of a safety argument, or needs other
//! addresses, cannot be said in it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::model::{Resources, Team, micros_from_seconds};
use crate::policy::{Policy, Setting};
use crate::settings::{Objective, Settings, unlimited};

/// The most teams that there may be at once, removed ones with jobs left included.
pub const MOST_TEAMS: usize = 2000;
const MOST_AMOUNT: f64 = 1e9;
const MOST_NAME: usize = 128;

/// Policy settings that take a restart, and why.
const FIXED: [(Setting, &str, &str); 3] = [
    (
        Setting::Grant,
        "grant_s",
        "leases in use were counted by it",
    ),
    (
        Setting::Blocks,
        "blocks",
        "machines would have to change blocks while limits do",
    ),
    (
        Setting::BlockChunk,
        "block_chunk",
        "it shapes records that are being written",
    ),
];

/// What operators have changed, as it is stored and as their files say it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Teams that are new, or that differ from the platform's file.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamEntry>,
    /// All objectives, in the place of the platform's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub objectives: Option<Vec<ObjectiveEntry>>,
    /// Policy settings, in the place of those of the same names.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub policy: Option<String>,
    /// What becomes of tasks that run above a limit which is lowered.
    #[serde(skip_serializing_if = "OverLimit::is_run")]
    pub over_limit: OverLimit,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OverLimit {
    /// They finish.
    #[default]
    Run,
    /// They are stopped, those that have run least first.
    Stop,
}

impl OverLimit {
    fn is_run(&self) -> bool {
        *self == OverLimit::Run
    }
}

/// A team's guarantee and limit, in processors and cards; a limit of 0 is none.
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
    pub removed: bool,
}

fn is_zero(x: &f64) -> bool {
    *x == 0.0
}

fn is_false(x: &bool) -> bool {
    !x
}

/// What users expect of a class of jobs, as in the platform's file.
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

/// Why a document cannot be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct DocumentError {
    pub field: String,
    pub reason: String,
}

fn wrong<T>(field: impl Into<String>, reason: impl Into<String>) -> Result<T, DocumentError> {
    Err(DocumentError {
        field: field.into(),
        reason: reason.into(),
    })
}

impl Document {
    /// The document that follows this one when operators want `wanted`: teams that are named no more are removed, unless
    /// the platform's file has them, and removed ones keep their last limit.
    pub fn followed_by(&self, mut wanted: Document, base: &Settings) -> Document {
        let named: BTreeSet<String> = wanted.teams.iter().map(|t| t.name.clone()).collect();
        let dropped = self.teams.iter().filter(|t| !named.contains(&t.name));
        let dropped = dropped.filter(|t| base.team(&t.name).is_none());
        wanted.teams.extend(dropped.map(TeamEntry::removed));
        for team in wanted.teams.iter_mut().filter(|t| t.removed) {
            let last = self.teams.iter().find(|t| t.name == team.name);
            if let Some(last) = last {
                *team = last.removed();
            } else if let Some(index) = base.team(&team.name) {
                *team = TeamEntry::of(&base.teams[index]).removed();
            }
        }
        wanted
    }

    /// The settings that this document makes of the platform's. `running`: the settings in force, whose teams keep their
    /// numbers; teams that neither the file nor the document names any more are closed.
    pub fn effective(
        &self,
        base: &Settings,
        running: &Settings,
    ) -> Result<Settings, DocumentError> {
        let mut settings = base.clone();
        settings.teams = running.teams.clone();
        for team in &mut settings.teams {
            match base.teams.iter().find(|t| t.name == team.name) {
                Some(platforms) => team.clone_from(platforms),
                None => team.close(),
            }
        }
        let mut names = BTreeSet::new();
        for (i, entry) in self.teams.iter().enumerate() {
            let team = entry.team(&format!("teams[{i}]"))?;
            if !names.insert(entry.name.as_str()) {
                return wrong(
                    format!("teams[{i}].name"),
                    format!("{:?} appears twice", entry.name),
                );
            }
            match settings.teams.iter_mut().find(|t| t.name == team.name) {
                Some(known) => *known = team,
                None => settings.teams.push(team),
            }
        }
        if settings.teams.len() > MOST_TEAMS {
            let count = settings.teams.len();
            return wrong("teams", format!("{count} are more than {MOST_TEAMS}"));
        }
        if let Some(objectives) = &self.objectives {
            let checked = objectives.iter().enumerate().map(|(i, o)| o.objective(i));
            settings.objectives = checked.collect::<Result<_, _>>()?;
        }
        if let Some(text) = &self.policy {
            settings.policy = policy(text, &base.policy)?;
        }
        self.fits_the_service(base, &settings)?;
        Ok(settings)
    }

    /// Where limits are divided among blocks, or a ledger is kept, teams are part of what other records say.
    fn fits_the_service(&self, base: &Settings, settings: &Settings) -> Result<(), DocumentError> {
        let blocks = base.policy.number(Setting::Blocks, &[]) as u32;
        if blocks > 1 && settings.teams != base.teams {
            return wrong(
                "teams",
                "limits are divided among blocks; a restart is needed",
            );
        }
        let unknown = |t: &&Team| base.team(&t.name).is_none();
        if let Some(team) = settings
            .teams
            .iter()
            .find(unknown)
            .filter(|_| base.ledger.is_some())
        {
            let why = format!(
                "the ledger has no team {:?}; a restart is needed",
                team.name
            );
            return wrong("teams", why);
        }
        Ok(())
    }
}

impl TeamEntry {
    /// A team as it would be written.
    pub fn of(team: &Team) -> TeamEntry {
        let cpus = |milli: i64| {
            if milli >= crate::model::UNLIMITED {
                0.0
            } else {
                milli as f64 / 1e3
            }
        };
        TeamEntry {
            name: team.name.clone(),
            cpus: cpus(team.guarantee.cpu),
            cpus_max: cpus(team.limit.cpu),
            gpus: cpus(team.guarantee.gpu),
            gpus_max: cpus(team.limit.gpu),
            removed: team.closed,
        }
    }

    fn removed(&self) -> TeamEntry {
        TeamEntry {
            cpus: 0.0,
            gpus: 0.0,
            removed: true,
            ..self.clone()
        }
    }

    fn team(&self, at: &str) -> Result<Team, DocumentError> {
        if self.name.is_empty() || self.name.len() > MOST_NAME {
            return wrong(
                format!("{at}.name"),
                format!("must have 1 to {MOST_NAME} bytes"),
            );
        }
        let amounts = [
            ("cpus", self.cpus, self.cpus_max),
            ("gpus", self.gpus, self.gpus_max),
        ];
        for (field, guarantee, limit) in amounts {
            for (field, x) in [
                (field.to_string(), guarantee),
                (format!("{field}_max"), limit),
            ] {
                if !(0.0..=MOST_AMOUNT).contains(&x) {
                    return wrong(
                        format!("{at}.{field}"),
                        format!("{x} is not a usable amount"),
                    );
                }
            }
            // No limit is above any guarantee.
            if limit > 0.0 && guarantee > limit {
                let why = format!("the guarantee {guarantee} is above the limit {limit}");
                return wrong(format!("{at}.{field}"), why);
            }
        }
        let guarantee = Resources::new(self.cpus, self.gpus, 0.0);
        let limit = unlimited(Resources::new(self.cpus_max, self.gpus_max, 0.0));
        let team = Team {
            name: self.name.clone(),
            guarantee,
            limit,
            closed: false,
        };
        Ok(if self.removed { team.closed() } else { team })
    }
}

impl ObjectiveEntry {
    fn objective(&self, index: usize) -> Result<Objective, DocumentError> {
        let amounts = [
            ("within_s", self.within_s),
            ("share", self.share),
            ("times", self.times),
        ];
        if let Some((field, x)) = amounts
            .iter()
            .find(|(_, x)| !(0.0..=MOST_AMOUNT).contains(x))
        {
            let why = format!("{x} is not a usable amount");
            return wrong(format!("objectives[{index}].{field}"), why);
        }
        Ok(Objective {
            kind: self.kind.clone(),
            class: self.class.clone(),
            within: micros_from_seconds(self.within_s),
            share: self.share,
            times: self.times,
        })
    }
}

/// The policy of a document on top of the platform's.
fn policy(text: &str, base: &Policy) -> Result<Policy, DocumentError> {
    let named = Policy::named(text);
    for (_, name, why) in FIXED {
        if named.iter().any(|n| n == name) {
            return wrong("policy", format!("{name} takes a restart: {why}"));
        }
    }
    base.overlaid(text)
        .or_else(|e| wrong("policy", e.to_string()))
}

impl Team {
    /// The same team, removed.
    fn closed(mut self) -> Team {
        self.close();
        self
    }

    fn close(&mut self) {
        self.closed = true;
        self.guarantee = Resources::default();
    }
}

#[cfg(test)]
mod tests;
