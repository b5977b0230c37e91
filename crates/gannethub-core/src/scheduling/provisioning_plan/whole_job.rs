//! Planning of jobs whose tasks need their capacity together: the tasks of a gang, which start at the same time or not
//! at all, and all tasks of a job that has to choose a single zone.
//!
//! Tasks are planned one by one, so the place of the first one says nothing about the others. The tasks of such a job
//! are therefore planned as a trial, which is undone if the others do not find capacity.

use super::{Plan, TaskPlan};
use crate::model::Shape;
use crate::scheduling::forecast::PendingWork;

impl Plan<'_> {
    /// Simulates a job whose tasks need their capacity together. A gang that does not find capacity for all its tasks
    /// takes none, so that the jobs behind it are planned on what it cannot use.
    pub(super) fn add_whole_job(&mut self, work: &mut PendingWork, behind: &[PendingWork]) {
        self.forecast.begin_trial();
        let plan = self.add_tasks(work, behind);
        if self.is_usable(work) {
            self.keep_trial(plan);
        } else {
            self.forecast.undo_trial();
        }
    }

    fn keep_trial(&mut self, plan: TaskPlan) {
        self.forecast.keep_trial();
        self.keep(plan);
    }

    /// Whether the tasks planned by a trial are of use although others may be missing. A plan that has reached its
    /// maximum length leaves the others to the next plans.
    fn is_usable(&self, work: &PendingWork) -> bool {
        work.tasks == 0 || work.spec.shape != Shape::Gang || self.placements_left == 0
    }
}
