//! Simulated network: HTTP requests to controllers, and messages between controllers.

use super::*;

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
        let name = self.settings[node].peers[to].name.clone();
        let to = self
            .settings
            .iter()
            .position(|s| s.name == name)
            .expect("the peer is one of the nodes");
        self.schedule(
            delay,
            Event::Peer {
                from: node,
                to,
                message,
            },
        );
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
