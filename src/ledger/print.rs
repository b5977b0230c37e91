//! Prints the content of the ledger as a table, or as one JSON object per line.

use std::collections::BTreeMap;
use std::time::SystemTime;

use comfy_table::Table;
use gannethub_core::settings::LedgerSetup;
use gannethub_ledger::Account;
use gannethub_ledger::audit::{Page, Verified};
use gannethub_ledger::export::{self, Cell};
use gannethub_ledger::meter::STAGES;
use serde_json::{Map, Value, json};

use super::{LedgerError, Output};

const MICROS_PER_SECOND: f64 = 1e6;
const SECONDS_PER_HOUR: f64 = 3600.0;
const MICROS_PER_HOUR: f64 = 3.6e9;
/// Units of usage in one second of one CPU, GPU or GB. Resources are counted in thousandths, so the unit of usage is
/// one thousandth times one microsecond.
const USAGE_PER_SECOND: f64 = 1e9;
/// Indexes of the resources in a sum of usage.
const CPU: usize = 0;
const GPU: usize = 1;
const MEMORY: usize = 2;
/// Index of the error bound in the times of an account.
const BOUND: usize = 2;

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(comfy_table::presets::NOTHING)
        .set_header(header);
    table
}

fn print_table(table: &Table, output: Output) {
    if output == Output::Table {
        println!("{table}");
    }
}

/// Prints every charged attempt, or only the attempts of one team.
pub(super) fn attempts(
    pages: &[Page],
    team: Option<&str>,
    output: Output,
) -> Result<(), LedgerError> {
    let rows = export::rows(pages, team)?;
    let column_names: Vec<&str> = export::column_names().collect();
    let mut table = new_table(&[
        "team", "job", "task", "machine", "reason", "worth", "begin", "held s", "bound s",
    ]);
    for cells in &rows {
        let row = ExportRow(column_names.iter().copied().zip(cells).collect());
        match output {
            Output::Json => println!("{}", row.to_json()),
            Output::Table => {
                table.add_row(row.to_table_row());
            }
        }
    }
    print_table(&table, output);
    Ok(())
}

/// The cells of an exported attempt by column name.
struct ExportRow<'a>(BTreeMap<&'a str, &'a Cell>);

impl ExportRow<'_> {
    fn to_json(&self) -> Value {
        let fields = self.0.iter();
        let object: Map<String, Value> = fields
            .map(|(name, cell)| (name.to_string(), to_json(cell)))
            .collect();
        Value::Object(object)
    }

    fn to_table_row(&self) -> [String; 9] {
        let estimate_mark = if self.0.get("estimate") == Some(&&Cell::Flag(true)) {
            " ~"
        } else {
            ""
        };
        [
            self.text("team"),
            self.text("job"),
            self.integer("task").to_string(),
            self.text("machine"),
            self.text("reason"),
            self.text("worth"),
            seconds(self.integer("begin")),
            seconds(self.integer("end") - self.integer("begin")) + estimate_mark,
            seconds(self.integer("bound")),
        ]
    }

    fn integer(&self, name: &str) -> i64 {
        match self.0.get(name) {
            Some(Cell::Int(number)) => *number,
            _ => 0,
        }
    }

    fn text(&self, name: &str) -> String {
        match self.0.get(name) {
            Some(Cell::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }
}

fn to_json(cell: &Cell) -> Value {
    match cell {
        Cell::Int(number) => json!(number),
        Cell::Text(text) => json!(text),
        Cell::Flag(flag) => json!(flag),
    }
}

fn seconds(micros: i64) -> String {
    format!("{:.3}", micros as f64 / MICROS_PER_SECOND)
}

/// Converts usage to hours of one CPU, one GPU or one GB.
fn hours(usage: u128) -> f64 {
    usage as f64 / USAGE_PER_SECOND / SECONDS_PER_HOUR
}

/// Prints the usage of each team and class.
pub(super) fn totals(verified: &Verified, output: Output) {
    let mut table = new_table(&[
        "team",
        "class",
        "attempts",
        "cpu h",
        "gpu h",
        "GB h",
        "useful cpu h",
        "lost cpu h",
        "bound h",
    ]);
    for ((team, class), account) in verified.accounts.iter() {
        match output {
            Output::Json => println!("{}", totals_json(team, class, account)),
            Output::Table => {
                table.add_row(totals_row(team, class, account));
            }
        }
    }
    print_table(&table, output);
}

fn totals_json(team: &str, class: &str, account: &Account) -> Value {
    let (held, useful, lost) = (account.held(), account.useful(), account.lost());
    let cpu_hours_by_stage: BTreeMap<&str, f64> = STAGES
        .iter()
        .enumerate()
        .map(|(index, stage)| (*stage, hours(account.stage(index)[CPU])))
        .collect();
    json!({"team": team, "class": class, "attempts": account.charged_attempts,
           "cpu_h": hours(held[CPU]), "gpu_h": hours(held[GPU]), "gb_h": hours(held[MEMORY]),
           "useful_cpu_h": hours(useful[CPU]), "lost_cpu_h": hours(lost[CPU]),
           "cpu_h_by_stage": cpu_hours_by_stage, "bound_h": bound_hours(account)})
}

fn totals_row(team: &str, class: &str, account: &Account) -> [String; 9] {
    let held = account.held();
    let hours = |usage: u128| format!("{:.4}", hours(usage));
    [
        team.to_string(),
        class.to_string(),
        account.charged_attempts.to_string(),
        hours(held[CPU]),
        hours(held[GPU]),
        hours(held[MEMORY]),
        hours(account.useful()[CPU]),
        hours(account.lost()[CPU]),
        format!("{:.4}", bound_hours(account)),
    ]
}

fn bound_hours(account: &Account) -> f64 {
    account.times()[BOUND] as f64 / MICROS_PER_HOUR
}

/// Prints each team's decayed share of all usage, and that share divided by the share that the team is due.
pub(super) fn shares(verified: &Verified, setup: &LedgerSetup, output: Output) {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now = since_epoch.map_or(0, |elapsed| elapsed.as_micros() as u64);
    let settings = &setup.settings;
    let mut table = new_table(&[
        "team",
        "due",
        "share",
        "share over due",
        "decayed usage (cost h)",
    ]);
    let shares = verified.accounts.shares(settings, now, &BTreeMap::new());
    for (team, (share, over_due)) in shares {
        let due = settings.teams[&team].share;
        let usage_hours = verified.accounts.usage(&team, settings, now) / SECONDS_PER_HOUR;
        match output {
            Output::Json => println!(
                "{}",
                json!({"team": team, "due": due, "share": share, "over_share": over_due,
                       "usage_h": usage_hours})
            ),
            Output::Table => {
                table.add_row([
                    team,
                    format!("{due:.3}"),
                    format!("{share:.3}"),
                    format!("{over_due:.2}"),
                    format!("{usage_hours:.4}"),
                ]);
            }
        }
    }
    print_table(&table, output);
}

/// Prints the result of a check, with the head that can be passed to a later check.
pub(super) fn verification(verified: &Verified, output: Output) {
    let last_line = verified.next_line.checked_sub(1);
    let head = last_line.map(|number| format!("{number}:{}", verified.last_mac));
    let Verified {
        lines,
        pages,
        charged_attempts,
        ..
    } = verified;
    match output {
        Output::Table => println!(
            "{lines} lines on {pages} pages verified; {charged_attempts} attempts are charged\n\
             head: {}",
            head.unwrap_or_default()
        ),
        Output::Json => println!(
            "{}",
            json!({"lines": lines, "pages": pages, "charged": charged_attempts, "head": head})
        ),
    }
}
