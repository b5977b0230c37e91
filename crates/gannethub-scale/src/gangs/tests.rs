use super::*;

fn event(at: u64, task: &str, what: TaskEventKind) -> TaskEvent {
    TaskEvent {
        at,
        host: "host-1".into(),
        task: task.into(),
        attempt: 4,
        what,
    }
}

#[test]
fn gang_starts_when_complete_and_ends_when_a_task_is_gone() {
    let mut gangs = Gangs::default();
    let key = ("j-1".to_string(), 4);
    assert_eq!(
        gangs.on_event(&event(10, "j-1/0", TaskEventKind::Started), 2, 100, 5),
        None
    );
    let starts = gangs.on_event(&event(20, "j-1/1", TaskEventKind::Started), 2, 100, 5);
    assert_eq!(starts, Some(GangChange::Starts(key.clone())));
    assert_eq!(gangs.due_ends(60), []);
    assert_eq!(
        gangs.on_event(&event(60, "j-1/1", TaskEventKind::Gone), 2, 100, 5),
        None
    );
    assert_eq!(gangs.due_ends(64), []);
    assert_eq!(gangs.due_ends(65), [GangChange::Ends(key, false)]);
    assert_eq!(
        gangs.on_event(&event(66, "j-1/0", TaskEventKind::Gone), 2, 100, 5),
        None
    );
    assert!(gangs.gangs.is_empty() && gangs.ends_by_time.is_empty());
}

#[test]
fn complete_gang_is_done_after_its_run_time() {
    let mut gangs = Gangs::default();
    let starts = gangs.on_event(&event(20, "j-1/0", TaskEventKind::Started), 1, 100, 5);
    assert_eq!(starts, Some(GangChange::Starts(("j-1".into(), 4))));
    assert_eq!(
        gangs.due_ends(120),
        [GangChange::Ends(("j-1".into(), 4), true)]
    );
}
