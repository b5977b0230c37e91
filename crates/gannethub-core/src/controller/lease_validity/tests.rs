use super::*;

const TTL: Micros = 3 * SECOND;

#[test]
fn a_store_lease_counts_from_when_its_renewal_was_sent() {
    let mut validity = LeaseValidity::new(0, TTL);
    assert!(validity.is_valid(TTL - 200_000) && !validity.is_valid(TTL - 100_000));
    validity.store_lease_renewed(SECOND);
    assert!(validity.is_valid(TTL));
    assert!(!validity.is_valid(SECOND + TTL - 100_000));
}

#[test]
fn only_the_votes_of_all_peers_in_one_round_extend_a_lease() {
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
fn only_what_all_peers_tell_in_one_round_counts_and_from_its_beginning() {
    let mut validity = LeaseValidity::new(0, TTL);
    let first = validity.start_vote_round(SECOND, 2);
    assert_eq!(validity.record_informed_voter(first, 0), None);
    let second = validity.start_vote_round(2 * SECOND, 2);
    assert_eq!(
        validity.record_informed_voter(first, 1),
        None,
        "an earlier round"
    );
    assert_eq!(validity.record_informed_voter(second, 1), None);
    assert_eq!(
        validity.record_informed_voter(second, 1),
        None,
        "the same once more"
    );
    assert_eq!(
        validity.record_informed_voter(second + 1, 0),
        None,
        "a round that was not asked for"
    );
    assert_eq!(validity.record_informed_voter(second, 0), Some(2 * SECOND));
    assert_eq!(
        LeaseValidity::new(0, TTL).record_informed_voter(0, 0),
        None,
        "nobody was asked"
    );
}
