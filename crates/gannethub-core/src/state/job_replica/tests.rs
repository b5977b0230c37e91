use super::*;

fn listing(text: &str) -> Listing {
    serde_json::from_str(text).unwrap()
}

fn record(done: &str, cancelled: bool) -> String {
    format!(r#"{{"spec":{{"tasks":4}},"at":0,"done":"{done}","cancelled":{cancelled}}}"#)
}

#[test]
fn replica_applies_changes_and_distinguishes_ends() {
    let mut replica = JobReplica::default();
    let (pending, cancelled) = (record("0-1", false), record("", true));
    let page = format!(
        r#"{{"items":[{{"k":"gh/live/j-1","v":{pending},"stamp":3}}],"truncated":true,"ledger_no":7}}"#
    );
    assert_eq!(
        replica.apply_listing_page(&listing(&page)).as_deref(),
        Some("gh/live/j-1")
    );
    assert_eq!(replica.version(), None);
    let page = format!(
        r#"{{"items":[{{"k":"gh/live/j-2","v":{pending},"stamp":9}}],"truncated":false,"ledger_no":9}}"#
    );
    assert_eq!(replica.apply_listing_page(&listing(&page)), None);
    assert_eq!(
        replica.version(),
        Some(7),
        "changes between the pages are read again"
    );
    assert!(matches!(replica.lookup("j-1"), JobLookup::Job(view) if view.done == 2));
    assert_eq!(replica.lookup("j-3"), JobLookup::NotLive);
    replica.record_absent("j-3".into(), 6);
    assert_eq!(
        replica.lookup("j-3"),
        JobLookup::NotLive,
        "a later change may have created the job"
    );
    replica.record_absent("j-3".into(), 9);
    assert_eq!(replica.lookup("j-3"), JobLookup::NeverSubmitted);
    let log = format!(
        r#"{{"ledger_no":12,"log":[{{"write":"gh/live/j-2","v":{cancelled},"stamp":10}},
        {{"delete":"gh/live/j-1","stamp":11}},{{"delete":"gh/live/j-2","stamp":11}},
        {{"write":"gh/live/j-3","v":{pending},"stamp":12}}]}}"#
    );
    replica.apply_changes(&serde_json::from_str(&log).unwrap());
    assert_eq!(replica.version(), Some(12));
    assert!(
        matches!(replica.lookup("j-1"), JobLookup::Job(view) if view.status == JobStatus::Done && view.done == 4)
    );
    assert!(
        matches!(replica.lookup("j-2"), JobLookup::Job(view) if view.status == JobStatus::Cancelled)
    );
    assert!(
        matches!(replica.lookup("j-3"), JobLookup::Job(_)),
        "the job is no longer absent"
    );
    replica.reset();
    assert!(
        replica.version().is_none() && replica.final_view("j-1").is_some(),
        "ends survive a reset"
    );
}
