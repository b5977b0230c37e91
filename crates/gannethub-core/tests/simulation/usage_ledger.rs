//! What the ledger says against what the workers themselves would say.

use std::collections::{BTreeMap, HashSet};

use gannethub_ledger::audit::{Verified, verify};
use gannethub_ledger::line::{Entry, LineBody, OwnerChange, UnmeteredInterval};
use serde_json::json;

use crate::harness::{LEASE, SECOND, World, job};
use crate::{ClusterKind, play_random_faults};

/// Time of day when a test begins.
const WALL: u64 = 1_700_000_000 * SECOND;
/// Messages and the worker's own steps take so long at most.
const SLACK: u64 = SECOND / 4;

struct Audit {
    verified: Verified,
    /// Entries by machine, task and attempt, with their teams.
    entries: BTreeMap<(String, String, u64), Vec<(String, Entry)>>,
    gaps: Vec<UnmeteredInterval>,
    took: Vec<OwnerChange>,
    /// From when until when the ledger itself says that it may not know of everything.
    blind: Vec<(u64, u64)>,
}

fn audit(w: &World) -> Audit {
    let setup = w.settings().ledger.clone().expect("a ledger is kept");
    let pages = w.ledger();
    let verified = verify(&pages, &setup.keys, &setup.settings, None);
    let verified = verified.unwrap_or_else(|fault| panic!("{fault}"));
    let mut last = 0;
    let mut audit = Audit {
        verified,
        entries: BTreeMap::new(),
        gaps: Vec::new(),
        took: Vec::new(),
        blind: Vec::new(),
    };
    for (line, _) in pages.iter().flat_map(|p| p.read().expect("verified")) {
        let before = last;
        last = line.last_event_at().unwrap_or(last).max(last);
        match line.body {
            LineBody::Charge(c) => {
                for e in c.entries {
                    let task = format!("{}/{}", c.group.job, e.task);
                    let key = (e.machine.clone(), task, e.attempt);
                    audit
                        .entries
                        .entry(key)
                        .or_default()
                        .push((c.group.team.clone(), e));
                }
            }
            LineBody::Unmetered(g) => audit.gaps.push(g),
            LineBody::OwnerChanged(t) => {
                if !t.complete {
                    // What ended just before may not have been in writing, and a lease may have run out before
                    // its worker found the new leader.
                    audit
                        .blind
                        .push((before - LEASE.min(before), t.at + 2 * LEASE));
                }
                audit.took.push(t);
            }
            _ => {}
        }
    }
    audit
}

/// Holds every entry against the worker's own record. By team: the time by the workers, by the ledger, and how
/// far the latter may be off.
fn compare(w: &World, audit: &Audit) -> Compared {
    let (mut wrong, mut compared, mut excused) = (Vec::new(), 0, 0);
    let mut teams: BTreeMap<String, (u64, u64, u64)> = BTreeMap::new();
    let unknown: HashSet<&str> = audit.gaps.iter().map(|g| &*g.machine).collect();
    for (key, span) in &w.record.spans {
        let (Some(ended), Some(real)) = (span.ended, span.time()) else {
            continue;
        };
        let Some(entries) = audit.entries.get(key) else {
            // It was forgotten before anyone who knew of it could write it down, and the ledger says so: of its
            // machine, or of a leader that did not know what was open when the last line was written.
            let blind = |(from, to): &(u64, u64)| (*from..*to).contains(&(WALL + ended));
            if unknown.contains(&*key.0) || audit.blind.iter().any(blind) {
                excused += 1;
            } else {
                wrong.push(format!("{key:?} is not charged: {span:?}"));
            }
            continue;
        };
        compared += 1;
        // A gang's task that is replaced where it was keeps its number: then there are two, one after the other.
        let mut stints: Vec<&Entry> = entries.iter().map(|(_, e)| e).collect();
        stints.sort_by_key(|e| e.begin);
        if stints.windows(2).any(|two| two[1].begin < two[0].end()) || stints.len() > span.stints {
            wrong.push(format!(
                "{key:?} is charged {} times: {stints:?}",
                entries.len()
            ));
        }
        let team = &entries[0].0;
        let job = key.1.split('/').next().unwrap_or("");
        if w.jobs[job].body["crew"] != **team {
            wrong.push(format!("{key:?} is charged to {team}"));
        }
        let charged: u64 = stints.iter().map(|e| e.stage_times.at_worker()).sum();
        let bound: u64 = stints.iter().map(|e| e.max_error).sum();
        if charged.abs_diff(real) > bound + SLACK {
            wrong.push(format!(
                "{key:?} took {real}, charged {charged}: {stints:?} {span:?}"
            ));
        }
        let sums = teams.entry(team.clone()).or_default();
        *sums = (sums.0 + real, sums.1 + charged, sums.2 + bound);
    }
    for (key, entries) in &audit.entries {
        let never = entries.iter().all(|(_, e)| e.stage_times.at_worker() == 0);
        if !w.record.spans.contains_key(key) && !never {
            wrong.push(format!("{key:?} is charged and never ran: {entries:?}"));
        }
    }
    assert!(
        wrong.is_empty(),
        "{} wrong:\n{}",
        wrong.len(),
        wrong.join("\n")
    );
    Compared {
        compared,
        excused,
        teams,
    }
}

