//! Routes requests of users and workers to the parts of the controller that answer them.

use bytes::Bytes;

use super::Controller;
use super::job_api::{LookupReason, LookupWaiter, QUERY_TIMEOUT, SUBMIT_TIMEOUT};
use crate::http::{Request, Response};
use crate::model::{JobId, is_valid_job_id};
use crate::wire::api::{self, Route};

impl Controller {
    /// Routes a request to the part that answers it. The response is sent on its connection, immediately or later.
    pub(super) fn handle_request(&mut self, connection: u64, request: Request) {
        let outbox = &mut self.outbox;
        outbox.set_reply_deadline(connection, outbox.clock.now + QUERY_TIMEOUT);
        let route = match api::route(request.method, &request.path) {
            Ok(route) => route,
            Err(response) => return outbox.reply(connection, response),
        };
        match route {
            Route::Health => self.answer_health(connection),
            Route::Configuration => self.answer_configuration(connection),
            Route::Heartbeat => self.handle_heartbeat(connection, request.body),
            Route::Ledger { page, team } => {
                self.job_api.read_ledger(outbox, connection, page, team);
            }
            Route::Submit => self.job_api.submit(outbox, connection, &request.body),
            Route::JobStatus(id) | Route::Cancel(id) if !is_valid_job_id(id) => {
                outbox.reply(connection, Response::error(404, "no such job"));
            }
            Route::JobStatus(id) => self.job_api.query(outbox, connection, id.into()),
            Route::Cancel(id) => self.cancel(connection, id.into()),
        }
    }

    fn answer_health(&mut self, connection: u64) {
        let response = if self.membership.is_ready(&self.outbox) {
            Response::new(200, Bytes::from_static(b"{}"))
        } else {
            Response::error(503, "not ready to take requests")
        };
        self.outbox.reply(connection, response);
    }

    fn cancel(&mut self, connection: u64, job: JobId) {
        let outbox = &mut self.outbox;
        outbox.set_reply_deadline(connection, outbox.clock.now + SUBMIT_TIMEOUT);
        let wait = outbox.budget.change_wait();
        if wait > QUERY_TIMEOUT {
            return outbox.reply_overloaded(connection, wait);
        }
        let waiter = LookupWaiter::new(connection, LookupReason::Cancel);
        self.job_api.look_up_live_job(outbox, job, waiter);
    }
}
