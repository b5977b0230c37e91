use super::*;
use crate::chain::KeyRing;

pub fn common(team: &str, job: &str) -> Common {
    Common {
        team: team.into(),
        class: "survey".into(),
        job: job.into(),
        need: Need(2000, 0, 4000),
        flavor: "g8".into(),
        zone: "a \"quoted\" zone".into(),
        spot: true,
        price: 4_500_000,
        reason: Reason::PeersGone,
        worth: Worth::Lost,
    }
}

pub fn entry(task: u32, begin: Micros, running: Micros) -> Entry {
    Entry {
        task,
        attempt: (7 << 42) + 5,
        machine: "host-000231".into(),
        begin,
        spent: Spent([250_000, 1, 0, running, 0, 0]),
        bound: 3,
        estimate: false,
    }
}

#[test]
fn lines_come_back_as_they_were_written_and_are_tied_to_their_neighbours() {
    let ring = KeyRing::parse(&KeyRing::write("k", &[3; 32])).unwrap();
    let bodies = [
        Body::Took(Took {
            term: 4,
            holder: "n\u{e9}".into(),
            at: 9,
            complete: false,
        }),
        Body::Charge(Charge {
            common: common("red", "j-7"),
            entries: vec![entry(0, 5, 6), entry(9, 7, 8)],
        }),
        Body::Gap(Gap {
            machine: "m".into(),
            flavor: "f".into(),
            zone: "z".into(),
            spot: false,
            from: 1,
            to: 2,
        }),
        Body::Balance(Balance {
            upto: 3,
            parts: 1,
            kept: 0,
            at: 11,
        }),
        Body::Part(Part {
            team: "red".into(),
            class: "c".into(),
            entries: 2,
            amounts: vec![0, u128::MAX, 17],
            half_life: 60,
            decayed: vec![(4, 1 << 100)],
        }),
    ];
    let mut tie = Tie::default();
    for (seq, body) in (0..).zip(bodies) {
        let line = Line { seq, body };
        let (sealed, next) = line.seal(ring.newest(), &tie);
        let value: Value = serde_json::from_str(&sealed).unwrap();
        let (back, its) = Line::read(&value).unwrap();
        assert_eq!((&back, its), (&line, next));
        assert_eq!(back.text(), line.text(), "it is tied as it was");
        assert_ne!(next, tie.next(ring.newest(), "[0]"));
        tie = next;
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
