//! The tool as a whole: a cluster of some twenty workers on loopback for some seconds, with faults, and once with a
//! defect that is put in on purpose.

use std::path::{Path, PathBuf};
use std::process::Command;

use gannethub_scale::report::Report;

/// The controllers' program, which the workspace's tests have built beside this one's.
fn controllers() -> PathBuf {
    let own = Path::new(env!("CARGO_BIN_EXE_gannethub-scale"));
    let program = own.with_file_name("gannethub");
    assert!(program.is_file(), "cargo build makes {}", program.display());
    program
}

fn run(name: &str, more: &[&str]) -> (bool, Report) {
    let dir = std::env::temp_dir().join(format!("gannethub-loopback-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a directory");
    let file = dir.join(name);
    let load = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/small.toml");
    let output = Command::new(env!("CARGO_BIN_EXE_gannethub-scale"))
        .args([
            "run",
            "--workers",
            "20",
            "--real",
            "2",
            "--controllers",
            "3",
            "--starts",
            "12",
        ])
        .args([
            "--running",
            "12",
            "--gang",
            "3",
            "--seconds",
            "24",
            "--warm-up",
            "10",
        ])
        .args(["--load".as_ref(), load.as_os_str()])
        .args(["--program".as_ref(), controllers().as_os_str()])
        .args(["--report".as_ref(), file.as_os_str()])
        .args(more)
        .output()
        .expect("the tool can be run");
    let said = String::from_utf8_lossy(&output.stderr);
    let text = std::fs::read_to_string(&file).unwrap_or_else(|e| panic!("{e}: {said}"));
    std::fs::remove_file(&file).expect("it was there");
    (
        output.status.success(),
        serde_json::from_str(&text).expect("it is a report"),
    )
}

#[test]
fn a_small_cluster_is_measured_and_no_rule_is_broken_through_the_loss_of_a_rack_and_the_leader() {
    let (passed, report) = run("plain.json", &[]);
    assert!(passed && report.broken.is_empty(), "{:?}", report.broken);
    assert_eq!(report.faults.len(), 2, "{:?}", report.faults);
    for role in [
        "leader",
        "follower",
        "real worker",
        "hollow workers",
        "state service",
        "cloud",
    ] {
        assert!(
            report.roles[role].processes > 0 && report.roles[role].peak_mb > 0.5,
            "{role}"
        );
    }
    let changes = &report.changes;
    assert_eq!(
        (
            changes.stored,
            changes.in_force.count,
            changes.acted_on_older
        ),
        (3, 3, 0)
    );
    assert!(report.reached.starts > 1.0 && report.state.changes > 0 && report.real.reports > 20);
    assert!(report.users["submission"].count > 10 && report.users["question"].count > 10);
    assert!(report.state.kinds["commit"].bytes_in > 0 && report.state.kinds["watch"].bytes_out > 0);
}

#[test]
fn a_worker_that_says_it_started_what_another_runs_is_caught() {
    let (passed, report) = run("pretend.json", &["--pretend"]);
    assert!(
        !passed && report.rules["ran_twice"] > 0,
        "{:?}",
        report.rules
    );
}
