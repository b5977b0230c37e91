use super::*;

#[test]
fn renewals_pass_while_other_requests_obey_the_rates() {
    let mut budget = RequestBudget::new(4.0, 2.0);
    for i in 0..10 {
        budget.push(Urgency::User, 1, i);
    }
    budget.push(Urgency::Renewal, 0, 100);
    let mut first = Vec::new();
    while let Some(request) = budget.pop(SECOND) {
        first.push(request);
    }
    assert_eq!(
        first,
        [100, 0, 1],
        "the renewal comes first, then two changes per second"
    );
    let later = std::iter::from_fn(|| budget.pop(2 * SECOND)).count();
    assert_eq!(later, 2);
    assert_eq!(budget.queued_requests(), 6);
    assert_eq!(
        budget.change_wait(),
        3 * SECOND,
        "six changes at two per second"
    );
}

#[test]
fn queries_pass_changes_that_wait_for_tokens() {
    let mut budget = RequestBudget::new(20.0, 4.0);
    (0..10).for_each(|i| budget.push(Urgency::User, 4, i));
    budget.push(Urgency::Transaction, 4, 50);
    (100..104).for_each(|i| budget.push(Urgency::User, 0, i));
    assert!(budget.change_wait() > 8 * SECOND && budget.query_wait() == 0);
    let first: Vec<u32> = std::iter::from_fn(|| budget.pop(0)).collect();
    assert_eq!(first, [100, 50, 101, 102, 103]);
    // An endless stream of queries does not starve changes. Queries and changes together do not starve transactions.
    (200..1000).for_each(|i| budget.push(Urgency::User, 0, i));
    assert!(budget.query_wait() > 30 * SECOND);
    let then: Vec<u32> = (1..9).flat_map(|s| budget.pop(s * SECOND)).collect();
    assert!(then.iter().filter(|i| **i < 10).count() >= 3, "{then:?}");
}

#[test]
fn query_storm_leaves_every_other_request_to_transactions() {
    let mut budget = RequestBudget::new(6.0, 6.0);
    (0..1000).for_each(|i| budget.push(Urgency::User, 0, i));
    (0..3).for_each(|i| budget.push(Urgency::Transaction, 0, 2000 + i));
    budget.push(Urgency::Background, 0, 3000);
    let first: Vec<u32> = std::iter::from_fn(|| budget.pop(SECOND)).collect();
    assert_eq!(first, [0, 2000, 1, 2001, 2, 2002]);
    // A transaction that waits for change tokens delays the changes behind it, but no reads.
    let mut budget = RequestBudget::new(10.0, 4.0);
    budget.push(Urgency::User, 4, 0);
    budget.push(Urgency::User, 4, 1);
    (2..6).for_each(|i| budget.push(Urgency::Transaction, u32::from(i == 4), i));
    let first: Vec<u32> = std::iter::from_fn(|| budget.pop(0)).collect();
    assert_eq!(first, [0, 2, 3]);
}
