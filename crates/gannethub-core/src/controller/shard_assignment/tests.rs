use std::sync::Arc;

use super::*;
use crate::controller::interface::Clock;
use crate::http::Answer;
use crate::settings::Settings;
use crate::settings::tests::SAMPLE;

/// Returns a probe's answer as of version 30, in which shard 1 has this owner's record.
fn probe_answer(owner: &str) -> CallResult {
    let body = format!(
        r#"{{"items":[{{"k":"gh/seat/1/holder","v":{owner},"stamp":20}},
           {{"k":"gh/seat/1/term","v":{{"holder":"n9","term":3}},"stamp":20}}],"truncated":false,"ledger_no":30}}"#
    );
    Ok(Answer::new(200, body))
}

/// Guards against a shard that counts as unowned because its owner's record cannot be parsed: cancellations would be
/// confirmed while the owner acts.
#[test]
fn an_unreadable_owner_record_does_not_count_as_absent() {
    let (settings, _) = Settings::parse(SAMPLE, "sample").unwrap();
    let clock = Clock {
        now: 100 * SECOND,
        unix_time: 0,
    };
    let outbox = Outbox::new(Arc::new(settings), clock);
    let late = 200 * SECOND;
    let mut assignments = ShardAssignments::default();
    assignments.handle_probe_answer(&outbox, &probe_answer(r#"{"holder":7}"#));
    let election = assignments.election(1).unwrap();
    assert!(!election.excludes_owner_before(25, late) && !election.is_eligible(late));
    assignments.handle_probe_answer(&outbox, &probe_answer(r#"{"holder":"n9","term":3}"#));
    let election = assignments.election(1).unwrap();
    assert!(election.excludes_owner_before(19, late) && !election.excludes_owner_before(25, late));
}
