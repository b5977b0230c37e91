//! How much one controller asks of the state service: token buckets for its rates, and queues by urgency.

use std::collections::VecDeque;

use crate::model::{Micros, SECOND};

/// A rate below this counts as this much where a wait is estimated.
const MIN_RATE: f64 = 0.1;

/// Tokens that refill over time, up to one second's worth and at least one.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    /// Below zero where more was taken than there was.
    pub tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// A full bucket with so many tokens a second.
    pub fn new(rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            tokens: rate.max(1.0),
            refilled_at: 0,
        }
    }

    /// The most tokens that it holds.
    fn capacity(&self) -> f64 {
        self.rate.max(1.0)
    }

    /// Adds what has accrued since the last time.
    pub fn refill(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.refilled_at);
        let accrued = passed as f64 / SECOND as f64 * self.rate;
        self.tokens = (self.tokens + accrued).min(self.capacity());
        self.refilled_at = now;
    }

    /// How long until it holds this many tokens.
    fn time_until(&self, tokens: f64) -> Micros {
        let wait = (tokens - self.tokens).max(0.0) / self.rate.max(MIN_RATE);
        (wait * SECOND as f64) as Micros
    }
}

/// How urgent a request is.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Urgency {
    /// Renewals and takeovers are never held up by anything else.
    Renewal,
    /// What users ask for. Users and transactions take turns: a storm of queries must not keep a leader from what its
    /// watch brings, a cancellation first of all, or from writing what is done.
    ///
    /// Queries and changes of users take turns as well: when more was submitted than could be written, queries that
    /// were queued behind it had no answer for minutes.
    User,
    /// What a shard's owner needs to go on.
    Transaction,
    /// Goes when nothing else waits.
    Background,
}

/// The queues of requests that are not renewals.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Lane {
    Queries,
    Changes,
    Transactions,
    Background,
}

/// The lanes that take turns.
const FAIR_LANES: [Lane; 3] = [Lane::Queries, Lane::Changes, Lane::Transactions];

#[derive(Debug)]
struct Queued<T> {
    /// Puts and deletes that the request carries.
    change_count: u32,
    request: T,
}

/// Keeps one controller's requests within its share of what the state service allows.
#[derive(Debug)]
pub struct RequestBudget<T> {
    requests: TokenBucket,
    changes: TokenBucket,
    renewals: VecDeque<Queued<T>>,
    /// By [`Lane`].
    lanes: [VecDeque<Queued<T>>; 4],
    /// It is the transactions' turn next.
    transactions_next: bool,
    /// Which of the users' two lanes comes first when it is their turn.
    next_user_lane: Lane,
}

impl<T> RequestBudget<T> {
    /// A budget of so many requests a second, and so many changes in them.
    pub fn new(request_rate: f64, change_rate: f64) -> RequestBudget<T> {
        RequestBudget {
            requests: TokenBucket::new(request_rate),
            changes: TokenBucket::new(change_rate),
            renewals: VecDeque::new(),
            lanes: [const { VecDeque::new() }; 4],
            transactions_next: false,
            next_user_lane: Lane::Queries,
        }
    }

    /// The requests a second that it may make.
    pub fn request_rate(&self) -> f64 {
        self.requests.rate
    }

    /// Changes the rates, as when leadership comes or goes.
    pub fn set_rates(&mut self, request_rate: f64, change_rate: f64) {
        self.requests.rate = request_rate;
        self.changes.rate = change_rate;
    }

    /// Queues a request that carries so many changes.
    pub fn push(&mut self, urgency: Urgency, change_count: u32, request: T) {
        let queue = match urgency {
            Urgency::Renewal => &mut self.renewals,
            Urgency::User if change_count == 0 => &mut self.lanes[Lane::Queries as usize],
            Urgency::User => &mut self.lanes[Lane::Changes as usize],
            Urgency::Transaction => &mut self.lanes[Lane::Transactions as usize],
            Urgency::Background => &mut self.lanes[Lane::Background as usize],
        };
        queue.push_back(Queued {
            change_count,
            request,
        });
    }

    /// The next request that may go now.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        self.requests.refill(now);
        self.changes.refill(now);
        if let Some(renewal) = self.renewals.pop_front() {
            return Some(self.spend(renewal));
        }
        let mut changes_blocked = false;
        for lane in self.turns() {
            let Some(next) = self.lanes[lane as usize].front() else {
                continue;
            };
            let change_count = next.change_count;
            // A transaction larger than the bucket goes when the bucket is full. Until it can go, only what changes
            // nothing passes it.
            let tokens_needed = f64::from(change_count).min(self.changes.capacity());
            changes_blocked |= self.changes.tokens < tokens_needed;
            if self.requests.tokens < 1.0 || (changes_blocked && change_count > 0) {
                continue;
            }
            let queued = self.lanes[lane as usize].pop_front()?;
            self.pass_turn(lane);
            return Some(self.spend(queued));
        }
        None
    }

    /// The lanes in the order in which they are looked at now.
    fn turns(&self) -> [Lane; 4] {
        let first = self.next_user_lane;
        let second = other_user_lane(first);
        if self.transactions_next {
            [Lane::Transactions, first, second, Lane::Background]
        } else {
            [first, second, Lane::Transactions, Lane::Background]
        }
    }

    /// A request of this lane goes: it is the others' turn.
    fn pass_turn(&mut self, lane: Lane) {
        match lane {
            Lane::Queries | Lane::Changes => {
                self.transactions_next = true;
                self.next_user_lane = other_user_lane(lane);
            }
            Lane::Transactions => self.transactions_next = false,
            Lane::Background => {}
        }
    }

    /// Takes what a request costs from the buckets.
    fn spend(&mut self, queued: Queued<T>) -> T {
        self.requests.tokens -= 1.0;
        self.changes.tokens -= f64::from(queued.change_count);
        queued.request
    }

    /// How long another change of users' would wait behind what is queued, the others taking turns.
    pub fn change_wait(&self) -> Micros {
        let changes = &self.lanes[Lane::Changes as usize];
        let transactions = &self.lanes[Lane::Transactions as usize];
        let in_between = transactions.iter().take(changes.len() + 1);
        let ahead = self.renewals.iter().chain(changes).chain(in_between);
        let change_count: f64 = ahead.map(|queued| f64::from(queued.change_count)).sum();
        let for_changes = self.changes.time_until(change_count);
        self.lane_wait(Lane::Changes).max(for_changes)
    }

    /// How long another query of users would wait. Changes that may not be made yet do not hold it up.
    pub fn query_wait(&self) -> Micros {
        self.lane_wait(Lane::Queries)
    }

    /// How long until it is a lane's turn once more after all that is in it, as far as the rate of requests goes.
    fn lane_wait(&self, lane: Lane) -> Micros {
        let length = |lane: Lane| self.lanes[lane as usize].len();
        let own = length(lane);
        let others = FAIR_LANES.into_iter().filter(|other| *other != lane);
        let in_between: usize = others.map(|other| length(other).min(own + 1)).sum();
        let ahead = self.renewals.len() + own + in_between;
        self.requests.time_until(ahead as f64)
    }

    /// How many requests are queued.
    pub fn queued_requests(&self) -> usize {
        let lanes: usize = self.lanes.iter().map(VecDeque::len).sum();
        self.renewals.len() + lanes
    }
}

fn other_user_lane(lane: Lane) -> Lane {
    match lane {
        Lane::Queries => Lane::Changes,
        _ => Lane::Queries,
    }
}

#[cfg(test)]
mod tests;
