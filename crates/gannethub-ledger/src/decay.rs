//! Exponential decay of usage, computed on demand and independent of the order in which usage is added.
//!
//! Usage at a constant rate from `begin` to `end` has decayed, at a later time `now`, to the integral over `t` of
//! `rate * 2^(-(now - t) / half-life)`. The integral equals
//! `rate * (F(end) - F(begin)) * 2^(-(now - mark) / half-life)` with
//! `F(t) = 2^((t - mark) / half-life) * half-life / ln 2`, for any reference time `mark`. The stored state is
//! therefore the integer sum of `rate * (F(end) - F(begin))` together with the mark, and needs no timer to update it.
//! Sums of integers are the same in any order, and usage that is split into two lines weighs as much as in one line.
//!
//! `F` doubles with every half-life, so the mark has to advance: time is divided into epochs of sixteen half-lives, and
//! the usage of each epoch is summed relative to the epoch's own mark. Usage that lies four epochs before the newest
//! epoch has decayed to at most 2^-48 of its amount and is dropped. Which epochs are kept depends only on the newest
//! epoch, not on the order in which usage is added.

use crate::Micros;

/// Number of half-lives in an epoch.
const HALF_LIVES_PER_EPOCH: u64 = 16;
/// Number of newest epochs that are kept.
const EPOCHS_KEPT: u64 = 4;
/// Number of fraction bits of a weight.
const WEIGHT_FRACTION_BITS: u32 = 8;
/// Number of fraction bits of `x` and `2^x`.
const EXP2_FRACTION_BITS: u32 = 62;
/// One over the natural logarithm of two, with `EXP2_FRACTION_BITS` fraction bits.
const INV_LN2: u128 = 6_653_256_548_922_161_245;
/// Maximum half-life in microseconds: one microsecond must change `2^x` by more than the rounding error of `2^x`.
pub const MAX_HALF_LIFE: Micros = 366 * 86_400 * crate::SECOND;

/// Table of `2^(1/2)`, `2^(1/4)` and so on; each value is the integer square root of the value before.
const ROOTS: [u128; EXP2_FRACTION_BITS as usize] = {
    let mut roots = [0; EXP2_FRACTION_BITS as usize];
    let mut last: u128 = 2 << EXP2_FRACTION_BITS;
    let mut i = 0;
    while i < roots.len() {
        last = (last << EXP2_FRACTION_BITS).isqrt();
        roots[i] = last;
        i += 1;
    }
    roots
};

/// Returns `2^x` for `x` below one, both with `EXP2_FRACTION_BITS` fraction bits. The result is too small by less
/// than 2^-56.
fn exp2(x: u128) -> u128 {
    let mut y: u128 = 1 << EXP2_FRACTION_BITS;
    for (i, root) in ROOTS.iter().enumerate() {
        if (x >> (EXP2_FRACTION_BITS as usize - 1 - i)) & 1 == 1 {
            y = (y * root) >> EXP2_FRACTION_BITS;
        }
    }
    y
}

/// Time in microseconds after which usage counts half: above zero and at most [`MAX_HALF_LIFE`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct HalfLife(Micros);

impl HalfLife {
    /// Returns `None` if `time` is zero or above [`MAX_HALF_LIFE`].
    pub fn new(time: Micros) -> Option<HalfLife> {
        (1..=MAX_HALF_LIFE)
            .contains(&time)
            .then_some(HalfLife(time))
    }

    pub fn time(self) -> Micros {
        self.0
    }

    fn epoch(self, t: Micros) -> u64 {
        t / (HALF_LIVES_PER_EPOCH * self.0)
    }

    /// Returns `F` at `offset` microseconds after the epoch's mark.
    fn integral(self, offset: Micros) -> u128 {
        let whole = (offset / self.0) as u32;
        let fraction = (u128::from(offset % self.0) << EXP2_FRACTION_BITS) / u128::from(self.0);
        let slope = ((u128::from(self.0) << WEIGHT_FRACTION_BITS) * INV_LN2) >> EXP2_FRACTION_BITS;
        (exp2(fraction) * slope) >> (EXP2_FRACTION_BITS - whole)
    }

    /// Returns the weight of usage at `rate` from `begin` to `end`, as sums per epoch.
    pub fn weight(self, rate: u64, begin: Micros, end: Micros) -> Decayed {
        let mut sums = Vec::new();
        let (mut from, length) = (begin, HALF_LIVES_PER_EPOCH * self.0);
        // Epochs that would be dropped immediately are skipped.
        let oldest = self.epoch(end).saturating_sub(EPOCHS_KEPT - 1) * length;
        from = from.max(oldest);
        while from < end {
            let epoch = self.epoch(from);
            let mark = epoch * length;
            let to = end.min(mark + length);
            let integral = self
                .integral(to - mark)
                .saturating_sub(self.integral(from - mark));
            sums.push((epoch, integral.saturating_mul(u128::from(rate))));
            from = to;
        }
        Decayed(sums)
    }
}

/// Decayed usage: one sum per epoch, oldest first. Sums for different half-lives cannot be added together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decayed(Vec<(u64, u128)>);

impl Decayed {
    /// Restores decayed usage from the result of [`Decayed::sums`].
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
        self.0.retain(|s| s.0 + EPOCHS_KEPT > newest);
    }

    /// Subtracts usage that was added before. Epochs that have been dropped since are skipped.
    pub fn subtract(&mut self, other: &Decayed) {
        for (epoch, sum) in &other.0 {
            if let Ok(i) = self.0.binary_search_by_key(epoch, |s| s.0) {
                self.0[i].1 = self.0[i].1.saturating_sub(*sum);
            }
        }
    }

    /// Returns the decayed usage at `now`, in rate times microseconds. If the clock is behind the times in the lines,
    /// usage that lies after `now` counts as more than its amount: twice as much for each half-life that it lies after
    /// `now` or, if `now` is before the epoch of the usage, after the mark of that epoch.
    pub fn at(&self, half_life: HalfLife, now: Micros) -> f64 {
        let value = |&(epoch, sum): &(u64, u128)| {
            let mark = (epoch * HALF_LIVES_PER_EPOCH) as f64;
            let age = now as f64 / half_life.0 as f64 - mark;
            sum as f64 / f64::from(1u32 << WEIGHT_FRACTION_BITS) * (-age).min(0.0).exp2()
        };
        self.0.iter().map(value).sum()
    }
}

#[cfg(test)]
mod tests;
