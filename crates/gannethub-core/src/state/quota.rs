//! Quota of the teams, and their usage.

use crate::configuration::OverLimit;
use crate::model::{Resources, Team};

/// Quota of the teams, in the order of the settings. The limits and guarantees that apply in this shard are in
/// [`Cluster::settings`](super::cluster::Cluster::settings).
#[derive(Debug)]
pub struct QuotaState {
    /// The teams with their limits and guarantees in the whole cluster.
    pub cluster_teams: Vec<Team>,
    /// Resources held by each team's attempts in this shard.
    pub team_usage: Vec<Resources>,
    /// Treatment of running tasks above a limit that was lowered.
    pub over_limit: OverLimit,
}

impl QuotaState {
    /// Returns the state before any task is placed.
    pub fn new(cluster_teams: Vec<Team>) -> QuotaState {
        QuotaState {
            team_usage: vec![Resources::default(); cluster_teams.len()],
            cluster_teams,
            over_limit: OverLimit::default(),
        }
    }
}

/// Sets the teams' limits in a shard to `limits`. Guarantees scale in proportion to the limits, except for memory,
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

/// Returns the share of a guarantee that corresponds to the share that `limit` has of `whole_limit`.
fn in_proportion(limit: i64, whole_limit: i64, guarantee: i64) -> i64 {
    match whole_limit {
        0 => 0,
        _ => (limit as f64 / whole_limit as f64 * guarantee as f64) as i64,
    }
}
