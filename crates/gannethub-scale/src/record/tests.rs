use super::*;

fn event(at: u64, host: &str, task: &str, what: Happened) -> TaskEvent {
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
        cancel: 100,
        ..Record::default()
    };
    record.limits.push(vec![LimitFrom { at: 0, cpus: limit }]);
    for (host, zone) in [("h-1", "a"), ("h-2", "b")] {
        let facts = HostFacts {
            flavor: "f".into(),
            zone: zone.into(),
            spot: false,
        };
        record.hosts.insert(host.into(), facts);
    }
    let job = JobRecord {
        tasks: 2,
        cpus: 1.0,
        together: true,
        ..JobRecord::default()
    };
    record.jobs.insert("j-1".into(), job);
    record
}

fn rules(record: &mut Record) -> Vec<&'static str> {
    let mut rules: Vec<_> = record.check(1000).into_iter().map(|b| b.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}

#[test]
fn each_rule_is_seen_to_be_broken_and_only_then() {
    let mut fine = record(2.0);
    for task in ["j-1/0", "j-1/1"] {
        fine.event(&event(10, "h-1", task, Happened::Started));
        fine.event(&event(50, "h-1", task, Happened::Done));
    }
    fine.jobs.get_mut("j-1").unwrap().told_done = Some(60);
    assert_eq!(rules(&mut fine), [""; 0]);

    let mut twice = record(2.0);
    twice.event(&event(10, "h-1", "j-1/0", Happened::Started));
    twice.event(&event(20, "h-2", "j-1/0", Happened::Started));
    assert_eq!(rules(&mut twice), ["ran_twice", "wrong_place"]);

    let mut over = record(1.0);
    over.event(&event(10, "h-1", "j-1/0", Happened::Started));
    over.event(&event(11, "h-1", "j-1/1", Happened::Started));
    assert_eq!(rules(&mut over), ["quota"]);

    let mut early = record(2.0);
    early.event(&event(10, "h-1", "j-1/0", Happened::Started));
    early.event(&event(50, "h-1", "j-1/0", Happened::Done));
    early.jobs.get_mut("j-1").unwrap().told_done = Some(60);
    assert_eq!(rules(&mut early), ["not_done"]);

    let mut late = record(2.0);
    late.event(&event(10, "h-1", "j-1/0", Happened::Started));
    late.jobs.get_mut("j-1").unwrap().told_cancelled = Some(20);
    assert_eq!(rules(&mut late), ["ran_cancelled"]);
}

#[test]
fn what_runs_when_a_limit_is_lowered_may_go_on_but_nothing_may_be_added() {
    let mut record = record(2.0);
    record.event(&event(10, "h-1", "j-1/0", Happened::Started));
    record.event(&event(11, "h-1", "j-1/1", Happened::Started));
    record.limits[0].push(LimitFrom { at: 20, cpus: 1.0 });
    assert_eq!(rules(&mut record), [""; 0]);
    record.event(&event(30, "h-1", "j-1/1", Happened::Gone));
    record.event(&event(40, "h-1", "j-1/1", Happened::Started));
    assert_eq!(rules(&mut record), ["quota"]);
}

#[test]
fn what_was_on_a_machine_that_ended_is_there_no_more() {
    let mut record = record(2.0);
    record.event(&event(10, "h-1", "j-1/0", Happened::Started));
    assert_eq!(record.running(), 1);
    record.host_ended("h-1", 30);
    assert_eq!(record.running(), 0);
    record.event(&event(30, "h-2", "j-1/0", Happened::Started));
    assert_eq!(rules(&mut record), [""; 0]);
}
