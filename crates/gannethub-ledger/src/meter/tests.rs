use super::*;

const S: Micros = SECOND;

#[test]
fn stage_times_add_up_to_held_time() {
    let mut m = Meter::new(10 * S);
    m.record_launch_sent(11 * S);
    m.record_launch_sent(12 * S);
    m.enter_stage(Stage::Fetching, 12 * S + S / 2);
    m.enter_stage(Stage::Running, 20 * S);
    m.enter_stage(Stage::Saving, 50 * S);
    let r = m.end(
        54 * S,
        EndObservation::Reported {
            previous_heartbeat_at: Some(53 * S),
            missed_heartbeats: false,
        },
    );
    assert_eq!(
        r.stage_times,
        StageTimes([2 * S, 8 * S, 0, 30 * S, 4 * S, 0])
    );
    assert_eq!(
        (r.stage_times.total(), r.max_error),
        (44 * S, S + MIN_HEARTBEAT_SPACING + HEARTBEAT_JITTER)
    );
    // Directly after another heartbeat, the error of the end is at most the time between the two heartbeats.
    let r = m.end(
        54 * S,
        EndObservation::Reported {
            previous_heartbeat_at: Some(54 * S - S / 4),
            missed_heartbeats: false,
        },
    );
    assert_eq!((r.max_error, r.is_estimate), (S / 4 + S, false));
    // If heartbeats before the end were lost, the error is the time since the last one that arrived, plus the second
    // between the two sends of the launch.
    let r = m.end(
        60 * S,
        EndObservation::Reported {
            previous_heartbeat_at: Some(54 * S),
            missed_heartbeats: true,
        },
    );
    assert_eq!(r.max_error, 6 * S + S);
}

#[test]
fn silent_time_is_separate_and_estimated() {
    let mut m = Meter::new(0);
    m.record_launch_sent(0);
    m.enter_stage(Stage::Running, S);
    let r = m.end(
        30 * S,
        EndObservation::Silence {
            last_heartbeat_at: Some(20 * S),
            likely_duration: S,
        },
    );
    assert_eq!(r.stage_times, StageTimes([0, 0, 0, 21 * S, 0, 9 * S]));
    assert_eq!(
        (r.max_error, r.is_estimate),
        (10 * S + MAX_TRANSIT_TIME, true)
    );
    // The attempt does not continue after it is known to have ended.
    let r = m.end(
        20 * S,
        EndObservation::Silence {
            last_heartbeat_at: Some(20 * S),
            likely_duration: S,
        },
    );
    assert_eq!(r.stage_times.total(), 20 * S);
    // A place held without a launch is charged, and nothing is estimated.
    let r = Meter::new(0).end(
        9 * S,
        EndObservation::Silence {
            last_heartbeat_at: None,
            likely_duration: S,
        },
    );
    assert_eq!(
        (r.stage_times.total(), r.max_error, r.is_estimate),
        (9 * S, 0, false)
    );
    // An adopted attempt has an uncertain begin, and a clock that goes back does not make a time negative.
    let m = Meter::adopted(90 * S, S, Stage::Running, 8 * S);
    assert_eq!(m.age(9 * S), 91 * S);
    let r = m.end(
        7 * S,
        EndObservation::Reported {
            previous_heartbeat_at: None,
            missed_heartbeats: false,
        },
    );
    assert_eq!((r.stage_times.total(), r.is_estimate), (90 * S, true));
}
