//! Exponential decay, computed when it is asked for and in any order.
//!
//! Usage at a constant rate from `begin` to `end` has decayed, at a later time, to the integral of
//! `rate * 2^-(now - t) / half-life`. That is `rate * (F(end) - F(begin)) * 2^-(now - mark) / half-life` with
//! `F(t) = 2^((t - mark) / half-life) * half-life / ln 2`, for any `mark`. So what is kept is the sum of
//! `rate * (F(end) - F(begin))`, in integers, beside the mark; no timer ever touches it. Sums of integers are
//! the same in any order, and usage that is cut into two lines weighs as much as in one.
//!
//! `F` doubles with every half-life, so the mark moves on: time is cut into epochs of sixteen half-lives, and
//! each epoch's usage is summed from the epoch's own mark. What lies four epochs behind the newest has decayed
//! by 2^-48 at least and is dropped; which epochs are kept depends on the newest alone, not on the order.

use crate::Micros;

/// Half-lives in an epoch.
const HALVES: u64 = 16;
/// Epochs that are kept, counted from the newest.
const KEPT: u64 = 4;
/// Fraction bits of a weight.
const FINE: u32 = 8;
/// Fraction bits of `2^x`.
const Q: u32 = 62;
/// One over the natural logarithm of two, with `Q` fraction bits.
const INV_LN2: u128 = 6_653_256_548_922_161_245;
/// The longest half-life: a microsecond must move `2^x` by more than its rounding.
pub const LONGEST: Micros = 366 * 86_400 * crate::SECOND;

/// `2^(1/2)`, `2^(1/4)` and so on, each the integer square root of the one before.
const ROOTS: [u128; Q as usize] = {
    let mut roots = [0; Q as usize];
    let mut last: u128 = 2 << Q;
    let mut i = 0;
    while i < roots.len() {
        last = (last << Q).isqrt();
        roots[i] = last;
        i += 1;
    }
    roots
};

/// `2^x` for `x` below one, both with `Q` fraction bits; too small by less than 2^-56.
fn exp2(x: u128) -> u128 {
    let mut y: u128 = 1 << Q;
    for (i, root) in ROOTS.iter().enumerate() {
        if (x >> (Q as usize - 1 - i)) & 1 == 1 {
            y = (y * root) >> Q;
        }
    }
    y
}

/// How long usage takes to count half. Above zero and at most [`LONGEST`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct HalfLife(Micros);

impl HalfLife {
    /// `None` if it is zero or above [`LONGEST`].
    pub fn new(time: Micros) -> Option<HalfLife> {
        (1..=LONGEST).contains(&time).then_some(HalfLife(time))
    }

    pub fn time(self) -> Micros {
        self.0
    }

    fn epoch(self, t: Micros) -> u64 {
        t / (HALVES * self.0)
    }

    /// `F` at a time within an epoch, from the epoch's own mark.
    fn grown(self, into: Micros) -> u128 {
        let whole = (into / self.0) as u32;
        let part = (u128::from(into % self.0) << Q) / u128::from(self.0);
        let slope = ((u128::from(self.0) << FINE) * INV_LN2) >> Q;
        (exp2(part) * slope) >> (Q - whole)
    }

    /// What usage at `rate` from `begin` to `end` weighs.
    pub fn weigh(self, rate: u64, begin: Micros, end: Micros) -> Decayed {
        let mut sums = Vec::new();
        let (mut from, length) = (begin, HALVES * self.0);
        // What is dropped at once need not be worked out.
        let oldest = self.epoch(end).saturating_sub(KEPT - 1) * length;
        from = from.max(oldest);
        while from < end {
            let epoch = self.epoch(from);
            let mark = epoch * length;
            let to = end.min(mark + length);
            let grown = self
                .grown(to - mark)
                .saturating_sub(self.grown(from - mark));
            sums.push((epoch, grown.saturating_mul(u128::from(rate))));
            from = to;
        }
        Decayed(sums)
    }
}

/// Decayed usage: a sum for each epoch, the oldest first. Sums of different half-lives do not mix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decayed(Vec<(u64, u128)>);

impl Decayed {
    /// From the sums that [`Decayed::sums`] gave.
    pub fn from_sums(sums: impl IntoIterator<Item = (u64, u128)>) -> Decayed {
        let mut all = Decayed::default();
        sums.into_iter().for_each(|sum| all.add_sum(sum));
        all
    }

    pub fn sums(&self) -> &[(u64, u128)] {
        &self.0
    }

    pub fn add(&mut self, other: &Decayed) {
        other.0.iter().for_each(|sum| self.add_sum(*sum));
    }

