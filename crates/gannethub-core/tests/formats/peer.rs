//! Messages between controllers.

use bytes::{Bytes, BytesMut};
use gannethub_core::wire::peer::{self, Body, Envelope};

use crate::pin;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = |i: usize| u8::from_str_radix(&text[i..i + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(digits).collect()
}

/// Asserts that a message is framed as the pinned bytes and is decoded from these bytes again.
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
        running_jobs: vec![peer::RunningJobProgress {
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
            applied_version: 314,
        }],
        refused_offers: vec![offer()],
        supports_configuration: true,
        configuration_version: 312,
        newest_configuration_version: 313,
        applied_version: 315,
    };
    pin_message(
        Body::Heartbeat(heartbeat),
        "000000690a026e301263080710011801220b0a036a2d3710ae0218af022a35080310b00218b10220b20228b302321408b40210b50218b60220c9fdffffffffffffff013a0c0a026738120161180120ad0240ba02320c0a026738120161180120ad02380140b80248b90250bb02",
    );
}

#[test]
fn peer_message_relay_heartbeat() {
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
fn peer_message_relay_answer() {
    let answer = peer::RelayAnswer {
        id: 301,
        status: 421,
        body: Bytes::from_static(b"{}"),
    };
    pin_message(
        Body::RelayAnswer(answer),
        "000000100a026e30220a08ad0210a5031a027b7d",
    );
}

#[test]
fn peer_message_vote_request() {
    let request = peer::VoteRequest {
        round: 301,
        term: 302,
        duration: 303,
        shard: 304,
        known_version: 305,
    };
    pin_message(
        Body::VoteRequest(request),
        "000000150a026e302a0f08ad0210ae0218af0220b00228b102",
    );
}

#[test]
fn peer_message_vote() {
    let vote = peer::Vote {
        round: 301,
        term: 302,
        shard: 303,
        knows_cancellations: true,
        cancelled_jobs: "1:7".into(),
        cancelled_count: 1,
        configuration_version: 304,
    };
    pin_message(
        Body::Vote(vote),
        "0000001b0a026e30321508ad0210ae0218af0220012a03313a37300138b002",
    );
}

#[test]
fn peer_message_job_changed() {
    let changed = peer::JobChanged {
        job: "j-7".into(),
        version: 301,
        ..peer::JobChanged::default()
    };
    // An earlier release states neither the kind of the change nor the shard.
    assert_eq!(changed.kind(), peer::JobChangeKind::Unspecified);
    pin_message(
        Body::JobChanged(changed.clone()),
        "0000000e0a026e303a080a036a2d3710ad02",
    );
    let cancelled = peer::JobChanged {
        kind: peer::JobChangeKind::Cancelled.into(),
        shard: 302,
        ..changed
    };
    pin_message(
        Body::JobChanged(cancelled),
        "000000130a026e303a0d0a036a2d3710ad02180220ae02",
    );
}

#[test]
fn peer_message_cancellation_applied() {
    let applied = peer::CancellationApplied {
        job: "j-7".into(),
        shard: 301,
    };
    pin_message(
        Body::CancellationApplied(applied),
        "0000000e0a026e3062080a036a2d3710ad02",
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
fn peer_message_usage_records() {
    let record = peer::OpenUsageRecord {
        key: Some(usage_key()),
        account: Some(peer::UsageAccount {
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
    let records = peer::UsageRecords {
        term: 7,
        sequence: 316,
        is_first: true,
        is_last: true,
        open_records: vec![record],
        closed_keys: vec![usage_key()],
        sent_at: 317,
    };
    pin_message(
        Body::UsageRecords(records),
        "000000900a026e30428901080710bc02180120012a610a180a0b686f73742d30303032333112036a2d3718ad0220ae0212180a04626c75651205747261696e18af0220b00228b10230011a026738220161280130b20238b30240b40248b5025205b60200b70258b8026001680170b90278ba028001bb0232180a0b686f73742d30303032333112036a2d3718ad0220ae0238bd02",
    );
}

#[test]
fn peer_message_usage_records_request() {
    pin_message(
        Body::UsageRecordsRequest(peer::UsageRecordsRequest { term: 301 }),
        "000000090a026e304a0308ad02",
    );
}

#[test]
fn peer_message_watermark_checks() {
    let check = peer::WatermarkCheck {
        term: 301,
        incarnation: 302,
        shard: 303,
    };
    pin_message(
        Body::WatermarkQuery(check.clone()),
        "0000000f0a026e30520908ad0210ae0218af02",
    );
    pin_message(
        Body::WatermarkConfirmation(check),
        "0000000f0a026e305a0908ad0210ae0218af02",
    );
}
