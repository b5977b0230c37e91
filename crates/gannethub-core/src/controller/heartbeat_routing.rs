//! Routes workers' heartbeats: this controller answers for machines whose shards it owns, and relays other heartbeats
//! to the owners of their shards.

use bytes::Bytes;
use serde::Deserialize;

use super::Controller;
use super::pending_heartbeats::{DeferredHeartbeat, HeartbeatSender, RelayedHeartbeat};
use super::shard_owner::HeartbeatAnswer;
use crate::http::Response;
use crate::model::Micros;
use crate::wire::peer::{Body, RelayAnswer, RelayHeartbeat};
use crate::wire::worker::HeartbeatRedirect;

/// Time after which a relayed heartbeat without an answer is refused, and a deferred heartbeat is dropped.
const RELAY_TIMEOUT: Micros = 1_500_000;

/// Decision on how to handle a heartbeat.
enum HeartbeatRoute {
    Answered(Response),
    /// The machine's shard is not owned by this controller. `owner` is the peer that may own it, if one is known.
    OtherOwner {
        owner: Option<usize>,
        machine: String,
    },
    /// The machine's shard is known, but either its owner is unknown, or this controller owns the shard and does not
    /// know of the machine yet.
    NoOwner,
    /// The heartbeat can be answered once the state has been read.
    AfterLoad,
}

/// The part of a heartbeat that names its machine.
#[derive(Deserialize)]
struct MachineOfHeartbeat {
    #[serde(rename = "host")]
    machine: String,
}

/// The part of a redirecting answer that names the controller to which the heartbeat has to be sent.
#[derive(Deserialize)]
struct RedirectBody {
    #[serde(rename = "foreman")]
    to: String,
}

impl Controller {
    /// Handles a worker's heartbeat.
    pub(super) fn handle_heartbeat(&mut self, connection: u64, heartbeat: Bytes) {
        let (owner, machine) = match self.answer_locally(&heartbeat) {
            HeartbeatRoute::Answered(response) => return self.outbox.reply(connection, response),
            HeartbeatRoute::NoOwner => return self.redirect_worker(connection),
            HeartbeatRoute::AfterLoad => {
                let sender = HeartbeatSender::Worker { connection };
                return self.defer_heartbeat(sender, heartbeat);
            }
            HeartbeatRoute::OtherOwner { owner, machine } => (owner, machine),
        };
        let (outbox, membership) = (&self.outbox, &self.membership);
        let known = self.heartbeats.route(&machine);
        let known = known.filter(|peer| membership.is_reachable(outbox, *peer));
        let owner = owner.or(known);
        match owner.or_else(|| membership.leading_peer(outbox)) {
            // The heartbeat is relayed rather than redirected, since the worker may be unable to reach the owner
            // itself.
            Some(peer) => self.relay_heartbeat(connection, peer, heartbeat),
            None => self.redirect_worker(connection),
        }
    }

    /// Answers the heartbeat of a machine if this controller owns the machine's shard.
    fn answer_locally(&mut self, heartbeat: &Bytes) -> HeartbeatRoute {
        if !self.outbox.is_sharded {
            let leader = self.shard_owners.get_mut(&0);
            let answer = leader.map(|leader| leader.handle_heartbeat(&self.outbox, heartbeat));
            return self.route_of(answer, String::new());
        }
        let parsed = serde_json::from_slice::<MachineOfHeartbeat>(heartbeat);
        let Ok(MachineOfHeartbeat { machine }) = parsed else {
            return HeartbeatRoute::Answered(Response::error(400, "cannot parse heartbeat"));
        };
        // Shard 0, which the leader owns, answers for machines that are in none of the other shards owned here.
        let owners = self.shard_owners.iter();
        let mut others =
            owners.filter(|(shard, owner)| **shard > 0 && owner.owns_machine(&machine));
        let shard = others.next().map_or(0, |(shard, _)| *shard);
        let owner = self.shard_owners.get_mut(&shard);
        let answer = owner.map(|owner| owner.handle_heartbeat(&self.outbox, heartbeat));
        self.route_of(answer, machine)
    }

