//! Where this controller stands among its siblings: whom it hears, who leads, and its own chances of leading.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;

use super::election::{Candidacy, PROMISE};
use super::outbox::{PROBE_EVERY, Port, Purpose, read};
use super::shard_owner::{Holder, Holders};
use crate::model::{JobId, MachineType, Micros, Resources, SECOND};
use crate::state::fleet::Offer;
use crate::state::job_replica::JobReplica;
use crate::state::shard_load::ShardLoad;
use crate::wire::budget::Urgency;
use crate::wire::peer::{
    BlockTold, Body, Heartbeat, Marks, OfferTold, Promise, PromiseAsk, TeamTold,
};
use crate::wire::store::{
    self, COUNT, Commit, Granted, HOLDER, LEAD, LeadRecord, Listing, StoreRequest, TERM,
};

const BEAT_EVERY: Micros = 500_000;
/// A sibling that was not heard for this long does not count as reachable.
const HEARD: Micros = 1_800_000;
/// One that heard nobody does not lead for this long.
const ABSTAIN: Micros = 12 * SECOND;
/// Cancellations that one promise tells of: so many fit into a message. With more, it does not claim to tell all.
const MOST_TOLD: usize = 10_000;

#[derive(Debug, Default, Clone)]
pub(super) struct SiblingView {
    pub heard_at: Option<Micros>,
    pub leading: u64,
    pub state_ok: bool,
    pub takes_reports: bool,
    /// Tasks on machines and done, by job, as it last told.
    running: HashMap<String, (u32, u32)>,
    /// How the blocks stand that it holds.
    pub loads: Vec<ShardLoad>,
    /// The version of the configuration in force there; `None`: it is of a release that knows of none.
    pub configuration: Option<u64>,
    /// It has promised something that makes no sense, and that was logged.
    pub odd: bool,
}

