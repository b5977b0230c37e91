use super::*;
use crate::http::NoAnswer;
use crate::settings::tests::SAMPLE;

fn configuring() -> (ConfigWatch, Arc<Settings>) {
    let base = Arc::new(Settings::parse(SAMPLE, "sample").unwrap().0);
    (ConfigWatch::new(base.clone()), base)
}

fn stored(version: u64, stamp: u64) -> Listing {
    let record = VersionRecord {
        version,
        id: format!("{version}-x"),
        parts: 1,
        ..Default::default()
    };
    let text = serde_json::json!({"items": [{"k": CURRENT_VERSION_KEY, "v": record, "stamp": stamp}],
        "truncated": false, "ledger_no": stamp});
    serde_json::from_str(&text.to_string()).unwrap()
}

fn part(version: u64, value: &str) -> CallResult {
    let text = format!(
        r#"{{"items":[{{"k":"gh/config/doc/{version}-x/000","v":{value},"stamp":1}}],"truncated":false,"ledger_no":9}}"#
    );
    Ok(Answer::new(200, text))
}

const TEAM: &str = r#"{"teams":[{"name":"late","cpus":1.0,"cpus_max":4.0}]}"#;

#[test]
fn a_version_is_acted_on_once_it_is_read_and_for_so_long_after_it_was_known() {
    let (mut c, base) = configuring();
    assert!(
        !c.is_fresh(0) && !c.must_hold_starts(0),
        "nothing was ever stored, as far as is known"
    );
    c.confirm_newest(100);
    assert!(c.is_fresh(100 + MAX_VERSION_AGE - 1) && !c.is_fresh(100 + MAX_VERSION_AGE));
    c.apply_listing(&stored(4, 50), true);
    assert!(!c.is_fresh(200) && c.must_hold_starts(200) && c.guard_version() == 0);
    let (what, request) = c.next_read(200).unwrap();
    assert!(
        request.path.contains("gh/config/doc/4-x/"),
        "{}",
        request.path
    );
    assert!(
        c.handle_answer(what, Err(NoAnswer::Timeout), &base, 200)
            .is_none()
            && c.next_read(201).is_none()
    );
    let (what, _) = c.next_read(200 + READ_RETRY_INTERVAL).unwrap();
    let new = c.handle_answer(what, part(4, TEAM), &base, 300).unwrap();
    assert!(new.settings.team("late").is_some());
    assert_eq!(
        (c.version(), c.guard_version(), c.is_fresh(300)),
        (4, 50, true)
    );
    assert!(
        !c.must_hold_starts(100 + MAX_VERSION_AGE - 1) && c.must_hold_starts(100 + MAX_VERSION_AGE)
    );
    c.apply_listing(&stored(3, 40), true);
    assert_eq!(
        (c.version(), c.is_fresh(300)),
        (4, true),
        "older news come late"
    );
}

#[test]
fn a_key_that_was_deleted_while_changes_were_missed_is_not_waited_for() {
    let (mut c, base) = configuring();
    c.confirm_newest(100);
    c.apply_listing(&stored(4, 50), true);
    let (what, _) = c.next_read(200).unwrap();
    assert!(c.handle_answer(what, part(4, TEAM), &base, 300).is_some());
    let nothing = r#"{"items":[],"truncated":false,"ledger_no":70}"#;
    let nothing: Listing = serde_json::from_str(nothing).unwrap();
    c.apply_listing(&nothing, false);
    assert_eq!(c.guard_version(), 50, "a later page says nothing of it");
    c.apply_listing(&nothing, true);
    assert_eq!(
        (c.version(), c.guard_version(), c.is_fresh(300)),
        (4, 0, true)
    );
}

#[test]
fn what_a_sibling_or_a_failed_transaction_tells_is_waited_for() {
    let (mut c, _) = configuring();
    c.confirm_newest(100);
    c.record_peer_version(2);
    assert!(c.is_behind() && c.must_hold_starts(200) && !c.is_fresh(200));
    let (mut c, _) = configuring();
    c.confirm_newest(100);
    c.mark_unconfirmed(200);
    assert!(c.is_behind() && !c.is_fresh(201));
    c.confirm_newest(199);
    assert!(!c.is_fresh(201), "that was asked before");
    c.confirm_newest(201);
    assert!(!c.is_behind() && c.is_fresh(202));
}

#[test]
fn a_broken_version_leaves_the_last_good_one_and_a_new_process_looks_for_it() {
    let (mut c, base) = configuring();
    c.confirm_newest(100);
    c.apply_listing(&stored(4, 50), true);
    let (what, _) = c.next_read(200).unwrap();
    assert!(c.handle_answer(what, part(4, TEAM), &base, 300).is_some());
    c.apply_listing(&stored(5, 60), true);
    let (what, _) = c.next_read(300).unwrap();
    assert!(
        c.handle_answer(what, part(5, r#"{"future":1}"#), &base, 300)
            .is_none()
    );
    assert_eq!(
        (c.version(), c.guard_version(), c.is_fresh(300)),
        (4, 60, true)
    );
    assert!(
        c.rejection().is_some_and(|r| r.contains("5-x")),
        "{:?}",
        c.rejection()
    );
    let (mut c, base) = configuring();
    c.confirm_newest(100);
    c.apply_listing(&stored(5, 60), true);
    let (what, _) = c.next_read(300).unwrap();
    assert!(c.handle_answer(what, part(5, "7"), &base, 300).is_none() && !c.is_fresh(300));
    let (what, request) = c.next_read(300).unwrap();
    assert_eq!(
        (what, request.path.as_str()),
        (ConfigurationRead::History, "/kv/gh/config/history")
    );
    let history = r#"{"k":"gh/config/history","v":{"versions":[
        {"version":5,"id":"5-x","parts":1,"at":0,"by":"","why":""},
        {"version":4,"id":"4-x","parts":1,"at":0,"by":"","why":""}]},"stamp":60}"#;
    assert!(
        c.handle_answer(what, Ok(Answer::new(200, history)), &base, 300)
            .is_none()
    );
    let (what, _) = c.next_read(300).unwrap();
    assert!(c.handle_answer(what, part(4, TEAM), &base, 300).is_some());
    assert_eq!(
        (c.version(), c.guard_version(), c.is_fresh(300)),
        (4, 60, true)
    );
}
