//! The report of a run: what is written to its file, and the lines that are shown.

use std::collections::BTreeMap;

use comfy_table::Table;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::changes::ChangesReport;
use crate::messages::{KindCount, ReportCounts, StateCounts};
use crate::process::Usage;

/// Hollow workers' reports may differ so far from the real ones'.
pub const AGREEMENT: f64 = 0.05;
/// With fewer reports than this on one side chance decides.
const FEWEST: u64 = 200;

/// What was asked for.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Asked {
    pub workers: usize,
    pub starts: f64,
    pub running: f64,
    pub teams: usize,
    pub zones: usize,
    pub gang: u32,
    pub controllers: usize,
    pub seconds: u64,
    pub warm_up: u64,
    pub seed: u64,
    pub real: usize,
}

/// What the run came to while it was measured.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Reached {
    pub seconds: f64,
    pub workers: f64,
    pub starts: f64,
    pub running: f64,
    pub jobs_submitted: f64,
}

/// A role's processes, together.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RoleUsage {
    pub processes: usize,
    /// Cores that a process used on the average, and the busiest one.
    pub user: f64,
    pub system: f64,
    pub busiest: f64,
    pub peak_mb: f64,
    pub sockets: usize,
}

/// Times of one kind, in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Times {
    pub count: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
}

impl Times {
    /// Of times in microseconds.
    pub fn of(times: impl IntoIterator<Item = u64>) -> Times {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return Times::default();
        };
        for time in times {
            // It grows with its values; none is beyond 64 bits.
            let _ = histogram.record(time);
        }
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Times {
            count: histogram.len(),
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            max_ms: histogram.max() as f64 / 1e3,
        }
    }
}

/// Reports of hollow workers against those of real ones under the same conditions: what the real ones sent, and what
/// hollow ones would have sent in their place.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Agreement {
    pub report_bytes: [f64; 2],
    pub interval_ms: [f64; 2],
    /// Changes told for each start or end of a task. How many go with one report is a matter of the load.
    pub changes_a_start: [f64; 2],
    pub agree: bool,
}

impl Agreement {
    /// `None`: there is nothing to compare.
    pub fn of(real: &ReportCounts, hollow: &ReportCounts) -> Option<Agreement> {
        if real.reports < FEWEST || hollow.reports < FEWEST {
            return None;
        }
        let report_bytes = alike(&real.by_tasks, &hollow.by_tasks)?;
        let interval = alike(&real.intervals, &hollow.intervals)?;
        let a_start = |c: &ReportCounts| c.changes as f64 / (c.starts + c.ends).max(1) as f64;
        let changes_a_start = [a_start(real), a_start(hollow)];
        let interval_ms = interval.map(|us| us / 1e3);
        let near = |[a, b]: [f64; 2]| (a - b).abs() <= AGREEMENT * a.max(b);
        let agree = near(report_bytes) && near(interval_ms) && near(changes_a_start);
        Some(Agreement {
            report_bytes,
            interval_ms,
            changes_a_start,
            agree,
        })
    }
}

