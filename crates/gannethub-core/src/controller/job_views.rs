//! What users are shown of a job, as its stored records and its owner's progress tell it.

use super::key_read::KeyRead;
use crate::model::{JobId, TaskSet};
use crate::wire::api::{JobStatus, JobView};
use crate::wire::store::{self, FinishedJobRecord, LiveRecord, StoredValue};

/// How far a live job is, beside what is stored of it. For display only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct JobProgress {
    /// Tasks on machines.
    pub running: u32,
    /// Tasks that are done.
    pub done: u32,
}

/// Looks up the progress of a job, if any owner that is heard has told it.
pub(super) type ProgressLookup<'a> = &'a dyn Fn(&JobId) -> Option<JobProgress>;

/// A live job as its record and its progress show it.
pub(super) fn live_job_view(
    id: &JobId,
    record: &LiveRecord,
    progress: ProgressLookup<'_>,
) -> JobView {
    let mut done = TaskSet::default();
    if let LiveRecord::Job(record) = record {
        store::decode_done_part(&record.done, 0, &mut done);
    }
    let status = match record.is_cancelled() {
        true => JobStatus::Cancelled,
        false => JobStatus::Pending,
    };
    let mut view = JobView::new(status, done.len());
    add_progress(id, &mut view, progress);
    view
}

/// Adds a live job's progress to what its record shows.
pub(super) fn add_progress(id: &JobId, view: &mut JobView, progress: ProgressLookup<'_>) {
    if view.status != JobStatus::Pending {
        return;
    }
    if let Some(progress) = progress(id) {
        view.running = progress.running;
        view.done = progress.done.max(view.done);
    }
    if view.running > 0 {
        view.status = JobStatus::Running;
    }
}

/// A finished job as its record shows it; `None` if the value is no such record.
pub(super) fn finished_job_view(item: &StoredValue) -> Option<JobView> {
    let record = item.decode::<FinishedJobRecord>()?;
    Some(match record.cancelled {
        true => JobView::new(JobStatus::Cancelled, 0),
        false => JobView::new(JobStatus::Done, record.tasks),
    })
}

/// The same from the read of that record, if it was found.
pub(super) fn finished_job_view_of_read(read: &KeyRead) -> Option<JobView> {
    match read {
        KeyRead::Found(item) => finished_job_view(item),
        _ => None,
    }
}
