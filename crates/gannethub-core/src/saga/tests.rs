use super::*;

#[test]
fn a_job_is_released_when_all_upstream_jobs_have_committed() {
    let mut s = Saga::default();
    s.add("a", true, &[]);
    s.add("b", true, &[]);
    s.add("c", true, &["a", "b"]);
    assert!(s.commit(&"a").is_empty());
    assert_eq!(s.element_state(&"c"), Some(SagaState::Waiting));
    assert_eq!(s.commit(&"b"), vec!["c"]);
    s.commit(&"c");
    assert_eq!(s.state(), SagaState::Committed);
    assert_eq!(s.abort(), vec![], "a committed saga cannot be aborted");
}

#[test]
fn a_vital_abort_cancels_the_running_and_compensates_in_reverse_commit_order() {
    let mut s = Saga::independent(4);
    s.commit(&2);
    s.commit(&0);
    assert_eq!(
        s.abort_element(&1),
        vec![
            AbortAction::Cancel(3),
            AbortAction::Compensate(0),
            AbortAction::Compensate(2)
        ]
    );
    assert_eq!(s.state(), SagaState::Aborted);
}

#[test]
fn a_non_vital_abort_cancels_only_what_waits_for_it() {
    let mut s = Saga::default();
    s.add("a", false, &[]);
    s.add("b", true, &["a"]);
    s.add("c", true, &[]);
    assert_eq!(s.abort_element(&"a"), vec![AbortAction::Cancel("b")]);
    assert_eq!(s.element_state(&"b"), Some(SagaState::Aborted));
    assert_eq!(s.state(), SagaState::Active);
    s.commit(&"c");
    assert_eq!(s.state(), SagaState::Committed);
}

#[test]
fn a_standing_saga_takes_elements_in_any_order_and_cancels_long_chains() {
    let mut s = Saga::open_ended();
    // Downstream first, as a list in the order of ids may have it.
    (1..50_000)
        .rev()
        .for_each(|i: u32| s.add(i, false, &[i - 1]));
    s.add(70_000, false, &[10, 20, 30]);
    assert_eq!(s.commit(&0), [1]);
    s.remove(&0);
    assert_eq!(s.abort_element(&1).len(), 49_999);
    assert_eq!(s.element_state(&70_000), Some(SagaState::Aborted));
    s.add(70_001, false, &[49_999]);
    assert_eq!(
        s.element_state(&70_001),
        Some(SagaState::Aborted),
        "it names one that is cancelled"
    );
    // One that was cancelled and forgotten may be named again: both sides still agree.
    s.remove(&1);
    s.add(80_000, false, &[1]);
    assert!(s.open_upstream(&2).next().is_none() && s.downstream(&1).eq([&80_000]));
    s.release(&80_000);
    assert_eq!(s.element_state(&80_000), Some(SagaState::Active));
    assert!(s.downstream(&1).next().is_none());
    s.add(70_002, false, &[70_003]);
    s.commit(&70_003);
    assert_eq!(s.element_state(&70_002), Some(SagaState::Active));
    assert_eq!(s.state(), SagaState::Active);
}
