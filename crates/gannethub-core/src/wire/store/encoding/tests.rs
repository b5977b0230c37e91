use super::*;

#[test]
fn finished_tasks_round_trip_as_ranges_or_bitmap() {
    let mut sparse = TaskSet::default();
    for task in [0, 1, 2, 9, 5000, 5001] {
        sparse.insert(task);
    }
    assert_eq!(encode_done_part(&sparse, 0), "0-2,9");
    assert_eq!(encode_done_part(&sparse, 1), "5000-5001");
    let mut dense = TaskSet::default();
    for task in (0..10_000).step_by(2) {
        dense.insert(task);
    }
    for tasks in [sparse, dense] {
        let mut decoded = TaskSet::default();
        for part in 0..3 {
            let text = encode_done_part(&tasks, part);
            assert!(text.len() <= 1100, "{}", text.len());
            decode_done_part(&text, part, &mut decoded);
        }
        assert_eq!(decoded, tasks);
    }
}

#[test]
fn job_ids_round_trip_through_compact_encoding() {
    let ids: Vec<JobId> = [
        "j-000398",
        "j-000399",
        "j-000400",
        "j-7",
        "j-007",
        "j-999999999999999999",
    ]
    .map(JobId::from)
    .to_vec();
    let text = encode_job_ids(&ids);
    assert_eq!(text, "1:7;3:7;6:398-400;18:999999999999999999");
    let decoded: BTreeSet<JobId> = decode_job_ids(&text).into_iter().collect();
    assert_eq!(decoded, ids.into_iter().collect());
    assert!(decode_job_ids("").is_empty() && decode_job_ids("x:1;3:y;").is_empty());
}
