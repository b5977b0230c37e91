//! Who holds the blocks other than 0: looking for those that nobody holds, taking them in turn, and handing back what
//! a sibling was lost with.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use super::election::Candidacy;
use super::membership::Standing;
use super::outbox::{PROBE_EVERY, Port, Purpose, read};
use super::shard_owner::{Holder, Holders};
use crate::model::{Micros, SECOND};
use crate::wire::budget::Urgency;
use crate::wire::peer::{Body, Marks};
use crate::wire::store::{
    self, COUNT, Commit, Granted, LEAD, LeadRecord, Listing, SEAT, StoreRequest, TERM, seat_keys,
};

/// Where one block is enough, others that are left over are looked for this often.
const LEFT_OVER: Micros = 5 * SECOND;
/// A block that nobody holds is left to those before this controller for so long, each.
const TURN: Micros = 700_000;
/// A block is handed to the sibling whose turn is first once that has been heard for so long.
const SETTLED_IN: Micros = 8 * SECOND;
/// Not more than one block is handed on in this time: a sibling may not be able to take it.
const HAND_EVERY: Micros = 30 * SECOND;
/// Who handed a block on does not take it back for so long.
const ABSTAIN: Micros = 6 * SECOND;

#[derive(Debug)]
pub(super) struct Seat {
    pub candidacy: Candidacy,
    free_since: Option<Micros>,
}

#[derive(Debug, Default)]
pub(super) struct Seats {
    pub seats: BTreeMap<u32, Seat>,
    probing: bool,
    probe_at: Micros,
    /// Since when each sibling has been heard without a pause.
    steady: Vec<Option<Micros>>,
    /// When a block was last handed on.
    handed_at: Option<Micros>,
    /// Keys that make no sense, told of once.
    odd: BTreeSet<String>,
}

impl Seats {
    fn seat(&mut self, port: &Port, block: u32) -> &mut Seat {
        let new = || Seat {
            candidacy: Candidacy::new(&port.settings.name, port.clock.now),
            free_since: None,
        };
        self.seats.entry(block).or_insert_with(new)
    }

    /// This controller's place among those that are heard, in the order in which they take a block: those that hold
    /// the fewest first, and among them each block begins with another.
    fn place(port: &Port, standing: &Standing, holders: &Holders, block: u32) -> usize {
        let siblings = port.settings.siblings.iter().enumerate();
        let heard = siblings.filter(|(i, _)| standing.heard(port, *i));
        let mut all: Vec<(usize, &str)> = heard
            .map(|(i, s)| (standing.siblings[i].loads.len(), &*s.name))
            .collect();
        let own = (holders.len(), &*port.settings.name);
        all.push(own);
        all.sort_unstable_by_key(|c| c.1);
        let first = block as usize % all.len();
        all.rotate_left(first);
        all.sort_by_key(|c| c.0);
        all.iter().position(|c| *c == own).unwrap_or(0)
    }

    /// Looks for blocks that nobody holds, and takes those whose turn it is.
    pub fn tick(&mut self, port: &mut Port, standing: &Standing, holders: &Holders) {
        if !port.several {
            return;
        }
        let now = port.clock.now;
        self.steady.resize(standing.siblings.len(), None);
        for i in 0..self.steady.len() {
            let heard = standing.heard(port, i);
            self.steady[i] = self.steady[i].or(Some(now)).filter(|_| heard);
        }
        if !self.probing && now >= self.probe_at {
            self.probing = true;
            self.probe_at = now
                + if self.seats.is_empty() {
                    LEFT_OVER
                } else {
                    PROBE_EVERY
                };
            port.send(
                Urgency::Renewal,
                StoreRequest::list(SEAT, ""),
                Purpose::Seats,
            );
        }
        for block in 1..port.blocks() {
            self.seat(port, block);
        }
        let led = holders.contains_key(&0) || standing.leader(port).is_some();
        for (block, seat) in &mut self.seats {
            if let Some(term) = seat.candidacy.asks_marks(now) {
                let ask = Marks {
                    term,
                    life: standing.life,
                    block: *block,
                };
                let all = 0..standing.siblings.len();
                all.for_each(|i| port.say(i, Body::MarksAsk(ask.clone())));
            }
            if let Some(grant) = seat.candidacy.drop_again(now) {
                port.drop_grant(*block, grant);
            }
            // Only what its settings or its record speak of is taken, and only where somebody gives out machines.
            let exists = *block < port.blocks() || seat.candidacy.known();
            let free = exists && led && !holders.contains_key(block);
            if !free || port.flavors.is_empty() || !seat.candidacy.may_try(now) {
                seat.free_since = None;
                continue;
            }
            let since = *seat.free_since.get_or_insert(now);
            let place = Seats::place(port, standing, holders, *block);
            if now >= since + TURN * place as Micros {
                seat.candidacy.trying = true;
                let purpose = Purpose::SeatGrant {
                    block: *block,
                    sent: now,
                };
                port.send(Urgency::Renewal, StoreRequest::grant(port.ttl()), purpose);
            }
        }
    }