struct Compared {
    compared: usize,
    /// Not charged, as the ledger itself tells.
    excused: usize,
    teams: BTreeMap<String, (u64, u64, u64)>,
}

#[test]
fn a_quiet_day_is_charged_to_the_second() {
    let mut w = World::with_ledger(3, 5, &|text| text);
    w.run(2);
    w.submit(job(1, 30, json!({"crew": "red"})));
    w.submit(job(2, 4, json!({"shape": "group", "together": true})));
    w.submit(job(3, 40, json!({"crew": "blue"})));
    w.submit(job(4, 2, json!({"shape": "service", "crew": "red"})));
    w.run(40);
    w.cancel(4);
    w.run_until(200, "all are over", World::all_over);
    w.run(6);
    let audit = audit(&w);
    let Compared {
        compared,
        excused,
        teams,
    } = compare(&w, &audit);
    assert!(compared >= 76 && excused == 0, "{compared} attempts");
    assert_eq!((audit.took.len(), audit.gaps.len()), (1, 0));
    assert_eq!(audit.verified.charged as usize, audit.entries.len());
    for (team, (real, charged, bound)) in teams {
        // Ends right after another heartbeat are late by a quarter of a second on average.
        let lag = charged as i64 - real as i64;
        assert!(
            lag.unsigned_abs() <= bound + 2 * SECOND,
            "{team}: {real} {charged} {bound}"
        );
    }
    w.finish();
}

#[test]
fn every_attempt_is_charged_once_through_random_troubles() {
    let (mut all, mut excused, mut leaders) = (0, 0, 0);
    for seed in 100..112 {
        let mut w = play_random_faults(seed, ClusterKind::Ledger);
        w.run(20);
        let audit = audit(&w);
        let day = compare(&w, &audit);
        (all, excused) = (all + day.compared, excused + day.excused);
        leaders += audit.took.len();
        w.finish();
    }
    assert!(
        all > 500 && leaders > 24,
        "{all} attempts under {leaders} leaders"
    );
    assert!(8 * excused < all, "{excused} of {all} are not charged");
}

#[test]
fn a_leader_that_dies_before_it_writes_loses_no_charge() {
    let mut w = World::with_ledger(3, 9, &|text| text);
    w.run(2);
    w.submit(job(1, 12, json!({"crew": "red"})));
    w.run_until(60, "some are done", |w| {
        w.record.spans.values().any(|s| s.ended.is_some())
    });
    // Its pages are not written; the ends are known to it and to the workers only.
    let leader = w.leader().expect("one leads");
    w.faults.late_commit_rate = 1.0;
    w.run(1);
    w.crash(leader, 8 * SECOND);
    w.faults.late_commit_rate = 0.0;
    w.run_until(200, "all are over", World::all_over);
    w.run(25);
    let audit = audit(&w);
    assert!(audit.took.len() == 2 && audit.took[1].complete);
    let day = compare(&w, &audit);
    assert!(day.compared >= 12 && day.excused == 0);
    w.finish();
}

#[test]
fn pages_are_shown_and_bad_questions_are_explained() {
    use gannethub_core::controller::{Clock, Command, Controller, Effect};
    use gannethub_core::http::{Method, Request};
    let w = World::with_ledger(1, 1, &|text| text);
    let settings = std::sync::Arc::new(w.settings().clone());
    let ask = |settings: &std::sync::Arc<gannethub_core::settings::Settings>, path: &str| {
        let mut c = Controller::new(settings.clone(), Clock::default());
        let (method, path, body) = (Method::Get, path.to_string(), bytes::Bytes::new());
        let request = Request {
            method,
            path,
            body,
            closes_connection: false,
        };
        let effects = c.step(
            Clock::default(),
            [Command::HttpRequest {
                connection: 1,
                request,
            }],
        );
        let mut answers = effects.into_iter().filter_map(|e| match e {
            Effect::Reply { response, .. } => Some((
                response.status,
                String::from_utf8_lossy(&response.body).into_owned(),
            )),
            _ => None,
        });
        answers.next()
    };
    assert_eq!(
        ask(&settings, "/api/ledger?page=0"),
        None,
        "it is being read"
    );
    for (path, status, names) in [
        ("/api/ledger?page=x", 400, "page"),
        ("/api/ledger?page=1&team=green", 400, "team"),
        ("/api/ledger?team=red", 400, "page"),
    ] {
        let (got, why) = ask(&settings, path).expect("an answer at once");
        assert!(got == status && why.contains(names), "{path}: {got} {why}");
    }
    let mut off = (*settings).clone();
    off.ledger = None;
    assert_eq!(
        ask(&std::sync::Arc::new(off), "/api/ledger").map(|a| a.0),
        Some(404)
    );
}
