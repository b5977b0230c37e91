//! Runs the whole tool: a cluster of 20 workers on loopback for 24 s, once with faults only, and once also with an
//! injected defect that the rules must detect.

use std::path::{Path, PathBuf};
use std::process::Command;

use gannethub_scale::report::Report;

/// Returns the path of the controllers' program. A build of the workspace's tests puts the program beside this
/// tool's.
fn controller_program() -> PathBuf {
    let own = Path::new(env!("CARGO_BIN_EXE_gannethub-scale"));
    let program = own.with_file_name("gannethub");
    assert!(
        program.is_file(),
        "{} is missing; `cargo build` builds it",
        program.display()
    );
    program
}

fn run(name: &str, extra_arguments: &[&str]) -> (bool, Report) {
    let dir = std::env::temp_dir().join(format!("gannethub-loopback-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("cannot create the directory");
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
        .args(["--program".as_ref(), controller_program().as_os_str()])
        .args(["--report".as_ref(), file.as_os_str()])
        .args(extra_arguments)
        .output()
        .expect("cannot run the tool");
    let errors = String::from_utf8_lossy(&output.stderr);
    let text = std::fs::read_to_string(&file)
        .unwrap_or_else(|e| panic!("cannot read the report: {e}: {errors}"));
    std::fs::remove_file(&file).expect("cannot remove the report");
    (
        output.status.success(),
        serde_json::from_str(&text).expect("cannot parse the report"),
    )
}

#[test]
fn rack_and_leader_loss_violate_no_rule() {
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
fn false_start_report_of_a_worker_is_detected() {
    let (passed, report) = run("pretend.json", &["--pretend"]);
    assert!(
        !passed && report.rules["ran_twice"] > 0,
        "{:?}",
        report.rules
    );
}
