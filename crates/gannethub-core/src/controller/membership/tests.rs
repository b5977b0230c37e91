use std::sync::Arc;

use bytes::BytesMut;

use super::*;
use crate::controller::interface::{Clock, Effect};
use crate::settings::Settings;
use crate::settings::tests::SAMPLE;
use crate::wire::peer::{Envelope, MAX_FRAME_BYTES, encode_frame};

/// Returns a replica with this number of cancelled jobs, whose versions start at 10.
fn replica_with(cancelled: usize) -> JobReplica {
    let item = |i: usize| {
        let value = r#"{"spec":{"tasks":4},"at":0,"done":"","cancelled":true}"#;
        format!(
            r#"{{"k":"gh/live/j-{i:06}","v":{value},"stamp":{}}}"#,
            i + 10
        )
    };
    let items: Vec<String> = (0..cancelled).map(item).collect();
    let text = format!(
        r#"{{"items":[{}],"truncated":false,"ledger_no":90000}}"#,
        items.join(",")
    );
    let mut replica = JobReplica::default();
    assert!(
        replica
            .apply_listing_page(&serde_json::from_str(&text).unwrap())
            .is_none()
    );
    replica
}

/// Returns the vote of a controller with this replica for a peer that has seen all changes up to `known`, and the
/// vote's frame size in bytes.
fn vote_with(replica: &JobReplica, known: u64) -> (Vote, usize) {
    let (settings, _) = Settings::parse(SAMPLE, "sample").unwrap();
    let clock = Clock {
        now: 100 * SECOND,
        unix_time: 0,
    };
    let mut outbox = Outbox::new(Arc::new(settings), clock);
    let mut election = Election::new("n0", 0);
    let request = VoteRequest {
        round: 3,
        term: 2,
        duration: VOTE_DURATION,
        shard: 0,
        known_version: known,
    };
    Membership::handle_vote_request(&mut outbox, &mut election, replica, 0, &request);
    let Some(Effect::PeerMessage { message, .. }) = outbox.take_effects().pop() else {
        panic!("no message was sent")
    };
    let mut frame = BytesMut::new();
    encode_frame(&message, &mut frame);
    let Envelope {
        body: Some(Body::Vote(vote)),
        ..
    } = message
    else {
        panic!("the message is not a vote")
    };
    (vote, frame.len())
}

#[test]
fn vote_reports_cancellations_the_requester_may_not_know() {
    let (vote, _) = vote_with(&replica_with(20), 15);
    assert!(vote.knows_cancellations && vote.round == 3 && vote.term == 2);
    assert_eq!(vote.cancelled_count, 14);
    assert_eq!(store::decode_job_ids(&vote.cancelled_jobs).len(), 14);
    // A cancellation that this controller stored after the last refresh of the replica.
    let mut replica = replica_with(2);
    replica.record_cancellation("j-000777".into(), 90_001);
    let (vote, _) = vote_with(&replica, 90_000);
    assert!(
        vote.knows_cancellations && vote.cancelled_jobs == "6:777" && vote.cancelled_count == 1
    );
    assert_eq!(
        vote_with(&replica, 90_001).0.cancelled_count,
        0,
        "the requester has already read the cancellation"
    );
}

#[test]
fn vote_claims_no_more_cancellations_than_known_or_sent() {
    let (vote, size) = vote_with(&replica_with(MAX_CANCELLATIONS_PER_VOTE), 5);
    assert!(
        vote.knows_cancellations && size < MAX_FRAME_BYTES,
        "{size} bytes"
    );
    let (vote, size) = vote_with(&replica_with(MAX_CANCELLATIONS_PER_VOTE + 1), 5);
    assert!(
        !vote.knows_cancellations
            && vote.cancelled_count == MAX_CANCELLATIONS_PER_VOTE as u32
            && size < MAX_FRAME_BYTES,
        "{size} bytes"
    );
    // This process has read nothing yet: an earlier process may have confirmed any cancellation.
    let mut unread = JobReplica::default();
    unread.record_cancellation("j-000777".into(), 100);
    let (vote, _) = vote_with(&unread, 5);
    assert!(
        !vote.knows_cancellations && vote.cancelled_jobs == "6:777",
        "known cancellations are still reported"
    );
    // A requester of an earlier release does not report which changes it has seen.
    let (vote, _) = vote_with(&replica_with(20), 0);
    assert!(!vote.knows_cancellations && vote.cancelled_count == 0);
}
