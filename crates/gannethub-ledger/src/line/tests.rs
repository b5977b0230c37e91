use super::*;
use crate::chain::KeyRing;

pub fn charge_group(team: &str, job: &str) -> ChargeGroup {
    ChargeGroup {
        team: team.into(),
        class: "survey".into(),
        job: job.into(),
        resources: ResourceAmounts(2000, 0, 4000),
        machine_type: "g8".into(),
        zone: "a \"quoted\" zone".into(),
        spot: true,
        price: 4_500_000,
        reason: Reason::PeersGone,
        usefulness: Usefulness::Lost,
    }
}

pub fn entry(task: u32, begin: Micros, running: Micros) -> AttemptCharge {
    AttemptCharge {
        task,
        attempt: (7 << 42) + 5,
        machine: "host-000231".into(),
        begin,
        stage_times: StageTimes([250_000, 1, 0, running, 0, 0]),
        max_error: 3,
        is_estimate: false,
    }
}

#[test]
fn lines_round_trip_and_chain_to_the_line_before() {
    let ring = KeyRing::parse(&KeyRing::write("k", &[3; 32])).unwrap();
    let bodies = [
        LineBody::LeaderChanged(LeaderChange {
            term: 4,
            owner: "n\u{e9}".into(),
            at: 9,
            has_all_open_usage: false,
        }),
        LineBody::Charge(Charge {
            group: charge_group("red", "j-7"),
            entries: vec![entry(0, 5, 6), entry(9, 7, 8)],
        }),
        LineBody::Unmetered(UnmeteredInterval {
            machine: "m".into(),
            machine_type: "f".into(),
            zone: "z".into(),
            spot: false,
            from: 1,
            to: 2,
        }),
        LineBody::Balance(Balance {
            end_line: 3,
            parts: 1,
            kept: 0,
            at: 11,
        }),
        LineBody::Part(BalancePart {
            team: "red".into(),
            class: "c".into(),
            entries: 2,
            amounts: vec![0, u128::MAX, 17],
            half_life: 60,
            decayed: vec![(4, 1 << 100)],
        }),
    ];
    let mut last_mac = LineMac::default();
    for (line_number, body) in (0..).zip(bodies) {
        let line = Line {
            number: line_number,
            body,
        };
        let (text, mac) = line.to_chained_text(ring.newest(), &last_mac);
        let value: Value = serde_json::from_str(&text).unwrap();
        let (read_line, read_mac) = Line::read(&value).unwrap();
        assert_eq!((&read_line, read_mac), (&line, mac));
        assert_eq!(
            read_line.text(),
            line.text(),
            "the chained text must not change"
        );
        assert_ne!(mac, last_mac.next(ring.newest(), "[0]"));
        last_mac = mac;
    }
    for bad in [
        "{}",
        "[]",
        "[1]",
        "[0,\"took\",1]",
        "[0,\"news\",1,\"AAAAAAAAAAAAAAAAAAAAAA\"]",
    ] {
        assert!(
            Line::read(&serde_json::from_str(bad).unwrap()).is_none(),
            "{bad}"
        );
    }
}
