//! Every format that outlives a release, pinned as literal text or bytes: records and requests of the state service,
//! messages between controllers, requests and answers of workers, users and the cloud, and the settings files.
//!
//! Controllers of different releases share a cluster during an upgrade, and stored records outlive all of them, so a
//! renamed Rust field must not show on the wire. The literals were printed by the code before its names changed. When
//! Rust names change, edit those in this file and nothing else: a literal that has to change is an incompatible change.

use bytes::{Bytes, BytesMut};
use gannethub_core::configuration::{Document, ObjectiveEntry, OverLimit, TeamEntry};
use gannethub_core::controller::{Clock, Command, Controller, Effect};
use gannethub_core::http::{Answer, Method, Request, Response};
use gannethub_core::model::{
    JobId, JobSpec, MachineType, Priority, Resources, SECOND, Shape, TaskSet, Team, UNLIMITED,
};
use gannethub_core::policy::Policy;
use gannethub_core::settings::{LedgerSetup, Settings};
use gannethub_core::state::shard::{ChunkRecord, Shard, ShardMember};
use gannethub_core::wire::api::{self, JobStatus, JobView, Refusal, Route};
use gannethub_core::wire::cloud::{self, CloudRequest, MachineList, ProvisionAnswer};
use gannethub_core::wire::configuration::{self as stored, HistoryRecord, VersionRecord};
use gannethub_core::wire::peer::{self, Body, Envelope};
use gannethub_core::wire::store::{
    self, ChangeLog, Committed, Conflict, DonePartRecord, FinishedJobRecord, JobOwner, JobRecord,
    LeaseGranted, LeaseRecord, Listing, LiveRecord, MachineTransferRecord, QuotaPartitionRecord,
    StoreRequest, StoredValue, Transaction, WaitingRecord,
};
use gannethub_core::wire::worker::{
    CommandsRequest, ExitReason, HeartbeatRedirect, HeartbeatResponse, Order, TaskState,
    WorkerHeartbeat,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// What is written is the pinned text. For formats that are only written, and never read here.
fn pin(actual: &str, pinned: &str) {
    assert_eq!(actual, pinned);
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap()
}

/// A record is written as it is pinned, and comes back from the pinned text.
fn pin_record<T>(record: &T, pinned: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    pin(&json(record), pinned);
    let read: T = serde_json::from_str(pinned).unwrap();
    assert_eq!(&read, record);
    assert_eq!(json(&read), pinned);
}

/// A live job's record is written as it is pinned, and comes back from the pinned text.
fn pin_live(record: LiveRecord, pinned: &str) {
    let text = |record: &LiveRecord| match record {
        LiveRecord::Job(job) => job.to_value().get().to_string(),
        LiveRecord::Waiting(waiting) => json(waiting),
    };
    pin(&text(&record), pinned);
    let read = LiveRecord::parse(pinned).unwrap();
    assert_eq!(read, record);
    assert_eq!(text(&read), pinned);
}

fn spec() -> JobSpec {
    JobSpec {
        class: "train".into(),
        team: "blue".into(),
        shape: Shape::Gang,
        priority: Priority::High,
        tasks: 8,
        resources: Resources::new(4.0, 1.0, 64.0),
        image: "img-07".into(),
        image_size_gb: 6.2,
        machine_types: Some(vec!["g8".into()]),
        zone: Some("a".into()),
        single_zone: true,
        spread: false,
        spot: true,
        run_time_estimate: 240 * SECOND,
        checkpoint_interval: 30 * SECOND,
        save_time: 4 * SECOND,
        deadline: Some(900 * SECOND),
    }
}

fn job_record() -> JobRecord {
    JobRecord {
        spec: spec(),
        accepted_at: 1_700_000_000_000_001,
        ready_at: Some(1_700_000_000_000_002),
        done: "0-2,5".into(),
        cancelled: true,
        crash_looping: true,
        watermark: Some(6),
        shard: 0,
    }
}

// ---- Records in the state service ----

#[test]
fn store_keys() {
    let keys = [
        store::LEADER_KEY,
        store::TERM_KEY,
        store::LEADER_PREFIX,
        store::LIVE_JOB_PREFIX,
        store::DONE_PART_PREFIX,
        store::FINISHED_JOB_PREFIX,
        store::SHARD_PREFIX,
        store::TERM_COUNTER_KEY,
        store::SHARD_ASSIGNMENT_PREFIX,
        store::MACHINE_TRANSFER_PREFIX,
        store::QUOTA_PARTITION_PREFIX,
        store::LEDGER_HEAD_KEY,
        store::LEDGER_PAGE_PREFIX,
        stored::CURRENT_VERSION_KEY,
        stored::HISTORY_KEY,
    ];
    pin(
        &keys.join(" "),
        "gh/lead/holder gh/lead/term gh/lead/ gh/live/ gh/part/ gh/over/ gh/block/ gh/lead/count gh/seat/ gh/move/ gh/allot/ gh/ledger/head gh/ledger/page/ gh/live/configuration gh/config/history",
    );
    pin(&store::ledger_page_key(7), "gh/ledger/page/000000000007");
    let assignment_keys = |shard: u32| {
        let keys = store::assignment_keys(shard);
        json(&(keys.owner, keys.term))
    };
    pin(&assignment_keys(0), r#"["gh/lead/holder","gh/lead/term"]"#);
    pin(
        &assignment_keys(3),
        r#"["gh/seat/3/holder","gh/seat/3/term"]"#,
    );
    pin(
        &Shard::new(3, 7, "n0", 4096, 20).chunk_key(2),
        "gh/block/3/2",
    );
    let version = VersionRecord {
        id: "3-a".into(),
        ..VersionRecord::default()
    };
    pin(&version.parts_prefix(), "gh/config/doc/3-a/");
    pin(&version.part_key(4), "gh/config/doc/3-a/004");
}

#[test]
fn store_record_live_job() {
    pin_live(
        LiveRecord::Job(job_record()),
        r#"{"spec":{"class":"train","team":"blue","shape":"Gang","priority":"High","tasks":8,"need":{"cpu":4000,"gpu":1000,"mem":64000},"image":"img-07","image_gb":6.2,"types":["g8"],"zone":"a","one_zone":true,"spread":false,"spot":true,"estimate":240000000,"checkpoint_every":30000000,"save":4000000,"deadline":900000000},"at":1700000000000001,"ready":1700000000000002,"done":"0-2,5","cancelled":true,"failing":true,"open":6}"#,
    );
}

#[test]
fn store_record_live_job_as_accepted() {
    let mut spec = spec();
    (spec.machine_types, spec.zone, spec.deadline) = (None, None, None);
    (spec.shape, spec.priority) = (Shape::Array, Priority::Normal);
    pin_live(
        LiveRecord::Job(JobRecord::new(spec, 17)),
        r#"{"spec":{"class":"train","team":"blue","shape":"Array","priority":"Normal","tasks":8,"need":{"cpu":4000,"gpu":1000,"mem":64000},"image":"img-07","image_gb":6.2,"types":null,"zone":null,"one_zone":true,"spread":false,"spot":true,"estimate":240000000,"checkpoint_every":30000000,"save":4000000,"deadline":null},"at":17,"done":"","cancelled":false,"open":0}"#,
    );
}

#[test]
fn store_record_live_job_of_another_shard() {
    let mut record = job_record();
    record.shard = 3;
    pin_live(
        LiveRecord::Job(record),
        r#"{"spec":{"tasks":8},"at":1700000000000001,"done":"0-2,5","cancelled":true,"homed":{"block":3,"job":{"class":"train","team":"blue","shape":"Gang","priority":"High","tasks":8,"need":{"cpu":4000,"gpu":1000,"mem":64000},"image":"img-07","image_gb":6.2,"types":["g8"],"zone":"a","one_zone":true,"spread":false,"spot":true,"estimate":240000000,"checkpoint_every":30000000,"save":4000000,"deadline":900000000},"ready":1700000000000002,"failing":true,"open":6}}"#,
    );
    let mut record = JobRecord::new(spec(), 17);
    (record.spec.shape, record.spec.priority) = (Shape::Service, Priority::Production);
    (record.shard, record.watermark) = (3, None);
    pin_live(
        LiveRecord::Job(record),
        r#"{"spec":{"tasks":8},"at":17,"done":"","cancelled":false,"homed":{"block":3,"job":{"class":"train","team":"blue","shape":"Service","priority":"Production","tasks":8,"need":{"cpu":4000,"gpu":1000,"mem":64000},"image":"img-07","image_gb":6.2,"types":["g8"],"zone":"a","one_zone":true,"spread":false,"spot":true,"estimate":240000000,"checkpoint_every":30000000,"save":4000000,"deadline":900000000}}}"#,
    );
}

#[test]
fn store_record_live_job_waiting() {
    let mut spec = spec();
    spec.priority = Priority::Low;
    let upstream = ["j-000398", "j-000399", "j-7"].map(JobId::from);
    let record = WaitingRecord::new(spec, 17, true, &upstream);
    pin_live(
        LiveRecord::Waiting(record),
        r#"{"spec":{"tasks":8},"at":17,"cancelled":true,"waiting":{"job":{"class":"train","team":"blue","shape":"Gang","priority":"Low","tasks":8,"need":{"cpu":4000,"gpu":1000,"mem":64000},"image":"img-07","image_gb":6.2,"types":["g8"],"zone":"a","one_zone":true,"spread":false,"spot":true,"estimate":240000000,"checkpoint_every":30000000,"save":4000000,"deadline":900000000},"on":"1:7;6:398-399"}}"#,
    );
}

#[test]
fn store_record_job_ids() {
    let ids = ["j-000398", "j-000399", "j-7", "j-9"].map(JobId::from);
    pin(&store::encode_job_ids(&ids), "1:7,9;6:398-399");
    let read = store::decode_job_ids("1:7,9;6:398-399");
    pin(&store::encode_job_ids(&read), "1:7,9;6:398-399");
}

#[test]
fn store_record_finished_tasks() {
    let write_again = |text: &str, part: u32| {
        let mut read = TaskSet::default();
        store::decode_done_part(text, part, &mut read);
        store::encode_done_part(&read, part)
    };
    pin(&write_again("0-2,5", 0), "0-2,5");
    pin(&write_again("5000-5001", 1), "5000-5001");
    let bitmap = format!("x{}", "55".repeat(512));
    pin(&write_again(&bitmap, 0), &bitmap);
}

#[test]
fn store_record_part() {
    let done = "5000-5001".into();
    pin_record(&DonePartRecord { done }, r#"{"done":"5000-5001"}"#);
}

#[test]
fn store_record_over() {
    let mut record = FinishedJobRecord {
        cancelled: false,
        tasks: 8,
        owner: None,
    };
    pin_record(&record, r#"{"cancelled":false,"tasks":8}"#);
    record.cancelled = true;
    record.owner = Some(JobOwner {
        team: "blue".into(),
        class: "train".into(),
        resources: Resources::new(4.0, 1.0, 64.0),
        is_service: true,
    });
    pin_record(
        &record,
        r#"{"cancelled":true,"tasks":8,"owner":{"team":"blue","class":"train","need":{"cpu":4000,"gpu":1000,"mem":64000},"replica":true}}"#,
    );
}

#[test]
fn store_record_leader() {
    let mut record = LeaseRecord {
        owner: "n0".into(),
        term: 7,
        watermarks_reliable: false,
    };
    pin_record(&record, r#"{"holder":"n0","term":7}"#);
    record.watermarks_reliable = true;
    pin_record(&record, r#"{"holder":"n0","term":7,"marked":true}"#);
}

#[test]
fn store_record_shard_chunk() {
    let member = ShardMember {
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
    };
    let record = ChunkRecord {
        term: 7,
        owner: "n0".into(),
        machines: [("host-000231".to_string(), member)].into(),
    };
    pin_record(
        &record,
        r#"{"term":7,"holder":"n0","machines":{"host-000231":{"flavor":"g8","zone":"a","spot":true}}}"#,
    );
}

#[test]
fn store_record_machine_transfer() {
    let record = MachineTransferRecord {
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
    };
    pin_record(&record, r#"{"flavor":"g8","zone":"a","spot":true}"#);
}

#[test]
fn store_record_quota_partition() {
    let teams = [("blue".to_string(), Resources::new(4.0, 1.0, 0.5))].into();
    pin_record(
        &QuotaPartitionRecord { teams },
        r#"{"teams":{"blue":{"cpu":4000,"gpu":1000,"mem":500}}}"#,
    );
}

fn version() -> VersionRecord {
    VersionRecord {
        version: 3,
        id: "3-a".into(),
        parts: 2,
        created_at: 1_700_000_000_000_001,
        author: "operator".into(),
        reason: "more room".into(),
    }
}

#[test]
fn store_record_configuration_version() {
    pin_record(
        &version(),
        r#"{"version":3,"id":"3-a","parts":2,"at":1700000000000001,"by":"operator","why":"more room"}"#,
    );
}

#[test]
fn store_record_configuration_history() {
    let versions = vec![version(), VersionRecord::default()];
    pin_record(
        &HistoryRecord { versions },
        r#"{"versions":[{"version":3,"id":"3-a","parts":2,"at":1700000000000001,"by":"operator","why":"more room"},{"version":0,"id":"","parts":0,"at":0,"by":"","why":""}]}"#,
    );
}

fn document() -> Document {
    Document {
        teams: vec![
            TeamEntry {
                name: "red".into(),
                cpus: 1.0,
                cpus_max: 2.0,
                gpus: 3.0,
                gpus_max: 4.0,
                removed: true,
            },
            TeamEntry {
                name: "blue".into(),
                ..TeamEntry::default()
            },
        ],
        objectives: Some(vec![
            ObjectiveEntry {
                kind: "start".into(),
                class: Some("train".into()),
                within_s: 5.0,
                share: 0.95,
                times: 2.0,
            },
            ObjectiveEntry {
                kind: "answer".into(),
                class: None,
                within_s: 0.5,
                share: 0.99,
                times: 1.0,
            },
        ]),
        policy: Some("patience_s = 7".into()),
        over_limit: OverLimit::Stop,
    }
}

#[test]
fn store_record_configuration_document() {
    pin_record(
        &document(),
        r#"{"teams":[{"name":"red","cpus":1.0,"cpus_max":2.0,"gpus":3.0,"gpus_max":4.0,"removed":true},{"name":"blue","cpus":0.0,"cpus_max":0.0}],"objectives":[{"kind":"start","class":"train","within_s":5.0,"share":0.95,"times":2.0},{"kind":"answer","within_s":0.5,"share":0.99,"times":1.0}],"policy":"patience_s = 7","over_limit":"stop"}"#,
    );
    pin_record(&Document::default(), "{}");
}

#[test]
fn store_record_configuration_document_parts() {
    let parts = stored::split_document(&document(), 4096).unwrap();
    pin(
        &json(&parts),
        r#"[{"policy":"patience_s = 7","over_limit":"stop"},{"objectives":[{"kind":"start","class":"train","within_s":5.0,"share":0.95,"times":2.0},{"kind":"answer","within_s":0.5,"share":0.99,"times":1.0}]},{"teams":[{"name":"red","cpus":1.0,"cpus_max":2.0,"gpus":3.0,"gpus_max":4.0,"removed":true},{"name":"blue","cpus":0.0,"cpus_max":0.0}]}]"#,
    );
}

// ---- Requests to the state service, and its answers ----

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
fn store_request_follow() {
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
    let over = FinishedJobRecord {
        cancelled: true,
        tasks: 8,
        owner: None,
    };
    let mut commit = Transaction::default();
    commit.guard(store::LEADER_KEY, 0);
    commit.guard(store::TERM_KEY, 41);
    commit.put(store::LEADER_KEY, store::to_raw_value(&record), Some(12));
    commit.put(store::TERM_KEY, store::to_raw_value(&record), None);
    commit.delete("gh/part/j-7/1");
    commit.end_job("j-7", &over);
    pin(
        &request(&commit.to_request()),
        r#"POST /commit {"guards":[{"k":"gh/lead/holder","stamp":0},{"k":"gh/lead/term","stamp":41},{"k":"gh/over/j-7","stamp":0}],"writes":[{"write":"gh/lead/holder","v":{"holder":"n0","term":7,"marked":true},"permit":12},{"write":"gh/lead/term","v":{"holder":"n0","term":7,"marked":true}},{"delete":"gh/part/j-7/1"},{"delete":"gh/live/j-7"},{"write":"gh/over/j-7","v":{"cancelled":true,"tasks":8}}]} 2000000 5"#,
    );
    pin(
        &request(&Transaction::default().to_request()),
        r#"POST /commit {"guards":[],"writes":[]} 2000000 0"#,
    );
}

#[test]
fn store_answer_item() {
    let text = r#"{"k":"gh/lead/term","v":{"holder":"n0","term":7},"stamp":41,"extra":1}"#;
    let item: StoredValue = serde_json::from_str(text).unwrap();
    let record: LeaseRecord = item.decode().unwrap();
    assert_eq!((&*item.key, item.version), ("gh/lead/term", 41));
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
fn store_answer_granted() {
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
        version: ledger_no,
    } = listing;
    assert_eq!((truncated, ledger_no), (true, 42));
    assert_eq!(
        (&*items[0].key, items[0].value.get(), items[0].version),
        ("a", "1", 2)
    );
    let listing: Listing = serde_json::from_str(r#"{"items":[],"ledger_no":42}"#).unwrap();
    assert!(!listing.truncated);
}

#[test]
fn store_answer_followed() {
    let text =
        r#"{"ledger_no":44,"log":[{"delete":"b","stamp":44},{"write":"a","v":1,"stamp":43}]}"#;
    let followed: ChangeLog = serde_json::from_str(text).unwrap();
    assert_eq!(followed.version, 44);
    let [write, delete] = &followed.changes[..] else {
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
    let followed: ChangeLog = serde_json::from_str(r#"{"ledger_no":44}"#).unwrap();
    assert!(followed.changes.is_empty());
}

// ---- Messages between controllers ----

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = |i: usize| u8::from_str_radix(&text[i..i + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(digits).collect()
}

/// A message is framed as the pinned bytes, and comes back from them.
fn pin_message(body: Body, pinned: &str) {
    let message = Envelope {
        from: "n0".into(),
        body: Some(body),
    };
    let encode = |message: &Envelope| {
        let mut frame = BytesMut::new();
        peer::encode_frame(message, &mut frame);
        hex(&frame)
    };
    pin(&encode(&message), pinned);
    let read = peer::decode_frame(&mut BytesMut::from(&unhex(pinned)[..]));
    let read = read.unwrap().unwrap();
    assert_eq!(read, message);
    assert_eq!(encode(&read), pinned);
}

#[test]
fn peer_frame() {
    let message = Envelope {
        from: "n0".into(),
        body: None,
    };
    let mut frame = BytesMut::new();
    peer::encode_frame(&message, &mut frame);
    pin(&hex(&frame), "000000040a026e30");
    assert_eq!(peer::decode_frame(&mut frame).unwrap(), Some(message));
    assert_eq!(peer::MAX_FRAME_BYTES, 262_144);
}

fn offer() -> peer::OfferAmount {
    peer::OfferAmount {
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        amount: 301,
    }
}

#[test]
fn peer_message_heartbeat() {
    let heartbeat = peer::Heartbeat {
        leading_term: 7,
        store_reachable: true,
        accepts_heartbeats: true,
        running_jobs: vec![peer::RunningJob {
            job: "j-7".into(),
            tasks: 302,
            done: 303,
        }],
        shards: vec![peer::ShardStatus {
            shard: 3,
            term: 304,
            backlog_cpu: 305,
            waiting_cpu: 306,
            free_cpu: 307,
            teams: vec![peer::TeamStatus {
                used_cpu: 308,
                used_gpu: 309,
                waiting_cpu: 310,
                waiting_gpu: -311,
            }],
            machine_demand: vec![offer()],
        }],
        refused_offers: vec![offer()],
        supports_configuration: true,
        configuration_version: 312,
        newest_configuration_version: 313,
    };
    pin_message(
        Body::Heartbeat(heartbeat),
        "000000630a026e30125d080710011801220b0a036a2d3710ae0218af022a32080310b00218b10220b20228b302321408b40210b50218b60220c9fdffffffffffffff013a0c0a026738120161180120ad02320c0a026738120161180120ad02380140b80248b902",
    );
}

#[test]
fn peer_message_relay() {
    let relay = peer::RelayHeartbeat {
        id: 301,
        heartbeat: Bytes::from_static(b"{\"host\":\"m\"}"),
    };
    pin_message(
        Body::RelayHeartbeat(relay),
        "000000170a026e301a1108ad02120c7b22686f7374223a226d227d",
    );
}

#[test]
fn peer_message_relayed() {
    let relayed = peer::RelayAnswer {
        id: 301,
        status: 421,
        body: Bytes::from_static(b"{}"),
    };
    pin_message(
        Body::RelayAnswer(relayed),
        "000000100a026e30220a08ad0210a5031a027b7d",
    );
}

#[test]
fn peer_message_vote_request() {
    let ask = peer::VoteRequest {
        round: 301,
        term: 302,
        duration: 303,
        shard: 304,
        known_version: 305,
    };
    pin_message(
        Body::VoteRequest(ask),
        "000000150a026e302a0f08ad0210ae0218af0220b00228b102",
    );
}

#[test]
fn peer_message_vote() {
    let promise = peer::Vote {
        round: 301,
        term: 302,
        shard: 303,
        knows_cancellations: true,
        cancelled_jobs: "1:7".into(),
        cancelled_count: 1,
        configuration_version: 304,
    };
    pin_message(
        Body::Vote(promise),
        "0000001b0a026e30321508ad0210ae0218af0220012a03313a37300138b002",
    );
}

#[test]
fn peer_message_job_changed() {
    let changed = peer::JobChanged {
        job: "j-7".into(),
        version: 301,
    };
    pin_message(
        Body::JobChanged(changed),
        "0000000e0a026e303a080a036a2d3710ad02",
    );
}

fn usage_key() -> peer::AttemptKey {
    peer::AttemptKey {
        machine: "host-000231".into(),
        job: "j-7".into(),
        task: 301,
        attempt: 302,
    }
}

#[test]
fn peer_message_open_usage() {
    let tab = peer::OpenUsageRecord {
        key: Some(usage_key()),
        owner: Some(peer::UsageOwner {
            team: "blue".into(),
            class: "train".into(),
            cpu: 303,
            gpu: 304,
            mem: 305,
            is_service: true,
        }),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        price: 306,
        incarnation: 307,
        stage: 308,
        stage_age: 309,
        stage_times: vec![310, 0, 311],
        begin_uncertainty: 312,
        begin_estimated: true,
        saved: true,
        end_reason: 313,
        end_age: 314,
        time_uncertainty: 315,
    };
    let tabs = peer::UsageRecords {
        term: 7,
        sequence: 316,
        is_first: true,
        is_last: true,
        open_records: vec![tab],
        closed_keys: vec![usage_key()],
        sent_at: 317,
    };
    pin_message(
        Body::UsageRecords(tabs),
        "000000900a026e30428901080710bc02180120012a610a180a0b686f73742d30303032333112036a2d3718ad0220ae0212180a04626c75651205747261696e18af0220b00228b10230011a026738220161280130b20238b30240b40248b5025205b60200b70258b8026001680170b90278ba028001bb0232180a0b686f73742d30303032333112036a2d3718ad0220ae0238bd02",
    );
}

#[test]
fn peer_message_open_usage_request() {
    pin_message(
        Body::UsageRecordsRequest(peer::UsageRecordsRequest { term: 301 }),
        "000000090a026e304a0308ad02",
    );
}

#[test]
fn peer_message_launch_watermarks() {
    let marks = peer::WatermarkCheck {
        term: 301,
        incarnation: 302,
        shard: 303,
    };
    pin_message(
        Body::WatermarkQuery(marks.clone()),
        "0000000f0a026e30520908ad0210ae0218af02",
    );
    pin_message(
        Body::WatermarkConfirmation(marks),
        "0000000f0a026e305a0908ad0210ae0218af02",
    );
}

// ---- Workers ----

#[test]
fn worker_report() {
    let text = r#"{"host":"host-000231","addr":"10.1.0.7:9000","rig":"g8","yard":"a","loaners":true,"shift":17,
        "tally":18,"baton":7,"warning_s":12.5,"new":1,"pieces":[
        {"piece":"j-7/0","try_no":1,"status":"fetching"},
        {"piece":"j-7/1","try_no":2,"status":"gathering"},
        {"piece":"j-7/2","try_no":3,"status":"running"},
        {"piece":"j-7/3","try_no":4,"status":"saving"},
        {"piece":"j-7/4","try_no":5,"status":"ended","cause":"stopped","kept":true}]}"#;
    let report: WorkerHeartbeat<'_> = serde_json::from_str(text).unwrap();
    let WorkerHeartbeat {
        machine,
        address: addr,
        machine_type: flavor,
        zone,
        spot,
        incarnation: session,
        sequence: seq,
        token,
        preemption_notice_s: notice_s,
        tasks,
    } = report;
    assert_eq!((&*machine, &*addr), ("host-000231", "10.1.0.7:9000"));
    assert_eq!((&*flavor, &*zone, spot), ("g8", "a", true));
    assert_eq!((session, seq, token, notice_s), (17, 18, 7, Some(12.5)));
    let states = [
        TaskState::Fetching,
        TaskState::Waiting,
        TaskState::Running,
        TaskState::Saving,
        TaskState::Exited,
    ];
    for (i, (task, state)) in tasks.iter().zip(states).enumerate() {
        assert_eq!(task.task, format!("j-7/{i}"));
        assert_eq!((task.attempt, task.state), (i as u64 + 1, state));
    }
    assert_eq!((tasks[0].exit_reason, tasks[0].saved), (None, false));
    assert_eq!(
        (tasks[4].exit_reason, tasks[4].saved),
        (Some(ExitReason::Stopped), true)
    );
    assert_eq!(tasks.len(), 5);
}

#[test]
fn worker_report_without_optional_fields() {
    let text = r#"{"host":"m","rig":"g8","yard":"a","shift":17,"tally":18}"#;
    let report: WorkerHeartbeat<'_> = serde_json::from_str(text).unwrap();
    assert_eq!(
        (&*report.address, report.spot, report.token),
        ("", false, 0)
    );
    assert_eq!((report.preemption_notice_s, report.tasks.len()), (None, 0));
}

#[test]
fn worker_exit_reasons() {
    let reasons = [
        ("done", ExitReason::Done),
        ("stopped", ExitReason::Stopped),
        ("mates_gone", ExitReason::PeersGone),
        ("alone", ExitReason::Alone),
        ("error", ExitReason::Error),
        ("full", ExitReason::InsufficientResources),
        ("in_use", ExitReason::OtherAttemptPresent),
        ("no_such", ExitReason::UnknownTask),
        ("of a later release", ExitReason::Other),
    ];
    for (text, reason) in reasons {
        let read: ExitReason = serde_json::from_str(&format!("{text:?}")).unwrap();
        assert_eq!(read, reason);
    }
}

fn orders() -> [Order; 3] {
    let task = || "j-7/0".to_string();
    [
        Order::Start {
            task: task(),
            attempt: 301,
        },
        Order::Stop {
            task: task(),
            attempt: 302,
            grace_s: 2.5,
        },
        Order::Forget {
            task: task(),
            attempt: 303,
        },
    ]
}

#[test]
fn worker_answer() {
    let answer = HeartbeatResponse {
        token: 7,
        orders: &orders(),
    };
    pin(
        &json(&answer),
        r#"{"baton":7,"orders":[{"verb":"launch","piece":"j-7/0","try_no":301},{"verb":"halt","piece":"j-7/0","try_no":302,"wind_down_s":2.5},{"verb":"forget","piece":"j-7/0","try_no":303}]}"#,
    );
}

#[test]
fn worker_commands() {
    let commands = CommandsRequest {
        token: 7,
        incarnation: 17,
        orders: &orders(),
    };
    pin(
        &json(&commands),
        r#"{"baton":7,"shift":17,"orders":[{"verb":"launch","piece":"j-7/0","try_no":301},{"verb":"halt","piece":"j-7/0","try_no":302,"wind_down_s":2.5},{"verb":"forget","piece":"j-7/0","try_no":303}]}"#,
    );
}

#[test]
fn worker_answer_elsewhere() {
    let report_to = Some("n1");
    pin(
        &json(&HeartbeatRedirect {
            controller: report_to,
        }),
        r#"{"foreman":"n1"}"#,
    );
    pin(&json(&HeartbeatRedirect { controller: None }), "{}");
}

// ---- The cloud ----

fn cloud_request(request: &CloudRequest) -> String {
    let CloudRequest { method, path, body } = request;
    let body = std::str::from_utf8(body).unwrap();
    format!("{} {path} {body}", method.as_str())
}

#[test]
fn cloud_requests() {
    pin(
        &cloud_request(&CloudRequest::machine_types()),
        "GET /flavors ",
    );
    pin(
        &cloud_request(&CloudRequest::list("")),
        "GET /rentals?page=500 ",
    );
    pin(
        &cloud_request(&CloudRequest::list("host-000231")),
        "GET /rentals?from=host-000231&page=500 ",
    );
    let rent = CloudRequest::provision("n0-7-1", "g8", "a", true, 4);
    pin(
        &cloud_request(&rent),
        r#"POST /rentals {"hire":"n0-7-1","rig":"g8","yard":"a","loaners":true,"how_many":4}"#,
    );
    let machines = ["host-000231".to_string(), "host-000232".to_string()];
    pin(
        &cloud_request(&CloudRequest::delete(&machines)),
        r#"POST /rentals/delete {"hosts":["host-000231","host-000232"]}"#,
    );
}

#[test]
fn cloud_answer_machine_types() {
    let text = br#"{"rigs":[{"label":"g8","vcpus":96.0,"cards":8.0,"mem_gb":768.0,"fetch_gb_per_s":2.0,"price":30.0,
        "spot_price":9.0,"boot_s":45.0,"yards":["a","b"]},{"label":"s","vcpus":4.0,"mem_gb":16.0,"price":0.2}]}"#;
    let large = MachineType {
        name: "g8".into(),
        size: Resources::new(96.0, 8.0, 768.0),
        price: 30.0,
        spot_price: 9.0,
        boot_time: 45 * SECOND,
        fetch_gb_per_s: 2.0,
        zones: vec!["a".into(), "b".into()],
    };
    let small = MachineType {
        name: "s".into(),
        size: Resources::new(4.0, 0.0, 16.0),
        price: 0.2,
        spot_price: 0.2,
        boot_time: 0,
        fetch_gb_per_s: 1.0,
        zones: Vec::new(),
    };
    assert_eq!(cloud::parse_machine_types(text), Some(vec![large, small]));
    assert_eq!(cloud::parse_machine_types(br#"{"rigs":[]}"#), None);
}

#[test]
fn cloud_answer_rented() {
    let rented: ProvisionAnswer = serde_json::from_str(r#"{"hosts":["host-000231"]}"#).unwrap();
    assert_eq!(rented.machines, ["host-000231"]);
}

#[test]
fn cloud_answer_list() {
    let text = r#"{"hosts":[{"id":"host-000231","rig":"g8","yard":"a","loaners":true,"status":"ready",
        "held_s":12.5},{"id":"host-000232","rig":"s","yard":"b"}],"truncated":true}"#;
    let list: MachineList = serde_json::from_str(text).unwrap();
    let [first, second] = &list.machines[..] else {
        panic!("two machines");
    };
    assert!(list.truncated);
    assert_eq!((&*first.id, &*first.machine_type), ("host-000231", "g8"));
    assert_eq!((&*first.zone, first.spot), ("a", true));
    assert_eq!((&*first.status, first.age_s), ("ready", 12.5));
    assert_eq!(
        (second.spot, &*second.status, second.age_s),
        (false, "", 0.0)
    );
}

// ---- Users ----

const SUBMISSION: &str = r#"{"id":"j-000412","jobclass":"train","crew":"blue","shape":"group","rank":"urgent",
    "pieces":8,"vcpus":4.0,"cards":1.0,"mem_gb":64.0,"build":"img-07","size_gb":6.2,"rigs":["g8"],"yard":"a",
    "together":true,"scatter":false,"loaners":true,"guess_s":240.0,"stamp_every_s":30.0,"stamp_s":4.0,
    "due_s":900.0,"waits_on":["j-000398"]}"#;

fn submission(text: &str) -> Result<api::Submission, Refusal> {
    let (object, _) = api::parse_json_object(text.as_bytes())?;
    api::parse_submission(&object)
}

#[test]
fn user_submission() {
    let read = submission(SUBMISSION).unwrap();
    assert_eq!(read.spec, spec());
    assert_eq!(read.waits_on, ["j-000398".into()]);
    let shapes = [
        ("array", Shape::Array),
        ("group", Shape::Gang),
        ("service", Shape::Service),
    ];
    for (name, shape) in shapes {
        let text = SUBMISSION.replace("\"group\"", &format!("{name:?}"));
        assert_eq!(submission(&text).unwrap().spec.shape, shape);
    }
    let priorities = [
        ("production", Priority::Production),
        ("urgent", Priority::High),
        ("normal", Priority::Normal),
        ("low", Priority::Low),
    ];
    for (name, priority) in priorities {
        let text = SUBMISSION.replace("\"urgent\"", &format!("{name:?}"));
        assert_eq!(submission(&text).unwrap().spec.priority, priority);
    }
}

fn response(response: &Response) -> String {
    let Response {
        status,
        body,
        retry_after,
    } = response;
    let body = std::str::from_utf8(body).unwrap();
    format!("{status} {body} {retry_after:?}")
}

const MACHINE_TYPES: &[u8] =
    br#"{"rigs":[{"label":"g8","vcpus":96.0,"cards":8.0,"mem_gb":768.0,"price":30.0,"yards":["a"]}]}"#;

#[test]
fn user_refusals() {
    let malformed = submission(&SUBMISSION.replace("\"pieces\":8", "\"pieces\":0"));
    pin(
        &malformed.unwrap_err().to_string(),
        "pieces: a whole number from 1 to 100000",
    );
    let team = Team {
        name: "blue".into(),
        guarantee: Resources::default(),
        limit: Resources::new(1.0, 1.0, 0.0),
        closed: false,
    };
    let unlimited = Team {
        limit: Resources {
            cpu: UNLIMITED,
            gpu: UNLIMITED,
            memory: 0,
        },
        ..team.clone()
    };
    let types = cloud::parse_machine_types(MACHINE_TYPES).unwrap();
    let admit = |teams: &[Team], types: &[MachineType]| api::admit(&mut spec(), teams, types);
    pin(
        &admit(&[team], &types).unwrap_err().to_string(),
        "vcpus: a task needs more than its team's limit",
    );
    pin(
        &admit(&[], &types).unwrap_err().to_string(),
        "crew: no such team",
    );
    let not_yet = admit(std::slice::from_ref(&unlimited), &[]);
    pin(
        &not_yet.unwrap_err().to_string(),
        "the machine types are not known yet",
    );
    pin(
        &Refusal::ConfigurationChanging.to_string(),
        "the configuration is changing",
    );
    assert_eq!(admit(&[unlimited], &types), Ok(()));
    pin(
        &response(&Response::error(422, "why").with_retry_after(2)),
        r#"422 {"error":"why"} Some(2)"#,
    );
}

#[test]
fn user_job_view() {
    let mut view = JobView {
        status: JobStatus::Pending,
        done: 1,
        running: 2,
        waits_on: vec!["j-000398".into()],
    };
    pin(
        &response(&api::job_response(201, "j-000412", &view)),
        r#"201 {"id":"j-000412","status":"pending","done":1,"running":2,"waits_on":["j-000398"]} None"#,
    );
    view.waits_on.clear();
    let statuses = [
        (
            JobStatus::Pending,
            r#"200 {"id":"j-000412","status":"pending","done":1,"running":2} None"#,
        ),
        (
            JobStatus::Running,
            r#"200 {"id":"j-000412","status":"running","done":1,"running":2} None"#,
        ),
        (
            JobStatus::Done,
            r#"200 {"id":"j-000412","status":"done","done":1,"running":2} None"#,
        ),
        (
            JobStatus::Cancelled,
            r#"200 {"id":"j-000412","status":"cancelled","done":1,"running":2} None"#,
        ),
    ];
    for (status, pinned) in statuses {
        view.status = status;
        pin(
            &response(&api::job_response(200, "j-000412", &view)),
            pinned,
        );
    }
}

#[test]
fn user_routes() {
    use Method::{Get, Post};
    let routes = [
        (Get, "/healthz", Route::Health),
        (Get, "/api/config", Route::Configuration),
        (Post, "/v1/report", Route::Heartbeat),
        (Post, "/api/jobs", Route::Submit),
        (Get, "/api/jobs/j-7", Route::Query("j-7")),
        (Post, "/api/jobs/j-7/cancel", Route::Cancel("j-7")),
    ];
    for (method, path, route) in routes {
        assert_eq!(api::route(method, path), Ok(route));
    }
    let (page, team) = (None, None);
    assert_eq!(
        api::route(Get, "/api/ledger"),
        Ok(Route::Ledger { page, team })
    );
    let (page, team) = (Some(7), Some("blue"));
    let route = api::route(Get, "/api/ledger?page=7&team=blue");
    assert_eq!(route, Ok(Route::Ledger { page, team }));
    let methods = ["GET", "POST", "DELETE", "OPTIONS"];
    assert_eq!(methods.map(|name| Method::parse(name).as_str()), methods);
}

const SETTINGS: &str = r#"
host_name = "n0"
area = "a"
bind = "10.0.0.1:8080"
cluster_listen = "10.0.0.1:8081"
[[siblings]]
host_name = "n1"
area = "b"
peer_addr = "10.0.0.2:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
zones = ["a", "b"]
[[cluster.teams]]
name = "blue"
cpus = 4.0
cpus_max = 12.0
gpus = 2.0
gpus_max = 8.0
[[cluster.objectives]]
kind = "start"
class = "train"
within_s = 5.0
share = 0.95
times = 2.0
[cluster.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 50.0
gang_peer_s = 4.0
cancel_s = 35.0
[cluster.state]
rps = 90.0
write_rps = 30.0
value_kb = 8.0
txn_ops = 12.0
[cluster.state.next]
rps = 80.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 10.0
[cluster.cloud]
rps = 4.0
list_lag_s = 6.0
[cluster.quota]
max_connections = 500.0
cores = 0.5
memory_mb = 256.0
"#;

const LEDGER_SETTINGS: &str = "keys = \"keys.txt\"\nhalf_life_s = 600.0\n";

fn controller() -> Controller {
    let (mut settings, _) = Settings::parse(SETTINGS, "platform.toml").unwrap();
    let dues = settings.dues();
    let ledger = gannethub_ledger::Settings::parse(LEDGER_SETTINGS, "ledger.toml", &dues).unwrap();
    let keys = gannethub_ledger::KeyRing::write("k", &[3; 32]);
    settings.ledger = Some(LedgerSetup {
        settings: ledger.into(),
        keys: gannethub_ledger::KeyRing::parse(&keys).unwrap().into(),
    });
    Controller::new(settings.into(), CLOCK)
}

const CLOCK: Clock = Clock {
    now: SECOND,
    unix_time: 1_700_000_000_000_000,
};

/// What a controller answers to a request, once the state service has given the answer to every request of its own.
fn asked(controller: &mut Controller, method: Method, path: &str, stored: (u16, &str)) -> String {
    let ask = Command::HttpRequest {
        connection: 5,
        request: Request {
            method,
            path: path.into(),
            body: Bytes::from_static(b"{\"host\":\"m\"}"),
            closes_connection: false,
        },
    };
    let mut commands = vec![ask];
    while !commands.is_empty() {
        let effects = controller.step(CLOCK, std::mem::take(&mut commands));
        for effect in effects {
            match effect {
                Effect::Reply {
                    connection: 5,
                    response: answer,
                } => return response(&answer),
                Effect::StoreRequest { id, .. } => {
                    let answer = Ok(Answer::new(stored.0, stored.1.to_string()));
                    commands.push(Command::StoreAnswer { id, answer });
                }
                _ => {}
            }
        }
    }
    panic!("{path} has no answer");
}

#[test]
fn user_answer_health() {
    let mut controller = controller();
    let unhealthy = asked(&mut controller, Method::Get, "/healthz", (503, "{}"));
    pin(
        &unhealthy,
        r#"503 {"error":"not ready to take requests"} None"#,
    );
}

#[test]
fn user_answer_health_of_a_ready_controller() {
    let mut controller = controller();
    let heartbeat = peer::Heartbeat {
        leading_term: 7,
        store_reachable: true,
        accepts_heartbeats: true,
        ..peer::Heartbeat::default()
    };
    hear(&mut controller, heartbeat);
    let healthy = asked(&mut controller, Method::Get, "/healthz", (200, "{}"));
    pin(&healthy, "200 {} None");
}

/// A heartbeat of the other controller arrives, and the state service and the cloud answer every request.
fn hear(controller: &mut Controller, heartbeat: peer::Heartbeat) {
    let message = Envelope {
        from: "n1".into(),
        body: Some(Body::Heartbeat(heartbeat)),
    };
    let effects = controller.step(CLOCK, [Command::PeerMessage(message)]);
    let stored = Bytes::from_static(br#"{"items":[],"ledger_no":1}"#);
    let types = Bytes::from_static(MACHINE_TYPES);
    let answers = effects.into_iter().filter_map(|effect| match effect {
        Effect::StoreRequest { id, .. } => Some(Command::StoreAnswer {
            id,
            answer: Ok(Answer::new(200, stored.clone())),
        }),
        Effect::CloudRequest { id, .. } => Some(Command::CloudAnswer {
            id,
            answer: Ok(Answer::new(200, types.clone())),
        }),
        _ => None,
    });
    controller.step(CLOCK, answers.collect::<Vec<_>>());
}

#[test]
fn user_answer_configuration() {
    let mut controller = controller();
    let answer = asked(&mut controller, Method::Get, "/api/config", (503, "{}"));
    pin(
        &answer,
        r#"200 {"version":0,"newest":0,"refused":null,"fresh":false,"known_ms_ago":null,"nodes":[{"name":"n0","heard":true,"version":0},{"name":"n1","heard":false,"version":null}]} None"#,
    );
    let heartbeat = peer::Heartbeat {
        supports_configuration: true,
        configuration_version: 3,
        ..peer::Heartbeat::default()
    };
    hear(&mut controller, heartbeat);
    let answer = asked(&mut controller, Method::Get, "/api/config", (503, "{}"));
    pin(
        &answer,
        r#"200 {"version":0,"newest":0,"refused":null,"fresh":false,"known_ms_ago":null,"nodes":[{"name":"n0","heard":true,"version":0},{"name":"n1","heard":true,"version":3}]} None"#,
    );
}

#[test]
fn user_answer_ledger() {
    let head = r#"{"k":"gh/ledger/head","v":{"newest":7,"from":0,"kept":0,"marks":[]},"stamp":41}"#;
    let answer = asked(&mut controller(), Method::Get, "/api/ledger", (200, head));
    pin(
        &answer,
        r#"200 {"newest":7,"from":0,"kept":0,"marks":[]} None"#,
    );
    let page = r#"{"k":"gh/ledger/page/000000000007","v":{"page":7,"first":3,"prev":"","key":"k","lines":[[3,"took",4],
        [4,"charge",["blue"]],[5,"charge",["red"]]]},"stamp":41}"#;
    let path = "/api/ledger?page=7&team=blue";
    let answer = asked(&mut controller(), Method::Get, path, (200, page));
    pin(
        &answer,
        r#"200 {"page":7,"first":3,"prev":"","key":"k","lines":[[4,"charge",["blue"]]]} None"#,
    );
    let path = "/api/ledger?page=8";
    let answer = asked(&mut controller(), Method::Get, path, (404, "{}"));
    pin(
        &answer,
        r#"404 {"error":"page: there is no such page"} None"#,
    );
}

#[test]
fn worker_answer_of_a_controller_without_a_leader() {
    let answer = asked(&mut controller(), Method::Post, "/v1/report", (503, "{}"));
    pin(&answer, "421 {} None");
}

// ---- Settings ----

#[test]
fn settings_file() {
    let (settings, warnings) = Settings::parse(SETTINGS, "platform.toml").unwrap();
    assert!(warnings.is_empty(), "{warnings:?}");
    assert_eq!((&*settings.name, &*settings.zone), ("n0", "a"));
    assert_eq!(settings.listen.to_string(), "10.0.0.1:8080");
    assert_eq!(settings.cluster_listen.to_string(), "10.0.0.1:8081");
    let sibling = &settings.siblings[0];
    assert_eq!((&*sibling.name, &*sibling.zone), ("n1", "b"));
    assert_eq!(sibling.addr.to_string(), "10.0.0.2:8081");
    assert_eq!(settings.cloud.to_string(), "10.2.0.2:8443");
    assert_eq!(settings.state.to_string(), "10.2.0.1:2379");
    assert_eq!(settings.zones, ["a", "b"]);
    let team = Team {
        name: "blue".into(),
        guarantee: Resources::new(4.0, 2.0, 0.0),
        limit: Resources::new(12.0, 8.0, 0.0),
        closed: false,
    };
    assert_eq!(settings.teams, [team]);
    let objective = &settings.objectives[0];
    assert_eq!(
        (&*objective.kind, objective.class.as_deref()),
        ("start", Some("train"))
    );
    assert_eq!(
        (objective.within, objective.share, objective.times),
        (5 * SECOND, 0.95, 2.0)
    );
    assert_eq!((settings.report, settings.lease), (SECOND, 10 * SECOND));
    assert_eq!(
        (settings.gang_wait, settings.gang_peer),
        (50 * SECOND, 4 * SECOND)
    );
    assert_eq!(settings.cancel, 35 * SECOND);
    assert_eq!(
        (settings.state_rates.requests, settings.state_rates.changes),
        (90.0, 30.0)
    );
    let next = settings.state_rates_next;
    assert_eq!((next.requests, next.changes), (80.0, 20.0));
    assert_eq!((settings.value_bytes, settings.txn_ops), (4096, 10));
    assert_eq!((settings.cloud_rps, settings.list_lag), (4.0, 6 * SECOND));
    assert_eq!((settings.max_connections, settings.cores), (500, Some(0.5)));
    assert_eq!(settings.memory, 256 << 20);
}

#[test]
fn settings_file_without_optional_sections() {
    let text = "host_name = \"n0\"\nbind = \"10.0.0.1:8080\"\ncluster_listen = \"10.0.0.1:8081\"\n\
        [outside]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n";
    let (settings, _) = Settings::parse(text, "platform.toml").unwrap();
    assert_eq!((settings.report, settings.lease), (2 * SECOND, 15 * SECOND));
    assert_eq!(
        (settings.gang_wait, settings.gang_peer),
        (60 * SECOND, 5 * SECOND)
    );
    assert_eq!(settings.cancel, 40 * SECOND);
    assert_eq!(
        (settings.state_rates.requests, settings.state_rates.changes),
        (100.0, 40.0)
    );
    assert_eq!((settings.value_bytes, settings.txn_ops), (16_384, 16));
    assert_eq!((settings.cloud_rps, settings.list_lag), (3.0, 5 * SECOND));
    assert_eq!((settings.max_connections, settings.cores), (1000, None));
    assert_eq!(settings.memory, 512 << 20);
}

#[test]
fn policy_names() {
    let text = r#"
        queue_weight = if job.class == "a" and job.team == "b" and job.priority == "low" and job.late
            and job.in_guarantee then job.tasks + job.done + job.cpus + job.age_s + job.slack_s + job.work_s
            + job.run_s + job.share + job.over_share else 0
        plan_slack = 0.5
        patience_s = 7
        use_spot = true
        idle_s = if machine.type == "a" and machine.zone == "b" and machine.spot then machine.cpus
            + machine.price + machine.boot_s + machine.urgent_ago_s + machine.spares else 0
        grant_s = 4
        block_chunk = 20
        decide_steps = 1000
        queue_share = 1
        blocks = 2
        halts_per_s = 3"#;
    Policy::default().overlaid(text).unwrap();
    pin(
        &Policy::named(text).join(" "),
        "queue_weight plan_slack patience_s use_spot idle_s grant_s block_chunk decide_steps queue_share blocks halts_per_s",
    );
}
