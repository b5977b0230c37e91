//! Workers' heartbeats: answered here where the machine's shard is owned here, and else passed on to its owner.

use bytes::Bytes;
use serde::Deserialize;

use super::Controller;
use super::pending_heartbeats::{DeferredHeartbeat, HeartbeatSender, RelayedHeartbeat};
use super::shard_owner::HeartbeatAnswer;
use crate::http::Response;
use crate::model::Micros;
use crate::wire::peer::{Body, RelayAnswer, RelayHeartbeat};
use crate::wire::worker::HeartbeatRedirect;

/// A heartbeat that is passed on or deferred is answered within this time, or refused.
const RELAY_TIMEOUT: Micros = 1_500_000;

/// What becomes of a heartbeat.
enum HeartbeatRoute {
    Answered(Response),
    /// The machine's shard is not owned here; perhaps by that peer.
    OtherOwner {
        owner: Option<usize>,
        machine: String,
    },
    /// The machine's shard is known, and who owns it is not, or does not know of the machine yet.
    NoOwner,
    /// It can be answered once the state has been read.
    AfterLoad,
}

/// Of a heartbeat, whose it is.
#[derive(Deserialize)]
struct MachineOfHeartbeat {
    #[serde(rename = "host")]
    machine: String,
}

/// Where a heartbeat is to be sent, as a peer's answer says.
#[derive(Deserialize)]
struct RedirectBody {
    #[serde(rename = "foreman")]
    to: String,
}

impl Controller {
    /// Takes a heartbeat of a worker.
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
        let known = known.filter(|peer| membership.is_heard(outbox, *peer));
        let owner = owner.or(known);
        match owner.or_else(|| membership.leading_peer(outbox)) {
            // Passed on rather than sent away: the worker may not reach the owner itself.
            Some(peer) => self.relay_heartbeat(connection, peer, heartbeat),
            None => self.redirect_worker(connection),
        }
    }

    /// Answers the heartbeat of a machine whose shard is owned here.
    fn answer_locally(&mut self, heartbeat: &Bytes) -> HeartbeatRoute {
        if !self.outbox.is_sharded {
            let leader = self.shard_owners.get_mut(&0);
            let answer = leader.map(|leader| leader.handle_heartbeat(&self.outbox, heartbeat));
            return self.route_of(answer, String::new());
        }
        let parsed = serde_json::from_slice::<MachineOfHeartbeat>(heartbeat);
        let Ok(MachineOfHeartbeat { machine }) = parsed else {
            return HeartbeatRoute::Answered(Response::error(400, "not a report"));
        };
        // A machine that is in no other shard owned here is the leader's to answer for.
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

    /// No controller that could answer the worker is known. A peer that still hears the leader is named in the response,
    /// which spares the worker the wait before it would try that one itself, and another that may be dead.
    fn redirect_worker(&mut self, connection: u64) {
        let outbox = &mut self.outbox;
        let helper = self.membership.peer_accepting_heartbeats(outbox);
        let controller = helper.map(|peer| outbox.settings.peers[peer].name.as_str());
        let response = Response::json(421, &HeartbeatRedirect { controller });
        outbox.reply(connection, response);
    }

    fn relay_heartbeat(&mut self, connection: u64, to: usize, heartbeat: Bytes) {
        let outbox = &mut self.outbox;
        let id = outbox.next_id();
        let deadline = outbox.clock.now + RELAY_TIMEOUT;
        outbox.set_reply_deadline(connection, deadline);
        let relayed = RelayedHeartbeat {
            connection,
            deadline,
            heartbeat: heartbeat.clone(),
        };
        self.heartbeats.add_relayed(id, relayed);
        outbox.send_to_peer(to, Body::RelayHeartbeat(RelayHeartbeat { id, heartbeat }));
    }

    // ---- Heartbeats that come before the state has been read ----

    /// A heartbeat is answered as soon as the state has been read, which mostly takes a fraction of a second. Sent away, a
    /// worker would try the next controller a second later, and after the loss of all controllers leases are nearly over.
    fn defer_heartbeat(&mut self, sender: HeartbeatSender, heartbeat: Bytes) {
        let deferred = DeferredHeartbeat {
            sender,
            deadline: self.outbox.clock.now + RELAY_TIMEOUT,
            heartbeat,
        };
        if self.heartbeats.defer(deferred).is_ok() {
            return;
        }
        let busy = Response::error(503, "the state is being read");
        match sender {
            HeartbeatSender::Worker { connection } => self.outbox.reply(connection, busy),
            HeartbeatSender::Peer { peer, relay_id } => self.answer_relay(peer, relay_id, busy),
        }
    }

    /// Answers those who reported while the state was being read, once it has been read or their time is up.
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
                // Nobody waits for it any more: it is not to count as answered.
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

    /// A peer passes on a heartbeat.
    pub(super) fn handle_relay(&mut self, from: usize, relay: RelayHeartbeat) {
        let response = match self.answer_locally(&relay.heartbeat) {
            HeartbeatRoute::Answered(response) => response,
            HeartbeatRoute::OtherOwner {
                owner: Some(peer), ..
            } => {
                let controller = Some(self.outbox.settings.peers[peer].name.as_str());
                Response::json(421, &HeartbeatRedirect { controller })
            }
            HeartbeatRoute::OtherOwner { owner: None, .. } => Response::error(404, "not held here"),
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

    /// A peer has answered a heartbeat that was passed on to it.
    pub(super) fn handle_relay_answer(&mut self, from: usize, answer: RelayAnswer) {
        let Some(relayed) = self.heartbeats.take_relayed(answer.id) else {
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

    /// The machine's shard is not that peer's. The leader knows whose it is.
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

    /// The peer says who owns the machine's shard: the heartbeat is passed on there, and later ones are at once.
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
            // Nobody owns it, or this controller does since a moment ago.
            None => self.redirect_worker(connection),
        }
    }
}

fn machine_of(heartbeat: &[u8]) -> Option<String> {
    let parsed = serde_json::from_slice::<MachineOfHeartbeat>(heartbeat);
    parsed.ok().map(|of| of.machine)
}
