use super::*;

const USUAL: Micros = 20 * SECOND;

#[test]
fn boot_times_are_learned_for_each_zone_both_ways_and_forgotten() {
    let mut times = ProvisioningTimes::default();
    let mut now = 100 * SECOND;
    (0..30).for_each(|_| times.record_boot(0, "a", USUAL, SECOND, now));
    assert!(
        times.expected_boot_time(0, "a", USUAL, now) < 4 * SECOND,
        "they are up at once"
    );
    assert_eq!(
        times.expected_boot_time(0, "b", USUAL, now),
        USUAL,
        "nothing is known of another zone"
    );
    (0..3).for_each(|_| times.record_overdue(0, "b", now));
    assert_eq!(
        times.expected_boot_time(0, "b", USUAL, now),
        USUAL,
        "three stragglers of a burst"
    );
    (0..50).for_each(|_| times.record_overdue(0, "b", now));
    let slow = times.expected_boot_time(0, "b", USUAL, now);
    assert!(slow > 3 * USUAL, "{slow}");
    assert!(times.price_factor(0, "b", USUAL, 80 * SECOND, now) > 1.2);
    now += 900 * SECOND;
    for zone in ["a", "b"] {
        assert_eq!(
            times.expected_boot_time(0, zone, USUAL, now),
            USUAL,
            "forgotten"
        );
    }
}

#[test]
fn machines_that_never_come_up_make_their_zone_dearer_until_others_come_up() {
    let mut times = ProvisioningTimes::default();
    (0..25).for_each(|_| times.record_lost(1, "a", SECOND));
    let dear = times.price_factor(1, "a", USUAL, 80 * SECOND, SECOND);
    assert!(dear > 1.4, "{dear}");
    (0..100).for_each(|_| times.record_boot(1, "a", USUAL, USUAL, SECOND));
    assert_eq!(times.price_factor(1, "a", USUAL, 80 * SECOND, SECOND), 1.0);
}
