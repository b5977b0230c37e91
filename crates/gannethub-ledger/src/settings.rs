//! The ledger's own settings file: read, checked, and explained when wrong.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::decay::HalfLife;
use crate::line::ResourceAmounts;
use crate::{Micros, SECOND};

/// Why a settings file cannot be used.
#[derive(Debug, PartialEq, thiserror::Error)]
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

/// What a team is due, and how its usage decays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamShare {
    /// Its part of all usage; all teams' together make one.
    pub share: f64,
    pub half_life: HalfLife,
}

/// Shares are given to so many decimals.
const ROUNDING: f64 = 1e-6;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where the keys are, relative to the place the program runs in.
    pub keys: String,
    /// By team, every one of the platform's.
    pub teams: BTreeMap<String, TeamShare>,
    /// What a thousandth of a CPU, of a GPU and of a GB counts in usage, in thousandths.
    pub resource_weights: ResourceAmounts,
    /// Charges are written this often at least.
    pub write_interval: Micros,
    /// Pages are kept at least this long. Zero: for ever.
    pub retention: Micros,
    /// A balance is written after so many pages, or after more if it takes many itself.
    pub balance_pages: u64,
    /// How far two controllers' times of day may be apart.
    pub max_clock_offset: Micros,
}

mod raw {
    use super::Deserialize;

    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct File {
        pub keys: String,
        pub half_life_s: f64,
        #[serde(default)]
        pub teams: Vec<Team>,
        #[serde(default)]
        pub cost: Cost,
        #[serde(default = "two")]
        pub every_s: f64,
        #[serde(default)]
        pub retention_s: f64,
        #[serde(default = "pages")]
        pub balance_pages: u64,
        #[serde(default = "two")]
        pub clock_off_s: f64,
    }

    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Team {
        pub name: String,
        pub share: f64,
        pub half_life_s: Option<f64>,
    }

    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Cost {
        pub cpu: f64,
        pub gpu: f64,
        pub mem_gb: f64,
    }

    impl Default for Cost {
        fn default() -> Cost {
            Cost {
                cpu: 1.0,
                gpu: 8.0,
                mem_gb: 0.1,
            }
        }
    }

    fn two() -> f64 {
        2.0
    }

    fn pages() -> u64 {
        8
    }
}

impl Settings {
    /// Checks a file's text. `teams`: the platform's teams, with what each is due where the file names none.
    pub fn parse(
        text: &str,
        file: &str,
        teams: &[(String, f64)],
    ) -> Result<Settings, SettingsError> {
        let raw: raw::File = toml::from_str(text).map_err(|e| SettingsError::Parse {
            file: file.into(),
            reason: e.to_string().trim_end().to_string(),
        })?;
        let bad = |field: &str, reason: String| SettingsError::Field {
            file: file.into(),
            field: field.into(),
            reason,
        };
        let time = |field: &str, s: f64, least: f64| {
            let fine = s.is_finite() && (least..=1e9).contains(&s);
            let time = (s * SECOND as f64) as Micros;
            fine.then_some(time)
                .ok_or_else(|| bad(field, format!("{s} is not a usable time")))
        };
        let half = |field: &str, s: f64| {
            let half = HalfLife::new(time(field, s, 1e-3)?);
            half.ok_or_else(|| bad(field, format!("{s} s is longer than a year")))
        };
        let common = half("half_life_s", raw.half_life_s)?;
        let mut shares = BTreeMap::new();
        for (i, t) in raw.teams.iter().enumerate() {
            let at = |f: &str| format!("teams[{i}].{f}");
            if !teams.iter().any(|(name, _)| *name == t.name) {
                return Err(bad(&at("name"), format!("there is no team {:?}", t.name)));
            }
            if !(t.share.is_finite() && (0.0..=1.0).contains(&t.share)) {
                return Err(bad(
                    &at("share"),
                    format!("{} is not between 0 and 1", t.share),
                ));
            }
            let half_life = t
                .half_life_s
                .map(|s| half(&at("half_life_s"), s))
                .transpose()?;
            let share = TeamShare {
                share: t.share,
                half_life: half_life.unwrap_or(common),
            };
            if shares.insert(t.name.clone(), share).is_some() {
                return Err(bad(&at("name"), format!("{:?} appears twice", t.name)));
            }
        }
        if raw.teams.is_empty() {
            // As their guarantees are to one another; alike where nobody has one.
            let all: f64 = teams.iter().map(|t| t.1).sum();
            let alike = 1.0 / teams.len().max(1) as f64;
            for (name, due) in teams {
                let share = if all > 0.0 { due / all } else { alike };
                shares.insert(
                    name.clone(),
                    TeamShare {
                        share,
                        half_life: common,
                    },
                );
            }
        } else {
            let sum: f64 = shares.values().map(|s| s.share).sum();
            if (sum - 1.0).abs() > ROUNDING {
                return Err(bad(
                    "teams",
                    format!("the shares add up to {sum}, not to 1"),
                ));
            }
            if let Some((name, _)) = teams.iter().find(|t| !shares.contains_key(&t.0)) {
                return Err(bad(
                    "teams",
                    format!("team {name:?} is missing; a share may be 0"),
                ));
            }
        }
        let weight = |field: &str, x: f64| {
            let fine = x.is_finite() && (0.0..=1e4).contains(&x);
            let weight = (x * 1000.0).round() as u64;
            fine.then_some(weight)
                .ok_or_else(|| bad(field, format!("{x} is not a usable weight")))
        };
        let cost = ResourceAmounts(
            weight("cost.cpu", raw.cost.cpu)?,
            weight("cost.gpu", raw.cost.gpu)?,
            weight("cost.mem_gb", raw.cost.mem_gb)?,
        );
        if raw.keys.is_empty() {
            return Err(bad("keys", "the name of a key file is needed".into()));
        }
        if !(1..=10_000).contains(&raw.balance_pages) {
            return Err(bad(
                "balance_pages",
                "a number from 1 to 10000 is needed".into(),
            ));
        }
        Ok(Settings {
            keys: raw.keys,
            teams: shares,
            resource_weights: cost,
            write_interval: time("every_s", raw.every_s, 0.1)?,
            retention: time("retention_s", raw.retention_s, 0.0)?,
            balance_pages: raw.balance_pages,
            max_clock_offset: time("clock_off_s", raw.clock_off_s, 0.0)?,
        })
    }

    /// The half-life that a team's usage decays by. A team that is not the platform's any more decays like
    /// the slowest.
    pub fn half_life(&self, team: &str) -> HalfLife {
        let slowest = || {
            self.teams
                .values()
                .map(|t| t.half_life)
                .max_by_key(|h| h.time())
        };
        let known = self.teams.get(team).map(|t| t.half_life).or_else(slowest);
        known
            .or_else(|| HalfLife::new(3600 * SECOND))
            .unwrap_or_else(|| unreachable!("an hour"))
    }

    /// What a task that needs this counts in usage while it holds its place.
    pub fn rate(&self, need: ResourceAmounts) -> u64 {
        let part = |amount: u64, weight: u64| amount.saturating_mul(weight) / 1000;
        part(need.0, self.resource_weights.0)
            .saturating_add(part(need.1, self.resource_weights.1))
            .saturating_add(part(need.2, self.resource_weights.2))
    }
}

#[cfg(test)]
pub(crate) mod tests;
