use super::*;

#[test]
fn a_job_is_released_when_all_upstream_jobs_have_committed() {
    let mut saga = Saga::default();
    saga.add("a", true, &[]);
    saga.add("b", true, &[]);
    saga.add("c", true, &["a", "b"]);
    assert!(saga.commit(&"a").is_empty());
    assert_eq!(saga.element_state(&"c"), Some(SagaState::Waiting));
    assert_eq!(saga.commit(&"b"), vec!["c"]);
    saga.commit(&"c");
    assert_eq!(saga.state(), SagaState::Committed);
    assert_eq!(saga.abort(), vec![], "a committed saga cannot be aborted");
}

#[test]
fn a_vital_abort_cancels_then_compensates_in_reverse_order() {
    let mut saga = Saga::independent(4);
    saga.commit(&2);
    saga.commit(&0);
    assert_eq!(
        saga.abort_element(&1),
        vec![
            AbortAction::Cancel(3),
            AbortAction::Compensate(0),
            AbortAction::Compensate(2)
        ]
    );
    assert_eq!(saga.state(), SagaState::Aborted);
}

#[test]
fn a_non_vital_abort_cancels_only_downstream_elements() {
    let mut saga = Saga::default();
    saga.add("a", false, &[]);
    saga.add("b", true, &["a"]);
    saga.add("c", true, &[]);
    assert_eq!(saga.abort_element(&"a"), vec![AbortAction::Cancel("b")]);
    assert_eq!(saga.element_state(&"b"), Some(SagaState::Aborted));
    assert_eq!(saga.state(), SagaState::Active);
    saga.commit(&"c");
    assert_eq!(saga.state(), SagaState::Committed);
}

#[test]
fn an_open_ended_saga_accepts_any_order_and_aborts_long_chains() {
    let mut saga = Saga::open_ended();
    // Downstream elements are added first, which can happen when jobs are listed in the order of their ids.
    (1..50_000)
        .rev()
        .for_each(|index: u32| saga.add(index, false, &[index - 1]));
    saga.add(70_000, false, &[10, 20, 30]);
    assert_eq!(saga.commit(&0), [1]);
    saga.remove(&0);
    assert_eq!(saga.abort_element(&1).len(), 49_999);
    assert_eq!(saga.element_state(&70_000), Some(SagaState::Aborted));
    saga.add(70_001, false, &[49_999]);
    assert_eq!(
        saga.element_state(&70_001),
        Some(SagaState::Aborted),
        "its upstream element is aborted"
    );
    // An element that was aborted and removed may be named as upstream again. Both directions of the links must still
    // agree.
    saga.remove(&1);
    saga.add(80_000, false, &[1]);
    assert!(saga.uncommitted_upstream(&2).next().is_none() && saga.downstream(&1).eq([&80_000]));
    saga.release(&80_000);
    assert_eq!(saga.element_state(&80_000), Some(SagaState::Active));
    assert!(saga.downstream(&1).next().is_none());
    saga.add(70_002, false, &[70_003]);
    saga.commit(&70_003);
    assert_eq!(saga.element_state(&70_002), Some(SagaState::Active));
    assert_eq!(saga.state(), SagaState::Active);
}
