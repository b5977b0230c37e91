//! The comparison of the ledger with what the workers recorded themselves.

use std::collections::{BTreeMap, HashMap, HashSet};

use comfy_table::Table;
use gannethub_core::settings::LedgerSetup;
use gannethub_emulators::Span;
use gannethub_emulators::record::SpanKey;
use gannethub_ledger::audit::{Page, verify};
use gannethub_ledger::line::{Entry, LineBody};

use super::{DevError, SECOND};
use crate::ledger::LedgerError;

/// The error bound, in microseconds, of an attempt whose worker's heartbeats all arrived is at most this.
const OBSERVED_BOUND: u64 = SECOND * 55 / 100;
/// How far, in microseconds, a charge may be off beyond its error bound: messages and the emulators' own steps.
const TOLERANCE: u64 = SECOND / 10;

/// What the ledger charges.
pub(super) struct ChargedAttempts {
    /// The entries of each attempt.
    entries: BTreeMap<SpanKey, Vec<Entry>>,
    /// Machines of which the ledger itself says that it does not know all they held.
    unmetered_machines: HashSet<String>,
    /// How many lines were verified.
    lines: u64,
}

impl ChargedAttempts {
    /// Verifies the pages and reads their entries. Prints what the ledger does not know.
    pub fn read(pages: &[Page], setup: &LedgerSetup) -> Result<ChargedAttempts, DevError> {
        let verified =
            verify(pages, &setup.keys, &setup.settings, None).map_err(LedgerError::from)?;
        let mut charged = ChargedAttempts {
            entries: BTreeMap::new(),
            unmetered_machines: HashSet::new(),
            lines: verified.lines,
        };
        let lines = pages.iter().filter_map(|page| page.read().ok()).flatten();
        for (line, _) in lines {
            charged.add(line.body);
        }
        Ok(charged)
    }

    fn add(&mut self, line: LineBody) {
        match line {
            LineBody::Unmetered(gap) => {
                println!("gap: nobody knows what {} held", gap.machine);
                self.unmetered_machines.insert(gap.machine.clone());
            }
            LineBody::OwnerChanged(takeover) if !takeover.complete && takeover.term > 1 => {
                println!(
                    "{} took over and did not know of all that was open",
                    takeover.owner
                );
            }
            LineBody::Charge(charge) => {
                for entry in charge.entries {
                    let task = format!("{}/{}", charge.group.job, entry.task);
                    let key = (entry.machine.clone(), task, entry.attempt);
                    self.entries.entry(key).or_default().push(entry);
                }
            }
            _ => {}
        }
    }

    /// Whether the ledger should have a charge for an attempt. What it says itself that it does not know is no fault of
    /// its lines.
    fn should_have(&self, key: &SpanKey) -> bool {
        let (machine, ..) = key;
        self.entries.contains_key(key) || !self.unmetered_machines.contains(machine)
    }

    fn entries_of(&self, key: &SpanKey) -> &[Entry] {
        self.entries.get(key).map_or(&[], Vec::as_slice)
    }
}

/// One attempt, as its worker recorded it and as the ledger charges it. Times are in microseconds.
struct ComparedAttempt {
    recorded: u64,
    charged: u64,
    /// How far the ledger says that the charge may be off.
    bound: u64,
    is_estimate: bool,
}

impl ComparedAttempt {
    /// Compares the entries with the record; an error describes the difference.
    fn new(key: &SpanKey, span: &Span, entries: &[Entry]) -> Result<ComparedAttempt, String> {
        let Some(recorded) = span.time() else {
            return Err(format!("{key:?} has not ended"));
        };
        // A gang's task that is replaced on its machine keeps its attempt number, and each run is an entry.
        if entries.len() != span.stints {
            return Err(format!(
                "{key:?} ran {} times and is charged {} times: {entries:?}",
                span.stints,
                entries.len()
            ));
        }
        Ok(ComparedAttempt {
            recorded,
            charged: entries
                .iter()
                .map(|entry| entry.stage_times.at_worker())
                .sum(),
            bound: entries.iter().map(|entry| entry.max_error).sum(),
            is_estimate: entries.iter().any(|entry| entry.is_estimate),
        })
    }

