//! All formats of the ledger, pinned as literal text: lines, pages, the head, the key file and the settings file.
//!
//! Pages are kept for years and chained by a hash of their exact text, so renaming a Rust field must not change a page.
//! The literals were printed by an earlier version of the code, before its Rust names changed. When Rust names change,
//! edit only the Rust names in this file: a literal that has to change is an incompatible change.

use std::sync::Arc;

use gannethub_ledger::audit::{Page, verify};
use gannethub_ledger::book::{Book, Head};
use gannethub_ledger::chain::LineMac;
use gannethub_ledger::line::{
    AttemptCharge, Balance, BalancePart, Charge, ChargeGroup, LeaderChange, Line, LineBody, Reason,
    ResourceAmounts, UnmeteredInterval, Usefulness,
};
use gannethub_ledger::meter::StageTimes;
use gannethub_ledger::{KeyRing, SECOND, Settings};

/// Asserts that the written text equals the pinned text.
fn pin(actual: &str, pinned: &str) {
    assert_eq!(actual, pinned);
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).unwrap()
}

fn keys() -> KeyRing {
    KeyRing::parse(&KeyRing::write("k-1", &[3; 32])).unwrap()
}

/// Asserts that a line is written as the pinned text, and that the pinned text is read as that line.
fn pin_line(body: LineBody, pinned: &str) {
    let (keys, before) = (keys(), LineMac::default());
    let line = Line { number: 41, body };
    let (text, mac) = line.to_chained_text(keys.newest(), &before);
    pin(&text, pinned);
    let value = serde_json::from_str(pinned).unwrap();
    let (read, read_mac) = Line::read(&value).unwrap();
    assert_eq!((&read, read_mac), (&line, mac));
    assert_eq!(read.to_chained_text(keys.newest(), &before).0, pinned);
}

fn charge_group(reason: Reason, value: Usefulness) -> ChargeGroup {
    ChargeGroup {
        team: "blue".into(),
        class: "train".into(),
        job: "j-7".into(),
        resources: ResourceAmounts(4000, 1000, 64_000),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        price: 4_500_000,
        reason,
        usefulness: value,
    }
}

fn entry(task: u32) -> AttemptCharge {
    AttemptCharge {
        task,
        attempt: 301 + u64::from(task),
        machine: "host-000231".into(),
        begin: 1_700_000_000_000_001 + u64::from(task),
        stage_times: StageTimes([11, 12, 0, 14, 0, 0]),
        max_error: 3,
        is_estimate: task == 1,
    }
}

#[test]
fn line_charge() {
    let charge = Charge {
        group: charge_group(Reason::PeersGone, Usefulness::Lost),
        entries: vec![entry(0), entry(1)],
    };
    pin_line(
        LineBody::Charge(charge),
        r#"[41,"charge",["blue","train","j-7",[4000,1000,64000],"g8","a",true,4500000,"peers_gone","lost"],[301,1700000000000001],[[0,0,"host-000231",0,[11,12,0,14],6],[1,1,"host-000231",1,[11,12,0,14],7]],"snN3WiM0UYU7vRh++ZW2Xw"]"#,
    );
}

#[test]
fn charge_reasons_and_usefulness() {
    let reasons = [
        Reason::Done,
        Reason::Stopped,
        Reason::PeersGone,
        Reason::Alone,
        Reason::Error,
        Reason::NoRoom,
        Reason::Busy,
        Reason::Unknown,
        Reason::Other,
        Reason::Missing,
        Reason::Lease,
        Reason::Machine,
    ];
    let usefulness = [Usefulness::Useful, Usefulness::Saved, Usefulness::Lost];
    pin(
        &json(&(reasons, usefulness)),
        r#"[["done","stopped","peers_gone","alone","error","no_room","busy","unknown","other","missing","lease","machine"],["useful","saved","lost"]]"#,
    );
    let text = json(&(reasons, usefulness));
    let read: ([Reason; 12], [Usefulness; 3]) = serde_json::from_str(&text).unwrap();
    assert_eq!(read, (reasons, usefulness));
}

#[test]
fn line_leader_change() {
    let leader_change = LeaderChange {
        term: 7,
        owner: "n0".into(),
        at: 1_700_000_000_000_001,
        has_all_open_usage: true,
    };
    pin_line(
        LineBody::LeaderChanged(leader_change),
        r#"[41,"took",7,"n0",1700000000000001,true,"Vw7UZRBnSYsqf71eJADcXA"]"#,
    );
}

#[test]
fn line_unmetered_interval() {
    let interval = UnmeteredInterval {
        machine: "host-000231".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        from: 1_700_000_000_000_001,
        to: 1_700_000_000_000_002,
    };
    pin_line(
        LineBody::Unmetered(interval),
        r#"[41,"gap",["host-000231","g8","a",true],1700000000000001,1700000000000002,"DNhfaMw55kXJczaDTA28Nw"]"#,
    );
}

#[test]
fn line_balance() {
    let balance = Balance {
        end_line: 40,
        parts: 2,
        kept: 3,
        at: 1_700_000_000_000_001,
    };
    pin_line(
        LineBody::Balance(balance),
        r#"[41,"balance",40,2,3,1700000000000001,"de/FGvkJ4LfzB/VwSsLIuw"]"#,
    );
}

