use super::*;
use crate::wire::api::JobStatus;

const CANCELLATION: StoredCancellation = StoredCancellation {
    version: 40,
    shard: 2,
};

fn pending_with(connections: &[u64]) -> PendingConfirmations {
    let mut pending = PendingConfirmations::default();
    for connection in connections {
        let view = JobView::new(JobStatus::Cancelled, 0);
        pending.add("j-1".into(), CANCELLATION, view, Some(*connection), 1000);
    }
    pending
}

/// Guards against a cancellation that is announced once and then never again, or at every step: a lost announcement is
/// repeated after the interval, whether or not a user still waits.
#[test]
fn announcements_are_repeated_until_the_cancellation_is_confirmed() {
    let mut pending = pending_with(&[7]);
    let due = [(JobId::from("j-1"), CANCELLATION)];
    assert_eq!(pending.take_due_announcements(1000), due);
    assert!(pending.take_due_announcements(1001).is_empty());
    pending.drop_connection(7);
    let later = 1000 + ANNOUNCEMENT_INTERVAL;
    assert!(pending.take_due_announcements(later - 1).is_empty());
    assert_eq!(pending.take_due_announcements(later), due);
    assert_eq!(pending.take_confirmed(|_, _| Some(())).len(), 1);
    assert!(pending.is_empty() && pending.take_due_announcements(2 * later).is_empty());
}

/// Guards against an answer of another shard's owner that counts as the confirmation, and against users who are
/// answered twice or not at all.
#[test]
fn only_the_owner_of_the_jobs_shard_confirms_a_cancellation() {
    let mut pending = pending_with(&[7, 8, 9]);
    pending.drop_connection(8);
    assert!(pending.is_waiting(7) && !pending.is_waiting(8));
    pending.record_applied("j-1", 0);
    pending.record_applied("j-2", 2);
    let is_applied = |_: &JobId, pending: &PendingConfirmation| pending.is_applied.then_some(());
    assert!(pending.take_confirmed(is_applied).is_empty());
    pending.record_applied("j-1", 2);
    let confirmed = pending.take_confirmed(is_applied);
    assert_eq!(confirmed[0].1.waiting, [7, 9]);
    assert!(!pending.is_waiting(7));
}

/// Guards against reads of the state service for each cancellation: a read is needed only while a user waits although
/// the announcement should have been answered.
#[test]
fn a_read_is_needed_only_while_a_user_waits_for_long() {
    let mut pending = pending_with(&[7]);
    pending.record_announced("j-1", 1000);
    let overdue = 1000 + ANNOUNCEMENT_INTERVAL;
    assert!(!pending.is_read_needed(overdue - 1) && pending.is_read_needed(overdue));
    pending.drop_connection(7);
    assert!(!pending.is_read_needed(overdue));
}
