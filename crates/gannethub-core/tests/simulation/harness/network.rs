//! Simulated network: HTTP requests to controllers, and messages between controllers.

use super::*;

/// An answer to a relayed heartbeat that launches tasks.
#[derive(Clone)]
pub struct KeptRelayAnswer {
    from: usize,
    to: usize,
    /// Incarnation of the recipient when the answer was sent.
    incarnation: u32,
    /// Number of the relay.
    relay_id: u64,
    message: Envelope,
}

/// Clears the fields that the previous release does not write into a message: all fields of a vote except round, term
/// and shard, the known version in a vote request, the kind and shard of a job's change, and applied versions.
fn clear_cancellation_fields(message: &mut Envelope) {
    match &mut message.body {
        Some(Body::Vote(vote)) => {
            let (round, term, shard_id) = (vote.round, vote.term, vote.shard);
            *vote = Vote {
                round,
                term,
                shard: shard_id,
                ..Vote::default()
            };
        }
        Some(Body::VoteRequest(request)) => request.known_version = 0,
        Some(Body::JobChanged(change)) => {
            *change = JobChanged {
                job: std::mem::take(&mut change.job),
                version: change.version,
                ..JobChanged::default()
            };
        }
        Some(Body::Heartbeat(heartbeat)) => {
            heartbeat.applied_version = 0;
            let shards = heartbeat.shards.iter_mut();
            shards.for_each(|shard| shard.applied_version = 0);
        }
        _ => {}
    }
}

impl World {
    /// Sends an HTTP request. A controller that has stopped never answers.
    pub fn http(&mut self, origin: Origin, node: usize, method: Method, path: &str, body: Bytes) {
        self.seq += 1;
        let conn = self.seq;
        let incarnation = self.nodes[node].incarnation;
        self.connections.insert(conn, (origin, node, incarnation));
        let request = Request {
            method,
            path: path.into(),
            body,
            closes_connection: false,
        };
        let delay = self.jitter();
        let command = Command::HttpRequest {
            connection: conn,
            request,
        };
        self.schedule(
            delay,
            Event::Command {
                node,
                incarnation,
                command,
            },
        );
    }

    /// Sends the held messages between peers that can reach each other again.
    pub(super) fn release_held_messages(&mut self) {
        let cut = self.faults.partitioned.clone();
        let (still, free): (Vec<_>, Vec<_>) = std::mem::take(&mut self.held_messages)
            .into_iter()
            .partition(|h| cut.contains(&(h.0, h.1)));
        self.held_messages = still;
        for (from, to, message) in free {
            let delay = self.jitter();
            self.schedule(delay, Event::Peer { from, to, message });
        }
    }

    /// Sends a message to a peer, after the changes that this controller's release or a corrupting network makes to it.
    pub(super) fn send_peer_message(
        &mut self,
        delay: u64,
        node: usize,
        to: usize,
        mut message: Envelope,
    ) {
        if self.faults.previous_release.contains(&node) {
            if matches!(message.body, Some(Body::CancellationApplied(_))) {
                return;
            }
            self.confirm_at_once(node, &message);
            clear_cancellation_fields(&mut message);
        }
        if let (true, Some(Body::Vote(vote))) = (
            self.faults.corrupts_votes.contains(&node),
            &mut message.body,
        ) {
            vote.cancelled_jobs = "6:1-;zz:4;x".into();
        }
        let to = self.node_of_peer(node, to);
        if self.record_relay(delay, node, to, &message) {
            return;
        }
        let is_relay = matches!(message.body, Some(Body::RelayHeartbeat(_)));
        let wait = match self.faults.max_relay_wait {
            max if is_relay && max > 0 => self.rng.random_range(0..max),
            _ => 0,
        };
        self.schedule(
            delay + wait,
            Event::Peer {
                from: node,
                to,
                message,
            },
        );
    }

    /// Returns the node that is the peer with this index of a controller.
    fn node_of_peer(&self, node: usize, peer: usize) -> usize {
        let name = &self.settings[node].peers[peer].name;
        let mut settings = self.settings.iter();
        settings
            .position(|s| s.name == *name)
            .expect("the peer is one of the nodes")
    }

