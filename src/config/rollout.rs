//! The version in force at each controller, as the controllers report for themselves and for one another.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use gannethub_core::http::{Method, decode_ok};
use serde::Deserialize;
use tokio::time::sleep;

use super::CommandError;
use crate::http::Client;

/// Time limit of a request to a controller.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two rounds of requests to the controllers.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time for which a controller acts on an older version, whether the controller is heard from or not.
const MAX_VERSION_AGE: Duration = Duration::from_secs(7);
/// Maximum time to wait for the controllers to report that a version is in force.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(60);

/// One controller's answer to `GET /api/config`, with only the fields that the rollout needs.
#[derive(Debug, Deserialize)]
struct ConfigStatus {
    /// Newest version that the controller knows of.
    newest: u64,
    /// Reason why the controller cannot use the newest version, if it cannot.
    refused: Option<String>,
    nodes: Vec<NodeStatus>,
}

/// A controller's report on itself or on a peer.
#[derive(Debug, Deserialize)]
struct NodeStatus {
    name: String,
    heard: bool,
    /// Version in force at the controller; `None` if unknown, or if its release does not support versions.
    version: Option<u64>,
}

/// The answers of the controllers that answered.
struct RolloutStatus(Vec<ConfigStatus>);

impl RolloutStatus {
    async fn fetch(controllers: &[SocketAddrV4]) -> RolloutStatus {
        let mut answers = Vec::new();
        for addr in controllers {
            let answer = Client::new(*addr)
                .call(Method::Get, "/api/config", b"", REQUEST_TIMEOUT)
                .await;
            answers.extend(decode_ok::<ConfigStatus>(&answer));
        }
        RolloutStatus(answers)
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn nodes(&self) -> impl Iterator<Item = &NodeStatus> {
        self.0.iter().flat_map(|status| &status.nodes)
    }

    /// Returns the newest version that any controller reports for each controller, by name.
    fn versions(&self) -> BTreeMap<&str, Option<u64>> {
        let mut versions = BTreeMap::new();
        for node in self.nodes() {
            let known = versions.entry(node.name.as_str()).or_default();
            *known = node.version.max(*known);
        }
        versions
    }

    /// Returns the names of the controllers whose newest reported version satisfies the predicate.
    fn controllers_where(&self, is_match: impl Fn(Option<u64>) -> bool) -> Vec<String> {
        self.versions()
            .into_iter()
            .filter(|(_, version)| is_match(*version))
            .map(|(name, _)| name.to_string())
            .collect()
    }

    /// Returns the reason why a controller cannot use this version, if any controller cannot.
    fn refusal_of(&self, version: u64) -> Option<&str> {
        self.0
            .iter()
            .filter(|status| status.newest == version)
            .find_map(|status| status.refused.as_deref())
    }

    fn is_heard(&self, controller: &str) -> bool {
        self.nodes()
            .any(|node| node.heard && node.name == controller)
    }
}

/// Refuses a change if a controller that is heard from does not support versions, or if a controller was never heard
/// from.
pub async fn refuse_unsupported(controllers: &[SocketAddrV4]) -> Result<(), CommandError> {
    let status = RolloutStatus::fetch(controllers).await;
    if status.is_empty() {
        return Err(CommandError::NoController(controllers.to_vec()));
    }
    let unsupported = status.controllers_where(|version| version.is_none());
    if unsupported.is_empty() {
        Ok(())
    } else {
        Err(CommandError::UnsupportedControllers(unsupported))
    }
}

/// Waits until every controller that is heard from has a version in force and no other controller can act on an older
/// version. Returns the waiting time.
pub async fn wait_until_in_force(
    controllers: &[SocketAddrV4],
    version: u64,
) -> Result<Duration, CommandError> {
    let started_at = Instant::now();
    let mut missing = Vec::new();
    while started_at.elapsed() < ROLLOUT_TIMEOUT {
        let status = RolloutStatus::fetch(controllers).await;
        if let Some(reason) = status.refusal_of(version) {
            return Err(CommandError::Unusable {
                version,
                reason: reason.to_string(),
            });
        }
        missing = status.controllers_where(|known| known.is_none_or(|known| known < version));
        let is_fenced = started_at.elapsed() >= MAX_VERSION_AGE
            && !missing.iter().any(|name| status.is_heard(name));
        if !status.is_empty() && (missing.is_empty() || is_fenced) {
            for name in &missing {
                println!("controller {name} is not heard from and starts no tasks");
            }
            return Ok(started_at.elapsed());
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(CommandError::NotInForce {
        version,
        seconds: ROLLOUT_TIMEOUT.as_secs(),
        missing,
    })
}
