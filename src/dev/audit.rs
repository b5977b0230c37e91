//! Comparison of the ledger's charges with the workers' own records.

use std::collections::{BTreeMap, HashMap, HashSet};

use comfy_table::Table;
use gannethub_core::settings::LedgerSetup;
use gannethub_emulators::Span;
use gannethub_emulators::record::SpanKey;
use gannethub_ledger::audit::{Page, verify};
use gannethub_ledger::line::{AttemptCharge, LineBody};

use super::{DevError, SECOND};
use crate::ledger::LedgerError;

/// Maximum error bound, in microseconds, of an attempt whose worker's heartbeats all arrived.
const MAX_OBSERVED_BOUND: u64 = SECOND * 55 / 100;
/// Tolerated difference, in microseconds, between a charge and the worker's record beyond the charge's error bound.
/// The tolerance covers the time of messages and of the emulators' own steps.
const TOLERANCE: u64 = SECOND / 10;

/// The attempts that the ledger charges.
pub(super) struct ChargedAttempts {
    /// Charge entries of each attempt.
    entries: BTreeMap<SpanKey, Vec<AttemptCharge>>,
    /// Machines that the ledger itself marks as unmetered: the ledger does not know all attempts that they held.
    unmetered_machines: HashSet<String>,
    /// Number of verified lines.
    lines: u64,
}

impl ChargedAttempts {
    /// Verifies the pages and reads their entries. Prints the gaps that the ledger itself records.
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
                println!("gap: usage of machine {} is unknown", gap.machine);
                self.unmetered_machines.insert(gap.machine.clone());
            }
            LineBody::LeaderChanged(takeover)
                if !takeover.has_all_open_usage && takeover.term > 1 =>
            {
                println!(
                    "{} took over without all open usage records",
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

    /// Whether the ledger must have a charge for an attempt. A missing charge on a machine that the ledger itself
    /// marks as unmetered is not an error of the ledger's lines.
    fn expects_charge(&self, key: &SpanKey) -> bool {
        let (machine, ..) = key;
        self.entries.contains_key(key) || !self.unmetered_machines.contains(machine)
    }

    fn entries_of(&self, key: &SpanKey) -> &[AttemptCharge] {
        self.entries.get(key).map_or(&[], Vec::as_slice)
    }
}

/// One attempt, with the time in its worker's record and the time in the ledger's charge. Times are in microseconds.
struct ComparedAttempt {
    recorded: u64,
    charged: u64,
    /// Error bound of the charge, according to the ledger.
    bound: u64,
    is_estimate: bool,
}

impl ComparedAttempt {
    /// Compares the number of entries with the worker's record. The error text describes the difference.
    fn new(
        key: &SpanKey,
        span: &Span,
        entries: &[AttemptCharge],
    ) -> Result<ComparedAttempt, String> {
        let Some(recorded) = span.time() else {
            return Err(format!("{key:?} has not ended in the worker's record"));
        };
        // A gang's task that is replaced on its machine keeps its attempt number, and each of its runs is an entry.
        if entries.len() != span.runs {
            return Err(format!(
                "{key:?} ran {} times and is charged {} times: {entries:?}",
                span.runs,
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

    /// Whether no heartbeat was missed while the attempt ran.
    fn is_observed(&self) -> bool {
        !self.is_estimate && self.bound <= MAX_OBSERVED_BOUND
    }
}

/// The sums over a team's attempts. Times are in microseconds.
#[derive(Default)]
struct TeamSums {
    attempts: u32,
    estimates: u32,
    recorded: u64,
    charged: u64,
    bound: u64,
    largest_difference: u64,
    /// Number of attempts without a missed heartbeat; the two sums below cover the same attempts.
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

/// Compares the workers' records with the ledger's charges and prints the sums by team. `teams` maps each job to its
/// team. The error holds the attempts that are charged wrongly.
pub(super) fn compare(
    recorded: &BTreeMap<SpanKey, Span>,
    charged: &ChargedAttempts,
    teams: &HashMap<String, &str>,
) -> Result<(), DevError> {
    let mut sums: BTreeMap<&str, TeamSums> = BTreeMap::new();
    let mut wrong = Vec::new();
    for (key, span) in recorded
        .iter()
        .filter(|(key, _)| charged.expects_charge(key))
    {
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
                "{key:?} took {recorded} us and is charged {charged} us: {entries:?}"
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
            "{team}: {} attempts without a missed heartbeat differ by {difference} s",
            sums.observed_attempts
        );
    }
    let table = sums_table(sums);
    println!("{table}\n{lines} lines verified; simulated work on emulated workers");
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
            "difference s",
            "bound s",
            "largest difference s",
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

/// Returns `micros` minus `subtrahend` as seconds, with a sign.
fn signed_seconds(micros: u64, subtrahend: u64) -> String {
    let difference = (micros as f64 - subtrahend as f64) / SECOND as f64;
    format!("{difference:+.3}")
}
