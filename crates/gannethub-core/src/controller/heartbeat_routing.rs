//! Workers' reports: answered here where their machines' block is held here, and else passed on to its holder.

use bytes::Bytes;
use serde::Deserialize;

use super::Controller;
use super::shard_owner::HeartbeatAnswer;
use crate::http::Response;
use crate::model::Micros;
use crate::wire::peer::{Body, RelayAnswer, RelayHeartbeat};
use crate::wire::worker::HeartbeatRedirect;

const RELAY_TIMEOUT: Micros = 1_500_000;
/// Machines whose holders are remembered.
const MAX_REMEMBERED_ROUTES: usize = 20_000;
/// Reports that wait for the state to be read. Further ones are told to come back.
const MAX_DEFERRED_HEARTBEATS: usize = 8_000;

/// What becomes of a report.
enum HeartbeatRoute {
    Immediate(u16, Bytes),
    /// Its machine's block is not held here; perhaps by that sibling.
    OtherOwner(Option<usize>, String),
    /// Once the state has been read.
    AfterLoad,
}

/// Who waits for the answer to a report.
#[derive(Clone, Copy)]
pub(super) enum HeartbeatSender {
    Worker(u64),
    /// A sibling that passed it on under this number.
    Peer(usize, u64),
}

/// A report that came while the state was being read, and until when it is of use to anybody.
pub(super) struct DeferredHeartbeat {
    from: HeartbeatSender,
    until: Micros,
    heartbeat: Bytes,
}

/// Of a report, whose it is.
#[derive(Deserialize)]
struct MachineOfHeartbeat {
    #[serde(rename = "host")]
    machine: String,
}

/// Where a report is to be sent, as a sibling's answer says.
#[derive(Deserialize)]
struct RedirectBody {
    #[serde(rename = "foreman")]
    to: String,
}

impl Controller {
    pub(super) fn handle_heartbeat(&mut self, conn: u64, body: Bytes) {
        let (to, machine) = match self.answer_locally(&body) {
            HeartbeatRoute::Immediate(421, _) => return self.redirect_worker(conn),
            HeartbeatRoute::Immediate(status, body) => {
                let response = Response {
                    status,
                    body,
                    retry_after: None,
                };
                return self.outbox.reply(conn, response);
            }
            HeartbeatRoute::OtherOwner(to, machine) => (to, machine),
            HeartbeatRoute::AfterLoad => {
                return self.defer_heartbeat(HeartbeatSender::Worker(conn), body);
            }
        };
        let port = &mut self.outbox;
        let known = self.peer_by_machine.get(&machine).copied();
        let known = known.filter(|i| self.membership.is_heard(port, *i));
        match to.or(known).or_else(|| self.membership.leading_peer(port)) {
            // Passed on rather than sent away: the worker may not reach its holder itself.
            Some(i) => self.relay_heartbeat(conn, i, body),
            None => self.redirect_worker(conn),
        }
    }

    /// Nobody who could answer a worker is known. A sibling that still hears the leader is told by name, which spares
    /// the worker the wait before it would try that one itself, and another that may be dead.
    fn redirect_worker(&mut self, conn: u64) {
        let port = &mut self.outbox;
        let other = self.membership.peer_accepting_heartbeats(port);
        let report_to = other.map(|i| port.settings.siblings[i].name.as_str());
        let response = Response::json(
            421,
            &HeartbeatRedirect {
                controller: report_to,
            },
        );
        port.reply(conn, response);
    }

    fn relay_heartbeat(&mut self, conn: u64, to: usize, report: Bytes) {
        let port = &mut self.outbox;
        let id = port.next_request_id;
        port.next_request_id += 1;
        let until = port.clock.now + RELAY_TIMEOUT;
        port.reply_deadlines.insert(conn, until);
        self.relayed_heartbeats
            .insert(id, (conn, until, report.clone()));
        port.send_to_peer(
            to,
            Body::RelayHeartbeat(RelayHeartbeat {
                id,
                heartbeat: report,
            }),
        );
    }

    /// Answers a report of a machine whose block is held here.
    fn answer_locally(&mut self, body: &Bytes) -> HeartbeatRoute {
        if !self.outbox.is_sharded {
            return match self
                .shard_owners
                .get_mut(&0)
                .map(|h| h.handle_heartbeat(&self.outbox, body))
            {
                Some(HeartbeatAnswer::Immediate(status, body)) => {
                    HeartbeatRoute::Immediate(status, body)
                }
                Some(HeartbeatAnswer::AfterLoad) => HeartbeatRoute::AfterLoad,
                _ => HeartbeatRoute::OtherOwner(None, String::new()),
            };
        }
        let Ok(MachineOfHeartbeat { machine }) = serde_json::from_slice::<MachineOfHeartbeat>(body)
        else {
            return HeartbeatRoute::Immediate(400, Response::error(400, "not a report").body);
        };
        let other = self
            .shard_owners
            .values_mut()
            .find(|h| h.lease.shard > 0 && h.owns_machine(&machine));
        let holder = match other {
            Some(holder) => Some(holder),
            None => self.shard_owners.get_mut(&0),
        };
        let answer = holder.map(|h| h.handle_heartbeat(&self.outbox, body));
        match answer {
            Some(HeartbeatAnswer::Immediate(status, body)) => {
                HeartbeatRoute::Immediate(status, body)
            }
            Some(HeartbeatAnswer::AfterLoad) => HeartbeatRoute::AfterLoad,
            Some(HeartbeatAnswer::OtherShard(Some(block))) => {
                let holds = self.outbox.shard_loads.iter().find(|l| l.shard == block);
                match holds.map(|l| l.owner) {
                    Some(Some(i)) => HeartbeatRoute::OtherOwner(Some(i), machine),
                    // Its holder is not known, or does not know of the machine yet.
                    _ => HeartbeatRoute::Immediate(
                        421,
                        Response::json(421, &HeartbeatRedirect { controller: None }).body,
                    ),
                }
            }
            _ => HeartbeatRoute::OtherOwner(None, machine),
        }
    }

