use std::sync::Arc;

use super::*;
use crate::controller::interface::{Clock, Effect};
use crate::model::{Micros, SECOND};
use crate::settings::Settings;
use crate::settings::tests::SAMPLE;
use crate::wire::api::JobStatus;

const START: Micros = 100 * SECOND;
const CANCELLATION: StoredCancellation = StoredCancellation {
    version: 50,
    shard: 0,
};

/// Returns a controller that knows of a stored cancellation and of no owner of shard 0, and whose user waits on
/// connection 7.
fn controller_with_cancellation() -> Controller {
    let (settings, _) = Settings::parse(SAMPLE, "sample").unwrap();
    let clock = Clock {
        now: START,
        unix_time: 0,
    };
    let mut controller = Controller::new(Arc::new(settings), clock);
    controller.outbox.set_reply_deadline(7, Micros::MAX);
    let view = JobView::new(JobStatus::Cancelled, 0);
    let outbox = &controller.outbox;
    controller
        .job_api
        .answer_when_confirmed(outbox, "j-000001".into(), CANCELLATION, view, 7);
    controller
}

/// Returns the statuses of the replies that the controller gives at this time.
fn replies_at(controller: &mut Controller, now: Micros) -> Vec<u16> {
    controller.outbox.clock.now = now;
    controller.confirm_cancellations();
    let effects = controller.outbox.take_effects().into_iter();
    let replies = effects.filter_map(|effect| match effect {
        Effect::Reply { response, .. } => Some(response.status),
        _ => None,
    });
    replies.collect()
}

/// Guards against a confirmation that never comes: where nothing is heard of the owner, users are told once an owner
/// without knowledge of the cancellation has given up its lease, and not before.
#[test]
fn a_cancellation_is_confirmed_after_the_longest_time_of_ignorance() {
    let mut controller = controller_with_cancellation();
    let bound = max_unaware_time(&controller.outbox);
    let settings = &controller.outbox.settings;
    assert!(bound >= controller.outbox.store_lease_ttl() && bound < settings.cancel_timeout);
    assert!(replies_at(&mut controller, START + bound - 1).is_empty());
    assert_eq!(replies_at(&mut controller, START + bound), [200]);
}

/// Guards against reads for a user who no longer waits: the cancellation was stored after the request had been refused.
#[test]
fn a_refused_request_does_not_wait_for_the_confirmation() {
    let mut controller = controller_with_cancellation();
    let view = JobView::new(JobStatus::Cancelled, 0);
    let outbox = &controller.outbox;
    let job: JobId = "j-000002".into();
    controller
        .job_api
        .answer_when_confirmed(outbox, job, CANCELLATION, view, 8);
    let confirmations = &controller.job_api.confirmations;
    assert!(confirmations.is_waiting(7) && !confirmations.is_waiting(8));
}

/// Guards against users who get no answer until the confirmation: a request whose deadline has passed is refused, and a
/// later confirmation does not answer it a second time.
#[test]
fn an_overdue_request_is_refused_and_not_answered_again() {
    let mut controller = controller_with_cancellation();
    let outbox = &mut controller.outbox;
    controller.job_api.refuse_overdue_request(outbox, 7);
    assert_eq!(replies_at(&mut controller, START + 1), [503]);
    let applied = CancellationApplied {
        job: "j-000001".into(),
        shard: 0,
    };
    controller.handle_applied_cancellation(&applied);
    assert!(replies_at(&mut controller, START + 2).is_empty());
    let view = controller.job_api.job_replica.final_view("j-000001");
    assert!(view.is_some_and(|view| view.status == JobStatus::Cancelled));
}
