//! Where this controller stands among its siblings: whom it hears, who leads, and its own chances of leading.

use std::collections::HashMap;

use bytes::Bytes;

use super::holder::Holder;
use super::leadership::{Candidacy, PROMISE};
use super::port::{PROBE_EVERY, Port, Purpose};
use crate::model::{Micros, SECOND};
use crate::wire::peer::{Body, Heartbeat, Marks, Promise, PromiseAsk};
use crate::wire::store::{
    self, Commit, Granted, HOLDER, LEAD, LeadRecord, Listing, StoreRequest, TERM, Urgency,
};

const BEAT_EVERY: Micros = 500_000;
/// A sibling that was not heard for this long does not count as reachable.
const HEARD: Micros = 1_800_000;
/// One that heard nobody does not lead for this long.
const ABSTAIN: Micros = 12 * SECOND;

#[derive(Debug, Default, Clone)]
pub(super) struct SiblingView {
    pub heard_at: Option<Micros>,
    pub leading: u64,
    pub state_ok: bool,
    pub takes_reports: bool,
}

pub(super) struct Standing {
    pub candidacy: Candidacy,
    /// Tells this process from an earlier one of the same name.
    life: u64,
    pub siblings: Vec<SiblingView>,
    /// Tasks on machines and done, by job, as the leader last told.
    running: HashMap<String, (u32, u32)>,
    probing: bool,
    probe_at: Micros,
    beat_at: Micros,
}

impl Standing {
    pub fn new(port: &Port) -> Standing {
        Standing {
            candidacy: Candidacy::new(&port.settings.name, port.clock.now),
            life: port.clock.wall,
            siblings: vec![SiblingView::default(); port.settings.siblings.len()],
            running: HashMap::new(),
            probing: false,
            probe_at: 0,
            beat_at: 0,
        }
    }

    pub(super) fn heard(&self, port: &Port, i: usize) -> bool {
        self.siblings[i].heard_at.is_some_and(|t| port.clock.now < t + HEARD)
    }

    /// The sibling that says it leads, and can be heard.
    pub(super) fn leader(&self, port: &Port) -> Option<usize> {
        (0..self.siblings.len())
            .filter(|&i| self.heard(port, i) && self.siblings[i].leading > 0)
            .max_by_key(|&i| self.siblings[i].leading)
    }

    pub(super) fn healthy(&self, port: &Port) -> bool {
        if port.flavors.is_empty() {
            return false;
        }
        // In an outage that everybody sees, users are better told so than turned away; a
        // controller that alone is cut off from the state service must not take requests.
        let others = || (0..self.siblings.len()).filter(|&i| self.heard(port, i));
        port.state_ok() || (others().count() > 0 && others().all(|i| !self.siblings[i].state_ok))
    }

    pub(super) fn probed(&mut self, answer: Option<(u16, Bytes)>) {
        self.probing = false;
        let listing = answer
            .filter(|a| a.0 == 200)
            .and_then(|a| serde_json::from_slice::<Listing>(&a.1).ok());
        let Some(listing) = listing else { return };
        let mut holder = None;
        let mut term = None;
        for item in &listing.items {
            let Some(record) = item.record::<LeadRecord>() else { return };
            match item.k.as_str() {
                HOLDER => holder = Some((record, item.stamp)),
                TERM => term = Some((record, item.stamp)),
                _ => {}
            }
        }
        self.candidacy.saw(holder, term);
    }

    pub(super) fn granted(&mut self, port: &mut Port, sent: Micros, answer: Option<(u16, Bytes)>) {
        let granted = answer
            .filter(|a| a.0 == 200)
            .and_then(|a| serde_json::from_slice::<Granted>(&a.1).ok());
        let Some(granted) = granted else {
            self.candidacy.trying = false;
            return;
        };
        if !self.candidacy.still_may(port.clock.now) {
            self.candidacy.trying = false;
            let request = StoreRequest::drop_grant(granted.permit);
            return port.send(Urgency::Renewal, request, Purpose::DropGrant);
        }
        let (holder, term, last) = self.candidacy.versions();
        // What this leader knows of marks, its own successor will: if it does not go by them, nobody is to until
        // it has covered all that it finds.
        let marked = self.candidacy.trusts();
        let record = LeadRecord { holder: port.settings.name.clone(), term: last + 1, marked };
        let mut commit = Commit::default();
        commit.guard(HOLDER, holder);
        commit.guard(TERM, term);
        commit.put(HOLDER, store::raw(&record), Some(granted.permit));
        commit.put(TERM, store::raw(&record), None);
        let purpose = Purpose::Takeover { record, grant: granted.permit, sent };
        port.send(Urgency::Renewal, commit.request(), purpose);
    }

