//! The report of a run, as written to the report file, and the summary that is printed.

use std::collections::BTreeMap;

use comfy_table::Table;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::changes::ChangesReport;
use crate::messages::{KindCount, ReportCounts, StateCounts};
use crate::process::Usage;

/// Maximum relative difference between the heartbeats of hollow workers and those of real workers.
pub const MAX_DIFFERENCE: f64 = 0.05;
/// Minimum number of heartbeats of each kind of worker for a comparison. With fewer heartbeats, chance decides the
/// result.
const MIN_HEARTBEATS: u64 = 200;

/// The requested sizes of a run. Times are in seconds, `starts` is in task starts per second.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct AskedSizes {
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

/// The sizes that a run reached in the measured time. `starts` and `jobs_submitted` are per second.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ReachedSizes {
    pub seconds: f64,
    pub workers: f64,
    pub starts: f64,
    pub running: f64,
    pub jobs_submitted: f64,
}

/// Resource use of all processes of a role.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RoleUsage {
    pub processes: usize,
    /// Mean number of cores that a process used in user mode.
    pub user: f64,
    /// Mean number of cores that a process used in system mode.
    pub system: f64,
    /// Number of cores that the busiest process used in both modes.
    pub busiest: f64,
    /// Maximum peak memory of any process, in MiB.
    pub peak_mb: f64,
    /// Maximum number of sockets of any process.
    pub sockets: usize,
}

/// Distribution of times of one kind, in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Times {
    pub count: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
}

impl Times {
    /// Returns the distribution of times that are given in microseconds.
    pub fn of(times: impl IntoIterator<Item = u64>) -> Times {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return Times::default();
        };
        for time in times {
            // Recording cannot fail: the histogram grows with its values, and no value exceeds 64 bits.
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

/// Comparison of the heartbeats of real workers with those of hollow workers under the same conditions. Each pair
/// holds the figure of the real workers, and the figure that hollow workers would have had in their place.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Agreement {
    /// Mean size of a heartbeat, in bytes.
    pub report_bytes: [f64; 2],
    /// Mean interval between two heartbeats of a worker, in milliseconds.
    pub interval_ms: [f64; 2],
    /// Number of reported task state changes for each start or end of a task. The number of changes in one heartbeat
    /// is not compared, because it depends on the load.
    pub changes_a_start: [f64; 2],
    pub agree: bool,
}

impl Agreement {
    /// Compares the heartbeats of real and hollow workers. Returns `None` if there are too few to compare.
    pub fn of(real: &ReportCounts, hollow: &ReportCounts) -> Option<Agreement> {
        if real.reports < MIN_HEARTBEATS || hollow.reports < MIN_HEARTBEATS {
            return None;
        }
        let report_bytes = weighted_means(&real.by_tasks, &hollow.by_tasks)?;
        let interval = weighted_means(&real.intervals, &hollow.intervals)?;
        let per_start = |c: &ReportCounts| c.changes as f64 / (c.starts + c.ends).max(1) as f64;
        let changes_a_start = [per_start(real), per_start(hollow)];
        let interval_ms = interval.map(|us| us / 1e3);
        let agrees = |[a, b]: [f64; 2]| (a - b).abs() <= MAX_DIFFERENCE * a.max(b);
        let agree = agrees(report_bytes) && agrees(interval_ms) && agrees(changes_a_start);
        Some(Agreement {
            report_bytes,
            interval_ms,
            changes_a_start,
            agree,
        })
    }
}

/// Returns the mean of the real workers and the mean of the hollow workers. Each map has the number of heartbeats and
/// the sum of the compared figure, by condition. The mean of the hollow workers weights each condition by the number
/// of heartbeats of real workers. Conditions that did not occur with hollow workers are left out of both means.
fn weighted_means<K: Ord>(
    real: &BTreeMap<K, (u64, u64)>,
    hollow: &BTreeMap<K, (u64, u64)>,
) -> Option<[f64; 2]> {
    let (mut count, mut sum, mut expected) = (0.0, 0.0, 0.0);
    for (key, (heartbeats, total)) in real {
        let Some((hollow_heartbeats, hollow_total)) = hollow.get(key).filter(|h| h.0 > 0) else {
            continue;
        };
        count += *heartbeats as f64;
        sum += *total as f64;
        expected += *heartbeats as f64 * *hollow_total as f64 / *hollow_heartbeats as f64;
    }
    (count > 0.0).then(|| [sum / count, expected / count])
}

/// The report of a run.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Report {
    pub asked: AskedSizes,
    pub reached: ReachedSizes,
    pub commit: String,
    pub machine_cores: usize,
    /// Busy share of the machine's processors, from 0 to 1.
    pub machine_busy: f64,
    pub leader: String,
    pub roles: BTreeMap<String, RoleUsage>,
    pub state: StateCounts,
    pub cloud: BTreeMap<String, KindCount>,
    /// Bytes per second between all controllers. `None` if not measured.
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
    /// Number of controller processes that ended without being killed by the run.
    pub ended_by_themselves: usize,
    /// Number of violations of each violated rule.
    pub rules: BTreeMap<String, usize>,
    /// Descriptions of the first violations.
    pub broken: Vec<String>,
}

/// Returns the resource use of a role whose processes have used `usages` in a time of `seconds`.
pub fn role_usage(usages: &[Usage], seconds: f64) -> RoleUsage {
    let n = usages.len().max(1) as f64;
    let cores = |u: &Usage| (u.user_s + u.system_s) / seconds;
    RoleUsage {
        processes: usages.len(),
        user: usages.iter().map(|u| u.user_s).sum::<f64>() / seconds / n,
        system: usages.iter().map(|u| u.system_s).sum::<f64>() / seconds / n,
        busiest: usages.iter().map(cores).fold(0.0, f64::max),
        peak_mb: usages.iter().map(|u| u.peak_bytes).max().unwrap_or(0) as f64 / 1_048_576.0,
        sockets: usages.iter().map(|u| u.sockets).max().unwrap_or(0),
    }
}

impl Report {
    /// Whether no rule was violated and no controller ended by itself. Also, every stored configuration version must
    /// have come into force in time, no controller may have acted on an older version for too long, and hollow workers
    /// must agree with real ones if they were compared.
    pub fn passed(&self) -> bool {
        self.rules.is_empty()
            && self.ended_by_themselves == 0
            && self.changes.acted_on_older == 0
            && self.changes.never_in_force == 0
            && self.agreement.as_ref().is_none_or(|a| a.agree)
    }

    /// Returns a table of the roles, a table of the latencies that users saw, and a summary.
    pub fn summary_text(&self) -> String {
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
        let ReachedSizes {
            seconds,
            workers,
            starts,
            running,
            ..
        } = &self.reached;
        let requests: u64 = self.state.kinds.values().map(|k| k.count).sum();
        let mut text = format!(
            "measured {seconds:.0} s: {workers:.0} workers, {starts:.0} starts/s, {running:.0} running; leader {}\n\
             state service: {:.1} requests/s, {:.1} changes/s ({:.3} per start), {} refused, {} keys, {} bytes\n\
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
                "real and hollow workers {}: bytes per report {:.0?}, interval {:.0?} ms, reported changes per start or end {:.3?}\n",
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
                 at most {:.0} ms; {never_in_force} never in force, {acted_on_older} times acted on an older version\n",
                in_force.p50_ms, in_force.p99_ms, in_force.max_ms
            );
        }
        self.faults
            .iter()
            .for_each(|fault| text += &format!("fault: {fault}\n"));
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
