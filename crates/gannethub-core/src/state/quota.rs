//! What teams may use, and what they do use.

use crate::configuration::OverLimit;
use crate::model::{Resources, Team};

/// Quota of the teams, in the settings' order. The limits and guarantees that hold in this shard are those in
/// [`Cluster::settings`](super::cluster::Cluster::settings).
#[derive(Debug)]
pub struct QuotaState {
    /// The teams with their limits and guarantees in the whole cluster.
    pub cluster_teams: Vec<Team>,
    /// What each team's attempts hold in this shard.
    pub team_usage: Vec<Resources>,
    /// What becomes of tasks above a limit that was lowered.
    pub over_limit: OverLimit,
}

impl QuotaState {
    /// The state before anything is placed.
    pub fn new(cluster_teams: Vec<Team>) -> QuotaState {
        QuotaState {
            team_usage: vec![Resources::default(); cluster_teams.len()],
            cluster_teams,
            over_limit: OverLimit::default(),
        }
    }
}

/// The teams as they are in a shard with these limits. Guarantees follow their limits in proportion, but for memory,
/// which is not limited.
pub(super) fn partition_teams(cluster_teams: &[Team], teams: &mut [Team], limits: &[Resources]) {
    let whole_and_limit = cluster_teams.iter().zip(limits);
    for (team, (whole, limit)) in teams.iter_mut().zip(whole_and_limit) {
        let Resources {
            cpu,
            gpu,
            memory: mem,
        } = whole.guarantee;
        team.limit = *limit;
        team.guarantee = Resources {
            cpu: in_proportion(limit.cpu, whole.limit.cpu, cpu),
            gpu: in_proportion(limit.gpu, whole.limit.gpu, gpu),
            memory: mem,
        };
    }
}

/// The same share of a guarantee as `limit` is of `whole_limit`.
fn in_proportion(limit: i64, whole_limit: i64, guarantee: i64) -> i64 {
    match whole_limit {
        0 => 0,
        _ => (limit as f64 / whole_limit as f64 * guarantee as f64) as i64,
    }
}
