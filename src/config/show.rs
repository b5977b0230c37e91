//! Formats the configuration as text for operators.

use std::collections::BTreeSet;
use std::fmt::Write;

use comfy_table::Table;
use gannethub_core::configuration::{Document, TeamEntry};
use gannethub_core::settings::Settings;
use gannethub_core::wire::configuration::HistoryRecord;

use super::store::CurrentConfig;

/// Displayed origin of values that no version has changed.
const PLATFORM_FILE: &str = "the platform's file";
const MICROS_PER_SECOND: u64 = 1_000_000;

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(comfy_table::presets::NOTHING)
        .set_header(header);
    table
}

/// Formats a limit. A limit of zero means no limit.
fn limit_text(limit: f64) -> String {
    if limit == 0.0 {
        "none".into()
    } else {
        limit.to_string()
    }
}

/// Returns the displayed columns of a team after its name.
fn team_values(team: &TeamEntry) -> [String; 4] {
    [
        team.cpus.to_string(),
        limit_text(team.cpus_max),
        team.gpus.to_string(),
        limit_text(team.gpus_max),
    ]
}

fn team_row(team: &TeamEntry, origin: &str) -> Vec<String> {
    let state = if team.removed { "removed, " } else { "" };
    let mut row = vec![team.name.clone()];
    row.extend(team_values(team));
    row.push(format!("{state}{origin}"));
    row
}

fn team_entry<'a>(document: &'a Document, name: &str) -> Option<&'a TeamEntry> {
    document.teams.iter().find(|team| team.name == name)
}

/// Formats the current version, the values of each team, the number of objectives and the policy, with their origins.
pub fn current(current: &CurrentConfig, base: &Settings) -> String {
    let version_origin = format!("version {}", current.version());
    let document = &current.document;
    let mut text = match &current.record {
        Some(record) => format!(
            "version {} by {}: {}\n",
            record.version, record.author, record.reason
        ),
        None => "no version was ever stored: the platform's settings are in force\n".to_string(),
    };
    let teams = teams_table(document, base, &version_origin);
    let _ = writeln!(text, "{teams}");
    let (objective_count, objectives_origin) = match &document.objectives {
        Some(objectives) => (objectives.len(), version_origin.as_str()),
        None => (base.objectives.len(), PLATFORM_FILE),
    };
    let _ = writeln!(
        text,
        "{objective_count} objectives, from {objectives_origin}"
    );
    match &document.policy {
        Some(policy) => {
            let _ = writeln!(
                text,
                "policy, from {version_origin}:\n{}",
                policy.trim_end()
            );
        }
        None => text += "policy: the one that the controllers were started with\n",
    }
    text
}

/// Lists the platform's teams with the changes of the document, then the teams that only the document has.
fn teams_table(document: &Document, base: &Settings, version_origin: &str) -> Table {
    let mut table = new_table(&["team", "cpus", "cpus_max", "gpus", "gpus_max", "from"]);
    for team in &base.teams {
        let row = match team_entry(document, &team.name) {
            Some(entry) => team_row(entry, version_origin),
            None => team_row(&TeamEntry::of(team), PLATFORM_FILE),
        };
        table.add_row(row);
    }
    for entry in &document.teams {
        if base.team(&entry.name).is_none() {
            table.add_row(team_row(entry, version_origin));
        }
    }
    table
}

/// Lists the changes that would result if the document `next` became the current one.
pub fn differences(current: &Document, next: &Document, base: &Settings) -> String {
    let mut text = team_differences(current, next, base);
    if current.objectives != next.objectives {
        text += "objectives differ\n";
    }
    if current.policy != next.policy {
        let _ = writeln!(text, "policy: {:?} -> {:?}", current.policy, next.policy);
    }
    if current.over_limit != next.over_limit {
        let _ = writeln!(
            text,
            "over_limit: {:?} -> {:?}",
            current.over_limit, next.over_limit
        );
    }
    if text.is_empty() {
        text += "no difference\n";
    }
    text
}

/// Returns one line for each team that differs, sorted by name.
fn team_differences(current: &Document, next: &Document, base: &Settings) -> String {
    let entry = |document: &Document, name: &str| {
        let of_platform = || Some(TeamEntry::of(&base.teams[base.team(name)?]));
        team_entry(document, name).cloned().or_else(of_platform)
    };
    let names: BTreeSet<&str> = current
        .teams
        .iter()
        .chain(&next.teams)
        .map(|team| team.name.as_str())
        .collect();
    let mut text = String::new();
    for name in names {
        let before = entry(current, name);
        let after = entry(next, name);
        if before != after {
            let _ = writeln!(
                text,
                "team {name}: {} -> {}",
                team_summary(before.as_ref()),
                team_summary(after.as_ref())
            );
        }
    }
    text
}

/// Formats a team's values in one line, or `absent` for a team that does not exist.
fn team_summary(team: Option<&TeamEntry>) -> String {
    let Some(team) = team else {
        return "absent".to_string();
    };
    let state = if team.removed { " removed," } else { "" };
    team_values(team).join(" ") + state
}

/// Formats the versions that are kept, one per line.
pub fn history(history: &HistoryRecord) -> String {
    let mut table = new_table(&["version", "at (s since 1970)", "by", "why"]);
    for record in &history.versions {
        table.add_row([
            record.version.to_string(),
            (record.created_at / MICROS_PER_SECOND).to_string(),
            record.author.clone(),
            record.reason.clone(),
        ]);
    }
    format!("{table}\n")
}

#[cfg(test)]
mod tests;
