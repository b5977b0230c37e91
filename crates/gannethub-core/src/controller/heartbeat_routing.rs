//! Workers' reports: answered here where their machines' block is held here, and else passed on to its holder.

use bytes::Bytes;
use serde::Deserialize;

use super::Controller;
use super::shard_owner::Answer;
use crate::http::Response;
use crate::model::Micros;
use crate::wire::peer::{Body, Relay, Relayed};
use crate::wire::worker::ReportElsewhere;

const RELAY_PATIENCE: Micros = 1_500_000;
/// Machines whose holders are remembered.
const MOST_ROUTES: usize = 20_000;
/// Reports that wait for the state to be read. Further ones are told to come back.
const MOST_EARLY: usize = 8_000;

/// What becomes of a report.
enum Reported {
    Now(u16, Bytes),
    /// Its machine's block is not held here; perhaps by that sibling.
    Elsewhere(Option<usize>, String),
    /// Once the state has been read.
    Later,
}

/// Who waits for the answer to a report.
#[derive(Clone, Copy)]
pub(super) enum Reporter {
    Worker(u64),
    /// A sibling that passed it on under this number.
    Sibling(usize, u64),
}

/// A report that came while the state was being read, and until when it is of use to anybody.
pub(super) struct Early {
    from: Reporter,
    until: Micros,
    report: Bytes,
}

/// Of a report, whose it is.
#[derive(Deserialize)]
struct Named {
    #[serde(rename = "host")]
    machine: String,
}

/// Where a report is to be sent, as a sibling's answer says.
#[derive(Deserialize)]
struct ReportTo {
    #[serde(rename = "foreman")]
    to: String,
}

impl Controller {
    pub(super) fn report(&mut self, conn: u64, body: Bytes) {
        let (to, machine) = match self.report_here(&body) {
            Reported::Now(421, _) => return self.send_on(conn),
            Reported::Now(status, body) => {
                let response = Response {
                    status,
                    body,
                    retry_after: None,
                };
                return self.port.reply(conn, response);
            }
            Reported::Elsewhere(to, machine) => (to, machine),
            Reported::Later => return self.came_early(Reporter::Worker(conn), body),
        };
        let port = &mut self.port;
        let known = self.routes.get(&machine).copied();
        let known = known.filter(|i| self.standing.heard(port, *i));
        match to.or(known).or_else(|| self.standing.leader(port)) {
            // Passed on rather than sent away: the worker may not reach its holder itself.
            Some(i) => self.relay(conn, i, body),
            None => self.send_on(conn),
        }
    }

    /// Nobody who could answer a worker is known. A sibling that still hears the leader is told by name, which spares
    /// the worker the wait before it would try that one itself, and another that may be dead.
    fn send_on(&mut self, conn: u64) {
        let port = &mut self.port;
        let other = self.standing.helper(port);
        let report_to = other.map(|i| port.settings.siblings[i].name.as_str());
        let response = Response::json(421, &ReportElsewhere { report_to });
        port.reply(conn, response);
    }

    fn relay(&mut self, conn: u64, to: usize, report: Bytes) {
        let port = &mut self.port;
        let id = port.next_id;
        port.next_id += 1;
        let until = port.clock.now + RELAY_PATIENCE;
        port.deadlines.insert(conn, until);
        self.relays.insert(id, (conn, until, report.clone()));
        port.say(to, Body::Relay(Relay { id, report }));
    }

    /// Answers a report of a machine whose block is held here.
    fn report_here(&mut self, body: &Bytes) -> Reported {
        if !self.port.several {
            return match self.holders.get_mut(&0).map(|h| h.report(&self.port, body)) {
                Some(Answer::Now(status, body)) => Reported::Now(status, body),
                Some(Answer::Later) => Reported::Later,
                _ => Reported::Elsewhere(None, String::new()),
            };
        }
        let Ok(Named { machine }) = serde_json::from_slice::<Named>(body) else {
            return Reported::Now(400, Response::error(400, "not a report").body);
        };
        let other = self
            .holders
            .values_mut()
            .find(|h| h.lease.block > 0 && h.has(&machine));
        let holder = match other {
            Some(holder) => Some(holder),
            None => self.holders.get_mut(&0),
        };
        let answer = holder.map(|h| h.report(&self.port, body));
        match answer {
            Some(Answer::Now(status, body)) => Reported::Now(status, body),
            Some(Answer::Later) => Reported::Later,
            Some(Answer::Elsewhere(Some(block))) => {
                let holds = self.port.loads.iter().find(|l| l.shard == block);
                match holds.map(|l| l.owner) {
                    Some(Some(i)) => Reported::Elsewhere(Some(i), machine),
                    // Its holder is not known, or does not know of the machine yet.
                    _ => Reported::Now(
                        421,
                        Response::json(421, &ReportElsewhere { report_to: None }).body,
                    ),
                }
            }
            _ => Reported::Elsewhere(None, machine),
        }
    }

