//! Routes messages of peers to the parts of the controller that handle them.

use super::Controller;
use super::election::Election;
use super::load_messages::decode_offer;
use super::membership::Membership;
use crate::model::{MILLISECOND, Micros, SECOND, is_valid_job_id};
use crate::state::fleet::Offer;
use crate::wire::peer::{
    Body, Envelope, Heartbeat, OfferAmount, UsageRecords, UsageRecordsRequest, Vote, VoteRequest,
    WatermarkCheck,
};
use crate::wire::store;

/// Maximum time that a message may take, beyond the possible offset between the clocks, and still count as sent
/// without delay.
const MESSAGE_DELAY_TOLERANCE: Micros = SECOND;

impl Controller {
    /// Handles a message. A message of an unknown sender is dropped.
    pub(super) fn handle_peer_message(&mut self, message: Envelope) {
        let now = self.outbox.clock.now;
        let mut peers = self.outbox.settings.peers.iter();
        let Some(peer) = peers.position(|peer| peer.name == message.from) else {
            tracing::info!(from = %message.from, "dropped message from unknown sender");
            return;
        };
        self.membership.peers[peer].last_heard_at = Some(now);
        for owner in self.shard_owners.values_mut() {
            owner.last_heard_at = Some(now);
        }
        match message.body {
            Some(Body::Heartbeat(heartbeat)) => self.handle_peer_heartbeat(peer, heartbeat),
            Some(Body::RelayHeartbeat(relay)) => self.handle_relay(peer, relay),
            Some(Body::RelayAnswer(answer)) => self.handle_relay_answer(peer, answer),
            Some(Body::VoteRequest(request)) => self.handle_vote_request(peer, &request),
            Some(Body::Vote(vote)) => self.handle_vote(peer, &vote),
            Some(Body::JobChanged(change)) if is_valid_job_id(&change.job) => {
                self.handle_job_change(peer, &change);
            }
            Some(Body::CancellationApplied(applied)) => {
                self.handle_applied_cancellation(&applied);
            }
            Some(Body::UsageRecords(records)) => self.handle_usage_records(peer, records),
            Some(Body::UsageRecordsRequest(request)) => self.resend_usage(peer, &request),
            Some(Body::WatermarkQuery(query)) => self.handle_watermark_query(peer, query),
            Some(Body::WatermarkConfirmation(confirmation)) => {
                self.handle_watermark_confirmation(&confirmation);
            }
            Some(Body::JobChanged(_)) | None => {}
        }
    }

    fn handle_peer_heartbeat(&mut self, peer: usize, heartbeat: Heartbeat) {
        let now = self.outbox.clock.now;
        self.usage_replica.leader_heard(heartbeat.leading_term, now);
        if heartbeat.leading_term > 0 {
            let machine_types = &self.outbox.machine_types;
            let decode = |amount: &OfferAmount| {
                let offer = decode_offer(machine_types, amount)?;
                Some((offer, amount.amount * MILLISECOND))
            };
            let refused = heartbeat.refused_offers.iter().filter_map(decode);
            let refused: Vec<(Offer, Micros)> = refused.collect();
            let owners = self.shard_owners.values_mut();
            for owner in owners.filter(|owner| owner.lease.shard > 0) {
                owner.cluster.apply_refused_offers(refused.clone(), now);
            }
        }
        self.membership
            .handle_heartbeat(&mut self.outbox, peer, heartbeat);
    }

    // ---- Votes ----

    /// Returns this controller's eligibility to own a shard, if the shard is known here.
    pub(super) fn election_mut(&mut self, shard: u32) -> Option<&mut Election> {
        match shard {
            0 => Some(&mut self.membership.election),
            shard => self.shard_assignments.election_mut(shard),
        }
    }

    fn handle_vote_request(&mut self, peer: usize, request: &VoteRequest) {
        if self.shard_owners.contains_key(&request.shard) {
            return;
        }
        let election = match request.shard {
            0 => Some(&mut self.membership.election),
            shard => self.shard_assignments.election_mut(shard),
        };
        if let Some(election) = election {
            let (outbox, replica) = (&mut self.outbox, &self.job_api.job_replica);
            Membership::handle_vote_request(outbox, election, replica, peer, request);
        }
    }

