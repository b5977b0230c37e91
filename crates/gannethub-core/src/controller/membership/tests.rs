use std::sync::Arc;

use bytes::BytesMut;

use super::*;
use crate::controller::outbox::{Clock, Effect};
use crate::settings::Settings;
use crate::settings::tests::SAMPLE;
use crate::wire::peer::{Envelope, MAX_FRAME_BYTES, encode_frame};

/// A copy with so many jobs that are cancelled, from version 10 on.
fn copy(cancelled: usize) -> JobReplica {
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
    let mut mirror = JobReplica::default();
    assert!(
        mirror
            .apply_listing_page(&serde_json::from_str(&text).unwrap())
            .is_none()
    );
    mirror
}

/// What a controller with this copy answers a sibling that has seen all changes up to `known`.
fn promise(copy: &JobReplica, known: u64) -> (Vote, usize) {
    let (settings, _) = Settings::parse(SAMPLE, "sample").unwrap();
    let clock = Clock {
        now: 100 * SECOND,
        unix_time: 0,
    };
    let mut port = Outbox::new(Arc::new(settings), clock);
    let mut candidacy = Election::new("n0", 0);
    let ask = VoteRequest {
        round: 3,
        term: 2,
        duration: VOTE_DURATION,
        shard: 0,
        known_version: known,
    };
    Membership::handle_vote_request(&mut port, &mut candidacy, copy, 0, &ask);
    let Some(Effect::PeerMessage { message, .. }) = port.effects.pop() else {
        panic!("it says nothing")
    };
    let mut frame = BytesMut::new();
    encode_frame(&message, &mut frame);
    let Envelope {
        body: Some(Body::Vote(promise)),
        ..
    } = message
    else {
        panic!("it does not promise")
    };
    (promise, frame.len())
}

#[test]
fn a_promise_tells_what_the_asker_may_not_know() {
    let (p, _) = promise(&copy(20), 15);
    assert!(p.knows_cancellations && p.round == 3 && p.term == 2);
    assert_eq!(p.cancelled_count, 14);
    assert_eq!(store::decode_job_ids(&p.cancelled_jobs).len(), 14);
    // A cancellation that was stored here since the copy was last brought up to the present.
    let mut copy = copy(2);
    copy.record_cancellation("j-000777".into(), 90_001);
    let (p, _) = promise(&copy, 90_000);
    assert!(p.knows_cancellations && p.cancelled_jobs == "6:777" && p.cancelled_count == 1);
    assert_eq!(
        promise(&copy, 90_001).0.cancelled_count,
        0,
        "the asker has read that one"
    );
}

#[test]
fn a_promise_does_not_claim_more_than_it_knows_or_can_say() {
    let (p, size) = promise(&copy(MAX_CANCELLATIONS_PER_VOTE), 5);
    assert!(
        p.knows_cancellations && size < MAX_FRAME_BYTES,
        "{size} bytes"
    );
    let (p, size) = promise(&copy(MAX_CANCELLATIONS_PER_VOTE + 1), 5);
    assert!(
        !p.knows_cancellations
            && p.cancelled_count == MAX_CANCELLATIONS_PER_VOTE as u32
            && size < MAX_FRAME_BYTES,
        "{size} bytes"
    );
    // Nothing has been read in this life: an earlier one may have confirmed anything.
    let mut unread = JobReplica::default();
    unread.record_cancellation("j-000777".into(), 100);
    let (p, _) = promise(&unread, 5);
    assert!(
        !p.knows_cancellations && p.cancelled_jobs == "6:777",
        "what it knows it tells all the same"
    );
    // The version before does not say what it has seen.
    let (p, _) = promise(&copy(20), 0);
    assert!(!p.knows_cancellations && p.cancelled_count == 0);
}
