//! Compatibility of stored records and peer frames with the previous release, in both directions. The previous release
//! is here the last one without pipelines. The fixtures were printed by the record types and frames of that release, in
//! a test that was added to its commit. Its deserialization is reproduced here by small types with the same fields.

use bytes::BytesMut;
use gannethub_core::model::{JobId, JobSpec};
use gannethub_core::state::shard::ChunkRecord;
use gannethub_core::wire::peer::{self, Body};
use gannethub_core::wire::store::{
    self, DonePartRecord, FinishedJobRecord, JobRecord, LeaseRecord, LiveRecord, WaitingRecord,
};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::harness::{SECOND, World, job};

const SPEC: &str = r#"{"class":"scale-ticket","team":"blue","shape":"Array","priority":"Low","tasks":70,"need":{"cpu":1000,"gpu":0,"mem":2300},"image":"img-07","image_gb":0.6,"types":["small"],"zone":null,"one_zone":false,"spread":false,"spot":true,"estimate":30500000,"checkpoint_every":0,"save":0,"deadline":71000000}"#;
const RECORD_TAIL: &str = r#","at":1790000000000000,"done":"0-2,9","cancelled":false}"#;
const CRASH_LOOPING_TAIL: &str =
    r#","at":1790000000000000,"done":"","cancelled":true,"failing":true}"#;
const FINISHED_JOB: &str = r#"{"cancelled":false,"tasks":70}"#;
const DONE_PART: &str = r#"{"done":"4096-4100"}"#;
const LEASE: &str = r#"{"holder":"n0","term":7}"#;
const CHUNK: &str = r#"{"term":7,"holder":"n0","machines":{"host-000001":{"flavor":"small","zone":"a","spot":true},"host-000002":{"flavor":"gpu","zone":"b","spot":false}}}"#;
const FRAMES: &str = "000000170a026e31121108071001180122090a036a2d31100218030000000c0a026e31\
    1a06080912027b7d0000000f0a026e312209080910c8011a027b7d0000000f0a026e312a090801100718c096b102\
    0000000a0a026e313204080110070000000d0a026e313a070a036a2d31102c";

fn record(tail: &str) -> String {
    format!("{{\"spec\":{SPEC}{tail}")
}

/// Fields of a live job's record that a leader of the previous release reads. Every field without a default is
/// required.
#[derive(Deserialize)]
struct PreviousJobRecord {
    spec: JobSpec,
    at: u64,
    #[serde(default)]
    done: String,
    #[serde(default)]
    cancelled: bool,
    #[serde(default)]
    failing: bool,
}

/// Fields of a live job's record that the job replica of the previous release reads to answer queries.
#[derive(Deserialize)]
struct PreviousJobSummary {
    spec: PreviousSpecSummary,
    #[serde(default)]
    cancelled: bool,
}

#[derive(Deserialize)]
struct PreviousSpecSummary {
    tasks: u32,
}

#[test]
fn records_of_the_previous_version_round_trip_unchanged() {
    for tail in [RECORD_TAIL, CRASH_LOOPING_TAIL] {
        let text = record(tail);
        let LiveRecord::Job(r) = LiveRecord::parse(&text).expect("a job") else {
            panic!("the job does not wait for upstream jobs")
        };
        assert_eq!(
            store::to_raw_value(&r).get(),
            text,
            "the record has no new fields, so its bytes must not change"
        );
    }
    let finished: FinishedJobRecord = serde_json::from_str(FINISHED_JOB).expect("a finished job");
    assert_eq!(store::to_raw_value(&finished).get(), FINISHED_JOB);
    let part: DonePartRecord = serde_json::from_str(DONE_PART).expect("a record of finished tasks");
    assert_eq!(store::to_raw_value(&part).get(), DONE_PART);
    let lead: LeaseRecord = serde_json::from_str(LEASE).expect("a lease record");
    assert_eq!(store::to_raw_value(&lead).get(), LEASE);
    let chunk: ChunkRecord = serde_json::from_str(CHUNK).expect("a chunk record");
    assert_eq!(store::to_raw_value(&chunk).get(), CHUNK);
}

