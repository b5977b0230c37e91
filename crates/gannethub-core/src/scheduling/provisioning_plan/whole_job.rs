//! Planning of jobs whose tasks need their capacity together: the tasks of a gang, which start at the same time or not
//! at all, and the tasks of a job that still has to choose the zone for all of them.
//!
//! Tasks are planned one by one, so the place of the first one says nothing about the others. The tasks of such a job
//! are therefore planned as a trial. If the first zone does not have capacity for all of them in time, the trial is
//! undone and the next zone is tried.

use std::sync::Arc;

use super::{Plan, TaskPlan};
use crate::model::{Micros, Shape};
use crate::scheduling::forecast::PendingWork;
use crate::state::job::ZoneChoice;

/// What a trial in a zone found. The lowest value is the best.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ZoneTrial {
    unplanned_tasks: i64,
    last_start: Micros,
    zone: Arc<str>,
}

impl Plan<'_> {
    /// Simulates a job whose tasks need their capacity together. A gang that does not find capacity for all its tasks
    /// takes none, so that the jobs behind it are planned on what it cannot use.
    pub(super) fn add_whole_job(&mut self, work: &mut PendingWork, behind: &[PendingWork]) {
        let can_move = work.chooses_zone() && self.has_offer_for(work);
        let placements_left = self.placements_left;
        let mut best: Option<ZoneTrial> = None;
        let mut work_in_trial = work.clone();
        loop {
            self.forecast.begin_trial();
            let plan = self.add_tasks(&mut work_in_trial, behind);
            let is_satisfied = work_in_trial.tasks == 0 && !plan.is_late;
            if is_satisfied || !can_move || self.placements_left == 0 {
                let choice = match is_satisfied {
                    true => self.zone_choice(&work_in_trial, &plan),
                    false => ZoneChoice::NoZone,
                };
                self.finish_trial(&work_in_trial, plan);
                self.record_choice(&work_in_trial, choice);
                break;
            }
            self.forecast.undo_trial();
            let Some(zone) = work_in_trial.zones.keys().next().cloned() else {
                // No other zone has any capacity.
                work_in_trial = work.clone();
                self.add_in_best_zone(&mut work_in_trial, best, behind);
                break;
            };
            let trial = ZoneTrial {
                unplanned_tasks: work_in_trial.tasks,
                last_start: plan.last_start,
                zone: zone.clone(),
            };
            let is_better = best.as_ref().is_none_or(|best| trial < *best);
            best = if is_better { Some(trial) } else { best };
            let mut excluded_zones = std::mem::take(&mut work_in_trial.excluded_zones);
            excluded_zones.push(zone);
            work_in_trial = PendingWork {
                excluded_zones,
                ..work.clone()
            };
        }
        if work_in_trial.tasks > 0 && work.spec.shape == Shape::Gang {
            // Trials that come to nothing must not keep the plan from reaching the jobs behind.
            self.placements_left = placements_left;
        }
        *work = work_in_trial;
    }

    /// Simulates a job in the best of the zones tried, none of which has capacity for the whole job in time.
    fn add_in_best_zone(
        &mut self,
        work: &mut PendingWork,
        best: Option<ZoneTrial>,
        behind: &[PendingWork],
    ) {
        let Some(ZoneTrial { zone, .. }) = best else {
            self.result.unplannable.extend(work.job.clone());
            return;
        };
        work.zones.insert(zone, 0);
        self.forecast.begin_trial();
        let plan = self.add_tasks(work, behind);
        self.finish_trial(work, plan);
        self.record_choice(work, ZoneChoice::NoZone);
    }

    /// Keeps what a trial has planned, unless it is a part of a gang.
    fn finish_trial(&mut self, work: &PendingWork, plan: TaskPlan) {
        if work.tasks == 0 || work.spec.shape != Shape::Gang {
            self.forecast.keep_trial();
            self.keep(plan);
        } else {
            self.forecast.undo_trial();
            self.result.unplannable.extend(work.job.clone());
        }
    }

    /// Returns the choice of the zone in which a trial has planned the whole job in time.
    fn zone_choice(&self, work: &PendingWork, plan: &TaskPlan) -> ZoneChoice {
        let Some(zone) = work.zones.keys().next() else {
            return ZoneChoice::NoZone;
        };
        let mut requests = self.cluster.fleet.pending_provisions.values();
        let is_requesting = requests.any(|request| request.offer.zone == **zone);
        if is_requesting || !plan.new_machines.is_empty() {
            ZoneChoice::Undecided
        } else {
            ZoneChoice::Zone(zone.clone())
        }
    }

    /// Records the choice of a zone, which placement follows. The tasks of a gang are placed together anyway.
    fn record_choice(&mut self, work: &PendingWork, choice: ZoneChoice) {
        if !work.spec.single_zone || work.spec.shape == Shape::Gang {
            return;
        }
        if let Some(job) = &work.job {
            self.result.zone_choices.push((job.clone(), choice));
        }
    }

    /// Whether a machine may be provisioned for a job in some zone.
    fn has_offer_for(&self, work: &PendingWork) -> bool {
        self.offers.iter().any(|priced| {
            let offer = &priced.offer;
            let machine_type = &self.cluster.machine_types[offer.machine_type];
            work.spec.resources.fits(&machine_type.capacity)
                && work
                    .spec
                    .allows(&machine_type.name, &offer.zone, offer.spot)
        })
    }
}
