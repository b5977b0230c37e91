//! Gangs across processes: their tasks start together once all are there, and end together.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use gannethub_emulators::worker::job_of;

use crate::messages::{Happened, TaskEvent};

/// An attempt of a gang.
pub type GangKey = (String, u64);

/// What is to be told to all processes with workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GangStep {
    Starts(GangKey),
    Ends(GangKey, bool),
}

#[derive(Default)]
struct Gang {
    present: BTreeSet<String>,
    /// Since when it runs.
    running: bool,
    /// When it is over, and whether it is done then.
    ends: Option<(u64, bool)>,
}

/// All gangs that have a task on a machine.
#[derive(Default)]
pub struct Gangs {
    gangs: HashMap<GangKey, Gang>,
    /// By when they end.
    ends: BTreeMap<(u64, GangKey), bool>,
}

impl Gangs {
    /// Takes in that a task of a gang of so many came or went. `run`: how long the gang runs once it is whole;
    /// `notices`: how long its tasks take to notice that one of them is gone.
    pub fn event(
        &mut self,
        event: &TaskEvent,
        tasks: u32,
        run: u64,
        notices: u64,
    ) -> Option<GangStep> {
        let job = job_of(&event.task).to_string();
        let key = (job, event.attempt);
        let gang = self.gangs.entry(key.clone()).or_default();
        match event.what {
            Happened::Started => {
                gang.present.insert(event.task.clone());
                if gang.running || gang.present.len() < tasks as usize {
                    return None;
                }
                gang.running = true;
                gang.ends = Some((event.at + run, true));
                self.ends.insert((event.at + run, key.clone()), true);
                return Some(GangStep::Starts(key));
            }
            Happened::Done => {
                gang.present.remove(&event.task);
            }
            Happened::Gone => {
                gang.present.remove(&event.task);
                if let Some((at, true)) = gang.ends {
                    let soon = (event.at + notices).min(at);
                    self.ends.remove(&(at, key.clone()));
                    gang.ends = Some((soon, false));
                    self.ends.insert((soon, key.clone()), false);
                }
            }
        }
        if gang.present.is_empty() {
            if let Some((at, _)) = gang.ends {
                self.ends.remove(&(at, key.clone()));
            }
            self.gangs.remove(&key);
        }
        None
    }

    /// Gangs that are over by now.
    pub fn over(&mut self, now: u64) -> Vec<GangStep> {
        let mut over = Vec::new();
        while let Some(entry) = self.ends.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let ((_, key), done) = entry.remove_entry();
            if let Some(gang) = self.gangs.get_mut(&key) {
                gang.ends = None;
            }
            over.push(GangStep::Ends(key, done));
        }
        over
    }
}

#[cfg(test)]
mod tests;