pub(super) struct Standing {
    pub candidacy: Candidacy,
    /// Tells this process from an earlier one of the same name.
    pub life: u64,
    pub siblings: Vec<SiblingView>,
    /// How its own blocks stood when it last told.
    own: Vec<ShardLoad>,
    /// The highest term of any block, where there are several.
    count: Option<(LeadRecord, u64)>,
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
            own: Vec::new(),
            count: None,
            probing: false,
            probe_at: 0,
            beat_at: 0,
        }
    }

    pub(super) fn heard(&self, port: &Port, i: usize) -> bool {
        self.siblings[i]
            .heard_at
            .is_some_and(|t| port.clock.now < t + HEARD)
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

    pub(super) fn probed(&mut self, port: &mut Port, answer: Option<(u16, Bytes)>) {
        self.probing = false;
        let listing = read::<Listing>(answer);
        let Some(listing) = listing else { return };
        let mut holder = None;
        let (mut term, mut count) = (None, None);
        for item in &listing.items {
            let Some(record) = item.record::<LeadRecord>() else {
                return;
            };
            match item.k.as_str() {
                COUNT => count = Some((record, item.stamp)),
                HOLDER => holder = Some((record, item.stamp)),
                TERM => term = Some((record, item.stamp)),
                _ => {}
            }
        }
        self.candidacy.saw(holder, term);
        port.several |= count.is_some();
        self.count = count;
    }

    pub(super) fn granted(&mut self, port: &mut Port, sent: Micros, answer: Option<(u16, Bytes)>) {
        let granted = read::<Granted>(answer);
        let Some(granted) = granted else {
            self.candidacy.trying = false;
            return;
        };
        if !self.candidacy.still_may(port.clock.now) {
            self.candidacy.trying = false;
            return port.drop_grant(0, granted.permit);
        }
        let (holder, term, last) = self.candidacy.versions();
        // What this leader knows of marks, its own successor will: if it does not go by them, nobody is to until
        // it has covered all that it finds.
        let marked = self.candidacy.trusts();
        let counted = self.count.as_ref().map_or(0, |c| c.0.term);
        let next = last.max(counted) + 1;
        let record = LeadRecord {
            holder: port.settings.name.clone(),
            term: next,
            marked,
        };
        let mut commit = Commit::default();
        commit.guard(HOLDER, holder);
        commit.guard(TERM, term);
        commit.guard(COUNT, self.count.as_ref().map_or(0, |c| c.1));
        if self.count.is_some() {
            commit.put(COUNT, store::raw(&record), None);
        }
        commit.put(HOLDER, store::raw(&record), Some(granted.permit));
        commit.put(TERM, store::raw(&record), None);
        let purpose = Purpose::Takeover {
            record,
            grant: granted.permit,
            sent,
        };
        port.send(Urgency::Renewal, commit.request(), purpose);
    }

    /// Tells all siblings how it stands, every so often. True: it was time to.
    pub fn beat(&mut self, port: &mut Port, holders: &Holders) -> bool {
        let now = port.clock.now;
        if now < self.beat_at {
            return false;
        }
        self.beat_at = now + BEAT_EVERY;
        let leader = holders.get(&0);
        let several = port.several;
        let own: Vec<ShardLoad> = holders
            .values()
            .filter(|_| several)
            .map(|h| h.cluster.shard_load())
            .collect();
        let refused = leader
            .filter(|_| several)
            .map(|h| h.cluster.refused_offers());
        let flavors = &port.flavors;
        let refused = refused
            .into_iter()
            .flatten()
            .map(|(o, left)| told(flavors, &o, left / 1000));
        let beat = Heartbeat {
            leading: leader.map_or(0, |h| h.lease.term),
            state_ok: port.state_ok(),
            takes_reports: leader.is_some() || self.leader(port).is_some(),
            running: holders.values().flat_map(|h| h.running()).collect(),
            blocks: own.iter().map(|l| tell(flavors, l)).collect(),
            refused: refused.collect(),
            configurable: true,
            configuration: port.configuring.version(),
            newest_configuration: port.configuring.newest(),
        };
        self.own = own;
        for i in 0..self.siblings.len() {
            port.say(i, Body::Heartbeat(beat.clone()));
        }
        true
    }

    /// When it has something to say or to ask next.
    pub fn due(&self) -> Micros {
        if self.probing {
            self.beat_at
        } else {
            self.beat_at.min(self.probe_at)
        }
    }

    /// All siblings are to be told without delay.
    pub fn beat_soon(&mut self, now: Micros) {
        self.beat_at = now;
    }

    /// Tasks on machines and done, by job, as each holder that is heard told.
    pub fn running<'a>(&'a self, port: &Port) -> Vec<&'a HashMap<String, (u32, u32)>> {
        let heard = (0..self.siblings.len()).filter(|i| self.heard(port, *i));
        heard.map(|i| &self.siblings[i].running).collect()
    }

    /// How all blocks stand whose holders are heard; of one that two say they hold, as the newer says.
    pub fn loads(&self, port: &Port) -> Vec<ShardLoad> {
        let heard = (0..self.siblings.len()).filter(|i| self.heard(port, *i));
        let all = heard.flat_map(|i| &self.siblings[i].loads).chain(&self.own);
        let mut loads: BTreeMap<u32, ShardLoad> = BTreeMap::new();
        for load in all {
            let newer = loads.get(&load.shard).is_none_or(|l| l.term < load.term);
            if newer {
                loads.insert(load.shard, load.clone());
            }
        }
        loads.into_values().collect()
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
            let ask = Marks {
                term,
                life: self.life,
                block: 0,
            };
            (0..self.siblings.len()).for_each(|i| port.say(i, Body::MarksAsk(ask.clone())));
        }
        if !self.probing && now >= self.probe_at {
            self.probing = true;
            self.probe_at = now + PROBE_EVERY;
            port.send(
                Urgency::Renewal,
                StoreRequest::list(LEAD, ""),
                Purpose::Probe,
            );
        }
        if let Some(grant) = self.candidacy.drop_again(now) {
            port.drop_grant(0, grant);
        }
        if !port.flavors.is_empty() && self.candidacy.may_try(now) {
            self.candidacy.trying = true;
            let request = StoreRequest::grant(port.ttl());
            port.send(Urgency::Renewal, request, Purpose::Grant { sent: now });
        }
    }

    /// A takeover was not carried out, or nothing is known of it.
    pub fn not_taken(&mut self, port: &mut Port, grant: u64, answer: Option<u16>) {
        self.candidacy.not_taken(grant, answer, port.clock.now);
        self.probe_at = port.clock.now;
        port.drop_grant(0, grant);
    }

    /// It led, and gives its grant back. `deaf`: since it heard nobody.
    pub fn stepped_down(&mut self, port: &mut Port, grant: u64, deaf: bool) {
        let now = port.clock.now;
        if deaf {
            self.candidacy.abstain(now + ABSTAIN);
        }
        port.drop_grant(0, grant);
        self.probe_at = now;
    }

    pub fn beaten(&mut self, port: &mut Port, i: usize, beat: Heartbeat) {
        port.several |= !beat.blocks.is_empty();
        let sibling = &mut self.siblings[i];
        sibling.loads = beat
            .blocks
            .iter()
            .map(|b| load_of(&port.flavors, b, i))
            .collect();
        sibling.leading = beat.leading;
        sibling.configuration = beat.configurable.then_some(beat.configuration);
        port.configuring.told(beat.newest_configuration);
        sibling.state_ok = beat.state_ok;
        sibling.takes_reports = beat.takes_reports;
        let running = beat.running.into_iter();
        sibling.running = running.map(|r| (r.job, (r.tasks, r.done))).collect();
    }

    /// A sibling asks not to be replaced for a while. Only an outage that this controller sees too is a reason.
    /// With the promise goes every cancellation that this controller knows of and the sibling may not: whom it carries
    /// through an outage has to act on them.
    pub fn promise_asked(
        port: &mut Port,
        candidacy: &mut Candidacy,
        copy: &JobReplica,
        i: usize,
        ask: &PromiseAsk,
    ) {
        let micros = ask.micros.min(PROMISE);
        if port.state_fails() && candidacy.promise(ask.term, port.clock.now, micros) {
            let (round, term, block) = (ask.round, ask.term, ask.block);
            let asked = Some(ask.known).filter(|known| *known > 0);
            let since = asked
                .into_iter()
                .flat_map(|known| copy.cancelled_since(known));
            let mut ids: Vec<JobId> = since.take(MOST_TOLD + 1).cloned().collect();
            let all = ids.len() <= MOST_TOLD;
            ids.truncate(MOST_TOLD);
            ids.sort_unstable();
            ids.dedup();
            // A process that has not read the state does not know what an earlier one of its name has confirmed.
            let knows = asked.is_some() && copy.version().is_some() && all;
            let (count, cancelled) = (ids.len() as u32, store::encode_ids(&ids));
            let configuration = port.configuring.newest();
            let promise = Promise {
                round,
                term,
                block,
                knows,
                cancelled,
                count,
                configuration,
            };
            port.say(i, Body::Promise(promise));
        }
    }

    /// A sibling that began within a term asks whether its marks hold.
    pub fn marks_asked(
        port: &mut Port,
        candidacy: &Candidacy,
        i: usize,
        ask: Marks,
        holder: Option<&Holder>,
    ) {
        let leads = holder.filter(|h| h.lease.term == ask.term);
        let holds = match leads {
            Some(holder) => !holder.cluster.launches_without_watermark,
            None => candidacy.knows_marks(ask.term),
        };
        if holds {
            port.say(i, Body::MarksHold(ask));
        }
    }
}