    /// A report is answered as soon as the state has been read, which mostly takes a fraction of a second. Sent away, a
    /// worker would try the next node a second later, and after the loss of all controllers leases are nearly over.
    fn defer_heartbeat(&mut self, from: HeartbeatSender, report: Bytes) {
        if self.deferred_heartbeats.len() < MAX_DEFERRED_HEARTBEATS {
            let until = self.outbox.clock.now + RELAY_TIMEOUT;
            return self.deferred_heartbeats.push(DeferredHeartbeat {
                from,
                until,
                heartbeat: report,
            });
        }
        let busy = Response::error(503, "the state is being read");
        match from {
            HeartbeatSender::Worker(conn) => self.outbox.reply(conn, busy),
            HeartbeatSender::Peer(i, id) => {
                let reply = RelayAnswer {
                    id,
                    status: 503,
                    body: busy.body,
                };
                self.outbox.send_to_peer(i, Body::RelayAnswer(reply));
            }
        }
    }

    /// The state may have been read, or not in time: those who reported meanwhile are answered.
    pub(super) fn answer_deferred_heartbeats(&mut self) {
        let now = self.outbox.clock.now;
        let reading = self.shard_owners.get(&0).is_some_and(|h| !h.is_loaded());
        let ready = |e: &mut DeferredHeartbeat| !reading || now >= e.until;
        let ready: Vec<DeferredHeartbeat> =
            self.deferred_heartbeats.extract_if(.., ready).collect();
        for DeferredHeartbeat {
            from,
            until,
            heartbeat: report,
        } in ready
        {
            match from {
                // Nobody waits for it any more: it is not to count as answered.
                _ if now >= until => {}
                HeartbeatSender::Worker(conn)
                    if self.outbox.reply_deadlines.contains_key(&conn) =>
                {
                    self.handle_heartbeat(conn, report);
                }
                HeartbeatSender::Worker(_) => {}
                HeartbeatSender::Peer(i, id) => self.handle_relay(
                    i,
                    RelayHeartbeat {
                        id,
                        heartbeat: report,
                    },
                ),
            }
        }
    }

    /// A sibling passes on a report.
    pub(super) fn handle_relay(&mut self, from: usize, relay: RelayHeartbeat) {
        let (status, body) = match self.answer_locally(&relay.heartbeat) {
            HeartbeatRoute::Immediate(status, body) => (status, body),
            HeartbeatRoute::OtherOwner(Some(i), _) => {
                let report_to = Some(self.outbox.settings.siblings[i].name.as_str());
                (
                    421,
                    Response::json(
                        421,
                        &HeartbeatRedirect {
                            controller: report_to,
                        },
                    )
                    .body,
                )
            }
            HeartbeatRoute::OtherOwner(None, _) => {
                (404, Response::error(404, "not held here").body)
            }
            HeartbeatRoute::AfterLoad => {
                return self
                    .defer_heartbeat(HeartbeatSender::Peer(from, relay.id), relay.heartbeat);
            }
        };
        let reply = RelayAnswer {
            id: relay.id,
            status: u32::from(status),
            body,
        };
        self.outbox.send_to_peer(from, Body::RelayAnswer(reply));
    }

    /// A sibling has answered a report that was passed on to it.
    pub(super) fn handle_relay_answer(&mut self, from: usize, reply: RelayAnswer) {
        let Some((conn, _, report)) = self.relayed_heartbeats.remove(&reply.id) else {
            return;
        };
        let status = u16::try_from(reply.status).unwrap_or(503);
        let machine = || {
            serde_json::from_slice::<MachineOfHeartbeat>(&report)
                .ok()
                .map(|n| n.machine)
        };
        match status {
            404 => {
                machine().map(|m| self.peer_by_machine.remove(&m));
                // Whoever leads knows where it is.
                match self
                    .membership
                    .leading_peer(&self.outbox)
                    .filter(|l| *l != from)
                {
                    Some(leader) => self.relay_heartbeat(conn, leader, report),
                    None => self.outbox.reply_unavailable(conn),
                }
            }
            421 if self.outbox.is_sharded => {
                let to = serde_json::from_slice::<RedirectBody>(&reply.body)
                    .ok()
                    .map(|t| t.to);
                let siblings = &self.outbox.settings.siblings;
                let to = to.and_then(|to| siblings.iter().position(|s| *s.name == *to));
                match (to.filter(|i| *i != from), machine()) {
                    (Some(i), Some(machine)) => {
                        if self.peer_by_machine.len() >= MAX_REMEMBERED_ROUTES {
                            self.peer_by_machine.clear();
                        }
                        self.peer_by_machine.insert(machine, i);
                        self.relay_heartbeat(conn, i, report);
                    }
                    // Nobody holds it, or this controller does since a moment ago.
                    _ => self.redirect_worker(conn),
                }
            }
            _ => {
                let response = Response {
                    status,
                    body: reply.body,
                    retry_after: None,
                };
                self.outbox.reply(conn, response);
            }
        }
    }
}
