//! What a leader does not know yet of the machines that it took over.

use super::capacity_index::MachineKind;
use crate::model::{Micros, Resources, SECOND};

/// Machines that may hold tasks of an earlier term and have not been heard in this one, by kind. A kind that
/// is not known may hold anything.
#[derive(Debug, Default)]
pub struct Unconfirmed {
    /// How many machines of each kind may still hold something.
    pub silent_machines: Vec<(Option<MachineKind>, i64)>,
    /// The most that each team's tasks may hold on them: it counts against the team's limit.
    pub possible_usage: Vec<Resources>,
    /// Records are being read: what they show was there before this term.
    pub loading: bool,
}

impl Unconfirmed {
    pub fn new(teams: usize) -> Unconfirmed {
        Unconfirmed {
            silent_machines: Vec::new(),
            possible_usage: vec![Resources::default(); teams],
            loading: true,
        }
    }
}

/// Marks are ahead of launches by what has been launched in this time ...
const AHEAD: Micros = SECOND;
/// ... which is measured so often.
const PACE_EVERY: Micros = SECOND;

/// How many tasks have been placed, and how many of them a second.
#[derive(Debug, Default)]
pub struct LaunchRate {
    since: Micros,
    placed: u32,
    /// Tasks placed in a second, as of late.
    pub tasks_per_second: u32,
}

impl LaunchRate {
    pub fn record_placed(&mut self) {
        self.placed += 1;
    }

    pub fn measure(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.since);
        if passed >= PACE_EVERY {
            let ahead = u64::from(self.placed) * AHEAD / passed;
            // It falls slowly: launches come in bursts.
            self.tasks_per_second = (ahead as u32).max(self.tasks_per_second / 2);
            (self.placed, self.since) = (0, now);
        }
    }
}