    fn difference(&self) -> u64 {
        self.charged.abs_diff(self.recorded)
    }

    /// Whether no heartbeat was missed while it ran.
    fn is_observed(&self) -> bool {
        !self.is_estimate && self.bound <= OBSERVED_BOUND
    }
}

/// The sums of a team's attempts, in microseconds.
#[derive(Default)]
struct TeamSums {
    attempts: u32,
    estimates: u32,
    recorded: u64,
    charged: u64,
    bound: u64,
    largest_difference: u64,
    /// The same of the attempts of which no heartbeat was missed.
    observed_attempts: u32,
    observed_recorded: u64,
    observed_charged: u64,
}

impl TeamSums {
    fn add(&mut self, attempt: &ComparedAttempt) {
        self.attempts += 1;
        self.estimates += u32::from(attempt.is_estimate);
        self.recorded += attempt.recorded;
        self.charged += attempt.charged;
        self.bound += attempt.bound;
        self.largest_difference = self.largest_difference.max(attempt.difference());
        if attempt.is_observed() {
            self.observed_attempts += 1;
            self.observed_recorded += attempt.recorded;
            self.observed_charged += attempt.charged;
        }
    }
}

/// Compares what the workers recorded with what the ledger charges, and prints the sums by team. `teams` has the team of
/// each job.
pub(super) fn compare(
    recorded: &BTreeMap<SpanKey, Span>,
    charged: &ChargedAttempts,
    teams: &HashMap<String, &str>,
) -> Result<(), DevError> {
    let mut sums: BTreeMap<&str, TeamSums> = BTreeMap::new();
    let mut wrong = Vec::new();
    for (key, span) in recorded.iter().filter(|(key, _)| charged.should_have(key)) {
        let entries = charged.entries_of(key);
        let attempt = match ComparedAttempt::new(key, span, entries) {
            Ok(attempt) => attempt,
            Err(difference) => {
                wrong.push(difference);
                continue;
            }
        };
        if attempt.difference() > attempt.bound + TOLERANCE {
            let ComparedAttempt {
                recorded, charged, ..
            } = attempt;
            wrong.push(format!(
                "{key:?} took {recorded} us and is charged {charged}, {entries:?}"
            ));
        }
        let (_, task, _) = key;
        let job = task.split('/').next().unwrap_or("");
        let team = teams.get(job).copied().unwrap_or("");
        sums.entry(team).or_default().add(&attempt);
    }
    print_sums(&sums, charged.lines);
    if wrong.is_empty() {
        Ok(())
    } else {
        Err(DevError::WrongCharges(wrong))
    }
}

fn print_sums(sums: &BTreeMap<&str, TeamSums>, lines: u64) {
    for (team, sums) in sums {
        let difference = signed_seconds(sums.observed_charged, sums.observed_recorded);
        println!(
            "{team}: no report missed of {} attempts, which differ by {difference} s",
            sums.observed_attempts
        );
    }
    let table = sums_table(sums);
    println!("{table}\n{lines} lines verify; simulated work on stand-in workers");
}

fn sums_table(sums: &BTreeMap<&str, TeamSums>) -> Table {
    let mut table = Table::new();
    table
        .load_preset(comfy_table::presets::NOTHING)
        .set_header([
            "team",
            "attempts",
            "estimates",
            "workers s",
            "ledger s",
            "differ s",
            "bound s",
            "largest s",
        ]);
    for (team, sums) in sums {
        table.add_row([
            (*team).to_string(),
            sums.attempts.to_string(),
            sums.estimates.to_string(),
            seconds(sums.recorded),
            seconds(sums.charged),
            signed_seconds(sums.charged, sums.recorded),
            seconds(sums.bound),
            seconds(sums.largest_difference),
        ]);
    }
    table
}

fn seconds(micros: u64) -> String {
    format!("{:.3}", micros as f64 / SECOND as f64)
}

/// The first time less the second, with its sign.
fn signed_seconds(micros: u64, less: u64) -> String {
    let difference = (micros as f64 - less as f64) / SECOND as f64;
    format!("{difference:+.3}")
}