fn told(flavors: &[MachineType], offer: &Offer, number: u64) -> OfferTold {
    let flavor = flavors
        .get(offer.machine_type)
        .map_or(String::new(), |f| f.name.to_string());
    OfferTold {
        flavor,
        zone: offer.zone.clone(),
        spot: offer.spot,
        number,
    }
}

/// The offer that a sibling means, if its type of machine is known here.
pub(super) fn offer_of(flavors: &[MachineType], told: &OfferTold) -> Option<Offer> {
    let flavor = flavors.iter().position(|f| *f.name == *told.flavor)?;
    Some(Offer {
        machine_type: flavor,
        zone: told.zone.clone(),
        spot: told.spot,
    })
}

fn tell(flavors: &[MachineType], load: &ShardLoad) -> BlockTold {
    let teams = load.teams.iter().map(|(used, waits)| TeamTold {
        used_cpu: used.cpu,
        used_gpu: used.gpu,
        waits_cpu: waits.cpu,
        waits_gpu: waits.gpu,
    });
    let wants = load
        .machine_demand
        .iter()
        .map(|(offer, n)| told(flavors, offer, u64::from(*n)));
    BlockTold {
        block: load.shard,
        term: load.term,
        backlog: load.backlog_cpu,
        waiting: load.waiting_cpu,
        free: load.free_cpu,
        teams: teams.collect(),
        wants: wants.collect(),
    }
}

fn load_of(flavors: &[MachineType], b: &BlockTold, i: usize) -> ShardLoad {
    let amount = |cpu: i64, gpu: i64| Resources {
        cpu: cpu.max(0),
        gpu: gpu.max(0),
        mem: 0,
    };
    let teams = b.teams.iter();
    let teams = teams
        .map(|t| {
            (
                amount(t.used_cpu, t.used_gpu),
                amount(t.waits_cpu, t.waits_gpu),
            )
        })
        .collect();
    let want = |o: &OfferTold| Some((offer_of(flavors, o)?, u32::try_from(o.number).ok()?));
    ShardLoad {
        shard: b.block,
        term: b.term,
        owner: Some(i),
        backlog_cpu: b.backlog,
        waiting_cpu: b.waiting,
        free_cpu: b.free,
        teams,
        machine_demand: b.wants.iter().filter_map(want).collect(),
    }
}

#[cfg(test)]
mod tests;
