use super::*;
use crate::configuration::TeamEntry;

fn listing(record: &VersionRecord, parts: &[Document]) -> Listing {
    let item = |(i, part): (usize, &Document)| serde_json::json!({"k": record.part_key(i), "v": part, "stamp": 1});
    let items: Vec<_> = parts.iter().enumerate().map(item).collect();
    let text = serde_json::json!({"items": items, "truncated": false, "ledger_no": 1});
    serde_json::from_str(&text.to_string()).unwrap()
}

fn document(teams: usize) -> Document {
    let team = |i: usize| TeamEntry {
        name: format!("team-{i:03}"),
        cpus: 10.0,
        cpus_max: 40.0,
        ..TeamEntry::default()
    };
    Document {
        teams: (0..teams).map(team).collect(),
        policy: Some("patience_s = 7".into()),
        objectives: Some(Vec::new()),
        ..Document::default()
    }
}

#[test]
fn document_split_into_small_values_is_reassembled() {
    let original = document(300);
    let parts = split_document(&original, 4096).unwrap();
    assert!((4..=7).contains(&parts.len()), "{}", parts.len());
    for part in &parts {
        assert!(serde_json::to_string(part).unwrap().len() <= 4096);
    }
    let record = VersionRecord {
        id: "3-a".into(),
        parts: parts.len() as u32,
        ..Default::default()
    };
    assert_eq!(record.assemble(&listing(&record, &parts)), Ok(original));
    let missing = record.assemble(&listing(&record, &parts[1..]));
    assert!(matches!(
        missing,
        Err(StoredDocumentError::MissingParts { .. })
    ));
    assert_eq!(split_document(&Document::default(), 4096).unwrap().len(), 1);
}

#[test]
fn oversized_field_is_named_in_the_error() {
    let oversized = Document {
        policy: Some("# ".repeat(4000)),
        ..Document::default()
    };
    let error = split_document(&oversized, 4096).unwrap_err();
    assert!(
        error.to_string().starts_with("policy does not fit"),
        "{error}"
    );
}

#[test]
fn history_drops_oldest_versions_over_size_limit() {
    let mut history = HistoryRecord::default();
    let mut dropped = 0;
    for version in 1..=100 {
        let record = VersionRecord {
            version,
            reason: "x".repeat(100),
            ..Default::default()
        };
        dropped += history.push(record, 4096).len();
    }
    assert_eq!(
        (
            history.versions[0].version,
            history.versions.len() + dropped
        ),
        (100, 100)
    );
    assert!(serde_json::to_string(&history).unwrap().len() <= 4096 && dropped > 50);
}