/// The real workers' mean, and the hollow ones' where each condition counts as often as with the real ones.
fn alike<K: Ord>(
    real: &BTreeMap<K, (u64, u64)>,
    hollow: &BTreeMap<K, (u64, u64)>,
) -> Option<[f64; 2]> {
    let (mut count, mut sum, mut expected) = (0.0, 0.0, 0.0);
    for (key, (reports, total)) in real {
        let Some((others, their_total)) = hollow.get(key).filter(|h| h.0 > 0) else {
            continue;
        };
        count += *reports as f64;
        sum += *total as f64;
        expected += *reports as f64 * *their_total as f64 / *others as f64;
    }
    (count > 0.0).then(|| [sum / count, expected / count])
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Report {
    pub asked: Asked,
    pub reached: Reached,
    pub commit: String,
    pub machine_cores: usize,
    /// The part of the machine's processors that was busy.
    pub machine_busy: f64,
    pub leader: String,
    pub roles: BTreeMap<String, RoleUsage>,
    pub state: StateCounts,
    pub cloud: BTreeMap<String, KindCount>,
    /// Bytes a second between all controllers; `None`: not measured.
    pub between_controllers: Option<f64>,
    pub hollow: ReportCounts,
    pub real: ReportCounts,
    pub agreement: Option<Agreement>,
    pub users: BTreeMap<String, Times>,
    pub turned_away: u64,
    pub unanswered: u64,
    pub given_up: u64,
    pub faults: Vec<String>,
    #[serde(default)]
    pub changes: ChangesReport,
    pub ended_by_themselves: usize,
    /// Rules broken, and how often; the first of each in words.
    pub rules: BTreeMap<String, usize>,
    pub broken: Vec<String>,
}

/// A role's processes and what each used in so many seconds.
pub fn role_usage(of: &[Usage], seconds: f64) -> RoleUsage {
    let n = of.len().max(1) as f64;
    let cores = |u: &Usage| (u.user_s + u.system_s) / seconds;
    RoleUsage {
        processes: of.len(),
        user: of.iter().map(|u| u.user_s).sum::<f64>() / seconds / n,
        system: of.iter().map(|u| u.system_s).sum::<f64>() / seconds / n,
        busiest: of.iter().map(cores).fold(0.0, f64::max),
        peak_mb: of.iter().map(|u| u.peak_bytes).max().unwrap_or(0) as f64 / 1_048_576.0,
        sockets: of.iter().map(|u| u.sockets).max().unwrap_or(0),
    }
}

impl Report {
    /// No rule was broken, no process ended by itself, and hollow workers are like real ones.
    pub fn passed(&self) -> bool {
        self.rules.is_empty()
            && self.ended_by_themselves == 0
            && self.changes.acted_on_older == 0
            && self.changes.never_in_force == 0
            && self.agreement.as_ref().is_none_or(|a| a.agree)
    }

    /// One line a role, and what users saw.
    pub fn show(&self) -> String {
        let mut roles = Table::new();
        roles.load_preset(comfy_table::presets::NOTHING);
        roles.set_header([
            "role",
            "processes",
            "user",
            "system",
            "busiest",
            "peak MB",
            "sockets",
        ]);
        for (name, role) in &self.roles {
            roles.add_row([
                name.clone(),
                role.processes.to_string(),
                format!("{:.4}", role.user),
                format!("{:.4}", role.system),
                format!("{:.4}", role.busiest),
                format!("{:.1}", role.peak_mb),
                role.sockets.to_string(),
            ]);
        }
        let mut users = Table::new();
        users.load_preset(comfy_table::presets::NOTHING);
        users.set_header(["users", "count", "p50 ms", "p99 ms", "max ms"]);
        for (name, times) in &self.users {
            users.add_row([
                name.clone(),
                times.count.to_string(),
                format!("{:.0}", times.p50_ms),
                format!("{:.0}", times.p99_ms),
                format!("{:.0}", times.max_ms),
            ]);
        }
        format!("{roles}\n\n{users}\n\n{}", self.summary())
    }

    fn summary(&self) -> String {
        let Reached {
            seconds,
            workers,
            starts,
            running,
            ..
        } = &self.reached;
        let requests: u64 = self.state.kinds.values().map(|k| k.count).sum();
        let mut text = format!(
            "measured {seconds:.0} s: {workers:.0} workers, {starts:.0} starts/s, {running:.0} running; leader {}\n\
             state service: {:.1} requests/s, {:.1} changes/s ({:.3} a start), {} refused, {} keys, {} bytes\n\
             machine: {:.0}% of {} cores busy\n",
            self.leader,
            requests as f64 / seconds,
            self.state.changes as f64 / seconds,
            self.state.changes as f64 / (starts * seconds).max(1.0),
            self.state.refused,
            self.state.keys,
            self.state.bytes,
            100.0 * self.machine_busy,
            self.machine_cores,
        );
        text += &match &self.agreement {
            None => "hollow and real workers: nothing to compare\n".to_string(),
            Some(a) => format!(
                "real and hollow workers {}: bytes a report {:.0?}, interval {:.0?} ms, changes told for a start or end {:.3?}\n",
                if a.agree { "agree" } else { "DO NOT AGREE" },
                a.report_bytes,
                a.interval_ms,
                a.changes_a_start
            ),
        };
        if self.changes.stored + self.changes.failed > 0 {
            let ChangesReport {
                stored,
                failed,
                in_force,
                never_in_force,
                acted_on_older,
            } = &self.changes;
            text += &format!(
                "configuration: {stored} changes, {failed} failed; in force everywhere after p50 {:.0}, p99 {:.0}, \
                 at most {:.0} ms; {never_in_force} never, {acted_on_older} times acted on an older one\n",
                in_force.p50_ms, in_force.p99_ms, in_force.max_ms
            );
        }
        self.faults
            .iter()
            .for_each(|fault| text += &format!("fault at {fault}\n"));
        if self.rules.is_empty() {
            text += "no rule broken\n";
        }
        for (rule, count) in &self.rules {
            text += &format!("RULE BROKEN: {rule}, {count} times\n");
        }
        self.broken.iter().for_each(|b| text += &format!("  {b}\n"));
        if self.ended_by_themselves > 0 {
            text += &format!(
                "{} controllers ended by themselves\n",
                self.ended_by_themselves
            );
        }
        text
    }
}

#[cfg(test)]
mod tests;
