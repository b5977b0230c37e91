//! Requests to the state service, and the answers of the state service.

use gannethub_core::model::SECOND;
use gannethub_core::wire::store::{
    self, ChangeLog, Committed, Conflict, FinishedJobRecord, LeaseGranted, LeaseRecord, Listing,
    StoreRequest, StoredValue, Transaction,
};

use crate::pin;

fn request(request: &StoreRequest) -> String {
    let StoreRequest {
        method,
        path,
        body,
        timeout: patience,
        change_count: changes,
    } = request;
    let body = std::str::from_utf8(body).unwrap();
    format!("{} {path} {body} {patience} {changes}", method.as_str())
}

#[test]
fn store_request_get() {
    pin(
        &request(&StoreRequest::get("gh/live/j-7")),
        "GET /kv/gh/live/j-7  2000000 0",
    );
}

#[test]
fn store_request_list() {
    pin(
        &request(&StoreRequest::list("gh/live/", "")),
        "GET /kv?starts=gh/live/&page=200  2000000 0",
    );
    let next = StoreRequest::list("gh/live/", "gh/live/j-7");
    pin(
        &request(&next),
        "GET /kv?starts=gh/live/&from=gh/live/j-7&page=200  2000000 0",
    );
}

#[test]
fn store_request_watch() {
    pin(
        &request(&StoreRequest::watch("gh/live/", 41)),
        "GET /follow?starts=gh/live/&from=41&block_ms=10000  13000000 0",
    );
}

#[test]
fn store_request_changes() {
    pin(
        &request(&StoreRequest::changes_since("gh/live/", 41)),
        "GET /follow?starts=gh/live/&from=41&block_ms=0  2000000 0",
    );
}

#[test]
fn store_request_lease() {
    pin(
        &request(&StoreRequest::acquire_lease(6 * SECOND)),
        r#"POST /grants {"ttl_ms":6000} 2000000 0"#,
    );
    pin(
        &request(&StoreRequest::renew_lease(12)),
        "POST /grants/12/renew {} 1000000 0",
    );
    pin(
        &request(&StoreRequest::revoke_lease(12)),
        "DELETE /grants/12  2000000 0",
    );
}

#[test]
fn store_request_transaction() {
    let record = LeaseRecord {
        owner: "n0".into(),
        term: 7,
        watermarks_reliable: true,
    };
    let finished = FinishedJobRecord {
        cancelled: true,
        tasks: 8,
        owner: None,
    };
    let mut transaction = Transaction::default();
    transaction.guard(store::LEADER_KEY, 0);
    transaction.guard(store::LEADER_TERM_KEY, 41);
    transaction.put(store::LEADER_KEY, store::to_raw_value(&record), Some(12));
    transaction.put(store::LEADER_TERM_KEY, store::to_raw_value(&record), None);
    transaction.delete("gh/part/j-7/1");
    transaction.finish_job("j-7", &finished);
    pin(
        &request(&transaction.to_request()),
        r#"POST /commit {"guards":[{"k":"gh/lead/holder","stamp":0},{"k":"gh/lead/term","stamp":41},{"k":"gh/over/j-7","stamp":0}],"writes":[{"write":"gh/lead/holder","v":{"holder":"n0","term":7,"marked":true},"permit":12},{"write":"gh/lead/term","v":{"holder":"n0","term":7,"marked":true}},{"delete":"gh/part/j-7/1"},{"delete":"gh/live/j-7"},{"write":"gh/over/j-7","v":{"cancelled":true,"tasks":8}}]} 2000000 5"#,
    );
    pin(
        &request(&Transaction::default().to_request()),
        r#"POST /commit {"guards":[],"writes":[]} 2000000 0"#,
    );
}

#[test]
fn store_answer_value() {
    let text = r#"{"k":"gh/lead/term","v":{"holder":"n0","term":7},"stamp":41,"extra":1}"#;
    let stored: StoredValue = serde_json::from_str(text).unwrap();
    let record: LeaseRecord = stored.decode().unwrap();
    assert_eq!((&*stored.key, stored.version), ("gh/lead/term", 41));
    assert_eq!(
        (&*record.owner, record.term, record.watermarks_reliable),
        ("n0", 7, false)
    );
}

#[test]
fn store_answer_committed() {
    let committed: Committed = serde_json::from_str(r#"{"ledger_no":42}"#).unwrap();
    assert_eq!(committed.version, 42);
}

#[test]
fn store_answer_conflict() {
    let text = r#"{"error":"conflict","failed":["gh/lead/term","gh/live/j-7"]}"#;
    let conflict: Conflict = serde_json::from_str(text).unwrap();
    assert_eq!(conflict.failed_keys, ["gh/lead/term", "gh/live/j-7"]);
    let conflict: Conflict = serde_json::from_str("{}").unwrap();
    assert!(conflict.failed_keys.is_empty());
}

#[test]
fn store_answer_lease_granted() {
    let granted: LeaseGranted = serde_json::from_str(r#"{"permit":12}"#).unwrap();
    assert_eq!(granted.lease_id, 12);
}

#[test]
fn store_answer_listing() {
    let text = r#"{"items":[{"k":"a","v":1,"stamp":2}],"truncated":true,"ledger_no":42}"#;
    let listing: Listing = serde_json::from_str(text).unwrap();
    let Listing {
        items,
        truncated,
        version: listing_version,
    } = listing;
    assert_eq!((truncated, listing_version), (true, 42));
    assert_eq!(
        (&*items[0].key, items[0].value.get(), items[0].version),
        ("a", "1", 2)
    );
    let listing: Listing = serde_json::from_str(r#"{"items":[],"ledger_no":42}"#).unwrap();
    assert!(!listing.truncated);
}

#[test]
fn store_answer_changes() {
    let text =
        r#"{"ledger_no":44,"log":[{"delete":"b","stamp":44},{"write":"a","v":1,"stamp":43}]}"#;
    let change_log: ChangeLog = serde_json::from_str(text).unwrap();
    assert_eq!(change_log.version, 44);
    let [write, delete] = &change_log.changes[..] else {
        panic!("two changes, in the order of their versions");
    };
    assert_eq!(
        (write.written_key.as_deref(), write.version),
        (Some("a"), 43)
    );
    assert_eq!(write.value.as_ref().unwrap().get(), "1");
    assert_eq!(
        (delete.deleted_key.as_deref(), delete.version),
        (Some("b"), 44)
    );
    assert_eq!((write.key(), delete.key()), (Some("a"), Some("b")));
    let change_log: ChangeLog = serde_json::from_str(r#"{"ledger_no":44}"#).unwrap();
    assert!(change_log.changes.is_empty());
}
