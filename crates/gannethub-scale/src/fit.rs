//! Fits slopes by least squares over the reports of several runs. A slope is the amount that each unit of a
//! deployment size adds to a measured quantity, such as the cores of a role.

use std::path::{Path, PathBuf};

use comfy_table::Table;

use crate::report::Report;

/// The reason why no slopes can be fitted.
#[derive(Debug, thiserror::Error)]
pub enum FitError {
    #[error("cannot read report {0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    #[error("cannot parse {0} as the report of a scale run: {1}")]
    Parse(PathBuf, serde_json::Error),
    #[error("cannot fit slopes: {0} reports are too few, at least {1} are needed")]
    TooFew(usize, usize),
    #[error("cannot fit slopes: in these runs {0} depends linearly on the other sizes")]
    Collinear(&'static str),
}

/// Names of the sizes of a run, beginning with the constant.
const SIZES: [&str; 6] = [
    "constant", "workers", "starts/s", "running", "teams", "zones",
];

/// Sizes of the target, in the order of `SIZES`.
pub const TARGET_SIZES: [f64; 6] = [1.0, 4500.0, 990.0, 59_000.0, 300.0, 12.0];

fn sizes(report: &Report) -> [f64; 6] {
    let reached = &report.reached;
    let (teams, zones) = (report.asked.teams as f64, report.asked.zones as f64);
    [
        1.0,
        reached.workers,
        reached.starts,
        reached.running,
        teams,
        zones,
    ]
}

/// A fitted quantity: its name with the unit, and the function that reads it from a report.
type Quantity = (&'static str, fn(&Report) -> f64);

const QUANTITIES: [Quantity; 17] = [
    ("leader: cores", |r| cores(r, "leader")),
    ("leader: peak MB", |r| role(r, "leader", |u| u.peak_mb)),
    ("follower: cores", |r| cores(r, "follower")),
    ("follower: peak MB", |r| role(r, "follower", |u| u.peak_mb)),
    ("real worker: cores", |r| cores(r, "real worker")),
    ("real worker: bytes/s", |r| worker_bytes(r)),
    ("all workers: reports/s", |r| {
        (r.hollow.reports + r.real.reports) as f64 / r.reached.seconds
    }),
    ("all workers: bytes/s", |r| {
        let bytes = |c: &crate::messages::ReportCounts| c.report_bytes + c.answer_bytes;
        (bytes(&r.hollow) + bytes(&r.real)) as f64 / r.reached.seconds
    }),
    ("state service: requests/s", |r| {
        r.state.kinds.values().map(|k| k.count).sum::<u64>() as f64 / r.reached.seconds
    }),
    ("state service: changes/s", |r| {
        r.state.changes as f64 / r.reached.seconds
    }),
    ("state service: keys", |r| r.state.keys as f64),
    ("state service: KB held", |r| r.state.bytes as f64 / 1024.0),
    ("state service: KB/s", |r| {
        let bytes = r
            .state
            .kinds
            .values()
            .map(|k| k.bytes_in + k.bytes_out)
            .sum::<u64>();
        bytes as f64 / 1024.0 / r.reached.seconds
    }),
    ("cloud: calls/s", |r| {
        r.cloud.values().map(|k| k.count).sum::<u64>() as f64 / r.reached.seconds
    }),
    ("between controllers: KB/s", |r| {
        r.between_controllers.unwrap_or(f64::NAN) / 1024.0
    }),
    ("users: submission p99 ms", |r| {
        user(r, "submission", |t| t.p99_ms)
    }),
    ("users: urgent start p50 ms", |r| {
        user(r, "urgent start", |t| t.p50_ms)
    }),
];

fn role(report: &Report, name: &str, of: fn(&crate::report::RoleUsage) -> f64) -> f64 {
    report.roles.get(name).map_or(f64::NAN, of)
}

fn cores(report: &Report, name: &str) -> f64 {
    role(report, name, |u| u.user + u.system)
}

fn user(report: &Report, name: &str, of: fn(&crate::report::Times) -> f64) -> f64 {
    report.users.get(name).map_or(f64::NAN, of)
}

fn worker_bytes(report: &Report) -> f64 {
    let bytes = report.real.report_bytes + report.real.answer_bytes;
    bytes as f64 / report.reached.seconds / report.asked.real.max(1) as f64
}

/// Result of a fit: the slopes, their standard errors, and the largest relative residual of any run.
#[derive(Clone, Debug)]
pub struct Fitted {
    pub slopes: Vec<f64>,
    pub standard_errors: Vec<f64>,
    pub max_relative_residual: f64,
}

impl Fitted {
    /// Returns the value of the fitted quantity at these sizes.
    pub fn value_at(&self, sizes: &[f64]) -> f64 {
        self.slopes
            .iter()
            .zip(sizes)
            .map(|(slope, size)| slope * size)
            .sum()
    }
}

/// Fits the measured values to `rows` of sizes by least squares.
pub fn least_squares(rows: &[Vec<f64>], measured: &[f64]) -> Result<Fitted, FitError> {
    let n = rows.first().map_or(0, Vec::len);
    if rows.len() <= n {
        return Err(FitError::TooFew(rows.len(), n + 1));
    }
    // Sizes differ by orders of magnitude, so each size is scaled by its largest value.
    let scale: Vec<f64> = (0..n)
        .map(|i| rows.iter().map(|r| r[i].abs()).fold(1e-12, f64::max))
        .collect();
    let scaled: Vec<Vec<f64>> = rows
        .iter()
        .map(|r| r.iter().zip(&scale).map(|(x, s)| x / s).collect())
        .collect();
    let product = |i: usize, j: usize| scaled.iter().map(|r| r[i] * r[j]).sum::<f64>();
    let normal_matrix: Vec<Vec<f64>> = (0..n)
        .map(|i| (0..n).map(|j| product(i, j)).collect())
        .collect();
    let inverse = invert(normal_matrix)?;
    let right_side: Vec<f64> = (0..n)
        .map(|i| scaled.iter().zip(measured).map(|(r, y)| r[i] * y).sum())
        .collect();
    let solution: Vec<f64> = inverse
        .iter()
        .map(|row| row.iter().zip(&right_side).map(|(a, b)| a * b).sum())
        .collect();
    let predicted = |r: &Vec<f64>| r.iter().zip(&solution).map(|(x, s)| x * s).sum::<f64>();
    let residuals: Vec<f64> = scaled
        .iter()
        .zip(measured)
        .map(|(r, y)| y - predicted(r))
        .collect();
    let variance = residuals.iter().map(|m| m * m).sum::<f64>() / (rows.len() - n) as f64;
    let relative = |(m, y): (&f64, &f64)| (m / y.abs().max(1e-12)).abs();
    Ok(Fitted {
        slopes: solution.iter().zip(&scale).map(|(s, k)| s / k).collect(),
        standard_errors: (0..n)
            .map(|i| (variance * inverse[i][i]).max(0.0).sqrt() / scale[i])
            .collect(),
        max_relative_residual: residuals
            .iter()
            .zip(measured)
            .map(relative)
            .fold(0.0, f64::max),
    })
}

/// Inverts a matrix by Gauss-Jordan elimination with partial pivoting: the pivot is the largest element of a column.
fn invert(mut matrix: Vec<Vec<f64>>) -> Result<Vec<Vec<f64>>, FitError> {
    let n = matrix.len();
    for (i, row) in matrix.iter_mut().enumerate() {
        row.extend((0..n).map(|j| f64::from(u8::from(i == j))));
    }
    for column in 0..n {
        let largest = |a: &usize, b: &usize| {
            matrix[*a][column]
                .abs()
                .total_cmp(&matrix[*b][column].abs())
        };
        let pivot = (column..n).max_by(largest).unwrap_or(column);
        if matrix[pivot][column].abs() < 1e-9 {
            return Err(FitError::Collinear(
                SIZES.get(column).copied().unwrap_or("a size"),
            ));
        }
        matrix.swap(column, pivot);
        let divisor = matrix[column][column];
        matrix[column].iter_mut().for_each(|x| *x /= divisor);
        let pivot_row = matrix[column].clone();
        for (row, values) in matrix
            .iter_mut()
            .enumerate()
            .filter(|(row, _)| *row != column)
        {
            debug_assert!(row < n);
            let factor = values[column];
            values
                .iter_mut()
                .zip(&pivot_row)
                .for_each(|(x, p)| *x -= factor * p);
        }
    }
    Ok(matrix.into_iter().map(|row| row[n..].to_vec()).collect())
}

fn read(file: &Path) -> Result<Report, FitError> {
    let text = std::fs::read_to_string(file).map_err(|e| FitError::Unreadable(file.into(), e))?;
    serde_json::from_str(&text).map_err(|e| FitError::Parse(file.into(), e))
}

/// Returns the tables of the capacity page in Markdown: a table of the runs, and a table of the slopes with their
/// standard errors.
pub fn tables(files: &[PathBuf]) -> Result<String, FitError> {
    let reports: Vec<Report> = files.iter().map(|f| read(f)).collect::<Result<_, _>>()?;
    let rows: Vec<Vec<f64>> = reports.iter().map(|r| sizes(r).to_vec()).collect();
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    let mut head = vec!["quantity".to_string()];
    head.extend(SIZES.iter().map(|s| (*s).to_string()));
    head.extend(["worst miss".to_string(), "at the target".to_string()]);
    table.set_header(head);
    for (name, quantity) in QUANTITIES {
        let measured: Vec<f64> = reports.iter().map(quantity).collect();
        if measured.iter().any(|x| x.is_nan()) {
            table.add_row([name, "not measured in every run"]);
            continue;
        }
        let fitted = least_squares(&rows, &measured)?;
        let slope = |(s, e): (&f64, &f64)| format!("{} ± {}", format_figure(*s), format_figure(*e));
        let mut row = vec![name.to_string()];
        row.extend(fitted.slopes.iter().zip(&fitted.standard_errors).map(slope));
        row.push(format!("{:.0}%", 100.0 * fitted.max_relative_residual));
        row.push(format_figure(fitted.value_at(&TARGET_SIZES)));
        table.add_row(row);
    }
    Ok(format!("{}\n\n{table}\n", runs_table(files, &reports)))
}

/// Returns a table of the sizes and quantities of each run.
fn runs_table(files: &[PathBuf], reports: &[Report]) -> String {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    let mut head = vec![
        "run", "workers", "starts/s", "running", "teams", "zones", "busy",
    ];
    head.extend(QUANTITIES.iter().map(|q| q.0));
    table.set_header(head);
    for (file, report) in files.iter().zip(reports) {
        let name = file
            .file_stem()
            .map_or_else(String::new, |n| n.to_string_lossy().into_owned());
        let mut row = vec![name];
        row.extend(sizes(report)[1..].iter().map(|x| format!("{x:.0}")));
        row.push(format!("{:.0}%", 100.0 * report.machine_busy));
        row.extend(QUANTITIES.iter().map(|q| format_figure(q.1(report))));
        table.add_row(row);
    }
    table.to_string()
}

/// Formats a number with three significant digits. Numbers from 1000 on are rounded to integers. Numbers below 0.01
/// are shown in scientific notation with two digits.
fn format_figure(x: f64) -> String {
    if x == 0.0 || !x.is_finite() {
        return if x.is_nan() {
            "-".into()
        } else {
            format!("{x}")
        };
    }
    let digits = 2 - x.abs().log10().floor() as i32;
    match digits {
        ..=0 => format!("{x:.0}"),
        1..=4 => format!("{:.*}", digits as usize, x),
        _ => format!("{x:.1e}"),
    }
}

#[cfg(test)]
mod tests;
