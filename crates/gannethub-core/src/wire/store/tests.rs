use super::*;

#[test]
fn finished_tasks_fold_into_ranges_or_a_bitmap_and_come_back() {
    let mut sparse = TaskSet::default();
    [0, 1, 2, 9, 5000, 5001].into_iter().for_each(|x| {
        sparse.insert(x);
    });
    assert_eq!(encode_done_part(&sparse, 0), "0-2,9");
    assert_eq!(encode_done_part(&sparse, 1), "5000-5001");
    let mut dense = TaskSet::default();
    (0..10_000).filter(|x| x % 2 == 0).for_each(|x| {
        dense.insert(x);
    });
    for set in [sparse, dense] {
        let mut back = TaskSet::default();
        for part in 0..3 {
            let text = encode_done_part(&set, part);
            assert!(text.len() <= 1100, "{}", text.len());
            decode_done_part(&text, part, &mut back);
        }
        assert_eq!(back, set);
    }
}

#[test]
fn ids_are_written_briefly_and_come_back_as_they_were() {
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
    let back: BTreeSet<JobId> = decode_job_ids(&text).into_iter().collect();
    assert_eq!(back, ids.into_iter().collect());
    assert!(decode_job_ids("").is_empty() && decode_job_ids("x:1;3:y;").is_empty());
}