    fn add_sum(&mut self, (epoch, sum): (u64, u128)) {
        let newest = self.0.last().map_or(epoch, |s| s.0.max(epoch));
        match self.0.binary_search_by_key(&epoch, |s| s.0) {
            Ok(i) => self.0[i].1 = self.0[i].1.saturating_add(sum),
            Err(i) => self.0.insert(i, (epoch, sum)),
        }
        self.0.retain(|s| s.0 + KEPT > newest);
    }

    /// Takes out what was added before, as far as it has not been dropped.
    pub fn less(&mut self, other: &Decayed) {
        for (epoch, sum) in &other.0 {
            if let Ok(i) = self.0.binary_search_by_key(epoch, |s| s.0) {
                self.0[i].1 = self.0[i].1.saturating_sub(*sum);
            }
        }
    }

    /// What it comes to at a time, in rate times microseconds. A clock that is behind the lines' reads what
    /// lies ahead as not decayed yet, never as more than it was.
    pub fn at(&self, half: HalfLife, now: Micros) -> f64 {
        let value = |&(epoch, sum): &(u64, u128)| {
            let mark = (epoch * HALVES) as f64;
            let age = now as f64 / half.0 as f64 - mark;
            sum as f64 / f64::from(1u32 << FINE) * (-age).min(0.0).exp2()
        };
        self.0.iter().map(value).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;
    use proptest::prelude::*;

    /// The same by the formula.
    fn closed(rate: f64, h: f64, begin: f64, end: f64, now: f64) -> f64 {
        let f = |t: f64| (-(now - t) / h).exp2() * h / std::f64::consts::LN_2;
        rate * (f(end) - f(begin))
    }

    #[test]
    fn usage_halves_with_every_half_life() {
        let half = HalfLife::new(3600 * SECOND).unwrap();
        let (begin, end) = (1_700_000_000 * SECOND, 1_700_000_090 * SECOND);
        let used = half.weigh(4000, begin, end);
        let at_end = used.at(half, end);
        for n in [0u32, 1, 2, 5, 20] {
            let now = end + u64::from(n) * half.time();
            let share = used.at(half, now) / at_end;
            assert!((share - 0.5f64.powi(n as i32)).abs() < 1e-9, "{n}: {share}");
        }
        let whole = 4000.0 * 90.0 * SECOND as f64;
        assert!(
            at_end < whole && at_end > 0.99 * whole,
            "{at_end} of {whole}"
        );
        assert!(HalfLife::new(0).is_none() && HalfLife::new(LONGEST + 1).is_none());
    }

    proptest! {
        #[test]
        fn weights_agree_with_the_formula(
            h in 1_000u64..LONGEST, begin in 0u64..4_000_000_000_000_000, length in 0u64..100_000_000_000,
            later in 0u64..100_000_000_000, rate in 1u64..10_000_000,
        ) {
            let half = HalfLife::new(h).unwrap();
            let end = begin + length;
            let got = half.weigh(rate, begin, end).at(half, end + later);
            // The formula's own rounding is smallest when times are counted from the end.
            let want = closed(rate as f64, h as f64, -(length as f64), 0.0, later as f64);
            // An integer weight is off by two units of 2^-8 and 2^-56 of F at most.
            let most = rate as f64 * (2.0 / 256.0 + h as f64 * 1e-13) + want * 1e-6;
            prop_assert!((got - want).abs() <= most, "{got} for {want}, off by more than {most}");
        }

        #[test]
        fn usage_cut_anywhere_weighs_the_same(
            h in 1_000u64..LONGEST, begin in 0u64..4_000_000_000_000_000,
            cuts in prop::collection::vec(0u64..1_000_000_000_000, 1..6), rate in 1u64..10_000_000,
        ) {
            let half = HalfLife::new(h).unwrap();
            let mut times: Vec<u64> = cuts.into_iter().map(|c| begin + c).collect();
            times.sort_unstable();
            let whole = half.weigh(rate, begin, times[times.len() - 1]);
            let mut parts = Decayed::default();
            let mut from = begin;
            for to in times {
                parts.add(&half.weigh(rate, from, to));
                from = to;
            }
            // Epochs with nothing in them say nothing.
            let solid = |d: &Decayed| d.0.iter().filter(|s| s.1 > 0).copied().collect::<Vec<_>>();
            prop_assert_eq!(solid(&parts), solid(&whole));
        }

        #[test]
        fn sums_are_the_same_in_any_order_and_grouping(
            h in 1_000_000u64..10_000_000_000,
            uses in prop::collection::vec((0u64..2_000_000_000_000, 0u64..10_000_000_000, 1u64..100_000), 2..20),
            cut in 1usize..19,
        ) {
            let half = HalfLife::new(h).unwrap();
            let weights: Vec<Decayed> = uses.iter().map(|u| half.weigh(u.2, u.0, u.0 + u.1)).collect();
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
}