    /// A block to hand on: while this controller holds several, and one that is up for a while and reaches the state
    /// service holds none. That one takes it, since its turn is first.
    pub fn hands_over(&self, port: &Port, standing: &Standing, holders: &Holders) -> Option<u32> {
        let now = port.clock.now;
        if self.handed_at.is_some_and(|t| now < t + HAND_EVERY) {
            return None;
        }
        let idle = (0..standing.siblings.len()).any(|i| {
            let steady = self.steady.get(i).copied().flatten();
            let sibling = &standing.siblings[i];
            steady.is_some_and(|t| now > t + SETTLED_IN)
                && sibling.state_ok
                && sibling.leading == 0
                && sibling.loads.is_empty()
        });
        let ready = |h: &Holder| h.loaded() && h.cluster.settled;
        let mut held = holders
            .iter()
            .filter(|(b, h)| **b > 0 && ready(h))
            .map(|(b, _)| *b);
        held.next().filter(|_| idle && holders.len() > 1)
    }

    /// This controller does not hold the block any more. `handed`: a sibling is to take it; `deaf`: it heard nobody.
    pub fn left(&mut self, port: &mut Port, block: u32, grant: u64, handed: bool, deaf: bool) {
        let now = port.clock.now;
        if handed {
            self.handed_at = Some(now);
        }
        let seat = self.seat(port, block);
        if handed || deaf {
            seat.candidacy.abstain(now + ABSTAIN);
        }
        self.probe_at = now;
        port.drop_grant(block, grant);
    }

    pub fn probed(&mut self, port: &Port, answer: Option<(u16, Bytes)>) {
        self.probing = false;
        let Some(listing) = read::<Listing>(answer) else {
            return;
        };
        type Seen = Option<(LeadRecord, u64)>;
        let mut seen: BTreeMap<u32, (Seen, Seen)> = BTreeMap::new();
        for item in &listing.items {
            let key = item.k.strip_prefix(SEAT).and_then(|k| k.split_once('/'));
            let Some((block, what)) = key.and_then(|(b, w)| Some((b.parse::<u32>().ok()?, w)))
            else {
                if self.odd.insert(item.k.clone()) {
                    tracing::error!(key = %item.k, "no block's");
                }
                continue;
            };
            let Some(record) = item.record::<LeadRecord>().filter(|_| block > 0) else {
                continue;
            };
            let (holder, term) = seen.entry(block).or_default();
            match what {
                "holder" => *holder = Some((record, item.stamp)),
                "term" => *term = Some((record, item.stamp)),
                _ => {}
            }
        }
        for block in self
            .seats
            .keys()
            .chain(seen.keys())
            .copied()
            .collect::<Vec<_>>()
        {
            let (holder, term) = seen.get(&block).cloned().unwrap_or_default();
            self.seat(port, block).candidacy.saw(holder, term);
        }
    }

    /// A grant to take a block with. The terms there are, are read once more: one counter serves all blocks.
    pub fn granted(
        &mut self,
        port: &mut Port,
        block: u32,
        sent: Micros,
        answer: Option<(u16, Bytes)>,
    ) {
        let granted = read::<Granted>(answer);
        let seat = self.seat(port, block);
        let Some(granted) = granted else {
            seat.candidacy.trying = false;
            return;
        };
        let purpose = Purpose::SeatTerms {
            block,
            grant: granted.permit,
            sent,
        };
        port.send(Urgency::Renewal, StoreRequest::list(LEAD, ""), purpose);
    }

    pub fn terms_read(
        &mut self,
        port: &mut Port,
        block: u32,
        grant: u64,
        sent: Micros,
        answer: Option<(u16, Bytes)>,
    ) {
        let listing = read::<Listing>(answer);
        let now = port.clock.now;
        let name = port.settings.name.clone();
        let candidacy = &mut self.seat(port, block).candidacy;
        let Some(listing) = listing.filter(|_| candidacy.still_may(now)) else {
            candidacy.trying = false;
            return port.drop_grant(block, grant);
        };
        let find = |key: &str| {
            let item = listing.items.iter().find(|i| i.k == key);
            item.and_then(|i| Some((i.record::<LeadRecord>()?.term, i.stamp)))
                .unwrap_or((0, 0))
        };
        let (lead, count) = (find(TERM), find(COUNT));
        let (holder, term, last) = candidacy.versions();
        let marked = candidacy.trusts();
        let next = lead.0.max(count.0).max(last) + 1;
        let record = LeadRecord {
            holder: name,
            term: next,
            marked,
        };
        let keys = seat_keys(block);
        let mut commit = Commit::default();
        commit.guard(&keys.0, holder);
        commit.guard(&keys.1, term);
        commit.guard(TERM, lead.1);
        commit.guard(COUNT, count.1);
        commit.put(&keys.0, store::raw(&record), Some(grant));
        commit.put(&keys.1, store::raw(&record), None);
        commit.put(COUNT, store::raw(&record), None);
        let purpose = Purpose::SeatTake {
            block,
            record,
            grant,
            sent,
        };
        port.send(Urgency::Renewal, commit.request(), purpose);
    }

    /// A block was not taken, or nothing is known of it.
    pub fn not_taken(&mut self, port: &mut Port, block: u32, grant: u64, answer: Option<u16>) {
        let now = port.clock.now;
        self.seat(port, block)
            .candidacy
            .not_taken(grant, answer, now);
        self.probe_at = now;
        port.drop_grant(block, grant);
    }
}
