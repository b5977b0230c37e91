//! Gangs whose tasks are in several processes: the tasks of a gang start to run together once all of them are on
//! machines, and end together.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use gannethub_emulators::worker::job_id_of_task;

use crate::messages::{TaskEvent, TaskEventKind};

/// Job and attempt number of a gang.
pub type GangKey = (String, u64);

/// A change of a gang that has to be sent to all processes with workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GangChange {
    Starts(GangKey),
    /// The gang ends. The flag tells whether the gang has completed.
    Ends(GangKey, bool),
}

#[derive(Default)]
struct Gang {
    /// Tasks that are on machines.
    present: BTreeSet<String>,
    /// Whether the gang has started to run.
    running: bool,
    /// Time in microseconds at which the gang ends, and whether the gang has completed then.
    end: Option<(u64, bool)>,
}

/// All gangs that have a task on a machine.
#[derive(Default)]
pub struct Gangs {
    gangs: HashMap<GangKey, Gang>,
    /// Gangs with a set end and whether they have completed then, in the order of end times in microseconds.
    ends_by_time: BTreeMap<(u64, GangKey), bool>,
}

impl Gangs {
    /// Handles an event of a task whose gang has `tasks` tasks. `run_time` is the time that the gang runs once all of
    /// its tasks are on machines. `notice_time` is the time that the tasks take to notice that one of them is gone.
    /// Both are in microseconds.
    pub fn on_event(
        &mut self,
        event: &TaskEvent,
        tasks: u32,
        run_time: u64,
        notice_time: u64,
    ) -> Option<GangChange> {
        let job = job_id_of_task(&event.task).to_string();
        let key = (job, event.attempt);
        let gang = self.gangs.entry(key.clone()).or_default();
        match event.what {
            TaskEventKind::Started => {
                gang.present.insert(event.task.clone());
                if gang.running || gang.present.len() < tasks as usize {
                    return None;
                }
                gang.running = true;
                gang.end = Some((event.at + run_time, true));
                self.ends_by_time
                    .insert((event.at + run_time, key.clone()), true);
                return Some(GangChange::Starts(key));
            }
            TaskEventKind::Done => {
                gang.present.remove(&event.task);
            }
            TaskEventKind::Gone => {
                gang.present.remove(&event.task);
                if let Some((at, true)) = gang.end {
                    let earlier = (event.at + notice_time).min(at);
                    self.ends_by_time.remove(&(at, key.clone()));
                    gang.end = Some((earlier, false));
                    self.ends_by_time.insert((earlier, key.clone()), false);
                }
            }
        }
        if gang.present.is_empty() {
            if let Some((at, _)) = gang.end {
                self.ends_by_time.remove(&(at, key.clone()));
            }
            self.gangs.remove(&key);
        }
        None
    }

    /// Returns the gangs that end by `now`, each as [`GangChange::Ends`], and removes their end times.
    pub fn due_ends(&mut self, now: u64) -> Vec<GangChange> {
        let mut due = Vec::new();
        while let Some(entry) = self.ends_by_time.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let ((_, key), done) = entry.remove_entry();
            if let Some(gang) = self.gangs.get_mut(&key) {
                gang.end = None;
            }
            due.push(GangChange::Ends(key, done));
        }
        due
    }
}

#[cfg(test)]
mod tests;