    /// A report is answered as soon as the state has been read, which mostly takes a fraction of a second. Sent away, a
    /// worker would try the next node a second later, and after the loss of all controllers leases are nearly over.
    fn came_early(&mut self, from: Reporter, report: Bytes) {
        if self.early.len() < MOST_EARLY {
            let until = self.port.clock.now + RELAY_PATIENCE;
            return self.early.push(Early {
                from,
                until,
                report,
            });
        }
        let busy = Response::error(503, "the state is being read");
        match from {
            Reporter::Worker(conn) => self.port.reply(conn, busy),
            Reporter::Sibling(i, id) => {
                let reply = Relayed {
                    id,
                    status: 503,
                    body: busy.body,
                };
                self.port.say(i, Body::Relayed(reply));
            }
        }
    }

    /// The state may have been read, or not in time: those who reported meanwhile are answered.
    pub(super) fn answer_early(&mut self) {
        let now = self.port.clock.now;
        let reading = self.holders.get(&0).is_some_and(|h| !h.loaded());
        let ready = |e: &mut Early| !reading || now >= e.until;
        let ready: Vec<Early> = self.early.extract_if(.., ready).collect();
        for Early {
            from,
            until,
            report,
        } in ready
        {
            match from {
                // Nobody waits for it any more: it is not to count as answered.
                _ if now >= until => {}
                Reporter::Worker(conn) if self.port.deadlines.contains_key(&conn) => {
                    self.report(conn, report);
                }
                Reporter::Worker(_) => {}
                Reporter::Sibling(i, id) => self.relayed_here(i, Relay { id, report }),
            }
        }
    }

    /// A sibling passes on a report.
    pub(super) fn relayed_here(&mut self, from: usize, relay: Relay) {
        let (status, body) = match self.report_here(&relay.report) {
            Reported::Now(status, body) => (status, body),
            Reported::Elsewhere(Some(i), _) => {
                let report_to = Some(self.port.settings.siblings[i].name.as_str());
                (
                    421,
                    Response::json(421, &ReportElsewhere { report_to }).body,
                )
            }
            Reported::Elsewhere(None, _) => (404, Response::error(404, "not held here").body),
            Reported::Later => {
                return self.came_early(Reporter::Sibling(from, relay.id), relay.report);
            }
        };
        let reply = Relayed {
            id: relay.id,
            status: u32::from(status),
            body,
        };
        self.port.say(from, Body::Relayed(reply));
    }

    /// A sibling has answered a report that was passed on to it.
    pub(super) fn relay_answered(&mut self, from: usize, reply: Relayed) {
        let Some((conn, _, report)) = self.relays.remove(&reply.id) else {
            return;
        };
        let status = u16::try_from(reply.status).unwrap_or(503);
        let machine = || {
            serde_json::from_slice::<Named>(&report)
                .ok()
                .map(|n| n.machine)
        };
        match status {
            404 => {
                machine().map(|m| self.routes.remove(&m));
                // Whoever leads knows where it is.
                match self.standing.leader(&self.port).filter(|l| *l != from) {
                    Some(leader) => self.relay(conn, leader, report),
                    None => self.port.unavailable(conn),
                }
            }
            421 if self.port.several => {
                let to = serde_json::from_slice::<ReportTo>(&reply.body)
                    .ok()
                    .map(|t| t.to);
                let siblings = &self.port.settings.siblings;
                let to = to.and_then(|to| siblings.iter().position(|s| *s.name == *to));
                match (to.filter(|i| *i != from), machine()) {
                    (Some(i), Some(machine)) => {
                        if self.routes.len() >= MOST_ROUTES {
                            self.routes.clear();
                        }
                        self.routes.insert(machine, i);
                        self.relay(conn, i, report);
                    }
                    // Nobody holds it, or this controller does since a moment ago.
                    _ => self.send_on(conn),
                }
            }
            _ => {
                let response = Response {
                    status,
                    body: reply.body,
                    retry_after: None,
                };
                self.port.reply(conn, response);
            }
        }
    }
}
