//! Tests that compare the usage ledger with the workers' own records of their attempts.

use std::collections::{BTreeMap, HashSet};

use gannethub_ledger::audit::{Verified, verify};
use gannethub_ledger::line::{AttemptCharge, LeaderChange, LineBody, UnmeteredInterval};
use serde_json::json;

use crate::harness::{SECOND, WORKER_LEASE, World, job};
use crate::{ClusterKind, play_random_faults};

/// Unix time at the start of a test, in microseconds.
const WALL: u64 = 1_700_000_000 * SECOND;
/// Maximum time that messages and the worker's own steps add to an attempt, in microseconds.
const SLACK: u64 = SECOND / 4;

/// The verified contents of the ledger.
struct Audit {
    verified: Verified,
    /// Entries, each with its team, by machine, task and attempt.
    entries: BTreeMap<(String, String, u64), Vec<(String, AttemptCharge)>>,
    unmetered: Vec<UnmeteredInterval>,
    leader_changes: Vec<LeaderChange>,
    /// Intervals, from start to end, for which the ledger itself declares that it may lack attempts.
    incomplete: Vec<(u64, u64)>,
}

/// Verifies all pages of the ledger and sorts their lines.
fn audit(w: &World) -> Audit {
    let setup = w
        .settings()
        .ledger
        .clone()
        .expect("the world keeps a ledger");
    let pages = w.ledger();
    let verified = verify(&pages, &setup.keys, &setup.settings, None);
    let verified = verified.unwrap_or_else(|fault| panic!("{fault}"));
    let mut last = 0;
    let mut audit = Audit {
        verified,
        entries: BTreeMap::new(),
        unmetered: Vec::new(),
        leader_changes: Vec::new(),
        incomplete: Vec::new(),
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
            LineBody::Unmetered(g) => audit.unmetered.push(g),
            LineBody::LeaderChanged(t) => {
                if !t.has_all_open_usage {
                    // Attempts that ended just before may not have been written down, and a lease may have expired
                    // before its worker found the new leader.
                    audit
                        .incomplete
                        .push((before - WORKER_LEASE.min(before), t.at + 2 * WORKER_LEASE));
                }
                audit.leader_changes.push(t);
            }
            _ => {}
        }
    }
    audit
}

/// Compares every ledger entry with the worker's own record of the attempt, and fails with all mismatches.
fn compare(w: &World, audit: &Audit) -> Comparison {
    let (mut mismatches, mut compared, mut declared_missing) = (Vec::new(), 0, 0);
    let mut teams: BTreeMap<String, (u64, u64, u64)> = BTreeMap::new();
    let unmetered_machines: HashSet<&str> = audit.unmetered.iter().map(|g| &*g.machine).collect();
    for (key, span) in &w.record.spans {
        let (Some(ended), Some(real)) = (span.ended, span.time()) else {
            continue;
        };
        let Some(entries) = audit.entries.get(key) else {
            // The attempt was lost before any controller that knew of it could write it down, and the ledger declares
            // that: for the machine, or for a leader that did not know which attempts were open when the last line
            // was written.
            let is_incomplete = |(from, to): &(u64, u64)| (*from..*to).contains(&(WALL + ended));
            if unmetered_machines.contains(&*key.0) || audit.incomplete.iter().any(is_incomplete) {
                declared_missing += 1;
            } else {
                mismatches.push(format!("{key:?} is not charged: {span:?}"));
            }
            continue;
        };
        compared += 1;
        // A gang's task that is replaced on the same machine keeps its attempt number: then there are two entries,
        // one after the other.
        let mut runs: Vec<&AttemptCharge> = entries.iter().map(|(_, e)| e).collect();
        runs.sort_by_key(|e| e.begin);
        if runs.windows(2).any(|two| two[1].begin < two[0].end()) || runs.len() > span.runs {
            mismatches.push(format!(
                "{key:?} is charged {} times: {runs:?}",
                entries.len()
            ));
        }
        let team = &entries[0].0;
        let job = key.1.split('/').next().unwrap_or("");
        if w.jobs[job].body["crew"] != **team {
            mismatches.push(format!("{key:?} is charged to {team}"));
        }
        let charged: u64 = runs.iter().map(|e| e.stage_times.at_worker()).sum();
        let bound: u64 = runs.iter().map(|e| e.max_error).sum();
        if charged.abs_diff(real) > bound + SLACK {
            mismatches.push(format!(
                "{key:?} took {real}, charged {charged}: {runs:?} {span:?}"
            ));
        }
        let sums = teams.entry(team.clone()).or_default();
        *sums = (sums.0 + real, sums.1 + charged, sums.2 + bound);
    }
    for (key, entries) in &audit.entries {
        let never_ran = entries.iter().all(|(_, e)| e.stage_times.at_worker() == 0);
        if !w.record.spans.contains_key(key) && !never_ran {
            mismatches.push(format!("{key:?} is charged and never ran: {entries:?}"));
        }
    }
    assert!(
        mismatches.is_empty(),
        "{} mismatches:\n{}",
        mismatches.len(),
        mismatches.join("\n")
    );
    Comparison {
        compared,
        declared_missing,
        teams,
    }
}

/// Result of a comparison.
struct Comparison {
    /// Attempts that were compared.
    compared: usize,
    /// Attempts that are not charged, for an interval or a machine for which the ledger declares this itself.
    declared_missing: usize,
    /// By team, in microseconds: time by the workers' records, time by the ledger, and maximum error of the latter.
    teams: BTreeMap<String, (u64, u64, u64)>,
}

