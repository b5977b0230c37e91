//! Serves the ledger to users as it is stored. Ledger content that was shown once never changes.

use gannethub_ledger::audit::Page;

use super::job_api::{JobApi, QUERY_TIMEOUT};
use super::key_read::KeyRead;
use super::outbox::Outbox;
use super::pending_request::JobApiRequest;
use crate::http::{CallResult, Response};
use crate::wire::budget::Urgency;
use crate::wire::store::{self, StoreRequest};

/// Kind of the ledger lines that charge a team.
const CHARGE_LINE: &str = "charge";

impl JobApi {
    /// Reads the ledger's head or one of its pages for a user. If a team is named, only those lines of the page are
    /// returned that charge the team.
    pub fn read_ledger(
        &mut self,
        outbox: &mut Outbox,
        connection: u64,
        page: Option<u64>,
        team: Option<&str>,
    ) {
        if outbox.settings.ledger.is_none() {
            return outbox.reply(connection, Response::error(404, "no ledger is configured"));
        }
        if let Some(team) = team.filter(|name| outbox.settings.team(name).is_none()) {
            let reason = format!("team: there is no team {team:?}");
            return outbox.reply(connection, Response::error(400, reason));
        }
        let wait = outbox.budget.query_wait();
        if wait > QUERY_TIMEOUT {
            return outbox.reply_overloaded(connection, wait);
        }
        let key = page.map_or(store::LEDGER_HEAD_KEY.into(), store::ledger_page_key);
        let pending = JobApiRequest::ReadLedger {
            connection,
            team: team.map(str::to_string),
        };
        outbox.send_to_store(Urgency::User, StoreRequest::get(&key), pending);
    }

    /// Answers a user from a read of the ledger.
    pub fn handle_ledger_answer(
        &mut self,
        outbox: &mut Outbox,
        connection: u64,
        team: Option<String>,
        answer: &CallResult,
    ) {
        let item = match KeyRead::from(answer) {
            KeyRead::Found(item) => item,
            KeyRead::Absent { .. } => {
                let reason = "page: there is no such page";
                return outbox.reply(connection, Response::error(404, reason));
            }
            KeyRead::Unreadable | KeyRead::Failed => return outbox.reply_unavailable(connection),
        };
        let response = match (team, item.decode::<Page>()) {
            (Some(team), Some(mut page)) => {
                page.lines
                    .retain(|line| line[1] == CHARGE_LINE && line[2][0] == *team);
                Response::json(200, &page)
            }
            _ => Response::json(200, &item.value),
        };
        outbox.reply(connection, response);
    }
}
