//! What workers themselves would say of the attempts that they had.

use std::collections::BTreeMap;

use crate::worker::Worker;

/// An attempt's time at its worker.
#[derive(Debug, Clone)]
pub struct Span {
    pub began: u64,
    pub ended: Option<u64>,
    /// It went with its machine or its worker's lease.
    pub lost: bool,
    /// A gang's task that is replaced where it was keeps its number. How often that was, and the time until then.
    pub stints: usize,
    pub before: u64,
}

impl Span {
    fn new(began: u64) -> Span {
        Span {
            began,
            ended: None,
            lost: false,
            stints: 1,
            before: 0,
        }
    }

    /// All time at its worker, once it has ended.
    pub fn time(&self) -> Option<u64> {
        Some(self.before + self.ended? - self.began)
    }
}

/// By machine, task and attempt.
pub type SpanKey = (String, String, u64);

/// The workers' own record, which no controller sees.
#[derive(Debug, Default)]
pub struct Record {
    pub spans: BTreeMap<SpanKey, Span>,
}

impl Record {
    /// Takes down what a worker has now, and no longer has.
    pub fn note(&mut self, w: &Worker, now: u64) {
        for t in w.tasks.values() {
            let key = (w.name.clone(), t.name.clone(), t.attempt);
            let span = self.spans.entry(key).or_insert_with(|| Span::new(now));
            if t.ended() {
                span.ended.get_or_insert(now);
            } else if let Some(before) = span.time().filter(|_| !w.dead && !w.lease_over(now)) {
                *span = Span {
                    before,
                    stints: span.stints + 1,
                    ..Span::new(now)
                };
            }
        }
        let gone = |(k, s): &(&SpanKey, &mut Span)| {
            let shown = w.tasks.get(&k.1).is_some_and(|t| t.attempt == k.2);
            // A machine that hangs past its lease never goes on with them.
            s.ended.is_none() && (w.dead || !shown || w.lease_over(now))
        };
        let first = (w.name.clone(), String::new(), 0);
        let own = self
            .spans
            .range_mut(first..)
            .take_while(|(k, _)| k.0 == w.name);
        own.filter(gone)
            .for_each(|(_, s)| (s.ended, s.lost) = (Some(now), true));
    }
}
