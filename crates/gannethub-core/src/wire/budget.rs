//! How much one controller asks of the state service: tokens that refill, and requests in the order of their urgency.

use std::collections::VecDeque;

use crate::model::{Micros, SECOND};

/// Tokens that refill over time, up to one second's worth.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    pub tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    pub fn new(rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            tokens: rate.max(1.0),
            refilled_at: 0,
        }
    }

    pub fn refill(&mut self, now: Micros) {
        let earned = now.saturating_sub(self.refilled_at) as f64 / SECOND as f64 * self.rate;
        self.tokens = (self.tokens + earned).min(self.rate.max(1.0));
        self.refilled_at = now;
    }
}

/// How urgent a request is. Renewals are never held up by the rest. Users and commits take turns:
/// a storm of queries must not keep a leader from what its watch brings, a cancellation first of
/// all, or from writing what is done. What users ask and what they change take turns as well: when
/// more is submitted than may be written, questions about jobs behind that went without an answer
/// for minutes. The rest goes when nothing else waits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Urgency {
    Renewal,
    User,
    Transaction,
    Background,
}

/// Keeps one controller's requests within its share of what the service allows.
#[derive(Debug)]
pub struct RequestBudget<T> {
    requests: TokenBucket,
    changes: TokenBucket,
    renewals: VecDeque<(u32, T)>,
    /// Those that take turns: what users ask, what they change, and commits.
    lanes: [VecDeque<(u32, T)>; 3],
    /// Whether it is the turn of commits next, and which of users' lanes comes first when it is theirs.
    commits_next: bool,
    users: [usize; 2],
    rest: VecDeque<(u32, T)>,
}

const QUERIES: usize = 0;
const CHANGES: usize = 1;
const TRANSACTIONS: usize = 2;

impl<T> RequestBudget<T> {
    pub fn new(rps: f64, write_rps: f64) -> RequestBudget<T> {
        RequestBudget {
            requests: TokenBucket::new(rps),
            changes: TokenBucket::new(write_rps),
            renewals: VecDeque::new(),
            lanes: Default::default(),
            commits_next: false,
            users: [QUERIES, CHANGES],
            rest: VecDeque::new(),
        }
    }

    /// The requests a second that it may make.
    pub fn request_rate(&self) -> f64 {
        self.requests.rate
    }

    /// Changes the share, as when leadership comes or goes.
    pub fn set_rates(&mut self, rps: f64, write_rps: f64) {
        self.requests.rate = rps;
        self.changes.rate = write_rps;
    }

    pub fn push(&mut self, urgency: Urgency, changes: u32, item: T) {
        let queue = match urgency {
            Urgency::Renewal => &mut self.renewals,
            Urgency::User if changes == 0 => &mut self.lanes[QUERIES],
            Urgency::User => &mut self.lanes[CHANGES],
            Urgency::Transaction => &mut self.lanes[TRANSACTIONS],
            Urgency::Background => &mut self.rest,
        };
        queue.push_back((changes, item));
    }

    /// The next request that may go now.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        self.requests.refill(now);
        self.changes.refill(now);
        if let Some((n, item)) = self.renewals.pop_front() {
            self.requests.tokens -= 1.0;
            self.changes.tokens -= f64::from(n);
            return Some(item);
        }
        let mut blocked = false;
        let [first, second] = self.users;
        let turns = match self.commits_next {
            true => [Some(TRANSACTIONS), Some(first), Some(second), None],
            false => [Some(first), Some(second), Some(TRANSACTIONS), None],
        };
        for lane in turns {
            let queue = match lane {
                Some(lane) => &mut self.lanes[lane],
                None => &mut self.rest,
            };
            let Some(&(n, _)) = queue.front() else {
                continue;
            };
            let changes = f64::from(n);
            // A transaction larger than the bucket goes when the bucket is full. Until it can
            // go, only what changes nothing passes it.
            blocked |= self.changes.tokens < changes.min(self.changes.rate.max(1.0));
            if self.requests.tokens < 1.0 || (blocked && n > 0) {
                continue;
            }
            let item = queue.pop_front().map(|(_, item)| item);
            match lane {
                Some(TRANSACTIONS) => self.commits_next = false,
                Some(lane) => (self.commits_next, self.users) = (true, [CHANGES - lane, lane]),
                None => {}
            }
            self.requests.tokens -= 1.0;
            self.changes.tokens -= changes;
            return item;
        }
        None
    }

    /// How long another change of users' would wait behind what is queued, the others taking turns.
    pub fn change_wait(&self) -> Micros {
        let [_, changes, commits] = &self.lanes;
        let between = commits.iter().take(changes.len() + 1);
        let queued = self.renewals.iter().chain(changes).chain(between);
        let changes = queued.map(|(n, _)| f64::from(*n)).sum();
        self.lane_wait(CHANGES)
            .max(Self::refill_time(changes, &self.changes))
    }

    /// How long another question of users would wait. Changes that may not be made yet do not hold it up.
    pub fn query_wait(&self) -> Micros {
        self.lane_wait(QUERIES)
    }

    /// How long until it is a lane's turn once more after all that is in it, as far as requests go.
    fn lane_wait(&self, lane: usize) -> Micros {
        let own = self.lanes[lane].len();
        let others = (0..self.lanes.len()).filter(|other| *other != lane);
        let between: usize = others
            .map(|other| self.lanes[other].len().min(own + 1))
            .sum();
        Self::refill_time((self.renewals.len() + own + between) as f64, &self.requests)
    }

    fn refill_time(queued: f64, bucket: &TokenBucket) -> Micros {
        let wait = (queued - bucket.tokens).max(0.0) / bucket.rate.max(0.1);
        (wait * SECOND as f64) as Micros
    }

    pub fn queued_requests(&self) -> usize {
        let lanes: usize = self.lanes.iter().map(VecDeque::len).sum();
        self.renewals.len() + lanes + self.rest.len()
    }
}

#[cfg(test)]
mod tests;