    /// Tells all siblings how it stands, every so often. True: it was time to.
    pub fn beat(&mut self, port: &mut Port, holder: Option<&Holder>) -> bool {
        let now = port.clock.now;
        if now < self.beat_at {
            return false;
        }
        self.beat_at = now + BEAT_EVERY;
        let beat = Heartbeat {
            leading: holder.map_or(0, |h| h.lease.term),
            state_ok: port.state_ok(),
            takes_reports: holder.is_some() || self.leader(port).is_some(),
            running: holder.map_or_else(Vec::new, Holder::running),
        };
        for i in 0..self.siblings.len() {
            port.say(i, Body::Heartbeat(beat.clone()));
        }
        true
    }

    /// All siblings are to be told without delay.
    pub fn beat_soon(&mut self, now: Micros) {
        self.beat_at = now;
    }

    /// Tasks on machines and done, by job, as the leader told, if that can be heard.
    pub fn progress(&self, port: &Port) -> Option<&HashMap<String, (u32, u32)>> {
        self.leader(port).map(|_| &self.running)
    }

    /// A sibling to send a worker to that this controller cannot help.
    pub fn helper(&self, port: &Port) -> Option<usize> {
        let helps = |i: &usize| self.heard(port, *i) && self.siblings[*i].takes_reports;
        (0..self.siblings.len()).find(helps)
    }

    /// Looks who leads, and tries to, if nobody does.
    pub fn tick(&mut self, port: &mut Port) {
        let now = port.clock.now;
        if let Some(term) = self.candidacy.asks_marks(now) {
            let ask = Marks { term, life: self.life };
            (0..self.siblings.len()).for_each(|i| port.say(i, Body::MarksAsk(ask.clone())));
        }
        if !self.probing && now >= self.probe_at {
            self.probing = true;
            self.probe_at = now + PROBE_EVERY;
            port.send(Urgency::Renewal, StoreRequest::list(LEAD, ""), Purpose::Probe);
        }
        if !port.flavors.is_empty() && self.candidacy.may_try(now) {
            self.candidacy.trying = true;
            let request = StoreRequest::grant(port.ttl());
            port.send(Urgency::Renewal, request, Purpose::Grant { sent: now });
        }
    }

    /// A takeover was not carried out, or nothing is known of it.
    pub fn not_taken(&mut self, port: &mut Port, grant: u64, answer: Option<u16>) {
        if !matches!(answer, Some(400 | 409 | 429 | 503)) {
            // It may still be carried out; until the grant is known to be gone, nobody gets
            // a promise from here.
            self.candidacy.unsure();
        }
        self.probe_at = port.clock.now;
        port.send(Urgency::Renewal, StoreRequest::drop_grant(grant), Purpose::DropGrant);
    }

    /// It led, and gives its grant back. `deaf`: since it heard nobody.
    pub fn stepped_down(&mut self, port: &mut Port, grant: u64, deaf: bool) {
        let now = port.clock.now;
        if deaf {
            self.candidacy.abstain(now + ABSTAIN);
        }
        port.send(Urgency::Renewal, StoreRequest::drop_grant(grant), Purpose::DropGrant);
        self.probe_at = now;
    }

    pub fn beaten(&mut self, i: usize, beat: Heartbeat) {
        let sibling = &mut self.siblings[i];
        sibling.leading = beat.leading;
        sibling.state_ok = beat.state_ok;
        sibling.takes_reports = beat.takes_reports;
        if beat.leading > 0 {
            self.running = beat.running.into_iter().map(|r| (r.job, (r.tasks, r.done))).collect();
        }
    }

    /// A sibling asks not to be replaced for a while. Only an outage that this controller sees too is a reason.
    pub fn promise_asked(&mut self, port: &mut Port, i: usize, ask: &PromiseAsk, leads: bool) {
        let micros = ask.micros.min(PROMISE);
        let sees = !port.state_ok() && !leads;
        if sees && self.candidacy.promise(ask.term, port.clock.now, micros) {
            port.say(i, Body::Promise(Promise { round: ask.round, term: ask.term }));
        }
    }

    /// A sibling that began within a term asks whether its marks hold.
    pub fn marks_asked(&self, port: &mut Port, i: usize, ask: Marks, holder: Option<&Holder>) {
        let leads = holder.filter(|h| h.lease.term == ask.term);
        let holds = match leads {
            Some(holder) => !holder.cluster.unmarked,
            None => self.candidacy.knows_marks(ask.term),
        };
        if holds {
            port.say(i, Body::MarksHold(ask));
        }
    }

    pub fn marks_told(&mut self, told: &Marks) {
        if told.life == self.life {
            self.candidacy.marks_hold(told.term);
        }
    }
}
