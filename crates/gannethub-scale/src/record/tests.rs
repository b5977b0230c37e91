use super::*;

fn event(at: u64, host: &str, task: &str, what: TaskEventKind) -> TaskEvent {
    TaskEvent {
        at,
        host: host.into(),
        task: task.into(),
        attempt: 1,
        what,
    }
}

fn record(limit: f64) -> Record {
    let mut record = Record {
        max_cancel_time: 100,
        ..Record::default()
    };
    record.limits.push(vec![LimitEntry { at: 0, cpus: limit }]);
    for (host, zone) in [("h-1", "a"), ("h-2", "b")] {
        let info = HostInfo {
            flavor: "f".into(),
            zone: zone.into(),
            spot: false,
        };
        record.hosts.insert(host.into(), info);
    }
    let job = JobRecord {
        tasks: 2,
        cpus: 1.0,
        is_gang: true,
        ..JobRecord::default()
    };
    record.jobs.insert("j-1".into(), job);
    record
}

fn rules(record: &mut Record) -> Vec<&'static str> {
    let mut rules: Vec<_> = record
        .check_rules(1000)
        .into_iter()
        .map(|b| b.rule)
        .collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}

#[test]
fn each_rule_violation_is_detected_without_false_positives() {
    let mut valid = record(2.0);
    for task in ["j-1/0", "j-1/1"] {
        valid.record_event(&event(10, "h-1", task, TaskEventKind::Started));
        valid.record_event(&event(50, "h-1", task, TaskEventKind::Done));
    }
    valid.jobs.get_mut("j-1").unwrap().told_done = Some(60);
    assert_eq!(rules(&mut valid), [""; 0]);

    let mut twice = record(2.0);
    twice.record_event(&event(10, "h-1", "j-1/0", TaskEventKind::Started));
    twice.record_event(&event(20, "h-2", "j-1/0", TaskEventKind::Started));
    assert_eq!(rules(&mut twice), ["ran_twice", "wrong_place"]);

    let mut over = record(1.0);
    over.record_event(&event(10, "h-1", "j-1/0", TaskEventKind::Started));
    over.record_event(&event(11, "h-1", "j-1/1", TaskEventKind::Started));
    assert_eq!(rules(&mut over), ["quota"]);

    let mut early = record(2.0);
    early.record_event(&event(10, "h-1", "j-1/0", TaskEventKind::Started));
    early.record_event(&event(50, "h-1", "j-1/0", TaskEventKind::Done));
    early.jobs.get_mut("j-1").unwrap().told_done = Some(60);
    assert_eq!(rules(&mut early), ["not_done"]);

    let mut late = record(2.0);
    late.record_event(&event(10, "h-1", "j-1/0", TaskEventKind::Started));
    late.jobs.get_mut("j-1").unwrap().told_cancelled = Some(20);
    assert_eq!(rules(&mut late), ["ran_cancelled"]);
}

#[test]
fn lowered_limit_allows_running_tasks_but_no_new_starts() {
    let mut record = record(2.0);
    record.record_event(&event(10, "h-1", "j-1/0", TaskEventKind::Started));
    record.record_event(&event(11, "h-1", "j-1/1", TaskEventKind::Started));
    record.limits[0].push(LimitEntry { at: 20, cpus: 1.0 });
    assert_eq!(rules(&mut record), [""; 0]);
    record.record_event(&event(30, "h-1", "j-1/1", TaskEventKind::Gone));
    record.record_event(&event(40, "h-1", "j-1/1", TaskEventKind::Started));
    assert_eq!(rules(&mut record), ["quota"]);
}

#[test]
fn tasks_of_an_ended_machine_are_gone() {
    let mut record = record(2.0);
    record.record_event(&event(10, "h-1", "j-1/0", TaskEventKind::Started));
    assert_eq!(record.running(), 1);
    record.host_ended("h-1", 30);
    assert_eq!(record.running(), 0);
    record.record_event(&event(30, "h-2", "j-1/0", TaskEventKind::Started));
    assert_eq!(rules(&mut record), [""; 0]);
}
