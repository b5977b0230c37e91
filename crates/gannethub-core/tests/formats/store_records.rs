//! Keys and records in the state service.

use gannethub_core::configuration::{Document, ObjectiveEntry, OverLimit, TeamEntry};
use gannethub_core::model::{JobId, Priority, Resources, Shape, TaskSet};
use gannethub_core::state::shard::{ChunkRecord, Shard, ShardMember};
use gannethub_core::wire::configuration::{self as stored, HistoryRecord, VersionRecord};
use gannethub_core::wire::store::{
    self, DonePartRecord, FinishedJobRecord, JobAccount, JobRecord, LeaseRecord, LiveRecord,
    MachineTransferRecord, QuotaPartitionRecord, WaitingRecord,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{json, pin, spec};

/// Asserts that a record is written as the pinned text and is read from this text again.
fn pin_record<T>(record: &T, pinned: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    pin(&json(record), pinned);
    let read: T = serde_json::from_str(pinned).unwrap();
    assert_eq!(&read, record);
    assert_eq!(json(&read), pinned);
}

/// Asserts that a live job's record is written as the pinned text and is read from this text again.
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

#[test]
fn store_keys() {
    let keys = [
        store::LEADER_KEY,
        store::LEADER_TERM_KEY,
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
fn store_record_done_tasks() {
    let read_and_write = |text: &str, part: u32| {
        let mut read = TaskSet::default();
        store::decode_done_part(text, part, &mut read);
        store::encode_done_part(&read, part)
    };
    pin(&read_and_write("0-2,5", 0), "0-2,5");
    pin(&read_and_write("5000-5001", 1), "5000-5001");
    let bitmap = format!("x{}", "55".repeat(512));
    pin(&read_and_write(&bitmap, 0), &bitmap);
}

#[test]
fn store_record_done_part() {
    let done = "5000-5001".into();
    pin_record(&DonePartRecord { done }, r#"{"done":"5000-5001"}"#);
}

#[test]
fn store_record_finished_job() {
    let mut record = FinishedJobRecord {
        cancelled: false,
        tasks: 8,
        owner: None,
    };
    pin_record(&record, r#"{"cancelled":false,"tasks":8}"#);
    record.cancelled = true;
    record.owner = Some(JobAccount {
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
fn store_record_lease() {
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