#[test]
fn line_balance_part() {
    let part = BalancePart {
        team: "blue".into(),
        class: "train".into(),
        entries: 2,
        amounts: vec![0, 255, 1 << 100],
        half_life: 60 * SECOND,
        decayed: vec![(4, 1 << 100)],
    };
    pin_line(
        LineBody::Part(part),
        r#"[41,"part",["blue","train"],[2,["0","ff","10000000000000000000000000"],60000000,[[4,"10000000000000000000000000"]]],"kqPE6N2kZI0ZsjLfFqaP0w"]"#,
    );
}

const SETTINGS: &str = r#"
keys = "ledger.keys"
half_life_s = 3600.0
every_s = 3.0
retention_s = 86400.0
balance_pages = 9
clock_off_s = 1.5
[cost]
cpu = 1.0
gpu = 7.0
mem_gb = 0.2
[[teams]]
name = "red"
share = 0.25
[[teams]]
name = "blue"
share = 0.75
half_life_s = 60.0
"#;

fn settings() -> Settings {
    let teams = [("red".to_string(), 30.0), ("blue".to_string(), 10.0)];
    Settings::parse(SETTINGS, "ledger.toml", &teams).unwrap()
}

#[test]
fn page_and_head() {
    let (settings, keys) = (Arc::new(settings()), Arc::new(keys()));
    let opened = Book::open(settings.clone(), keys.clone(), 4096, SECOND, None, &[]);
    let mut book = opened.book;
    let leader_change = LeaderChange {
        term: 7,
        owner: "n0".into(),
        at: 1_700_000_000_000_001,
        has_all_open_usage: true,
    };
    book.queue_line(LineBody::LeaderChanged(leader_change), SECOND);
    book.charge(
        charge_group(Reason::Done, Usefulness::Useful),
        entry(0),
        SECOND,
    );
    let write = book
        .next_write(9 * SECOND, 1_700_000_000_000_009, 16)
        .unwrap();
    assert_eq!((write.page, write.version), (0, 0));
    pin(
        &write.value,
        r#"{"page":0,"first":0,"prev":"AAAAAAAAAAAAAAAAAAAAAA","key":"k-1","lines":[[0,"took",7,"n0",1700000000000001,true,"Cvc4zYrELvAaMNNcLAHVow"],[1,"charge",["blue","train","j-7",[4000,1000,64000],"g8","a",true,4500000,"done","useful"],[301,1700000000000001],[[0,0,"host-000231",0,[11,12,0,14],6]],"lAzcMvT2CVF2651CFjrjXQ"]]}"#,
    );
    pin(
        &json(&write.head.unwrap()),
        r#"{"newest":0,"from":0,"kept":0,"marks":[]}"#,
    );
    let page: Page = serde_json::from_str(&write.value).unwrap();
    assert_eq!(json(&page), write.value);
    let verified = verify(&[page], &keys, &settings, None).unwrap();
    assert_eq!(
        (verified.pages, verified.lines, verified.charged_attempts),
        (1, 2, 1)
    );
}

#[test]
fn head_with_time_marks() {
    let head = Head {
        newest: 7,
        from: 5,
        kept: 3,
        marks: vec![(4, 1_700_000_000_000_001)],
    };
    let pinned = r#"{"newest":7,"from":5,"kept":3,"marks":[[4,1700000000000001]]}"#;
    pin(&json(&head), pinned);
    let read: Head = serde_json::from_str(&json(&head)).unwrap();
    assert_eq!(read, head);
    let read: Head = serde_json::from_str(r#"{"newest":7,"from":5,"kept":3}"#).unwrap();
    assert!(read.marks.is_empty());
}

#[test]
fn key_file() {
    let text = KeyRing::write("k-1", &[3; 32]);
    pin(
        text.trim_end(),
        "k-1 0303030303030303030303030303030303030303030303030303030303030303",
    );
    let text = format!("# comment\n{}{text}", KeyRing::write("k-0", &[2; 32]));
    let keys = KeyRing::parse(&text).unwrap();
    assert_eq!(keys.ids().collect::<Vec<_>>(), ["k-0", "k-1"]);
    assert_eq!(keys.newest().id, "k-1");
}

#[test]
fn settings_file() {
    let settings = settings();
    assert_eq!(settings.key_file, "ledger.keys");
    assert_eq!(settings.resource_weights, ResourceAmounts(1000, 7000, 200));
    assert_eq!(
        (settings.write_interval, settings.max_clock_offset),
        (3 * SECOND, SECOND * 3 / 2)
    );
    assert_eq!(
        (settings.retention, settings.balance_pages),
        (86_400 * SECOND, 9)
    );
    let (red, blue) = (settings.teams["red"], settings.teams["blue"]);
    assert_eq!((red.share, red.half_life.time()), (0.25, 3600 * SECOND));
    assert_eq!((blue.share, blue.half_life.time()), (0.75, 60 * SECOND));
}

#[test]
fn settings_file_without_optional_fields() {
    let text = "keys = \"ledger.keys\"\nhalf_life_s = 3600.0\n";
    let teams = [("red".to_string(), 30.0), ("blue".to_string(), 10.0)];
    let settings = Settings::parse(text, "ledger.toml", &teams).unwrap();
    assert_eq!(settings.resource_weights, ResourceAmounts(1000, 8000, 100));
    assert_eq!(
        (settings.write_interval, settings.max_clock_offset),
        (2 * SECOND, 2 * SECOND)
    );
    assert_eq!((settings.retention, settings.balance_pages), (0, 8));
    assert_eq!(
        (settings.teams["red"].share, settings.teams["blue"].share),
        (0.75, 0.25)
    );
}
