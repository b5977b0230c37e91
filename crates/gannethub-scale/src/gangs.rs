//! Gangs across processes: their tasks start together once all are there, and end together.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use gannethub_standin::worker::job_of;

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
mod tests {
    use super::*;

    fn event(at: u64, task: &str, what: Happened) -> TaskEvent {
        TaskEvent {
            at,
            host: "host-1".into(),
            task: task.into(),
            attempt: 4,
            what,
        }
    }

    #[test]
    fn a_gang_runs_once_it_is_whole_and_leaves_when_one_is_gone() {
        let mut gangs = Gangs::default();
        let key = ("j-1".to_string(), 4);
        assert_eq!(
            gangs.event(&event(10, "j-1/0", Happened::Started), 2, 100, 5),
            None
        );
        let starts = gangs.event(&event(20, "j-1/1", Happened::Started), 2, 100, 5);
        assert_eq!(starts, Some(GangStep::Starts(key.clone())));
        assert_eq!(gangs.over(60), []);
        assert_eq!(
            gangs.event(&event(60, "j-1/1", Happened::Gone), 2, 100, 5),
            None
        );
        assert_eq!(gangs.over(64), []);
        assert_eq!(gangs.over(65), [GangStep::Ends(key, false)]);
        assert_eq!(
            gangs.event(&event(66, "j-1/0", Happened::Gone), 2, 100, 5),
            None
        );
        assert!(gangs.gangs.is_empty() && gangs.ends.is_empty());
    }

    #[test]
    fn a_whole_gang_is_done_after_its_run() {
        let mut gangs = Gangs::default();
        let starts = gangs.event(&event(20, "j-1/0", Happened::Started), 1, 100, 5);
        assert_eq!(starts, Some(GangStep::Starts(("j-1".into(), 4))));
        assert_eq!(gangs.over(120), [GangStep::Ends(("j-1".into(), 4), true)]);
    }
}