    /// Records a relayed heartbeat or the answer to one, and schedules or keeps a copy of the message. Returns whether
    /// the message itself is held back.
    fn record_relay(&mut self, delay: u64, from: usize, to: usize, message: &Envelope) -> bool {
        match &message.body {
            Some(Body::RelayHeartbeat(relay)) => {
                let incarnation = self.nodes[from].incarnation;
                self.relays.insert((from, incarnation, relay.id));
            }
            Some(Body::RelayAnswer(answer)) => {
                let launches = String::from_utf8_lossy(&answer.body).contains("\"launch\"");
                if launches && self.faults.keeps_relay_answers {
                    self.kept_relay_answers.push(KeptRelayAnswer {
                        from,
                        to,
                        incarnation: self.nodes[to].incarnation,
                        relay_id: answer.id,
                        message: message.clone(),
                    });
                    if self.faults.holds_relay_answers {
                        return true;
                    }
                }
            }
            _ => return false,
        }
        let rate = self.faults.relay_copy_rate;
        if rate > 0.0 && self.rng.random_bool(rate) {
            let late = delay + self.rng.random_range(0..3 * SECOND);
            let message = message.clone();
            self.counters.relay_copies_sent += 1;
            self.schedule(late, Event::Peer { from, to, message });
        }
        false
    }

    /// Sends another copy of every kept answer to a relayed heartbeat.
    pub fn send_kept_relay_answers(&mut self) {
        for kept in self.kept_relay_answers.clone() {
            self.counters.relay_copies_sent += 1;
            self.send_kept_answer(kept);
        }
    }

    /// Sends, once, each kept answer whose recipient has been restarted and has relayed a heartbeat under the number
    /// that the answer carries.
    pub fn send_matching_relay_answers(&mut self) {
        let (matching, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.kept_relay_answers)
            .into_iter()
            .partition(|kept| {
                let incarnation = self.nodes[kept.to].incarnation;
                let relayed = (kept.to, incarnation, kept.relay_id);
                incarnation > kept.incarnation && self.relays.contains(&relayed)
            });
        self.kept_relay_answers = others;
        for kept in matching {
            self.send_kept_answer(kept);
        }
    }

    fn send_kept_answer(&mut self, kept: KeptRelayAnswer) {
        let KeptRelayAnswer {
            from, to, message, ..
        } = kept;
        self.schedule(0, Event::Peer { from, to, message });
    }

    /// Counts an answer that reaches a later process than the one that had relayed the heartbeat.
    fn count_answer_to_earlier_process(&mut self, to: usize, message: &Envelope) {
        let Some(Body::RelayAnswer(answer)) = &message.body else {
            return;
        };
        let earlier = 0..self.nodes[to].incarnation;
        if earlier
            .into_iter()
            .any(|incarnation| self.relays.contains(&(to, incarnation, answer.id)))
        {
            self.counters.answers_to_earlier_processes += 1;
        }
    }

    /// Makes a controller of the previous release tell its user of a cancellation as soon as it has announced the
    /// cancellation, whether or not the announcement arrives.
    fn confirm_at_once(&mut self, node: usize, message: &Envelope) {
        let Some(Body::JobChanged(change)) = &message.body else {
            return;
        };
        if change.kind() != JobChangeKind::Cancelled {
            return;
        }
        let applied = CancellationApplied {
            job: change.job.clone(),
            shard: change.shard,
        };
        let answer = Envelope {
            from: self.settings[node].peers[0].name.clone(),
            body: Some(Body::CancellationApplied(applied)),
        };
        let incarnation = self.nodes[node].incarnation;
        let command = Command::PeerMessage(answer);
        self.schedule(
            0,
            Event::Command {
                node,
                incarnation,
                command,
            },
        );
    }

    /// Delivers a message to a peer. The message is dropped on a lossy link and held on a partitioned one.
    pub(super) fn deliver_peer_message(&mut self, from: usize, to: usize, message: Envelope) {
        if self.faults.lossy_links.contains(&(from, to)) {
            return;
        }
        if self.faults.partitioned.contains(&(from, to)) {
            self.held_messages.push((from, to, message));
        } else {
            self.count_answer_to_earlier_process(to, &message);
            let incarnation = self.nodes[to].incarnation;
            self.deliver_command(to, incarnation, Command::PeerMessage(message));
        }
    }

    /// Delivers a copy of an old heartbeat to a controller.
    pub(super) fn deliver_heartbeat_copy(&mut self, node: Option<usize>, body: String) {
        let any = self.rng.random_range(0..self.nodes.len());
        let node = node.unwrap_or(any);
        // No worker waits for the answer any more, so the sender's name is empty.
        let origin = Origin::Worker {
            name: String::new(),
            sent: self.now,
        };
        self.counters.heartbeat_copies_sent += 1;
        self.http(origin, node, Method::Post, "/v1/report", Bytes::from(body));
    }
}
