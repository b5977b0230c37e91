use super::*;

const TTL: Micros = 3 * SECOND;

fn rec(name: &str, term: u64) -> Option<(LeaseRecord, u64)> {
    Some((
        LeaseRecord {
            owner: name.into(),
            term,
            watermarks_reliable: true,
        },
        term + 10,
    ))
}

#[test]
fn a_grant_counts_from_when_its_renewal_was_sent() {
    let mut a = LeaseValidity::new(0, TTL);
    assert!(a.is_valid(TTL - 200_000) && !a.is_valid(TTL - 100_000));
    a.store_lease_renewed(SECOND);
    assert!(a.is_valid(TTL));
    assert!(!a.is_valid(SECOND + TTL - 100_000));
}

#[test]
fn only_the_promises_of_all_siblings_in_one_round_extend_authority() {
    let mut a = LeaseValidity::new(0, TTL);
    let first = a.start_vote_round(SECOND, 2);
    a.record_vote(first, 0, SECOND);
    let second = a.start_vote_round(2 * SECOND, 2);
    a.record_vote(first, 1, 2 * SECOND);
    a.record_vote(second, 1, 2 * SECOND);
    a.record_vote(second, 1, 2 * SECOND);
    assert!(!a.is_valid(TTL));
    a.record_vote(second, 0, 2 * SECOND);
    assert!(a.is_valid(2 * SECOND + VOTE_DURATION - 200_000));
    assert!(!a.is_valid(2 * SECOND + VOTE_DURATION));
}

#[test]
fn only_what_all_siblings_tell_in_one_round_counts_and_from_its_beginning() {
    let mut a = LeaseValidity::new(0, TTL);
    let first = a.start_vote_round(SECOND, 2);
    assert_eq!(a.record_informed_voter(first, 0), None);
    let second = a.start_vote_round(2 * SECOND, 2);
    assert_eq!(a.record_informed_voter(first, 1), None, "an earlier round");
    assert_eq!(a.record_informed_voter(second, 1), None);
    assert_eq!(
        a.record_informed_voter(second, 1),
        None,
        "the same once more"
    );
    assert_eq!(
        a.record_informed_voter(second + 1, 0),
        None,
        "a round that was not asked for"
    );
    assert_eq!(a.record_informed_voter(second, 0), Some(2 * SECOND));
    assert_eq!(
        LeaseValidity::new(0, TTL).record_informed_voter(0, 0),
        None,
        "nobody was asked"
    );
}

#[test]
fn a_takeover_needs_the_key_gone_and_no_promise_alive() {
    let mut c = Election::new("n1", 0);
    let late = 100 * SECOND;
    assert!(!c.may_campaign(late), "nothing is known yet");
    c.observe(rec("n0", 3), rec("n0", 3));
    assert!(!c.may_campaign(late));
    c.observe(None, rec("n0", 3));
    assert!(c.may_campaign(late));
    assert!(c.vote(3, late, VOTE_DURATION));
    assert!(!c.may_campaign(late + VOTE_DURATION) && c.may_campaign(late + VOTE_DURATION + SECOND));
    c.attempt_in_progress = true;
    assert!(!c.vote(3, late, VOTE_DURATION), "a takeover is under way");
    c.attempt_in_progress = false;
    c.takeover_failed(7, None, late);
    assert!(
        !c.vote(3, late, VOTE_DURATION),
        "a takeover may still be carried out"
    );
    c.store_lease_revoked(6);
    assert!(!c.vote(3, late, VOTE_DURATION), "that was another grant");
    assert_eq!(
        c.store_lease_to_revoke(late + REVOKE_RETRY_INTERVAL - 1),
        None
    );
    assert_eq!(
        c.store_lease_to_revoke(late + REVOKE_RETRY_INTERVAL),
        Some(7)
    );
    assert_eq!(
        c.store_lease_to_revoke(late + REVOKE_RETRY_INTERVAL),
        None,
        "it is under way"
    );
    c.store_lease_revoked(7);
    assert!(c.vote(3, late, VOTE_DURATION));
}

#[test]
fn a_restarted_process_keeps_quiet_unless_it_was_the_leader_itself() {
    let mut c = Election::new("n1", 0);
    c.observe(None, rec("n0", 3));
    assert!(!c.may_campaign(SECOND) && c.may_campaign(VOTE_DURATION + SECOND));
    c.observe(rec("n1", 4), rec("n1", 4));
    assert!(
        c.may_campaign(SECOND),
        "its own name: its other life is over"
    );
    c.observe(None, None);
    assert!(c.may_campaign(SECOND), "nobody ever led");
}
