use super::*;

fn stored_lease(owner: &str, term: u64) -> Option<StoredLease> {
    Some(StoredLease {
        record: LeaseRecord {
            owner: owner.into(),
            term,
            watermarks_reliable: true,
        },
        version: term + 10,
    })
}

#[test]
fn takeover_requires_absent_owner_key_and_no_binding_vote() {
    let mut election = Election::new("n1", 0);
    let late = 100 * SECOND;
    assert!(
        !election.may_campaign(late),
        "no read of the state service yet"
    );
    election.observe(stored_lease("n0", 3), stored_lease("n0", 3));
    assert!(!election.may_campaign(late));
    election.observe(None, stored_lease("n0", 3));
    assert!(election.may_campaign(late));
    assert!(election.vote(3, late, VOTE_DURATION));
    assert!(
        !election.may_campaign(late + VOTE_DURATION)
            && election.may_campaign(late + VOTE_DURATION + SECOND)
    );
    election.attempt_in_progress = true;
    assert!(
        !election.vote(3, late, VOTE_DURATION),
        "a takeover is under way"
    );
    election.attempt_in_progress = false;
    election.takeover_failed(7, None, late);
    assert!(
        !election.vote(3, late, VOTE_DURATION),
        "a takeover may still be carried out"
    );
    election.store_lease_revoked(6);
    assert!(
        !election.vote(3, late, VOTE_DURATION),
        "a different store lease was revoked"
    );
    assert_eq!(
        election.store_lease_to_revoke(late + REVOKE_RETRY_INTERVAL - 1),
        None
    );
    assert_eq!(
        election.store_lease_to_revoke(late + REVOKE_RETRY_INTERVAL),
        Some(7)
    );
    assert_eq!(
        election.store_lease_to_revoke(late + REVOKE_RETRY_INTERVAL),
        None,
        "a revocation was just sent"
    );
    election.store_lease_revoked(7);
    assert!(election.vote(3, late, VOTE_DURATION));
}

#[test]
fn restarted_process_waits_unless_it_was_the_leader() {
    let mut election = Election::new("n1", 0);
    election.observe(None, stored_lease("n0", 3));
    assert!(!election.may_campaign(SECOND) && election.may_campaign(VOTE_DURATION + SECOND));
    election.observe(stored_lease("n1", 4), stored_lease("n1", 4));
    assert!(
        election.may_campaign(SECOND),
        "the last owner was an earlier process of the same name"
    );
    election.observe(None, None);
    assert!(election.may_campaign(SECOND), "the shard was never owned");
}
