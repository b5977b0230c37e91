//! Faults that a test puts into its world, and counts of what they led to.

use super::*;

/// Faults that are in force; by default there are none.
#[derive(Default)]
pub struct Faults {
    /// Controllers whose requests the state service refuses.
    pub store_refuses: HashSet<usize>,
    /// Controllers whose watches hang, while all else of theirs is answered.
    pub hung_watches: HashSet<usize>,
    /// The state service's answers come later by up to so much.
    pub max_store_delay: u64,
    /// Answers to watches come later by up to so much, on top of `max_store_delay`.
    pub max_watch_delay: u64,
    /// How much later answers to transactions come to these controllers.
    pub commit_answer_delays: HashMap<usize, u64>,
    /// The share of transactions that are carried out late, with no answer.
    pub late_commit_rate: f64,
    /// The share of transactions that are carried out at once, with no answer.
    pub lost_commit_answer_rate: f64,
    /// Controllers that stand still until then; their clocks run on, and what comes meanwhile waits for them.
    pub frozen_until: HashMap<usize, u64>,
    /// Controllers that are short of processor: by how much later they get to what comes for them, and how rarely to their
    /// clocks.
    pub processor_delays: HashMap<usize, u64>,
    /// Pairs of peers that cannot reach one another; messages are held and come late.
    pub partitioned: HashSet<(usize, usize)>,
    /// The same, with messages lost.
    pub lossy_links: HashSet<(usize, usize)>,
    /// Controllers whose votes are damaged on the way.
    pub corrupts_votes: HashSet<usize>,
    /// Controllers of the previous release, whose messages say nothing of cancellations.
    pub previous_release: HashSet<usize>,
    /// Zones whose workers a controller cannot hear.
    pub unreachable_zones: HashSet<(usize, String)>,
    /// Workers that reach no controller, while direct commands reach them.
    pub isolated_workers: HashSet<String>,
    /// Workers whose heartbeats arrive, while no answer reaches them.
    pub unanswered_workers: HashSet<String>,
    /// Answers to workers come later by up to so much.
    pub max_worker_answer_delay: u64,
    /// The share of heartbeats of which a copy comes seconds to three leases later.
    pub heartbeat_copy_rate: f64,
    /// The share of heartbeats of which a copy is kept for the next leader, and then comes to every controller.
    pub kept_copy_rate: f64,
}

/// How often something happened that a test means to provoke.
#[derive(Default)]
pub struct Counters {
    /// Copies of old heartbeats that came.
    pub copied: usize,
    /// Kept copies of heartbeats that were sent to a new leader and its peers.
    pub kept_copies_sent: usize,
    /// Transactions that were carried out at once, with no answer.
    pub unanswered_commits: usize,
    /// Requests that users sent when they looked closely.
    pub close_look_requests: usize,
    /// Tasks that started after their users were told that they are cancelled, by launches made before anybody who
    /// launches knew.
    pub late_starts: usize,
    /// For how many seconds tasks have run on, together, after their users were told that they are cancelled, looked at once a
    /// second.
    pub cancelled_task_seconds: usize,
    /// Commands that controllers sent to workers directly.
    pub direct_commands: usize,
    /// Answers that were older, when they came, than what a user had been told since they were asked for.
    pub overtaken_answers: usize,
}

impl World {
    /// Troubles are over: from here on every accepted job is to be answered for.
    pub fn all_well(&mut self) {
        self.state.down = false;
        self.faults.max_store_delay = 0;
        self.faults.max_worker_answer_delay = 0;
        self.faults.max_watch_delay = 0;
        self.faults.late_commit_rate = 0.0;
        self.faults.lost_commit_answer_rate = 0.0;
        self.faults.isolated_workers.clear();
        self.faults.kept_copy_rate = 0.0;
        self.faults.heartbeat_copy_rate = 0.0;
        self.faults.store_refuses.clear();
        self.faults.hung_watches.clear();
        self.faults.commit_answer_delays.clear();
        self.faults.partitioned.clear();
        self.faults.lossy_links.clear();
        self.faults.unreachable_zones.clear();
        self.faults.unanswered_workers.clear();
        self.asked_since = self.now;
        self.unanswered = 0;
    }

    /// A controller loses the state service and the other controllers, but not its workers and users.
    pub fn isolate(&mut self, node: usize) {
        self.faults.store_refuses.insert(node);
        for other in (0..self.nodes.len()).filter(|i| *i != node) {
            self.faults
                .partitioned
                .extend([(node, other), (other, node)]);
        }
    }
}
