use super::*;

const TTL: Micros = 3 * SECOND;

#[test]
fn store_lease_counts_from_renewal_send_time() {
    let mut validity = LeaseValidity::new(0, TTL);
    assert!(validity.is_valid(TTL - 200_000) && !validity.is_valid(TTL - 100_000));
    validity.store_lease_renewed(SECOND);
    assert!(validity.is_valid(TTL));
    assert!(!validity.is_valid(SECOND + TTL - 100_000));
}

#[test]
fn lease_extension_requires_all_votes_in_one_round() {
    let mut validity = LeaseValidity::new(0, TTL);
    let first = validity.start_vote_round(SECOND, 2);
    validity.record_vote(first, 0, SECOND);
    let second = validity.start_vote_round(2 * SECOND, 2);
    validity.record_vote(first, 1, 2 * SECOND);
    validity.record_vote(second, 1, 2 * SECOND);
    validity.record_vote(second, 1, 2 * SECOND);
    assert!(!validity.is_valid(TTL));
    validity.record_vote(second, 0, 2 * SECOND);
    assert!(validity.is_valid(2 * SECOND + VOTE_DURATION - 200_000));
    assert!(!validity.is_valid(2 * SECOND + VOTE_DURATION));
}

#[test]
fn cancellations_known_only_after_all_peers_report_in_one_round() {
    let mut validity = LeaseValidity::new(0, TTL);
    let first = validity.start_vote_round(SECOND, 2);
    assert_eq!(validity.record_informed_voter(first, 0), None);
    let second = validity.start_vote_round(2 * SECOND, 2);
    assert_eq!(
        validity.record_informed_voter(first, 1),
        None,
        "report for an earlier round"
    );
    assert_eq!(validity.record_informed_voter(second, 1), None);
    assert_eq!(
        validity.record_informed_voter(second, 1),
        None,
        "second report of the same peer"
    );
    assert_eq!(
        validity.record_informed_voter(second + 1, 0),
        None,
        "report for a round that was never started"
    );
    assert_eq!(validity.record_informed_voter(second, 0), Some(2 * SECOND));
    assert_eq!(
        LeaseValidity::new(0, TTL).record_informed_voter(0, 0),
        None,
        "no round was started"
    );
}
