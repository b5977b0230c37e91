use super::*;

const S: Micros = SECOND;

#[test]
fn stage_times_add_up_to_held_time() {
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
    // Directly after another heartbeat, the error of the end is at most the time between the two heartbeats.
    let r = m.end(
        54 * S,
        EndObservation::Reported {
            before: Some(54 * S - S / 4),
            missed: false,
        },
    );
    assert_eq!((r.bound, r.estimate), (S / 4 + S, false));
    // If heartbeats before the end were lost, the error is the time since the last one that arrived, plus the second
    // between the two sends of the launch.
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
fn silent_time_is_separate_and_estimated() {
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
    // The attempt does not continue after it is known to have ended.
    let r = m.end(
        20 * S,
        EndObservation::Silence {
            heard: Some(20 * S),
            likely: S,
        },
    );
    assert_eq!(r.spent.held(), 20 * S);
    // A place held without a launch is charged, and nothing is estimated.
    let r = Meter::placed(0).end(
        9 * S,
        EndObservation::Silence {
            heard: None,
            likely: S,
        },
    );
    assert_eq!((r.spent.held(), r.bound, r.estimate), (9 * S, 0, false));
    // An adopted attempt has an uncertain begin, and a clock that goes back does not make a time negative.
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
