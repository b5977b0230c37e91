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
    election.observe(stored_lease("n0", 3), stored_lease("n0", 3), 20);
    assert!(!election.may_campaign(late));
    election.observe(None, stored_lease("n0", 3), 20);
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
    election.observe(None, stored_lease("n0", 3), 20);
    assert!(!election.may_campaign(SECOND) && election.may_campaign(VOTE_DURATION + SECOND));
    election.observe(stored_lease("n1", 4), stored_lease("n1", 4), 20);
    assert!(
        election.may_campaign(SECOND),
        "the last owner was an earlier process of the same name"
    );
    election.observe(None, None, 20);
    assert!(election.may_campaign(SECOND), "the shard was never owned");
}

/// Guards against a cancellation that is confirmed while an owner that does not know of it may still act. Owners that
/// took over before the cancellation was stored have no authority once a later takeover is seen, or once the owner's
/// key was gone after that version and no vote of this controller binds.
#[test]
fn earlier_owners_are_excluded_by_a_later_takeover_or_an_absent_key() {
    let mut election = Election::new("n1", 0);
    let late = 100 * SECOND;
    assert!(!election.excludes_owner_before(5, late), "nothing is known");
    // The owner took over in version 13.
    election.observe(stored_lease("n0", 3), stored_lease("n0", 3), 20);
    assert!(election.excludes_owner_before(12, late));
    assert!(!election.excludes_owner_before(13, late) && !election.excludes_owner_before(20, late));
    election.observe(None, stored_lease("n0", 3), 30);
    assert!(election.excludes_owner_before(30, late));
    assert!(
        !election.excludes_owner_before(31, late),
        "the read is older"
    );
    assert!(
        !election.excludes_owner_before(30, SECOND),
        "an earlier process of this name may have voted"
    );
    assert!(election.vote(3, late, VOTE_DURATION));
    assert!(!election.excludes_owner_before(30, late + VOTE_DURATION));
    assert!(election.excludes_owner_before(30, late + VOTE_DURATION + SECOND));
}
