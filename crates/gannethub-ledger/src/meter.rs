//! What the leader sees of one attempt, as time spent in each stage.
//!
//! A report does not say when something happened, only that it had when the report was sent. A worker reports a
//! change at once, but not within half a second of another report: an end is known that much too late at most,
//! or by the time since the last report that came, where some were lost. A launch takes effect when the answer
//! that carries it arrives, so a fetch begins with the last answer before the attempt is shown, unless an earlier
//! one had arrived after all.

use crate::{Micros, SECOND};

/// A worker reports no more often than this.
const MIN_HEARTBEAT_SPACING: Micros = SECOND / 2;
/// A report may have been sent this long before it is heard: then its worker gives up.
const MAX_TRANSIT_TIME: Micros = 4 * SECOND;
/// Reports come this much late or early.
const HEARTBEAT_JITTER: Micros = SECOND / 20;

/// What an attempt does with the place that it holds.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Stage {
    /// Placed; its launch has not reached the worker, as far as is known.
    Starting,
    Fetching,
    /// In its place, waiting for the rest of its gang.
    Waiting,
    Running,
    Saving,
}

/// The stages in the order in which [`StageTimes`] holds them, and time in which nothing was heard.
pub const STAGES: [&str; 6] = [
    "starting", "fetching", "waiting", "running", "saving", "silent",
];
const SILENT_STAGE: usize = 5;

impl Stage {
    /// Its place in [`StageTimes`].
    pub fn index(self) -> usize {
        self as usize
    }

    pub fn from_index(i: usize) -> Option<Stage> {
        let all = [
            Stage::Starting,
            Stage::Fetching,
            Stage::Waiting,
            Stage::Running,
            Stage::Saving,
        ];
        all.get(i).copied()
    }
}

/// Time in each stage, in the order of [`STAGES`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageTimes(pub [Micros; 6]);

impl StageTimes {
    /// From when the place was taken until it was known to be free.
    pub fn held(&self) -> Micros {
        self.0.iter().sum()
    }

    /// What the worker itself would say that it spent, as far as the leader can tell.
    pub fn at_worker(&self) -> Micros {
        self.held() - self.0[Stage::Starting.index()] - self.0[SILENT_STAGE]
    }

    pub fn running(&self) -> Micros {
        self.0[Stage::Running.index()]
    }
}

/// How an attempt's end came to be known.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndObservation {
    /// Its worker reported it. When the worker's report before that came, if one did.
    /// `missed`: it has sent others in between.
    Reported {
        before: Option<Micros>,
        missed: bool,
    },
    /// Its machine fell silent and is given up. When it was last heard with it, if ever, and how long it went on
    /// after that, most likely: half the time between two reports, or its lease if that is known to have run out.
    Silence {
        heard: Option<Micros>,
        likely: Micros,
    },
}

impl MeteredUsage {
    /// The silence at its end was longer by this.
    pub fn quiet(mut self, more: Micros) -> MeteredUsage {
        self.spent.0[SILENT_STAGE] += more;
        self.bound += more;
        self
    }
}

/// One attempt's clock, on its leader's steady clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Meter {
    pub stage: Stage,
    /// When that stage began, or it was found in it.
    pub since: Micros,
    /// When the launch was first and last handed out.
    pub sent: Option<(Micros, Micros)>,
    pub spent: StageTimes,
    /// How far the begin may be off.
    pub unsure: Micros,
    /// The begin was not seen.
    pub guessed: bool,
}

/// What an ended attempt has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeteredUsage {
    pub spent: StageTimes,
    /// How far the time at its worker may be off.
    pub bound: Micros,
    /// Its begin or its end was not seen.
    pub estimate: bool,
}

impl Meter {
    /// Its place was taken now.
    pub fn placed(now: Micros) -> Meter {
        let (stage, spent) = (Stage::Starting, StageTimes::default());
        Meter {
            stage,
            since: now,
            sent: None,
            spent,
            unsure: 0,
            guessed: false,
        }
    }

    /// An attempt that is shown in this stage and was placed by another leader this long ago, give or take
    /// `unsure`. What it did since then is put down to the stage that it is in. Its age is no time of this
    /// process's clock: that may have begun later.
    pub fn adopted(age: Micros, unsure: Micros, stage: Stage, now: Micros) -> Meter {
        let mut spent = StageTimes::default();
        spent.0[stage.index()] = age;
        Meter {
            stage,
            since: now,
            sent: None,
            spent,
            unsure,
            guessed: true,
        }
    }

    /// It went on for so long before this process knew of it.
    pub fn wait(&mut self, more: Micros) {
        self.spent.0[self.stage.index()] += more;
    }

    /// For how long its place has been held.
    pub fn age(&self, now: Micros) -> Micros {
        self.spent.held() + now.saturating_sub(self.since)
    }

    /// Its launch goes out, perhaps once more.
    pub fn sent(&mut self, now: Micros) {
        if self.stage == Stage::Starting {
            self.sent = Some((self.sent.map_or(now, |s| s.0), now));
        }
    }

    /// It is shown in another stage than before.
    pub fn enter(&mut self, stage: Stage, now: Micros) {
        let from = match (self.stage, self.sent) {
            (Stage::Starting, Some((first, last))) => {
                self.unsure += last - first;
                last.max(self.since)
            }
            _ => now.max(self.since),
        };
        self.spent.0[self.stage.index()] += from - self.since;
        (self.stage, self.since) = (stage, from);
    }

    /// It is known to be gone.
    pub fn end(mut self, now: Micros, news: EndObservation) -> MeteredUsage {
        let now = now.max(self.since);
        let (heard, mut bound, mut estimate) = match news {
            EndObservation::Reported { before, missed } => {
                let gap = before.map_or(MIN_HEARTBEAT_SPACING, |t| now.saturating_sub(t));
                // A report that came as soon as it might after the one before was held up by that, and one after
                // others that were lost tells of any time since: then it ended in the middle, on average.
                let held = missed || gap <= MIN_HEARTBEAT_SPACING + HEARTBEAT_JITTER;
                let late = if held {
                    (gap / 2).min(now - self.since)
                } else {
                    0
                };
                (
                    now - late,
                    if missed {
                        gap
                    } else {
                        gap.min(MIN_HEARTBEAT_SPACING + HEARTBEAT_JITTER)
                    },
                    false,
                )
            }
            EndObservation::Silence { heard, likely } => {
                let heard = heard.unwrap_or(self.since).clamp(self.since, now);
                (
                    (heard + likely).min(now),
                    now - heard + MAX_TRANSIT_TIME,
                    true,
                )
            }
        };
        // What was never shown was never at the worker, or its end came before its first report.
        if self.stage == Stage::Starting {
            bound = self.sent.map_or(0, |sent| now.saturating_sub(sent.0));
            estimate &= self.sent.is_some();
        }
        self.spent.0[self.stage.index()] += heard - self.since;
        self.spent.0[SILENT_STAGE] += now - heard;
        estimate |= self.guessed;
        MeteredUsage {
            spent: self.spent,
            bound: bound + self.unsure,
            estimate,
        }
    }
}

#[cfg(test)]
mod tests;
