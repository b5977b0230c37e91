use super::*;
use crate::settings::tests::SAMPLE;

fn base() -> Settings {
    Settings::parse(SAMPLE, "sample").unwrap().0
}

fn entry(name: &str, cpus: f64, cpus_max: f64) -> TeamEntry {
    TeamEntry {
        name: name.into(),
        cpus,
        cpus_max,
        ..TeamEntry::default()
    }
}

fn document(teams: Vec<TeamEntry>) -> Document {
    Document {
        teams,
        ..Document::default()
    }
}

#[test]
fn teams_keep_their_positions_when_teams_come_and_go() {
    let base = base();
    let known = base.teams.len();
    let first = document(vec![entry("late", 1.0, 4.0), entry("later", 1.0, 4.0)]);
    let first = first.apply_to(&base, &base).unwrap();
    assert_eq!(
        (first.team("late"), first.team("later")),
        (Some(known), Some(known + 1))
    );
    let second = document(vec![entry("later", 2.0, 8.0)])
        .apply_to(&base, &first)
        .unwrap();
    assert_eq!(second.team("later"), Some(known + 1));
    assert!(
        second.teams[known].is_removed,
        "a team that is no longer named is removed"
    );
    let third = document(vec![entry("late", 1.0, 2.0)])
        .apply_to(&base, &second)
        .unwrap();
    assert!(!third.teams[known].is_removed && third.teams[known + 1].is_removed);
    assert_eq!(
        Document::default().apply_to(&base, &base).unwrap().teams,
        base.teams
    );
}

#[test]
fn omitted_team_is_removed_and_keeps_its_last_limit() {
    let base = base();
    let first = document(vec![entry("late", 1.0, 4.0)]);
    let second = first.successor(Document::default(), &base);
    assert_eq!(
        second.teams,
        [TeamEntry {
            cpus: 0.0,
            removed: true,
            ..entry("late", 0.0, 4.0)
        }]
    );
    let own = base.teams[0].name.clone();
    let removed = TeamEntry {
        removed: true,
        ..entry(&own, 0.0, 0.0)
    };
    let third = second.successor(document(vec![removed]), &base);
    let limit = TeamEntry::of(&base.teams[0]).cpus_max;
    assert!(
        third
            .teams
            .iter()
            .any(|t| t.name == own && t.removed && t.cpus_max == limit)
    );
    let again = third.successor(document(vec![entry("late", 1.0, 2.0)]), &base);
    assert_eq!(
        again.teams,
        [entry("late", 1.0, 2.0)],
        "the team of the platform's file is restored as well"
    );
}

#[test]
fn error_names_the_invalid_field_of_a_document() {
    let base = base();
    let refused = |d: Document| d.apply_to(&base, &base).unwrap_err().to_string();
    let above = refused(document(vec![entry("late", 5.0, 4.0)]));
    assert_eq!(above, "teams[0].cpus: the guarantee 5 is above the limit 4");
    let twice = refused(document(vec![
        entry("late", 1.0, 4.0),
        entry("late", 1.0, 4.0),
    ]));
    assert_eq!(twice, "teams[1].name: \"late\" appears twice");
    let nan = refused(document(vec![entry("late", f64::NAN, 4.0)]));
    assert!(nan.starts_with("teams[0].cpus: NaN"), "{nan}");
    let policy = |text: &str| Document {
        policy: Some(text.into()),
        ..Document::default()
    };
    assert!(refused(policy("grant_s = 4")).starts_with("policy: grant_s needs a restart"));
    assert!(refused(policy("patience_s = no")).starts_with("policy: "));
    let set = policy("patience_s = 7").apply_to(&base, &base).unwrap();
    assert_eq!(set.policy.number(Setting::Patience, &[]), 7.0);
}

#[test]
fn team_changes_are_refused_with_several_shards() {
    let mut base = base();
    base.policy = Policy::parse("blocks = 3").unwrap();
    let error = document(vec![entry("late", 1.0, 4.0)])
        .apply_to(&base, &base)
        .unwrap_err();
    assert_eq!(error.field, "teams");
    let objectives = Document {
        objectives: Some(Vec::new()),
        ..Document::default()
    };
    assert!(objectives.apply_to(&base, &base).is_ok());
}