    fn route_of(&self, answer: Option<HeartbeatAnswer>, machine: String) -> HeartbeatRoute {
        match answer {
            Some(HeartbeatAnswer::Answered(response)) => HeartbeatRoute::Answered(response),
            Some(HeartbeatAnswer::AfterLoad) => HeartbeatRoute::AfterLoad,
            Some(HeartbeatAnswer::OtherShard(Some(shard))) if self.outbox.is_sharded => {
                let mut loads = self.outbox.shard_loads.iter();
                let load = loads.find(|load| load.shard == shard);
                match load.and_then(|load| load.owner) {
                    Some(peer) => HeartbeatRoute::OtherOwner {
                        owner: Some(peer),
                        machine,
                    },
                    None => HeartbeatRoute::NoOwner,
                }
            }
            Some(HeartbeatAnswer::OtherShard(_)) | None => HeartbeatRoute::OtherOwner {
                owner: None,
                machine,
            },
        }
    }

    /// Redirects a worker when no controller that could answer its heartbeat is known. The response names a peer that
    /// still hears the leader. This spares the worker the wait before it would try that peer on its own, and an
    /// attempt at another controller that may be dead.
    fn redirect_worker(&mut self, connection: u64) {
        let outbox = &mut self.outbox;
        let accepting_peer = self.membership.peer_accepting_heartbeats(outbox);
        let controller = accepting_peer.map(|peer| outbox.settings.peers[peer].name.as_str());
        let response = Response::json(421, &HeartbeatRedirect { controller });
        outbox.reply(connection, response);
    }

    fn relay_heartbeat(&mut self, connection: u64, to: usize, heartbeat: Bytes) {
        let outbox = &mut self.outbox;
        let deadline = outbox.clock.now + RELAY_TIMEOUT;
        outbox.set_reply_deadline(connection, deadline);
        let relayed = RelayedHeartbeat {
            peer: to,
            connection,
            deadline,
            heartbeat: heartbeat.clone(),
        };
        let id = self.heartbeats.add_relayed(relayed);
        outbox.send_to_peer(to, Body::RelayHeartbeat(RelayHeartbeat { id, heartbeat }));
    }

    // ---- Heartbeats that arrive before the state has been read ----

    /// Defers a heartbeat, to be answered as soon as the state has been read, which mostly takes a fraction of a
    /// second. A worker that is refused instead would try the next controller only a second later, and after the loss
    /// of all controllers the workers' leases have nearly expired.
    fn defer_heartbeat(&mut self, sender: HeartbeatSender, heartbeat: Bytes) {
        let deferred = DeferredHeartbeat {
            sender,
            deadline: self.outbox.clock.now + RELAY_TIMEOUT,
            heartbeat,
        };
        if self.heartbeats.defer(deferred).is_ok() {
            return;
        }
        let busy = Response::error(503, "the shard's state is still being read");
        match sender {
            HeartbeatSender::Worker { connection } => self.outbox.reply(connection, busy),
            HeartbeatSender::Peer { peer, relay_id } => self.answer_relay(peer, relay_id, busy),
        }
    }

    /// Answers the deferred heartbeats once the state has been read, and drops those whose deadline has passed.
    pub(super) fn answer_deferred_heartbeats(&mut self) {
        let now = self.outbox.clock.now;
        let is_loading = self.leader().is_some_and(|leader| !leader.is_loaded());
        for deferred in self.heartbeats.take_deferred(is_loading, now) {
            let DeferredHeartbeat {
                sender,
                deadline,
                heartbeat,
            } = deferred;
            match sender {
                // Past the deadline nobody waits for the answer. The heartbeat is not handled, since the shard owner
                // would count it as answered.
                _ if now >= deadline => {}
                HeartbeatSender::Worker { connection } => {
                    if self.outbox.awaits_reply(connection) {
                        self.handle_heartbeat(connection, heartbeat);
                    }
                }
                HeartbeatSender::Peer { peer, relay_id } => {
                    let relay = RelayHeartbeat {
                        id: relay_id,
                        heartbeat,
                    };
                    self.handle_relay(peer, relay);
                }
            }
        }
    }

