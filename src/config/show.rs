//! What operators are shown of the configuration.

use std::collections::BTreeSet;
use std::fmt::Write;

use comfy_table::Table;
use gannethub_core::configuration::{Document, TeamEntry};
use gannethub_core::settings::Settings;
use gannethub_core::wire::configuration::HistoryRecord;

use super::store::Current;

fn table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(comfy_table::presets::NOTHING)
        .set_header(head);
    table
}

/// A limit of 0 is none.
fn limit(x: f64) -> String {
    if x == 0.0 {
        "none".into()
    } else {
        x.to_string()
    }
}

fn row(team: &TeamEntry, from: &str) -> [String; 6] {
    let state = if team.removed { "removed, " } else { "" };
    [
        team.name.clone(),
        team.cpus.to_string(),
        limit(team.cpus_max),
        team.gpus.to_string(),
        limit(team.gpus_max),
        format!("{state}{from}"),
    ]
}

/// All that holds, and where each value comes from.
pub fn all(current: &Current, base: &Settings) -> String {
    let version = match &current.record {
        Some(r) => format!("version {} by {}: {}", r.version, r.author, r.reason),
        None => "no version was ever stored: the platform's settings hold".to_string(),
    };
    let from_version = format!("version {}", current.version());
    let document = &current.document;
    let mut teams = table(&["team", "cpus", "cpus_max", "gpus", "gpus_max", "from"]);
    let own = |name: &str| document.teams.iter().find(|t| t.name == name);
    for team in &base.teams {
        match own(&team.name) {
            Some(entry) => teams.add_row(row(entry, &from_version)),
            None => teams.add_row(row(&TeamEntry::of(team), "the platform's file")),
        };
    }
    for entry in document
        .teams
        .iter()
        .filter(|t| base.team(&t.name).is_none())
    {
        teams.add_row(row(entry, &from_version));
    }
    let from = |there: bool| {
        if there {
            from_version.as_str()
        } else {
            "the platform's file"
        }
    };
    let count = document
        .objectives
        .as_ref()
        .map_or(base.objectives.len(), Vec::len);
    let mut text = format!("{version}\n{teams}\n");
    let _ = writeln!(
        text,
        "{count} objectives, from {}",
        from(document.objectives.is_some())
    );
    match &document.policy {
        Some(policy) => {
            let _ = writeln!(text, "policy, from {from_version}:\n{}", policy.trim_end());
        }
        None => text += "policy: as the controllers were started\n",
    }
    text
}

/// What another document would change.
pub fn differences(now: &Document, next: &Document, base: &Settings) -> String {
    let mut text = String::new();
    let entry = |d: &Document, name: &str| {
        let own = d.teams.iter().find(|t| t.name == name).cloned();
        own.or_else(|| base.team(name).map(|i| TeamEntry::of(&base.teams[i])))
    };
    let names: BTreeSet<&str> = now
        .teams
        .iter()
        .chain(&next.teams)
        .map(|t| t.name.as_str())
        .collect();
    for name in names {
        let (before, after) = (entry(now, name), entry(next, name));
        if before == after {
            continue;
        }
        let told = |team: Option<TeamEntry>| {
            team.map_or("not there".to_string(), |t| {
                row(&t, "")[1..].join(" ").trim().to_string()
            })
        };
        let _ = writeln!(text, "team {name}: {} -> {}", told(before), told(after));
    }
    if now.objectives != next.objectives {
        text += "objectives differ\n";
    }
    if now.policy != next.policy {
        let _ = writeln!(text, "policy: {:?} -> {:?}", now.policy, next.policy);
    }
    if now.over_limit != next.over_limit {
        let _ = writeln!(
            text,
            "over_limit: {:?} -> {:?}",
            now.over_limit, next.over_limit
        );
    }
    if text.is_empty() {
        text += "no difference\n";
    }
    text
}

pub fn history(history: &HistoryRecord) -> String {
    let mut versions = table(&["version", "at (s since 1970)", "by", "why"]);
    for v in &history.versions {
        let at = (v.created_at / 1_000_000).to_string();
        versions.add_row([
            v.version.to_string(),
            at,
            v.author.clone(),
            v.reason.clone(),
        ]);
    }
    format!("{versions}\n")
}

#[cfg(test)]
mod tests;
