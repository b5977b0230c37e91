//! Builds the view of a job that users get, from the job's stored records and its owner's progress reports.

use super::key_read::KeyRead;
use crate::model::{JobId, TaskSet};
use crate::wire::api::{JobStatus, JobView};
use crate::wire::store::{self, FinishedJobRecord, LiveRecord, StoredValue};

/// Progress of a live job beyond its stored record. For display only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct JobProgress {
    /// Number of tasks on machines.
    pub running: u32,
    /// Number of tasks that are done.
    pub done: u32,
}

/// Returns the progress of a job, if one of this controller's own shards or a reachable peer reports the job.
pub(super) type ProgressLookup<'a> = &'a dyn Fn(&JobId) -> Option<JobProgress>;

/// Builds the view of a live job from its record and its progress.
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

/// Adds a live job's progress to the view of its record.
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

/// Builds the view of a finished job from its record. Returns `None` if the value is not such a record.
pub(super) fn finished_job_view(item: &StoredValue) -> Option<JobView> {
    let record = item.decode::<FinishedJobRecord>()?;
    Some(match record.cancelled {
        true => JobView::new(JobStatus::Cancelled, 0),
        false => JobView::new(JobStatus::Done, record.tasks),
    })
}

/// Builds the view of a finished job from a read of its record. Returns `None` if no such record was found.
pub(super) fn finished_job_view_of_read(read: &KeyRead) -> Option<JobView> {
    match read {
        KeyRead::Found(item) => finished_job_view(item),
        _ => None,
    }
}
