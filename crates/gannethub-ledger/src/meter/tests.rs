use super::*;

const S: Micros = SECOND;

#[test]
fn stages_add_up_to_the_time_the_place_was_held() {
    let mut m = Meter::placed(10 * S);
    m.sent(11 * S);
    m.sent(12 * S);
    m.enter(Stage::Fetching, 12 * S + S / 2);
    m.enter(Stage::Running, 20 * S);
    m.enter(Stage::Saving, 50 * S);
    let r = m.end(
        54 * S,
        EndObservation::Reported {
            before: Some(53 * S),
            missed: false,
        },
    );
    assert_eq!(r.spent, StageTimes([2 * S, 8 * S, 0, 30 * S, 4 * S, 0]));
    assert_eq!(
        (r.spent.held(), r.bound),
        (44 * S, S + MIN_HEARTBEAT_SPACING + HEARTBEAT_JITTER)
    );
    // Right after another report it is later by no more than the time between.
    let r = m.end(
        54 * S,
        EndObservation::Reported {
            before: Some(54 * S - S / 4),
            missed: false,
        },
    );
    assert_eq!((r.bound, r.estimate), (S / 4 + S, false));
    // Reports before it were lost, and a launch was handed out twice.
    let r = m.end(
        60 * S,
        EndObservation::Reported {
            before: Some(54 * S),
            missed: true,
        },
    );
    assert_eq!(r.bound, 6 * S + S);
}

#[test]
fn silence_is_set_apart_and_marked() {
    let mut m = Meter::placed(0);
    m.sent(0);
    m.enter(Stage::Running, S);
    let r = m.end(
        30 * S,
        EndObservation::Silence {
            heard: Some(20 * S),
            likely: S,
        },
    );
    assert_eq!(r.spent, StageTimes([0, 0, 0, 21 * S, 0, 9 * S]));
    assert_eq!((r.bound, r.estimate), (10 * S + MAX_TRANSIT_TIME, true));
    // It did not go on after it was known to be gone.
    let r = m.end(
        20 * S,
        EndObservation::Silence {
            heard: Some(20 * S),
            likely: S,
        },
    );
    assert_eq!(r.spent.held(), 20 * S);
    // A place that was held for nothing is charged, and there is nothing to estimate.
    let r = Meter::placed(0).end(
        9 * S,
        EndObservation::Silence {
            heard: None,
            likely: S,
        },
    );
    assert_eq!((r.spent.held(), r.bound, r.estimate), (9 * S, 0, false));
    // Found with an uncertain begin; and no clock that goes back makes time negative.
    let m = Meter::adopted(90 * S, S, Stage::Running, 8 * S);
    assert_eq!(m.age(9 * S), 91 * S);
    let r = m.end(
        7 * S,
        EndObservation::Reported {
            before: None,
            missed: false,
        },
    );
    assert_eq!((r.spent.held(), r.estimate), (90 * S, true));
}
