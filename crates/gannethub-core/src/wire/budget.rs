//! The budget of one controller for requests to the state service: token buckets limit the rates, and queues order the
//! requests by urgency.

use std::collections::VecDeque;

use crate::model::{Micros, SECOND};

/// Minimum rate in tokens per second that estimates of waits assume. A lower rate counts as this one.
const MIN_RATE: f64 = 0.1;

/// A token bucket that refills over time. The capacity is the tokens of one second, but at least one token.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    /// The available tokens. The number is negative after more tokens were taken than were available.
    pub tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `rate` tokens per second.
    pub fn new(rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            tokens: rate.max(1.0),
            refilled_at: 0,
        }
    }

    /// Returns the maximum number of tokens.
    fn capacity(&self) -> f64 {
        self.rate.max(1.0)
    }

    /// Adds the tokens accrued since the last refill.
    pub fn refill(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.refilled_at);
        let accrued = passed as f64 / SECOND as f64 * self.rate;
        self.tokens = (self.tokens + accrued).min(self.capacity());
        self.refilled_at = now;
    }

    /// Returns the time until the bucket holds `tokens` tokens.
    fn time_until(&self, tokens: f64) -> Micros {
        let wait = (tokens - self.tokens).max(0.0) / self.rate.max(MIN_RATE);
        (wait * SECOND as f64) as Micros
    }
}

/// The urgency of a request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Urgency {
    /// Lease renewals and takeovers, which no other request ever delays.
    Renewal,
    /// Requests of users. Users and transactions take turns: a storm of queries must not keep a leader from receiving
    /// the changes that its watch delivers, above all cancellations, or from storing completions.
    ///
    /// Queries and changes of users take turns as well: when users submitted more jobs than could be written, queries
    /// queued behind the submissions went unanswered for minutes.
    User,
    /// Requests that a shard owner needs to make progress.
    Transaction,
    /// Requests sent only when no other request waits.
    Background,
}

/// The queues of all requests other than renewals.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Lane {
    Queries,
    Changes,
    Transactions,
    Background,
}

/// The lanes that take turns.
const ROUND_ROBIN_LANES: [Lane; 3] = [Lane::Queries, Lane::Changes, Lane::Transactions];

#[derive(Debug)]
struct Queued<T> {
    /// Number of puts and deletes in the request.
    change_count: u32,
    request: T,
}

/// Keeps the requests of one controller within its share of the rates that the state service allows.
#[derive(Debug)]
pub struct RequestBudget<T> {
    requests: TokenBucket,
    changes: TokenBucket,
    renewals: VecDeque<Queued<T>>,
    /// The queues, indexed by [`Lane`].
    lanes: [VecDeque<Queued<T>>; 4],
    /// Whether transactions have the next turn.
    transactions_next: bool,
    /// The user lane that comes first in the users' next turn.
    next_user_lane: Lane,
}

impl<T> RequestBudget<T> {
    /// Creates a budget of `request_rate` requests per second with `change_rate` changes per second in total.
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

    /// Returns the number of requests allowed per second.
    pub fn request_rate(&self) -> f64 {
        self.requests.rate
    }

    /// Changes the rates, for example when the controller gains or loses leadership.
    pub fn set_rates(&mut self, request_rate: f64, change_rate: f64) {
        self.requests.rate = request_rate;
        self.changes.rate = change_rate;
    }

    /// Queues a request with `change_count` changes.
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

    /// Removes and returns the next request that may be sent now.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        self.requests.refill(now);
        self.changes.refill(now);
        if let Some(renewal) = self.renewals.pop_front() {
            return Some(self.spend(renewal));
        }
        let mut changes_blocked = false;
        for lane in self.lane_order() {
            let Some(next) = self.lanes[lane as usize].front() else {
                continue;
            };
            let change_count = next.change_count;
            // A transaction with more changes than the bucket's capacity is sent when the bucket is full. While a
            // request waits for change tokens, only requests without changes pass it.
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

    /// Returns the lanes in the order in which they are tried now.
    fn lane_order(&self) -> [Lane; 4] {
        let first = self.next_user_lane;
        let second = other_user_lane(first);
        if self.transactions_next {
            [Lane::Transactions, first, second, Lane::Background]
        } else {
            [first, second, Lane::Transactions, Lane::Background]
        }
    }

    /// Passes the turn to the other lanes after a request of `lane` is sent.
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

    /// Takes the tokens that a request costs from the buckets, and returns the request.
    fn spend(&mut self, queued: Queued<T>) -> T {
        self.requests.tokens -= 1.0;
        self.changes.tokens -= f64::from(queued.change_count);
        queued.request
    }

    /// Returns the estimated wait of a further user change behind the queued requests, with the other lanes taking
    /// their turns.
    pub fn change_wait(&self) -> Micros {
        let changes = &self.lanes[Lane::Changes as usize];
        let transactions = &self.lanes[Lane::Transactions as usize];
        let in_between = transactions.iter().take(changes.len() + 1);
        let ahead = self.renewals.iter().chain(changes).chain(in_between);
        let change_count: f64 = ahead.map(|queued| f64::from(queued.change_count)).sum();
        let wait_for_change_tokens = self.changes.time_until(change_count);
        self.lane_wait(Lane::Changes).max(wait_for_change_tokens)
    }

    /// Returns the estimated wait of a further user query. Changes that wait for change tokens do not delay the query.
    pub fn query_wait(&self) -> Micros {
        self.lane_wait(Lane::Queries)
    }

    /// Returns the time until a further request of `lane` would be sent after all requests queued in the lane. The
    /// estimate takes only the request rate into account.
    fn lane_wait(&self, lane: Lane) -> Micros {
        let length = |lane: Lane| self.lanes[lane as usize].len();
        let own = length(lane);
        let others = ROUND_ROBIN_LANES.into_iter().filter(|other| *other != lane);
        let in_between: usize = others.map(|other| length(other).min(own + 1)).sum();
        let ahead = self.renewals.len() + own + in_between;
        self.requests.time_until(ahead as f64)
    }

    /// Returns the number of queued requests.
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
