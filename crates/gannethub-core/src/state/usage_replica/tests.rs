use super::*;

fn tab(task: u32) -> OpenUsageRecord {
    let key = AttemptKey {
        machine: "m".into(),
        job: "j-1".into(),
        task,
        attempt: 1,
    };
    OpenUsageRecord {
        key: Some(key),
        ..OpenUsageRecord::default()
    }
}

fn message(seq: u64, first: bool, last: bool, open: &[u32], closed: &[u32]) -> UsageRecords {
    let open = open.iter().map(|t| tab(*t)).collect();
    let closed = closed.iter().filter_map(|t| tab(*t).key).collect();
    UsageRecords {
        term: 3,
        sequence: seq,
        is_first: first,
        is_last: last,
        open_records: open,
        closed_keys: closed,
        sent_at: 0,
    }
}

fn left(s: &mut UsageReplica) -> (Vec<u32>, bool) {
    let (tabs, complete) = s.take_records(3);
    (
        tabs.into_iter()
            .filter_map(|t| Some(t.record.key?.task))
            .collect(),
        complete,
    )
}

#[test]
fn a_copy_is_complete_from_a_whole_list_on_until_something_is_missing() {
    let mut s = UsageReplica::default();
    assert!(
        s.apply(message(7, false, false, &[9], &[]), 0, 0),
        "it missed the start and asks"
    );
    assert!(!s.apply(message(8, true, false, &[1, 2], &[]), SECOND, 0));
    assert!(!s.apply(message(9, false, true, &[3], &[]), SECOND, 0));
    assert!(!s.apply(message(10, false, false, &[4], &[1]), SECOND, 0));
    let old = UsageRecords {
        term: 2,
        ..message(11, true, true, &[], &[])
    };
    assert!(
        !s.apply(old, SECOND, 0),
        "a deposed leader is not listened to"
    );
    assert_eq!(left(&mut s), (vec![2, 3, 4], true));
    let mut s = UsageReplica::default();
    s.apply(message(0, true, true, &[1, 2], &[]), 0, 0);
    assert!(
        s.apply(message(2, false, false, &[3], &[2]), SECOND, 0),
        "one was lost"
    );
    assert!(
        !s.apply(message(3, false, false, &[], &[]), SECOND, 0),
        "it does not ask all the time"
    );
    assert!(s.apply(message(4, false, false, &[], &[]), 4 * SECOND, 0));
    assert_eq!(left(&mut s), (vec![1, 3], false));
    s.apply(message(5, true, true, &[1], &[]), 0, 0);
    assert!(!s.take_records(4).1, "another leader came between");
}