#[test]
fn peer_frames_of_the_previous_version_round_trip_unchanged() {
    let bytes: Vec<u8> = (0..FRAMES.len() / 2)
        .map(|i| u8::from_str_radix(&FRAMES[2 * i..2 * i + 2], 16).expect("hex"))
        .collect();
    let mut wire = BytesMut::from(&bytes[..]);
    let mut again = BytesMut::new();
    let mut kinds = Vec::new();
    while let Some(message) = peer::decode_frame(&mut wire).expect("a frame") {
        peer::encode_frame(&message, &mut again);
        kinds.push(match message.body.expect("a body") {
            Body::Heartbeat(b) => (b.leading_term, b.running_jobs.len()),
            Body::RelayHeartbeat(r) => (r.id, r.heartbeat.len()),
            Body::RelayAnswer(r) => (r.id, r.status as usize),
            Body::VoteRequest(p) => (p.term, p.duration as usize),
            Body::Vote(p) => (p.term, p.round as usize),
            Body::JobChanged(c) => (c.version, c.job.len()),
            other => panic!("the previous release had no message {other:?}"),
        });
    }
    assert_eq!(
        kinds,
        [(7, 1), (9, 2), (9, 200), (7, 5_000_000), (7, 1), (44, 3)]
    );
    assert_eq!(again, bytes);
}

#[test]
fn previous_version_answers_for_but_cannot_start_waiting_jobs() {
    let LiveRecord::Job(r) = LiveRecord::parse(&record(RECORD_TAIL)).expect("a job") else {
        panic!()
    };
    let upstream = [JobId::from("j-000398")];
    for cancelled in [false, true] {
        let waiting = WaitingRecord::new(r.spec.clone(), r.accepted_at, cancelled, &upstream);
        let text = store::to_raw_value(&waiting).get().to_string();
        assert!(
            serde_json::from_str::<PreviousJobRecord>(&text).is_err(),
            "a leader of the previous release cannot parse the record"
        );
        let summary: PreviousJobSummary =
            serde_json::from_str(&text).expect("the replica of the previous release reads it");
        assert_eq!((summary.spec.tasks, summary.cancelled), (70, cancelled));
        assert_eq!(
            LiveRecord::parse(&text).expect("a readable record"),
            LiveRecord::Waiting(waiting)
        );
    }
    // A released job has an ordinary record. If the previous release drops the field `ready`, the job only loses its
    // place in the queue.
    let mut released = JobRecord::new(r.spec.clone(), r.accepted_at);
    released.ready_at = Some(r.accepted_at + 5);
    released.done = "0-2,9".into();
    let old: PreviousJobRecord = serde_json::from_str(store::to_raw_value(&released).get())
        .expect("the previous release reads it");
    assert_eq!(
        (old.spec, old.at, &*old.done),
        (r.spec, r.accepted_at, "0-2,9")
    );
    assert!(!old.cancelled && !old.failing);
}

#[test]
fn previous_version_answers_for_but_cannot_start_sharded_jobs() {
    let LiveRecord::Job(mut r) = LiveRecord::parse(&record(RECORD_TAIL)).expect("a job") else {
        panic!()
    };
    r.watermark = Some(40);
    // A leader of the previous release runs jobs of shard 0 and ignores the launch watermark. The records that it
    // writes lack the watermark, so the current release treats all tasks as launched.
    let old: PreviousJobRecord =
        serde_json::from_str(r.to_value().get()).expect("the previous release reads it");
    assert_eq!(old.done, r.done);
    let LiveRecord::Job(without_watermark) =
        LiveRecord::parse(&record(RECORD_TAIL)).expect("a job")
    else {
        panic!()
    };
    assert_eq!(
        (
            r.effective_watermark(),
            without_watermark.effective_watermark()
        ),
        (40, 70)
    );
    r.shard = 2;
    r.ready_at = Some(r.accepted_at + 5);
    for cancelled in [false, true] {
        r.cancelled = cancelled;
        let text = r.to_value().get().to_string();
        assert!(
            serde_json::from_str::<PreviousJobRecord>(&text).is_err(),
            "a leader of the previous release cannot parse the record"
        );
        let summary: PreviousJobSummary =
            serde_json::from_str(&text).expect("the replica of the previous release reads it");
        assert_eq!((summary.spec.tasks, summary.cancelled), (70, cancelled));
        assert_eq!(
            LiveRecord::parse(&text).expect("a readable record"),
            LiveRecord::Job(r.clone())
        );
    }
    let cancelled = LiveRecord::Job(r.clone()).into_cancelled_value(16 * 1024);
    let LiveRecord::Job(parsed) = LiveRecord::parse(cancelled.get()).expect("a readable record")
    else {
        panic!()
    };
    assert_eq!(
        (parsed.shard, parsed.watermark, parsed.cancelled),
        (2, Some(40), true)
    );
}

