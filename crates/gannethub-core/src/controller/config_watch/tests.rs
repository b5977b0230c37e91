use super::*;
use crate::http::{Answer, CallError};
use crate::settings::tests::SAMPLE;

fn new_watch() -> (ConfigWatch, Arc<Settings>) {
    let base = Arc::new(Settings::parse(SAMPLE, "sample").unwrap().0);
    (ConfigWatch::new(base.clone()), base)
}

fn version_listing(version: u64, stamp: u64) -> Listing {
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

fn document_answer(version: u64, value: &str) -> CallResult {
    let text = format!(
        r#"{{"items":[{{"k":"gh/config/doc/{version}-x/000","v":{value},"stamp":1}}],"truncated":false,"ledger_no":9}}"#
    );
    Ok(Answer::new(200, text))
}

const TEAM: &str = r#"{"teams":[{"name":"late","cpus":1.0,"cpus_max":4.0}]}"#;

#[test]
fn a_version_is_usable_once_read_until_its_maximum_age() {
    let (mut config, base) = new_watch();
    assert!(
        !config.is_fresh(0) && !config.must_pause_starts(0),
        "no version is known to have been stored"
    );
    config.confirm_newest(100);
    assert!(config.is_fresh(100 + MAX_VERSION_AGE - 1) && !config.is_fresh(100 + MAX_VERSION_AGE));
    config.apply_listing(&version_listing(4, 50), true);
    assert!(!config.is_fresh(200) && config.must_pause_starts(200) && config.guard_version() == 0);
    let (read, request) = config.next_read(200).unwrap();
    assert!(
        request.path.contains("gh/config/doc/4-x/"),
        "{}",
        request.path
    );
    assert!(
        config
            .handle_answer(read, &Err(CallError::Timeout), &base, 200)
            .is_none()
            && config.next_read(201).is_none()
    );
    let (read, _) = config.next_read(200 + READ_RETRY_INTERVAL).unwrap();
    let new = config
        .handle_answer(read, &document_answer(4, TEAM), &base, 300)
        .unwrap();
    assert!(new.settings.team("late").is_some());
    assert_eq!(
        (
            config.version(),
            config.guard_version(),
            config.is_fresh(300)
        ),
        (4, 50, true)
    );
    assert!(
        !config.must_pause_starts(100 + MAX_VERSION_AGE - 1)
            && config.must_pause_starts(100 + MAX_VERSION_AGE)
    );
    config.apply_listing(&version_listing(3, 40), true);
    assert_eq!(
        (config.version(), config.is_fresh(300)),
        (4, true),
        "an older change that arrives late must be ignored"
    );
}

#[test]
fn a_key_deleted_during_missed_changes_is_not_waited_for() {
    let (mut config, base) = new_watch();
    config.confirm_newest(100);
    config.apply_listing(&version_listing(4, 50), true);
    let (read, _) = config.next_read(200).unwrap();
    assert!(
        config
            .handle_answer(read, &document_answer(4, TEAM), &base, 300)
            .is_some()
    );
    let empty_listing = r#"{"items":[],"truncated":false,"ledger_no":70}"#;
    let empty_listing: Listing = serde_json::from_str(empty_listing).unwrap();
    config.apply_listing(&empty_listing, false);
    assert_eq!(
        config.guard_version(),
        50,
        "a later page must not count as a deletion of the key"
    );
    config.apply_listing(&empty_listing, true);
    assert_eq!(
        (
            config.version(),
            config.guard_version(),
            config.is_fresh(300)
        ),
        (4, 0, true)
    );
}

#[test]
fn a_newer_version_known_from_a_peer_or_guard_stops_starts() {
    let (mut config, _) = new_watch();
    config.confirm_newest(100);
    config.record_peer_version(2);
    assert!(config.is_behind() && config.must_pause_starts(200) && !config.is_fresh(200));
    let (mut config, _) = new_watch();
    config.confirm_newest(100);
    config.mark_unconfirmed(200);
    assert!(config.is_behind() && !config.is_fresh(201));
    config.confirm_newest(199);
    assert!(
        !config.is_fresh(201),
        "the request was sent before the transaction failed"
    );
    config.confirm_newest(201);
    assert!(!config.is_behind() && config.is_fresh(202));
}

#[test]
fn an_invalid_version_keeps_the_last_usable_one_in_force() {
    let (mut config, base) = new_watch();
    config.confirm_newest(100);
    config.apply_listing(&version_listing(4, 50), true);
    let (read, _) = config.next_read(200).unwrap();
    assert!(
        config
            .handle_answer(read, &document_answer(4, TEAM), &base, 300)
            .is_some()
    );
    config.apply_listing(&version_listing(5, 60), true);
    let (read, _) = config.next_read(300).unwrap();
    assert!(
        config
            .handle_answer(read, &document_answer(5, r#"{"future":1}"#), &base, 300)
            .is_none()
    );
    assert_eq!(
        (
            config.version(),
            config.guard_version(),
            config.is_fresh(300)
        ),
        (4, 60, true)
    );
    assert!(
        config.rejection().is_some_and(|r| r.contains("5-x")),
        "{:?}",
        config.rejection()
    );
}

#[test]
fn a_new_process_falls_back_to_the_last_usable_version() {
    let (mut config, base) = new_watch();
    config.confirm_newest(100);
    config.apply_listing(&version_listing(5, 60), true);
    let (read, _) = config.next_read(300).unwrap();
    assert!(
        config
            .handle_answer(read, &document_answer(5, "7"), &base, 300)
            .is_none()
            && !config.is_fresh(300)
    );
    let (read, request) = config.next_read(300).unwrap();
    assert_eq!(
        (read, request.path.as_str()),
        (ConfigurationRead::History, "/kv/gh/config/history")
    );
    let history = r#"{"k":"gh/config/history","v":{"versions":[
        {"version":5,"id":"5-x","parts":1,"at":0,"by":"","why":""},
        {"version":4,"id":"4-x","parts":1,"at":0,"by":"","why":""}]},"stamp":60}"#;
    assert!(
        config
            .handle_answer(read, &Ok(Answer::new(200, history)), &base, 300)
            .is_none()
    );
    let (read, _) = config.next_read(300).unwrap();
    assert!(
        config
            .handle_answer(read, &document_answer(4, TEAM), &base, 300)
            .is_some()
    );
    assert_eq!(
        (
            config.version(),
            config.guard_version(),
            config.is_fresh(300)
        ),
        (4, 60, true)
    );
}
