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
    pub fn subtract(&mut self, other: &Decayed) {
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
mod tests;
