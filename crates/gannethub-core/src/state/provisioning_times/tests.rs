use super::*;

const USUAL: Micros = 20 * SECOND;

#[test]
fn boot_times_are_learned_per_zone_and_fade() {
    let mut times = ProvisioningTimes::default();
    let mut now = 100 * SECOND;
    (0..30).for_each(|_| times.record_boot(0, "a", USUAL, SECOND, now));
    assert!(
        times.expected_boot_time(0, "a", USUAL, now) < 4 * SECOND,
        "boots at once after fast observations"
    );
    assert_eq!(
        times.expected_boot_time(0, "b", USUAL, now),
        USUAL,
        "no observation for the other zone"
    );
    (0..3).for_each(|_| times.record_overdue(0, "b", now));
    assert_eq!(
        times.expected_boot_time(0, "b", USUAL, now),
        USUAL,
        "three overdue machines of a burst stay within ordinary variation"
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
            "observations have faded"
        );
    }
}

#[test]
fn lost_machines_raise_zone_price_until_others_boot() {
    let mut times = ProvisioningTimes::default();
    (0..25).for_each(|_| times.record_failed_boot(1, "a", SECOND));
    let raised_factor = times.price_factor(1, "a", USUAL, 80 * SECOND, SECOND);
    assert!(raised_factor > 1.4, "{raised_factor}");
    (0..100).for_each(|_| times.record_boot(1, "a", USUAL, USUAL, SECOND));
    assert_eq!(times.price_factor(1, "a", USUAL, 80 * SECOND, SECOND), 1.0);
}
