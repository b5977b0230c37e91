use super::*;

fn listing(text: &str) -> Listing {
    serde_json::from_str(text).unwrap()
}

fn record(done: &str, cancelled: bool) -> String {
    format!(r#"{{"spec":{{"tasks":4}},"at":0,"done":"{done}","cancelled":{cancelled}}}"#)
}

#[test]
fn a_copy_follows_every_change_and_tells_ends_apart() {
    let mut m = Mirror::default();
    let (a, b) = (record("0-1", false), record("", true));
    let page = format!(
        r#"{{"items":[{{"k":"gh/live/j-1","v":{a},"stamp":3}}],"truncated":true,"ledger_no":7}}"#
    );
    assert_eq!(m.listed(&listing(&page)).as_deref(), Some("gh/live/j-1"));
    assert_eq!(m.at(), None);
    let page = format!(
        r#"{{"items":[{{"k":"gh/live/j-2","v":{a},"stamp":9}}],"truncated":false,"ledger_no":9}}"#
    );
    assert_eq!(m.listed(&listing(&page)), None);
    assert_eq!(m.at(), Some(7), "changes between the pages are read again");
    assert!(matches!(m.find("j-1"), Found::Job(v) if v.done == 2));
    assert_eq!(m.find("j-3"), Found::NotLive);
    m.miss("j-3".into(), 6);
    assert_eq!(
        m.find("j-3"),
        Found::NotLive,
        "a later change may have shown it"
    );
    m.miss("j-3".into(), 9);
    assert_eq!(m.find("j-3"), Found::Absent);
    let log = format!(
        r#"{{"ledger_no":12,"log":[{{"write":"gh/live/j-2","v":{b},"stamp":10}},
        {{"delete":"gh/live/j-1","stamp":11}},{{"delete":"gh/live/j-2","stamp":11}},
        {{"write":"gh/live/j-3","v":{a},"stamp":12}}]}}"#
    );
    m.followed(&serde_json::from_str(&log).unwrap());
    assert_eq!(m.at(), Some(12));
    assert!(matches!(m.find("j-1"), Found::Job(v) if v.status == Status::Done && v.done == 4));
    assert!(matches!(m.find("j-2"), Found::Job(v) if v.status == Status::Cancelled));
    assert!(
        matches!(m.find("j-3"), Found::Job(_)),
        "it is not absent any more"
    );
    m.lost();
    assert!(
        m.at().is_none() && m.ended("j-1").is_some(),
        "an end holds at any time"
    );
}
