//! Settings file of the ledger: parsing, validation and error messages.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use serde::Deserialize;

use crate::decay::HalfLife;
use crate::line::ResourceAmounts;
use crate::{Micros, SECOND};

/// Reason why a settings file is rejected.
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

/// Share of a team, and the half-life of its usage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamShare {
    /// Fraction of all usage that the team should have. The shares of all teams add up to one.
    pub share: f64,
    pub half_life: HalfLife,
}

/// Maximum deviation of the sum of all shares from one: shares are given to six decimals.
const SHARE_SUM_TOLERANCE: f64 = 1e-6;

/// Maximum of every time in the file, in seconds.
const MAX_SECONDS: f64 = 1e9;
const MIN_HALF_LIFE_SECONDS: f64 = 1e-3;
/// Maximum usage weight of a resource, per unit.
const MAX_WEIGHT: f64 = 1e4;
/// Allowed values of `balance_pages`.
const BALANCE_PAGES: RangeInclusive<u64> = 1..=10_000;

/// Settings of the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Path of the key file, relative to the program's working directory.
    pub key_file: String,
    /// Share of each team of the platform.
    pub teams: BTreeMap<String, TeamShare>,
    /// Usage weight of one CPU, one GPU and one GB, in thousandths.
    pub resource_weights: ResourceAmounts,
    /// Maximum interval between writes while charges are waiting.
    pub write_interval: Micros,
    /// Minimum time that pages are kept. Zero keeps pages for ever.
    pub retention: Micros,
    /// Number of pages after which a balance is written. The number is higher if the balance itself takes many pages.
    pub balance_pages: u64,
    /// Maximum difference between the time of day at two controllers.
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

/// Validates the fields of one file.
struct FieldChecker<'a> {
    file: &'a str,
}

impl FieldChecker<'_> {
    fn error(&self, field: &str, reason: impl Into<String>) -> SettingsError {
        SettingsError::Field {
            file: self.file.into(),
            field: field.into(),
            reason: reason.into(),
        }
    }

    fn time(&self, field: &str, seconds: f64, min_seconds: f64) -> Result<Micros, SettingsError> {
        if seconds.is_finite() && (min_seconds..=MAX_SECONDS).contains(&seconds) {
            return Ok((seconds * SECOND as f64) as Micros);
        }
        Err(self.error(
            field,
            format!("{seconds} is not between {min_seconds} and {MAX_SECONDS} seconds"),
        ))
    }

    fn half_life(&self, field: &str, seconds: f64) -> Result<HalfLife, SettingsError> {
        let half_life = HalfLife::new(self.time(field, seconds, MIN_HALF_LIFE_SECONDS)?);
        half_life.ok_or_else(|| self.error(field, format!("{seconds} s is longer than 366 days")))
    }

    fn weight(&self, field: &str, weight: f64) -> Result<u64, SettingsError> {
        if weight.is_finite() && (0.0..=MAX_WEIGHT).contains(&weight) {
            return Ok((weight * 1000.0).round() as u64);
        }
        Err(self.error(field, format!("{weight} is not between 0 and {MAX_WEIGHT}")))
    }

    /// Validates the teams that the file lists and returns the share of each.
    fn named_shares(
        &self,
        named: &[raw::Team],
        teams: &[(String, f64)],
        default_half_life: HalfLife,
    ) -> Result<BTreeMap<String, TeamShare>, SettingsError> {
        let mut shares = BTreeMap::new();
        for (index, team) in named.iter().enumerate() {
            let field = |name: &str| format!("teams[{index}].{name}");
            if !teams.iter().any(|(name, _)| *name == team.name) {
                let reason = format!("there is no team {:?}", team.name);
                return Err(self.error(&field("name"), reason));
            }
            if !(team.share.is_finite() && (0.0..=1.0).contains(&team.share)) {
                let reason = format!("{} is not between 0 and 1", team.share);
                return Err(self.error(&field("share"), reason));
            }
            let half_life = match team.half_life_s {
                Some(seconds) => self.half_life(&field("half_life_s"), seconds)?,
                None => default_half_life,
            };
            let share = TeamShare {
                share: team.share,
                half_life,
            };
            if shares.insert(team.name.clone(), share).is_some() {
                let reason = format!("{:?} appears twice", team.name);
                return Err(self.error(&field("name"), reason));
            }
        }
        self.check_completeness(&shares, teams)?;
        Ok(shares)
    }

    fn check_completeness(
        &self,
        shares: &BTreeMap<String, TeamShare>,
        teams: &[(String, f64)],
    ) -> Result<(), SettingsError> {
        let sum: f64 = shares.values().map(|team| team.share).sum();
        if (sum - 1.0).abs() > SHARE_SUM_TOLERANCE {
            let reason = format!("the shares add up to {sum}, not to 1");
            return Err(self.error("teams", reason));
        }
        match teams.iter().find(|(name, _)| !shares.contains_key(name)) {
            Some((name, _)) => {
                let reason = format!("team {name:?} is missing; a share may be 0");
                Err(self.error("teams", reason))
            }
            None => Ok(()),
        }
    }
}