/// Guards against missing or wrong charges without any fault: every attempt is charged, and the charges of a team
/// deviate by at most 2 s plus the stated maximum error.
#[test]
fn a_run_without_faults_is_charged_to_the_second() {
    let mut w = World::with_ledger(3, 5, &|text| text);
    w.run(2);
    w.submit(job(1, 30, json!({"crew": "red"})));
    w.submit(job(2, 4, json!({"shape": "group", "together": true})));
    w.submit(job(3, 40, json!({"crew": "blue"})));
    w.submit(job(4, 2, json!({"shape": "service", "crew": "red"})));
    w.run(40);
    w.cancel(4);
    w.run_until(200, "all jobs have ended", World::all_jobs_ended);
    w.run(6);
    let audit = audit(&w);
    let Comparison {
        compared,
        declared_missing,
        teams,
    } = compare(&w, &audit);
    assert!(
        compared >= 76 && declared_missing == 0,
        "{compared} attempts compared, {declared_missing} not charged"
    );
    assert_eq!((audit.leader_changes.len(), audit.unmetered.len()), (1, 0));
    assert_eq!(
        audit.verified.charged_attempts as usize,
        audit.entries.len()
    );
    for (team, (real, charged, bound)) in teams {
        // An end that comes right after a heartbeat is reported late, by a quarter of a second on average.
        let lag = charged as i64 - real as i64;
        assert!(
            lag.unsigned_abs() <= bound + 2 * SECOND,
            "{team}: {real} us ran, {charged} us charged, maximum error {bound} us"
        );
    }
    w.finish();
}

/// Guards against attempts that are charged twice, never or to another team, under random faults. The ledger must
/// declare every attempt that it lacks, and these must be fewer than one for every eight that it charges.
#[test]
fn random_faults_charge_every_attempt_exactly_once() {
    let (mut all, mut declared_missing, mut leaders) = (0, 0, 0);
    for seed in 100..112 {
        let mut w = play_random_faults(seed, ClusterKind::Ledger);
        w.run(20);
        let audit = audit(&w);
        let result = compare(&w, &audit);
        (all, declared_missing) = (
            all + result.compared,
            declared_missing + result.declared_missing,
        );
        leaders += audit.leader_changes.len();
        w.finish();
    }
    assert!(
        all > 500 && leaders > 24,
        "{all} attempts compared under {leaders} leaders"
    );
    assert!(
        8 * declared_missing < all,
        "{declared_missing} of {all} are not charged"
    );
}

/// Guards against charges that are lost with the leader. Tasks have ended, and the leader crashes before it writes
/// the ledger page.
#[test]
fn a_leader_crash_before_a_ledger_write_loses_no_charge() {
    let mut w = World::with_ledger(3, 9, &|text| text);
    w.run(2);
    w.submit(job(1, 12, json!({"crew": "red"})));
    w.run_until(60, "some tasks are done", |w| {
        w.record.spans.values().any(|s| s.ended.is_some())
    });
    // The leader's pages are not written; only the leader and the workers know of the ends.
    let leader = w.leader().expect("a controller leads");
    w.faults.late_commit_rate = 1.0;
    w.run(1);
    w.crash(leader, 8 * SECOND);
    w.faults.late_commit_rate = 0.0;
    w.run_until(200, "all jobs have ended", World::all_jobs_ended);
    w.run(25);
    let audit = audit(&w);
    assert!(audit.leader_changes.len() == 2 && audit.leader_changes[1].has_all_open_usage);
    let result = compare(&w, &audit);
    assert!(result.compared >= 12 && result.declared_missing == 0);
    w.finish();
}

/// Guards against waits of a gang's task that are not charged, or charged twice, when the task waits again under the same
/// number, also across a change of leader.
#[test]
fn each_wait_of_a_gangs_task_is_charged_once() {
    for crash_at in [0, 5, 20, 37, 50, 69] {
        let mut w = World::with_ledger(3, 30 + crash_at, &|text| text);
        w.limit_offers(&[("small", "a", false, 2)]);
        w.images.fetch_times = vec![3 * SECOND, 70 * SECOND];
        w.run(2);
        w.submit(job(1, 2, json!({"shape": "group", "vcpus": 4.0})));
        w.run(crash_at);
        if crash_at > 0 {
            w.crash_leader(5 * SECOND);
        }
        w.run_until(150, "the gang is done", World::all_jobs_ended);
        w.run(25);
        let audit = audit(&w);
        assert_eq!(compare(&w, &audit).declared_missing, 0);
        assert!(w.record.spans.values().any(|span| span.runs >= 2));
        w.finish();
    }
}

/// Guards against unclear answers to ledger requests: a request with an invalid or missing parameter gets status 400
/// and the name of the parameter, and a cluster without a ledger answers 404.
#[test]
fn invalid_ledger_requests_name_the_wrong_parameter() {
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
        "the page is being read, so there is no answer yet"
    );
    for (path, status, names) in [
        ("/api/ledger?page=x", 400, "page"),
        ("/api/ledger?page=1&team=green", 400, "team"),
        ("/api/ledger?team=red", 400, "page"),
    ] {
        let (got, why) = ask(&settings, path).expect("the controller answers at once");
        assert!(got == status && why.contains(names), "{path}: {got} {why}");
    }
    let mut off = (*settings).clone();
    off.ledger = None;
    assert_eq!(
        ask(&std::sync::Arc::new(off), "/api/ledger").map(|a| a.0),
        Some(404)
    );
}