    // ---- Heartbeats between peers ----

    /// Handles a heartbeat that a peer relays.
    pub(super) fn handle_relay(&mut self, from: usize, relay: RelayHeartbeat) {
        let response = match self.answer_locally(&relay.heartbeat) {
            HeartbeatRoute::Answered(response) => response,
            HeartbeatRoute::OtherOwner {
                owner: Some(peer), ..
            } => {
                let controller = Some(self.outbox.settings.peers[peer].name.as_str());
                Response::json(421, &HeartbeatRedirect { controller })
            }
            HeartbeatRoute::OtherOwner { owner: None, .. } => Response::error(404, "not the owner"),
            HeartbeatRoute::NoOwner => Response::json(421, &HeartbeatRedirect { controller: None }),
            HeartbeatRoute::AfterLoad => {
                let sender = HeartbeatSender::Peer {
                    peer: from,
                    relay_id: relay.id,
                };
                return self.defer_heartbeat(sender, relay.heartbeat);
            }
        };
        self.answer_relay(from, relay.id, response);
    }

    fn answer_relay(&mut self, peer: usize, id: u64, response: Response) {
        let answer = RelayAnswer {
            id,
            status: u32::from(response.status),
            body: response.body,
        };
        self.outbox.send_to_peer(peer, Body::RelayAnswer(answer));
    }

    /// Handles the answer of a peer to a relayed heartbeat. An answer to a heartbeat of an earlier process, or a second
    /// answer, is dropped.
    pub(super) fn handle_relay_answer(&mut self, from: usize, answer: RelayAnswer) {
        let Some(relayed) = self.heartbeats.take_relayed(from, answer.id) else {
            return;
        };
        match u16::try_from(answer.status).unwrap_or(503) {
            404 => self.handle_relay_refusal(from, relayed),
            421 if self.outbox.is_sharded => self.follow_redirect(from, relayed, &answer.body),
            status => {
                let response = Response::new(status, answer.body);
                self.outbox.reply(relayed.connection, response);
            }
        }
    }

    /// Handles the answer of a peer that does not own the machine's shard. The heartbeat is relayed to the leader,
    /// which knows the shard owner, unless the leader itself gave this answer.
    fn handle_relay_refusal(&mut self, from: usize, relayed: RelayedHeartbeat) {
        let RelayedHeartbeat {
            connection,
            heartbeat,
            ..
        } = relayed;
        if let Some(machine) = machine_of(&heartbeat) {
            self.heartbeats.forget_route(&machine);
        }
        let leader = self.membership.leading_peer(&self.outbox);
        match leader.filter(|leader| *leader != from) {
            Some(leader) => self.relay_heartbeat(connection, leader, heartbeat),
            None => self.outbox.reply_unavailable(connection),
        }
    }

    /// Handles the answer of a peer that names the owner of the machine's shard. The heartbeat is relayed to that
    /// owner, and later heartbeats of the machine go there directly.
    fn follow_redirect(&mut self, from: usize, relayed: RelayedHeartbeat, body: &[u8]) {
        let RelayedHeartbeat {
            connection,
            heartbeat,
            ..
        } = relayed;
        let redirect = serde_json::from_slice::<RedirectBody>(body).ok();
        let mut peers = self.outbox.settings.peers.iter();
        let owner = redirect.and_then(|redirect| peers.position(|peer| *peer.name == *redirect.to));
        let owner = owner.filter(|owner| *owner != from);
        match owner.zip(machine_of(&heartbeat)) {
            Some((owner, machine)) => {
                self.heartbeats.set_route(machine, owner);
                self.relay_heartbeat(connection, owner, heartbeat);
            }
            // The shard has no owner, or this controller became its owner a moment ago.
            None => self.redirect_worker(connection),
        }
    }
}

fn machine_of(heartbeat: &[u8]) -> Option<String> {
    let parsed = serde_json::from_slice::<MachineOfHeartbeat>(heartbeat);
    parsed.ok().map(|parsed| parsed.machine)
}