    /// Handles a vote of a peer for this controller as a shard owner. The vote also carries the cancellations that
    /// the peer knows of.
    fn handle_vote(&mut self, peer: usize, vote: &Vote) {
        let now = self.outbox.clock.now;
        let owner = self.shard_owners.get_mut(&vote.shard);
        let Some(owner) = owner.filter(|owner| owner.lease.term == vote.term) else {
            return;
        };
        let cancelled = store::decode_job_ids(&vote.cancelled_jobs);
        // A vote does not tell in which versions the cancellations were stored.
        for job in &cancelled {
            owner.cluster.apply_remote_cancellation(job, u64::MAX, now);
        }
        // A configuration version newer than the one known here cannot be read now. Nothing is started until it can
        // be read.
        self.outbox
            .configuration
            .record_peer_version(vote.configuration_version);
        // A vote that cannot be parsed in full gives no certainty about cancellations.
        let is_whole = cancelled.len() == vote.cancelled_count as usize;
        if vote.knows_cancellations
            && is_whole
            && let Some(at) = owner.lease.validity.record_informed_voter(vote.round, peer)
        {
            // The cancellations of this controller's own users are among those that its replica knows of.
            let replica = &self.job_api.job_replica;
            for job in replica.cancelled_since(owner.watched_version) {
                owner.cluster.apply_remote_cancellation(job, u64::MAX, now);
            }
            owner.record_cancellations_known(at);
            self.outbox.configuration.confirm_newest(at);
        }
        let validity = &mut owner.lease.validity;
        validity.record_vote(vote.round, peer, now);
        if validity.was_extended_by_votes() {
            owner.cluster.watermarks.not_required = true;
            if let Some(election) = self.election_mut(vote.shard) {
                election.record_launch_without_watermarks(vote.term);
            }
        }
        if !is_whole {
            self.log_malformed_vote(peer, vote, cancelled.len());
        }
    }

    /// Logs, once for each peer, that a vote could not be parsed in full.
    fn log_malformed_vote(&mut self, peer: usize, vote: &Vote, parsed: usize) {
        let status = &mut self.membership.peers[peer];
        if !std::mem::replace(&mut status.malformed_vote_logged, true) {
            let from = &self.outbox.settings.peers[peer].name;
            let sent = vote.cancelled_count;
            tracing::warn!(%from, sent, parsed, "cannot parse all cancelled jobs of a vote");
        }
    }

    // ---- Launch watermarks ----

    fn handle_watermark_query(&mut self, peer: usize, query: WatermarkCheck) {
        let owner = self.shard_owners.get(&query.shard).map(|owner| &**owner);
        let election = match query.shard {
            0 => Some(&self.membership.election),
            shard => self.shard_assignments.election(shard),
        };
        if let Some(election) = election {
            Membership::handle_watermark_query(&mut self.outbox, election, peer, query, owner);
        }
    }

    fn handle_watermark_confirmation(&mut self, confirmation: &WatermarkCheck) {
        // A confirmation for an earlier process of the same name proves nothing about the votes of this process.
        if confirmation.incarnation != self.membership.incarnation {
            return;
        }
        if let Some(election) = self.election_mut(confirmation.shard) {
            election.confirm_watermarks(confirmation.term);
        }
    }

    // ---- Usage that is not charged yet ----

    /// Handles usage records that the leader has not charged yet. If some records are missing, all records are
    /// requested.
    fn handle_usage_records(&mut self, peer: usize, records: UsageRecords) {
        let outbox = &mut self.outbox;
        let Some(ledger) = &outbox.settings.ledger else {
            return;
        };
        // The possible offset between two clocks does not count as a delay.
        let tolerance = ledger.settings.max_clock_offset + MESSAGE_DELAY_TOLERANCE;
        let age = outbox.clock.unix_time.saturating_sub(records.sent_at);
        let delay = if age > tolerance { age } else { 0 };
        let term = records.term;
        if !self.shard_owners.contains_key(&0)
            && self.usage_replica.apply(records, outbox.clock.now, delay)
        {
            let request = UsageRecordsRequest { term };
            outbox.send_to_peer(peer, Body::UsageRecordsRequest(request));
        }
    }

    /// Sends all usage records again to a peer that has missed some of them.
    fn resend_usage(&mut self, peer: usize, request: &UsageRecordsRequest) {
        if let Some(owner) = Controller::owner_of_term(&mut self.shard_owners, request.term) {
            owner.cluster.resend_all_usage(peer);
        }
    }
}
