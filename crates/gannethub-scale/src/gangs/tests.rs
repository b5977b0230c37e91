use super::*;

fn event(at: u64, task: &str, what: Happened) -> TaskEvent {
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
        gangs.event(&event(10, "j-1/0", Happened::Started), 2, 100, 5),
        None
    );
    let starts = gangs.event(&event(20, "j-1/1", Happened::Started), 2, 100, 5);
    assert_eq!(starts, Some(GangStep::Starts(key.clone())));
    assert_eq!(gangs.over(60), []);
    assert_eq!(
        gangs.event(&event(60, "j-1/1", Happened::Gone), 2, 100, 5),
        None
    );
    assert_eq!(gangs.over(64), []);
    assert_eq!(gangs.over(65), [GangStep::Ends(key, false)]);
    assert_eq!(
        gangs.event(&event(66, "j-1/0", Happened::Gone), 2, 100, 5),
        None
    );
    assert!(gangs.gangs.is_empty() && gangs.ends_by_time.is_empty());
}

#[test]
fn complete_gang_is_done_after_its_run_time() {
    let mut gangs = Gangs::default();
    let starts = gangs.event(&event(20, "j-1/0", Happened::Started), 1, 100, 5);
    assert_eq!(starts, Some(GangStep::Starts(("j-1".into(), 4))));
    assert_eq!(gangs.over(120), [GangStep::Ends(("j-1".into(), 4), true)]);
}
