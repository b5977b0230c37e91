use super::*;

const USUAL: Micros = 20 * SECOND;

#[test]
fn boots_are_learned_for_each_place_both_ways_and_forgotten() {
    let mut b = ProvisioningTimes::default();
    let mut now = 100 * SECOND;
    (0..30).for_each(|_| b.record_boot(0, "a", USUAL, SECOND, now));
    assert!(
        b.expected_boot_time(0, "a", USUAL, now) < 4 * SECOND,
        "they are up at once"
    );
    assert_eq!(
        b.expected_boot_time(0, "b", USUAL, now),
        USUAL,
        "nothing is known of another zone"
    );
    (0..3).for_each(|_| b.record_overdue(0, "b", now));
    assert_eq!(
        b.expected_boot_time(0, "b", USUAL, now),
        USUAL,
        "three stragglers of a burst"
    );
    (0..50).for_each(|_| b.record_overdue(0, "b", now));
    let slow = b.expected_boot_time(0, "b", USUAL, now);
    assert!(slow > 3 * USUAL, "{slow}");
    assert!(b.price_factor(0, "b", USUAL, 80 * SECOND, now) > 1.2);
    now += 900 * SECOND;
    for zone in ["a", "b"] {
        assert_eq!(
            b.expected_boot_time(0, zone, USUAL, now),
            USUAL,
            "forgotten"
        );
    }
}

#[test]
fn what_never_comes_up_makes_its_place_dearer_until_others_come_up() {
    let mut b = ProvisioningTimes::default();
    (0..25).for_each(|_| b.record_lost(1, "a", SECOND));
    let dear = b.price_factor(1, "a", USUAL, 80 * SECOND, SECOND);
    assert!(dear > 1.4, "{dear}");
    (0..100).for_each(|_| b.record_boot(1, "a", USUAL, USUAL, SECOND));
    assert_eq!(b.price_factor(1, "a", USUAL, 80 * SECOND, SECOND), 1.0);
}
