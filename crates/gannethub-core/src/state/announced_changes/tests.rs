use super::*;

/// Guards against a cancellation that is forgotten before the job's record has been read, or kept for ever.
#[test]
fn a_cancellation_of_an_unknown_job_is_kept_until_it_has_been_read() {
    let mut changes = AnnouncedChanges::default();
    changes.record_cancellation("j-1".into(), 40, 1000);
    changes.record_cancellation("j-1".into(), 40, 5000);
    changes.apply_read(39, 999);
    assert!(changes.is_cancelled("j-1"));
    changes.apply_read(39, 1000);
    assert!(!changes.is_cancelled("j-1"), "repeats do not prolong it");
    changes.record_cancellation("j-2".into(), u64::MAX, 1000);
    assert!(changes.is_cancelled("j-2"));
    changes.remove("j-2");
    assert!(!changes.is_cancelled("j-2"));
}
