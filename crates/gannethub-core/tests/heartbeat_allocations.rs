//! Cost of handling a heartbeat at a shard owner, in memory allocations. The count is the same on every run.

#[allow(dead_code)]
#[path = "simulation/leader_view.rs"]
mod leader_view;

use gannethub_core::model::{SECOND, Shape};
use gannethub_core::reconcile::heartbeat::HeartbeatOutcome;
use gannethub_core::wire::worker::{ReportedTask, TaskState, WorkerHeartbeat};
use leader_view::{LeaderView, TERM, spec};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// Returns a heartbeat that reports `tasks` as running, as the JSON text that a worker sends.
fn heartbeat_json(machine: &str, seq: u64, tasks: &[(String, u64)]) -> String {
    let pieces: Vec<String> = tasks
        .iter()
        .map(|(t, a)| format!("{{\"piece\":\"{t}\",\"try_no\":{a},\"status\":\"running\"}}"))
        .collect();
    format!(
        "{{\"host\":\"{machine}\",\"addr\":\"10.9.0.1:9000\",\"rig\":\"small\",\"yard\":\"a\",\"loaners\":false,\
         \"shift\":1,\"tally\":{seq},\"baton\":{TERM},\"warning_s\":null,\"pieces\":[{}]}}",
        pieces.join(",")
    )
}

#[test]
fn unchanged_heartbeats_allocate_only_their_task_list() {
    let mut view = LeaderView::new();
    let machine = view.machines("m", 1, "small", "a").remove(0);
    view.submit("j-000001", spec(Shape::Array, "red", 4, 1.0));
    view.advance(1);
    view.cluster.run_scheduling_pass(view.now);
    view.write();
    let attempts = view.cluster.machines[&*machine].attempts.keys();
    let tasks: Vec<(String, u64)> = attempts
        .map(|id| (id.task.to_string(), id.number))
        .collect();
    assert_eq!(tasks.len(), 4);
    view.run_all();
    let texts: Vec<String> = (0..50)
        .map(|i| heartbeat_json(&machine, 100 + i, &tasks))
        .collect();
    let _profiler = dhat::Profiler::builder().testing().build();
    let mut parsing = 0;
    let mut applying = 0;
    for (i, text) in texts.iter().enumerate() {
        view.now += SECOND / 10;
        let before = dhat::HeapStats::get().total_blocks;
        let report: WorkerHeartbeat<'_> = serde_json::from_str(text).expect("a report");
        let parsed = dhat::HeapStats::get().total_blocks;
        let outcome = view.cluster.apply_heartbeat(view.now, &report);
        let done = dhat::HeapStats::get().total_blocks;
        assert_eq!(outcome, HeartbeatOutcome::Orders(Vec::new()));
        // The first heartbeat is not counted. It differs from the one that `run_all` sent only in its sequence number.
        if i > 0 {
            parsing += parsed - before;
            applying += done - parsed;
        }
    }
    assert_eq!(
        applying, 0,
        "allocations for applying 49 unchanged heartbeats"
    );
    assert_eq!(
        parsing, 49,
        "parsing a heartbeat allocates only the list of tasks"
    );
    // A heartbeat with a changed task state allocates, which shows that allocations are counted.
    let mut changed: WorkerHeartbeat<'_> = serde_json::from_str(&texts[0]).expect("a report");
    changed.sequence = 1000;
    let ended: &mut ReportedTask<'_> = &mut changed.tasks[0];
    ended.state = TaskState::Saving;
    let before = dhat::HeapStats::get().total_blocks;
    view.cluster.apply_heartbeat(view.now, &changed);
    assert!(dhat::HeapStats::get().total_blocks > before);
}
