//! Which version is in force at which controller, as the controllers tell of themselves and of one another.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use gannethub_core::http::{Method, decode_ok};
use serde::Deserialize;
use tokio::time::sleep;

use super::CommandError;
use crate::http::Client;

/// How long an answer of a controller is waited for.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause between two rounds of questions.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// No controller acts on an older version for longer than this, whether it is heard or not.
const MAX_VERSION_AGE: Duration = Duration::from_secs(7);
/// How long the controllers are waited for to say that a version is in force with them.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(60);

/// The answer of one controller to `GET /api/config`, as far as it matters here.
#[derive(Debug, Deserialize)]
struct ConfigStatus {
    /// The newest version that it knows of.
    newest: u64,
    /// Why it cannot use that version, if it cannot.
    refused: Option<String>,
    nodes: Vec<NodeStatus>,
}

/// What a controller tells of itself or of a peer.
#[derive(Debug, Deserialize)]
struct NodeStatus {
    name: String,
    heard: bool,
    /// The version in force there; `None`: unknown, or it is of a release without versions.
    version: Option<u64>,
}

/// What the controllers that answered tell.
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

    /// The newest version that any controller tells of each.
    fn versions(&self) -> BTreeMap<&str, Option<u64>> {
        let mut versions = BTreeMap::new();
        for node in self.nodes() {
            let known = versions.entry(node.name.as_str()).or_default();
            *known = node.version.max(*known);
        }
        versions
    }

    /// The controllers, by name, of which this is true of the newest version known.
    fn controllers_where(&self, is_wanted: impl Fn(Option<u64>) -> bool) -> Vec<String> {
        self.versions()
            .into_iter()
            .filter(|(_, version)| is_wanted(*version))
            .map(|(name, _)| name.to_string())
            .collect()
    }

    /// Why a controller cannot use this version, if one cannot.
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

/// Refuses a change while a controller is heard that does not support versions, or one was never heard.
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

/// Waits until all controllers that are heard have a version in force, and no other can act on an older one. Returns
/// how long that took.
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
                println!("not heard from {name}, which starts nothing");
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
