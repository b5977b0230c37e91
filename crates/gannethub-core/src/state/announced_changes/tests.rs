use super::*;

/// Guards against a job that stays held after its change was read, and against one that is released too early. A read
/// contains the change if it reaches the change's version, or was sent after the announcement.
#[test]
fn a_job_is_held_until_its_change_has_been_read() {
    let mut changes = AnnouncedChanges::default();
    changes.record_unread_change("j-1".into(), 40, 1000);
    assert!(!changes.apply_read(39, 999) && changes.is_held("j-1"));
    assert!(changes.apply_read(40, 0) && !changes.is_held("j-1"));
    // The version of this change is not known.
    changes.record_unread_change("j-2".into(), u64::MAX, 1000);
    assert!(!changes.apply_read(90, 999) && changes.is_held("j-2"));
    assert!(changes.apply_read(90, 1000) && !changes.is_held("j-2"));
}

/// Guards against a hold that outlives its reason: a read of the job alone, its end, and votes that carry all
/// cancellations each end the hold.
#[test]
fn a_hold_ends_by_a_read_of_the_job_its_end_or_informed_votes() {
    let mut changes = AnnouncedChanges::default();
    changes.record_unread_change("j-1".into(), 40, 1000);
    changes.release("j-1", 30, 500);
    assert!(changes.is_held("j-1"), "the read is older than the change");
    changes.release("j-1", 40, 500);
    assert!(!changes.is_held("j-1"));
    changes.record_unread_change("j-1".into(), 50, 2000);
    changes.release("j-1", 0, 1999);
    assert!(changes.is_held("j-1"), "the read is older than the change");
    changes.release("j-1", 0, 2000);
    assert!(!changes.is_held("j-1"), "the job has no live record");
    changes.record_unread_change("j-1".into(), 60, 3000);
    assert!(!changes.release_held_by(2999) && changes.is_held("j-1"));
    assert!(changes.release_held_by(3000) && !changes.is_held("j-1"));
    changes.record_unread_change("j-1".into(), 70, 4000);
    changes.remove("j-1");
    assert!(!changes.is_held("j-1"));
}

/// Guards against a cancellation that is forgotten before the job's record has been read, or kept for ever.
#[test]
fn a_cancellation_of_an_unknown_job_is_kept_until_it_has_been_read() {
    let mut changes = AnnouncedChanges::default();
    changes.record_cancellation("j-1".into(), 40, 1000);
    changes.record_cancellation("j-1".into(), 40, 5000);
    changes.apply_read(39, 999);
    assert!(changes.is_cancelled("j-1") && !changes.is_held("j-1"));
    changes.apply_read(39, 1000);
    assert!(!changes.is_cancelled("j-1"), "repeats do not prolong it");
    changes.record_cancellation("j-2".into(), u64::MAX, 1000);
    changes.release_held_by(9000);
    assert!(changes.is_cancelled("j-2"));
    changes.remove("j-2");
    assert!(!changes.is_cancelled("j-2"));
}
