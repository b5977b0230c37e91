//! The network: HTTP requests to controllers, and messages between them.

use super::*;

/// Clears what the previous release does not write into a message.
fn forget_cancellations(message: &mut Envelope) {
    match &mut message.body {
        Some(Body::Vote(p)) => {
            let (round, term, block) = (p.round, p.term, p.shard);
            *p = Vote {
                round,
                term,
                shard: block,
                ..Vote::default()
            };
        }
        Some(Body::VoteRequest(ask)) => ask.known_version = 0,
        _ => {}
    }
}

impl World {
    /// Sends an HTTP request; no answer ever comes from a dead node.
    pub fn http(&mut self, origin: Origin, node: usize, method: Method, path: &str, body: Bytes) {
        self.seq += 1;
        let conn = self.seq;
        let life = self.nodes[node].life;
        self.conns.insert(conn, (origin, node, life));
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
        self.at(
            delay,
            Event::Command {
                node,
                life,
                command,
            },
        );
    }

    /// Messages between peers that can reach each other again are sent on.
    pub(super) fn release_held_messages(&mut self) {
        let cut = self.faults.partitioned.clone();
        let (still, free): (Vec<_>, Vec<_>) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|h| cut.contains(&(h.0, h.1)));
        self.held = still;
        for (from, to, message) in free {
            let delay = self.jitter();
            self.at(delay, Event::Peer { from, to, message });
        }
    }

    /// Sends a message to a peer, as this controller's release and the network make it arrive.
    pub(super) fn send_peer_message(
        &mut self,
        delay: u64,
        node: usize,
        to: usize,
        mut message: Envelope,
    ) {
        if self.faults.previous_release.contains(&node) {
            forget_cancellations(&mut message);
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
            .expect("known");
        self.at(
            delay,
            Event::Peer {
                from: node,
                to,
                message,
            },
        );
    }

    /// A message reaches a peer, unless the two are cut off from each other.
    pub(super) fn deliver_peer_message(&mut self, from: usize, to: usize, message: Envelope) {
        if self.faults.lossy_links.contains(&(from, to)) {
            return;
        }
        if self.faults.partitioned.contains(&(from, to)) {
            self.held.push((from, to, message));
        } else {
            let life = self.nodes[to].life;
            self.command(to, life, Command::PeerMessage(message));
        }
    }

    /// A copy of an old heartbeat reaches a controller.
    pub(super) fn deliver_heartbeat_copy(&mut self, node: Option<usize>, body: String) {
        let any = self.rng.random_range(0..self.nodes.len());
        let node = node.unwrap_or(any);
        // Nobody waits for its answer any more.
        let origin = Origin::Worker {
            name: String::new(),
            sent: self.now,
        };
        self.counters.copied += 1;
        self.http(origin, node, Method::Post, "/v1/report", Bytes::from(body));
    }
}
