use super::*;

fn counts(bytes: u64, interval: u64) -> ReportCounts {
    ReportCounts {
        reports: MIN_HEARTBEATS,
        changes: 40,
        starts: 10,
        ends: 10,
        by_tasks: BTreeMap::from([(2, (10, 10 * bytes))]),
        intervals: BTreeMap::from([(5, (10, 10 * interval))]),
        ..ReportCounts::default()
    }
}

#[test]
fn hollow_workers_agree_up_to_five_percent_difference() {
    let real = counts(1000, 5000);
    assert!(Agreement::of(&real, &counts(1040, 5000)).unwrap().agree);
    assert!(!Agreement::of(&real, &counts(1100, 5000)).unwrap().agree);
    assert!(!Agreement::of(&real, &counts(1000, 4000)).unwrap().agree);
    assert!(Agreement::of(&real, &ReportCounts::default()).is_none());
}