/// Returns the shares for a file that lists no team: proportional to the teams' guarantees, or equal if no team has a
/// guarantee.
fn default_shares(teams: &[(String, f64)], half_life: HalfLife) -> BTreeMap<String, TeamShare> {
    let total: f64 = teams.iter().map(|(_, guarantee)| guarantee).sum();
    let equal_share = 1.0 / teams.len().max(1) as f64;
    let shares = teams.iter().map(|(name, guarantee)| {
        let share = if total > 0.0 {
            guarantee / total
        } else {
            equal_share
        };
        (name.clone(), TeamShare { share, half_life })
    });
    shares.collect()
}

impl Settings {
    /// Parses and validates the text of a settings file. `teams` holds the platform's teams and their guarantees, from
    /// which the shares are computed if the file lists no team.
    pub fn parse(
        text: &str,
        file: &str,
        teams: &[(String, f64)],
    ) -> Result<Settings, SettingsError> {
        let raw: raw::File = toml::from_str(text).map_err(|e| SettingsError::Parse {
            file: file.into(),
            reason: e.to_string().trim_end().to_string(),
        })?;
        let check = FieldChecker { file };
        let half_life = check.half_life("half_life_s", raw.half_life_s)?;
        let shares = if raw.teams.is_empty() {
            default_shares(teams, half_life)
        } else {
            check.named_shares(&raw.teams, teams, half_life)?
        };
        let resource_weights = ResourceAmounts(
            check.weight("cost.cpu", raw.cost.cpu)?,
            check.weight("cost.gpu", raw.cost.gpu)?,
            check.weight("cost.mem_gb", raw.cost.mem_gb)?,
        );
        if raw.keys.is_empty() {
            return Err(check.error("keys", "must name a key file"));
        }
        if !BALANCE_PAGES.contains(&raw.balance_pages) {
            return Err(check.error("balance_pages", "must be a number from 1 to 10000"));
        }
        Ok(Settings {
            key_file: raw.keys,
            teams: shares,
            resource_weights,
            write_interval: check.time("every_s", raw.every_s, 0.1)?,
            retention: check.time("retention_s", raw.retention_s, 0.0)?,
            balance_pages: raw.balance_pages,
            max_clock_offset: check.time("clock_off_s", raw.clock_off_s, 0.0)?,
        })
    }

    /// Returns the half-life of a team's usage. The usage of a team that no longer exists decays with the longest
    /// half-life of all teams, or one hour if there is no team.
    pub fn half_life(&self, team: &str) -> HalfLife {
        let longest = || {
            self.teams
                .values()
                .map(|t| t.half_life)
                .max_by_key(|h| h.time())
        };
        let known = self.teams.get(team).map(|t| t.half_life).or_else(longest);
        known
            .or_else(|| HalfLife::new(3600 * SECOND))
            .unwrap_or_else(|| unreachable!("one hour is a valid half-life"))
    }

    /// Returns the usage rate of a task with these resources while the task holds its place, in thousandths of cost.
    pub fn rate(&self, resources: ResourceAmounts) -> u64 {
        let part = |amount: u64, weight: u64| amount.saturating_mul(weight) / 1000;
        part(resources.0, self.resource_weights.0)
            .saturating_add(part(resources.1, self.resource_weights.1))
            .saturating_add(part(resources.2, self.resource_weights.2))
    }
}

#[cfg(test)]
pub(crate) mod tests;