/// Returns a job record in the previous release's format, with `tasks` tasks of which those in `done` are done.
fn previous_record(tasks: u32, done: &str) -> String {
    let mut record: Value = serde_json::from_str(&record(RECORD_TAIL)).expect("JSON");
    record["spec"]["tasks"] = json!(tasks);
    record["spec"]["class"] = json!("c".repeat(120));
    record["done"] = json!(done);
    record.to_string()
}

#[test]
fn large_records_are_read_and_split_after_limits_shrink() {
    let limits = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n[cluster.cloud]";
    let mut w = World::with_settings(3, 80, 10.0, &|t| t.replace("[cluster.cloud]", limits));
    w.cloud.capacity = 100;
    // A shard record with 90 machines in one chunk, none of which exists any more, and a job with no task started.
    let machines: serde_json::Map<String, Value> = (0..90)
        .map(|i| {
            (
                format!("host-9{i:05}"),
                json!({"flavor": "small", "zone": "a", "spot": false}),
            )
        })
        .collect();
    let chunk = json!({"term": 1, "holder": "n0", "machines": machines});
    assert!(chunk.to_string().len() > 4096);
    w.state.put("gh/block/0/0", &chunk.to_string());
    w.state.put("gh/live/j-000077", &previous_record(4, ""));
    w.submit(job(77, 4, json!({})));
    w.submit(job(1, 2, json!({"waits_on": ["j-000077"]})));
    // The limits on values and transactions shrink while the large records are still stored.
    w.state.limits = (2048, 4);
    w.run_until(
        120,
        "the stored job is done, and its new downstream job after it",
        World::all_jobs_ended,
    );
    for n in 0..3 {
        w.crash(n, SECOND);
    }
    w.run_until(120, "the shard's record fits into the smaller limit", |w| {
        w.state
            .value("gh/block/0/0")
            .is_some_and(|v| v.to_string().len() < 2048)
    });
    assert_eq!(w.state.too_large, 0);
    w.finish();
}

#[test]
fn finished_tasks_beyond_the_value_limit_go_to_a_readable_part() {
    // The record has as many ranges of finished tasks as the previous release could store under its larger limit, and
    // an image name of the maximum length (128 bytes).
    let limits = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n[cluster.cloud]";
    let mut w = World::with_settings(1, 81, 10.0, &|t| t.replace("[cluster.cloud]", limits));
    let ranges: Vec<String> = (0..2000).step_by(2).map(|i| i.to_string()).collect();
    let mut record: Value = serde_json::from_str(&previous_record(2000, "")).expect("JSON");
    let mut done = gannethub_core::model::TaskSet::default();
    for r in &ranges {
        done.insert(r.parse().expect("a number"));
    }
    record["done"] = json!(store::encode_done_part(&done, 0));
    record["spec"]["image"] = json!("i".repeat(128));
    let types: Vec<String> = (0..60).map(|i| format!("type-{i:02}")).collect();
    record["spec"]["types"] = json!([types, vec!["small".to_string()]].concat());
    record["spec"]["estimate"] = json!(1_000_000);
    assert!(record.to_string().len() > 2048);
    w.state.put("gh/live/j-000077", &record.to_string());
    w.submit(job(77, 2000, json!({})));
    w.state.limits = (2048, 4);
    w.run_until(60, "the part with the finished tasks is written", |w| {
        w.state.value("gh/part/j-000077/0").is_some()
    });
    assert_eq!(w.state.too_large, 0);
    let live = w.state.value("gh/live/j-000077").expect("the job is live");
    let part = w.state.value("gh/part/j-000077/0").expect("the job's part");
    let old: PreviousJobRecord =
        serde_json::from_value(live.clone()).expect("the previous release reads it");
    assert_eq!(old.done, "");
    let mut stored_done = gannethub_core::model::TaskSet::default();
    store::decode_done_part(part["done"].as_str().expect("text"), 0, &mut stored_done);
    assert!(
        ranges
            .iter()
            .all(|r| stored_done.contains(r.parse().expect("a number")))
    );
    assert!(
        stored_done.len() > 1000,
        "tasks that were done before and after the split are kept"
    );
}
