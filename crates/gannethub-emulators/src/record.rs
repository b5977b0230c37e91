//! The workers' own record of their attempts, with which the usage ledger is compared.

use std::collections::BTreeMap;

use crate::worker::Worker;

/// The time that one attempt spent at its worker. All times are in microseconds.
#[derive(Debug, Clone)]
pub struct Span {
    /// Beginning of the last run.
    pub began_at: u64,
    /// End of the last run; `None` until then.
    pub ended: Option<u64>,
    /// Whether the attempt was lost with its machine or its worker's lease.
    pub lost: bool,
    /// Number of runs. A gang's task that is replaced on its machine keeps its attempt number, and runs again.
    pub runs: usize,
    /// Total time of the runs before the last one.
    pub earlier_time: u64,
}

impl Span {
    fn new(began_at: u64) -> Span {
        Span {
            began_at,
            ended: None,
            lost: false,
            runs: 1,
            earlier_time: 0,
        }
    }

    /// Returns the attempt's total time at its worker over all runs, once the last run has ended.
    pub fn time(&self) -> Option<u64> {
        Some(self.earlier_time + self.ended? - self.began_at)
    }
}

/// Machine, task and attempt number of a span.
pub type SpanKey = (String, String, u64);

/// The workers' own record of their attempts, which no controller sees.
#[derive(Debug, Default)]
pub struct Record {
    pub spans: BTreeMap<SpanKey, Span>,
}

impl Record {
    /// Records which attempts a worker has now, and ends the spans of attempts that have ended or were lost.
    pub fn update(&mut self, worker: &Worker, now: u64) {
        for task in worker.tasks.values() {
            let key = (worker.name.clone(), task.name.clone(), task.attempt);
            let span = self.spans.entry(key).or_insert_with(|| Span::new(now));
            if task.ended() {
                span.ended.get_or_insert(now);
            } else if let Some(earlier_time) = span
                .time()
                .filter(|_| !worker.dead && !worker.lease_expired(now))
            {
                *span = Span {
                    earlier_time,
                    runs: span.runs + 1,
                    ..Span::new(now)
                };
            }
        }
        let is_lost = |(key, span): &(&SpanKey, &mut Span)| {
            let listed = worker
                .tasks
                .get(&key.1)
                .is_some_and(|task| task.attempt == key.2);
            // A machine that hangs past its lease never resumes its attempts.
            span.ended.is_none() && (worker.dead || !listed || worker.lease_expired(now))
        };
        let first_key = (worker.name.clone(), String::new(), 0);
        let worker_spans = self
            .spans
            .range_mut(first_key..)
            .take_while(|(key, _)| key.0 == worker.name);
        worker_spans
            .filter(is_lost)
            .for_each(|(_, span)| (span.ended, span.lost) = (Some(now), true));
    }
}
