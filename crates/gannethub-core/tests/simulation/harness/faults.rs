//! Faults that a test injects, and counters of their effects.

use super::*;

/// Faults in force. By default there are none.
#[derive(Default)]
pub struct Faults {
    /// Controllers whose requests the state service refuses.
    pub store_refuses: HashSet<usize>,
    /// Whether the cloud neither carries out nor answers requests to provision machines.
    pub provisioning_unanswered: bool,
    /// Controllers whose watches hang, while the state service answers all their other requests.
    pub hung_watches: HashSet<usize>,
    /// Maximum additional delay of the state service's answers, in microseconds.
    pub max_store_delay: u64,
    /// Maximum additional delay of answers to watches, in microseconds, on top of `max_store_delay`.
    pub max_watch_delay: u64,
    /// Delay, in microseconds, of answers to transactions of these controllers. It replaces the usual delay.
    pub commit_answer_delays: HashMap<usize, u64>,
    /// Fraction of transactions that are carried out late and not answered.
    pub late_commit_rate: f64,
    /// Fraction of transactions that are carried out without additional delay but not answered.
    pub lost_commit_answer_rate: f64,
    /// Controllers that are frozen until the given time. Their clocks run on, and messages that arrive meanwhile wait.
    pub frozen_until: HashMap<usize, u64>,
    /// Controllers that are short of CPU time, with the delay in microseconds by which they handle each message. The
    /// same value is the minimum interval from their last step to the next tick.
    pub processor_delays: HashMap<usize, u64>,
    /// Directed links (sender, recipient) between peers that are interrupted. Messages are held and arrive late.
    pub partitioned: HashSet<(usize, usize)>,
    /// Directed links (sender, recipient) between peers on which messages are lost.
    pub lossy_links: HashSet<(usize, usize)>,
    /// Controllers whose votes are corrupted in transit.
    pub corrupts_votes: HashSet<usize>,
    /// Controllers of the previous release, whose messages do not contain cancellations.
    pub previous_release: HashSet<usize>,
    /// Zones whose workers cannot exchange messages with the given controller.
    pub unreachable_zones: HashSet<(usize, String)>,
    /// Workers whose heartbeats reach no controller, while direct commands still reach the workers.
    pub isolated_workers: HashSet<String>,
    /// Workers whose heartbeats arrive, while neither answers nor direct commands reach the workers.
    pub unanswered_workers: HashSet<String>,
    /// Maximum additional delay of answers to workers, in microseconds.
    pub max_worker_answer_delay: u64,
    /// Fraction of heartbeats of which a copy arrives between 2 s and three leases (30 s) later.
    pub heartbeat_copy_rate: f64,
    /// Maximum time, in microseconds, for which a relayed heartbeat waits in the owner's queue before it is handled.
    pub max_relay_wait: u64,
    /// Fraction of relayed heartbeats, and of the answers to them, of which a copy arrives up to 3 s later.
    pub relay_copy_rate: f64,
    /// Whether copies of answers to relayed heartbeats that launch tasks are kept, see
    /// [`World::send_kept_relay_answers`].
    pub keeps_relay_answers: bool,
    /// Whether the kept answers themselves are held back, see [`World::send_matching_relay_answers`].
    pub holds_relay_answers: bool,
    /// Fraction of heartbeats of which a copy is kept until the next term begins and then sent to every controller.
    pub kept_copy_rate: f64,
}

/// Counts of the situations that tests intend to provoke.
#[derive(Default)]
pub struct Counters {
    /// Copies of old heartbeats that were sent to a controller.
    pub heartbeat_copies_sent: usize,
    /// Copies of relayed heartbeats and of answers to them that were delivered to a peer.
    pub relay_copies_sent: usize,
    /// Answers to relayed heartbeats that reached a later process of the controller than the one that had relayed the
    /// heartbeat.
    pub answers_to_earlier_processes: usize,
    /// Kept copies of heartbeats that were sent to a new leader and its peers.
    pub kept_copies_sent: usize,
    /// Transactions that were carried out without additional delay but not answered.
    pub unanswered_commits: usize,
    /// Requests that users repeated at all nodes after an acceptance, end or cancellation.
    pub repeated_requests: usize,
    /// Tasks that started after their users were told of the cancellation and before the cancellation deadline. Such
    /// tasks were launched before the launching controller knew of the cancellation.
    pub late_starts: usize,
    /// Total time in seconds, sampled once a second, that tasks continued to run after their users were told of the
    /// cancellation.
    pub cancelled_task_seconds: usize,
    /// Commands that controllers sent to workers directly.
    pub direct_commands: usize,
    /// Answers that were outdated on arrival, because the user had been told a newer status since sending the request.
    pub overtaken_answers: usize,
}

/// Maximum delay of a message between controllers, rounded up to whole steps of the clock.
const MAX_MESSAGE_DELAY: u64 = 2 * STEP;

impl World {
    /// Returns how long after a confirmation the announcement of the cancellation may still be on its way to the leader;
    /// `None` if the announcement may never arrive. A controller of this release confirms nothing before the leader
    /// obeys.
    pub(super) fn max_announcement_delay(&self) -> Option<u64> {
        if self.faults.previous_release.is_empty() {
            return Some(0);
        }
        let arrives = self.faults.partitioned.is_empty() && self.faults.lossy_links.is_empty();
        arrives.then_some(MAX_MESSAGE_DELAY)
    }

    /// Ends the faults of the state service and of the network, except corrupted votes. From this time on, the checker
    /// requires answers about every accepted job.
    pub fn end_faults(&mut self) {
        self.state.down = false;
        self.faults.max_store_delay = 0;
        self.faults.max_worker_answer_delay = 0;
        self.faults.max_watch_delay = 0;
        self.faults.late_commit_rate = 0.0;
        self.faults.lost_commit_answer_rate = 0.0;
        self.faults.isolated_workers.clear();
        self.faults.kept_copy_rate = 0.0;
        self.faults.heartbeat_copy_rate = 0.0;
        self.faults.relay_copy_rate = 0.0;
        self.faults.max_relay_wait = 0;
        self.faults.store_refuses.clear();
        self.faults.hung_watches.clear();
        self.faults.commit_answer_delays.clear();
        self.faults.partitioned.clear();
        self.faults.lossy_links.clear();
        self.faults.unreachable_zones.clear();
        self.faults.unanswered_workers.clear();
        self.answers_expected_since = self.now;
        self.unanswered = 0;
    }

    /// Disconnects a controller from the state service and the other controllers, but not from its workers and users.
    pub fn isolate(&mut self, node: usize) {
        self.faults.store_refuses.insert(node);
        for other in (0..self.nodes.len()).filter(|i| *i != node) {
            self.faults
                .partitioned
                .extend([(node, other), (other, node)]);
        }
    }
}
