use super::*;
use crate::SECOND;
use proptest::prelude::*;

/// Returns the decayed usage by the closed formula.
fn closed_form(rate: f64, h: f64, begin: f64, end: f64, now: f64) -> f64 {
    let f = |t: f64| (-(now - t) / h).exp2() * h / std::f64::consts::LN_2;
    rate * (f(end) - f(begin))
}

#[test]
fn usage_halves_with_every_half_life() {
    let half_life = HalfLife::new(3600 * SECOND).unwrap();
    let (begin, end) = (1_700_000_000 * SECOND, 1_700_000_090 * SECOND);
    let used = half_life.weight(4000, begin, end);
    let at_end = used.at(half_life, end);
    for n in [0u32, 1, 2, 5, 20] {
        let now = end + u64::from(n) * half_life.time();
        let share = used.at(half_life, now) / at_end;
        assert!((share - 0.5f64.powi(n as i32)).abs() < 1e-9, "{n}: {share}");
    }
    let whole = 4000.0 * 90.0 * SECOND as f64;
    assert!(
        at_end < whole && at_end > 0.99 * whole,
        "{at_end} of {whole}"
    );
    assert!(HalfLife::new(0).is_none() && HalfLife::new(MAX_HALF_LIFE + 1).is_none());
}

proptest! {
    #[test]
    fn weights_match_the_closed_formula(
        h in 1_000u64..MAX_HALF_LIFE, begin in 0u64..4_000_000_000_000_000, length in 0u64..100_000_000_000,
        later in 0u64..100_000_000_000, rate in 1u64..10_000_000,
    ) {
        let half_life = HalfLife::new(h).unwrap();
        let end = begin + length;
        let actual = half_life.weight(rate, begin, end).at(half_life, end + later);
        // The rounding error of the formula is smallest when times are counted from the end.
        let expected = closed_form(rate as f64, h as f64, -(length as f64), 0.0, later as f64);
        // The error of an integer weight is at most two units of 2^-8, plus 2^-56 of F.
        let max_error = rate as f64 * (2.0 / 256.0 + h as f64 * 1e-13) + expected * 1e-6;
        prop_assert!((actual - expected).abs() <= max_error, "{actual} instead of {expected}, error above {max_error}");
    }

    #[test]
    fn split_usage_weighs_the_same(
        h in 1_000u64..MAX_HALF_LIFE, begin in 0u64..4_000_000_000_000_000,
        cuts in prop::collection::vec(0u64..1_000_000_000_000, 1..6), rate in 1u64..10_000_000,
    ) {
        let half_life = HalfLife::new(h).unwrap();
        let mut times: Vec<u64> = cuts.into_iter().map(|c| begin + c).collect();
        times.sort_unstable();
        let whole = half_life.weight(rate, begin, times[times.len() - 1]);
        let mut parts = Decayed::default();
        let mut from = begin;
        for to in times {
            parts.add(&half_life.weight(rate, from, to));
            from = to;
        }
        // Epochs with a sum of zero do not count.
        let nonzero = |d: &Decayed| d.0.iter().filter(|s| s.1 > 0).copied().collect::<Vec<_>>();
        prop_assert_eq!(nonzero(&parts), nonzero(&whole));
    }

    #[test]
    fn sums_do_not_depend_on_order_or_grouping(
        h in 1_000_000u64..10_000_000_000,
        uses in prop::collection::vec((0u64..2_000_000_000_000, 0u64..10_000_000_000, 1u64..100_000), 2..20),
        cut in 1usize..19,
    ) {
        let half_life = HalfLife::new(h).unwrap();
        let weights: Vec<Decayed> = uses.iter().map(|u| half_life.weight(u.2, u.0, u.0 + u.1)).collect();
        let sum = |parts: &[Decayed]| parts.iter().fold(Decayed::default(), |mut all, d| { all.add(d); all });
        let forward = sum(&weights);
        let backward = sum(&weights.iter().rev().cloned().collect::<Vec<_>>());
        prop_assert_eq!(&forward, &backward);
        let (a, b) = weights.split_at(cut.min(weights.len()));
        let mut halves = sum(b);
        halves.add(&sum(a));
        prop_assert_eq!(&forward, &halves);
    }
}
