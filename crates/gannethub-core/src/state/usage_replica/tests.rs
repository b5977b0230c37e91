use super::*;

fn open_record(task: u32) -> OpenUsageRecord {
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

fn message(
    sequence: u64,
    is_first: bool,
    is_last: bool,
    open: &[u32],
    closed: &[u32],
) -> UsageRecords {
    let open = open.iter().map(|task| open_record(*task)).collect();
    let closed = closed
        .iter()
        .filter_map(|task| open_record(*task).key)
        .collect();
    UsageRecords {
        term: 3,
        sequence,
        is_first,
        is_last,
        open_records: open,
        closed_keys: closed,
        sent_at: 0,
    }
}

/// Returns the tasks whose records a successor inherits, and whether the records are complete.
fn inherited_tasks(replica: &mut UsageReplica) -> (Vec<u32>, bool) {
    let inherited = replica.take_records(3);
    let records = inherited.records.into_iter();
    let tasks = records.filter_map(|replicated| Some(replicated.record.key?.task));
    (tasks.collect(), inherited.is_complete)
}

#[test]
fn replica_is_complete_until_a_message_is_missing() {
    let mut replica = UsageReplica::default();
    assert!(
        replica.apply(message(7, false, false, &[9], &[]), 0, 0),
        "requests all records after missing the start"
    );
    assert!(!replica.apply(message(8, true, false, &[1, 2], &[]), SECOND, 0));
    assert!(!replica.apply(message(9, false, true, &[3], &[]), SECOND, 0));
    assert!(!replica.apply(message(10, false, false, &[4], &[1]), SECOND, 0));
    let old = UsageRecords {
        term: 2,
        ..message(11, true, true, &[], &[])
    };
    assert!(
        !replica.apply(old, SECOND, 0),
        "message of a deposed leader is ignored"
    );
    assert_eq!(inherited_tasks(&mut replica), (vec![2, 3, 4], true));
    let mut replica = UsageReplica::default();
    replica.apply(message(0, true, true, &[1, 2], &[]), 0, 0);
    assert!(
        replica.apply(message(2, false, false, &[3], &[2]), SECOND, 0),
        "requests all records after a lost message"
    );
    assert!(
        !replica.apply(message(3, false, false, &[], &[]), SECOND, 0),
        "does not repeat the request within the interval"
    );
    assert!(replica.apply(message(4, false, false, &[], &[]), 4 * SECOND, 0));
    assert_eq!(inherited_tasks(&mut replica), (vec![1, 3], false));
    replica.apply(message(5, true, true, &[1], &[]), 0, 0);
    assert!(
        !replica.take_records(4).is_complete,
        "another leader was between the two terms"
    );
}
